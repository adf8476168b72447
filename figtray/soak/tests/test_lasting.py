"""Tests of the promise that lasting tasks run, and of their runs."""

import random

import pytest

from figtray import clock as clock_lib
from figtray.fleet import memory
from figtray.fleet import messages
from figtray.soak import invariants
from figtray.soak import lasting
from figtray.soak import observations

JOB = 'c' * 16
TASKS = (f'{JOB}.0.0.0', f'{JOB}.0.0.1')
STEPS = [
    {'count': 2, 'cpu': lasting.TASK_MILLI, 'mem_mb': 64, 'long_running': True}
]
PROMISE = 'lasting tasks run'
CHECK_INTERVAL_MS = 100
LEASE_MS = 1_000_000


class Harness:
    """Two workers, the second without room, and an accepted lasting job."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.checker = invariants.InvariantChecker(self.clock, 2000, 1000)
        self.workers = memory.MemoryWorkers(self.clock, self.checker)
        self.checker.workers = self.workers
        self.sims = [
            self.workers.add(
                memory.make_worker(number, cpu_milli=cpu_milli),
                hold_max_ms=LEASE_MS,
            )
            for number, cpu_milli in enumerate((1000, 0))
        ]
        self.usable = [sim.worker for sim in self.sims]
        self.clock.advance(lasting.CALM_MS)
        self.accept(JOB, STEPS)

    def accept(self, job_id, steps):
        self.checker.record_submit_attempt(job_id, steps)
        self.checker.record_submit_result(job_id, [200])

    def start(self, task, run=1):
        sim = self.sims[0]
        sim.start(
            messages.StartOrder(task, run, 'p', 1, sim.clock_ms() + LEASE_MS)
        )

    def fail(self, task):
        self.sims[0].end(task, messages.EndReason.FAILED)

    def check_for(self, duration_ms):
        """Let time pass, with a check now and after each interval."""
        self.check()
        for _ in range(duration_ms // CHECK_INTERVAL_MS):
            self.clock.advance(CHECK_INTERVAL_MS)
            self.check()

    def check(self):
        self.checker.check_lasting_tasks(self.usable)

    def late_tasks(self):
        return [
            item.detail
            for item in self.checker.violations
            if item.promise == PROMISE
        ]


@pytest.fixture
def harness():
    return Harness()


class TestWait:
    """Guards against missed and false violations by the time without a run."""

    def test_job_never_starts(self, harness):
        harness.check_for(lasting.WAIT_BOUND_MS - CHECK_INTERVAL_MS)
        assert not harness.late_tasks()
        harness.check_for(CHECK_INTERVAL_MS)
        assert harness.late_tasks() == list(TASKS)

    def test_one_task_of_a_running_job_never_starts(self, harness):
        harness.start(TASKS[0])
        harness.check_for(lasting.WAIT_BOUND_MS)
        assert harness.late_tasks() == [TASKS[1]]

    def test_failed_task_is_not_restarted(self, harness):
        for task in TASKS:
            harness.start(task)
        harness.check_for(lasting.WAIT_BOUND_MS)
        harness.fail(TASKS[0])
        harness.check_for(
            lasting.RESTART_GRACE_MS
            + lasting.WAIT_BOUND_MS
            - CHECK_INTERVAL_MS
        )
        assert not harness.late_tasks()
        harness.check_for(CHECK_INTERVAL_MS)
        assert harness.late_tasks() == [TASKS[0]]

    def test_run_ends_with_its_lease(self, harness):
        for task in TASKS:
            harness.start(task)
        harness.clock.advance(LEASE_MS + 1)
        harness.check_for(
            lasting.RESTART_GRACE_MS
            + lasting.WAIT_BOUND_MS
            - CHECK_INTERVAL_MS
        )
        assert not harness.late_tasks()
        harness.check_for(CHECK_INTERVAL_MS)
        assert harness.late_tasks() == list(TASKS)

    def test_each_wait_is_reported_once(self, harness):
        harness.start(TASKS[1])
        harness.check_for(2 * lasting.WAIT_BOUND_MS)
        assert harness.late_tasks() == [TASKS[0]]
        harness.start(TASKS[0])
        harness.check()
        harness.fail(TASKS[0])
        harness.check_for(lasting.RESTART_GRACE_MS + lasting.WAIT_BOUND_MS)
        assert harness.late_tasks() == [TASKS[0]] * 2

    def test_cancelled_job_is_not_owed(self, harness):
        harness.checker.record_cancel_attempt(JOB)
        harness.check_for(lasting.WAIT_BOUND_MS)
        assert not harness.late_tasks()

    def test_job_of_unclear_acceptance_is_not_owed(self, harness):
        job_id = 'd' * 16
        harness.checker.record_submit_attempt(job_id, STEPS)
        harness.checker.record_submit_result(job_id, [0, 0])
        harness.check_for(lasting.WAIT_BOUND_MS)
        assert harness.late_tasks() == list(TASKS)


class TestRoom:
    """Guards against violations of tasks without room, and missed ones."""

    def check_without_room(self, harness):
        harness.check_for(lasting.WAIT_BOUND_MS)
        assert not harness.late_tasks()

    def test_no_worker_is_usable(self, harness):
        harness.usable = []
        self.check_without_room(harness)

    def test_workers_are_full(self, harness):
        harness.usable = [harness.sims[1].worker]
        self.check_without_room(harness)

    def test_worker_is_filled_by_other_jobs(self, harness):
        job_id = 'd' * 16
        harness.accept(job_id, [{'count': 1, 'cpu': 1000}])
        harness.start(f'{job_id}.0.0.0')
        self.check_without_room(harness)

    def test_zone_is_out_of_service(self, harness):
        harness.checker.record_zone_out('zone-a')
        self.check_without_room(harness)
        harness.checker.record_zone_out(None)
        harness.check_for(lasting.WAIT_BOUND_MS)
        assert harness.late_tasks() == list(TASKS)

    def test_memory_is_full(self, harness):
        job_id = 'd' * 16
        harness.accept(job_id, [{'count': 1, 'cpu': 1, 'mem_mb': 64_000}])
        harness.start(f'{job_id}.0.0.0')
        self.check_without_room(harness)

    def test_worker_has_its_maximum_of_the_step(self, harness):
        job_id = 'd' * 16
        harness.checker.record_cancel_attempt(JOB)
        harness.accept(job_id, [{**STEPS[0], 'max_per_server': 1}])
        harness.start(f'{job_id}.0.0.0')
        self.check_without_room(harness)

    def test_team_uses_half_of_its_limit(self, harness):
        job_id = 'd' * 16
        count = int(
            lasting.TEAM.limit_milli
            * lasting.MAX_TEAM_SHARE
            / lasting.TASK_MILLI
        )
        harness.usable.append(memory.make_worker(2))
        harness.accept(job_id, [{**STEPS[0], 'count': count}])
        for index in range(count):
            harness.start(f'{job_id}.0.0.{index}')
        self.check_without_room(harness)
        harness.fail(f'{job_id}.0.0.0')
        harness.check_for(lasting.WAIT_BOUND_MS)
        assert harness.late_tasks() == list(TASKS)

    def test_wait_counts_from_when_there_is_room(self, harness):
        usable, harness.usable = harness.usable, []
        self.check_without_room(harness)
        harness.usable = usable
        harness.check_for(lasting.WAIT_BOUND_MS - CHECK_INTERVAL_MS)
        assert not harness.late_tasks()
        harness.check_for(CHECK_INTERVAL_MS)
        assert harness.late_tasks() == list(TASKS)


class TestCalm:
    """Guards against violations close to a fault, and missed ones."""

    def test_fault_is_active(self, harness):
        harness.checker.record_fault_begin()
        harness.check_for(2 * lasting.CALM_MS)
        assert not harness.late_tasks()

    def test_fault_has_just_ended(self, harness):
        harness.checker.record_fault_begin()
        harness.checker.record_fault_end()
        harness.check_for(lasting.CALM_MS - CHECK_INTERVAL_MS)
        assert not harness.late_tasks()
        harness.check_for(CHECK_INTERVAL_MS)
        assert harness.late_tasks() == list(TASKS)


class TestEnd:
    """Guards against soaks that end while lasting tasks do not run."""

    def test_soak_waits_for_lasting_tasks(self, harness):
        harness.start(TASKS[0])
        assert not harness.checker.has_recovered()
        harness.start(TASKS[1])
        assert harness.checker.has_recovered()

    def test_task_does_not_run_at_the_end(self, harness):
        harness.start(TASKS[0])
        harness.clock.advance(lasting.WAIT_BOUND_MS - 1)
        harness.checker.check_final_state()
        assert not harness.checker.violations
        harness.clock.advance(1)
        harness.checker.check_final_state()
        assert harness.late_tasks() == [f'{TASKS[1]} at the end']

    def test_task_failed_just_before_the_end(self, harness):
        for task in TASKS:
            harness.start(task)
        harness.fail(TASKS[0])
        harness.clock.advance(
            lasting.RESTART_GRACE_MS + lasting.WAIT_BOUND_MS - 1
        )
        harness.checker.check_final_state()
        assert not harness.checker.violations
        harness.clock.advance(1)
        harness.checker.check_final_state()
        assert harness.late_tasks() == [f'{TASKS[0]} at the end']

    def test_lasting_jobs_need_not_complete(self, harness):
        for task in TASKS:
            harness.start(task)
        harness.checker.check_job_response(JOB, 200, 'running')
        harness.checker.check_final_state()
        assert not harness.checker.violations


class TestState:
    """Guards against lasting jobs that are shown as ended or unknown."""

    @pytest.mark.parametrize(
        ('status', 'state', 'promise'),
        [
            (200, 'completed', 'completed means done'),
            (200, 'failed', 'failed only with a cause'),
            (410, '', 'accepted jobs are known'),
        ],
    )
    def test_wrong_state(self, harness, status, state, promise):
        for task in TASKS:
            harness.start(task)
            harness.fail(task)
        harness.checker.check_job_response(JOB, status, state)
        assert [item.promise for item in harness.checker.violations] == [
            promise
        ]


class TestTeamLimit:
    """Guards against limits that mix the tasks of two teams."""

    def test_lasting_tasks_over_their_limit(self, harness):
        job_id = 'd' * 16
        harness.sims[0].worker = memory.make_worker(
            0, cpu_milli=2 * lasting.TEAM.limit_milli
        )
        allowed = int(
            lasting.TEAM.limit_milli
            * (1 + invariants.LIMIT_OVERRUN_FRACTION)
            / lasting.TASK_MILLI
        )
        harness.accept(job_id, [{**STEPS[0], 'count': allowed + 2}])
        for index in range(allowed + 1):
            harness.start(f'{job_id}.0.0.{index}')
        assert not harness.checker.violations
        harness.start(f'{job_id}.0.0.{allowed + 1}')
        assert [item.promise for item in harness.checker.violations] == [
            'limit of the team'
        ]


class TestRunEnds:
    """Guards against stand-in workers that end lasting tasks as done."""

    def test_only_lasting_tasks_fail(self):
        rng = random.Random(1)
        jobs = {
            JOB: observations.Job(STEPS),
            'd' * 16: observations.Job([{'count': 1}]),
        }
        for _ in range(100):
            _, reason = lasting.choose_end(rng, (150, 500), jobs, TASKS[0])
            assert reason is messages.EndReason.FAILED
            delay_ms, reason = lasting.choose_end(
                rng, (150, 500), jobs, f'{"d" * 16}.0.0.0'
            )
            assert reason is messages.EndReason.DONE
            assert 150 <= delay_ms <= 500

    def test_seed_determines_ends(self):
        jobs = {JOB: observations.Job(STEPS)}
        first, again = (
            lasting.choose_end(random.Random(1), (1, 2), jobs, TASKS[0])
            for _ in range(2)
        )
        assert first == again

"""Tests of the invariant checker with a violation of each invariant."""

import pytest

from figtray import clock as clock_lib
from figtray.fleet import memory
from figtray.fleet import messages
from figtray.soak import capacities
from figtray.soak import deadly
from figtray.soak import invariants

STEPS = [{'count': 2}, {'count': 1, 'after': [0]}]
JOB = 'a' * 16
DEADLY_JOB = 'b' * 16


class Harness:
    """Two simulated workers, observed by an InvariantChecker."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.checker = invariants.InvariantChecker(self.clock, 2000, 1000)
        self.workers = memory.MemoryWorkers(self.clock, self.checker)
        self.checker.workers = self.workers
        self.sims = [
            self.workers.add(memory.make_worker(0)),
            self.workers.add(memory.make_worker(1, zone='zone-b')),
        ]
        self.checker.record_submit_attempt(JOB, STEPS)
        # The checker starts as if a fault had just ended; let it settle.
        self.clock.advance(invariants.SETTLE_MS + 1)

    def start(self, number, task, run=1):
        sim = self.sims[number]
        order = messages.StartOrder(task, run, 'p', 1, sim.clock_ms() + 5000)
        return sim.start(order)

    def violated_invariants(self):
        return [item.promise for item in self.checker.violations]


@pytest.fixture
def harness():
    return Harness()


def resize(harness, number, cpu_milli):
    """Change the capacity of a worker."""
    sim = harness.sims[number]
    harness.checker.record_resize(sim.worker)
    sim.worker = memory.make_worker(
        number, zone=sim.worker.zone, cpu_milli=cpu_milli
    )


class TestCapacity:
    """Guards against starts for which a worker has no room."""

    TASKS = (f'{JOB}.0.0.0', f'{JOB}.0.0.1')

    @pytest.fixture
    def harness(self, harness):
        harness.checker.jobs[JOB].steps = [{'count': 2, 'cpu': 1000}]
        return harness

    @pytest.mark.parametrize('cpu_milli', [1999, 2000])
    def test_capacity_that_has_shrunk(self, harness, cpu_milli):
        resize(harness, 0, cpu_milli)
        harness.clock.advance(capacities.SHRUNK_BOUND_MS + 1)
        for task in self.TASKS:
            harness.start(0, task)
        assert harness.violated_invariants() == (
            ['capacity of the worker'] if cpu_milli < 2000 else []
        )

    def test_capacity_that_has_just_shrunk(self, harness):
        resize(harness, 0, 0)
        harness.clock.advance(capacities.SHRUNK_BOUND_MS)
        harness.start(0, self.TASKS[0])
        assert not harness.violated_invariants()

    def test_capacity_that_has_grown(self, harness):
        resize(harness, 0, 0)
        harness.clock.advance(2 * capacities.SHRUNK_BOUND_MS)
        resize(harness, 0, 2000)
        for task in self.TASKS:
            harness.start(0, task)
        assert not harness.violated_invariants()

    # Nodes that are not in touch can't know that a worker has shrunk.
    def test_capacity_that_has_shrunk_during_a_fault(self, harness):
        harness.checker.record_fault_begin()
        resize(harness, 0, 0)
        harness.clock.advance(capacities.SHRUNK_BOUND_MS + 1)
        harness.start(0, self.TASKS[0])
        assert not harness.violated_invariants()


class TestCrashes:
    """Guards against tasks that crash worker after worker."""

    TASK = f'{DEADLY_JOB}.0.0.0'

    @pytest.fixture
    def harness(self, harness):
        for job_id in (DEADLY_JOB, JOB):
            image = deadly.IMAGE if job_id == DEADLY_JOB else ''
            harness.checker.record_submit_attempt(job_id, [])
            harness.checker.jobs[job_id].steps = [{'count': 1, 'image': image}]
        return harness

    def crash(self, harness, count, task=TASK):
        """Start a task, which crashes its worker, a number of times."""
        for _ in range(count):
            self.run = getattr(self, 'run', 0) + 1
            harness.start(0, task, self.run)
            harness.sims[0].crash()

    def test_starts_within_the_budget(self, harness):
        self.crash(harness, deadly.CRASHES_TO_STOP + deadly.MAX_STARTS - 1)
        assert not harness.violated_invariants()

    def test_starts_over_the_budget(self, harness):
        self.crash(harness, deadly.CRASHES_TO_STOP + deadly.MAX_STARTS)
        assert harness.violated_invariants() == ['crashes end']

    @pytest.mark.parametrize('crashes', [1, 2])
    def test_deadly_job_fails(self, harness, crashes):
        self.crash(harness, crashes)
        harness.checker.check_job_response(DEADLY_JOB, 200, 'failed')
        assert harness.violated_invariants() == (
            ['failed only with a cause'] if crashes == 1 else []
        )

    def test_job_beside_a_deadly_one_fails(self, harness):
        self.crash(harness, 5, f'{JOB}.0.0.0')
        harness.checker.check_job_response(JOB, 200, 'failed')
        assert harness.violated_invariants() == ['failed only with a cause']


def finish_unnoticed(harness, task):
    """Let a run on the first worker be done; nobody acknowledges its end."""
    harness.start(0, task)
    harness.sims[0].end(task, messages.EndReason.DONE)


class TestRuns:
    """Guards against missed and false violations by runs on workers."""

    def test_valid_history(self, harness):
        harness.start(0, f'{JOB}.0.0.0')
        harness.start(1, f'{JOB}.0.0.1')
        for number in (0, 1):
            harness.sims[number].end(
                f'{JOB}.0.0.{number}', messages.EndReason.DONE
            )
        harness.start(0, f'{JOB}.0.1.0')
        assert not harness.violated_invariants()

    def test_concurrent_runs_of_a_task(self, harness):
        harness.start(0, f'{JOB}.0.0.0')
        harness.start(1, f'{JOB}.0.0.0', 2)
        assert harness.violated_invariants() == ['one run at a time']

    def test_run_ends_with_its_lease(self, harness):
        harness.start(0, f'{JOB}.0.0.0')
        harness.clock.advance(5001)
        harness.start(1, f'{JOB}.0.0.0', 2)
        assert not harness.violated_invariants()

    # The checker took a run for one that goes on if its lease expired between
    # the worker's look at it and that of the checker.
    def test_lease_expires_as_the_run_starts(self, harness, monkeypatch):
        def expire(original=harness.workers.expire):
            harness.clock.advance(5001)
            original()

        with monkeypatch.context() as context:
            context.setattr(harness.workers, 'expire', expire)
            harness.start(0, f'{JOB}.0.0.0', 1)
        harness.start(1, f'{JOB}.0.0.0', 2)
        assert not harness.violated_invariants()

    def test_start_after_acknowledged_end(self, harness):
        task = f'{JOB}.0.0.0'
        harness.start(0, task)
        harness.sims[0].end(task, messages.EndReason.DONE)
        harness.sims[0].report(1, 1, None)
        harness.start(1, task, 2)
        assert harness.violated_invariants() == ['no start after the end']

    def test_end_acknowledged_after_next_start(self, harness):
        task = f'{JOB}.0.0.0'
        harness.start(0, task)
        harness.sims[0].end(task, messages.EndReason.DONE)
        harness.start(1, task, 2)
        assert not harness.violated_invariants()
        harness.sims[0].report(1, 1, None)
        assert harness.violated_invariants() == ['no start after the end']

    # Nobody may have seen the end of a run on a worker that can't be reached.
    # Its task starts again once the lease there has lapsed.
    @pytest.mark.parametrize('is_extended_again', [False, True])
    def test_start_after_the_lease_has_lapsed(
        self, harness, is_extended_again
    ):
        task = f'{JOB}.0.0.0'
        finish_unnoticed(harness, task)
        harness.clock.advance(5001)
        if is_extended_again:
            harness.sims[0].report(1, 0, harness.sims[0].clock_ms() + 5000)
        harness.start(1, task, 2)
        harness.sims[0].report(1, 1, harness.sims[0].clock_ms() + 5000)
        assert not harness.violated_invariants()

    # The next leader stopped waiting too early, though nothing ran any more.
    @pytest.mark.parametrize('lapses_later', [False, True])
    def test_start_while_the_lease_holds(self, harness, lapses_later):
        task = f'{JOB}.0.0.0'
        finish_unnoticed(harness, task)
        harness.clock.advance(5000)
        harness.start(1, task, 2)
        if lapses_later:
            harness.clock.advance(1)
        harness.sims[0].report(1, 1, None)
        assert harness.violated_invariants() == ['no start after the end']

    def test_start_while_an_extended_lease_holds(self, harness):
        task = f'{JOB}.0.0.0'
        finish_unnoticed(harness, task)
        harness.clock.advance(5000)
        harness.sims[0].report(1, 0, harness.sims[0].clock_ms() + 5000)
        harness.clock.advance(5000)
        harness.start(1, task, 2)
        harness.sims[0].report(1, 1, None)
        assert harness.violated_invariants() == ['no start after the end']

    def test_lease_that_lapsed_before_the_run(self, harness):
        harness.start(0, f'{JOB}.0.0.1')
        harness.clock.advance(5001)
        task = f'{JOB}.0.0.0'
        finish_unnoticed(harness, task)
        harness.start(1, task, 2)
        harness.sims[0].report(1, 2, None)
        assert harness.violated_invariants() == ['no start after the end']

    def test_start_after_an_end_is_acknowledged_late(self, harness):
        task = f'{JOB}.0.0.0'
        finish_unnoticed(harness, task)
        harness.clock.advance(5001)
        harness.sims[0].report(1, 1, None)
        harness.start(1, task, 2)
        assert harness.violated_invariants() == ['no start after the end']

    # An end that is lost in a crash of its worker is never acknowledged, so
    # the task has to be started again.
    def test_start_after_end_lost_in_crash(self, harness):
        task = f'{JOB}.0.0.0'
        harness.start(0, task)
        harness.sims[0].end(task, messages.EndReason.DONE)
        harness.workers.crash(harness.sims[0].worker.address)
        harness.start(1, task, 2)
        harness.sims[1].end(task, messages.EndReason.DONE)
        harness.sims[1].report(1, 1, None)
        assert not harness.violated_invariants()

    def test_order_of_steps(self, harness):
        harness.start(0, f'{JOB}.0.1.0')
        assert set(harness.violated_invariants()) == {'order of steps'}

    def test_team_limit(self, harness):
        for number in range(4):
            job_id = f'{number:016x}'
            harness.checker.record_submit_attempt(job_id, [{'count': 1}])
            harness.start(0, f'{job_id}.0.0.0')
        assert harness.violated_invariants() == ['limit of the team']

    def test_start_of_unknown_job(self, harness):
        harness.start(0, f'{"b" * 16}.0.0.0')
        assert harness.violated_invariants() == ['nothing unasked']

    def test_start_after_cancellation(self, harness):
        harness.checker.record_cancel_attempt(JOB)
        harness.checker.record_cancel_acknowledged(JOB)
        harness.clock.advance(invariants.CANCEL_BOUND_MS + 1)
        harness.start(0, f'{JOB}.0.0.0')
        assert harness.violated_invariants() == ['cancelled jobs do not start']

    def test_start_in_zone_out_of_service(self, harness):
        harness.checker.record_zone_out('zone-b')
        harness.clock.advance(invariants.EVACUATE_BOUND_MS + 1)
        harness.start(0, f'{JOB}.0.0.0')
        assert not harness.violated_invariants()
        harness.start(1, f'{JOB}.0.0.1')
        assert harness.violated_invariants() == [
            'no start in a zone that is out'
        ]

    # After a fault, nodes may need longer, as they first have to reach all
    # services again.
    def test_faults_suspend_time_bounds(self, harness):
        harness.checker.record_zone_out('zone-b')
        harness.clock.advance(invariants.EVACUATE_BOUND_MS + 1)
        harness.checker.record_fault_begin()
        harness.checker.record_fault_end()
        harness.start(1, f'{JOB}.0.0.1')
        assert not harness.violated_invariants()


class TestResponses:
    """Guards against missed and false violations by responses to callers."""

    def test_refused_job_runs(self, harness):
        harness.checker.record_submit_result(JOB, [503, 429])
        harness.start(0, f'{JOB}.0.0.0')
        harness.checker.check_final_state()
        assert harness.violated_invariants() == ['refused jobs never run']

    def test_uncertain_job_may_run(self, harness):
        harness.checker.record_submit_result(JOB, [503, 504])
        harness.start(0, f'{JOB}.0.0.0')
        harness.checker.check_final_state()
        assert not harness.violated_invariants()

    def test_accepted_job_never_ends(self, harness):
        harness.checker.record_submit_result(JOB, [0, 200])
        assert not harness.checker.has_recovered()
        harness.checker.check_final_state()
        assert harness.violated_invariants() == ['accepted jobs complete']

    def test_soak_waits_for_deadly_jobs(self, harness):
        harness.checker.record_submit_attempt(
            DEADLY_JOB, [{'count': 1, 'image': deadly.IMAGE}]
        )
        assert harness.checker.has_recovered()
        harness.checker.record_submit_result(DEADLY_JOB, [200])
        assert not harness.checker.has_recovered()
        harness.checker.check_job_response(DEADLY_JOB, 200, 'failed')
        assert harness.checker.has_recovered()

    def test_request_is_cut_off(self, harness):
        harness.checker.record_cut('node-0')
        assert harness.violated_invariants() == ['requests are answered']

    def test_accepted_job_is_unknown(self, harness):
        harness.checker.record_submit_result(JOB, [200])
        harness.checker.check_job_response(JOB, 410, '')
        assert harness.violated_invariants() == ['accepted jobs are known']

    @pytest.mark.parametrize(
        ('state', 'promise'),
        [
            ('completed', 'completed means done'),
            ('cancelled', 'cancelled only when asked'),
            ('failed', 'failed only with a cause'),
        ],
    )
    def test_wrong_state(self, harness, state, promise):
        harness.checker.check_job_response(JOB, 200, state)
        assert harness.violated_invariants() == [promise]

    def test_withdrawn_key_works(self, harness):
        harness.checker.record_key_withdrawn()
        asked_ms = harness.checker.now_ms()
        harness.checker.check_key_response(
            asked_ms + invariants.REVOKE_BOUND_MS, 200
        )
        harness.checker.check_key_response(
            asked_ms + invariants.REVOKE_BOUND_MS + 1, 401
        )
        assert not harness.violated_invariants()
        harness.checker.check_key_response(
            asked_ms + invariants.REVOKE_BOUND_MS + 1, 200
        )
        assert harness.violated_invariants() == ['withdrawn keys do not work']

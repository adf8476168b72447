"""Tests of workers whose capacity shrinks and grows while they run tasks."""

import pytest

from figtray.fleet import messages
from figtray.jobs import model
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray import verdict

FULL_MILLI = 8000
UNKNOWN_TASK = f'{"f" * 16}.0.0.0'


@pytest.fixture
def fleet():
    fleet = harness.Fleet(1)
    yield fleet
    assert not fleet.capacities.overloads


def plan(fleet, leader, *steps):
    """Plan a job, without sending the orders; returns its id."""
    job_id = fleet.submit(*steps)
    leader.sync_intake()
    leader.scheduler.plan()
    return job_id


def settle(leader, cycles=6):
    """Let a leader work until what can start has started."""
    for _ in range(cycles):
        leader.advance(200)
        leader.sync_workers()
        leader.run_cycle()


def count_runs(fleet):
    """Return the number of runs on all workers."""
    return len(takeovers.running(fleet))


class TestShrunkWorker:
    @pytest.mark.parametrize('cpu_milli', [0, 1000, 2000, 3999])
    def test_no_start_while_runs_exceed_the_capacity(
        self, fleet, leader, cpu_milli
    ):
        fleet.submit(harness.make_step(4, 1000))
        settle(leader)
        fleet.resize(0, cpu_milli=cpu_milli)
        fleet.submit(harness.make_step(1, 100))
        settle(leader)
        assert count_runs(fleet) == 4

    def test_capacity_between_used_and_full_is_used(self, fleet, leader):
        fleet.submit(harness.make_step(4, 1000))
        settle(leader)
        fleet.resize(0, cpu_milli=6000)
        fleet.submit(harness.make_step(4, 1000))
        settle(leader)
        assert count_runs(fleet) == 6

    @pytest.mark.parametrize('amounts', [{'cpu_milli': 0}, {'memory_mb': 0}])
    def test_tasks_start_once_the_capacity_has_grown(
        self, fleet, leader, amounts
    ):
        fleet.resize(0, **amounts)
        leader.sync_workers()
        fleet.submit(harness.make_step(8, 1000))
        settle(leader)
        assert not count_runs(fleet)
        fleet.resize(0, cpu_milli=FULL_MILLI, memory_mb=64_000)
        settle(leader)
        assert count_runs(fleet) == 8

    def test_runs_end_down_to_the_capacity_before_a_start(self, fleet, leader):
        first = fleet.submit(harness.make_step(4, 2000))
        settle(leader)
        fleet.resize(0, cpu_milli=4000)
        second = fleet.submit(harness.make_step(1, 2000))
        for index in range(4):
            settle(leader)
            assert (f'{second}.0.0.0' in harness.running(fleet)) == (index > 2)
            harness.finish(fleet, f'{first}.0.0.{index}')

    def test_gang_does_not_start_on_what_has_shrunk(self, fleet, leader):
        fleet.resize(0, cpu_milli=3000)
        leader.sync_workers()
        fleet.submit(harness.make_step(4, 1000, gang=True))
        settle(leader)
        assert not count_runs(fleet)
        fleet.resize(0, cpu_milli=4000)
        settle(leader)
        assert count_runs(fleet) == 4


class TestShrinkBeforeTheOrder:
    # Orders wait in the queue of the worker while its entry shrinks.
    @pytest.mark.parametrize(
        'amounts, started',
        [
            ({'cpu_milli': 0}, 0),
            ({'cpu_milli': 3500}, 3),
            ({'memory_mb': 250}, 2),
        ],
    )
    def test_planned_tasks_start_within_the_capacity(
        self, fleet, leader, amounts, started
    ):
        plan(fleet, leader, harness.make_step(4, 1000))
        fleet.resize(0, **amounts)
        leader.sync_workers()
        leader.deliver_orders(0)
        assert count_runs(fleet) == started
        settle(leader)
        assert count_runs(fleet) == started

    @pytest.mark.parametrize('fills', [False, True])
    def test_planned_tasks_start_within_the_gpus(self, fleet, leader, fills):
        fleet.resize(0, gpus=3)
        leader.sync_workers()
        needs = model.Resources(1000, 100, 1)
        plan(fleet, leader, model.Step(count=3, needs=needs, fills=fills))
        fleet.resize(0, gpus=2)
        leader.sync_workers()
        leader.deliver_orders(0)
        assert count_runs(fleet) == 2

    # A start without an answer may go on, so it counts until a later report.
    def test_start_without_an_answer_counts(self, fleet, leader):
        plan(fleet, leader, harness.make_step(1, 6000))
        fleet.client.choose_fault = lambda kind, _: (
            {'start': 'lost', 'stop': 'not sent'}.get(kind, 'ok')
        )
        leader.deliver_orders(0)
        fleet.resize(0, cpu_milli=6000)
        leader.sync_workers()
        fleet.submit(harness.make_step(1, 1000))
        settle(leader)
        assert count_runs(fleet) == 1

    def test_gang_does_not_start_in_part(self, fleet, leader):
        plan(fleet, leader, harness.make_step(4, 1000, gang=True))
        fleet.resize(0, cpu_milli=3000)
        leader.sync_workers()
        leader.deliver_orders(0)
        settle(leader)
        assert not count_runs(fleet)

    # The start of a lasting task waits until its placement is stored.
    def test_shrink_while_a_placement_is_written(self, fleet, leader):
        plan(fleet, leader, harness.make_step(1, 1000, lasting=True))
        fleet.resize(0, cpu_milli=999)
        leader.sync_workers()
        leader.deliver_orders(0)
        assert not count_runs(fleet)
        fleet.resize(0, cpu_milli=1000)
        settle(leader)
        assert count_runs(fleet) == 1

    # Without an entry nobody knows the capacity.
    def test_entry_is_gone_before_the_order(self, fleet, leader):
        plan(fleet, leader, harness.make_step(1, 1000))
        entry = fleet.workers.pop('worker-0')
        fleet.resize(0, cpu_milli=0)
        leader.sync_workers()
        leader.deliver_orders(0)
        assert not count_runs(fleet)
        fleet.workers['worker-0'] = entry
        fleet.resize(0, cpu_milli=1000)
        settle(leader)
        assert count_runs(fleet) == 1


class TestRunsBeingStopped:
    def test_stopped_run_counts_until_its_end_is_listed(self, fleet, leader):
        first = fleet.submit(harness.make_step(1, 6000))
        settle(leader)
        fleet.resize(0, cpu_milli=6000)
        leader.sync_workers()
        fleet.intake.cancel(first, 't')
        fleet.client.choose_fault = lambda kind, _: (
            'not sent' if kind == 'stop' else 'ok'
        )
        second = fleet.submit(harness.make_step(1, 1000))
        settle(leader)
        assert list(harness.running(fleet)) == [f'{first}.0.0.0']
        fleet.client.choose_fault = lambda *_: 'ok'
        settle(leader)
        assert list(harness.running(fleet)) == [f'{second}.0.0.0']


def start_unasked(fleet, leader, task, number=0):
    """Start a task on a worker without the leader's knowledge."""
    sim = fleet.sim(number)
    sim.start(
        messages.StartOrder(
            task,
            1,
            'p',
            sim.epoch,
            sim.clock_ms() + takeovers.LONGEST_LEASE_MS,
        )
    )


class TestStrayRuns:
    # A run that the leader does not track is stopped; until its end is
    # listed it occupies the worker.
    def test_second_run_of_a_task_counts(self, fleet, leader):
        fleet.add_worker(1)
        leader.sync_workers()
        leader.report_all()
        fleet.resize(0, cpu_milli=0)
        first = fleet.submit(harness.make_step(1, 6000))
        settle(leader)
        fleet.resize(0, cpu_milli=8000)
        start_unasked(fleet, leader, f'{first}.0.0.0')
        leader.sync_workers()
        leader.report(0)
        fleet.client.choose_fault = lambda kind, _: (
            'not sent' if kind == 'stop' else 'ok'
        )
        fleet.submit(harness.make_step(2, 4000))
        leader.run_cycle()
        assert len(fleet.sim(0).runs) == 1
        fleet.client.choose_fault = lambda *_: 'ok'
        settle(leader)
        assert len(fleet.sim(0).runs) == 2

    # Nobody can tell how much a run of an unknown job occupies.
    def test_run_of_an_unknown_job_fills_its_worker(self, fleet, leader):
        start_unasked(fleet, leader, UNKNOWN_TASK)
        leader.report(0)
        fleet.client.choose_fault = lambda kind, _: (
            'not sent' if kind == 'stop' else 'ok'
        )
        job_id = fleet.submit(harness.make_step(1, 100))
        leader.run_cycle()
        assert list(harness.running(fleet)) == [UNKNOWN_TASK]
        fleet.client.choose_fault = lambda *_: 'ok'
        settle(leader)
        assert list(harness.running(fleet)) == [f'{job_id}.0.0.0']


class TestAdoptedRuns:
    @pytest.mark.parametrize('cancelled', [False, True])
    def test_runs_of_the_former_leader_count(self, fleet, leader, cancelled):
        first = fleet.submit(harness.make_step(4, 1000))
        settle(leader)
        fleet.resize(0, cpu_milli=4000)
        if cancelled:
            # The new leader stops the runs as soon as it has adopted them.
            fleet.intake.cancel(first, 't')
            fleet.client.choose_fault = lambda kind, _: (
                'not sent' if kind == 'stop' else 'ok'
            )
        second = fleet.elect_leader()
        fleet.submit(harness.make_step(1, 100))
        settle(second)
        assert count_runs(fleet) == 4

    # What an earlier leader has started is known from the first report on.
    def test_no_start_before_the_first_report(self, fleet, leader):
        fleet.submit(harness.make_step(4, 1000))
        settle(leader)
        fleet.resize(0, cpu_milli=4000)
        fleet.client.choose_fault = lambda kind, _: (
            'not sent' if kind == 'report' else 'ok'
        )
        second = fleet.elect_leader()
        job_id = fleet.submit(harness.make_step(1, 1000))
        settle(second)
        assert f'{job_id}.0.0.0' not in takeovers.running(fleet)

    # The worker is known from the roster only; its capacity is not.
    def test_worker_without_entry_gets_no_tasks(self, fleet, leader):
        fleet.submit(harness.make_step(2, 1000))
        settle(leader)
        entry = fleet.workers.pop('worker-0')
        fleet.resize(0, cpu_milli=2000)
        second = fleet.elect_leader()
        fleet.submit(harness.make_step(1, 1000))
        settle(second)
        assert count_runs(fleet) == 2
        fleet.workers['worker-0'] = entry
        fleet.resize(0, cpu_milli=3000)
        settle(second)
        assert count_runs(fleet) == 3


class TestBestEffort:
    def test_best_effort_task_counts_gpus(self, fleet, leader):
        needs = model.Resources(1000, 100, 1)
        fleet.submit(model.Step(count=1, needs=needs, fills=True))
        settle(leader)
        assert not count_runs(fleet)
        fleet.resize(0, gpus=1)
        settle(leader)
        assert count_runs(fleet) == 1

    # It gets what other tasks leave unused, and these leave nothing.
    def test_no_best_effort_task_beside_runs_over_the_capacity(
        self, fleet, leader
    ):
        fleet.submit(harness.make_step(4, 1000))
        settle(leader)
        fleet.resize(0, cpu_milli=3000)
        fleet.submit(harness.make_step(1, 1000, fills=True))
        settle(leader)
        assert count_runs(fleet) == 4

    def test_memory_of_best_effort_tasks_counts(self, fleet, leader):
        fleet.submit(harness.make_step(4, 1000, fills=True))
        settle(leader)
        fleet.resize(0, memory_mb=350)
        fleet.submit(harness.make_step(1, 1000, fills=True))
        fleet.submit(harness.make_step(1, 1000))
        settle(leader)
        assert count_runs(fleet) == 4


class TestRefusedForWantOfRoom:
    @pytest.fixture
    def refusals(self, fleet, leader):
        """Numbers of the runs that worker 0, which has no room, refuses."""
        fleet.add_worker(1)
        leader.sync_workers()
        leader.report_all()
        refusals = []

        def refuse(order):
            refusals.append(order.run)
            return verdict.NotRun(verdict.RefusalReason.NO_CAPACITY, 'room')

        fleet.sim(0).start = refuse
        return refusals

    # The entry of a worker shows later than its refusals that it has shrunk.
    def test_queued_orders_are_refused_one_by_one(
        self, fleet, leader, refusals
    ):
        fleet.submit(harness.make_step(8, 1000))
        leader.run_cycle()
        leader.run_cycle()
        assert len(refusals) == 1
        assert count_runs(fleet) == 8

    def test_worker_that_refuses_is_tried_all_the_time(
        self, fleet, leader, refusals
    ):
        for _ in range(30):
            job_id = fleet.submit(harness.make_step(1, 1000))
            leader.run_cycle()
            leader.run_cycle()
            harness.finish(fleet, f'{job_id}.0.0.0')
            leader.advance(100)
        # After waits of 150, 300, 600 and 1200 ms.
        assert len(refusals) == 5

    def test_worker_is_used_as_soon_as_its_entry_shows_more_room(
        self, fleet, leader, refusals
    ):
        for _ in range(10):
            fleet.submit(harness.make_step(1, 100))
            leader.run_cycle()
            leader.advance(200)
        fleet.resize(0, cpu_milli=0)
        leader.sync_workers()
        del fleet.sim(0).start
        fleet.resize(0, cpu_milli=4000)
        leader.sync_workers()
        job_id = fleet.submit(harness.make_step(1, 1000))
        leader.run_cycle()
        assert takeovers.place(fleet, f'{job_id}.0.0.0') == 0

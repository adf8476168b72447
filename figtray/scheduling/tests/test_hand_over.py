"""Tests of orders that a restarted worker executes under its former id."""

import pytest

from figtray.fleet import memory
from figtray.fleet import messages
from figtray.jobs import records
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers


class Observer(memory.RunObserver):
    """Notes the starts of tasks that are running or done elsewhere."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.twice = []
        self.done = set()

    def run_started(self, sim, task, run):
        places = takeovers.running(self._fleet)[task]
        if len(places) > 1 or task in self.done:
            self.twice.append((task, run, places))

    def run_ended(self, sim, task, run, reason):
        if reason is messages.EndReason.DONE:
            self.done.add(task)


@pytest.fixture
def fleet():
    return harness.Fleet(2)


@pytest.fixture
def observer(fleet):
    observer = Observer(fleet)
    fleet.client._observer = observer
    for sim in fleet.client.sims.values():
        sim._observer = observer
    return observer


@pytest.fixture
def leader(fleet):
    leader = fleet.elect_leader()
    leader.report_all()
    leader.sync_workers()
    return leader


def list_new_entries(fleet):
    """List each worker with the incarnation that goes on."""
    for sim in harness.sims(fleet):
        fleet.workers[sim.worker.worker_id] = sim.worker


def order(leader, number=0):
    """Plan, and send the orders of one worker."""
    leader.sync_intake()
    leader.scheduler.plan()
    leader.flush()
    leader.deliver_orders(number)


def set_cordoned(leader, number, cordoned):
    """Set whether no task may start on a worker."""
    leader.worker_state(number).set_cordoned('test', cordoned)


def play(leader, cycles):
    """Let a leader work for some cycles."""
    for _ in range(cycles):
        leader.advance(takeovers.CYCLE_MS)
        leader.sync_workers()
        leader.run_cycle()


def start_on_restarted(fleet, leader, is_listed, lasting=False):
    """Order starts from a worker that starts again; return the tasks."""
    set_cordoned(leader, 1, True)
    job_id = fleet.submit(harness.make_step(2, lasting=lasting))
    leader.sync_intake()
    leader.scheduler.plan()
    leader.flush()
    set_cordoned(leader, 1, False)
    takeovers.restart(fleet, 0, is_listed)
    leader.deliver_orders(0)
    tasks = [f'{job_id}.0.0.{index}' for index in range(2)]
    assert sorted(takeovers.running(fleet)) == tasks
    return tasks


def report_all(leader, is_listed):
    """Let all workers report, a listed one in a session of its own."""
    if is_listed:
        leader.sync_workers()
    leader.report_all()


# The workers refuse nothing that carries their id, so a restarted one runs
# what its former incarnation was to start. Taken for lost, the tasks were
# started elsewhere as well.
@pytest.mark.parametrize('is_listed', [False, True])
@pytest.mark.parametrize('lasting', [False, True])
class TestOrdersForTheFormerIncarnation:
    def test_task_runs_on_both_workers(
        self, fleet, observer, leader, is_listed, lasting
    ):
        tasks = start_on_restarted(fleet, leader, is_listed, lasting)
        report_all(leader, is_listed)
        play(leader, 5)
        list_new_entries(fleet)
        play(leader, 30)
        assert not observer.twice
        assert sorted(takeovers.running(fleet)) == tasks

    # Its order may still be under way to the later incarnation.
    def test_start_without_a_reply_arrives_after_the_restart(
        self, fleet, observer, leader, is_listed, lasting
    ):
        set_cordoned(leader, 1, True)
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        fleet.client.choose_fault = lambda kind, _: (
            'late' if kind == 'start' else 'ok'
        )
        order(leader)
        fleet.client.choose_fault = lambda *_: 'ok'
        set_cordoned(leader, 1, False)
        takeovers.restart(fleet, 0, is_listed)
        report_all(leader, is_listed)
        fleet.client.execute_late_orders()
        list_new_entries(fleet)
        play(leader, 30)
        assert not observer.twice
        assert sorted(takeovers.running(fleet)) == [f'{job_id}.0.0.0']


class TestEndsOnTheLaterIncarnation:
    @pytest.mark.parametrize('is_listed', [False, True])
    def test_done_task_starts_again(self, fleet, observer, leader, is_listed):
        tasks = start_on_restarted(fleet, leader, is_listed)
        for task in tasks:
            fleet.sim(0).end(task, messages.EndReason.DONE)
        report_all(leader, is_listed)
        play(leader, 10)
        assert not observer.twice
        job_id = tasks[0].partition('.')[0]
        assert leader.state(job_id) is records.State.COMPLETED


class TestRunsOfTheFormerIncarnation:
    # What the former incarnation was seen to run has ended with it.
    @pytest.mark.parametrize('is_listed', [False, True])
    def test_lost_run_is_taken_for_one_of_the_later(
        self, fleet, observer, leader, is_listed
    ):
        set_cordoned(leader, 1, True)
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        set_cordoned(leader, 1, False)
        takeovers.restart(fleet, 0, is_listed)
        play(leader, 10)
        assert not observer.twice
        assert takeovers.running(fleet)[f'{job_id}.0.0.0']

    # A task that crashes its worker at once was never seen to run.
    def test_crash_at_the_start_shows_no_suspect(
        self, fleet, observer, leader
    ):
        set_cordoned(leader, 1, True)
        job_id = fleet.submit(harness.make_step())
        order(leader)
        leader.advance(50)
        takeovers.restart(fleet, 0, False)
        leader.report_all()
        task = leader.scheduler.find_task(f'{job_id}.0.0.0')
        assert task.crashes.count == 1


class TestAcknowledgedEnds:
    # The numbers of ends begin anew, so the number that the former
    # incarnation may forget covered ends of the later one, unseen.
    def test_end_of_the_later_incarnation_is_forgotten_unseen(
        self, fleet, observer, leader
    ):
        set_cordoned(leader, 1, True)
        for _ in range(2):
            job_id = fleet.submit(harness.make_step(3))
            order(leader)
            for index in range(3):
                fleet.sim(0).end(
                    f'{job_id}.0.0.{index}', messages.EndReason.DONE
                )
            leader.report(0)
            leader.report(0)
            assert leader.state(job_id) is records.State.COMPLETED
            assert not fleet.sim(0).ended
        takeovers.restart(fleet, 0, False)
        job_id = fleet.submit(harness.make_step())
        order(leader)
        fleet.sim(0).end(f'{job_id}.0.0.0', messages.EndReason.DONE)
        set_cordoned(leader, 1, False)
        play(leader, 10)
        assert not observer.twice
        assert leader.state(job_id) is records.State.COMPLETED

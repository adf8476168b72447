"""Tests of starts that a later incarnation may have executed, unseen."""

import pytest

from figtray.jobs import records
from figtray.platform import settings
from figtray.scheduling import leases
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers

# Workers grant longer leases than figtray asks for.
BOUNDS = settings.Bounds(hold_max_ms=10_000)
# Time on a worker's clock at which a lease of any length has not begun yet.
AGE_MS = 3 * BOUNDS.hold_max_ms
LONGEST_LEASE_MS = leases.longest_lease_ms(BOUNDS)
LONGEST_WORKER_LEASE_MS = leases.longest_worker_lease_ms(BOUNDS)
# Time for a report that fails, a retry and a start after the lease is over.
START_MS = 1500
# Delay of a late order.
LATE_MS = 4000


@pytest.fixture
def fleet():
    return harness.Fleet(2, bounds=BOUNDS)


@pytest.fixture
def leader(fleet):
    """A Leader of two workers, the second of which is cordoned."""
    leader = fleet.elect_leader()
    leader.report_all()
    leader.advance(AGE_MS)
    leader.report_all()
    takeovers.play(leader, 2 * takeovers.CYCLE_MS)
    leader.worker_state(1).set_cordoned('test', True)
    return leader


def submit(fleet, lasting=True):
    job_id = fleet.submit(harness.make_step(lasting=lasting))
    return f'{job_id}.0.0.0'


def plan(leader):
    leader.sync_intake()
    leader.scheduler.plan()
    leader.flush()


def wait_until_moved(fleet, leader, task, ms):
    """Play until a task runs on the other worker."""
    leader.worker_state(1).set_cordoned('test', False)
    takeovers.play(leader, ms + START_MS)
    assert takeovers.place(fleet, task) == 1


def stored(fleet, task):
    """Return the stored Placement of a task."""
    job_id, key = task.split('.', 1)
    item = fleet.store.get(records.PROGRESS_PREFIX + job_id)
    return records.decode_progress(item.value).placements.get(key)


class TestUnseenIncarnation:
    # It has answered, on another connection than the one that was checked.
    @pytest.mark.parametrize('lasting', [False, True])
    @pytest.mark.parametrize('fault', ['ok', 'lost'])
    def test_it_goes_on_for_longer_than_the_former_could(
        self, fleet, leader, fault, lasting
    ):
        task = submit(fleet, lasting)
        plan(leader)
        takeovers.restart(fleet, 0, False)
        fleet.client.choose_fault = lambda *_: fault
        leader.deliver_orders(0, limit=1)
        assert takeovers.place(fleet, task) == 0
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task, LONGEST_WORKER_LEASE_MS)

    # No record tells of the starts of tasks that end.
    def test_next_leader_knows_of_no_start_of_a_task_that_ends(
        self, fleet, leader
    ):
        task = submit(fleet, lasting=False)
        plan(leader)
        takeovers.restart(fleet, 0, False)
        fleet.client.choose_fault = lambda *_: 'lost'
        leader.deliver_orders(0, limit=1)
        takeovers.silence(fleet, 0)
        leader = fleet.elect_leader()
        wait_until_moved(fleet, leader, task, LONGEST_WORKER_LEASE_MS)

    # The former one was checked, and the start is executed seconds later.
    @pytest.mark.parametrize('lasting', [False, True])
    def test_it_executes_a_start_late(self, fleet, leader, lasting):
        task = submit(fleet, lasting)
        plan(leader)
        fleet.client.choose_fault = lambda *_: 'late'
        leader.deliver_orders(0, limit=1)
        takeovers.restart(fleet, 0, False)
        takeovers.silence(fleet, 0)
        takeovers.play(leader, LATE_MS)
        fleet.client.execute_late_orders()
        assert takeovers.place(fleet, task) == 0
        wait_until_moved(fleet, leader, task, LONGEST_WORKER_LEASE_MS)


class TestSureStart:
    """Runs that their workers certainly had wait for no longer lease."""

    @pytest.fixture
    def task(self, fleet, leader):
        task = submit(fleet)
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        assert takeovers.place(fleet, task) == 0
        return task

    # Its lease ends by then, and the start of another one got no answer.
    @pytest.mark.parametrize('is_same_leader', [False, True])
    def test_waits_for_the_unsure_start_of_another(
        self, fleet, leader, task, is_same_leader
    ):
        submit(fleet)
        plan(leader)
        fleet.client.choose_fault = lambda *_: 'lost'
        leader.deliver_orders(0, limit=1)
        takeovers.silence(fleet, 0)
        if not is_same_leader:
            leader = fleet.elect_leader()
            leader.report_all()
        wait_until_moved(fleet, leader, task, LONGEST_LEASE_MS)

    def test_placement_is_stored_as_sure(self, fleet, leader, task):
        assert not stored(fleet, task).unsure

    def test_placement_is_unsure_before_the_start(self, fleet, leader):
        task = submit(fleet)
        plan(leader)
        assert stored(fleet, task).unsure

    # Its worker has ended, and the task is to start elsewhere.
    def test_late_answer_changes_no_later_placement(self, fleet, leader):
        task = submit(fleet)
        plan(leader)
        run = leader.scheduler.find_task(task).run
        leader.worker_state(1).set_cordoned('test', False)
        takeovers.leave(fleet, 0)
        for _ in range(10):
            leader.advance(takeovers.CYCLE_MS)
            leader.sync_workers()
            leader.report(0)
            leader.scheduler.reconcile_hosts(fleet.hosts)
        assert run.task.run is None
        plan(leader)
        leader.scheduler.handle_started(run)
        leader.flush()
        placement = stored(fleet, task)
        assert placement.is_at(records.Placement('worker-1', 1))
        assert placement.unsure

    # A record of the release before this one.
    def test_earlier_placement_is_sure(self):
        progress = records.Progress(placements={'0.0.0': ('w', 1)})
        data = records.encode(progress)
        assert not records.decode_progress(data).placements['0.0.0'].unsure

"""Tests of orders for an incarnation of a worker that a later one executes.

Times in such an order are those of a clock that the later one doesn't have.
"""

import dataclasses

import pytest

from figtray.platform import settings
from figtray.scheduling import leases
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers

# Workers grant longer leases than figtray asks for.
BOUNDS = settings.Bounds(hold_max_ms=10_000)
# Time on a worker's clock at which a lease of any length has not begun yet.
AGE_MS = 3 * BOUNDS.hold_max_ms
LONGEST_LEASE_MS = BOUNDS.hold_max_ms / leases.SLOWEST_CLOCK_RATE
# Time for a report that fails, a retry and a start after the lease is over.
START_MS = 1500


@pytest.fixture
def fleet():
    return harness.Fleet(2, rate=leases.SLOWEST_CLOCK_RATE, bounds=BOUNDS)


@pytest.fixture
def leader(fleet):
    """A Leader whose workers have been idle for long."""
    leader = fleet.elect_leader()
    leader.report_all()
    leader.sync_workers()
    leader.advance(AGE_MS)
    leader.report_all()
    leader.sync_workers()
    return leader


def plan_on(fleet, leader, number, count=1, **fields):
    """Plan tasks on one of the two workers; return their names."""
    other = leader.worker_state(1 - number)
    other.set_cordoned('test', True)
    job_id = fleet.submit(harness.make_step(count, **fields))
    leader.sync_intake()
    leader.scheduler.plan()
    leader.flush()
    other.set_cordoned('test', False)
    return [f'{job_id}.0.0.{index}' for index in range(count)]


def make_late(fleet, kind):
    """Let orders of one kind be executed late, without a reply."""
    fleet.client.choose_fault = lambda of, _: 'late' if of == kind else 'ok'


def heal(fleet):
    fleet.client.choose_fault = lambda *_: 'ok'


def start_on_restarted(fleet, leader, lasting):
    """Send a start to a worker that has started again; return its task."""
    [task] = plan_on(fleet, leader, 0, lasting=lasting)
    takeovers.restart(fleet, 0, True)
    leader.deliver_orders(0)
    assert takeovers.place(fleet, task) == 0
    return task


def wait_until_moved(fleet, leader, task):
    """Play until a task runs on the other worker, once at a time."""
    takeovers.play(leader, int(LONGEST_LEASE_MS) + START_MS)
    assert takeovers.place(fleet, task) == 1


@pytest.mark.parametrize('lasting', [True, False])
class TestLeaseAfterAChangeOfTheLeader:
    # The next leader waited for the lease that the orders had asked for.
    def test_start_of_the_former_incarnation_gets_a_longer_lease(
        self, fleet, leader, lasting
    ):
        task = start_on_restarted(fleet, leader, lasting)
        takeovers.play(leader, 300)
        takeovers.silence(fleet, 0)
        leader = fleet.elect_leader()
        leader.scheduler.set_loaded()
        wait_until_moved(fleet, leader, task)

    # The record of leases bounds a wait that goes on with the next change.
    def test_second_change_of_the_leader_forgets_it(
        self, fleet, leader, lasting
    ):
        task = start_on_restarted(fleet, leader, lasting)
        takeovers.play(leader, 300)
        takeovers.silence(fleet, 0)
        takeovers.play(fleet.elect_leader(), 2000)
        wait_until_moved(fleet, fleet.elect_leader(), task)

    # No leader has had a report of the later incarnation.
    def test_leader_is_lost_before_the_first_report(
        self, fleet, leader, lasting
    ):
        task = start_on_restarted(fleet, leader, lasting)
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, fleet.elect_leader(), task)

    # The next leader has the first report, and loses the worker at once.
    def test_worker_falls_silent_after_its_first_report(
        self, fleet, leader, lasting
    ):
        task = start_on_restarted(fleet, leader, lasting)
        leader = fleet.elect_leader()
        leader.report_all()
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task)


@pytest.mark.parametrize('is_listed', [True, False])
class TestLeaseInTheSameTerm:
    # An idle worker starts again between two reports. The request for the
    # next one extends the lease of the later incarnation.
    def test_request_for_a_report_grants_a_longer_lease(
        self, fleet, leader, is_listed
    ):
        takeovers.restart(fleet, 0, is_listed)
        leader.report(0)
        leader.sync_workers()
        fleet.workers['worker-0'] = fleet.sim(0).worker
        takeovers.play(leader, 200)
        [task] = plan_on(fleet, leader, 0, lasting=True)
        leader.run_cycle()
        assert takeovers.place(fleet, task) == 0
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task)


class TestLateOrders:
    # The worker had confirmed the stop, and lacked the run in its report; its
    # next incarnation knows of neither.
    def test_stopped_start_begins_on_the_later_incarnation(
        self, fleet, leader
    ):
        [task] = plan_on(fleet, leader, 0)
        make_late(fleet, 'start')
        leader.deliver_orders(0)
        heal(fleet)
        takeovers.play(leader, 2000)
        takeovers.restart(fleet, 0, True)
        takeovers.play(leader, 500)
        assert takeovers.place(fleet, task) == 1
        fleet.client.execute_late_orders()
        assert takeovers.place(fleet, task) == 1

    # A request that is executed late extends the lease of an incarnation
    # that the leader has counted before.
    def test_request_for_a_report_extends_the_lease_later(self, fleet, leader):
        make_late(fleet, 'report')
        leader.report(0)
        heal(fleet)
        takeovers.restart(fleet, 0, True)
        takeovers.play(leader, 500)
        [task] = plan_on(fleet, leader, 0, lasting=True)
        leader.run_cycle()
        takeovers.play(leader, int(LONGEST_LEASE_MS))
        assert takeovers.place(fleet, task) == 0
        fleet.client.execute_late_orders()
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task)


class TestOrdersAfterTheFirstReport:
    # A worker refuses what is sent to its former incarnation, as the later
    # one has had a higher token. That is no sign of another leader.
    @pytest.mark.parametrize('kind', ['start', 'report'])
    def test_refused_order_ends_the_term(self, fleet, leader, kind):
        [task] = plan_on(fleet, leader, 0)
        former = leader.worker_state(0)
        former_session = leader._sessions[former.worker.incarnation]
        order = former.orders.get()
        takeovers.restart(fleet, 0, True)
        leader.sync_workers()
        [later] = [
            found
            for found in leader.scheduler.worker_states()
            if found.worker == fleet.sim(0).worker
        ]
        report = fleet.client.report(later.worker, later.fence, 0, None, 0, 0)
        assert report.born_ms == later.worker.born_ms
        if kind == 'start':
            former_session.execute(order)
        else:
            former_session.report_once()
        assert not leader.term.ended.is_set()
        takeovers.play(leader, 1000)
        assert takeovers.running(fleet)[task]

    def test_refusal_by_another_leader_is_ignored(self, fleet, leader):
        worker_state = leader.worker_state(0)
        fleet.client.report(
            worker_state.worker, leader.term.epoch + 100, 0, None, 0, 0
        )
        leader.report(0)
        assert leader.term.ended.is_set()

    # An entry of another writer made the worker refuse its own orders: it had
    # seen the token of the incarnation that the entry named.
    def test_odd_entry_locks_its_worker_out(self, fleet, leader):
        worker = fleet.workers['worker-0']
        fleet.workers['worker-0'] = dataclasses.replace(worker, born_ms=9)
        takeovers.play(leader, 500)
        fleet.workers['worker-0'] = worker
        takeovers.play(leader, 500)
        [task] = plan_on(fleet, leader, 0)
        takeovers.play(leader, 500)
        assert takeovers.place(fleet, task) == 0

"""Tests of values of one incarnation of a worker that reach another one.

The incarnations have the same id; see also test_restarted_worker.
"""

import dataclasses

import msgspec
import pytest

from figtray.platform import settings
from figtray.scheduling import leases
from figtray.scheduling import roster as rosters
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray.scheduling.tests import test_advice
from figtray.scheduling import writer as writers
from figtray.store import base

# Workers grant longer leases than figtray asks for.
BOUNDS = settings.Bounds(hold_max_ms=10_000)
# Time on a worker's clock at which a lease of any length has not begun yet.
AGE_MS = 3 * BOUNDS.hold_max_ms
LONGEST_LEASE_MS = leases.longest_lease_ms(BOUNDS)
LONGEST_WORKER_LEASE_MS = leases.longest_worker_lease_ms(BOUNDS)
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


def plan_on(fleet, leader, number, **fields):
    """Plan a task on one of the two workers; return its name."""
    other = leader.worker_state(1 - number)
    other.set_cordoned('test', True)
    job_id = fleet.submit(harness.make_step(**fields))
    leader.sync_intake()
    leader.scheduler.plan()
    leader.flush()
    other.set_cordoned('test', False)
    return f'{job_id}.0.0.0'


def make_late(fleet, kind):
    """Let orders of one kind be executed late, without a reply."""
    fleet.client.choose_fault = lambda of, _: 'late' if of == kind else 'ok'


def lose(fleet, kind):
    """Let the replies to orders of one kind be lost."""
    fleet.client.choose_fault = lambda of, _: 'lost' if of == kind else 'ok'


def heal(fleet):
    fleet.client.choose_fault = lambda *_: 'ok'


def incarnation(leader, born_ms):
    """Return the WorkerState of an incarnation of the first worker."""
    [found] = [
        found
        for found in leader.scheduler.worker_states()
        if found.worker.worker_id == 'worker-0'
        and found.worker.born_ms == born_ms
    ]
    return found


def start_on_restarted(fleet, leader, is_listed):
    """Send a start to a worker that has started again, which then is silent.

    The reply is lost.
    """
    task = plan_on(fleet, leader, 0, lasting=True)
    takeovers.restart(fleet, 0, is_listed)
    lose(fleet, 'start')
    leader.deliver_orders(0, limit=1)
    assert takeovers.place(fleet, task) == 0
    takeovers.silence(fleet, 0)
    return task


def wait_until_moved(fleet, leader, task, ms=LONGEST_WORKER_LEASE_MS):
    """Play until a task runs on the other worker, once at a time."""
    takeovers.play(leader, ms + START_MS)
    assert takeovers.place(fleet, task) == 1


class TestUnseenIncarnation:
    """No leader has a report of the later incarnation."""

    # The same term: the lease of the former one was counted.
    @pytest.mark.parametrize('is_listed', [True, False])
    def test_silent_incarnation_holds_a_longer_lease(
        self, fleet, leader, is_listed
    ):
        task = start_on_restarted(fleet, leader, is_listed)
        wait_until_moved(fleet, leader, task)

    # Its entry was never in the store, or still is that of the former one.
    @pytest.mark.parametrize('entry', ['none', 'former'])
    def test_next_leader_knows_of_no_restart(self, fleet, leader, entry):
        task = start_on_restarted(fleet, leader, False)
        if entry == 'none':
            del fleet.workers['worker-0']
        wait_until_moved(fleet, fleet.elect_leader(), task)

    # The roster tells nothing of a restart that was noted for a time at
    # which a long term began.
    def test_entry_goes_before_the_leader(self, fleet, leader):
        task = start_on_restarted(fleet, leader, True)
        takeovers.play(leader, 500)
        del fleet.workers['worker-0']
        takeovers.play(leader, 500)
        wait_until_moved(fleet, fleet.elect_leader(), task)


class TestRosterWithoutRestarts:
    @pytest.fixture
    def task(self, fleet, leader):
        """A task on a later incarnation, with a longer lease."""
        task = plan_on(fleet, leader, 0, lasting=True)
        takeovers.restart(fleet, 0, True)
        leader.deliver_orders(0)
        takeovers.play(leader, 300)
        takeovers.silence(fleet, 0)
        return task

    # The release before this one writes and copies no `restarted`.
    def test_leader_of_the_earlier_release_forgets_them(self, fleet, task):
        item = fleet.store.get(rosters.ROSTER_KEY)
        roster = rosters.decode(item.value)
        assert roster.restarted
        roster = msgspec.json.encode(
            {'lives': roster.lives, 'placements_recorded': True}
        )
        fleet.store.txn((), [base.Put(rosters.ROSTER_KEY, roster)])
        wait_until_moved(fleet, fleet.elect_leader(), task)

    # Any worker may be a later incarnation.
    def test_roster_can_not_be_read(self, fleet, task):
        roster = rosters.encode(rosters.UNKNOWN)
        fleet.store.txn((), [base.Put(rosters.ROSTER_KEY, roster)])
        wait_until_moved(fleet, fleet.elect_leader(), task)


class TestLateStart:
    # The former incarnation has confirmed a stop. That tells nothing of the
    # later one, which has not seen its own fencing token yet.
    def test_stop_of_the_former_one_counts_for_the_later(self, fleet, leader):
        task = plan_on(fleet, leader, 0)
        make_late(fleet, 'start')
        leader.deliver_orders(0, limit=1)
        heal(fleet)
        takeovers.restart(fleet, 0, True)
        leader.report(0)
        leader.run_cycle()
        fleet.client.execute_late_orders()
        assert len(takeovers.running(fleet)[task]) == 1

    def test_confirmed_stop_counts_for_the_later(self, fleet, leader):
        task = plan_on(fleet, leader, 0)
        make_late(fleet, 'start')
        leader.deliver_orders(0, limit=1)
        heal(fleet)
        leader.deliver_orders(0)
        assert leader.worker_state(0).runs[task].confirmed_ms is not None
        leader.advance(100)
        takeovers.restart(fleet, 0, True)
        leader.report(0)
        leader.run_cycle()
        fleet.client.execute_late_orders()
        assert len(takeovers.running(fleet)[task]) == 1

    # Nothing that the leader does reaches the later incarnation in time.
    def test_start_is_executed_before_any_call_of_the_leader(
        self, fleet, leader
    ):
        task = plan_on(fleet, leader, 0)
        make_late(fleet, 'start')
        leader.deliver_orders(0)
        heal(fleet)
        leader.worker_state(0).set_cordoned('test', True)
        takeovers.play(leader, 2000)
        assert takeovers.place(fleet, task) == 1
        takeovers.restart(fleet, 0, True)
        fleet.client.execute_late_orders()
        assert len(takeovers.running(fleet)[task]) == 1

    # The host list shows the end of the former incarnation, the next leader
    # has never heard of it.
    def test_ended_incarnation_is_forgotten_by_the_next_leader(
        self, fleet, leader
    ):
        make_late(fleet, 'report')
        leader.report(0)
        heal(fleet)
        fleet.client.crash('10.0.0.0:80')
        takeovers.set_down(fleet, 0)
        takeovers.play(leader, 1000)
        assert all(
            found.worker.worker_id != 'worker-0'
            for found in leader.scheduler.worker_states()
        )
        del fleet.workers['worker-0']
        leader.sync_workers()
        fleet.add_worker(0, born_ms=2)
        fleet.client.execute_late_orders()
        assert fleet.sim(0).lease_until_ms == BOUNDS.hold_max_ms
        leader = fleet.elect_leader()
        leader.report_all()
        leader.sync_workers()
        task = plan_on(fleet, leader, 0, lasting=True)
        leader.deliver_orders(0)
        assert takeovers.place(fleet, task) == 0
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task)


class TestTwoRestarts:
    # No record is stored between them, so the third incarnation accepts the
    # orders for the second, which the leader has found late.
    def test_both_have_the_same_token(self, fleet, leader):
        plan_on(fleet, leader, 0, lasting=True)
        takeovers.restart(fleet, 0, False)
        leader.deliver_orders(0)
        for _ in range(10):
            leader.advance(500)
            leader.sync_workers()
        flush, leader.flush = leader.flush, lambda: None
        leader.report(0)
        leader.sync_workers()
        second = incarnation(leader, 2)
        make_late(fleet, 'report')
        leader._report(second)
        heal(fleet)
        takeovers.restart(fleet, 0, True, born_ms=3)
        leader._report(second)
        leader.sync_workers()
        third = incarnation(leader, 3)
        leader._report(third)
        leader.flush = flush
        leader.advance(2000)
        fleet.client.execute_late_orders()
        leader._report(third)
        assert fleet.sim(0).lease_until_ms <= third.lease_until_ms


class TestWorkerThatDidNotRestart:
    # Its entry was gone for a while. It is the same incarnation, so no order
    # for another one can have reached it.
    def test_entry_that_returns_counts_as_a_restart(self, fleet, leader):
        worker = fleet.workers.pop('worker-0')
        takeovers.play(leader, 300)
        fleet.workers['worker-0'] = worker
        # Longer than an incarnation that has ended is ignored.
        takeovers.play(leader, 1000)
        task = plan_on(fleet, leader, 0, lasting=True)
        leader.run_cycle()
        assert takeovers.place(fleet, task) == 0
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task, LONGEST_LEASE_MS)

    # Entries expire in an outage, and return after the change of the leader.
    # Until then the worker has reported, and has neither entry nor runs.
    def test_entry_that_expired_counts_as_a_restart(self, fleet, leader):
        worker = fleet.workers.pop('worker-0')
        leader = fleet.elect_leader()
        takeovers.play(leader, 300)
        fleet.workers['worker-0'] = worker
        takeovers.play(leader, 1000)
        task = plan_on(fleet, leader, 0, lasting=True)
        leader.run_cycle()
        assert takeovers.place(fleet, task) == 0
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task, LONGEST_LEASE_MS)

    # The same for the wait of the next leader.
    def test_returned_entry_is_on_the_roster_as_restarted(self, fleet, leader):
        worker = fleet.workers.pop('worker-0')
        takeovers.play(leader, 300)
        fleet.workers['worker-0'] = worker
        takeovers.play(leader, 1000)
        item = fleet.store.get(rosters.ROSTER_KEY)
        assert not rosters.decode(item.value).restarted

    # An entry of another writer is there for one heartbeat.
    def test_odd_entry_counts_as_a_restart(self, fleet, leader):
        task = plan_on(fleet, leader, 0, lasting=True)
        leader.run_cycle()
        worker = fleet.workers['worker-0']
        fleet.workers['worker-0'] = dataclasses.replace(worker, born_ms=9)
        leader.sync_workers()
        fleet.workers['worker-0'] = worker
        takeovers.play(leader, 1000)
        assert takeovers.place(fleet, task) == 0
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, leader, task, LONGEST_LEASE_MS)

    # The reply to a request for the incarnation of the odd entry was lost, so
    # its token was not known as that of the worker.
    def test_lost_reply_to_an_odd_entry_ends_the_term(self, fleet, leader):
        worker = fleet.workers['worker-0']
        fleet.workers['worker-0'] = dataclasses.replace(worker, born_ms=9)
        leader.sync_workers()
        lose(fleet, 'report')
        leader._report(incarnation(leader, 9))
        heal(fleet)
        fleet.workers['worker-0'] = worker
        for _ in range(3):
            leader.sync_workers()
        takeovers.play(leader, 500)
        plan_on(fleet, leader, 0)
        takeovers.play(leader, 500)
        assert not leader.term.ended.is_set()


class CountingDict(dict):
    """Dict that counts the keys and values that were iterated over."""

    looks = 0

    def _count(self, items):
        for item in items:
            self.looks += 1
            yield item

    def __iter__(self):
        return self._count(list(super().keys()))

    def keys(self):
        return iter(self)

    def values(self):
        return self._count(list(super().values()))

    def items(self):
        return self._count(list(super().items()))


class TestManyWorkers:
    # For each new worker in the list, all others were looked at: 2.8 s for
    # the first list of 5,000 workers, under the scheduler's lock.
    def test_list_of_workers_looks_at_all_pairs(self, fleet, leader):
        for number in range(2, 400):
            fleet.add_worker(number)
        states = CountingDict(leader.scheduler._worker_states)
        leader.scheduler._worker_states = states
        leader.sync_workers()
        assert len(states) == 400
        assert states.looks <= 20 * len(states)


class TestStoredOrder:
    """Runs are handed over while many records wait for the store."""

    # One transaction has the new placement, the next one the roster; or the
    # other way round.
    @pytest.mark.parametrize('is_roster_first', [True, False])
    @pytest.mark.parametrize('others', [0, writers.KEYS_PER_TXN - 1])
    def test_leader_is_lost_between_placement_and_roster(
        self, fleet, leader, is_roster_first, others
    ):
        task = plan_on(fleet, leader, 0, lasting=True)
        takeovers.restart(fleet, 0, True)
        leader.deliver_orders(0)
        leader.flush()
        if is_roster_first:
            leader.scheduler._enqueue_roster()
        for number in range(others):
            leader.writer.enqueue(f'x/{number}', lambda: b'x', urgent=True)
        flush, leader.flush = leader.flush, lambda: None
        leader.report(0)
        assert leader.writer.flush_once()
        leader.flush = flush
        takeovers.silence(fleet, 0)
        wait_until_moved(fleet, fleet.elect_leader(), task)


class TestPlaceOfAnotherIncarnation:
    # A report names no pool; the entry does. That of the former incarnation
    # was believed of the later one.
    def test_later_incarnation_is_in_another_pool(self, fleet, leader):
        takeovers.restart(fleet, 0, False)
        leader.report(0)
        fleet.workers['worker-0'] = dataclasses.replace(
            fleet.sim(0).worker, pool='spare'
        )
        leader.sync_workers()
        takeovers.play(leader, 500)
        assert incarnation(leader, 2).worker.pool == 'spare'


class TestTicketOfAnotherIncarnation:
    # A ticket is valid during one life of a worker. The worker refused the
    # start, and the leader asked for all tickets of the step again.
    def test_ticket_is_used_for_the_later_incarnation(self):
        site = test_advice.Site()
        site.fleet.submit(harness.make_step(2, 8000))
        site.leader.run_cycle()
        site.approve(['worker-0'])
        site.leader.run_cycle()
        assert site.running() == [0]
        takeovers.restart(site.fleet, 0, True)
        site.leader.sync_workers()
        site.leader.report_all()
        site.leader.sync_workers()
        site.leader.scheduler.plan()
        tickets = [
            run.ticket
            for found in site.leader.scheduler.worker_states()
            if found.worker.born_ms == 2
            for run in found.runs.values()
        ]
        assert not any(tickets)


class TestRealOtherLeader:
    # A refusal that this leader's own token explains hid another leader's.
    def test_later_leader_is_overlooked(self, fleet, leader):
        takeovers.restart(fleet, 0, True)
        former = incarnation(leader, 1)
        leader.sync_workers()
        later = incarnation(leader, 2)
        fleet.client.report(
            later.worker, leader.term.epoch + 1000, 0, None, 0, 0
        )
        leader._report(former)
        leader._report(later)
        assert leader.term.ended.is_set()

"""Tests of the leader's threads on a clock that waits let pass."""

import pytest

from figtray.leadership import term as terms
from figtray.platform import documents
from figtray.platform import store as platform_store
from figtray.scheduling import roster as rosters
from figtray.scheduling import service
from figtray.scheduling import session
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import leaders
from figtray.store import base
from figtray.store.tests import outages

LEASE_MS = 2 * outages.ENDLESS_MS


class Site:
    """A leader whose threads a test runs, and a store that hangs.

    Attributes:
        store: the HangingStore.
        clock: its PassingClock.
        fleet: the Fleet.
        leader: the _LeaderTerm.
        stored_ms: local time from which on the writer can store records.
    """

    def __init__(self):
        self.store = outages.HangingStore()
        self.clock = self.store.clock
        self.fleet = harness.Fleet(2, store=self.store)
        self.fleet.submit(harness.make_step())
        lease = self.store.grant_lease(LEASE_MS)
        self.store.txn(
            (),
            [base.Put(rosters.ROSTER_KEY, rosters.encode(rosters.Roster()))],
        )
        result = self.store.txn((), [base.Put(terms.LEADER_KEY, b'', lease)])
        term = terms.Term(
            result.revision, lease, self.clock, self.clock.now_ms()
        )
        self.leader = service._LeaderTerm(
            service.LeaderService(
                self.store,
                self.clock,
                leaders.View(self.fleet),
                self._list_workers,
                self.fleet.client,
                None,
                None,
                harness.BOUNDS,
            ),
            term,
        )
        self.stored_ms = 0
        self.leader._writer.wait = self._wait_for_writer

    def _list_workers(self):
        self.store.range(documents.WORKER_PREFIX)
        return list(self.fleet.workers.values())

    def _wait_for_writer(self, sequence, timeout_ms):
        left_ms = self.stored_ms - self.clock.now_ms()
        if left_ms > timeout_ms:
            self.clock.advance(timeout_ms)
            return False
        self.clock.advance(max(0, left_ms))
        while not self.leader._writer.is_written(sequence):
            if not self.leader._writer.flush_once():
                return False
        return True

    def count_calls(self, on_call):
        """Call a function with the number of each call of the store."""
        begin_call = self.store._begin_call
        numbers = iter(range(1_000_000))

        def begin_counted_call():
            on_call(next(numbers))
            begin_call()

        self.store._begin_call = begin_counted_call

    def poll_until(self, is_over):
        """Read the list of workers until a condition holds."""
        self.leader._term.ended = outages.Condition(is_over)
        self.leader._poll_workers()

    def worker_state(self, number):
        """Return the WorkerState of a worker."""
        [found] = (
            worker_state
            for worker_state in self.leader._scheduler.worker_states()
            if worker_state.worker.worker_id == f'worker-{number}'
        )
        return found


@pytest.fixture
def site(monkeypatch):
    monkeypatch.setattr(session.Session, 'start', lambda self: None)
    return Site()


class TestLoad:
    # Calls of a takeover; each further page of a list costs one more.
    CALLS = 6

    # Each call takes its time, and one more may fail.
    def test_takeover_makes_more_calls(self, site):
        numbers = []
        site.count_calls(numbers.append)
        site.leader._writer.wait = lambda sequence, timeout_ms: True
        assert site.leader._load()
        assert len(numbers) == self.CALLS

    # A call that hangs, or is repeated too late, keeps all tasks waiting.
    @pytest.mark.parametrize('outage_ms', range(100, 4000, 300))
    @pytest.mark.parametrize('number', range(CALLS))
    def test_state_is_read_long_after_an_outage(self, site, outage_ms, number):
        def begin_outage(call):
            if call == number:
                site.store.fail_for(outage_ms)

        site.count_calls(begin_outage)
        assert site.leader._load()
        assert site.store.since_back_ms() <= (
            platform_store.CALL_TIMEOUT_MS + service.RETRY_MS
        )


class TestRoster:
    # The roster was stored, and nothing told the scheduler so.
    @pytest.mark.parametrize('late_ms', range(0, 3000, 130))
    def test_worker_is_unused_long_after_the_roster_is_stored(
        self, site, late_ms
    ):
        site.stored_ms = site.clock.now_ms() + late_ms
        assert site.leader._load()
        if not site.worker_state(0).on_roster:
            site.poll_until(lambda: site.worker_state(0).on_roster)
        assert site.clock.now_ms() - site.stored_ms <= service.WORKERS_POLL_MS

    # The whole wait holds up the takeover if the store hangs.
    def test_takeover_waits_for_the_roster(self, site):
        began_ms = site.clock.now_ms()
        site.stored_ms = began_ms + outages.ENDLESS_MS
        assert site.leader._load()
        assert site.clock.now_ms() - began_ms <= (
            service.ROSTER_WRITE_TIMEOUT_MS
        )


class TestEntriesAfterAnOutage:
    # Until a worker that is gone counts as unlisted, the host list can't
    # resolve its runs.
    @pytest.mark.parametrize('outage_ms', range(1000, 6000, 170))
    def test_worker_that_is_gone_stays_listed(self, site, outage_ms):
        assert site.leader._load()
        site.store.fail_for(outage_ms)
        del site.fleet.workers['worker-0']
        worker_state = site.worker_state(0)
        site.poll_until(lambda: not worker_state.listed)
        assert site.store.since_back_ms() <= (
            platform_store.CALL_TIMEOUT_MS
            + service.ENTRY_RECOVERY_MS
            + service.WORKERS_POLL_MS
        )

    # Nothing starts on an unlisted worker.
    def test_worker_is_unused_long_after_its_entry_is_back(self, site):
        assert site.leader._load()
        worker = site.fleet.workers.pop('worker-0')
        worker_state = site.worker_state(0)
        worker_state.runs['a'] = None
        site.poll_until(lambda: not worker_state.listed)
        site.fleet.workers['worker-0'] = worker
        back_ms = site.clock.now_ms()
        site.poll_until(lambda: worker_state.listed)
        assert site.clock.now_ms() - back_ms <= service.WORKERS_POLL_MS

    # The host list could not resolve an incarnation of an earlier term.
    def test_worker_without_an_entry_is_listed_in_a_new_term(self, site):
        worker = site.fleet.workers.pop('worker-0')
        site.store.txn(
            (),
            [
                base.Put(
                    rosters.ROSTER_KEY,
                    rosters.encode(rosters.Roster((worker.incarnation,))),
                )
            ],
        )
        assert site.leader._load()
        assert not site.worker_state(0).listed

    # An entry expires in an outage although its worker goes on.
    def test_worker_without_an_entry_is_unlisted_at_once(self, site):
        assert site.leader._load()
        site.store.fail_for(3000)
        worker = site.fleet.workers.pop('worker-0')
        worker_state = site.worker_state(0)
        unlisted = []
        left_ms = service.WORKERS_POLL_MS

        def is_over():
            unlisted.append(not worker_state.listed)
            since_back_ms = site.store.since_back_ms()
            if since_back_ms >= service.ENTRY_RECOVERY_MS - left_ms:
                site.fleet.workers['worker-0'] = worker
            return since_back_ms >= 2 * service.ENTRY_RECOVERY_MS

        site.poll_until(is_over)
        assert not any(unlisted)

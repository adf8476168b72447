"""Tests of acquiring, renewing and releasing the leadership."""

import threading

import logbook
import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.events import catalogue
from figtray.leadership import elector
from figtray.leadership import term as terms
from figtray.platform import store as platform_store
from figtray.store import base
from figtray.store import memory
from figtray.store import prefix_watcher
from figtray.store.tests import outages

WAIT_S = 10


@pytest.fixture
def clock():
    return clock_lib.ManualClock()


@pytest.fixture
def store(clock):
    return memory.MemoryStore(clock)


def make_elector(store, clock, node='node-1', incarnation='a', lead=None):
    """Return a LeaderElector."""
    record = terms.LeaderRecord(node, incarnation, f'{node}:1')
    return elector.LeaderElector(
        store, clock, record, lead or (lambda term: None)
    )


class TestAcquire:
    def test_one_of_two_acquires(self, store, clock):
        first = make_elector(store, clock)._try_acquire()
        second = make_elector(store, clock, 'node-2')._try_acquire()
        assert first is not None and second is None
        assert store.get(terms.LEADER_KEY).mod_revision == first.epoch

    def test_later_terms_have_higher_epochs(self, store, clock):
        first = make_elector(store, clock)._try_acquire()
        store.revoke(first.lease_id)
        assert (
            make_elector(store, clock, 'node-2')._try_acquire().epoch
            > first.epoch
        )

    # The write of the key may be executed although its reply is lost.
    def test_lost_reply_of_the_write(self, store, clock):
        store.replies_to_lose = 1
        term = make_elector(store, clock)._try_acquire()
        assert term is not None
        assert term.epoch == store.get(terms.LEADER_KEY).mod_revision

    # If the lease were kept, a write of the key that is executed late would
    # make a node the leader without its knowledge.
    def test_failed_attempt_leaves_no_lease(self, store, clock):
        make_elector(store, clock)._try_acquire()
        second = make_elector(store, clock, 'node-2')
        assert second._try_acquire() is None
        assert len(store.dump()[2]) == 1

    def test_no_term_during_an_outage(self, store, clock):
        store.down = True
        assert make_elector(store, clock)._try_acquire() is None


class TestTerm:
    # A leader must stop starting tasks before another node can become the
    # leader.
    def test_invalid_before_the_lease_can_end(self, store, clock):
        term = make_elector(store, clock)._try_acquire()
        clock.advance(terms.LEASE_TTL_MS - terms.EXPIRY_MARGIN_MS - 1)
        assert term.valid()
        clock.advance(1)
        assert not term.valid()
        assert store.get(terms.LEADER_KEY) is not None

    # The store may have renewed the lease long before its reply arrives.
    def test_renewal_counts_from_the_request(self, store, clock):
        term = make_elector(store, clock)._try_acquire()
        requested_ms = clock.now_ms()
        clock.advance(1000)
        term.record_renewal(requested_ms, terms.LEASE_TTL_MS)
        clock.advance(terms.LEASE_TTL_MS - terms.EXPIRY_MARGIN_MS - 1000)
        assert not term.valid()

    def test_first_reason_is_kept(self, store, clock):
        term = make_elector(store, clock)._try_acquire()
        term.end('first')
        term.end('second')
        assert (term.reason, term.valid()) == ('first', False)


class TestFormerIncarnation:
    # After the restart of a killed process, no node needs to wait until the
    # lease of its former incarnation expires.
    def test_lease_of_the_former_incarnation_is_revoked(self, store, clock):
        former = make_elector(store, clock)._try_acquire()
        later_elector = make_elector(store, clock, incarnation='b')
        later_elector._watcher.load()
        assert store.get(terms.LEADER_KEY) is None
        assert store.keep_alive(former.lease_id) == 0

    @pytest.mark.parametrize(
        ('node', 'incarnation'), [('node-2', 'b'), ('node-1', 'a')]
    )
    def test_other_leases_are_kept(self, store, clock, node, incarnation):
        make_elector(store, clock)._try_acquire()
        make_elector(store, clock, node, incarnation)._watcher.load()
        assert store.get(terms.LEADER_KEY) is not None


class TestRun:
    def test_leads_until_the_stop(self, store, clock):
        leading = threading.Event()
        terms_seen = []

        def lead(term):
            terms_seen.append(term)
            leading.set()
            term.ended.wait(WAIT_S)

        stop = threading.Event()
        leader_elector = make_elector(store, clock, lead=lead)
        thread = threading.Thread(
            target=leader_elector.run, args=(stop,), daemon=True
        )
        thread.start()
        assert leading.wait(WAIT_S)
        stop.set()
        terms_seen[0].end('stop')
        thread.join(WAIT_S)
        assert not thread.is_alive()
        assert store.get(terms.LEADER_KEY) is None

    # After a stop, no task starts until the next leader is elected. In
    # incident inc-579d the term of a stopping node ended only after half a
    # second.
    def test_stop_ends_the_term_at_once(self, store, clock):
        ended = threading.Event()

        def lead(term):
            stop.set()
            if term.ended.wait(WAIT_S):
                ended.set()

        stop = threading.Event()
        leader_elector = make_elector(store, clock, lead=lead)
        # ManualClock.wait() returns at once, so the renewals would repeat
        # without a pause.
        leader_elector._renew_lease = lambda term: None
        leader_elector._run_term(leader_elector._try_acquire(), stop)
        assert ended.is_set()

    # The key of a later leader must not be deleted.
    def test_resigning_keeps_the_key_of_a_later_leader(self, store, clock):
        leader_elector = make_elector(store, clock)
        term = leader_elector._try_acquire()
        store.revoke(term.lease_id)
        later_term = make_elector(store, clock, 'node-2')._try_acquire()
        leader_elector._resign(term)
        assert store.get(terms.LEADER_KEY).mod_revision == later_term.epoch

    # A process that was suspended right after it had written the key saw its
    # lease expire before it began to lead. If it was the only node left, it
    # never stood for election again.
    def test_vacancy_before_the_start_of_the_term_is_forgotten(
        self, store, clock
    ):
        leader_elector = make_elector(store, clock)
        term = leader_elector._try_acquire()
        leader_elector._watcher.load()
        clock.advance(terms.LEASE_TTL_MS + 1)
        store.expire_leases()
        leader_elector._watcher.load()
        leader_elector._run_term(term, threading.Event())
        assert leader_elector._vacant.is_set()

    def test_exception_ends_the_term(self, store, clock):
        def lead(term):
            raise errors.FigtrayError('broken')

        leader_elector = make_elector(store, clock, lead=lead)
        term = leader_elector._try_acquire()
        leader_elector._run_term(term, threading.Event())
        assert term.ended.is_set()
        assert store.get(terms.LEADER_KEY) is None


class TestVacancy:
    # Guards against an election after an outage of which nobody can tell for
    # how long the key may have been vacant unseen.
    def test_vacancy_is_logged_with_the_age_of_the_last_confirmation(
        self, store, clock
    ):
        leader = make_elector(store, clock)
        term = leader._try_acquire()
        other = make_elector(store, clock, 'node-2')
        other._watcher.load()
        store.revoke(term.lease_id)
        clock.advance(4900)
        with logbook.TestHandler() as handler:
            other._watcher.load()
            clock.advance(100)
            other._watcher.load()
        assert [
            record.extra['fields']
            for record in handler.records
            if record.extra['event'] is catalogue.LEADER_VACANT
        ] == [{'leader': 'node-1', 'unconfirmed_ms': 4900}]


class TestLeasesSeen:
    # After an outage with a loss of the history, all nodes took the record of
    # the former leader for a new one, and waited for its leases once more.
    def test_full_read_renews_the_time_of_a_known_record(self, store, clock):
        store.txn((), [base.Put(terms.LEASES_KEY, b'{}')])
        leader_elector = make_elector(store, clock)
        leader_elector._watcher.load()
        seen_ms = clock.now_ms()
        clock.advance(10_000)
        leader_elector._watcher.load()
        term = leader_elector._try_acquire()
        revision = store.get(terms.LEASES_KEY).mod_revision
        assert term.leases_seen == (terms.LeasesSeen(revision, seen_ms),)


class TestWaitAfterAnOutage:
    """Time from the end of an outage, on a clock that waits let pass."""

    DELAY_MS = 200
    NEVER = outages.Condition(lambda: False)

    @pytest.fixture
    def store(self):
        return outages.HangingStore()

    def first_term_ms(self, store):
        """Return the time from the end of the outage to the election."""
        leader_elector = elector.LeaderElector(
            store,
            store.clock,
            terms.LeaderRecord('node-1', 'a', 'node-1:1'),
            lambda term: None,
            self.DELAY_MS,
        )
        won = []
        leader_elector._watcher.run = lambda stop: None
        leader_elector._vacant.set()
        leader_elector._run_term = lambda term, stop: won.append(
            store.since_back_ms()
        )
        leader_elector.run(outages.Condition(lambda: bool(won)))
        return won[0]

    # A call that hangs, or an attempt that is repeated too late, keeps all
    # tasks waiting for a leader.
    @pytest.mark.parametrize('outage_ms', range(100, 5000, 100))
    @pytest.mark.parametrize('call', ['grant_lease', 'txn'])
    def test_nobody_leads_long_after_an_outage(self, store, outage_ms, call):
        function = getattr(store, call)

        def begin_outage(*args, **kwargs):
            if not store.back_ms:
                store.fail_for(outage_ms)
            return function(*args, **kwargs)

        setattr(store, call, begin_outage)
        assert self.first_term_ms(store) <= (
            platform_store.CALL_TIMEOUT_MS
            + elector.RETRY_MS
            + self.DELAY_MS
            + elector.MAX_JITTER_MS
        )

    # A watch that hangs, or is repeated too late, hides that the key is gone.
    @pytest.mark.parametrize('outage_ms', range(2000, 9000, 130))
    @pytest.mark.parametrize(
        'delay_ms', [0, 300, 1200, elector.WATCH_WAIT_MS - 1]
    )
    def test_vacancy_is_seen_long_after_an_outage(
        self, store, outage_ms, delay_ms
    ):
        term = make_elector(store, store.clock)._try_acquire()
        other = make_elector(store, store.clock, 'node-2')

        def is_over():
            if not other._watcher.loaded.is_set():
                return False
            if not store.back_ms:
                store.fail_for(outage_ms, delay_ms)
            if store.since_back_ms() >= 0:
                store.revoke(term.lease_id)
            return other._vacant.is_set()

        other._watcher.run(outages.Condition(is_over))
        hanging_ms = max(
            prefix_watcher.CONFIRM_WAIT_MS,
            elector.WATCH_WAIT_MS - terms.LEASE_TTL_MS,
        )
        assert store.since_back_ms() <= (
            hanging_ms
            + platform_store.WATCH_TIMEOUT_MARGIN_MS
            + prefix_watcher.RETRY_MS
            + prefix_watcher.RETRY_JITTER_MS
        )

    def test_election_without_an_outage_is_late(self, store):
        store.back_ms = store.clock.now_ms()
        assert self.first_term_ms(store) <= (
            self.DELAY_MS + elector.MAX_JITTER_MS
        )

    # A leader whose lease is left after an outage starts nothing until it is
    # renewed.
    @pytest.mark.parametrize('outage_ms', range(2000, 5000, 100))
    def test_lease_that_is_left_is_renewed_late(self, store, outage_ms):
        leader_elector = make_elector(store, store.clock)
        term = leader_elector._try_acquire()
        store.fail_for(outage_ms)
        renewed = []
        record_renewal = term.record_renewal

        def note_renewal(requested_ms, ttl_ms):
            record_renewal(requested_ms, ttl_ms)
            renewed.append(store.since_back_ms())

        term.record_renewal = note_renewal
        term.ended = outages.Condition(lambda: bool(renewed))
        leader_elector._renew_lease(term)
        assert renewed[0] <= (
            platform_store.CALL_TIMEOUT_MS + terms.RENEW_INTERVAL_MS
        )
        term.ended = self.NEVER
        assert term.valid()


class TestUnexpectedErrors:
    # The node never led again, and nobody renewed the lease of its term.
    @pytest.mark.parametrize(
        'call', ['grant_lease', 'txn', 'keep_alive', 'revoke', 'range']
    )
    def test_error_ends_a_thread_for_good(self, store, call):
        failed, renewed, stop = [], threading.Event(), threading.Event()
        made = getattr(store, call)

        def fail_first(*args, **kwargs):
            if len(failed) < 2:
                failed.append(call)
                raise RecursionError('odd reply')
            return made(*args, **kwargs)

        setattr(store, call, fail_first)
        keep_alive = store.keep_alive

        def note_renewal(lease_id):
            ttl_ms = keep_alive(lease_id)
            if len(failed) == 2:
                renewed.set()
            return ttl_ms

        store.keep_alive = note_renewal

        def lead(term):
            if call == 'revoke' and len(failed) < 2:
                return
            term.ended.wait(WAIT_S)

        candidate = make_elector(
            store, clock_lib.SystemClock(), 'node-1', 'a', lead
        )
        thread = threading.Thread(target=candidate.run, args=(stop,))
        thread.start()
        assert renewed.wait(WAIT_S)
        stop.set()
        thread.join(WAIT_S)
        assert not thread.is_alive()

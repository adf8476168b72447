"""Tests of winning, keeping and handing over the leadership."""

import threading

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.leadership import elector
from figtray.leadership import term as terms
from figtray.store import memory

WAIT_S = 10


@pytest.fixture
def clock():
    return clock_lib.ManualClock()


@pytest.fixture
def store(clock):
    return memory.MemoryStore(clock)


def make(store, clock, node='node-1', incarnation='a', lead=None):
    """Return a LeaderElector."""
    record = terms.LeaderRecord(node, incarnation, f'{node}:1')
    return elector.LeaderElector(
        store, clock, record, lead or (lambda term: None)
    )


class TestWinning:
    def test_one_of_two_wins(self, store, clock):
        first = make(store, clock)._try_to_win()
        second = make(store, clock, 'node-2')._try_to_win()
        assert first is not None and second is None
        assert store.get(terms.LEADER_KEY).mod_revision == first.epoch

    def test_later_terms_have_higher_numbers(self, store, clock):
        first = make(store, clock)._try_to_win()
        store.revoke(first.lease_id)
        assert make(store, clock, 'node-2')._try_to_win().epoch > first.epoch

    # The write that wins may be executed although its reply is lost.
    def test_lost_reply_of_a_win(self, store, clock):
        store.replies_to_lose = 1
        term = make(store, clock)._try_to_win()
        assert term is not None
        assert term.epoch == store.get(terms.LEADER_KEY).mod_revision

    # Otherwise a win that is executed late would leave a leader that
    # nobody is.
    def test_failed_win_leaves_no_lease(self, store, clock):
        make(store, clock)._try_to_win()
        loser = make(store, clock, 'node-2')
        assert loser._try_to_win() is None
        assert len(store.dump()[2]) == 1

    def test_outage(self, store, clock):
        store.down = True
        assert make(store, clock)._try_to_win() is None


class TestTerm:
    # Starts must stop before another node can win the expired key.
    def test_valid_before_the_lease_can_end(self, store, clock):
        term = make(store, clock)._try_to_win()
        clock.advance(terms.LEASE_TTL_MS - terms.MARGIN_MS - 1)
        assert term.valid()
        clock.advance(1)
        assert not term.valid()
        assert store.get(terms.LEADER_KEY) is not None

    def test_renewal_counts_from_its_request(self, store, clock):
        term = make(store, clock)._try_to_win()
        asked_ms = clock.now_ms()
        clock.advance(1000)
        term.record_renewal(asked_ms, terms.LEASE_TTL_MS)
        clock.advance(terms.LEASE_TTL_MS - terms.MARGIN_MS - 1000)
        assert not term.valid()

    def test_first_reason_is_kept(self, store, clock):
        term = make(store, clock)._try_to_win()
        term.end('first')
        term.end('second')
        assert (term.reason, term.valid()) == ('first', False)


class TestFormerSelf:
    # A killed process comes back under its node's name; nobody else has to
    # wait for the lease of its former run.
    def test_lease_of_the_former_run_is_ended(self, store, clock):
        former = make(store, clock)._try_to_win()
        later = make(store, clock, incarnation='b')
        later._watcher.load()
        assert store.get(terms.LEADER_KEY) is None
        assert store.keep_alive(former.lease_id) == 0

    @pytest.mark.parametrize(
        ('node', 'incarnation'), [('node-2', 'b'), ('node-1', 'a')]
    )
    def test_other_leases_are_left_alone(
        self, store, clock, node, incarnation
    ):
        make(store, clock)._try_to_win()
        make(store, clock, node, incarnation)._watcher.load()
        assert store.get(terms.LEADER_KEY) is not None


class TestRun:
    def test_leads_and_hands_over(self, store, clock):
        led = threading.Event()
        terms_seen = []

        def lead(term):
            terms_seen.append(term)
            led.set()
            term.ended.wait(WAIT_S)

        stop = threading.Event()
        item = make(store, clock, lead=lead)
        thread = threading.Thread(target=item.run, args=(stop,), daemon=True)
        thread.start()
        assert led.wait(WAIT_S)
        stop.set()
        terms_seen[0].end('stop')
        thread.join(WAIT_S)
        assert not thread.is_alive()
        assert store.get(terms.LEADER_KEY) is None

    # Each moment until the next leader is a moment without starts (incident
    # inc-579d: half a second until the term of a stopping node ended).
    def test_stop_ends_the_term_at_once(self, store, clock):
        ended = threading.Event()

        def lead(term):
            stop.set()
            if term.ended.wait(WAIT_S):
                ended.set()

        stop = threading.Event()
        item = make(store, clock, lead=lead)
        # The manual clock never lets the renewal come to its turn.
        item._renew = lambda term: None
        item._serve(item._try_to_win(), stop)
        assert ended.is_set()

    # A key that a later leader has won must stay.
    def test_resigning_leaves_a_later_leader_alone(self, store, clock):
        item = make(store, clock)
        term = item._try_to_win()
        store.revoke(term.lease_id)
        later = make(store, clock, 'node-2')._try_to_win()
        item._resign(term)
        assert store.get(terms.LEADER_KEY).mod_revision == later.epoch

    def test_exception_ends_the_term(self, store, clock):
        def lead(term):
            raise errors.FigtrayError('broken')

        item = make(store, clock, lead=lead)
        term = item._try_to_win()
        item._serve(term, threading.Event())
        assert term.ended.is_set()
        assert store.get(terms.LEADER_KEY) is None

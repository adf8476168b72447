"""Tests of the record that bounds the leases on workers."""

import pytest

from figtray import errors
from figtray.leadership import term as terms
from figtray.scheduling import lease_horizon
from figtray.scheduling import leases
from figtray.scheduling import service
from figtray.scheduling import session
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import leaders
from figtray.store import base

BOUNDS = harness.BOUNDS
# Longest lease of a release before the records had a horizon.
EARLIER_LEASE_MS = 7000


@pytest.fixture
def fleet():
    return harness.Fleet(2)


def lease_left_ms(fleet, number=0):
    """Return how long the lease on a worker still lasts."""
    sim = fleet.sim(number)
    return sim.lease_until_ms - sim.clock_ms()


def make_leader_term(fleet, term):
    """Return the _LeaderTerm of a leader that can't list the workers."""

    def list_workers():
        raise errors.StoreUnavailable(detail='down')

    return service._LeaderTerm(
        service.LeaderService(
            fleet.store,
            fleet.clock,
            leaders.View(fleet),
            list_workers,
            fleet.client,
            None,
            None,
            BOUNDS,
        ),
        term,
    )


def earlier_leases_end_ms(fleet, seen_revision, seen_ms):
    """Return the end of earlier leases for a leader that begins now."""
    term = terms.Term(
        9,
        1,
        fleet.clock,
        fleet.clock.now_ms(),
        [terms.LeasesSeen(seen_revision, seen_ms)],
    )
    return lease_horizon.earlier_leases_end_ms(
        term, fleet.store.get(terms.LEASES_KEY).mod_revision, BOUNDS
    )


class TestLeaseHorizon:
    # A lease that reaches past the horizon goes on while the next leader
    # starts its tasks a second time.
    def test_lease_reaches_past_the_last_stored_record(self, fleet, leader):
        fleet.submit(harness.make_step(1, lasting=True))
        leader.run_cycle()
        stored_ms = fleet.clock.now_ms()
        fleet.store.down = True
        for _ in range(leases.horizon_ms(BOUNDS) // 500 + 2):
            fleet.clock.advance(500)
            # The term stays valid, though nothing can be written.
            leader.term.record_renewal(
                fleet.clock.now_ms(), terms.LEASE_TTL_MS
            )
            leader.scheduler.lease_horizon.renew_if_due()
            leader.report_all()
            for number in range(2):
                until_ms = fleet.clock.now_ms() + lease_left_ms(fleet, number)
                assert until_ms <= stored_ms + leases.horizon_ms(BOUNDS)

    # A record that is renewed too late shortens the leases all the time.
    def test_leases_have_their_full_length(self, fleet, leader):
        fleet.submit(harness.make_step(2, lasting=True, max_per_worker=1))
        leader.run_cycle()
        for _ in range(20):
            leader.advance(500)
            leader.sync_workers()
            leader.run_cycle()
            # The worker's clock is read each 500 ms and may be slow.
            late_ms = 500 * (1 - leases.SLOWEST_CLOCK_RATE)
            assert lease_left_ms(fleet) >= leases.lease_ms(BOUNDS) - late_ms

    # Before its first record is stored, a leader that is lost at once would
    # leave leases that nobody knows of.
    def test_lease_is_extended_before_the_first_record(self, fleet):
        horizon = lease_horizon.LeaseHorizon(
            leaders.FlushingWriter(fleet.elect_leader()), fleet.clock, BOUNDS
        )
        assert horizon.remaining_ms(fleet.clock.now_ms()) == 0

    # A record that had waited for the return of the store only allowed leases
    # of fractions of a second, so that new runs lapsed at once.
    def test_record_counts_from_the_time_at_which_it_was_queued(
        self, fleet, leader
    ):
        horizon = lease_horizon.LeaseHorizon(
            leader.writer, fleet.clock, BOUNDS
        )
        horizon.renew_if_due()
        leader.advance(leases.horizon_ms(BOUNDS) - 100)
        leader.flush()
        assert horizon.remaining_ms(fleet.clock.now_ms()) == leases.horizon_ms(
            BOUNDS
        )

    # Leases ran out under a valid term because the workers could not be
    # listed.
    def test_record_is_not_renewed_while_workers_are_not_listed(
        self, fleet, leader
    ):
        leader_term = make_leader_term(fleet, leader.term)
        with pytest.raises(errors.StoreUnavailable):
            leader_term._update_workers()
        assert leader_term._writer.has_pending()

    # A process that was suspended extended a lease after its term had ended.
    def test_lease_is_extended_after_the_term(self, fleet, leader):
        fleet.clock.advance(terms.LEASE_TTL_MS)
        worker_state = leader.worker_state(0)
        assert leader.scheduler.report_request(worker_state)[1] is None


class TestIdleWorker:
    # The clock of a worker was estimated from a report of long ago, as if it
    # were not slow, so the next leader did not wait for the whole lease.
    def test_lease_on_an_idle_worker_is_too_long(self):
        fleet = harness.Fleet(1, rate=leases.SLOWEST_CLOCK_RATE)
        # The worker itself would allow longer leases.
        fleet.sim(0).hold_max_ms = 2 * leases.lease_ms(BOUNDS)
        leader = fleet.elect_leader()
        leader.report_all()
        for _ in range(60):
            leader.advance(1000)
            leader.sync_workers()
        fleet.submit(harness.make_step(1, lasting=True))
        leader.run_cycle()
        assert fleet.sim(0).runs
        assert 0 < lease_left_ms(fleet) <= leases.lease_ms(BOUNDS)

    # Without a new reading of its clock, a worker that has been idle for
    # minutes gets shorter and shorter leases.
    def test_idle_worker_is_never_asked_for_its_clock(self, fleet, leader):
        worker_session = leader._sessions[
            leader.worker_state(0).worker.incarnation
        ]
        assert not worker_session._is_report_needed()
        leader.advance(session.MAX_CLOCK_AGE_MS)
        assert worker_session._is_report_needed()


class TestEarlierLeases:
    # The wait for leases began with the term although they had ended during
    # an outage of the store.
    def test_wait_begins_with_the_term(self, fleet, leader):
        seen_ms = fleet.clock.now_ms()
        revision = fleet.store.get(terms.LEASES_KEY).mod_revision
        fleet.clock.advance(10_000)
        assert earlier_leases_end_ms(fleet, revision, seen_ms) == (
            fleet.clock.now_ms() + lease_horizon.MIN_ADOPTION_MS
        )

    # A leader between, which this node has not seen, extended leases.
    def test_leader_between_is_overlooked(self, fleet, leader):
        seen_ms = fleet.clock.now_ms()
        revision = fleet.store.get(terms.LEASES_KEY).mod_revision
        fleet.elect_leader()
        fleet.clock.advance(10_000)
        assert earlier_leases_end_ms(fleet, revision, seen_ms) == (
            fleet.clock.now_ms() + leases.longest_lease_ms(BOUNDS)
        )

    # The horizon of a record is longer than a lease.
    def test_wait_is_longer_than_the_longest_lease(self, fleet, leader):
        revision = fleet.store.get(terms.LEASES_KEY).mod_revision
        now_ms = fleet.clock.now_ms()
        assert earlier_leases_end_ms(fleet, revision, now_ms) == (
            now_ms + leases.longest_lease_ms(BOUNDS)
        )

    # A takeover that failed once took its own record for the last one of
    # earlier leaders, and waited for the longest lease.
    def test_own_record_of_a_failed_takeover_prolongs_the_wait(
        self, fleet, leader
    ):
        seen = terms.LeasesSeen(
            fleet.store.get(terms.LEASES_KEY).mod_revision,
            fleet.clock.now_ms(),
        )
        fleet.clock.advance(10_000)
        leader_term = make_leader_term(fleet, fleet.begin_term([seen]))
        for _ in range(2):
            with pytest.raises(errors.StoreUnavailable):
                leader_term._load_once()
            leader_term._writer.flush()
        fleet.clock.advance(lease_horizon.MIN_ADOPTION_MS)
        assert not leader_term._scheduler._is_adopting(fleet.clock.now_ms())


class TestEarlierRelease:
    # A release whose leases were longer wrote records without a horizon, and
    # the next leader counted the shorter horizon of its own from them.
    @pytest.mark.parametrize('value', [b'{}', b'{"horizon_ms": 9500}', b'x'])
    def test_shorter_horizon_is_counted(self, fleet, leader, value):
        fleet.store.txn((), [base.Put(terms.LEASES_KEY, value)])
        seen = terms.LeasesSeen(
            fleet.store.get(terms.LEASES_KEY).mod_revision,
            fleet.clock.now_ms(),
        )
        leader_term = make_leader_term(fleet, fleet.begin_term([seen]))
        with pytest.raises(errors.StoreUnavailable):
            leader_term._load_once()
        scheduler = leader_term._scheduler
        fleet.clock.advance(EARLIER_LEASE_MS)
        assert scheduler._is_adopting(fleet.clock.now_ms())

    @pytest.fixture
    def begin_terms(self, fleet, leader):
        """Function that changes the leader twice after an earlier release.

        The first new leader stores its record until a time has passed. The
        function returns the scheduler of the second one, and the local time
        at which the last lease of the earlier release may end.
        """

        def begin_terms(ms):
            fleet.store.txn((), [base.Put(terms.LEASES_KEY, b'{}')])
            ended_ms = (
                fleet.clock.now_ms()
                + leases.longest_earlier_release_lease_ms()
                - leases.LEASE_MARGIN_MS
            )
            term = fleet.begin_term()
            first = make_leader_term(fleet, term)
            with pytest.raises(errors.StoreUnavailable):
                first._load_once()
            first._writer.flush()
            for _ in range(ms // 100):
                fleet.clock.advance(100)
                term.record_renewal(fleet.clock.now_ms(), terms.LEASE_TTL_MS)
                fleet.store.keep_alive(term.lease_id)
                first._scheduler.lease_horizon.renew_if_due()
                first._writer.flush()
            seen = terms.LeasesSeen(
                fleet.store.get(terms.LEASES_KEY).mod_revision,
                fleet.clock.now_ms(),
            )
            fleet.clock.advance(100)
            second = make_leader_term(fleet, fleet.begin_term([seen]))
            with pytest.raises(errors.StoreUnavailable):
                second._load_once()
            return second._scheduler, ended_ms

        return begin_terms

    # The first new leader stored its own horizon; if it ended soon, the next
    # one took leases of the earlier release for shorter ones.
    @pytest.mark.parametrize('ms', [0, 1000, 3000])
    def test_longer_leases_are_forgotten_by_the_second_leader(
        self, fleet, begin_terms, ms
    ):
        scheduler, ended_ms = begin_terms(ms)
        assert scheduler._earlier_lease_ms == leases.EARLIER_RELEASE_LEASE_MS
        fleet.clock.advance(ended_ms - 1 - fleet.clock.now_ms())
        assert scheduler._is_adopting(fleet.clock.now_ms())

    # Each later leader would wait for the longest lease.
    def test_longer_leases_are_never_forgotten(self, fleet, begin_terms):
        wait_ms = leases.longest_earlier_release_lease_ms()
        scheduler, _ = begin_terms(
            wait_ms + 2 * lease_horizon.RENEW_INTERVAL_MS
        )
        assert scheduler._earlier_lease_ms == leases.lease_ms(BOUNDS)

    # The lease that the earlier leader had extended lasted for longer than
    # the new one thought.
    def test_lease_on_an_adopted_worker_is_longer(self, fleet, leader):
        leader = fleet.elect_leader()
        leader.scheduler.note_longer_leases()
        leader.report(0)
        worker_state = leader.worker_state(0)
        lease_ms = worker_state.lease_until_ms - worker_state.clock_ms
        assert lease_ms >= EARLIER_LEASE_MS


class TestUnextended:
    @pytest.fixture
    def late_leader(self, fleet, leader):
        """A Leader to which worker 0 has not reported."""
        leader = fleet.elect_leader()
        leader.report(1)
        leader.advance(lease_horizon.RENEW_INTERVAL_MS)
        leader.sync_workers()
        return leader

    # The next leader, which finds a worker in the record of leases, doesn't
    # wait for the lease that it has got meanwhile.
    def test_worker_in_the_stored_record_gets_a_lease(
        self, fleet, late_leader
    ):
        worker_state = late_leader.worker_state(0)
        worker_state.has_reported = True
        session_of = late_leader._sessions[worker_state.worker.incarnation]
        session_of.report_once()
        assert late_leader.scheduler.report_request(worker_state)[1] is None
        late_leader.flush()
        assert late_leader.scheduler.report_request(worker_state)[1]

    # A write without a reply may have been carried out.
    def test_record_without_a_reply_is_forgotten(self, fleet, late_leader):
        record = lease_horizon.decode(fleet.store.get(terms.LEASES_KEY).value)
        assert [item.worker_id for item in record.unextended] == ['worker-0']
        horizon = late_leader.scheduler.lease_horizon
        late_leader.report(0)
        late_leader.advance(lease_horizon.RENEW_INTERVAL_MS)
        incarnation = late_leader.worker_state(0).worker.incarnation
        late_leader.scheduler._unresolved.add(incarnation)
        horizon.renew_if_due()
        horizon._encode()
        late_leader.scheduler._unresolved.discard(incarnation)
        horizon._encode()
        assert not horizon.remaining_ms(fleet.clock.now_ms(), incarnation)

    # Each worker is named with its own record, so a wait did not begin anew
    # after the second change of the leader, but did after the third.
    def test_revision_of_an_earlier_record_is_lost(self, fleet, late_leader):
        before = lease_horizon.decode(fleet.store.get(terms.LEASES_KEY).value)
        leader = fleet.elect_leader()
        leader.report(1)
        leader.advance(lease_horizon.RENEW_INTERVAL_MS)
        leader.sync_workers()
        after = lease_horizon.decode(fleet.store.get(terms.LEASES_KEY).value)
        assert after == before

"""Tests of the election."""

import pytest

from figtray import clock as clock_lib
from figtray.controller import election as election_lib
from figtray import errors
from figtray.store import base as store_base
from figtray.store import memory


class Case:
    """Two candidates on one store."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.store = memory.MemoryStore(self.clock)
        self.first, self.second = (
            election_lib.Election(self.store, 'test', name, self.clock)
            for name in ('one', 'two')
        )


@pytest.fixture
def case():
    """Return a new Case."""
    return Case()


class TestElection:
    """Guards against two active controllers at once."""

    def test_only_one_wins_and_keeps_the_role(self, case):
        role = case.first.step()
        for _ in range(20):
            assert case.first.step() is role
            assert case.second.step() is None
            case.clock.advance(2_000)

    def test_a_resumed_controller_knows_before_it_asks(self, case):
        role = case.first.step()
        case.clock.advance(election_lib.TTL_MS)
        assert not role.is_valid
        with pytest.raises(errors.FencedOut):
            role.guards()

    def test_expiry_counts_from_the_send_of_the_renewal(self, case):
        role = case.first.step()
        case.clock.advance(4_000)
        keep_alive = case.store.keep_alive

        def slow(lease_id):
            left_ms = keep_alive(lease_id)
            case.clock.advance(5_000)
            return left_ms

        case.store.keep_alive = slow
        case.first.step()
        case.clock.advance(4_400)
        assert role.is_valid
        case.clock.advance(200)
        assert not role.is_valid
        assert case.second.step() is None

    def test_the_store_refuses_a_write_with_the_old_token(self, case):
        guards = case.first.step().guards()
        case.clock.advance(election_lib.TTL_MS)
        assert case.second.step() is not None
        put = store_base.Put('key', b'')
        assert not case.store.txn(guards, [put]).succeeded

    def test_a_lost_reply_to_the_campaign_is_found_out(self, case):
        case.store.lose_next_reply = True
        with pytest.raises(errors.WriteUncertain):
            case.first.step()
        assert case.second.step() is None
        assert case.first.step().is_valid

    def test_an_outage_ends_the_role_by_the_local_clock(self, case):
        role = case.first.step()
        case.store.set_down(True)
        case.clock.advance(9_000)
        assert case.first.step() is role
        case.clock.advance(1_000)
        with pytest.raises(errors.StoreUnavailable):
            case.first.step()
        assert not role.is_valid

    def test_resigning_lets_a_standby_take_over_at_once(self, case):
        case.first.step()
        case.first.resign()
        assert case.second.step() is not None

    def test_epochs_only_rise(self, case):
        role = case.first.step()
        assert [role.take_epoch(), role.take_epoch()] == [1, 2]
        assert role.take_epoch(at_least=7) == 8
        case.clock.advance(election_lib.TTL_MS)
        assert case.second.step().take_epoch() == 9
        with pytest.raises(errors.FencedOut):
            case.first.take_epoch(
                (
                    store_base.Compare(
                        case.first.lease_key, 'create_revision', role.token
                    ),
                ),
                0,
            )

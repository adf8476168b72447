"""Tests of whose turn it is."""

from figtray.ingress import budget as budgets
from figtray.ingress import turns as turns_lib

NOW_MS = 1_000_000
TURN = turns_lib.TURN_WORK


class TestTurns:
    def order(self, turns, *claims, now_ms=NOW_MS):
        return sorted(claims, key=lambda claim: turns.rank(claim, now_ms))

    # Guards against a connection that has had much and goes before one that
    # has had nothing.
    def test_least_used_connection_first(self):
        turns = turns_lib.Turns()
        busy, new = budgets.Claim('a'), budgets.Claim('a')
        turns.note(busy, TURN, NOW_MS)
        assert self.order(turns, busy, new) == [new, busy]

    # Guards against an address that has more for more connections.
    def test_least_used_address_first(self):
        turns = turns_lib.Turns()
        for _ in range(10):
            turns.note(budgets.Claim('a'), TURN, NOW_MS)
        crowd, other = budgets.Claim('a'), budgets.Claim('b')
        assert self.order(turns, crowd, other) == [other, crowd]

    # Guards against a key that has more from many addresses.
    def test_least_used_key_first(self):
        turns = turns_lib.Turns()
        for number in range(10):
            turns.note(budgets.Claim(str(number), key='x'), TURN, NOW_MS)
        crowd = budgets.Claim('a', key='x')
        other = budgets.Claim('a', key='y')
        assert self.order(turns, crowd, other) == [other, crowd]

    # Guards against one that never has a turn again.
    def test_work_fades(self):
        turns = turns_lib.Turns()
        busy, new = budgets.Claim('a'), budgets.Claim('b')
        turns.note(busy, 10 * TURN, NOW_MS)
        later_ms = NOW_MS + 10 * turns_lib.HALF_LIFE_MS
        new.turn_ms = later_ms
        assert self.order(turns, new, busy, now_ms=later_ms) == [busy, new]

    # Guards against addresses and keys that are kept for good.
    def test_forgets(self):
        turns = turns_lib.Turns()
        for number in range(100):
            turns.note(budgets.Claim(str(number), key='k'), TURN, NOW_MS)
        turns.forget(NOW_MS)
        assert turns.known() == 101
        turns.forget(NOW_MS + 20 * turns_lib.HALF_LIFE_MS)
        assert turns.known() == 0

    # Guards against newcomers who become more than the turns of a round.
    def test_newcomers_have_a_turn_at_once(self):
        assert turns_lib.ROUND_ACCEPTS < turns_lib.ROUND_TURNS

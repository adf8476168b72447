"""Tests of whose turn it is."""

from figtray.ingress import budget as budgets
from figtray.ingress import turns as turns_lib

NOW_MS = 1_000_000
TURN = turns_lib.TURN_WORK


class TestTurns:
    # Guards against a connection that has had much and goes before one that
    # has had nothing.
    def test_least_used_connection_first(self):
        turns = turns_lib.Turns()
        busy, new = budgets.Claim('a'), budgets.Claim('a')
        turns.note(busy, TURN, NOW_MS)
        assert turns.next([busy, new], NOW_MS) == [new, busy]

    # Guards against an address that has more for more connections.
    def test_least_used_address_first(self):
        turns = turns_lib.Turns()
        for _ in range(10):
            turns.note(budgets.Claim('a'), TURN, NOW_MS)
        crowd, other = budgets.Claim('a'), budgets.Claim('b')
        assert turns.next([crowd, other], NOW_MS) == [other, crowd]

    # Guards against a key that has more from many addresses.
    def test_least_used_key_first(self):
        turns = turns_lib.Turns()
        for number in range(10):
            turns.note(budgets.Claim(str(number), key='x'), TURN, NOW_MS)
        crowd = budgets.Claim('a', key='x')
        other = budgets.Claim('a', key='y')
        assert turns.next([crowd, other], NOW_MS) == [other, crowd]

    # Guards against one that never has a turn again.
    def test_work_fades(self):
        turns = turns_lib.Turns()
        busy, new = budgets.Claim('a'), budgets.Claim('b')
        turns.note(busy, 10 * TURN, NOW_MS)
        later_ms = NOW_MS + 10 * turns_lib.HALF_LIFE_MS
        new.turn_ms = later_ms
        assert turns.next([new, busy], later_ms) == [busy, new]

    # Guards against addresses and keys that are kept for good.
    def test_forgets(self):
        turns = turns_lib.Turns()
        for number in range(100):
            turns.note(budgets.Claim(str(number), key='k'), TURN, NOW_MS)
        turns.forget(NOW_MS)
        assert turns.known() == 101
        turns.forget(NOW_MS + 20 * turns_lib.HALF_LIFE_MS)
        assert turns.known() == 0

    # Guards against keys that callers make up, which take memory as long as
    # they count.
    def test_made_up_keys(self):
        turns = turns_lib.Turns()
        crowd = budgets.Claim('a')
        for number in range(2 * turns_lib.MOST_OWNERS):
            crowd.key = f'{number}'
            turns.note(crowd, 0, NOW_MS)
        assert turns.known() <= turns_lib.MOST_OWNERS
        # Its address is known still.
        crowd, other = budgets.Claim('a'), budgets.Claim('b')
        assert turns.next([crowd, other], NOW_MS) == [other, crowd]

    # Guards against reads of single bytes that count for nothing.
    def test_work_of_a_single_byte(self):
        turns = turns_lib.Turns()
        slow, new = budgets.Claim('a'), budgets.Claim('a')
        new.turn_ms = NOW_MS + 1
        for _ in range(TURN // turns_lib.FIXED_WORK):
            turns.note(slow, 1, NOW_MS)
        assert turns.next([slow, new], NOW_MS) == [new, slow]

    # Guards against a round that is the longer the more others there are.
    def test_turns_of_a_round(self):
        claims = [budgets.Claim('a') for _ in range(1000)]
        turns = turns_lib.Turns()
        assert len(turns.next(claims, NOW_MS)) == turns_lib.ROUND_TURNS

    # Guards against newcomers who become more than the turns of a round.
    def test_newcomers_have_a_turn_at_once(self):
        assert turns_lib.ROUND_ACCEPTS < turns_lib.ROUND_TURNS

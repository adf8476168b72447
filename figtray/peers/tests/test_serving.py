"""Tests of the serving right."""

import pytest

from figtray import clock as clock_lib
from figtray.peers import serving

SLOTS = ('a', 'b', 'c', 'd', 'e')


def make_right(slots=SLOTS):
    """Return a synchronised right of slot a and its clock."""
    clock = clock_lib.ManualClock()
    right = serving.ServingRight(slots, 'a', clock)
    right.set_synchronised()
    return right, clock


class TestServingRight:
    """Guards against an entry that serves without a majority."""

    def test_needs_a_majority(self):
        right, clock = make_right()
        right.confirm('b', clock.now_ms())
        assert not right.holds()
        right.confirm('c', clock.now_ms())
        assert right.holds()

    def test_counts_from_the_sending_of_the_heartbeat(self):
        right, clock = make_right()
        sent_ms = clock.now_ms()
        clock.advance(2_000)
        right.confirm('b', sent_ms)
        right.confirm('c', sent_ms)
        assert right.expires_ms() == sent_ms + serving.FRESHNESS_MS
        clock.advance(500)
        assert not right.holds()

    def test_ends_with_the_oldest_of_the_majority(self):
        right, clock = make_right()
        for slot in 'bcde':
            right.confirm(slot, clock.now_ms())
            clock.advance(400)
        assert right.expires_ms() == clock.now_ms() - 800 + 2_500

    def test_late_reply_does_not_shorten_the_right(self):
        right, clock = make_right()
        first_ms = clock.now_ms()
        clock.advance(1_000)
        for slot in 'bc':
            right.confirm(slot, clock.now_ms())
            right.confirm(slot, first_ms)
        assert right.expires_ms() == clock.now_ms() + serving.FRESHNESS_MS

    def test_nothing_is_served_before_synchronisation(self):
        clock = clock_lib.ManualClock()
        right = serving.ServingRight(('a',), 'a', clock)
        assert not right.holds()
        right.set_synchronised()
        assert right.holds()

    @pytest.mark.parametrize('count', [1, 2, 3, 4, 8, 9])
    def test_majority_of_every_size(self, count):
        slots = tuple('abcdefghi'[:count])
        right, clock = make_right(slots)
        needed = count // 2
        for slot in slots[1:needed]:
            right.confirm(slot, clock.now_ms())
        assert right.holds() is (count == 1)
        for slot in slots[1 : needed + 1]:
            right.confirm(slot, clock.now_ms())
        assert right.holds()

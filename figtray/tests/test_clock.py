"""Tests of the clocks."""

import threading

from figtray import clock


class TestManualClock:
    """Guards against time in tests that depends on the machine."""

    def test_moves_only_by_advance(self):
        manual = clock.ManualClock(now_ms=5)
        assert manual.now_ms() == 5
        manual.advance(10)
        assert manual.now_ms() == 15

    def test_wait_returns_at_once(self):
        manual = clock.ManualClock()
        event = threading.Event()
        assert not manual.wait(event, 60_000)
        event.set()
        assert manual.wait(event, 60_000)


class TestSystemClock:
    """Guards against a clock that goes backwards."""

    def test_is_monotonic(self):
        system = clock.SystemClock()
        readings = [system.now_ms() for _ in range(100)]
        assert readings == sorted(readings)

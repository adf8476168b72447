"""Clock in milliseconds, with a system and a manual implementation."""

import threading
import time


class Clock:
    """Monotonic and Unix time; both go on while the machine is suspended."""

    def now_ms(self):
        """Return the milliseconds since an arbitrary origin."""
        raise NotImplementedError

    def wall_ms(self):
        """Return the Unix time in milliseconds."""
        raise NotImplementedError

    def wait(self, event, timeout_ms):
        """Wait until an event is set or the time-out has passed.

        Args:
            event: a threading.Event.
            timeout_ms: longest wait in milliseconds.

        Returns:
            True if the event is set.
        """
        raise NotImplementedError


class SystemClock(Clock):
    """Clock of this machine.

    CLOCK_BOOTTIME goes on while the machine is suspended, so a lease that
    is timed by it expires during a suspension.
    """

    def now_ms(self):
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self):
        return time.time_ns() // 1_000_000

    def wait(self, event, timeout_ms):
        return event.wait(max(timeout_ms, 0) / 1000)


class ManualClock(Clock):
    """Clock for tests that moves only by advance()."""

    def __init__(self, now_ms=1_000_000):
        self._cond = threading.Condition()
        self._now_ms = now_ms

    def now_ms(self):
        with self._cond:
            return self._now_ms

    def wall_ms(self):
        return self.now_ms()

    def advance(self, ms):
        """Move the clock forward.

        Args:
            ms: milliseconds to add; not negative.
        """
        with self._cond:
            self._now_ms += ms
            self._cond.notify_all()

    def wait(self, event, timeout_ms):
        """Return at once, as the time does not pass by itself."""
        return event.is_set()

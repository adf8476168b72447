"""Outage of a store whose calls hang, and a clock that waits let pass."""

import math

from figtray import clock as clock_lib
from figtray import errors
from figtray.platform import store as platform_store
from figtray.store import base
from figtray.store import memory

# No wait in a test goes on for so long.
ENDLESS_MS = 100_000


class PassingClock(clock_lib.ManualClock):
    """Clock of a test in one thread; a wait lets its time pass."""

    def __init__(self):
        super().__init__()
        self._end_ms = self.now_ms() + ENDLESS_MS

    def advance(self, ms):
        super().advance(ms)
        assert self.now_ms() < self._end_ms, 'the wait has no end'

    def wait(self, event, timeout_ms):
        if not event.is_set():
            self.advance(max(0, math.ceil(timeout_ms)))
        return event.is_set()


class Condition:
    """Takes the place of a threading.Event that is set on a condition.

    Args:
        is_set: called without arguments.
    """

    def __init__(self, is_set):
        self.is_set = is_set


class HangingStore(memory.MemoryStore):
    """Store that answers no call which is sent into an outage.

    Such a call takes its own time limit, or that of the platform's client if
    it is shorter. A watch that is
    sent before an outage, and has no change to yield, hangs as well.

    Attributes:
        clock: the PassingClock.
        down_from_ms: local time at which the outage begins.
        back_ms: local time at which it ends.
    """

    def __init__(self):
        self.clock = PassingClock()
        super().__init__(self.clock)
        self.down_from_ms = self.back_ms = 0

    def fail_for(self, ms, delay_ms=0):
        """Begin an outage, during which no lease expires.

        Args:
            ms: its length in milliseconds.
            delay_ms: time until it begins.
        """
        self._leases = {
            lease_id: (ttl_ms, end_ms + ms)
            for lease_id, (ttl_ms, end_ms) in self._leases.items()
        }
        self.down_from_ms = self.clock.now_ms() + delay_ms
        self.back_ms = self.down_from_ms + ms

    def is_down(self):
        """Return whether the outage goes on."""
        return self.down_from_ms <= self.clock.now_ms() < self.back_ms

    def since_back_ms(self):
        """Return the time since the end of the outage."""
        return self.clock.now_ms() - self.back_ms

    def get(self, key, timeout_ms=None):
        if self.is_down():
            self._hang(timeout_ms)
            raise errors.StoreUnavailable(detail='injected')
        return super().get(key)

    def txn(self, compares, puts=(), deletes=(), timeout_ms=None):
        if self.is_down():
            self._hang(timeout_ms)
            raise errors.WriteUncertain(detail='injected')
        return super().txn(compares, puts, deletes, timeout_ms)

    def watch(self, prefix, start_revision, stop, wait_ms=base.WATCH_WAIT_MS):
        next_revision = start_revision
        while not stop.is_set():
            items = ()
            if not self.is_down():
                items, next_revision = self.wait_for_changes(
                    prefix, next_revision, 0
                )
            if not items:
                self._pass_watch(wait_ms)
            yield from items
            yield None

    def _hang(self, timeout_ms):
        limit_ms = platform_store.CALL_TIMEOUT_MS
        self.clock.advance(min(timeout_ms or limit_ms, limit_ms))

    def _pass_watch(self, wait_ms):
        now_ms = self.clock.now_ms()
        if now_ms < self.back_ms and now_ms + wait_ms > self.down_from_ms:
            self.clock.advance(
                wait_ms + platform_store.WATCH_TIMEOUT_MARGIN_MS
            )
            raise errors.StoreUnavailable(detail='injected')
        self.clock.advance(wait_ms)

    def _begin_call(self):
        if self.is_down():
            self._hang(None)
            raise errors.StoreUnavailable(detail='injected')
        super()._begin_call()

"""Attempts with an unknown outcome, which may still take a slot."""

import dataclasses
import threading

from figtray import errors
from figtray.workers import base as workers_base

REPORT_TIMEOUT_MS = 500
# Covers the round trip by which a worker's view of a deadline may be late.
MARGIN_MS = 500


@dataclasses.dataclass(frozen=True)
class Doubtful:
    """An attempt that may be running.

    `start_by_ms` is the local time after which the worker refuses to start
    it, `end_by_ms` the time by which its lease has ended.
    """

    attempt_id: str
    address: str
    permit: object
    queued: object
    start_by_ms: int
    end_by_ms: int


class DoubtfulAttempts:
    """Keeps the permits of doubtful attempts until they run no more."""

    def __init__(self, client, on_end, clock):
        """Set up.

        Args:
            client: a WorkerClient.
            on_end: called with each Doubtful that certainly runs no more.
            clock: a Clock.
        """
        self._client = client
        self._on_end = on_end
        self._clock = clock
        self._lock = threading.Lock()
        self._items = {}

    def __len__(self):
        return len(self._items)

    def add(self, item):
        """Keep the permit of an attempt."""
        with self._lock:
            self._items[item.attempt_id] = item

    def check(self):
        """Release the permits of attempts that certainly run no more."""
        with self._lock:
            items = list(self._items.values())
        by_address = {}
        for item in items:
            if self._clock.now_ms() > item.end_by_ms + MARGIN_MS:
                self._finish(item)
            else:
                by_address.setdefault(item.address, []).append(item)
        for address, waiting in by_address.items():
            self._check_worker(address, waiting)

    def _check_worker(self, address, items):
        asked_ms = self._clock.now_ms()
        oldest_ms = asked_ms - MARGIN_MS - workers_base.REPORT_LAG_MS
        late = [i for i in items if i.start_by_ms < oldest_ms]
        if not late:
            return
        try:
            report = self._client.report(address, REPORT_TIMEOUT_MS)
        except errors.WorkerUnavailable:
            return
        running = {task.attempt_id for task in report.running}
        for item in late:
            if item.attempt_id not in running:
                self._finish(item)

    def _finish(self, item):
        with self._lock:
            if self._items.pop(item.attempt_id, None) is None:
                return
        self._on_end(item)

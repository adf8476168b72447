"""How far the leases on workers reach, as recorded in the store."""

import threading

from figtray.leadership import term as terms
from figtray.scheduling import leases

RENEW_INTERVAL_MS = 1000
# Reachable workers report within this time; their ends are not known before.
MIN_ADOPTION_MS = 3000


class LeaseHorizon:
    """Bounds the leases of one term by a record that all nodes follow.

    No lease reaches further than the horizon after the request of the last
    record that is stored. So a node that saw the record arrive knows when all
    leases have ended, however long the store was down since.

    Args:
        writer: the Writer of the term.
        clock: the Clock.
        bounds: the time limits of the settings; see platform.settings.
    """

    def __init__(self, writer, clock, bounds):
        self._writer = writer
        self._clock = clock
        self._horizon_ms = leases.horizon_ms(bounds)
        self._lock = threading.Lock()
        self._until_ms = 0
        # Sequence number of the write that is queued or under way, or None.
        self._pending = None
        # Local time before the last request of a write.
        self._requested_ms = None

    def renew_if_due(self):
        """Queue a write of the record each RENEW_INTERVAL_MS.

        Returns:
            Sequence number of the Writer that must be written before leases
            may be granted; 0 if they may be now.
        """
        with self._lock:
            self._settle()
            now_ms = self._clock.now_ms()
            is_due = (
                self._requested_ms is None
                or now_ms - self._requested_ms >= RENEW_INTERVAL_MS
            )
            if is_due and self._pending is None:
                self._pending = self._writer.enqueue(
                    terms.LEASES_KEY, self._encode
                )
            return 0 if now_ms < self._until_ms else self._pending

    def remaining_ms(self, now_ms):
        """Return how long a lease may last from now on; 0 if it may not.

        Args:
            now_ms: local time.
        """
        with self._lock:
            self._settle()
            return max(0, self._until_ms - now_ms)

    def _settle(self):
        if self._pending is not None and self._writer.is_written(
            self._pending
        ):
            self._until_ms = self._requested_ms + self._horizon_ms
            self._pending = None

    def _encode(self):
        """Return an empty record, directly before a request to write it.

        Only its revision matters to other nodes.
        """
        with self._lock:
            self._requested_ms = self._clock.now_ms()
        return b'{}'


def earlier_leases_end_ms(term, item, bounds):
    """Return the local time at which the leases of earlier terms have ended.

    Args:
        term: the Term of the new leader.
        item: the KeyValue of the record of earlier leaders, as it is after
            the start of the term; None if there is none.
        bounds: the time limits of the settings.
    """
    longest_ms = term.began_ms + leases.longest_lease_ms(bounds)
    seen = term.leases_seen
    if item is None or seen is None or seen.revision != item.mod_revision:
        return longest_ms
    ended_ms = seen.at_ms + leases.longest_horizon_ms(bounds)
    return min(longest_ms, max(ended_ms, term.began_ms + MIN_ADOPTION_MS))

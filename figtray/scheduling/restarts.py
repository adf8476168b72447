"""Incarnations that may have executed orders for an earlier one.

An order names the id of its worker, which a restart may keep. The times in it
are those of the earlier incarnation's clock, so a later one that executes it
holds the longest lease that a worker grants, whatever was asked for.
"""

from figtray.scheduling import leases

# An order that gets no answer may be executed so much later.
LATE_ORDER_MS = 15_000


class Restarts:
    """Ends of the leases that such orders may have extended, in one term.

    The caller holds the scheduler's lock.

    Args:
        bounds: the time limits of the settings; see platform.settings.
    """

    def __init__(self, bounds):
        self._lease_ms = leases.longest_worker_lease_ms(bounds)
        # Incarnations, with the local time at which these leases have ended.
        self._until_ms = {}
        # Ids of the workers that have ended, with the local time until which
        # orders for them may be executed.
        self._ended_ids = {}

    def note_end(self, worker_id, now_ms):
        """Record that an incarnation under an id has ended."""
        for ended_id, until_ms in list(self._ended_ids.items()):
            if until_ms <= now_ms:
                del self._ended_ids[ended_id]
        self._ended_ids[worker_id] = now_ms + LATE_ORDER_MS

    def follows_ended(self, worker_id, now_ms):
        """Return whether orders for an ended one may reach this worker."""
        return now_ms < self._ended_ids.get(worker_id, now_ms)

    def note_lease(self, incarnation, now_ms):
        """Record that a lease may have been extended until now.

        Args:
            incarnation: the Incarnation that may hold it.
            now_ms: latest local time of such an order.
        """
        self._until_ms[incarnation] = max(
            self.lease_until_ms(incarnation), now_ms + self._lease_ms
        )

    def lease_until_ms(self, incarnation):
        """Return the local time at which no such lease lasts; 0 if unknown."""
        return self._until_ms.get(incarnation, 0)

    def holders(self, now_ms):
        """Return the Incarnations on which such a lease may last."""
        self._until_ms = {
            incarnation: until_ms
            for incarnation, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        return frozenset(self._until_ms)

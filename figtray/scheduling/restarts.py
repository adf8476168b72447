"""Incarnations that may have executed orders for an earlier one.

An order names the id of its worker, which a restart may keep. The times in it
are those of the earlier incarnation's clock, so a later one that executes it
holds the longest lease that a worker grants, whatever was asked for.
"""

import dataclasses

from figtray.fleet import model as fleet
from figtray.scheduling import leases

# An order that gets no answer may be executed so much later.
LATE_ORDER_MS = 15_000


@dataclasses.dataclass(frozen=True)
class Ended:
    """An incarnation that has ended, and whose orders may be under way.

    Attributes:
        incarnation: its Incarnation.
        fence: its fencing token.
        until_ms: local time until which its orders may be executed.
    """

    incarnation: fleet.Incarnation
    fence: int
    until_ms: int


class Restarts:
    """Fencing tokens of one term, and leases that restarts make longer.

    The caller holds the scheduler's lock.

    Args:
        bounds: the time limits of the settings; see platform.settings.

    Attributes:
        longest_lease_ms: longest time for which such a lease lasts.
    """

    def __init__(self, bounds):
        self.longest_lease_ms = leases.longest_worker_lease_ms(bounds)
        # Highest fencing token by worker id.
        self._fences = {}
        # Last Ended by worker id.
        self._ended = {}
        # Local times at which such leases have ended, by Incarnation: its
        # own, and those of later ones under its id that have not reported.
        self._own_until_ms = {}
        self._unseen_until_ms = {}
        # The same of unsure placements, by worker id and start time.
        self._unsure_until_ms = {}

    # Fencing tokens.

    def assign_fence(self, worker_id, fence):
        """Record the fencing token of an incarnation under an id.

        Returns:
            Whether it is higher than all earlier ones under the id.
        """
        highest = self.highest_fence(worker_id)
        self._fences[worker_id] = max(highest, fence)
        return fence > highest

    def highest_fence(self, worker_id):
        """Return the highest fencing token used for an id; -1 if none was."""
        return self._fences.get(worker_id, -1)

    # Incarnations that have ended.

    def note_end(self, incarnation, fence, now_ms):
        """Record that an incarnation with a fencing token has ended."""
        self._prune_ended(now_ms)
        self._ended[incarnation.worker_id] = Ended(
            incarnation, fence, now_ms + LATE_ORDER_MS
        )

    def ended(self, now_ms):
        """Return the Incarnations whose orders may still be under way."""
        self._prune_ended(now_ms)
        return tuple(sorted(item.incarnation for item in self._ended.values()))

    def follows_ended(self, incarnation, now_ms):
        """Return whether orders for an ended one may reach an Incarnation."""
        self._prune_ended(now_ms)
        ended = self._ended.get(incarnation.worker_id)
        return (
            ended is not None
            and ended.incarnation.born_ms < incarnation.born_ms
        )

    def _prune_ended(self, now_ms):
        for worker_id, item in list(self._ended.items()):
            if item.until_ms <= now_ms:
                del self._ended[worker_id]
                if self._fences.get(worker_id) == item.fence:
                    del self._fences[worker_id]

    # Leases.

    def note_lease(self, incarnation, now_ms):
        """Record that its lease may have been extended until now.

        Args:
            incarnation: the Incarnation that may hold it.
            now_ms: latest local time of such an order.
        """
        self._own_until_ms[incarnation] = now_ms + self.longest_lease_ms

    def note_unseen(self, incarnation, now_ms):
        """Record that one after it may hold such a lease, not seen by now.

        Args:
            incarnation: the earlier Incarnation.
            now_ms: latest local time of an order for it.
        """
        self._unseen_until_ms[incarnation] = now_ms + self.longest_lease_ms

    def forget_unseen(self, incarnation):
        """Record that an Incarnation has answered, so that none is after."""
        self._unseen_until_ms.pop(incarnation, None)

    def unseen_until_ms(self, incarnation):
        """Return when no lease of one after it lasts; 0 if there is none."""
        return self._unseen_until_ms.get(incarnation, 0)

    def note_unsure(self, placement, now_ms):
        """Record that one after a Placement may hold such a lease, unseen.

        Args:
            placement: the records.Placement.
            now_ms: latest local time of an order for its incarnation.
        """
        key = (placement.worker_id, placement.born_ms)
        self._unsure_until_ms[key] = now_ms + self.longest_lease_ms

    def unsure_until_ms(self, incarnation):
        """Return when such a lease of an unsure start has ended; 0 if none."""
        return self._unsure_until_ms.get(incarnation[:2], 0)

    def lease_until_ms(self, incarnation):
        """Return the local time at which no such lease lasts; 0 if unknown."""
        return max(
            self._own_until_ms.get(incarnation, 0),
            self.unseen_until_ms(incarnation),
        )

    def rename(self, incarnation, other):
        """Record that an Incarnation is at the place that another names."""
        for until_ms in (self._own_until_ms, self._unseen_until_ms):
            if incarnation in until_ms:
                until_ms[other] = until_ms.pop(incarnation)

    def holders(self, now_ms):
        """Return the Incarnations that such a lease holds up."""
        for until_ms in (self._own_until_ms, self._unseen_until_ms):
            for incarnation in list(until_ms):
                if until_ms[incarnation] <= now_ms:
                    del until_ms[incarnation]
        return frozenset([*self._own_until_ms, *self._unseen_until_ms])

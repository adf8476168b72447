"""Right of an entry to start work, confirmed by a majority of the slots."""

import threading

from figtray.configuration import writer

# Bound of the brief for a zone that is taken out: 3 s. The margin covers a
# round trip to a worker and the rounding of clocks.
FRESHNESS_MS = 2_500
MARGIN_MS = 500
# By this time after its acceptance a change is in force everywhere.
IN_FORCE_MS = FRESHNESS_MS + MARGIN_MS


class ServingRight:
    """Times at which the other slots last confirmed this entry."""

    def __init__(self, slots, own_slot, clock):
        self._clock = clock
        self._own_slot = own_slot
        self._needed = writer.majority(len(slots)) - 1
        self._confirmed = {slot: None for slot in slots if slot != own_slot}
        self._lock = threading.Lock()
        self._synchronised = False
        self._epoch = 0

    @property
    def synchronised(self):
        """True once the entry holds the newest accepted configuration."""
        return self._synchronised

    def set_synchronised(self):
        """Record that the configuration is complete."""
        self._synchronised = True

    def set_epoch(self, epoch):
        """Drop confirmations of heartbeats with an older allotment epoch.

        They say nothing of the allotments that this entry holds now.
        """
        with self._lock:
            if epoch != self._epoch:
                self._epoch = epoch
                self._confirmed = dict.fromkeys(self._confirmed)

    def confirm(self, slot, sent_ms, epoch=0):
        """Record a heartbeat reply that confirms this entry.

        Args:
            slot: the replier.
            sent_ms: local time at which the heartbeat was sent. The time
                of the reply would be wrong: the replier's answer is only
                known to be true at some time after the sending.
            epoch: allotment epoch that the heartbeat carried.
        """
        with self._lock:
            if epoch < self._epoch:
                return
            last = self._confirmed[slot]
            if last is None or sent_ms > last:
                self._confirmed[slot] = sent_ms

    def expires_ms(self):
        """Return the local time in milliseconds at which the right ends."""
        now_ms = self._clock.now_ms()
        if not self._synchronised:
            return now_ms
        if not self._needed:
            return now_ms + FRESHNESS_MS
        with self._lock:
            times = sorted(
                (t for t in self._confirmed.values() if t is not None),
                reverse=True,
            )
        if len(times) < self._needed:
            return now_ms
        return times[self._needed - 1] + FRESHNESS_MS

    def holds(self):
        """Tell whether work may be started now."""
        return self._clock.now_ms() < self.expires_ms()

    def last_confirmed(self):
        """Return the time of the last confirmation by slot."""
        with self._lock:
            return dict(self._confirmed)

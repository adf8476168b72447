"""Hand-over of key records from a slot's run to its next run."""

import threading

from figtray.peers import messages

MAX_HANDOVERS = 64


class Handovers:
    """Key records that stopping entries left with this one."""

    def __init__(self, register):
        self._register = register
        self._lock = threading.Lock()
        self._kept = {}

    def keep(self, handover):
        """Keep the records of a run that stops."""
        with self._lock:
            self._kept[handover.slot] = handover
            while len(self._kept) > MAX_HANDOVERS:
                self._kept.pop(next(iter(self._kept)))

    def answer(self, slot, run_id):
        """Answer the slot's next run.

        Args:
            slot: the slot that asks.
            run_id: its run.

        Returns:
            A messages.KeysReply.
        """
        runs = self._register.runs_before(slot, run_id)
        with self._lock:
            handover = self._kept.get(slot)
        if handover is None or runs and runs[-1] != handover.run_id:
            # A later run may have taken keys that these records lack.
            return messages.KeysReply()
        return messages.KeysReply(
            handover.run_id, handover.records, handover.uncertain_ms
        )

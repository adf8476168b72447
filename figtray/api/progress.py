"""Tells which changes are accepted and in force."""

import bisect
import dataclasses
import threading

from figtray.configuration import writer as writer_lib
from figtray.peers import serving

MAX_RECORDS = 1024


@dataclasses.dataclass(frozen=True)
class Status:
    """How far a change got; `unconfirmed` lists slots without it."""

    accepted: bool
    in_force: bool
    unconfirmed: tuple


class Progress:
    """Records when a majority of the entries was first seen with a change.

    The time of seeing it is never before the acceptance, so the waiting
    time that starts there is never too short. This also holds for changes
    that another process made.
    """

    def __init__(self, slots, clock):
        self._slots = tuple(slots)
        self._clock = clock
        self._lock = threading.Lock()
        self._generations = []
        self._times_ms = []

    def accepted(self, generation, at_ms):
        """Record that a generation was accepted by a time.

        Args:
            generation: the accepted generation.
            at_ms: local time in milliseconds at which this was known.
        """
        with self._lock:
            if self._generations and self._generations[-1] >= generation:
                return
            self._generations.append(generation)
            self._times_ms.append(at_ms)
            del self._generations[:-MAX_RECORDS]
            del self._times_ms[:-MAX_RECORDS]

    def status(self, generation, snapshot, marks):
        """Return the Status of a generation.

        Args:
            generation: the generation asked about.
            snapshot: newest Snapshot known, to recognise forked slots.
            marks: mapping of slot to Mark, of the slots that answered.
        """
        unconfirmed = tuple(
            slot
            for slot in self._slots
            if not _holds(marks.get(slot), generation, snapshot)
        )
        confirmed = len(self._slots) - len(unconfirmed)
        now_ms = self._clock.now_ms()
        if confirmed >= writer_lib.majority(len(self._slots)):
            self.accepted(generation, now_ms)
        accepted_ms = self._accepted_ms(generation)
        if accepted_ms is None:
            return Status(False, False, unconfirmed)
        waited = now_ms - accepted_ms >= serving.IN_FORCE_MS
        return Status(True, waited or not unconfirmed, unconfirmed)

    def _accepted_ms(self, generation):
        with self._lock:
            index = bisect.bisect_left(self._generations, generation)
            if index == len(self._generations):
                return None
            return self._times_ms[index]


def _holds(mark, generation, snapshot):
    if mark is None or mark.generation < generation:
        return False
    return (
        mark.generation > snapshot.generation
        or snapshot.contains(mark) is not False
    )

"""Tracking of which configuration changes are in force on all nodes."""

import bisect
import dataclasses
import threading

MAX_GENERATIONS = 1024


@dataclasses.dataclass(frozen=True)
class ChangeStatus:
    """Whether the store has a change, and whether all nodes apply it."""

    accepted: bool
    in_force: bool


class PropagationTracker:
    """Records when this process first observed each generation in the store.

    A node rejects work when its view of the configuration was last confirmed
    longer ago than its staleness limit. Hence an accepted change is in force
    on every node after that time, even on an unreachable one. A generation is
    never observed before its acceptance, also if another process committed
    it, so the time counted from the observation is never too short.

    Args:
        clock: Clock to use.
        in_force_ms: staleness limit of the nodes in milliseconds.
    """

    def __init__(self, clock, in_force_ms):
        self._clock = clock
        self._in_force_ms = in_force_ms
        self._lock = threading.Lock()
        self._generations = []
        self._accepted_times_ms = []

    def record_accepted(self, generation, at_ms):
        """Record that the store had reached a generation at a given time.

        Args:
            generation: the generation.
            at_ms: time of the observation by the Clock, in milliseconds.
        """
        with self._lock:
            if self._generations and self._generations[-1] >= generation:
                return
            self._generations.append(generation)
            self._accepted_times_ms.append(at_ms)
            del self._generations[:-MAX_GENERATIONS]
            del self._accepted_times_ms[:-MAX_GENERATIONS]

    def status(self, generation, stored_generation):
        """Return the ChangeStatus of a generation.

        Args:
            generation: the generation to look up.
            stored_generation: current generation of the store.
        """
        now_ms = self._clock.now_ms()
        self.record_accepted(stored_generation, now_ms)
        accepted_ms = self._find_accepted_ms(generation)
        if accepted_ms is None:
            return ChangeStatus(False, False)
        return ChangeStatus(True, now_ms - accepted_ms >= self._in_force_ms)

    def _find_accepted_ms(self, generation):
        with self._lock:
            index = bisect.bisect_left(self._generations, generation)
            if index == len(self._generations):
                return None
            return self._accepted_times_ms[index]

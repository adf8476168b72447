"""Demand of the pools, smoothed over the hysteresis interval."""

import collections
import dataclasses
import math

# Smoothing time as a part of the hysteresis interval: a peak that lasts
# for a whole interval is then seen with more than 95 % of its height.
SMOOTHING_FRACTION = 0.3
# A queue is to be cleared within this multiple of the interval. Clearing it
# sooner takes hosts that have to go back as soon as it is empty.
CLEARING_FACTOR = 8
# A fall below this part of the smoothed demand is the end of a peak and no
# noise; the pool's idle hosts are then the best to lend to the next peak.
SHARP_FALL = 0.5


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """Load of a pool, summed over the entries.

    `run_ms` is the mean run time of its tasks; 0 if it is not known.
    """

    running: float
    queued: float
    run_ms: float = 0


def from_status(status):
    """Sum the load of the pools over the entries.

    Args:
        status: mapping of slot to messages.StatusReply.

    Returns:
        Mapping of pool to PoolLoad.
    """
    running = collections.Counter()
    queued = collections.Counter()
    run_ms = {}
    for reply in status.values():
        for pool in reply.demand.pools if reply.demand else ():
            running[pool.pool] += sum(team.running for team in pool.teams)
            queued[pool.pool] += sum(team.queued for team in pool.teams)
        for pool, mean_ms in reply.run_ms.items():
            run_ms.setdefault(pool, []).append(mean_ms)
    return {
        pool: PoolLoad(
            running[pool],
            queued[pool],
            sum(run_ms.get(pool, ())) / max(1, len(run_ms.get(pool, ()))),
        )
        for pool in {*running, *queued, *run_ms}
    }


@dataclasses.dataclass
class _History:
    """Last sample and recent smoothed values of a pool."""

    total: float
    smoothed: float | None = None
    recent: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class DemandTracker:
    """Turns samples of running and queued work into slots of demand.

    Running + queued counts every queued request as a slot, and would move
    more hosts the longer a queue has grown. The tracker estimates how many
    slots the arriving work keeps busy: those that run now, and by how much
    running + queued grows in one run time.
    """

    def __init__(self):
        self._pools = {}
        self._last_ms = None

    def update(self, loads, now_ms, interval_ms):
        """Take in one sample of every pool.

        Args:
            loads: mapping of pool to PoolLoad.
            now_ms: time of the samples in milliseconds.
            interval_ms: the hysteresis interval in milliseconds.

        Returns:
            Mapping of pool to (smoothed, highest in the smoothing time), in
            slots.
        """
        elapsed_ms = 0 if self._last_ms is None else now_ms - self._last_ms
        self._last_ms = now_ms
        window_ms = SMOOTHING_FRACTION * interval_ms
        rate = 1 - math.exp(-elapsed_ms / window_ms)
        result = {}
        for pool, load in loads.items():
            history = self._pools.setdefault(
                pool, _History(load.running + load.queued)
            )
            value = _needed_slots(load, history, elapsed_ms, interval_ms)
            history.total = load.running + load.queued
            if history.smoothed is None:
                history.smoothed = value
            recent = history.recent
            if value < SHARP_FALL * history.smoothed:
                history.smoothed = value
                recent.clear()
            history.smoothed += rate * (value - history.smoothed)
            recent.append((now_ms, history.smoothed))
            while recent[0][0] < now_ms - window_ms:
                recent.popleft()
            highest = max(height for _, height in recent)
            result[pool] = history.smoothed, highest
        return result


def _needed_slots(load, history, elapsed_ms, interval_ms):
    if not load.run_ms:
        return load.running + load.queued
    growth = load.running + load.queued - history.total
    grown = growth / elapsed_ms * load.run_ms if elapsed_ms else 0
    clearing_ms = CLEARING_FACTOR * interval_ms
    clearing = load.queued * min(1, load.run_ms / clearing_ms)
    return max(load.running + grown, 0) + clearing

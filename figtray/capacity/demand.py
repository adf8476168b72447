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
    `arrived` counts all requests so far, those that a full queue refused
    included; None if they are not counted.
    """

    running: float
    queued: float
    run_ms: float = 0
    arrived: float | None = None


class LoadReader:
    """Sums the load of the pools over the entries.

    Arrivals are added up by entry, so that an entry that restarts, or whose
    status comes late, does not look like a fall and a peak.
    """

    def __init__(self):
        self._counted = {}
        self._arrived = collections.Counter()

    def read(self, status):
        """Take in the status of the entries that answered.

        Args:
            status: mapping of slot to messages.StatusReply.

        Returns:
            Mapping of pool to PoolLoad.
        """
        running = collections.Counter()
        queued = collections.Counter()
        run_ms = collections.defaultdict(list)
        for reply in status.values():
            for pool in reply.demand.pools if reply.demand else ():
                running[pool.pool] += sum(team.running for team in pool.teams)
                queued[pool.pool] += sum(team.queued for team in pool.teams)
            for pool, mean_ms in reply.run_ms.items():
                run_ms[pool].append(mean_ms)
            for pool, count in reply.arrived.items():
                key = reply.slot, reply.incarnation, pool
                self._arrived[pool] += count - self._counted.get(key, count)
                self._counted[key] = count
        return {
            pool: PoolLoad(
                running[pool],
                queued[pool],
                sum(run_ms[pool]) / max(1, len(run_ms[pool])),
                self._arrived[pool] if pool in self._arrived else None,
            )
            for pool in {*running, *queued, *run_ms}
        }


@dataclasses.dataclass
class _History:
    """Last sample and recent smoothed values of a pool."""

    last: PoolLoad
    running: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    smoothed: float | None = None
    recent: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class DemandTracker:
    """Turns samples of running and queued work into slots of demand.

    Running + queued counts every queued request as a slot, and would move
    more hosts the longer a queue has grown. The tracker estimates how many
    slots the arriving work keeps busy: by the requests that arrived if they
    are counted, else by the growth of running + queued. The growth doesn't
    show what a full queue refuses.
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
            history = self._pools.setdefault(pool, _History(load))
            value = _needed_slots(
                load, history, now_ms, elapsed_ms, interval_ms
            )
            history.last = load
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


def _needed_slots(load, history, now_ms, elapsed_ms, interval_ms):
    history.running.append((now_ms, load.running))
    if not load.run_ms:
        return load.running + load.queued
    while len(history.running) > 1 and (
        history.running[1][0] <= now_ms - load.run_ms
    ):
        history.running.popleft()
    clearing_ms = CLEARING_FACTOR * interval_ms
    clearing = load.queued * min(1, load.run_ms / clearing_ms)
    return max(_arriving_slots(load, history, elapsed_ms), 0) + clearing


def _arriving_slots(load, history, elapsed_ms):
    last = history.last
    run_times = load.run_ms / elapsed_ms if elapsed_ms else 0
    if load.arrived is not None and last.arrived is not None:
        arrived = load.arrived - last.arrived
        return arrived * run_times if elapsed_ms else load.running
    # Tasks that started less than a run time ago have not ended yet;
    # counting them would double the demand at the start of a peak.
    ended = history.running[0][1]
    growth = load.running + load.queued - last.running - last.queued
    return ended + growth * run_times

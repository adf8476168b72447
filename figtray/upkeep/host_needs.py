"""Numbers of hosts that pools need for their load."""

import collections
import math
import statistics

from figtray.jobs import model

# Each pool keeps this share of an equal split of all hosts among all pools,
# but no fewer than MIN_WORKERS, to absorb a peak until spare hosts arrive.
BASE_SHARE = 0.55
# A pool also has at least this number of workers that can be reached.
MIN_WORKERS = 2
# Share of the needs of waiting tasks for which a pool gets hosts. The other
# waiting tasks start on the same hosts within seconds.
WAITING_DEMAND_SHARE = 0.5
# Share of the needs of steps that are not open yet; these run one after
# another and don't need it all at the same time.
LATER_DEMAND_SHARE = 0.3
# The rise of the demand in the last TREND_WINDOW_MS is extrapolated over
# FORECAST_MS, the time until moved hosts run tasks. The expected rise is
# limited to MAX_RISE_SHARE of the demand.
TREND_WINDOW_MS = 1200
FORECAST_MS = 2500
MAX_RISE_SHARE = 0.3
# Assumed while the host list contains no capacity.
DEFAULT_HOST_CAPACITY = model.Resources(16_000, 32_000)


class DemandTrend:
    """Recent demand of a pool, from which its rise is forecast."""

    def __init__(self):
        # Pairs of local time and demand in thousandths of a core.
        self._history = collections.deque()

    def forecast_rise(self, load, now_ms):
        """Record the demand and return its rise in the next FORECAST_MS.

        Args:
            load: the PoolLoad.
            now_ms: local time.

        Returns:
            The expected rise in thousandths of a core.
        """
        demand = short_demand_milli(load)
        self._history.append((now_ms, demand))
        while now_ms - self._history[0][0] > TREND_WINDOW_MS:
            self._history.popleft()
        since_ms, before = self._history[0]
        if now_ms == since_ms:
            return 0
        rate = (demand - before) / (now_ms - since_ms)
        return min(max(0, rate * FORECAST_MS), MAX_RISE_SHARE * demand)


def base_workers(host_count, cfg):
    """Return the number of workers that a pool keeps without any demand.

    Args:
        host_count: number of all hosts.
        cfg: the queues.Config.
    """
    share = math.ceil(BASE_SHARE * host_count / len(cfg.pools))
    return max(MIN_WORKERS, share)


def short_demand_milli(load):
    """Return the demand of tasks that are not lasting.

    Args:
        load: the PoolLoad.

    Returns:
        Processor time in thousandths of a core.
    """
    known = (
        load.short_milli
        + WAITING_DEMAND_SHARE * load.waiting_milli
        + LATER_DEMAND_SHARE * load.later_milli
    )
    return max(known, load.arriving_milli)


def wanted_workers(load, rise_milli, capacity):
    """Return the number of workers that a pool needs.

    Args:
        load: its PoolLoad.
        rise_milli: expected rise of its demand in thousandths of a core.
        capacity: Resources of a host.
    """
    milli = load.lasting_milli + short_demand_milli(load) + rise_milli
    hosts = max(
        milli / capacity.cpu_milli, load.memory_mb / capacity.memory_mb
    )
    spread = load.spread
    if spread and load.due:
        # A task of the widest step needs a free worker to move to before the
        # upkeep of its host.
        spread += 1
    return max(MIN_WORKERS, math.ceil(hosts), spread)


def equivalent_hosts(load, capacity):
    """Return how many hosts of the usual size the workers of a pool stand for.

    Workers that have shrunk count for less than a host each.

    Args:
        load: its PoolLoad.
        capacity: Resources of a host.
    """
    return min(
        load.workers,
        round(load.capacity_milli / capacity.cpu_milli),
        round(load.capacity_mb / capacity.memory_mb),
    )


def usual_capacity(hosts):
    """Return the median of each resource of the hosts.

    Some hosts may have shrunk for a while.
    """
    known = [
        host.capacity
        for host in hosts
        if host.capacity.cpu_milli and host.capacity.memory_mb
    ]
    if not known:
        return DEFAULT_HOST_CAPACITY
    return model.Resources(
        statistics.median_low(item.cpu_milli for item in known),
        statistics.median_low(item.memory_mb for item in known),
    )

"""Number of hosts that a pool should have for its load and its forecast."""

import collections
import dataclasses
import enum
import math
import statistics

from figtray.jobs import model
from figtray.workload import forecast

# While nothing is known of its jobs, or lasting tasks have to move for an
# upkeep, a pool keeps this share of an equal split of all hosts among all
# pools. Its room for large jobs is limited to that share, too.
BASE_SHARE = 0.55
# A pool also has at least this number of workers that can be reached.
MIN_WORKERS = 2
# Without a known period a pool with room for a large job has no fewer, if its
# share allows: a few jobs at once would have nowhere to start.
MIN_ROOM_WORKERS = 6
# Share of the needs of waiting tasks for which a pool gets hosts. The other
# waiting tasks start on the same hosts within seconds.
WAITING_DEMAND_SHARE = 0.5
# Share of the needs of steps that are not open yet; these run one after
# another and don't need it all at the same time.
LATER_DEMAND_SHARE = 0.3
# A host that moves away and back costs about as much as keeping it for this
# time.
KEEP_MS = 2000
# A surplus host on which lasting tasks run is kept for this time, as a move
# interrupts them, and for good if the surplus is below this share of the pool.
LASTING_KEEP_MS = 5000
LASTING_SURPLUS_SHARE = 0.3
# Least average number of hosts of a pool whose jobs come in numbers: in a
# smaller one, a single large job is a great part of the demand, from which
# neither a rise nor a period can be told.
LEAST_POOL_HOSTS = 20
# In smaller pools, the rise of the demand in the last TREND_WINDOW_MS is
# extrapolated over TREND_LEAD_MS, the time until moved hosts run tasks. The
# expected rise is limited to MAX_TREND_SHARE of the demand.
TREND_WINDOW_MS = 1200
TREND_LEAD_MS = 2500
MAX_TREND_SHARE = 0.3
# Assumed while the host list contains no capacity.
DEFAULT_HOST_CAPACITY = model.Resources(16_000, 32_000)


class Reason(enum.Enum):
    """What the number of hosts of a pool comes from."""

    MINIMUM = 'minimum'
    SHARE = 'share'
    LARGE_JOB = 'large-job'
    SPREAD = 'spread'
    MEMORY = 'memory'
    WORK = 'work'
    RISE = 'rise'
    FORECAST = 'forecast'


@dataclasses.dataclass(frozen=True)
class Site:
    """What the pools of a site share.

    Attributes:
        hosts: number of all hosts.
        pools: number of all pools.
        capacity: Resources of a host of the usual size.
    """

    hosts: int
    pools: int
    capacity: model.Resources

    @property
    def has_large_pools(self):
        """Whether the forecast and the room for large jobs take effect."""
        return self.hosts >= LEAST_POOL_HOSTS * self.pools


@dataclasses.dataclass(frozen=True)
class PoolSize:
    """Hosts that a pool should have.

    Attributes:
        wanted: number of hosts.
        lacking: how many more it needs; a negative number if none.
        surplus: how many it can give back.
        reason: the Reason for `wanted`.
        ahead: how many of those that it lacks only the forecast asks for.
        guessed: how many only the forecast or a rise asks for.
        keep_ms: time for which it keeps a surplus, in milliseconds.
        spares_lasting: whether may_interrupt() decides on its surplus hosts
            with lasting tasks; else they are given back as the others.
    """

    wanted: int
    lacking: int
    surplus: int
    reason: Reason
    ahead: int
    guessed: int
    keep_ms: int
    spares_lasting: bool = True


class DemandTrend:
    """Recent demand of a pool of a small site, from which its rise is told."""

    def __init__(self):
        # Pairs of local time and demand in thousandths of a core.
        self._history = collections.deque()

    def rise_milli(self, load, now_ms):
        """Record the demand and return its rise in the next TREND_LEAD_MS.

        Args:
            load: the PoolLoad.
            now_ms: local time in milliseconds.

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
        return min(max(0, rate * TREND_LEAD_MS), MAX_TREND_SHARE * demand)


def decide_small(load, site, rise_milli):
    """Return the PoolSize of a pool of a site without large pools.

    Args:
        load: its PoolLoad.
        site: the Site.
        rise_milli: the rise that its DemandTrend expects.
    """
    share = _share(site)
    rise = _hosts_for(
        load, short_demand_milli(load) + rise_milli, site.capacity
    )
    needs = _needs(load, site.capacity) | {Reason.RISE: rise}
    lacking = max(
        share - load.workers,
        max(needs.values()) - equivalent_hosts(load, site.capacity),
        MIN_WORKERS - load.reachable,
    )
    reasons = {Reason.SHARE: share, **needs}
    reason = max(reasons, key=reasons.get)
    return PoolSize(
        wanted=reasons[reason],
        lacking=lacking,
        # What it does not lack, with the hosts that are on their way.
        surplus=load.workers,
        reason=reason,
        ahead=0,
        guessed=0,
        keep_ms=KEEP_MS,
        spares_lasting=False,
    )


def decide(load, site):
    """Return the PoolSize of a pool of a site with large pools.

    Args:
        load: its PoolLoad.
        site: the Site.
    """
    room = _room(load, site)
    needs = _needs(load, site.capacity)
    expected = _hosts_for(load, load.outlook.ahead_milli, site.capacity)
    workers = equivalent_hosts(load, site.capacity)
    lacking_known = max(
        max(room.values()) - load.workers,
        max(needs.values()) - workers,
        MIN_WORKERS - load.reachable,
    )
    rise = _hosts_for(load, _rising_milli(load), site.capacity)
    lacking_now = max(lacking_known, rise - workers)
    lacking = max(lacking_now, expected - workers)
    kept = _hosts_for(load, load.outlook.kept_milli, site.capacity)
    reasons = {
        **room,
        **needs,
        Reason.RISE: rise,
        Reason.FORECAST: expected,
    }
    reason = max(reasons, key=reasons.get)
    return PoolSize(
        reasons[reason],
        lacking,
        min(-lacking, workers - kept),
        reason,
        max(0, lacking - max(0, lacking_now)),
        max(0, lacking - max(0, lacking_known)),
        0 if load.outlook.falling else KEEP_MS,
    )


def may_interrupt(workers, surplus, kept_ms, starved):
    """Return whether hosts with lasting tasks are given back.

    Args:
        workers: number of workers of the pool.
        surplus: how many of their hosts it can give back.
        kept_ms: time for which it has kept a surplus, in milliseconds.
        starved: whether other pools lack more hosts than are drained, and no
            spare ones are left.
    """
    return starved or (
        kept_ms >= LASTING_KEEP_MS
        and surplus >= LASTING_SURPLUS_SHARE * workers
    )


def _room(load, site):
    """Return how many hosts a pool keeps without any demand, by Reason.

    It keeps room for a large job beside its lasting tasks. These need other
    workers to move to while hosts of the pool have an upkeep ahead.
    """
    share = _share(site)
    if not load.outlook.widest_milli or load.due and load.lasting_milli:
        return {Reason.SHARE: share}
    large = _hosts_for(load, load.outlook.widest_milli, site.capacity)
    if load.outlook.pattern != forecast.Pattern.PERIODIC:
        large = max(large, MIN_ROOM_WORKERS)
    return {Reason.LARGE_JOB: min(large, share)}


def _share(site):
    return math.ceil(BASE_SHARE * site.hosts / site.pools)


def _needs(load, capacity):
    """Return how many hosts a pool needs for its demand, by Reason."""
    demand = short_demand_milli(load)
    # A task of the widest step needs a free worker to move to before the
    # upkeep of its host.
    spread = load.spread + 1 if load.spread and load.due else load.spread
    return {
        Reason.MINIMUM: MIN_WORKERS,
        Reason.WORK: _hosts_for(load, demand, capacity),
        Reason.MEMORY: math.ceil(load.memory_mb / capacity.memory_mb),
        Reason.SPREAD: spread,
    }


def _rising_milli(load):
    """Return the demand if it goes on rising until hosts come.

    What waits now is still there then.
    """
    return load.arriving_milli + load.outlook.rising_milli + load.waiting_milli


def _hosts_for(load, milli, capacity):
    """Return the hosts for lasting tasks and for this much processor time."""
    return math.ceil((load.lasting_milli + milli) / capacity.cpu_milli)


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

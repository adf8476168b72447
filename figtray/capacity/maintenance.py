"""Maintenance waves: which hosts are due, in which order, and until when."""

import collections
import math

from figtray.capacity import budget
from figtray.capacity import model
from figtray.configuration import resources

# A wave begins early enough that it ends within the period even if the
# budgets let it go on only some of the time.
DUE_FRACTION = 0.8
HASTENED_FRACTION = 0.25
# A reboot is taken for failed after this multiple of the 95th percentile.
# The floor keeps a few quick reboots from condemning the first slow one.
STUCK_FACTOR = 3
STUCK_FLOOR_MS = 15 * 60 * 1000
REBOOTS_KEPT = 500
# More hosts than this lost to a wave stop it: the cause is then likely to
# be the maintenance itself.
MAX_STUCK = 2
MAX_STUCK_FRACTION = 0.01


class RebootTimes:
    """Distribution of the past reboot times of a deployment."""

    def __init__(self):
        self._times_ms = collections.deque(maxlen=REBOOTS_KEPT)

    def add(self, time_ms):
        """Record the time that a host took to come back."""
        self._times_ms.append(time_ms)

    def percentile(self, fraction):
        """Return the time within which a fraction came back, or 0."""
        if not self._times_ms:
            return 0
        times = sorted(self._times_ms)
        index = math.ceil(fraction * len(times)) - 1
        return times[min(max(index, 0), len(times) - 1)]

    @property
    def limit_ms(self):
        """Time after which a host counts as failed rather than slow."""
        return max(STUCK_FLOOR_MS, STUCK_FACTOR * self.percentile(0.95))


def is_due(host, situation):
    """Tell whether a host belongs to the present wave."""
    thresholds = situation.thresholds
    fraction = HASTENED_FRACTION if thresholds.hastened else DUE_FRACTION
    age_s = situation.wall_s - host.maintained_at_s
    return age_s >= fraction * thresholds.period_s


def current_zone(situation, due):
    """Return the zone to maintain now, or None.

    Hosts that did not come back no longer hold the wave in their zone.

    Args:
        situation: the model.Situation.
        due: the hosts that are due.

    Returns:
        Name of the zone that has due hosts in maintenance or draining, else
        of the one with the host that waited longest.
    """
    for state in (
        resources.HostState.MAINTENANCE,
        resources.HostState.DRAINING,
    ):
        busy = collections.Counter(
            host.zone
            for host in situation.hosts
            if host.state is state
            and host.name not in situation.stuck
            and host.zone not in situation.zones_out
            and is_due(host, situation)
        )
        if busy:
            return max(sorted(busy), key=busy.get)
    candidates = [h for h in due if budget.is_available(h, situation)]
    if not candidates:
        return None
    return min(candidates, key=lambda h: (h.maintained_at_s, h.name)).zone


def spread_over_racks(hosts, busy):
    """Sort hosts by age, the first of each rack before any second one.

    Args:
        hosts: hosts of one zone.
        busy: number of hosts of each rack that are already out of use.

    Returns:
        List of the hosts.
    """
    taken = collections.Counter(busy)
    ranked = []
    for host in sorted(hosts, key=lambda h: (h.maintained_at_s, h.name)):
        ranked.append(
            (taken[host.rack], host.maintained_at_s, host.name, host)
        )
        taken[host.rack] += 1
    return [entry[-1] for entry in sorted(ranked, key=lambda e: e[:3])]


def blocked_reason(situation):
    """Return why no maintenance may start, or an empty string."""
    limit = max(MAX_STUCK, MAX_STUCK_FRACTION * len(situation.hosts))
    if situation.thresholds.paused:
        return 'paused by the policy'
    if len(situation.stuck) > limit:
        return f'{len(situation.stuck)} hosts did not come back'
    if budget.lost_zones(situation):
        return 'a zone is lost or out of service'
    return ''


def forecast(situation, started, blocked, uncovered):
    """Estimate the end of the wave.

    Args:
        situation: the model.Situation.
        started: number of drains for maintenance that the plan starts.
        blocked: why no host is started, or an empty string.
        uncovered: (pool, missing slots) of each pool below its guarantee.

    Returns:
        The model.Forecast.
    """
    due = sum(is_due(host, situation) for host in situation.hosts)
    active = sum(
        host.state is resources.HostState.MAINTENANCE
        and host.name not in situation.stuck
        for host in situation.hosts
    )
    at_once = active + started
    end_s = None
    if due and at_once:
        each_ms = situation.drain_ms + situation.maintenance_ms
        rounds = math.ceil(due / at_once)
        end_s = situation.wall_s + math.ceil(rounds * each_ms / 1000)
    return model.Forecast(
        due=due,
        in_maintenance=active,
        stuck=len(situation.stuck),
        end_s=end_s,
        blocked=blocked,
        uncovered=uncovered,
    )

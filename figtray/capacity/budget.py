"""Availability budgets: what the loss of any one zone or rack leaves."""

import collections

from figtray.capacity import model
from figtray.configuration import resources

SERVING = resources.HostState.SERVING


def is_available(host, situation):
    """Tell whether a host gives its slots to its pool now."""
    return (
        host.state is SERVING
        and host.name not in situation.failed
        and host.name not in situation.leaving
        and host.zone not in situation.zones_out
    )


def lost_zones(situation):
    """Return the zones that are out of service or mostly failed."""
    totals = collections.Counter(host.zone for host in situation.hosts)
    failed = collections.Counter(
        host.zone for host in situation.hosts if host.name in situation.failed
    )
    return situation.zones_out | {
        zone for zone, count in failed.items() if 2 * count > totals[zone]
    }


class Ledger:
    """Number of hosts by which the worst loss is covered.

    All counts are in hosts of the most common size, the `unit`. For each
    zone and rack whose loss is considered, a pool below its guarantee lacks
    hosts (rounded up) and a pool above it has hosts to give (rounded down,
    none smaller than the unit). The budgets hold if no loss leaves more
    lacking than there is to give. With hosts of one size this is exact; with
    mixed sizes it never claims cover that does not exist.

    Once a whole zone is lost, the loss that the budgets provide for has
    happened, and only the present guarantee is checked.
    """

    def __init__(self, situation):
        self._mins = {pool.name: pool.min_slots for pool in situation.pools}
        hosts = [h for h in situation.hosts if is_available(h, situation)]
        sizes = collections.Counter(host.slots for host in situation.hosts)
        self.unit = max(
            sizes, key=lambda size: (sizes[size], -size), default=1
        )
        self.zone_lost = bool(lost_zones(situation))
        self.slots = dict.fromkeys(self._mins, 0)
        self._whole = dict.fromkeys(self._mins, 0)
        self._largest = dict.fromkeys(self._mins, self.unit)
        # Pool -> loss -> [slots, whole hosts] that the pool would lose.
        self._losses = {pool: {} for pool in self._mins}
        self._extra = collections.Counter()
        for host in hosts:
            self._count(host, 1)
        self._base = {pool: self._value(pool, (0, 0)) for pool in self._mins}
        self._total = sum(self._base.values())
        for pool in self._mins:
            self._add_extra(pool, 1)

    @property
    def headroom(self):
        """Further hosts that may go; below 0 if a loss is not covered."""
        if self.zone_lost:
            return self._total
        return self._total + min(self._extra.values(), default=0)

    def surplus(self, pool):
        """Slots of a pool above its guarantee; below 0 if it lacks some."""
        return self.slots[pool] - self._mins[pool]

    def slots_within(self, pool, domain):
        """Return the slots that a pool would lose with a zone or rack."""
        return self._losses[pool].get(domain, (0, 0))[0]

    def remove(self, host):
        """Count a host that is available as gone."""
        self._change(host, -1)

    def add(self, host):
        """Count a host as available in its pool."""
        self._change(host, 1)

    def take(self, host):
        """Count an available host as gone if the budgets still hold.

        Returns:
            True if it was taken.
        """
        self.remove(host)
        if self.headroom >= 0:
            return True
        self.add(host)
        return False

    def _change(self, host, sign):
        pool = host.pool
        self._add_extra(pool, -1)
        self._count(host, sign)
        base = self._value(pool, (0, 0))
        self._total += base - self._base[pool]
        self._base[pool] = base
        self._add_extra(pool, 1)

    def _count(self, host, sign):
        whole = sign if host.slots >= self.unit else 0
        self.slots[host.pool] += sign * host.slots
        self._whole[host.pool] += whole
        self._largest[host.pool] = max(self._largest[host.pool], host.slots)
        losses = self._losses[host.pool]
        for domain in domains(host):
            loss = losses.setdefault(domain, [0, 0])
            loss[0] += sign * host.slots
            loss[1] += whole

    def _value(self, pool, loss):
        surplus = self.slots[pool] - loss[0] - self._mins[pool]
        if surplus < 0:
            return surplus // self.unit
        return min(surplus // self._largest[pool], self._whole[pool] - loss[1])

    def _add_extra(self, pool, sign):
        base = self._value(pool, (0, 0))
        for domain, loss in self._losses[pool].items():
            self._extra[domain] += sign * (self._value(pool, loss) - base)


def domains(host):
    """Return the zone and the rack with which a host can be lost."""
    return ('zone', host.zone), ('rack', host.zone, host.rack)


def charge(situation, ledger):
    """Charge every unavailable host once, in the stated order.

    Args:
        situation: the model.Situation.
        ledger: the Ledger of the situation.

    Returns:
        The model.Charges.
    """
    counts = collections.Counter()
    lost = lost_zones(situation)
    for host in situation.hosts:
        if host.zone in lost and (
            host.zone in situation.zones_out or host.name in situation.failed
        ):
            counts['lost_zones'] += 1
        elif host.name in situation.failed or host.name in situation.stuck:
            counts['failed'] += 1
        elif host.name in situation.leaving:
            counts['drains'] += 1
        elif host.state is resources.HostState.MAINTENANCE:
            counts['maintenance'] += 1
        elif host.state is not SERVING:
            counts['moves'] += 1
    return model.Charges(**counts, left=ledger.headroom)

"""Division of a pool's slots over teams and of a team's over entries."""

import dataclasses
import math

# Slots that urgent demand may take beyond the fair shares of its teams, as
# a part of the pool. It equals the deviation that the share measure
# tolerates, so a team that marks all its work urgent costs the others no
# more than that.
URGENT_EXCESS = 0.05

# Remainders are rounded in integers of this unit, so that every entry gets
# exactly the same whole numbers from the same view.
_UNIT = 1 << 32
# Multiples of the golden ratio spread evenly over the unit interval, so a
# remainder of 0.4 rounds up in 4 of any 10 successive turns, within one.
_GOLDEN = int((math.sqrt(5) - 1) / 2 * _UNIT)
_EPSILON = 1e-9


@dataclasses.dataclass(frozen=True)
class Demand:
    """Demand of one team for the slots of one pool.

    `urgent` counts the urgent requests among the running and queued ones.
    """

    team: str
    weight: int
    limit: int
    running: int
    queued: int
    urgent: int = 0

    @property
    def wanted(self):
        """Number of slots that the team could use."""
        return max(0, min(self.limit, self.running + self.queued))


def fair_shares(capacity, demands):
    """Compute the weighted max-min shares in fractions of slots.

    Args:
        capacity: number of slots of the pool.
        demands: Demand of each team.

    Returns:
        Mapping of team to its share, a float.
    """
    return _water_fill(
        capacity, [(d.team, d.weight, d.wanted) for d in demands]
    )


def allocate(capacity, demands, turn=0, owed=None):
    """Divide the slots of a pool over teams, in whole slots.

    The shares are weighted max-min fair, capped by demand and limit. Urgent
    demand above a team's fair share gets up to URGENT_EXCESS of the pool in
    addition, taken from all teams alike. Remainders of a slot go to other
    teams in each turn, so that a team whose share is below one slot gets it
    over time.

    Args:
        capacity: number of slots of the pool.
        demands: Demand of each team, each team once.
        turn: number of the rounding turn, alike on all entries.
        owed: mapping of team to the slots by which its share is raised or
            lowered, to make up for what it used before. Only differences
            between the teams count.

    Returns:
        Mapping of team to its number of slots.
    """
    demands = sorted(demands, key=lambda d: d.team)
    capacity = max(0, capacity)
    shares = fair_shares(capacity, demands)
    excess = [
        (d.team, d.weight, min(d.urgent, d.wanted) - shares[d.team])
        for d in demands
        if min(d.urgent, d.wanted) > shares[d.team] + _EPSILON
    ]
    if excess:
        extra = _water_fill(capacity * URGENT_EXCESS, excess)
        rest = _water_fill(
            capacity - sum(extra.values()),
            [
                (d.team, d.weight, d.wanted - extra.get(d.team, 0))
                for d in demands
            ],
        )
        shares = {team: rest[team] + extra.get(team, 0) for team in rest}
    if owed:
        shares = _correct(shares, demands, owed)
    return _round(shares, turn)


def portions(total_by_team, demand_by_entry, turn=0):
    """Divide the slots of each team over the entries by their demand.

    Every entry gets the quota of its demand rounded down or up. Which ones
    are rounded up depends on the order of the entries and changes with the
    turn, so that no entry with demand stays at zero.

    Args:
        total_by_team: mapping of team to its number of slots.
        demand_by_entry: mapping of entry slot to a mapping of team to its
            demand at that entry.
        turn: number of the rounding turn, alike on all entries.

    Returns:
        Mapping of entry slot to a mapping of team to its portion. The
        portions of a team add up to its total, or to its demand if that is
        lower.
    """
    entries = sorted(demand_by_entry)
    result = {entry: {} for entry in entries}
    for team, total in total_by_team.items():
        wanted = [
            (entry, demand_by_entry[entry].get(team, 0)) for entry in entries
        ]
        wanted = [(entry, demand) for entry, demand in wanted if demand > 0]
        demand = sum(count for _entry, count in wanted)
        total = min(total, demand)
        if total <= 0:
            continue
        parts = _round_exactly(
            [
                (entry, count * total // demand, count * total % demand)
                for entry, count in wanted
            ],
            demand,
            turn,
        )
        for entry, part in parts:
            result[entry][team] = part
    return result


def _water_fill(capacity, items):
    """Fill (name, weight, cap) up to a common level per weight.

    Items leave in the order in which they reach their cap, so one pass over
    the sorted items is enough.
    """
    shares = {}
    left = capacity
    weight_left = sum(weight for _name, weight, _cap in items)
    by_level = sorted(items, key=lambda i: (i[2] / i[1], i[0]))
    for name, weight, cap in by_level:
        share = min(cap, left * weight / weight_left)
        shares[name] = max(0, share)
        left -= shares[name]
        weight_left -= weight
    return shares


def _correct(shares, demands, owed):
    """Move slots between the teams that are limited by their share.

    A team that has all it wants keeps it; of the others none falls below
    half of its share, and the sum stays the same.
    """
    limited = {
        d.team: shares[d.team]
        for d in demands
        if d.wanted > shares[d.team] + _EPSILON
    }
    total = sum(limited.values())
    if total <= 0:
        return shares
    surplus = sum(owed.get(team, 0) for team in limited)
    wanted = {
        team: max(
            share / 2, share + owed.get(team, 0) - surplus * share / total
        )
        for team, share in limited.items()
    }
    filled = _water_fill(
        total,
        [
            (d.team, wanted[d.team], d.wanted)
            for d in demands
            if d.team in limited
        ],
    )
    return shares | filled


def _round(shares, turn):
    """Round shares to whole numbers that keep the sum of the shares."""
    parts = []
    for name in sorted(shares):
        whole = math.floor(shares[name] + _EPSILON)
        rest = int(max(0, shares[name] - whole) * _UNIT)
        parts.append([name, whole, rest if rest > _EPSILON * _UNIT else 0])
    # The division left errors of the order of 1e-9; the largest remainder
    # absorbs them, so that the remainders add up to whole slots.
    excess = (sum(part[2] for part in parts) + _UNIT // 2) % _UNIT
    if parts:
        largest = max(parts, key=lambda part: part[2])
        largest[2] = max(0, largest[2] - (excess - _UNIT // 2))
    return dict(_round_exactly(parts, _UNIT, turn))


def _round_exactly(parts, unit, turn):
    """Yield (name, count) for parts of (name, whole, remainder / unit).

    The remainders are laid end to end, and a part is rounded up if one of
    the points offset, offset + 1, … falls on its remainder (systematic
    sampling).
    """
    offset = (turn * _GOLDEN) % _UNIT * unit // _UNIT
    position = offset
    for name, whole, rest in parts:
        end = position + rest
        yield name, whole + end // unit - position // unit
        position = end

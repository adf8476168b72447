"""Budget and layout helpers of the tests, independent of the planner."""

import math

from figtray.capacity import model
from figtray.configuration import resources

UNIT = 8


def make_hosts(count, zones, pools, per_rack=4):
    """Return HostViews spread over zones and racks, pools in blocks."""
    return [
        model.HostView(
            name=f'h{number}',
            zone=f'z{number % zones}',
            rack=f'r{number // zones // per_rack}',
            pool=pools[number * len(pools) // count],
            slots=UNIT,
        )
        for number in range(count)
    ]


def is_available(host, situation):
    """Tell by the words of the design whether a host can serve now."""
    return (
        host.state is resources.HostState.SERVING
        and host.name not in situation.failed | situation.leaving
        and host.zone not in situation.zones_out
    )


def lacking(hosts, mins):
    """Return by how many hosts the pools together lack their guarantee."""
    balance = 0
    for pool, slots in mins.items():
        count = sum(host.pool == pool for host in hosts)
        balance += math.ceil(slots / UNIT) - count
    return balance


def worst_loss(situation):
    """Return the largest number of lacking hosts over all single losses."""
    mins = {pool.name: pool.min_slots for pool in situation.pools}
    up = [h for h in situation.hosts if is_available(h, situation)]
    losses = {(h.zone,) for h in up} | {(h.zone, h.rack) for h in up}
    return max(
        [lacking(up, mins)]
        + [
            lacking(
                [h for h in up if (h.zone, h.rack)[: len(loss)] != loss], mins
            )
            for loss in losses
        ]
    )

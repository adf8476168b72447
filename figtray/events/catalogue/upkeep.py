"""Events of hosts, of their moves and of waves."""

import logbook

from figtray.events import base

WAVE_SEEN = base.Event(
    1800,
    logbook.NOTICE,
    'The leader begins or continues a maintenance wave.',
    ('wave', 'hosts', 'max_down', 'duration_ms', 'begun'),
)
WAVE_COMPLETED = base.Event(
    1801,
    logbook.NOTICE,
    'A maintenance wave is complete; all its hosts have had their upkeep.',
    ('wave', 'duration_ms'),
)
HOST_DRAINING = base.Event(
    1802,
    logbook.INFO,
    'A host is drained for its upkeep; no task starts there.',
    ('host', 'pool', 'wave', 'down'),
)
UPKEEP_BEGUN = base.Event(
    1803,
    logbook.INFO,
    'The platform has accepted the upkeep of a host; the host is down until '
    'it is finished.',
    ('host', 'pool', 'wave', 'waited_ms', 'begun', 'of', 'down'),
)
UPKEEP_REFUSED = base.Event(
    1804,
    logbook.WARNING,
    'An order for the upkeep of a host was refused, not sent or got no '
    'reply; it is repeated while the host needs its upkeep.',
    ('host', 'detail'),
)
HOST_LIST_FAILED = base.Event(
    1805,
    logbook.WARNING,
    'The host list cannot be read; upkeep and the moves of hosts wait until '
    'it can.',
    ('detail',),
)
POOL_LOAD = base.Event(
    1806,
    logbook.INFO,
    'Periodic report of the load of a pool; processor time is in '
    'thousandths of a core.',
    (
        'pool',
        'workers',
        'reachable',
        'capacity_milli',
        'capacity_mb',
        'lasting_milli',
        'short_milli',
        'waiting_milli',
        'later_milli',
        'arriving_milli',
        'memory_mb',
        'waiting',
        'spread',
        'due',
        'rising_milli',
        'widest_milli',
        'ahead_milli',
        'kept_milli',
        'pattern',
        'period_ms',
        'correlation',
        'wanted',
        'reason',
    ),
)
HOST_MOVED = base.Event(
    1807,
    logbook.INFO,
    'A host was ordered to move to another pool; the move ends whatever '
    'runs on the host.',
    ('host', 'from_pool', 'pool', 'zone'),
)
MOVE_REFUSED = base.Event(
    1808,
    logbook.WARNING,
    'An order to move a host to another pool was refused or not sent; the '
    'host stays where it is until another move is ordered.',
    ('host', 'pool', 'detail'),
)
DRAIN_POSTPONED = base.Event(
    1809,
    logbook.INFO,
    'A lasting task waits for room that the cordoned worker of this host has; '
    'tasks start there again, and the host is drained later.',
    ('host', 'pool', 'wave', 'down'),
)
HOST_ORDERS_WAIT = base.Event(
    1810,
    logbook.WARNING,
    'The record of orders for hosts was not stored in time; these orders are '
    'not given, and tried again.',
    ('hosts', 'waited_ms'),
)
FORECAST_CHANGED = base.Event(
    1811,
    logbook.INFO,
    'The forecast of the demand of a pool has found a period, has lost it '
    'because the demand broke the pattern, or has corrected it; without a '
    'period the pool follows its demand.',
    ('pool', 'pattern', 'period_ms', 'correlation'),
)

"""Catalogue of the log events.

To add an event, add one constant with the next free number of its slice's
block and run `python -m figtray.events.document`. Numbers are never reused.
A field holds a name, an id or a number; never a secret, a caller's key or a
body.
"""

import dataclasses

import logbook

# First number of the block of each slice.
BLOCKS = {
    100: 'program and settings',
    200: 'store',
    300: 'configuration',
    400: 'peers and serving right',
    500: 'limits and recount',
    600: 'workers and dispatch',
    700: 'keys',
    800: 'capacity',
    900: 'controller',
    1000: 'entry',
    1100: 'api',
    1200: 'idempotency',
    1300: 'queues and shares',
    1400: 'host list',
}
BLOCK_SIZE = 100


@dataclasses.dataclass(frozen=True)
class Event:
    """One kind of log record with a fixed message and named fields."""

    number: int
    level: int
    message: str
    fields: tuple[str, ...] = ()


PROCESS_STARTED = Event(
    100, logbook.NOTICE, 'The process has started.', ('version', 'pid', 'zone')
)
PROCESS_STOPPING = Event(
    101, logbook.NOTICE, 'A graceful stop was requested.', ('signal',)
)
PROCESS_STOPPED = Event(
    102, logbook.NOTICE, 'The process has stopped.', ('status',)
)
SETTINGS_INVALID = Event(
    103, logbook.ERROR, 'The settings are not valid.', ('detail',)
)
LISTEN_FAILED = Event(
    104, logbook.ERROR, 'Cannot listen on an address.', ('address', 'detail')
)
UNEXPECTED_EXCEPTION = Event(
    105,
    logbook.ERROR,
    'An unexpected exception was caught.',
    ('where', 'error', 'detail', 'traceback'),
)
LIBRARY_MESSAGE = Event(
    106,
    logbook.WARNING,
    'A library has logged a message.',
    ('library', 'severity', 'detail', 'error'),
)

STORE_UNAVAILABLE = Event(
    200, logbook.WARNING, 'The store does not answer.', ('detail',)
)
STORE_BACK = Event(
    201, logbook.NOTICE, 'The store answers again.', ('outage_ms',)
)
STORE_DIVERGED = Event(
    202,
    logbook.CRITICAL,
    'The store holds another history than the entries; changes are refused '
    'until an operator decides.',
    ('store_generation', 'generation'),
)
STORE_OLDER = Event(
    203,
    logbook.ERROR,
    'The store holds an older state than the entries.',
    ('store_generation', 'generation'),
)
STORE_RESTORED = Event(
    204,
    logbook.NOTICE,
    'The newer state was written back to the store.',
    ('store_generation', 'generation'),
)

CHANGE_APPLIED = Event(
    300,
    logbook.INFO,
    'A configuration change was applied.',
    ('generation', 'change_id', 'items'),
)
REPLICA_GAP = Event(
    301,
    logbook.WARNING,
    'Changes are missing between the replica and a received change; they '
    'are fetched.',
    ('generation', 'received_generation'),
)

SERVING_RIGHT_LOST = Event(
    400,
    logbook.WARNING,
    'The entry lost its serving right and starts no work.',
    ('confirmed', 'needed', 'generation'),
)
SERVING_RIGHT_REGAINED = Event(
    401,
    logbook.NOTICE,
    'The entry has its serving right.',
    ('confirmed', 'needed', 'generation'),
)
PEER_UNAVAILABLE = Event(
    402, logbook.WARNING, 'A peer does not answer.', ('peer', 'detail')
)
PEER_BACK = Event(
    403, logbook.NOTICE, 'A peer answers again.', ('peer', 'outage_ms')
)
FENCED = Event(
    404,
    logbook.WARNING,
    'The slot was fenced; allotments were dropped and a new incarnation '
    'taken.',
    ('slot', 'epoch', 'incarnation'),
)

PEER_DIVERGED = Event(
    405,
    logbook.ERROR,
    'A peer holds another configuration history.',
    ('peer', 'peer_generation', 'generation'),
)

RECOUNT_STARTED = Event(
    500, logbook.INFO, 'A recount of allotments has started.', ('epoch',)
)
RECOUNT_FINISHED = Event(
    501,
    logbook.INFO,
    'A recount of allotments has finished.',
    ('epoch', 'granted', 'orphans', 'duration_ms'),
)
RECOUNT_ABANDONED = Event(
    503,
    logbook.WARNING,
    'A recount of allotments was abandoned; nothing was granted.',
    ('epoch', 'reason'),
)
GRANT_REFUSED = Event(
    502,
    logbook.WARNING,
    'A grant of another epoch was refused.',
    ('epoch', 'grant_epoch'),
)

WORKER_QUARANTINED = Event(
    600,
    logbook.WARNING,
    'A worker fails the tasks of distinct jobs and was quarantined.',
    ('host', 'pool', 'failures', 'jobs'),
)
WORKER_RETURNED = Event(
    601,
    logbook.NOTICE,
    'A probe succeeded; the worker is in use again.',
    ('host', 'pool', 'quarantined_ms'),
)
CONNECTION_HALF_OPEN = Event(
    602,
    logbook.WARNING,
    'A silent connection was closed; its worker answers on a new one.',
    ('host', 'silent_ms'),
)
BAD_JOB = Event(
    603,
    logbook.WARNING,
    'A job failed on several healthy workers and was failed.',
    ('task_id', 'team', 'queue', 'workers'),
)

KEY_REFUSED = Event(
    700,
    logbook.INFO,
    'A caller key was refused.',
    ('key_id', 'queue', 'reason'),
)

ZONE_OUT_OF_SERVICE = Event(
    800, logbook.NOTICE, 'A zone was taken out of service.', ('zone',)
)
ZONE_IN_SERVICE = Event(
    801, logbook.NOTICE, 'A zone was returned to service.', ('zone',)
)
HOST_STATE_CHANGED = Event(
    802,
    logbook.INFO,
    'The state of a host has changed.',
    ('host', 'pool', 'old_state', 'state'),
)

CONTROLLER_ELECTED = Event(
    900,
    logbook.NOTICE,
    'This controller holds the lease and is active.',
    ('controller', 'epoch'),
)
CONTROLLER_LOST = Event(
    901,
    logbook.WARNING,
    'This controller lost the lease and is a standby.',
    ('controller', 'epoch', 'detail'),
)

DRAIN_STARTED = Event(
    1000,
    logbook.NOTICE,
    'The drain has started; new requests are refused.',
    ('queued', 'running'),
)
DRAIN_FINISHED = Event(
    1001,
    logbook.NOTICE,
    'The drain has finished.',
    ('handed_over', 'unfinished', 'duration_ms'),
)
REQUEST_REFUSED = Event(
    1002,
    logbook.DEBUG,
    'A request was refused.',
    ('team', 'queue', 'reason', 'verdict'),
)

OPERATOR_CHANGE = Event(
    1100,
    logbook.INFO,
    'An operator change was accepted.',
    ('change_id', 'generation', 'resources', 'unconfirmed'),
)
OPERATOR_CHANGE_FAILED = Event(
    1101,
    logbook.WARNING,
    'An operator change was not accepted.',
    ('change_id', 'resources', 'outcome', 'detail'),
)


def by_name():
    """Return all events by name, in the order of their numbers.

    Returns:
        Mapping of the constant's name in lower case to the Event.
    """
    named = [
        (name.lower(), event)
        for name, event in globals().items()
        if isinstance(event, Event)
    ]
    return dict(sorted(named, key=lambda pair: pair[1].number))

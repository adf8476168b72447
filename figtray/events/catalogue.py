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
    1100: 'api',
    1500: 'calls and jobs',
    1600: 'leadership',
    1700: 'scheduling',
    1800: 'hosts and waves',
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
    200,
    logbook.WARNING,
    'The store does not answer.',
    ('prefix', 'detail'),
)
STORE_BACK = Event(
    201,
    logbook.NOTICE,
    'The store answers again.',
    ('prefix', 'outage_ms'),
)

OPERATOR_CHANGE = Event(
    1100,
    logbook.INFO,
    'An operator change was accepted.',
    ('change_id', 'generation', 'resources'),
)
OPERATOR_CHANGE_FAILED = Event(
    1101,
    logbook.WARNING,
    'An operator change was not accepted.',
    ('change_id', 'resources', 'outcome', 'detail'),
)

SETTINGS_RELOADED = Event(
    107, logbook.NOTICE, 'The settings file was read again.', ('node',)
)
LOG_LINES_DROPPED = Event(
    108,
    logbook.WARNING,
    'Log lines over the budget were dropped.',
    ('lines',),
)
RECORD_UNREADABLE = Event(
    205,
    logbook.ERROR,
    'A record in the store can not be read and is passed over.',
    ('record', 'detail'),
)
WRITES_FAIL = Event(
    206,
    logbook.WARNING,
    'Records of the leader can not be written; they are tried again.',
    ('records', 'detail'),
)
WRITES_SUCCEED = Event(
    207, logbook.NOTICE, 'Records of the leader are written again.'
)
CONFIG_APPLIED = Event(
    302,
    logbook.INFO,
    'A configuration was applied.',
    ('version', 'revision', 'queues', 'pools', 'teams'),
)
ZONES_OUT_OF_SERVICE = Event(
    303,
    logbook.NOTICE,
    'The set of zones that are out of service has changed.',
    ('zones',),
)

CALL_ANSWERED = Event(
    1500,
    logbook.INFO,
    "A caller's request was answered.",
    (
        'job_id',
        'queue',
        'method',
        'status',
        'reason',
        'config',
        'proof_age_ms',
        'duration_ms',
    ),
)
FRONT_CLOSED = Event(
    1501, logbook.NOTICE, "The callers' address is closed.", ('cut_off',)
)
JOB_SEEN = Event(
    1502,
    logbook.INFO,
    'The leader has taken over a job.',
    ('job_id', 'queue', 'team', 'tasks', 'created', 'age_ms'),
)
JOB_CANCELLED = Event(
    1503,
    logbook.INFO,
    'A job was cancelled; its runs are stopped.',
    ('job_id', 'runs', 'age_ms'),
)
JOB_COMPLETED = Event(
    1504,
    logbook.INFO,
    'All tasks of a job are done.',
    ('job_id', 'age_ms', 'objective_ms'),
)
JOB_FAILED = Event(
    1505,
    logbook.INFO,
    'A job has failed, as one of its tasks failed too often.',
    ('job_id', 'task', 'failures'),
)
JOBS_REMOVED = Event(
    1506,
    logbook.INFO,
    'Records of jobs that ended long ago were removed.',
    ('jobs',),
)

LEADER_SEEN = Event(
    1600, logbook.INFO, 'Another leader is known.', ('leader', 'epoch')
)
LEADER_WON = Event(1601, logbook.NOTICE, 'This node leads.', ('epoch',))
LEADER_ENDED = Event(
    1602,
    logbook.NOTICE,
    'This node leads no longer.',
    ('epoch', 'reason'),
)
FORMER_LEASE_ENDED = Event(
    1603,
    logbook.NOTICE,
    'The lease of an earlier run of this node is ended.',
    ('epoch',),
)
LEASE_CALL_FAILED = Event(
    1604,
    logbook.WARNING,
    'A call about the lease of the leader failed.',
    ('call', 'detail'),
)
TAKEN_OVER = Event(
    1605,
    logbook.NOTICE,
    'The leader has read all jobs and workers.',
    ('epoch', 'jobs', 'workers', 'roster', 'duration_ms'),
)
TAKEOVER_FAILED = Event(
    1606,
    logbook.WARNING,
    'State of earlier leaders can not be read; it is tried again.',
    ('detail',),
)
WORKERS_ACCOUNTED = Event(
    1607,
    logbook.INFO,
    'All workers of earlier leaders have reported; old jobs go on.',
)

LIFE_ACCOUNTED = Event(
    1608,
    logbook.INFO,
    'It is known what a worker of an earlier leader runs.',
    ('worker', 'born_ms', 'reason', 'left'),
)

WORKER_SEEN = Event(
    1700,
    logbook.INFO,
    'A life of a worker was found.',
    ('worker', 'born_ms', 'pool', 'zone', 'host', 'address'),
)
WORKER_REACHED = Event(
    1701,
    logbook.INFO,
    'A worker has reported for the first time in this term.',
    ('worker', 'running', 'ended'),
)
WORKER_DRAINING = Event(
    1702, logbook.INFO, 'A worker is leaving.', ('worker', 'runs')
)
WORKER_UNLISTED = Event(
    1703,
    logbook.WARNING,
    'The entry of a worker is gone; nothing is started there.',
    ('worker', 'runs'),
)
WORKER_GONE = Event(
    1704,
    logbook.WARNING,
    'A life of a worker is over.',
    ('worker', 'born_ms', 'runs', 'reason'),
)
WORKER_AVOIDED = Event(
    1705,
    logbook.WARNING,
    'A worker fails the tasks of several jobs and is avoided for a while.',
    ('worker', 'failures', 'jobs'),
)
REPORT_FAILED = Event(
    1706,
    logbook.WARNING,
    'A worker does not report.',
    ('worker', 'runs', 'detail'),
)
TASK_STARTED = Event(
    1710,
    logbook.INFO,
    'A worker has started a task.',
    ('task', 'run', 'worker', 'waited_ms', 'resumed'),
)
START_REFUSED = Event(
    1711,
    logbook.INFO,
    'A start was refused or not sent; the task has not run.',
    ('task', 'run', 'worker', 'reason', 'detail'),
)
START_UNCERTAIN = Event(
    1712,
    logbook.WARNING,
    'A start got no reply; the run is stopped before the task is repeated.',
    ('task', 'run', 'worker', 'detail'),
)
TASK_STOPPED = Event(
    1713,
    logbook.INFO,
    'A run is being stopped.',
    ('task', 'run', 'worker', 'reason'),
)
STOP_UNANSWERED = Event(
    1714,
    logbook.WARNING,
    'An order to stop got no reply.',
    ('task', 'run', 'worker', 'detail'),
)
RUN_ENDED = Event(
    1715,
    logbook.INFO,
    'A worker has listed the end of a run.',
    ('task', 'run', 'worker', 'end', 'duration_ms', 'known'),
)
RUN_LOST = Event(
    1716,
    logbook.WARNING,
    'A run is over without a listed end.',
    ('task', 'run', 'worker', 'reason'),
)
RUN_ADOPTED = Event(
    1717,
    logbook.INFO,
    'A run of an earlier leader was adopted.',
    ('task', 'run', 'worker'),
)
STRAY_RUN = Event(
    1718,
    logbook.WARNING,
    'A worker runs what it should not; it is stopped.',
    ('task', 'run', 'worker'),
)
FILLING_PACED = Event(
    1719,
    logbook.INFO,
    'The tasks that fill on a worker were told another share.',
    ('worker', 'percent', 'runs', 'pressure'),
)
PACE_UNANSWERED = Event(
    1720,
    logbook.WARNING,
    'An order to work at another share got no reply.',
    ('task', 'worker', 'percent', 'detail'),
)
ADVICE_LEARNED = Event(
    1721,
    logbook.INFO,
    'The adviser has approved workers for a step.',
    ('step', 'asked', 'approved'),
)
ADVICE_FAILED = Event(
    1722,
    logbook.WARNING,
    'The adviser did not answer.',
    ('step', 'detail'),
)

WAVE_SEEN = Event(
    1800,
    logbook.NOTICE,
    'A maintenance wave is under way.',
    ('wave', 'hosts', 'max_down', 'duration_ms', 'begun'),
)
WAVE_COMPLETED = Event(
    1801,
    logbook.NOTICE,
    'All hosts of a wave have had their upkeep.',
    ('wave', 'duration_ms'),
)
HOST_DRAINING = Event(
    1802,
    logbook.INFO,
    'A host is emptied for its upkeep.',
    ('host', 'pool', 'wave', 'down'),
)
UPKEEP_BEGUN = Event(
    1803,
    logbook.INFO,
    'The upkeep of a host has begun.',
    ('host', 'pool', 'wave', 'waited_ms', 'begun', 'of', 'down'),
)
UPKEEP_REFUSED = Event(
    1804,
    logbook.WARNING,
    'The upkeep of a host was not accepted, or got no reply.',
    ('host', 'detail'),
)
HOST_LIST_FAILED = Event(
    1805, logbook.WARNING, 'The host list does not answer.', ('detail',)
)

POOL_LOAD = Event(
    1806,
    logbook.INFO,
    'Load of a pool; processor time in thousandths of a core.',
    (
        'pool',
        'workers',
        'capacity_milli',
        'lasting_milli',
        'short_milli',
        'waiting_milli',
        'later_milli',
        'arriving_milli',
        'memory_mb',
        'waiting',
        'spread',
        'due',
    ),
)

HOST_MOVED = Event(
    1807,
    logbook.INFO,
    'A host moves to another pool.',
    ('host', 'from_pool', 'pool', 'zone'),
)
MOVE_REFUSED = Event(
    1808,
    logbook.WARNING,
    'A move of a host was not accepted.',
    ('host', 'pool', 'detail'),
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

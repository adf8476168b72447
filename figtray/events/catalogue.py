"""Catalogue of the log events.

To add an event, define a constant with the next free number in the block of
its area and run `python -m figtray.events.document`. Numbers are never reused,
and the constants stand in their order.
A field holds a name, an id or a number; never a secret, a caller's key or the
body of a request.
"""

import dataclasses

import logbook

# First number of the block of each area.
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
    """Kind of log line with a fixed message and named fields.

    Attributes:
        number: its number.
        level: its level in logbook.
        message: the text of each of its lines.
        fields: names of the fields of each of its lines.
    """

    number: int
    level: int
    message: str
    fields: tuple[str, ...] = ()


PROCESS_STARTED = Event(
    100, logbook.NOTICE, 'The process has started.', ('version', 'pid', 'zone')
)
PROCESS_STOPPING = Event(
    101,
    logbook.NOTICE,
    'The process received a stop signal; it finishes open work and exits.',
    ('signal',),
)
PROCESS_STOPPED = Event(
    102,
    logbook.NOTICE,
    'The process exits. Status 0: stopped, 1: unexpected exception, 2: '
    'invalid settings, 3: cannot listen.',
    ('status',),
)
SETTINGS_INVALID = Event(
    103,
    logbook.ERROR,
    'The settings are invalid. On start the process exits; on a reload it '
    'keeps the settings it started with.',
    ('detail',),
)
LISTEN_FAILED = Event(
    104,
    logbook.ERROR,
    'The process cannot listen on an address of its settings and exits.',
    ('address', 'detail'),
)
UNEXPECTED_EXCEPTION = Event(
    105,
    logbook.ERROR,
    'An unexpected exception was raised; where names the work that failed.',
    ('where', 'error', 'detail', 'traceback'),
)
LIBRARY_MESSAGE = Event(
    106,
    logbook.WARNING,
    'A library logged a warning or an error.',
    ('library', 'severity', 'detail', 'error'),
)
SETTINGS_RELOADED = Event(
    107,
    logbook.NOTICE,
    'The settings file was read again and is valid; the process keeps the '
    'settings it started with.',
    ('node',),
)
LOG_LINES_DROPPED = Event(
    108,
    logbook.WARNING,
    'Log lines were dropped: there were more than the limit, or their '
    'reader is too slow.',
    ('lines',),
)

STORE_UNAVAILABLE = Event(
    200,
    logbook.WARNING,
    'The store does not answer; what was last read below the prefix stays '
    'in use, and reading is retried.',
    ('prefix', 'detail'),
)
STORE_BACK = Event(
    201,
    logbook.NOTICE,
    'The store answers again; what is known below the prefix is current.',
    ('prefix', 'outage_ms'),
)
RECORD_UNREADABLE = Event(
    205,
    logbook.ERROR,
    'A record in the store cannot be decoded; it is not used until it is '
    'written again.',
    ('record', 'detail'),
)
WRITES_FAIL = Event(
    206,
    logbook.WARNING,
    'The leader cannot write its records to the store; it retries while its '
    'term lasts.',
    ('records', 'detail'),
)
WRITES_SUCCEED = Event(
    207, logbook.NOTICE, 'The leader can write its records to the store again.'
)

CONFIG_APPLIED = Event(
    302,
    logbook.INFO,
    'A configuration was read from the store and is in use.',
    ('version', 'revision', 'queues', 'pools', 'teams'),
)
ZONES_OUT_OF_SERVICE = Event(
    303,
    logbook.NOTICE,
    'The set of zones out of service has changed; no task starts in the '
    'listed zones.',
    ('zones',),
)

OPERATOR_CHANGE = Event(
    1100,
    logbook.INFO,
    'A change by an operator was written to the store.',
    ('change_id', 'generation', 'resources'),
)
OPERATOR_CHANGE_FAILED = Event(
    1101,
    logbook.WARNING,
    'A change by an operator failed; the outcome says whether it may have '
    'reached the store.',
    ('change_id', 'resources', 'outcome', 'detail'),
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
    1501,
    logbook.NOTICE,
    "The listener for callers' requests was closed; cut_off counts the "
    'requests that were aborted.',
    ('cut_off',),
)
JOB_SEEN = Event(
    1502,
    logbook.INFO,
    'The leader has read an accepted job from the store and schedules its '
    'tasks.',
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
    'A job is complete; all its tasks are done.',
    ('job_id', 'age_ms', 'objective_ms'),
)
JOB_FAILED = Event(
    1505,
    logbook.INFO,
    'A job has failed because one of its tasks failed as often as its queue '
    'allows; its runs are stopped.',
    ('job_id', 'task', 'failures'),
)
JOBS_REMOVED = Event(
    1506,
    logbook.INFO,
    'Jobs that ended longer ago than the retention time were removed from '
    'the store.',
    ('jobs',),
)

LEADER_SEEN = Event(
    1600,
    logbook.INFO,
    'The store names a new leader.',
    ('leader', 'epoch'),
)
LEADER_WON = Event(
    1601,
    logbook.NOTICE,
    'This node has become the leader, vacant_ms after it saw that the store '
    'names none; it takes over the jobs and workers.',
    ('epoch', 'vacant_ms'),
)
LEADER_ENDED = Event(
    1602,
    logbook.NOTICE,
    'This node is no longer the leader; the nodes elect a new one.',
    ('epoch', 'reason'),
)
FORMER_LEASE_ENDED = Event(
    1603,
    logbook.NOTICE,
    'The leader in the store is an earlier process of this node; its lease '
    'is revoked so that a new election starts.',
    ('epoch',),
)
LEASE_CALL_FAILED = Event(
    1604,
    logbook.WARNING,
    'A store call about the lease of the leader failed. Elections and '
    'renewals are retried; a lease that is not revoked expires.',
    ('call', 'detail'),
)
TAKEN_OVER = Event(
    1605,
    logbook.NOTICE,
    'This node, as the new leader, has read all jobs and workers from the '
    'store and starts to schedule.',
    ('epoch', 'jobs', 'workers', 'roster', 'duration_ms'),
)
TAKEOVER_FAILED = Event(
    1606,
    logbook.WARNING,
    'The leader cannot read the state of earlier leaders from the store; it '
    'retries before it goes on.',
    ('detail',),
)
WORKERS_ACCOUNTED = Event(
    1607,
    logbook.NOTICE,
    'All runs that earlier leaders started are known or over; the jobs of '
    'earlier terms, held until now, are scheduled. left counts incarnations '
    'that were awaited until the longest lease ended.',
    ('reason', 'left'),
)
# Its name, which is logged, has an older word for an incarnation.
LIFE_ACCOUNTED = Event(
    1608,
    logbook.INFO,
    'The runs that earlier leaders started on an incarnation of a worker are '
    'known or over; left counts the incarnations still awaited.',
    ('worker', 'born_ms', 'reason', 'left'),
)
INCARNATION_AWAITED = Event(
    1609,
    logbook.NOTICE,
    'The leader awaits an incarnation of a worker on which earlier leaders '
    'may have started tasks, for left_ms at most; unnamed counts further '
    'ones.',
    (
        'worker',
        'born_ms',
        'pool',
        'host',
        'address',
        'listed',
        'host_state',
        'host_worker',
        'report_error',
        'left_ms',
        'unnamed',
    ),
)
LEADER_VACANT = Event(
    1610,
    logbook.NOTICE,
    'The store names no leader, for unconfirmed_ms at most: so long ago, the '
    'view of its key was last confirmed.',
    ('leader', 'unconfirmed_ms'),
)

WORKER_SEEN = Event(
    1700,
    logbook.INFO,
    'The leader has found an incarnation of a worker in the store.',
    ('worker', 'born_ms', 'pool', 'zone', 'host', 'address'),
)
WORKER_REACHED = Event(
    1701,
    logbook.INFO,
    'A worker has reported to this leader for the first time.',
    ('worker', 'running', 'ended'),
)
WORKER_DRAINING = Event(
    1702,
    logbook.INFO,
    'A worker has announced that it is draining; no task starts there.',
    ('worker', 'runs'),
)
WORKER_UNLISTED = Event(
    1703,
    logbook.WARNING,
    'A worker is no longer listed in the store; no task starts there unless '
    'it is listed again.',
    ('worker', 'runs'),
)
WORKER_GONE = Event(
    1704,
    logbook.WARNING,
    'An incarnation of a worker has ended; the tasks that it ran are '
    'scheduled again.',
    ('worker', 'born_ms', 'runs', 'kind', 'reason'),
)
WORKER_AVOIDED = Event(
    1705,
    logbook.WARNING,
    'Tasks of several jobs failed in a row on a worker; it gets no tasks '
    'for a few seconds.',
    ('worker', 'failures', 'jobs'),
)
REPORT_FAILED = Event(
    1706,
    logbook.WARNING,
    'A worker did not answer a request for its report; the request is '
    'repeated, and its runs are given up once their lease has ended.',
    ('worker', 'runs', 'detail'),
)
TASK_STARTED = Event(
    1710,
    logbook.INFO,
    'A worker has confirmed the start of a task.',
    ('task', 'run', 'worker', 'waited_ms', 'resumed'),
)
START_REFUSED = Event(
    1711,
    logbook.INFO,
    'A start was refused or not sent; the task has not run and is scheduled '
    'again.',
    ('task', 'run', 'worker', 'reason', 'detail'),
)
START_UNCERTAIN = Event(
    1712,
    logbook.WARNING,
    'A start got no reply and may have taken effect; the run is stopped '
    'before the task is scheduled again.',
    ('task', 'run', 'worker', 'detail'),
)
TASK_STOPPED = Event(
    1713,
    logbook.INFO,
    'The leader orders a worker to stop a run; its task is scheduled again '
    'if it is still needed.',
    ('task', 'run', 'worker', 'reason'),
)
STOP_UNANSWERED = Event(
    1714,
    logbook.WARNING,
    'An order to stop a run was not sent or got no reply; it is repeated '
    'while the run may exist.',
    ('task', 'run', 'worker', 'detail'),
)
RUN_ENDED = Event(
    1715,
    logbook.INFO,
    'A worker has reported the end of a run; known is false if the leader '
    'had no such run.',
    ('task', 'run', 'worker', 'end', 'duration_ms', 'known'),
)
RUN_LOST = Event(
    1716,
    logbook.WARNING,
    'A run is over without a reported end; its task is scheduled again if '
    'it is still needed.',
    ('task', 'run', 'worker', 'reason'),
)
RUN_ADOPTED = Event(
    1717,
    logbook.INFO,
    'The leader has adopted a run that an earlier leader started.',
    ('task', 'run', 'worker'),
)
STRAY_RUN = Event(
    1718,
    logbook.WARNING,
    'A worker reports a run that the leader does not expect there; the run '
    'is stopped.',
    ('task', 'run', 'worker'),
)
FILLING_PACED = Event(
    1719,
    logbook.INFO,
    'The speed of the best-effort tasks on a worker was changed. The '
    'pressure is the tail latency of its latency-sensitive tasks, relative '
    'to their limit.',
    ('worker', 'percent', 'runs', 'pressure'),
)
PACE_UNANSWERED = Event(
    1720,
    logbook.WARNING,
    'An order to change the speed of a best-effort task was not sent or got '
    'no reply; it is repeated after a later report of the worker.',
    ('task', 'worker', 'percent', 'detail'),
)
ADVICE_LEARNED = Event(
    1721,
    logbook.INFO,
    'The adviser has answered for a step; its tasks may start on the '
    'approved workers.',
    ('step', 'asked', 'approved'),
)
ADVICE_FAILED = Event(
    1722,
    logbook.WARNING,
    'The adviser did not answer for a step; it is asked again, and tasks '
    'without an approved worker wait.',
    ('step', 'detail'),
)
TASKS_HELD = Event(
    1723,
    logbook.INFO,
    'The reason for which ready tasks of a step wait has changed; it is '
    'empty once they are no longer held. waited_ms is the longest wait.',
    ('step', 'queue', 'pool', 'lasting', 'reason', 'tasks', 'waited_ms'),
)
TASK_SUSPECTED = Event(
    1724,
    logbook.INFO,
    'A worker has crashed under a run, so its task may have caused the crash. '
    'crashes counts those of the task that nothing has cleared it of, alone '
    'those soon after its start on a worker of its own; after_ms is the time '
    'from the order to start until the worker fell silent.',
    ('task', 'run', 'worker', 'crashes', 'alone', 'after_ms'),
)
TRIAL_STARTED = Event(
    1725,
    logbook.INFO,
    'A task under which workers crashed starts on trial, on a worker where '
    'nothing else starts meanwhile; others are runs that were there before.',
    ('task', 'run', 'worker', 'crashes', 'others'),
)
TRIAL_PASSED = Event(
    1726,
    logbook.INFO,
    'The worker of a task on trial has not crashed; other tasks start there '
    'again.',
    ('task', 'run', 'worker'),
)
TASK_CLEARED = Event(
    1727,
    logbook.INFO,
    'A task is no longer suspected of the crashes of its workers.',
    ('task', 'crashes', 'reason'),
)
TASK_GIVEN_UP = Event(
    1728,
    logbook.WARNING,
    'A task has crashed workers again and again, also while nothing else '
    'could have crashed them; its job has failed. 1724 names each crash.',
    ('job_id', 'task', 'crashes', 'alone', 'runs'),
)

WAVE_SEEN = Event(
    1800,
    logbook.NOTICE,
    'The leader begins or continues a maintenance wave.',
    ('wave', 'hosts', 'max_down', 'duration_ms', 'begun'),
)
WAVE_COMPLETED = Event(
    1801,
    logbook.NOTICE,
    'A maintenance wave is complete; all its hosts have had their upkeep.',
    ('wave', 'duration_ms'),
)
HOST_DRAINING = Event(
    1802,
    logbook.INFO,
    'A host is drained for its upkeep; no task starts there.',
    ('host', 'pool', 'wave', 'down'),
)
UPKEEP_BEGUN = Event(
    1803,
    logbook.INFO,
    'The platform has accepted the upkeep of a host; the host is down until '
    'it is finished.',
    ('host', 'pool', 'wave', 'waited_ms', 'begun', 'of', 'down'),
)
UPKEEP_REFUSED = Event(
    1804,
    logbook.WARNING,
    'An order for the upkeep of a host was refused, not sent or got no '
    'reply; it is repeated while the host needs its upkeep.',
    ('host', 'detail'),
)
HOST_LIST_FAILED = Event(
    1805,
    logbook.WARNING,
    'The host list cannot be read; upkeep and the moves of hosts wait until '
    'it can.',
    ('detail',),
)
POOL_LOAD = Event(
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
    ),
)
HOST_MOVED = Event(
    1807,
    logbook.INFO,
    'A host was ordered to move to another pool; the move ends whatever '
    'runs on the host.',
    ('host', 'from_pool', 'pool', 'zone'),
)
MOVE_REFUSED = Event(
    1808,
    logbook.WARNING,
    'An order to move a host to another pool was refused or not sent; the '
    'host stays where it is until another move is ordered.',
    ('host', 'pool', 'detail'),
)
DRAIN_POSTPONED = Event(
    1809,
    logbook.INFO,
    'A lasting task waits for room that the cordoned worker of this host has; '
    'tasks start there again, and the host is drained later.',
    ('host', 'pool', 'wave', 'down'),
)


def by_name():
    """Return all events by name, ordered by number.

    Returns:
        Mapping of each constant's name in lower case to its Event.
    """
    named = [
        (name.lower(), event)
        for name, event in globals().items()
        if isinstance(event, Event)
    ]
    return dict(sorted(named, key=lambda pair: pair[1].number))

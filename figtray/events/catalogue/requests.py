"""Events of operators' and callers' requests and of jobs."""

import logbook

from figtray.events import base

OPERATOR_CHANGE = base.Event(
    1100,
    logbook.INFO,
    'A change by an operator was written to the store.',
    ('change_id', 'generation', 'resources'),
)
OPERATOR_CHANGE_FAILED = base.Event(
    1101,
    logbook.WARNING,
    'A change by an operator failed; the outcome says whether it may have '
    'reached the store.',
    ('change_id', 'resources', 'outcome', 'detail'),
)

CALL_ANSWERED = base.Event(
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
FRONT_CLOSED = base.Event(
    1501,
    logbook.NOTICE,
    "The listener for callers' requests was closed; cut_off counts the "
    'requests that were aborted.',
    ('cut_off',),
)
JOB_SEEN = base.Event(
    1502,
    logbook.INFO,
    'The leader has read an accepted job from the store and schedules its '
    'tasks; expected_ms is the typical time of its longest chain of steps, '
    'excess_ms by how much its team was ahead of its rate.',
    (
        'job_id',
        'queue',
        'team',
        'tasks',
        'created',
        'age_ms',
        'expected_ms',
        'excess_ms',
    ),
)
JOB_CANCELLED = base.Event(
    1503,
    logbook.INFO,
    'A job was cancelled; its runs are stopped.',
    ('job_id', 'runs', 'age_ms'),
)
JOB_COMPLETED = base.Event(
    1504,
    logbook.INFO,
    'A job is complete; all its tasks are done.',
    ('job_id', 'age_ms', 'objective_ms'),
)
JOB_FAILED = base.Event(
    1505,
    logbook.INFO,
    'A job has failed because one of its tasks failed as often as its queue '
    'allows; its runs are stopped. runs are the numbers of the runs that '
    'workers have reported as failed.',
    ('job_id', 'task', 'failures', 'runs', 'attempts'),
)
JOBS_REMOVED = base.Event(
    1506,
    logbook.INFO,
    'Jobs that ended longer ago than the retention time were removed from '
    'the store.',
    ('jobs',),
)
ADMISSION_CHANGED = base.Event(
    1507,
    logbook.NOTICE,
    'This node has read another record of what is admitted; submissions to '
    'the queues named are refused in part, for want of room.',
    ('revision', 'queues'),
)
ROOM_SHORT = base.Event(
    1508,
    logbook.NOTICE,
    'The leader publishes another record of what is admitted; a queue has '
    'the expected wait in seconds, the share of jobs admitted of the teams '
    'within their rates, and that of each team over its own. No queue is '
    'named once there is room. memory_full tells whether no leader has memory '
    'for more jobs, full_teams whose share of it is taken.',
    ('queues', 'leader_wait_ms', 'memory_full', 'full_teams'),
)

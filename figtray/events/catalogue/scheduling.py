"""Events of workers and of the runs of tasks."""

import logbook

from figtray.events import base

WORKER_SEEN = base.Event(
    1700,
    logbook.INFO,
    'The leader has found an incarnation of a worker in the store.',
    ('worker', 'born_ms', 'pool', 'zone', 'host', 'address'),
)
WORKER_REACHED = base.Event(
    1701,
    logbook.INFO,
    'A worker has reported to this leader for the first time. clock_ms is the '
    'time of its own clock, which begins with each incarnation; lease_ms is '
    'how long a lease there may last by the count of the leader.',
    ('worker', 'born_ms', 'clock_ms', 'lease_ms', 'running', 'ended'),
)
WORKER_DRAINING = base.Event(
    1702,
    logbook.INFO,
    'A worker has announced that it is draining; no task starts there.',
    ('worker', 'runs'),
)
WORKER_UNLISTED = base.Event(
    1703,
    logbook.WARNING,
    'A worker is no longer listed in the store; no task starts there unless '
    'it is listed again.',
    ('worker', 'runs'),
)
WORKER_GONE = base.Event(
    1704,
    logbook.WARNING,
    'An incarnation of a worker has ended; the tasks that it ran are '
    'scheduled again.',
    ('worker', 'born_ms', 'runs', 'kind', 'reason'),
)
WORKER_AVOIDED = base.Event(
    1705,
    logbook.WARNING,
    'Tasks of several jobs failed in a row on a worker; it gets no tasks '
    'for a few seconds.',
    ('worker', 'failures', 'jobs'),
)
REPORT_FAILED = base.Event(
    1706,
    logbook.WARNING,
    'A worker did not answer a request for its report; the request is '
    'repeated, and its runs are given up once their lease has ended.',
    ('worker', 'runs', 'detail'),
)
TASK_STARTED = base.Event(
    1710,
    logbook.INFO,
    'A worker has confirmed the start of a lasting task, or of one that '
    'resumes; 1731 has those of other tasks.',
    ('task', 'run', 'worker', 'waited_ms', 'resumed'),
)
START_REFUSED = base.Event(
    1711,
    logbook.INFO,
    'A start was refused or not sent; the task has not run and is scheduled '
    'again.',
    ('task', 'run', 'worker', 'reason', 'detail'),
)
START_UNCERTAIN = base.Event(
    1712,
    logbook.WARNING,
    'A start got no reply and may have taken effect; the run is stopped '
    'before the task is scheduled again, or goes on if it may not be '
    'interrupted now and the next report shows it.',
    ('task', 'run', 'worker', 'detail'),
)
TASK_STOPPED = base.Event(
    1713,
    logbook.INFO,
    'The leader orders a worker to stop a run; its task is scheduled again '
    'if it is still needed.',
    ('task', 'run', 'worker', 'reason'),
)
STOP_UNANSWERED = base.Event(
    1714,
    logbook.WARNING,
    'An order to stop a run was not sent or got no reply; it is repeated '
    'while the run may exist.',
    ('task', 'run', 'worker', 'detail'),
)
RUN_ENDED = base.Event(
    1715,
    logbook.INFO,
    'A worker has reported the end of a run; known is false if the leader '
    'had no such run. 1732 has the runs that are done.',
    ('task', 'run', 'worker', 'end', 'duration_ms', 'known'),
)
RUN_LOST = base.Event(
    1716,
    logbook.WARNING,
    'A run is over without a reported end; its task is scheduled again if '
    'it is still needed.',
    ('task', 'run', 'worker', 'reason'),
)
RUN_ADOPTED = base.Event(
    1717,
    logbook.INFO,
    'The leader has adopted a run that an earlier leader started.',
    ('task', 'run', 'worker'),
)
STRAY_RUN = base.Event(
    1718,
    logbook.WARNING,
    'A worker reports a run that the leader does not expect there; the run '
    'is stopped.',
    ('task', 'run', 'worker'),
)
FILLING_PACED = base.Event(
    1719,
    logbook.INFO,
    'The speed of the best-effort tasks on a worker was changed. The '
    'pressure is the tail latency of its latency-sensitive tasks, relative '
    'to their limit.',
    ('worker', 'percent', 'runs', 'pressure'),
)
PACE_UNANSWERED = base.Event(
    1720,
    logbook.WARNING,
    'An order to change the speed of a best-effort task was not sent or got '
    'no reply; it is repeated after a later report of the worker.',
    ('task', 'worker', 'percent', 'detail'),
)
ADVICE_LEARNED = base.Event(
    1721,
    logbook.INFO,
    'The adviser has answered for a step; its tasks may start on the '
    'approved workers.',
    ('step', 'asked', 'approved'),
)
ADVICE_FAILED = base.Event(
    1722,
    logbook.WARNING,
    'The adviser did not answer for a step; it is asked again, and tasks '
    'without an approved worker wait.',
    ('step', 'detail'),
)
TASKS_HELD = base.Event(
    1723,
    logbook.INFO,
    'The reason for which ready tasks of a step wait has changed; it is '
    'empty once they are no longer held. waited_ms is the longest wait.',
    ('step', 'queue', 'pool', 'lasting', 'reason', 'tasks', 'waited_ms'),
)
TASK_SUSPECTED = base.Event(
    1724,
    logbook.INFO,
    'A worker has crashed under a run, so its task may have caused the crash. '
    'crashes counts those of the task that nothing has cleared it of, alone '
    'those soon after its start on a worker of its own; after_ms is the time '
    'from the order to start until the worker fell silent. evidence says of '
    'the run how old it was, how long its worker had been up before, whether '
    'it was alone on trial and had arrived, and how many were beside it.',
    ('task', 'run', 'worker', 'crashes', 'alone', 'after_ms', 'evidence'),
)
TRIAL_STARTED = base.Event(
    1725,
    logbook.INFO,
    'A task under which workers crashed starts on trial, on a worker where '
    'nothing else starts meanwhile; others are runs that were there before.',
    ('task', 'run', 'worker', 'crashes', 'others'),
)
TRIAL_PASSED = base.Event(
    1726,
    logbook.INFO,
    'The worker of a task on trial has not crashed; other tasks start there '
    'again.',
    ('task', 'run', 'worker'),
)
TASK_CLEARED = base.Event(
    1727,
    logbook.INFO,
    'A task is no longer suspected of the crashes of its workers.',
    ('task', 'crashes', 'reason'),
)
TASK_GIVEN_UP = base.Event(
    1728,
    logbook.WARNING,
    'A task has crashed workers again and again, also while nothing else '
    'could have crashed them; its job has failed. evidence has its last '
    'crashes, as in 1724, also those under earlier leaders.',
    ('job_id', 'task', 'crashes', 'alone', 'runs', 'evidence'),
)
RUN_HANDED_OVER = base.Event(
    1729,
    logbook.INFO,
    'A worker has started again under its id and executes orders that were '
    'meant for its earlier incarnation; the run goes on there, or is stopped '
    'there if its start was not confirmed.',
    (
        'task',
        'run',
        'worker',
        'earlier_born_ms',
        'born_ms',
        'lease_ms',
        'reason',
    ),
)
TASK_PAUSED = base.Event(
    1730,
    logbook.WARNING,
    'A task has crashed workers again and again, but its job has tasks that '
    'last, and goes on; the task starts on trial only, and pauses after each '
    'crash. 1724 names each crash.',
    ('job_id', 'task', 'crashes', 'alone', 'pause_ms', 'evidence'),
)
TASKS_STARTED = base.Event(
    1731,
    logbook.INFO,
    'Workers have confirmed the starts of tasks of a step in the last second; '
    'runs has INDEX:RUN@WORKER for each, where the task is STEP.INDEX. '
    'longest_ms is the longest time for which one of them was ready.',
    ('step', 'runs', 'longest_ms'),
)
TASKS_DONE = base.Event(
    1732,
    logbook.INFO,
    'Workers have reported that runs of a step are done, in the last second; '
    'runs has INDEX:RUN@WORKER for each. longest_ms is the longest time from '
    'an order to start to the report.',
    ('step', 'runs', 'longest_ms'),
)
ORDER_FOR_EARLIER = base.Event(
    1733,
    logbook.WARNING,
    'An order did nothing, as a later incarnation of its worker is there.',
    ('worker', 'born_ms', 'detail'),
)
RUN_TIMES_LEARNED = base.Event(
    1734,
    logbook.INFO,
    'What finished runs have taught was stored, or read from the last leader; '
    'percents has QUEUE/TASKS:PERCENT, how long the longest of so many tasks '
    'typically takes against the estimate of its caller.',
    ('how', 'kinds', 'percents'),
)
JOB_PARKED = base.Event(
    1735,
    logbook.WARNING,
    'A stored job waits in the store, as the leader has no memory for it; it '
    'is read once there is room. size and held are bytes, parked is the '
    'number of such jobs.',
    ('job_id', 'team', 'size', 'held', 'parked'),
)
WORKER_RESTS = base.Event(
    1736,
    logbook.NOTICE,
    'The host of a worker has crashed again and again; nothing starts there '
    'before the worker has been up for some time. crashes counts those in a '
    'row.',
    ('worker', 'host', 'crashes', 'left_ms'),
)
TASK_CONTESTED = base.Event(
    1737,
    logbook.NOTICE,
    'A task has as many crashes as one that is given up, but they may be the '
    'doing of its hosts; it pauses, and then starts on a worker that has been '
    'up for least_up_ms. evidence is as in 1728.',
    (
        'job_id',
        'task',
        'crashes',
        'alone',
        'pause_ms',
        'least_up_ms',
        'evidence',
    ),
)

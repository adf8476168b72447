"""Judgement of the tasks under which workers crashed.

A crash makes the tasks that had just started on the worker suspects. Each is
tried on a worker where nothing else starts meanwhile, so a further crash is
its own doing. Only such crashes show that a task is guilty. Its job is given
up, unless it has tasks that last: those run until the job is cancelled, so the
guilty task pauses after each crash.
"""

from figtray.blame import verdicts
from figtray.scheduling import run_ages

# Crashes of runs that had gone on for a while, after which their task is
# suspected as well.
LATE_CRASHES_TO_TRY = 3
# Number of crashes after which a task is given up, by how many of them were on
# trial and soon after the start. One of these may be chance: a worker may
# crash by itself during a trial. After a change of the leader it may be
# unknown that a crash was on trial.
CRASHES_TO_GIVE_UP = {0: 5, 1: 4, 2: 3}
# Least time between a crash and the next start of a task with as many crashes
# as one that is given up: its job has tasks that last, or its guilt is not
# shown.
GUILTY_PAUSE_MS = 4000


def is_guilty(task):
    """Return whether a task certainly crashes its workers."""
    return is_contested(task) and isinstance(
        verdicts.judge(task.crashes.evidence), verdicts.TaskAtFault
    )


def is_contested(task):
    """Return whether a task has as many crashes as one that causes them."""
    crashes = task.crashes
    if crashes.count >= CRASHES_TO_GIVE_UP[0]:
        return True
    # Late ones show less, as others may be their cause.
    alone = min(crashes.alone, max(CRASHES_TO_GIVE_UP))
    early = len({*crashes.runs} - {*crashes.late})
    return early >= CRASHES_TO_GIVE_UP[alone]


def is_paused(task, now_ms):
    """Return whether a task waits, as it may well crash its next worker.

    Args:
        task: the TaskState.
        now_ms: local time.
    """
    return is_contested(task) and now_ms - task.ready_ms < GUILTY_PAUSE_MS


def may_start_on(task, worker_state, now_ms):
    """Return whether a worker has been up for long enough for a task.

    A task that lasts starts on any, as it is never given up.

    Args:
        task: the TaskState.
        worker_state: the WorkerState.
        now_ms: local time.
    """
    return _has_been_up(worker_state, least_up_ms(task), now_ms)


def least_up_ms(task):
    """Return how long a worker must have been up before a task starts."""
    if task.step.spec.lasting:
        return 0
    return verdicts.least_up_ms(task.crashes.evidence)


def proven_workers(tasks, worker_states, now_ms):
    """Return the workers that have been up for long enough for some tasks.

    Args:
        tasks: the TaskStates.
        worker_states: list of WorkerStates.
        now_ms: local time.
    """
    least_ms = max(map(least_up_ms, tasks), default=0)
    if not least_ms:
        return worker_states
    found = [
        worker_state
        for worker_state in worker_states
        if _has_been_up(worker_state, least_ms, now_ms)
    ]
    # The candidates of a plan are kept in an order of their own.
    return worker_states if len(found) == len(worker_states) else found


def _has_been_up(worker_state, least_ms, now_ms):
    if not least_ms:
        return True
    up_ms = worker_state.up_ms(now_ms)
    return up_ms is not None and up_ms >= least_ms


def is_suspect(task):
    """Return whether a task may have crashed workers."""
    crashes = task.crashes
    return crashes.count > 0 or len(crashes.late) >= LATE_CRASHES_TO_TRY


def is_guilty_untried(run):
    """Return whether a task crashes its workers, by a run without its trial.

    One that crashes them late, beside others, would otherwise go on without
    end while it awaits each trial in vain. It does so at the same age each
    time; crashes by chance come at any age.

    Args:
        run: a Run on the crashed worker. Its crash is counted, its age is not
            noted yet.
    """
    crashes = run.task.crashes
    if not run.untried or count_all(crashes) < CRASHES_TO_GIVE_UP[0]:
        return False
    # The age of an adopted run is unknown; an early crash needs no other.
    if (
        run.adopted
        or crashes.longest_ms == run_ages.CLEARED_MS
        or not run_ages.is_late(run)
    ):
        return True
    difference_ms = abs(
        crashes.longest_ms - (run_ages.age_at_end_ms(run) or 0)
    )
    return difference_ms <= max(
        run_ages.AGE_TOLERANCE * crashes.longest_ms, run_ages.SETTLED_MS
    )


def count_all(crashes):
    """Return the number of crashes of a task, with the late ones."""
    return len({*crashes.runs, *crashes.late})

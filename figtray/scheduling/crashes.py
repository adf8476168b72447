"""Judgement of the tasks under which workers crashed.

A crash makes the tasks that had just started on the worker suspects. Each is
tried on a worker where nothing else starts meanwhile, so a further crash is
its own doing. Only such crashes show that a task is guilty.
"""

from figtray.events import catalogue
from figtray.events import log

# Crashes come right after the start. A run that has gone on for this long is
# not suspected if its worker also had a younger one.
SETTLED_MS = 300
# It is suspected all the same once so many workers crashed under it.
LATE_CRASHES_TO_SUSPECT = 2
# Crashes after which a task is given up if this many were on trial. One
# crash on trial may be chance.
CRASHES_TO_GIVE_UP = 3
ALONE_TO_GIVE_UP = 2
# Crashes after which a task is given up in any case.
MOST_CRASHES = 5
# Length of a trial. A task that may have passed short trials is tried for
# longer.
TRIAL_MS = 300
LONG_TRIAL_MS = 3000
CRASHES_FOR_LONG_TRIAL = 3
# A run that has gone on for this long clears its task of all crashes.
CLEARED_MS = 10_000
# Longest wait for a trial by the number of crashes. Then the task starts
# without one; after more crashes it may not.
MAX_TRIAL_WAIT_MS = {1: 1500, 2: 2000}


def suspects(worker_state):
    """Return the runs that may have crashed a worker.

    Args:
        worker_state: its WorkerState.
    """
    sent = [
        run for run in worker_state.runs.values() if run.sent_ms is not None
    ]
    tried = tried_run(worker_state)
    if tried in sent:
        return [tried]
    fresh = [run for run in sent if not _is_settled(run)]
    if not fresh:
        return sent
    return fresh + [
        run for run in sent if _is_settled(run) and _is_late_suspect(run)
    ]


def _is_late_suspect(run):
    """Count a crash against a run that has gone on for a while.

    Returns:
        Whether its task is suspected, now or from before.
    """
    task = run.task
    if not task.crashes.count:
        task.late_crashes += (run.number,)
        if len(task.late_crashes) < LATE_CRASHES_TO_SUSPECT:
            return False
        for number in task.late_crashes:
            task.crashes = task.crashes.add(number, False)
    return True


def tried_run(worker_state):
    """Return the run on trial on a worker; None if there is none."""
    trial = worker_state.trial
    return trial and worker_state.runs.get(trial.task.name)


def is_guilty(task):
    """Return whether a task certainly crashes its workers."""
    crashes = task.crashes
    return crashes.count >= MOST_CRASHES or (
        crashes.count >= CRASHES_TO_GIVE_UP
        and crashes.alone >= ALONE_TO_GIVE_UP
    )


def is_trial_needed(task, now_ms):
    """Return whether a task may start only on a worker of its own."""
    count = task.crashes.count
    max_wait_ms = MAX_TRIAL_WAIT_MS.get(count)
    if max_wait_ms is None:
        return count > 0
    return now_ms - task.ready_ms < max_wait_ms


def is_trial_over(run, asked_ms):
    """Return whether a run on trial has gone on for long enough.

    Args:
        run: the Run.
        asked_ms: local time at which it certainly went on.
    """
    is_short = run.task.crashes.count < CRASHES_FOR_LONG_TRIAL
    trial_ms = TRIAL_MS if is_short else LONG_TRIAL_MS
    return run.sent_ms is not None and asked_ms - run.sent_ms >= trial_ms


def is_cleared(run, asked_ms):
    """Return whether a run has gone on long enough to clear its task."""
    return run.sent_ms is not None and asked_ms - run.sent_ms >= CLEARED_MS


def log_suspected(run):
    """Log that the task of a run is suspected of one more crash."""
    log.emit(
        catalogue.TASK_SUSPECTED,
        task=run.task.name,
        run=run.number,
        worker=run.worker_state.worker.worker_id,
        crashes=run.task.crashes.count,
        alone=run.task.crashes.alone,
        after_ms=_age_ms(run),
    )


def _is_settled(run):
    age_ms = _age_ms(run)
    return age_ms is not None and age_ms >= SETTLED_MS


def _age_ms(run):
    """Return how long a run went on before its worker fell silent."""
    silent_ms = run.worker_state.silent_since_ms
    return None if silent_ms is None else silent_ms - run.sent_ms

"""Choice of the runs that may crash a worker."""

from figtray.scheduling import crashes
from figtray.scheduling import run_ages


def suspects(worker_state):
    """Return the runs that may have crashed a worker.

    That is the run on trial and others of its gang, if there is one; else
    those that had just started, or all if none had.

    Args:
        worker_state: its WorkerState.
    """
    sent = sent_runs(worker_state)
    tried = run_on_trial(worker_state)
    if tried in sent:
        return [
            run for run in sent if run is tried or _is_of_same_gang(run, tried)
        ]
    return [run for run in sent if not run_ages.is_late(run)] or sent


def late_runs(worker_state):
    """Return the runs that had gone on for a while before a crash.

    They may be the cause, too, if another one is on trial or had just started.

    Args:
        worker_state: WorkerState of the crashed worker.
    """
    sent = sent_runs(worker_state)
    if run_on_trial(worker_state) in sent:
        tried = suspects(worker_state)
        return [run for run in sent if run not in tried]
    return [run for run in sent if run_ages.is_late(run)]


def has_fresh_suspect(worker_state, now_ms):
    """Return whether a run on a worker may still crash it.

    Args:
        worker_state: its WorkerState.
        now_ms: local time.
    """
    return any(
        crashes.is_suspect(run.task)
        and not run_ages.has_gone_on(run, run_ages.SETTLED_MS, now_ms)
        for run in worker_state.runs.values()
    )


def run_on_trial(worker_state):
    """Return the run on trial on a worker; None if there is none."""
    trial = worker_state.trial
    return trial and worker_state.runs.get(trial.task.name)


def is_alone_untried(runs):
    """Return whether only a run without its trial had just started.

    A crash then shows as much as one on trial.

    Args:
        runs: the Runs that are suspected of a crash.
    """
    return len(runs) == 1 and runs[0].untried and not run_ages.is_late(runs[0])


def sent_runs(worker_state):
    """Return the runs on a worker that it may have started."""
    return [
        run for run in worker_state.runs.values() if run.sent_ms is not None
    ]


def _is_of_same_gang(run, other):
    """Return whether two runs are of the same gang."""
    step = run.task.step
    return step.spec.gang and step is other.task.step

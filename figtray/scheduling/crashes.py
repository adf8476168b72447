"""Tasks that may have crashed their workers."""

from figtray.events import catalogue
from figtray.events import log

# A run that has gone on for this long is not suspected if its worker also had
# a younger one.
SETTLED_MS = 3000


def suspects(worker_state):
    """Return the runs that may have crashed a worker.

    Args:
        worker_state: its WorkerState.
    """
    sent = [
        run for run in worker_state.runs.values() if run.sent_ms is not None
    ]
    fresh = [run for run in sent if not _is_settled(run)]
    return fresh or sent


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

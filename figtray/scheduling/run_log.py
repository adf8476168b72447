"""Log of the starts and ends of runs, with one line for many of a step.

A busy leader starts and ends more runs a second than it may write lines. What
an on-call engineer asks first is why a run went wrong, so an unusual start or
end has a line of its own; the others of a step are collected.
"""

import collections
import dataclasses

from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages

# Runs in one line; more of a step have a further line.
MAX_RUNS = 50


@dataclasses.dataclass
class _Collected:
    """Runs of a step that are not logged yet.

    Attributes:
        runs: a text `INDEX:RUN@WORKER` for each run.
        longest_ms: their longest wait or duration in milliseconds.
    """

    runs: list[str] = dataclasses.field(default_factory=list)
    longest_ms: int = 0

    def add(self, task, run_number, worker_id, time_ms):
        self.runs.append(f'{task.index}:{run_number}@{worker_id}')
        self.longest_ms = max(self.longest_ms, time_ms)


class RunLog:
    """Logs starts and ends of runs; flush() writes what it has collected.

    The caller holds the scheduler's lock.
    """

    def __init__(self):
        # The _Collected of each step, by the event that it is logged as.
        self._collected = {
            catalogue.TASKS_STARTED: collections.defaultdict(_Collected),
            catalogue.TASKS_DONE: collections.defaultdict(_Collected),
        }

    def log_start(self, task, run, waited_ms):
        """Log the confirmed start of a run.

        Args:
            task: the TaskState.
            run: the Run.
            waited_ms: time for which the task was ready.
        """
        worker_id = run.worker_state.worker.worker_id
        if task.step.spec.lasting or task.checkpoint:
            log.emit(
                catalogue.TASK_STARTED,
                task=task.name,
                run=run.number,
                worker=worker_id,
                waited_ms=waited_ms,
                resumed=bool(task.checkpoint),
            )
            return
        self._collect(
            catalogue.TASKS_STARTED, task, run.number, worker_id, waited_ms
        )

    def log_end(self, task, worker_id, item, duration_ms, known):
        """Log the reported end of a run.

        Args:
            task: the TaskState.
            worker_id: id of the worker.
            item: the messages.EndedRun.
            duration_ms: time since the order to start.
            known: whether the leader had the run.
        """
        if known and item.end == messages.EndReason.DONE:
            self._collect(
                catalogue.TASKS_DONE, task, item.run, worker_id, duration_ms
            )
            return
        log.emit(
            catalogue.RUN_ENDED,
            task=item.task,
            run=item.run,
            worker=worker_id,
            end=item.end.value,
            duration_ms=duration_ms,
            known=known,
        )

    def flush(self):
        """Log all that is collected, the starts first."""
        for event, steps in self._collected.items():
            for name, collected in steps.items():
                _emit(event, name, collected)
            steps.clear()

    def _collect(self, event, task, run_number, worker_id, time_ms):
        name = task.step.name
        collected = self._collected[event][name]
        collected.add(task, run_number, worker_id, time_ms)
        if len(collected.runs) >= MAX_RUNS:
            _emit(event, name, self._collected[event].pop(name))


def _emit(event, step_name, collected):
    log.emit(
        event,
        step=step_name,
        runs=collected.runs,
        longest_ms=collected.longest_ms,
    )

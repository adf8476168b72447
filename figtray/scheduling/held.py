"""Log of the steps whose ready tasks are held."""

import heapq

from figtray.events import catalogue
from figtray.events import log

# Tasks that have waited for less are not logged as held.
MIN_WAITED_MS = 2000
# Least time between two lines on one step.
STEP_INTERVAL_MS = 2000
# Most lines at a time; the other steps are logged at a later time.
MAX_LINES = 20
# Label of steps whose start the planner has not tried.
UNTRIED = 'untried'
# Logged as the reason of a step whose tasks are no longer held.
NOT_HELD = ''


class _Entry:
    """What was last logged of a held step, and its wait when last seen."""

    __slots__ = ('reason', 'logged_ms', 'waited_ms')

    def __init__(self, reason, logged_ms, waited_ms):
        self.reason = reason
        self.logged_ms = logged_ms
        self.waited_ms = waited_ms


class HeldLog:
    """Logs for each step when the reason changes for which it is held.

    The caller holds the scheduler's lock.
    """

    def __init__(self):
        self._entries = {}

    def update(self, steps, now_ms):
        """Log the steps whose reason has changed.

        Lasting steps go first, then those that have waited longest.

        Args:
            steps: the StepStates with waiting tasks.
            now_ms: local time.
        """
        due = []
        held = set()
        for step in steps:
            step_waited_ms = step.waited_ms(now_ms)
            if step_waited_ms < MIN_WAITED_MS:
                continue
            held.add(step)
            entry = self._entries.get(step)
            if entry is not None:
                entry.waited_ms = step_waited_ms
            reason = reason_label(step)
            if _is_due(entry, reason, now_ms):
                due.append((step, reason, step_waited_ms))
        for step, entry in self._entries.items():
            if step not in held and _is_due(entry, NOT_HELD, now_ms):
                due.append((step, NOT_HELD, entry.waited_ms))
        for line in heapq.nsmallest(MAX_LINES, due, key=_rank):
            self._log(*line, now_ms)

    def _log(self, step, reason, step_waited_ms, now_ms):
        log.emit(
            catalogue.TASKS_HELD,
            step=step.name,
            queue=step.job.spec.queue,
            pool=step.job.queue.pool if step.job.queue else '',
            lasting=step.spec.lasting,
            reason=reason,
            tasks=len(step.waiting),
            waited_ms=step_waited_ms,
        )
        if reason == NOT_HELD:
            del self._entries[step]
        else:
            self._entries[step] = _Entry(reason, now_ms, step_waited_ms)


def reason_label(step):
    """Return the label of the reason for which a step's tasks wait."""
    return step.held_reason.label if step.held_reason else UNTRIED


def _is_due(entry, reason, now_ms):
    return entry is None or (
        entry.reason != reason and now_ms - entry.logged_ms >= STEP_INTERVAL_MS
    )


def _rank(line):
    step, _, step_waited_ms = line
    return not step.spec.lasting, -step_waited_ms

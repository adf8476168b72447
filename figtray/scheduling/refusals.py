"""Pauses after refused starts of a step that may be refused again."""

# Pause after a refusal; doubled by each further one in a row.
PAUSE_MS = 150
MAX_PAUSE_MS = 1200
# Refusals in a row, on any workers, after which the whole step pauses and then
# starts one task at a time: the cause is the step, not a worker.
REFUSALS_TO_PAUSE_STEP = 3


class Refusals:
    """Refused starts of one step.

    Attributes:
        step_paused_until_ms: local time until which no task of it starts.
    """

    def __init__(self):
        # Refusals in a row by incarnation of a worker.
        self._counts = {}
        # Local times until which the step starts nothing there.
        self._paused_until_ms = {}
        # Refusals in a row on all workers, less those during a pause.
        self._in_a_row = 0
        self.step_paused_until_ms = 0

    @property
    def is_step_refused(self):
        """Whether to start one task of the step at a time."""
        return self._in_a_row >= REFUSALS_TO_PAUSE_STEP

    def note(self, worker_state, now_ms):
        """Record that a worker has refused a start.

        Args:
            worker_state: its WorkerState.
            now_ms: local time.
        """
        incarnation = worker_state.worker.incarnation
        count = self._counts.get(incarnation, 0) + 1
        self._counts[incarnation] = count
        self._paused_until_ms[incarnation] = now_ms + _pause_ms(count)
        # The others of one plan tell nothing new.
        if now_ms < self.step_paused_until_ms:
            return
        self._in_a_row += 1
        if self.is_step_refused:
            self.step_paused_until_ms = now_ms + _pause_ms(
                self._in_a_row - REFUSALS_TO_PAUSE_STEP + 1
            )

    def note_start(self, worker_state):
        """Record that a worker has confirmed a start."""
        incarnation = worker_state.worker.incarnation
        self._counts.pop(incarnation, None)
        self._paused_until_ms.pop(incarnation, None)
        self._in_a_row = 0
        self.step_paused_until_ms = 0

    def is_paused(self, worker_state, now_ms):
        """Return whether the step starts nothing on a worker now."""
        until_ms = self._paused_until_ms.get(worker_state.worker.incarnation)
        return until_ms is not None and now_ms < until_ms

    def next_end_ms(self, now_ms):
        """Return the local time of the next end of a pause, or None."""
        return min(
            (
                until_ms
                for until_ms in (
                    self.step_paused_until_ms,
                    *self._paused_until_ms.values(),
                )
                if until_ms > now_ms
            ),
            default=None,
        )


def _pause_ms(count):
    """Return the pause after a number of refusals in a row."""
    return min(PAUSE_MS << min(count - 1, 10), MAX_PAUSE_MS)

"""Orders that wait for their worker, and advice on where steps may run."""

import dataclasses

from figtray.scheduling import placement
from figtray.scheduling import state


@dataclasses.dataclass(frozen=True)
class Start:
    """Start a run."""

    run: state.Run


@dataclasses.dataclass(frozen=True)
class Stop:
    """Stop a run."""

    run: state.Run


@dataclasses.dataclass(frozen=True)
class StopStray:
    """Stop a run that the leader doesn't track."""

    task: str
    run: int


@dataclasses.dataclass(frozen=True)
class Pace:
    """Let a run work at a share of its speed."""

    run: state.Run
    percent: int


class StepAdvice:
    """Workers that were approved for one step.

    Attributes:
        wanted: ids of workers to ask about; empty if there is no need.
    """

    def __init__(self):
        self._tickets = {}
        self._asked = set()
        self._valid_until_ms = 0
        self.candidates = ()
        self.request_pending = False

    def choose(self, step, worker_states, now_ms):
        """Return an approved worker, or None and note whom to ask about."""
        if now_ms >= self._valid_until_ms:
            self._tickets.clear()
            self._asked.clear()
        approved = [
            worker_state
            for worker_state in worker_states
            if worker_state.worker.worker_id in self._tickets
        ]
        best = placement.choose(step, approved, now_ms)
        if best is None and not self.request_pending:
            self.candidates = tuple(
                worker_state.worker.worker_id
                for worker_state in worker_states
                if worker_state.worker.worker_id not in self._asked
                and placement.fits(step, worker_state, now_ms)
            )
        return best

    def ticket(self, worker_id):
        """Return the ticket of a worker; empty if it has none."""
        return self._tickets.get(worker_id, '')

    def record(self, advice, asked_ids, asked_ms):
        """Take over advice.

        Args:
            advice: the Advice.
            asked: ids of the workers that it is about.
            asked_ms: local time before it was asked for.
        """
        self._tickets.update(advice.tickets)
        self._asked.update(asked_ids)
        until_ms = asked_ms + advice.valid_ms
        self._valid_until_ms = (
            min(self._valid_until_ms, until_ms)
            if self._valid_until_ms > asked_ms
            else until_ms
        )

"""Queued orders to workers, and advice on the workers of a step."""

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
    """Stop a stray run, which the leader doesn't track."""

    task: str
    run: int


@dataclasses.dataclass(frozen=True)
class Pace:
    """Let a run work at a share of its speed."""

    run: state.Run
    percent: int


class StepAdvice:
    """Workers that the adviser has approved for one step.

    Attributes:
        candidates: ids of workers to ask about; empty if none are needed.
        request_pending: whether the adviser is being asked.
    """

    def __init__(self):
        self._tickets = {}
        self._asked = set()
        self._valid_until_ms = 0
        self.candidates = ()
        self.request_pending = False

    def choose(self, step, worker_states, now_ms, apart=False):
        """Return the best approved worker for a task of a step, or None.

        If there is none, the workers to ask about become the candidates.
        See placement.choose().
        """
        if now_ms >= self._valid_until_ms:
            self._tickets.clear()
            self._asked.clear()
        approved = [
            worker_state
            for worker_state in worker_states
            if worker_state.worker.worker_id in self._tickets
        ]
        best = placement.choose(step, approved, now_ms, apart)
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
        """Record the adviser's answer.

        Args:
            advice: the Advice.
            asked_ids: ids of the workers in the request.
            asked_ms: local time before the request was sent.
        """
        self._tickets.update(advice.tickets)
        self._asked.update(asked_ids)
        until_ms = asked_ms + advice.valid_ms
        self._valid_until_ms = (
            min(self._valid_until_ms, until_ms)
            if self._valid_until_ms > asked_ms
            else until_ms
        )

"""Queued orders to workers."""

import dataclasses

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

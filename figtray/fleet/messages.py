"""Orders to workers and what they answer."""

import dataclasses
import enum

import msgspec


class EndReason(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


class ActiveRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that is on a worker.

    Attributes:
        task: name of the task.
        run: number of the run.
        checkpoint: where a later run could resume; empty = nowhere.
        percent: part of its full speed at which a lasting task works.
        load: response time in ms of a serving task (its tail), or the
            processor time in thousandths of a core of any other task.
    """

    task: str
    run: int
    checkpoint: str = ''
    percent: float = 0
    load: float = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that has ended; `number` rises within a life of the worker."""

    number: int
    task: str
    run: int
    end: EndReason
    checkpoint: str = ''


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """Order to run a task.

    Attributes:
        task: name of the task.
        run: number of the run, above all earlier ones of the task.
        payload: text that the job's caller handed in.
        epoch: number of the leader's term.
        lease_until_ms: end of the lease on the worker's clock.
        checkpoint: where to resume; empty = at the beginning.
        ticket: approval of the worker; empty if the queue needs none.
    """

    task: str
    run: int
    payload: str
    epoch: int
    lease_until_ms: int
    checkpoint: str = ''
    ticket: str = ''


@dataclasses.dataclass(frozen=True)
class Started:
    """The run is on the worker."""

    clock_ms: int


@dataclasses.dataclass(frozen=True)
class Report:
    """What a worker runs, and the ends that were not acknowledged.

    Attributes:
        born_ms: life of the worker that reports.
        clock_ms: the worker's own clock.
    """

    born_ms: int
    clock_ms: int
    running: tuple[ActiveRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()


@dataclasses.dataclass(frozen=True)
class Advice:
    """Workers that may run a step, with their tickets.

    Attributes:
        tickets: mapping of worker id to its ticket.
        valid_ms: life of the tickets.
    """

    tickets: dict[str, str]
    valid_ms: int

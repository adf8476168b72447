"""Orders to workers and their answers."""

import dataclasses
import enum

import msgspec

# A worker that ends a thousand runs a second has fewer ends in 30 years.
MAX_END_NUMBER = 10**12


class EndReason(enum.Enum):
    """Why a run has ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    GANG_INCOMPLETE = 'alone'


@dataclasses.dataclass(frozen=True)
class OrderSender:
    """Who gives an order for a host, and until when it may be sent.

    Attributes:
        node_name: name of the node that leads.
        epoch: number of its term, which is the fencing token.
        valid_until_ms: local time from which on another node may lead, so
            that nothing of the order is sent any more.
    """

    node_name: str
    epoch: int
    valid_until_ms: int


class ActiveRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that is on a worker.

    Attributes:
        task: name of the task.
        run: number of the run.
        checkpoint: where a later run could resume; empty if there is none.
        percent: share of its full speed at which a lasting task works.
        load: tail response time in ms of a latency-sensitive task, or the
            processor time in thousandths of a core of any other task.
    """

    task: str
    run: int
    checkpoint: str = ''
    percent: float = 0
    load: float = 0


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that has ended on a worker.

    Attributes:
        number: sequence number of the end within an incarnation of the
            worker.
        task: name of the task.
        run: number of the run.
        end: the EndReason.
        checkpoint: where a later run could resume; empty if there is none.
    """

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
        run: number of the run, higher than those of the task's earlier runs.
        payload: the payload of the job.
        epoch: the fencing token: the epoch of the leader's term, or a later
            revision of the same term, by incarnation of the worker.
        lease_until_ms: end of the lease on the worker's clock.
        checkpoint: where to resume; empty = at the beginning.
        ticket: the adviser's approval; empty if the queue needs none.
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
    """Confirmation that a run is on the worker.

    Attributes:
        clock_ms: time of the worker's own clock.
        unchecked: whether another incarnation may have sent it.
    """

    clock_ms: int
    unchecked: bool = False


@dataclasses.dataclass(frozen=True)
class Report:
    """Report of a worker on its runs.

    Attributes:
        born_ms: Unix time in ms of the start of the incarnation that reports.
        clock_ms: time of the worker's own clock.
        running: runs that are on the worker.
        ended: runs whose ends were not acknowledged yet; see more_ends.
        unreadable: number of the rows of running that can't be read. Any run
            that is missing may be among them.
        last_end: highest number of an end, also of those that can't be read.
        more_ends: whether later ends may follow once these are acknowledged.
    """

    born_ms: int
    clock_ms: int
    running: tuple[ActiveRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    unreadable: int = 0
    last_end: int = 0
    more_ends: bool = False

    @property
    def lists_all_runs(self):
        """Whether a run that is missing is neither running nor has ended."""
        return not self.unreadable and not self.more_ends


@dataclasses.dataclass(frozen=True)
class Advice:
    """Workers that may run a step, with their tickets.

    Attributes:
        tickets: mapping of worker id to its ticket.
        valid_ms: time for which the tickets are valid.
    """

    tickets: dict[str, str]
    valid_ms: int

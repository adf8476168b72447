"""How incarnations of workers end."""

import dataclasses
import enum

from figtray.fleet import model as fleet


class Kind(enum.Enum):
    """How an incarnation of a worker has ended."""

    CRASHED = 'crashed'
    DRAINED = 'drained'
    REASSIGNED = 'reassigned'
    HOST_LOST = 'host-lost'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class End:
    """End of an incarnation of a worker.

    Attributes:
        kind: the Kind.
        reason: what the leader has seen.
    """

    kind: Kind
    reason: str


def of_process(worker_state, reason, answered=False):
    """Return the End of an incarnation whose process has ended.

    A process that crashes closes its connections, so that its address
    refuses or another incarnation answers there. A worker that was silent
    before, or never reached, may have been cut off or have lost its host.

    Args:
        worker_state: its WorkerState.
        reason: what the leader has seen.
        answered: whether another incarnation has answered at its address.
    """
    if worker_state.worker.draining:
        return End(Kind.DRAINED, reason)
    was_reached = worker_state.has_reported and not worker_state.unresponsive
    if worker_state.refused_connections or (answered and was_reached):
        return End(Kind.CRASHED, reason)
    return End(Kind.UNKNOWN, reason)


def on_host(worker_state, host, reason):
    """Return the End of an incarnation that its host runs no more.

    Args:
        worker_state: its WorkerState.
        host: the fleet Host.
        reason: what the leader has seen.
    """
    if _is_reassigned(worker_state.proven_incarnation().pool, host):
        return End(Kind.REASSIGNED, reason)
    return of_process(worker_state, reason)


def kind_on_host(worker_state, incarnation, host):
    """Return the Kind of end of an incarnation that its host runs no more.

    Args:
        worker_state: its WorkerState, or None.
        incarnation: the fleet Incarnation.
        host: the fleet Host.
    """
    if _is_reassigned(incarnation.pool, host):
        return Kind.REASSIGNED
    if worker_state is None:
        return Kind.UNKNOWN
    return of_process(worker_state, '').kind


def _is_reassigned(pool, host):
    """Return whether a host was moved or upkept; its pool may be unknown."""
    return host.state in (
        fleet.HostState.MOVING,
        fleet.HostState.UPKEEP,
    ) or pool not in ('', host.pool)

"""Orders that move hosts to other pools, and the moves under way."""

import dataclasses

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import model as fleet

# Time allowed from the end of a move until the entry of the new worker appears
# in the store and the worker reports.
WORKER_ENTRY_MS = 3000
MOVED_DETAIL = 'its host has moved'


@dataclasses.dataclass(frozen=True)
class _Move:
    """A move under way.

    Attributes:
        pool: its target pool.
        since_ms: local time of its order.
        worker_id: id of the worker that the host had; empty if it had none.
    """

    pool: str
    since_ms: int
    worker_id: str


class HostMoves:
    """Moves hosts during one term, and knows which moves are under way.

    Args:
        context: the TermContext.
        executor: concurrent.futures executor of the calls that move hosts.
    """

    def __init__(self, context, executor):
        self._context = context
        self._scheduler = context.scheduler
        self._executor = executor
        self._arrival_timeout_ms = (
            int(context.bounds.move_s * 1000) + WORKER_ENTRY_MS
        )
        # The _Move of each host that is being moved, by host id.
        self._moving = {}

    def is_moving(self, host_id):
        """Return whether a host is being moved."""
        return host_id in self._moving

    def is_any_to_another(self, pool):
        """Return whether a host is moving to another pool than this one."""
        return any(move.pool != pool for move in self._moving.values())

    def count_incoming(self, pool):
        """Return the number of hosts that are moving to a pool."""
        return sum(1 for move in self._moving.values() if move.pool == pool)

    def worker_ids(self):
        """Return the ids of the workers that the moving hosts had."""
        return [move.worker_id for move in self._moving.values()]

    def prune(self, listed, spare_pool, now_ms):
        """Remove ended and overdue moves.

        Args:
            listed: mapping of host id to its fleet Host.
            spare_pool: name of the spare pool, or None.
            now_ms: local time.
        """
        for host_id, move in list(self._moving.items()):
            host = listed.get(host_id)
            arrived = (
                host is not None
                and host.pool == move.pool
                and host.state == fleet.HostState.UP
                and (
                    move.pool == spare_pool
                    or self._scheduler.has_worker_reported(host.worker_id)
                )
            )
            if arrived and host.worker_id != move.worker_id:
                # Its former worker has ended, even if no reply said so.
                self._scheduler.retire_idle_worker(
                    move.worker_id, MOVED_DETAIL
                )
            if arrived or now_ms - move.since_ms > self._arrival_timeout_ms:
                del self._moving[host_id]

    def order_all(self, moves):
        """Record and move hosts; the calls are made concurrently.

        Args:
            moves: pairs of Host and name of its new pool.

        Returns:
            For each move, whether it is under way.
        """
        if not moves:
            return []
        if not self._context.orders.record(
            [host.host_id for host, _ in moves]
        ):
            return [False] * len(moves)
        return list(self._executor.map(lambda move: self._order(*move), moves))

    def _order(self, host, pool):
        """Move a host to a pool; return whether the move is under way."""
        if not self._context.term.valid():
            return False
        try:
            accepted = self._context.move(host.host_id, pool)
            detail = MOVED_DETAIL if accepted else 'refused by the platform'
        except errors.CallNotSent as exc:
            accepted, detail = False, str(exc)
        except errors.ReplyLost as exc:
            # The move counts as under way until the list shows the host in
            # its new pool, or for at most _arrival_timeout_ms.
            accepted, detail = True, str(exc)
        if not accepted:
            log.emit(
                catalogue.MOVE_REFUSED,
                host=host.host_id,
                pool=pool,
                detail=detail,
            )
            return False
        self._moving[host.host_id] = _Move(
            pool, self._context.clock.now_ms(), host.worker_id
        )
        if detail == MOVED_DETAIL:
            self._scheduler.retire_idle_worker(host.worker_id, detail)
        log.emit(
            catalogue.HOST_MOVED,
            host=host.host_id,
            from_pool=host.pool,
            pool=pool,
            zone=host.zone,
        )
        return True

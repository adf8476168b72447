"""Lending of hosts: from the spare pool to the pools that need them."""

import collections
import dataclasses
import math

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import model as fleet
from figtray.jobs import model

# A pool keeps this part of an equal division of all hosts, so that a peak
# finds room until borrowed hosts arrive, and at least MIN_WORKERS.
BASE_SHARE = 0.55
MIN_WORKERS = 2
# Part of the waiting tasks that should start as soon as hosts arrive; the
# rest follows them within the same seconds.
WAITING_SHARE = 0.5
# Tasks of later steps come one after the other.
LATER_SHARE = 0.3
# The demand is extrapolated by its rise over the last TREND_MS.
TREND_MS = 1200
ARRIVAL_MS = 2500
MAX_RISE = 0.3
# A surplus is given back after this time; a move costs as much as a host
# does in about a second.
RETURN_AFTER_MS = 2000
# Worker entries appear this long after the end of a move.
JOIN_MS = 3000
MOVE_REASON = 'move'
MOVED = 'its host has moved'
# Used while the list names no capacity.
DEFAULT_CAPACITY = model.Resources(16_000, 32_000)


@dataclasses.dataclass(frozen=True)
class _Move:
    pool: str
    since_ms: int


class Lender:
    """Decides and carries out moves between pools during one term.

    Args:
        scheduler: the Scheduler.
        term: the Term.
        clock: the Clock.
        hosts: the HostService.
        node_name: name of this node.
        bounds: times that the platform promises.
        executor: concurrent.futures executor that makes the calls of moves.
        orders: the HostOrders.
    """

    def __init__(
        self,
        scheduler,
        term,
        clock,
        hosts,
        node_name,
        bounds,
        executor,
        orders,
    ):
        self._scheduler = scheduler
        self._term = term
        self._clock = clock
        self._hosts = hosts
        self._node_name = node_name
        self._executor = executor
        self._orders = orders
        self._arrival_ms = int(bounds.move_s * 1000) + JOIN_MS
        self._moving = {}
        self._surplus_since_ms = {}
        self._demands = {}
        self._closing = {}

    def step(self, cfg, listed, evacuated):
        """Do what can be done now.

        Args:
            cfg: the queues.Config.
            listed: mapping of host id to its fleet Host.
            evacuated: names of the zones out of service.
        """
        spare = next(iter(sorted(cfg.spare_pools())), None)
        if spare is None:
            return
        now_ms = self._clock.now_ms()
        loads = self._scheduler.pool_loads()
        self._forget_arrivals(listed, spare, now_ms)
        room = _host_capacity(listed.values())
        pools = sorted(set(cfg.pools) - cfg.spare_pools())
        base = base_workers(len(listed), cfg)
        missing = {}
        for pool in pools:
            load = loads.get(pool)
            if load is None:
                continue
            have = load.workers + self._incoming(pool)
            rise = self._rise(pool, load, now_ms)
            wanted = max(base, wanted_workers(load, rise, room))
            missing[pool] = wanted - have
        for pool in sorted(missing, key=missing.get, reverse=True):
            if missing[pool] > 0:
                missing[pool] -= self._borrow(
                    pool, missing[pool], listed, spare, evacuated
                )
        pressed = any(count > 0 for count in missing.values())
        for pool in pools:
            self._give_back(
                pool, -missing.get(pool, 0), listed, now_ms, pressed
            )
        self._hand_over(listed, spare, missing, evacuated)
        self._scheduler.set_workers_expected(
            any(move.pool != spare for move in self._moving.values())
        )

    def _rise(self, pool, load, now_ms):
        """Return by how much the demand rises until hosts arrive."""
        demand = short_demand_milli(load)
        history = self._demands.setdefault(pool, collections.deque())
        history.append((now_ms, demand))
        while now_ms - history[0][0] > TREND_MS:
            history.popleft()
        since_ms, before = history[0]
        if now_ms == since_ms:
            return 0
        rate = (demand - before) / (now_ms - since_ms)
        return min(max(0, rate * ARRIVAL_MS), MAX_RISE * demand)

    def _incoming(self, pool):
        return sum(1 for move in self._moving.values() if move.pool == pool)

    def _forget_arrivals(self, listed, spare, now_ms):
        for host_id, move in list(self._moving.items()):
            host = listed.get(host_id)
            arrived = (
                host is not None
                and host.pool == move.pool
                and host.state == fleet.HostState.UP
                and (
                    move.pool == spare
                    or self._scheduler.has_worker_reported(host.worker_id)
                )
            )
            if arrived or now_ms - move.since_ms > self._arrival_ms:
                del self._moving[host_id]
        for host_id in list(self._closing):
            if host_id not in listed:
                del self._closing[host_id]

    def _borrow(self, pool, count, listed, spare, evacuated):
        """Get hosts for a pool, the quickest ones first.

        Returns:
            The number of hosts that were got.
        """
        got = 0
        for host_id, worker_id in list(self._closing.items()):
            if got == count:
                return got
            if listed[host_id].pool == pool:
                del self._closing[host_id]
                self._scheduler.uncordon_worker(worker_id, MOVE_REASON)
                got += 1
        zones = self._zones_of(pool, listed)
        candidates = [
            host
            for host in listed.values()
            if host.pool == spare
            and host.state == fleet.HostState.UP
            and host.host_id not in self._moving
            and host.zone not in evacuated
            and self._orders.may_order(host.host_id)
        ]
        while got < count and candidates:
            chosen = []
            while candidates and got + len(chosen) < count:
                host = min(
                    candidates,
                    key=lambda h: (zones.get(h.zone, 0), h.host_id),
                )
                candidates.remove(host)
                zones[host.zone] = zones.get(host.zone, 0) + 1
                chosen.append((host, pool))
            got += sum(self._move_all(chosen))
        return got

    def _zones_of(self, pool, listed):
        zones = {}
        for host in listed.values():
            if host.pool == pool:
                zones[host.zone] = zones.get(host.zone, 0) + 1
        return zones

    def _give_back(self, pool, surplus, listed, now_ms, pressed):
        """Close workers that a pool has not needed for a while.

        They are closed at once if another pool lacks hosts.
        """
        if surplus <= 0:
            self._surplus_since_ms.pop(pool, None)
            return
        since_ms = self._surplus_since_ms.setdefault(pool, now_ms)
        if now_ms - since_ms < RETURN_AFTER_MS and not pressed:
            return
        zones = self._zones_of(pool, listed)
        candidates = [
            host
            for host in listed.values()
            if host.pool == pool
            and host.state == fleet.HostState.UP
            and host.worker_id
            and host.host_id not in self._closing
            and host.host_id not in self._moving
            and self._orders.may_order(host.host_id)
            and self._scheduler.is_schedulable(host.worker_id)
        ]
        candidates.sort(
            key=lambda h: (
                *self._scheduler.drain_cost(h.worker_id),
                -zones.get(h.zone, 0),
                h.host_id,
            )
        )
        for host in candidates[:surplus]:
            self._closing[host.host_id] = host.worker_id
            self._scheduler.cordon_worker(host.worker_id, MOVE_REASON)

    def _hand_over(self, listed, spare, missing, evacuated):
        """Move the hosts that are empty to where they are wanted most."""
        chosen = []
        for host_id, worker_id in list(self._closing.items()):
            host = listed[host_id]
            if (
                host.worker_id != worker_id
                or host.pool == spare
                or not self._scheduler.has_worker_reported(worker_id)
            ):
                del self._closing[host_id]
                continue
            if not self._scheduler.drain_worker(worker_id):
                continue
            target = max(missing, key=missing.get)
            if missing[target] <= 0 or host.zone in evacuated:
                target = spare
            else:
                missing[target] -= 1
            chosen.append((host, target))
        for (host, _), accepted in zip(chosen, self._move_all(chosen)):
            if accepted:
                del self._closing[host.host_id]

    def _move_all(self, moves):
        """Move hosts; the calls are made beside each other.

        Args:
            moves: pairs of Host and name of its new pool.

        Returns:
            For each move, whether it is under way.
        """
        if not moves:
            return []
        if not self._orders.announce([host.host_id for host, _ in moves]):
            return [False] * len(moves)
        return list(self._executor.map(lambda move: self._move(*move), moves))

    def _move(self, host, pool):
        if not self._term.valid():
            return False
        try:
            accepted = self._hosts.move(
                host.host_id, pool, self._node_name, self._term.epoch
            )
            detail = MOVED if accepted else 'refused by the platform'
        except errors.CallNotSent as exc:
            accepted, detail = False, str(exc)
        except errors.ReplyLost as exc:
            # Counted as under way until the list shows otherwise.
            accepted, detail = True, str(exc)
        if not accepted:
            log.emit(
                catalogue.MOVE_REFUSED,
                host=host.host_id,
                pool=pool,
                detail=detail,
            )
            return False
        self._moving[host.host_id] = _Move(pool, self._clock.now_ms())
        if detail == MOVED:
            self._scheduler.retire_idle_worker(host.worker_id, detail)
        log.emit(
            catalogue.HOST_MOVED,
            host=host.host_id,
            from_pool=host.pool,
            pool=pool,
            zone=host.zone,
        )
        return True


def base_workers(hosts, cfg):
    """Return how many workers a pool keeps without any demand.

    Args:
        hosts: number of all hosts.
        cfg: the queues.Config.
    """
    share = math.ceil(BASE_SHARE * hosts / len(cfg.pools))
    return max(MIN_WORKERS, share)


def short_demand_milli(load):
    """Return what short work asks for, in thousandths of a core."""
    known = (
        load.short_milli
        + WAITING_SHARE * load.waiting_milli
        + LATER_SHARE * load.later_milli
    )
    return max(known, load.arriving_milli)


def wanted_workers(load, rise_milli, room):
    """Return how many workers a pool needs.

    Args:
        load: its PoolLoad.
        rise_milli: expected rise of its demand.
        room: Resources of a typical host.
    """
    milli = load.lasting_milli + short_demand_milli(load) + rise_milli
    hosts = max(milli / room.cpu_milli, load.memory_mb / room.memory_mb)
    spread = load.spread
    if spread and load.due:
        # Lets a task of the widest step move before the upkeep of its host.
        spread += 1
    return max(MIN_WORKERS, math.ceil(hosts), spread)


def _host_capacity(hosts):
    """Return the capacity of the smallest host."""
    known = [host.capacity for host in hosts if host.capacity.cpu_milli]
    if not known:
        return DEFAULT_CAPACITY
    return min(known, key=lambda item: item.cpu_milli)

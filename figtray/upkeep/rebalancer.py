"""Rebalancing of hosts between pools as their load changes."""

import collections

from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import model as fleet
from figtray.upkeep import host_moves
from figtray.workload import forecast
from figtray.workload import pool_size

MOVE_REASON = 'move'
# Hosts that are drained at once, at most: each pass looks at all of them.
MAX_DRAINING = 64


class PoolRebalancer:
    """Moves hosts between the spare pool and the others during one term.

    Args:
        context: the TermContext.
        executor: concurrent.futures executor of the calls that move hosts.
    """

    def __init__(self, context, executor):
        self._scheduler = context.scheduler
        self._clock = context.clock
        self._orders = context.orders
        self._moves = host_moves.HostMoves(context, executor)
        # Local time since which a pool has had a surplus, by pool.
        self._surplus_since_ms = {}
        # The DemandTrend of each pool.
        self._trends = collections.defaultdict(pool_size.DemandTrend)
        # The PoolSize of each pool, by the last load.
        self.sizes = {}
        # Pattern and period of each pool, as they were logged last.
        self._patterns = {}
        # Id of the worker that is drained for a move, by host id.
        self._draining = {}

    def reconcile(self, cfg, listed, evacuated_zones):
        """Cordon, drain and move hosts; drains and moves are not awaited.

        Args:
            cfg: the queues.Config.
            listed: mapping of host id to its fleet Host.
            evacuated_zones: names of the zones out of service.
        """
        spare_pool = next(iter(sorted(cfg.spare_pools())), None)
        now_ms = self._clock.now_ms()
        self._prune_hosts(listed, spare_pool, now_ms)
        self._set_cordoned()
        if spare_pool is None:
            return
        pools = sorted(set(cfg.pools) - cfg.spare_pools())
        loads = self._scheduler.pool_loads()
        self._log_patterns(loads)
        self.sizes = self._sizes(pools, loads, cfg, listed, now_ms)
        missing, missing_lasting = self._count_missing(loads)
        awaited = self._count_awaited(missing, listed)
        # A backlog would take all hosts, and lasting tasks wait for its end.
        for counts in (missing_lasting, missing):
            for pool in sorted(counts, key=counts.get, reverse=True):
                count = min(counts[pool], missing[pool] - awaited[pool])
                if count > 0:
                    added = self._add_hosts(
                        pool, count, listed, spare_pool, evacuated_zones
                    )
                    missing[pool] -= added
                    missing_lasting[pool] -= added
        shortage = any(count > 0 for count in missing.values())
        starving = self._count_starving(missing, listed, spare_pool)
        for pool in pools:
            surplus = 0
            if pool in self.sizes:
                surplus = min(-missing[pool], self.sizes[pool].surplus)
            self._drain_surplus(
                pool, surplus, listed, now_ms, shortage, starving
            )
        self._set_cordoned()
        self._move_drained(
            listed, spare_pool, missing, missing_lasting, evacuated_zones
        )
        self._scheduler.set_workers_expected(
            self._moves.is_any_to_another(spare_pool)
        )

    def _sizes(self, pools, loads, cfg, listed, now_ms):
        """Return the PoolSize of each pool that has work or workers."""
        site = pool_size.Site(
            len(listed),
            len(cfg.pools),
            pool_size.usual_capacity(listed.values()),
        )
        sizes = {}
        for pool in pools:
            if pool not in loads:
                continue
            load = loads[pool]
            if site.has_large_pools:
                sizes[pool] = pool_size.decide(load, site)
            else:
                rise_milli = self._trends[pool].rise_milli(load, now_ms)
                sizes[pool] = pool_size.decide_small(load, site, rise_milli)
        return sizes

    def _count_missing(self, loads):
        """Count the hosts that each pool lacks, without those on their way.

        Args:
            loads: mapping of pool to its PoolLoad.

        Returns:
            Two mappings of pool to the number: for all its tasks, and for its
            lasting tasks alone. A negative number is a surplus.
        """
        missing, missing_lasting = {}, {}
        for pool, size in self.sizes.items():
            load = loads[pool]
            incoming = self._moves.count_incoming(pool)
            missing[pool] = size.lacking - incoming
            missing_lasting[pool] = load.spread - load.workers - incoming
        return missing, missing_lasting

    def _count_awaited(self, missing, listed):
        """Count the drained hosts that pools await for their next turns.

        A host that moves by the spare pool moves twice. What is missing now
        does not wait for them.

        Args:
            missing: mapping of pool to the number of hosts that it lacks.
            listed: mapping of host id to its fleet Host.

        Returns:
            Counter of the hosts, by pool.
        """
        awaited = collections.Counter()
        for pool in sorted(missing, key=missing.get, reverse=True):
            draining = sum(
                1 for host_id in self._draining if listed[host_id].pool != pool
            )
            awaited[pool] = max(
                0,
                min(
                    missing[pool],
                    self.sizes[pool].ahead,
                    draining - awaited.total(),
                ),
            )
        return awaited

    def _count_starving(self, missing, listed, spare_pool):
        """Count the hosts that pools lack for work that is already there.

        Returns:
            The number; 0 while there are spare hosts.
        """
        if any(
            host.pool == spare_pool and self._is_movable(host)
            for host in listed.values()
        ):
            return 0
        return sum(
            max(0, count - self.sizes[pool].guessed)
            for pool, count in missing.items()
        )

    def _log_patterns(self, loads):
        """Log each change of what the forecast of a pool knows."""
        for pool, load in loads.items():
            outlook = load.outlook
            known = outlook.pattern, outlook.period_ms
            if known != self._patterns.get(pool, forecast.NOTHING_KNOWN):
                log.emit(
                    catalogue.FORECAST_CHANGED,
                    pool=pool,
                    pattern=outlook.pattern.value,
                    period_ms=outlook.period_ms,
                    correlation=outlook.correlation,
                )
            self._patterns[pool] = known

    def _set_cordoned(self):
        """Cordon the workers that are drained or whose hosts are moving.

        A host whose move was not answered may still be moving.
        """
        self._scheduler.set_cordoned(
            MOVE_REASON,
            {
                *self._draining.values(),
                *self._moves.worker_ids(),
            },
        )

    def _prune_hosts(self, listed, spare_pool, now_ms):
        """Remove ended and overdue moves, and unlisted draining hosts.

        Without a spare pool no host is drained.
        """
        self._moves.prune(listed, spare_pool, now_ms)
        for host_id in list(self._draining):
            if host_id not in listed or spare_pool is None:
                del self._draining[host_id]

    def _add_hosts(self, pool, count, listed, spare_pool, evacuated_zones):
        """Add hosts to a pool: its own draining hosts, then spare ones.

        A draining host of the pool is uncordoned, which takes no time. Spare
        hosts are chosen from the zones with the fewest hosts of the pool.

        Returns:
            The number of hosts that were added.
        """
        returned = [
            host_id
            for host_id in self._draining
            if listed[host_id].pool == pool
        ][:count]
        for host_id in returned:
            del self._draining[host_id]
        self._set_cordoned()
        added = len(returned)
        zone_counts = self._count_by_zone(pool, listed)
        candidates = [
            host
            for host in listed.values()
            if host.pool == spare_pool
            and host.zone not in evacuated_zones
            and self._is_movable(host)
        ]
        while added < count and candidates and self._orders.can_record():
            chosen = []
            while candidates and added + len(chosen) < count:
                host = min(
                    candidates,
                    key=lambda h: (zone_counts[h.zone], h.host_id),
                )
                candidates.remove(host)
                zone_counts[host.zone] += 1
                chosen.append((host, pool))
            added += sum(self._moves.order_all(chosen))
        return added

    def _count_by_zone(self, pool, listed):
        """Return a Counter of the hosts of a pool in each zone."""
        return collections.Counter(
            host.zone for host in listed.values() if host.pool == pool
        )

    def _is_movable(self, host):
        """Return whether a host is up, not moving, and may get an order."""
        return (
            host.state == fleet.HostState.UP
            and not self._moves.is_moving(host.host_id)
            and self._orders.is_order_allowed(host.host_id)
        )

    def _drain_surplus(
        self, pool, surplus, listed, now_ms, shortage, starving
    ):
        """Choose hosts of a pool to drain after a surplus of keep_ms.

        If any pool lacks hosts, they are chosen at once. A host with lasting
        tasks is chosen only if pool_size.may_interrupt() allows it; the time
        of the surplus then starts again. For a need of other pools, no more
        of these are drained than `starving`, the number of lacking hosts.
        """
        if surplus <= 0:
            self._surplus_since_ms.pop(pool, None)
            return
        since_ms = self._surplus_since_ms.setdefault(pool, now_ms)
        kept_ms = now_ms - since_ms
        if kept_ms < self.sizes[pool].keep_ms and not shortage:
            return
        zone_counts = self._count_by_zone(pool, listed)
        movable = [
            host
            for host in listed.values()
            if host.pool == pool
            and host.worker_id
            and host.host_id not in self._draining
            and self._is_movable(host)
        ]
        worker_ids = {host.worker_id for host in movable}
        schedulable_ids = self._scheduler.schedulable_ids(worker_ids)
        costs = self._scheduler.drain_costs(schedulable_ids)
        candidates = sorted(
            (host for host in movable if host.worker_id in schedulable_ids),
            key=lambda h: (
                *costs[h.worker_id],
                -zone_counts[h.zone],
                h.host_id,
            ),
        )
        drained_ids = {
            worker_id
            for host_id, worker_id in self._draining.items()
            if listed[host_id].pool == pool
        }
        whole_surplus = surplus
        spares_lasting = self.sizes[pool].spares_lasting
        for host in candidates:
            if surplus <= 0 or len(self._draining) >= MAX_DRAINING:
                return
            is_spared = spares_lasting and self._scheduler.has_lasting_tasks(
                host.worker_id
            )
            if is_spared and not pool_size.may_interrupt(
                zone_counts.total(),
                whole_surplus,
                kept_ms,
                # What is drained already serves the need.
                starving > len(self._draining),
            ):
                continue
            # Otherwise they wait until the pool gets another host.
            worker_ids = drained_ids | {host.worker_id}
            if self._scheduler.can_lasting_tasks_leave(worker_ids):
                self._draining[host.host_id] = host.worker_id
                drained_ids = worker_ids
                surplus -= 1
                if is_spared:
                    self._surplus_since_ms[pool] = now_ms

    def _move_drained(
        self, listed, spare_pool, missing, missing_lasting, evacuated_zones
    ):
        """Move drained hosts to the pool that lacks the most hosts.

        Pools whose lasting tasks lack hosts come first. If no pool lacks any,
        or the zone of the host is evacuated, the host moves to the spare pool.
        """
        chosen = []
        for host_id, worker_id in list(self._draining.items()):
            host = listed[host_id]
            if (
                host.worker_id != worker_id
                or host.pool == spare_pool
                or not self._scheduler.has_worker_reported(worker_id)
            ):
                del self._draining[host_id]
                continue
            if not self._scheduler.drain_worker(worker_id):
                continue
            target = max(
                missing,
                key=lambda pool: (missing_lasting[pool] > 0, missing[pool]),
                default=spare_pool,
            )
            if missing.get(target, 0) <= 0 or host.zone in evacuated_zones:
                target = spare_pool
            else:
                missing[target] -= 1
                missing_lasting[target] -= 1
            chosen.append((host, target))
        for (host, _), accepted in zip(chosen, self._moves.order_all(chosen)):
            if accepted:
                del self._draining[host.host_id]

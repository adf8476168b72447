"""Choice of a host for an attempt, and the slots that a pool has."""

import dataclasses
import hashlib
import threading

from figtray.configuration import resources
from figtray.hostlist import base as hostlist_base

# A worker that refused a start as busy is left out for this long, unless a
# task of this entry ends there.
BUSY_PAUSE_MS = 200
# A worker that could not be reached is left out for this long.
UNREACHABLE_PAUSE_MS = 1_000
RAMP_STEPS = 4


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A host that may be used now; `is_probe` tells that it is on trial."""

    host: str
    spec: resources.Host
    is_probe: bool = False


class HostSelector:
    """Hosts of each pool with what this entry knows of them."""

    def __init__(self, slot, cfg, health, clock):
        """Set up.

        Args:
            slot: name of this entry's slot.
            cfg: settings with connections_per_worker and zone_ramp_ms.
            health: the WorkerHealth.
            clock: a Clock.
        """
        self._slot = slot
        self._connections = cfg.connections_per_worker
        self._ramp_ms = cfg.zone_ramp_ms
        self._health = health
        self._clock = clock
        self._lock = threading.Lock()
        self._pools = {}
        self._in_flight = {}
        self._paused_until_ms = {}
        self._leaving = frozenset()
        self._returned_ms = {}

    def on_configuration(self, old, new):
        """Follow a configuration change."""
        zones = new.specs(resources.Kind.ZONE)
        old_zones = old.specs(resources.Kind.ZONE)
        pools = {name: [] for name in new.specs(resources.Kind.POOL)}
        for host, spec in sorted(new.specs(resources.Kind.HOST).items()):
            if is_in_service(new, spec):
                pools[spec.pool].append(Candidate(host, spec))
        with self._lock:
            for name, zone in zones.items():
                before = old_zones.get(name)
                if before and zone.in_service and not before.in_service:
                    self._returned_ms[name] = self._clock.now_ms()
            self._pools = {
                pool: sorted(hosts, key=self._preference)
                for pool, hosts in pools.items()
            }
            for pool, hosts in pools.items():
                self._health.configure(pool, [found.host for found in hosts])

    def on_host_list(self, statuses):
        """Follow the host list, which lags behind the hosts."""
        leaving = frozenset(
            status.host
            for status in statuses
            if status.presence is hostlist_base.HostPresence.LEAVING
        )
        with self._lock:
            self._leaving = leaving

    def is_leaving(self, host):
        """Tell whether the host list says that a host is leaving."""
        return host in self._leaving

    def pools(self):
        """Return the names of the pools."""
        with self._lock:
            return tuple(self._pools)

    def capacity(self, pool):
        """Return the number of slots of a pool that may be used now.

        A zone that returned to service counts in steps, so that its hosts
        do not get a surge of work at once.
        """
        with self._lock:
            unusable = self._unusable(pool)
            return sum(
                self._usable_slots(candidate)
                for candidate in self._pools.get(pool, ())
                if candidate.host not in unusable
            )

    def pick(self, pool, excluded=()):
        """Choose the host with the most free slots as seen from here.

        Args:
            pool: the pool.
            excluded: hosts that must not be used.

        Returns:
            A Candidate, or None. The caller reports the end with ended(),
            or with unused() if it starts nothing there.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            best = None
            best_load = 1.0
            unusable = self._unusable(pool)
            for candidate in self._pools.get(pool, ()):
                host = candidate.host
                if (
                    host in excluded
                    or host in unusable
                    or now_ms < self._paused_until_ms.get(host, 0)
                ):
                    continue
                room = min(self._usable_slots(candidate), self._connections)
                in_flight = self._in_flight.get(host, 0)
                if room and in_flight / room < best_load:
                    best, best_load = candidate, in_flight / room
            if best is not None:
                self._in_flight[best.host] = (
                    self._in_flight.get(best.host, 0) + 1
                )
                if self._health.claim(pool, best.host):
                    best = dataclasses.replace(best, is_probe=True)
            return best

    def unused(self, pool, candidate):
        """Give back a candidate on which nothing was started."""
        if candidate.is_probe:
            self._health.release_probe(pool, candidate.host)
        with self._lock:
            self._in_flight[candidate.host] -= 1

    def ended(self, host, pause_ms=None):
        """Record the end of an attempt.

        Args:
            host: the host of the attempt.
            pause_ms: leave the host out for so long; None means that it
                has a free slot now.
        """
        with self._lock:
            self._in_flight[host] = self._in_flight.get(host, 1) - 1
            if pause_ms is None:
                self._paused_until_ms.pop(host, None)
            else:
                self._paused_until_ms[host] = self._clock.now_ms() + pause_ms

    def describe(self):
        """Return why each host is or is not used, for the debug page."""
        now_ms = self._clock.now_ms()
        with self._lock:
            unusable = {pool: self._unusable(pool) for pool in self._pools}
            return {
                candidate.host: {
                    'pool': pool,
                    'in_flight': self._in_flight.get(candidate.host, 0),
                    'leaving': candidate.host in self._leaving,
                    'usable': candidate.host not in unusable[pool],
                    'usable_slots': self._usable_slots(candidate),
                    'paused_ms': max(
                        0,
                        self._paused_until_ms.get(candidate.host, 0) - now_ms,
                    ),
                }
                for pool, candidates in self._pools.items()
                for candidate in candidates
            }

    def _unusable(self, pool):
        return self._leaving | self._health.unusable(pool)

    def _usable_slots(self, candidate):
        slots = candidate.spec.slots
        returned_ms = self._returned_ms.get(candidate.spec.zone)
        if returned_ms is None:
            return slots
        age_ms = self._clock.now_ms() - returned_ms
        step = 1 + age_ms * RAMP_STEPS // self._ramp_ms
        return slots if step >= RAMP_STEPS else slots * step // RAMP_STEPS

    def _preference(self, candidate):
        # Each entry has its own order, so that entries with equal views do
        # not all try the same host first.
        return hashlib.blake2b(
            f'{self._slot}/{candidate.host}'.encode(), digest_size=8
        ).digest()


def is_in_service(snapshot, spec):
    """Tell whether the configuration allows starts on a host."""
    zone = snapshot.spec(resources.Kind.ZONE, spec.zone)
    return (
        spec.state is resources.HostState.SERVING
        and zone is not None
        and zone.in_service
        and snapshot.spec(resources.Kind.POOL, spec.pool) is not None
    )

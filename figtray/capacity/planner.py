"""The capacity planner: a function from a Situation to a Plan."""

import collections
import functools
import math

from figtray.capacity import budget
from figtray.capacity import maintenance
from figtray.capacity import model
from figtray.configuration import resources

MAX_ACTIONS = 1_000


def plan(situation):
    """Decide what to do next.

    The function keeps no state: what an earlier plan began is read from the
    states of the hosts, so any controller can go on with it. Unavailable
    hosts are charged in the order of model.Charges, and each kind of action
    may use only what the kinds before it have left.

    Args:
        situation: the model.Situation.

    Returns:
        The model.Plan.
    """
    return _Planning(situation).run()


def returning_zones(situation):
    """Return the zones that are ramping up, with the hosts of one step.

    A controller that saw a zone come back names it in `returned_ms`. One
    that took over in the meantime knows it by its released hosts: moves
    never leave most of a zone released.

    Args:
        situation: the model.Situation.

    Returns:
        Mapping of zone to the number of hosts of a step.
    """
    totals = collections.Counter(host.zone for host in situation.hosts)
    released = collections.Counter(
        host.zone
        for host in situation.hosts
        if host.state is resources.HostState.RELEASED
    )
    known = dict(situation.returned_ms)
    return {
        zone: math.ceil(totals[zone] / situation.thresholds.return_steps)
        for zone, count in released.items()
        if zone not in situation.zones_out
        and (zone in known or 2 * count > totals[zone])
    }


class _Planning:
    """One run of the planner."""

    def __init__(self, situation):
        self.situation = situation
        self.thresholds = situation.thresholds
        self.ledger = budget.Ledger(situation)
        self.charges = budget.charge(situation, self.ledger)
        self.pools = {pool.name: pool for pool in situation.pools}
        self.actions = []
        self.available = {pool.name: {} for pool in situation.pools}
        for host in situation.hosts:
            if budget.is_available(host, situation):
                self.available[host.pool][host.name] = host
        # Pool -> number of available hosts of each size. The donor is
        # searched for once for each move, and looking at every host for
        # the smallest would cost most of the plan's time.
        self.sizes = {
            pool: collections.Counter(host.slots for host in hosts.values())
            for pool, hosts in self.available.items()
        }
        # Hosts on their way to another pool, which cover a need later on.
        self.coming = 0
        self.promised = collections.Counter()
        # Slots that present shortages take from a pool's demand.
        self.need = {
            pool.name: max(pool.min_slots, pool.demand)
            for pool in situation.pools
        }

    def run(self):
        """Return the Plan."""
        self._advance()
        self._cover_guarantees()
        # The entries stop using these hosts by themselves, so replacing
        # them comes first: one iteration takes a bounded number of actions.
        self._drain_lost()
        self._follow_operators()
        self._follow_peaks()
        started, blocked = self._maintain()
        uncovered = tuple(
            (pool, -self.ledger.surplus(pool))
            for pool in sorted(self.pools)
            if self.ledger.surplus(pool) < 0
        )
        return model.Plan(
            actions=tuple(self.actions[:MAX_ACTIONS]),
            charges=self.charges,
            forecast=maintenance.forecast(
                self.situation, started, blocked, uncovered
            ),
        )

    def _drain_lost(self):
        situation = self.situation
        for host in situation.hosts:
            if host.state is not resources.HostState.SERVING:
                continue
            if host.zone in situation.zones_out:
                self._append_drain(host, model.Reason.ZONE_OUT)
            elif host.name in situation.leaving:
                self._append_drain(host, model.Reason.LEAVING)

    def _append_drain(self, host, reason):
        self.actions.append(model.StartDrain(host.name, host.pool, reason))

    def _drain(self, host, reason):
        """Start a drain of an available host that is charged already."""
        self._append_drain(host, reason)
        del self.available[host.pool][host.name]
        sizes = self.sizes[host.pool]
        sizes[host.slots] -= 1
        if not sizes[host.slots]:
            del sizes[host.slots]

    def _advance(self):
        """Take the next step of each host that is out of use."""
        situation = self.situation
        due_zone = self._due_zone
        released = []
        for host in situation.hosts:
            state = host.state
            usable = (
                host.zone not in situation.zones_out
                and host.name not in situation.leaving
                and host.name not in situation.failed
            )
            if state is resources.HostState.MAINTENANCE:
                self._advance_maintenance(host)
            elif state is resources.HostState.DRAINING:
                if host.name not in situation.drained:
                    self.coming += usable
                elif usable and self._may_maintain(host, due_zone):
                    # A reboot would cut off a task that reports lack yet; a
                    # move to another pool lets it end.
                    if host.name not in situation.lagging:
                        self.actions.append(model.StartMaintenance(host.name))
                else:
                    self.actions.append(model.Release(host.name))
                    self.coming += usable
            elif state is resources.HostState.RELEASED and usable:
                released.append(host)
        self._assign(released)

    def _advance_maintenance(self, host):
        situation = self.situation
        if host.name in situation.rebooted:
            self.actions.append(model.EndMaintenance(host.name, done=True))
        elif host.name in situation.not_rebooted:
            self.actions.append(
                model.EndMaintenance(
                    host.name, done=False, reason=model.Reason.NOT_REBOOTED
                )
            )

    @functools.cached_property
    def _due_zone(self):
        """The zone of the wave, or None if none may start."""
        situation = self.situation
        if maintenance.blocked_reason(situation):
            return None
        due = [h for h in situation.hosts if maintenance.is_due(h, situation)]
        return maintenance.current_zone(situation, due)

    @functools.cached_property
    def _due_slots(self):
        """Slots of the smallest host of each pool that the wave waits for."""
        slots = {}
        for pool, hosts in self.available.items():
            waiting = [
                host.slots
                for host in hosts.values()
                if host.zone == self._due_zone
                and maintenance.is_due(host, self.situation)
            ]
            if waiting:
                slots[pool] = min(waiting)
        return slots

    def _may_maintain(self, host, due_zone):
        """Tell whether a drained host goes on to its maintenance.

        A host that was drained for a move is maintained on the way if it is
        due and no pool is short of it.
        """
        return (
            host.zone == due_zone
            and not host.wanted_pool
            and maintenance.is_due(host, self.situation)
            and not any(self._shortage(pool) > 0 for pool in self.pools)
        )

    def _shortage(self, pool):
        return self.need[pool] - self.ledger.slots[pool] - self.promised[pool]

    def _assign(self, released):
        allowed = self._return_allowance()
        for host in sorted(released, key=lambda h: (h.zone, h.name)):
            if allowed.get(host.zone, 1) <= 0:
                self.coming += 1
                continue
            if host.zone in allowed:
                allowed[host.zone] -= 1
            pool, reason = self._best_pool(host)
            self.actions.append(model.Assign(host.name, pool, reason))
            self.promised[pool] += host.slots

    def _return_allowance(self):
        """Return how many hosts of each returning zone may serve now."""
        returned_ms = dict(self.situation.returned_ms)
        allowed = {}
        for zone, step in returning_zones(self.situation).items():
            next_ms = returned_ms.get(zone, 0) + self.thresholds.return_step_ms
            rests = next_ms > self.situation.now_ms
            allowed[zone] = 0 if rests else step
        return allowed

    def _best_pool(self, host):
        if host.wanted_pool in self.pools:
            return host.wanted_pool, model.Reason.OPERATOR
        short = [p for p in self.pools if self._lacks(p) > 0]
        if short:
            pool = max(short, key=lambda p: self._assign_rank(p, host))
            return pool, model.Reason.GUARANTEE
        short = [p for p in self.pools if self._shortage(p) > 0]
        if short:
            pool = max(short, key=lambda p: self._assign_rank(p, host))
            return pool, model.Reason.PEAK
        tight = self._tight_pools()
        if tight:
            return min(tight), model.Reason.MAINTENANCE
        return host.pool, model.Reason.RETURN

    def _tight_pools(self):
        """Return the pools that can't give a host to the present wave."""
        return {
            pool
            for pool, slots in self._due_slots.items()
            if self.ledger.surplus(pool) + self.promised[pool] < slots
        }

    def _lacks(self, pool):
        return -self.ledger.surplus(pool) - self.promised[pool]

    def _assign_rank(self, pool, host):
        """Rank the need of a pool, then the spread of its hosts."""
        need = max(self._lacks(pool), self._shortage(pool))
        in_zone = self.ledger.slots_within(pool, ('zone', host.zone))
        in_rack = self.ledger.slots_within(
            pool, ('rack', host.zone, host.rack)
        )
        return math.ceil(need / host.slots), -in_zone, -in_rack, pool

    def _cover_guarantees(self):
        """Reclaim hosts for the pools that are below their guarantee.

        The loss that the budgets provide for may have happened, so these
        moves need not leave cover for a further one.
        """
        for pool in sorted(self.pools, key=self._lacks, reverse=True):
            while self._lacks(pool) > 0:
                if self.coming > 0:
                    self.coming -= 1
                    self.promised[pool] += self.ledger.unit
                    continue
                host = self._donor(pool, floor=self._guaranteed)
                if host is None:
                    break
                self.ledger.remove(host)
                self._drain(host, model.Reason.GUARANTEE)
                self.promised[pool] += host.slots

    def _guaranteed(self, pool):
        return self.pools[pool].min_slots

    def _kept(self, pool):
        """Return the slots that a pool keeps when another asks for some."""
        view = self.pools[pool]
        return max(view.min_slots, view.demand, view.held)

    def _donor(self, receiver, floor):
        """Choose the host that another pool can best do without.

        Spare pools give first, as their hosts have the shortest drain, then
        the pool that needs its hosts least. The host is taken where the
        receiver has the fewest slots, so that its hosts stay spread.

        Args:
            receiver: the pool that gets the host.
            floor: function of a pool; slots that it keeps.

        Returns:
            The HostView, or None.
        """
        best = None
        for pool, hosts in self.available.items():
            if pool == receiver or not hosts:
                continue
            over = self.ledger.slots[pool] - floor(pool)
            rank = (self.pools[pool].spare, over, pool)
            if best is not None and rank <= best[0]:
                continue
            if over >= min(self.sizes[pool]):
                best = rank, pool, over
        if best is None:
            return None
        _, pool, over = best
        fitting = [h for h in self.available[pool].values() if h.slots <= over]
        return min(
            fitting,
            key=lambda h: (
                bool(h.wanted_pool),
                self.ledger.slots_within(receiver, ('zone', h.zone)),
                self.ledger.slots_within(receiver, ('rack', h.zone, h.rack)),
                -self.ledger.slots_within(pool, ('zone', h.zone)),
                h.name,
            ),
        )

    def _may_leave(self, host, floor):
        """Charge a host that its pool can do without, if budgets allow."""
        pool = host.pool
        if self.ledger.slots[pool] - host.slots < floor(pool):
            return False
        return self.ledger.take(host)

    def _follow_operators(self):
        for host in self.situation.hosts:
            if host.wanted_pool in ('', host.pool):
                continue
            if host.name not in self.available[host.pool]:
                continue
            if self._may_leave(host, self._guaranteed):
                self._drain(host, model.Reason.OPERATOR)

    def _follow_peaks(self):
        """Lend hosts to the pools whose demand exceeds their slots."""
        short = [p for p in sorted(self.pools) if self._shortage(p) > 0]
        while short:
            pool = max(short, key=self._shortage)
            if self.coming > 0:
                self.coming -= 1
                self.promised[pool] += self.ledger.unit
            else:
                host = self._donor(pool, floor=self._kept)
                if (
                    host is None
                    or not self._pays(pool, host)
                    or not self.ledger.take(host)
                ):
                    short.remove(pool)
                    continue
                self._drain(host, model.Reason.PEAK)
                self.promised[pool] += host.slots
            if self._shortage(pool) <= 0:
                short.remove(pool)

    def _pays(self, pool, host):
        """Tell whether a move gains more slot-time than its drain costs."""
        thresholds = self.thresholds
        gained = min(self._shortage(pool), host.slots) * thresholds.interval_ms
        cost = host.slots * self.situation.drain_ms
        return gained > thresholds.pay_factor * cost

    def _maintain(self):
        """Start as many drains for maintenance as all budgets allow.

        Returns:
            (number of drains, why none can start or an empty string).
        """
        situation = self.situation
        blocked = maintenance.blocked_reason(situation)
        if blocked:
            return 0, blocked
        due = [h for h in situation.hosts if maintenance.is_due(h, situation)]
        zone = maintenance.current_zone(situation, due)
        busy = collections.Counter(
            host.rack
            for host in situation.hosts
            if host.zone == zone
            and host.state is not resources.HostState.SERVING
        )
        candidates = [
            host
            for host in due
            if host.zone == zone
            and host.name in self.available.get(host.pool, ())
        ]
        started = 0
        for host in maintenance.spread_over_racks(candidates, busy):
            if self._may_leave(host, self._kept):
                self._drain(host, model.Reason.MAINTENANCE)
                started += 1
        if candidates and not started and not self._make_room():
            blocked = 'the budgets are used up'
        return started, blocked

    def _make_room(self):
        """Lend a host to each pool that can't give one to the wave.

        Returns:
            True if a host is lent or on its way.
        """
        is_lent = False
        for pool in sorted(self._tight_pools()):
            if self.coming > 0:
                self.coming -= 1
                is_lent = True
                continue
            host = self._donor(pool, floor=self._kept)
            if host is not None and self.ledger.take(host):
                self._drain(host, model.Reason.MAINTENANCE)
                is_lent = True
        return is_lent

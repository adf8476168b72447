"""View of the demand of all entries and this entry's portions of slots."""

import dataclasses
import math
import threading

from figtray.shares import allocation

# A peer not heard from for this long gets no portion for further demand
# (docs/design.md, 3.6; the same bound as that of the serving right).
STALE_MS = 2500
# Period in which remainders of slots move on to other teams and entries.
# Ten turns in a window of 10 s keep the rounding error of a share of 6.4
# slots below 2 %.
TURN_MS = 1000
# A pool's portions are computed at least this often, as peers become stale
# and turns pass without any message.
RECOMPUTE_MS = 200
# Least time between two computations for a pool that is full anyway.
SATURATED_RECOMPUTE_MS = 10
# Demands (one for each team and entry) that lengthen this time by 1 ms, as the
# computation takes about 6 us for each.
DEMANDS_PER_MS = 10
# Time in which a team that got less than its share catches up, and time
# after which it is forgotten.
SETTLE_MS = 2000
FORGET_MS = 10_000
# Weight of the latest task in the mean run time of a pool.
_RUN_TIME_GAIN = 0.05
# Part by which a team's demand must change to be worth an early heartbeat.
SIGNIFICANT_CHANGE = 0.25


@dataclasses.dataclass(frozen=True)
class TeamDemand:
    """Running and queued requests of one team at one entry.

    `urgent` counts the urgent ones among the running and queued ones.
    `used_ms` is the time that slots were taken since the entry's start,
    added up over the slots.
    """

    team: str
    running: int
    queued: int
    urgent: int = 0
    used_ms: int = 0


@dataclasses.dataclass(frozen=True)
class PoolDemand:
    """Demand for one pool at one entry; teams without any are left out."""

    pool: str
    teams: tuple[TeamDemand, ...]


@dataclasses.dataclass(frozen=True)
class DemandReport:
    """Demand of one entry, as sent with each heartbeat.

    `shared_ms` is the sender's count of the time that all entries share for
    their rounding turns.
    """

    shared_ms: int
    pools: tuple[PoolDemand, ...] = ()


@dataclasses.dataclass(frozen=True)
class TeamShare:
    """Weight of a team and its upper limit of running tasks."""

    weight: int
    limit: int


class _Counts:
    """Own requests of a team for a pool, by state and class."""

    __slots__ = (
        'running',
        'queued',
        'urgent_running',
        'urgent_queued',
        'used_ms',
        'changed_ms',
    )

    def __init__(self, now_ms):
        self.used_ms = 0
        self.changed_ms = now_ms
        self.running = 0
        self.queued = 0
        self.urgent_running = 0
        self.urgent_queued = 0

    def change_running(self, now_ms, change):
        """Count a start or an end and the slot time before it."""
        self.used_ms += self.running * (now_ms - self.changed_ms)
        self.changed_ms = now_ms
        self.running = max(0, self.running + change)

    def demand(self, team, now_ms):
        self.change_running(now_ms, 0)
        return TeamDemand(
            team,
            self.running,
            self.queued,
            self.urgent_running + self.urgent_queued,
            self.used_ms,
        )


class _Pool:
    """State and last computed portions of one pool."""

    def __init__(self):
        self.capacity = 0
        self.teams = {}
        self.own = {}
        self.mean_run_ms = 0.0
        self.arrived = 0
        self.is_dirty = True
        self.computed_ms = None
        self.is_saturated = False
        self.pause_ms = 0
        self.mine = {}
        self.totals = {}
        self.elsewhere = {}
        self.fair = {}
        # Slot-ms by which each team got less than its fair share lately.
        self.missed = {}
        self.used = {}
        # Slots that no other entry runs, or has a portion of.
        self.unclaimed = 0
        self.known_teams = frozenset()
        self.sent = {}
        self.sent_ms = 0

    def counts(self, team, now_ms):
        counts = self.own.get(team)
        if counts is None:
            counts = self.own[team] = _Counts(now_ms)
        return counts


class ShareView:
    """Decides whether this entry may start a request of a team now.

    All entries that hold the same reports compute the same portions, so the
    portions of all entries add up to the capacity of the pool. The owner
    tells the view of each request that is queued, removed, started or
    ended; hears the reports of the peers; and sends its own report.

    Thread safe. All counts are of requests, which take one slot each.
    """

    def __init__(self, clock, slot):
        """Create a view without pools.

        Args:
            clock: a Clock.
            slot: name of this entry's slot.
        """
        self._clock = clock
        self._slot = slot
        self._lock = threading.Lock()
        self._pools = {}
        self._peers = {}
        self._shared_origin_ms = clock.now_ms()

    def configure(self, pool, capacity, teams):
        """Set the capacity and the teams of a pool.

        Args:
            pool: name of the pool.
            capacity: number of worker slots in service.
            teams: mapping of team to its TeamShare. A team that is missing
                here gets no portion.
        """
        with self._lock:
            state = self._pools.setdefault(pool, _Pool())
            if (state.capacity, state.teams) != (capacity, teams):
                state.capacity = capacity
                state.teams = dict(teams)
                state.is_dirty = True
                state.is_saturated = False

    def arrived(self, pool):
        """Count a request before it is queued or refused."""
        with self._lock:
            state = self._pools.get(pool)
            if state is not None:
                state.arrived += 1

    def arrivals(self):
        """Return the requests that arrived so far for each pool."""
        with self._lock:
            return {name: state.arrived for name, state in self._pools.items()}

    def queued(self, pool, team, urgent=False, count=1):
        """Count requests that were added to the queues."""
        with self._lock:
            counts = self._own(pool, team)
            counts.queued += count
            if urgent:
                counts.urgent_queued += count

    def removed(self, pool, team, urgent=False, count=1):
        """Count requests that left the queues without a start."""
        with self._lock:
            counts = self._own(pool, team)
            counts.queued = max(0, counts.queued - count)
            if urgent:
                counts.urgent_queued = max(0, counts.urgent_queued - count)

    def started(self, pool, team, urgent=False):
        """Count a request that left the queue and takes a slot."""
        with self._lock:
            counts = self._own(pool, team)
            counts.queued = max(0, counts.queued - 1)
            counts.change_running(self._clock.now_ms(), 1)
            if urgent:
                counts.urgent_queued = max(0, counts.urgent_queued - 1)
                counts.urgent_running += 1

    def ended(self, pool, team, urgent=False, run_ms=None):
        """Count a started request that no longer takes a slot.

        Args:
            pool: name of the pool.
            team: name of the team.
            urgent: class of the request.
            run_ms: how long the task ran, or None if it did not run.
        """
        with self._lock:
            counts = self._own(pool, team)
            counts.change_running(self._clock.now_ms(), -1)
            if urgent:
                counts.urgent_running = max(0, counts.urgent_running - 1)
            if run_ms is not None:
                state = self._pools[pool]
                gain = _RUN_TIME_GAIN if state.mean_run_ms else 1
                state.mean_run_ms += gain * (run_ms - state.mean_run_ms)

    def hear(self, slot, report):
        """Take the report of a peer.

        Args:
            slot: name of the peer's slot.
            report: its DemandReport, in the order in which it was sent.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            if report.shared_ms > now_ms - self._shared_origin_ms:
                self._shared_origin_ms = now_ms - report.shared_ms
            pools = {
                entry.pool: {demand.team: demand for demand in entry.teams}
                for entry in report.pools
            }
            _heard_ms, before = self._peers.get(slot, (0, {}))
            self._peers[slot] = (now_ms, pools)
            for pool in pools.keys() | before.keys():
                if pool in self._pools:
                    self._pools[pool].is_dirty = True

    def report(self):
        """Return the DemandReport to send, and note it as sent."""
        with self._lock:
            report = self._report()
            sent = {pool.pool: pool.teams for pool in report.pools}
            for name, state in self._pools.items():
                state.sent = {d.team: d for d in sent.get(name, ())}
                state.sent_ms = self._clock.now_ms()
                state.is_dirty = True
            return report

    def peek(self):
        """Return the DemandReport of now without noting it as sent."""
        with self._lock:
            return self._report()

    def is_report_due(self):
        """Tell whether demand has changed enough for an early report."""
        with self._lock:
            return any(
                _is_significant(state.sent.get(team), counts)
                for state in self._pools.values()
                for team, counts in state.own.items()
            )

    def may_start(self, pool, team, urgent=False):
        """Tell whether a request may start now.

        Args:
            pool: name of the pool.
            team: name of the team.
            urgent: class of the request. A normal request does not use a
                portion that urgent requests of the team wait for.

        Returns:
            True below this entry's portion, and above it while the pool has
            idle slots that no team is owed.
        """
        with self._lock:
            state = self._pools.get(pool)
            if state is None or team not in state.teams:
                return False
            counts = state.counts(team, self._clock.now_ms())
            kept = 0 if urgent else counts.urgent_queued
            self._refresh(state, pool, team)
            if counts.running + kept < state.mine.get(team, 0):
                return True
            if counts.running >= state.teams[team].limit:
                return False
            return self._idle(state) > kept

    def owed(self, pool, team):
        """Return the number of slots that this entry may still take."""
        with self._lock:
            state = self._pools.get(pool)
            if state is None or team not in state.teams:
                return 0
            self._refresh(state, pool, team)
            mine = state.mine.get(team, 0)
            return max(
                0, mine - state.counts(team, self._clock.now_ms()).running
            )

    def order(self, items):
        """Sort waiting work so that the team furthest below its share leads.

        A freed slot goes to the first team that may start, so a fixed order
        would favour the first names.

        Args:
            items: objects with `pool` and `team`.

        Returns:
            Sorted list.
        """
        with self._lock:
            return sorted(items, key=self._fill)

    def _fill(self, item):
        state = self._pools.get(item.pool)
        if state is None or item.team not in state.teams:
            return 1.0, item.pool, item.team
        self._refresh(state, item.pool, item.team)
        running = state.counts(item.team, self._clock.now_ms()).running
        running += state.elsewhere.get(item.team, 0)
        total = state.totals.get(item.team, 0)
        return (running + 1) / (total + 1), item.pool, item.team

    def total(self, pool, team):
        """Return the slots that the team is allocated over all entries."""
        with self._lock:
            state = self._pools.get(pool)
            if state is None or team not in state.teams:
                return 0
            self._refresh(state, pool, team)
            return state.totals.get(team, 0)

    def run_times(self):
        """Return the mean run time in milliseconds of each pool."""
        with self._lock:
            return {
                name: state.mean_run_ms
                for name, state in self._pools.items()
                if state.mean_run_ms
            }

    def portion(self, pool, team):
        """Return the slots of the team that this entry is allocated."""
        with self._lock:
            state = self._pools.get(pool)
            if state is None or team not in state.teams:
                return 0
            self._refresh(state, pool, team)
            return state.mine.get(team, 0)

    def _report(self):
        now_ms = self._clock.now_ms()
        pools = []
        for name, state in sorted(self._pools.items()):
            teams = tuple(
                counts.demand(team, now_ms)
                for team, counts in sorted(state.own.items())
                if counts.running or counts.queued
            )
            if teams:
                pools.append(PoolDemand(name, teams))
        return DemandReport(now_ms - self._shared_origin_ms, tuple(pools))

    def _own(self, pool, team):
        state = self._pools.setdefault(pool, _Pool())
        state.is_dirty = True
        return state.counts(team, self._clock.now_ms())

    def _refresh(self, state, pool, team):
        """Compute the portions again if they may have changed."""
        now_ms = self._clock.now_ms()
        if state.computed_ms is not None:
            age_ms = now_ms - state.computed_ms
            if age_ms < RECOMPUTE_MS:
                if not state.is_dirty:
                    return
                if (
                    state.is_saturated
                    and team in state.known_teams
                    and age_ms < state.pause_ms
                ):
                    return
        self._compute(state, pool, now_ms)

    def _compute(self, state, pool, now_ms):
        turn = (now_ms - self._shared_origin_ms) // TURN_MS
        live = {}
        stale = {}
        ages_ms = {self._slot: now_ms - state.sent_ms}
        for slot, (heard_ms, pools) in self._peers.items():
            age_ms = now_ms - heard_ms
            if age_ms <= STALE_MS:
                live[slot] = pools.get(pool, {})
                ages_ms[slot] = age_ms
            else:
                stale[slot] = _still_running(
                    pools.get(pool, {}), age_ms, state.mean_run_ms
                )
        # Peers compute with the last report, so this entry does the same;
        # else each request that arrives would move portions back and forth.
        if live:
            live[self._slot] = state.sent
        else:
            live[self._slot] = self._own_demand(state, now_ms)
            ages_ms[self._slot] = 0
        teams = _sum_by_team([*live.values(), *stale.values()], state.teams)
        used = {
            (slot, t): demand.used_ms + demand.running * ages_ms[slot]
            for slot, demands in live.items()
            for t, demand in demands.items()
        }
        held = {
            t: sum(d[t].running for d in stale.values() if t in d)
            for t in teams
        }
        self._account(state, teams, used, held, now_ms)
        owed = {t: ms / SETTLE_MS for t, ms in state.missed.items()}
        totals = allocation.allocate(
            state.capacity, teams.values(), turn, owed
        )
        # Urgent demand gets its part first, so that an entry with an urgent
        # request is not left out because others have more normal demand.
        free = {t: max(0, totals[t] - held[t]) for t in totals}
        urgent_wanted = {
            slot: {t: d.urgent for t, d in demands.items()}
            for slot, demands in live.items()
        }
        normal_wanted = {
            slot: {
                t: d.running + d.queued - d.urgent for t, d in demands.items()
            }
            for slot, demands in live.items()
        }
        urgent = allocation.portions(free, urgent_wanted, turn)
        for parts in urgent.values():
            for team, part in parts.items():
                free[team] -= part
        normal = allocation.portions(free, normal_wanted, turn)
        state.mine = {
            t: urgent[self._slot].get(t, 0) + normal[self._slot].get(t, 0)
            for t in totals
        }
        state.totals = totals
        state.elsewhere = {
            t: teams[t].running - state.counts(t, now_ms).running
            for t in totals
        }
        kept = sum(held.values())
        for slot, demands in live.items():
            if slot != self._slot:
                kept += sum(
                    max(
                        demand.running,
                        urgent[slot].get(t, 0) + normal[slot].get(t, 0),
                    )
                    for t, demand in demands.items()
                )
        state.unclaimed = state.capacity - kept
        state.is_saturated = sum(totals.values()) >= state.capacity
        state.pause_ms = SATURATED_RECOMPUTE_MS + (
            sum(map(len, live.values())) // DEMANDS_PER_MS
        )
        state.known_teams = frozenset(state.own)
        state.is_dirty = False
        state.computed_ms = now_ms

    @staticmethod
    def _account(state, teams, used, held, now_ms):
        """Add up what each team got less than its share since last time.

        A team without demand has no share, so its idle time earns nothing.
        After a pause in the computations nothing is added, as what was fair
        meanwhile is not known.

        Args:
            state: the pool.
            teams: mapping of team to its Demand.
            used: mapping of (live entry, team) to its slot time so far.
            held: mapping of team to the slots that stale entries still use.
            now_ms: the time.
        """
        if state.computed_ms is not None:
            past_ms = now_ms - state.computed_ms
            kept = math.exp(-past_ms / FORGET_MS)
            missed = {t: kept * state.missed.get(t, 0.0) for t in teams}
            if past_ms <= 2 * RECOMPUTE_MS:
                for team in teams:
                    share = state.fair.get(team, 0.0) - held[team]
                    missed[team] += share * past_ms
                for place, used_ms in used.items():
                    if place in state.used and place[1] in missed:
                        missed[place[1]] -= used_ms - state.used[place]
            state.missed = missed
        state.used = used
        state.fair = allocation.fair_shares(state.capacity, teams.values())

    @staticmethod
    def _own_demand(state, now_ms):
        return {
            team: counts.demand(team, now_ms)
            for team, counts in state.own.items()
            if counts.running or counts.queued
        }

    @staticmethod
    def _idle(state):
        """Slots left when every portion and every running task is kept."""
        return state.unclaimed - sum(
            max(counts.running, state.mine.get(team, 0))
            for team, counts in state.own.items()
        )


def _still_running(demands, age_ms, mean_run_ms):
    """Estimate what a stale peer still runs; it starts nothing more.

    Its tasks are taken to end at the rate of the pool's run times. An
    estimate that is too low costs only a `busy` refusal by a worker, while
    one that is too high leaves slots idle for as long as the peer is frozen.
    """
    left = math.exp(-age_ms / mean_run_ms) if mean_run_ms else 1.0
    running = {t: round(d.running * left) for t, d in demands.items()}
    return {
        team: TeamDemand(team, count, 0, min(demands[team].urgent, count))
        for team, count in running.items()
        if count
    }


def _sum_by_team(entries, shares):
    """Return the Demand over all entries of each configured team."""
    sums = {}
    for demands in entries:
        for team, demand in demands.items():
            if team not in shares:
                continue
            total = sums.setdefault(team, [0, 0, 0])
            total[0] += demand.running
            total[1] += demand.queued
            total[2] += demand.urgent
    return {
        team: allocation.Demand(
            team, shares[team].weight, shares[team].limit, *total
        )
        for team, total in sums.items()
    }


def _is_significant(sent, counts):
    """Tell whether own counts differ much from what was reported."""
    demand = counts.running + counts.queued
    urgent = counts.urgent_running + counts.urgent_queued
    if sent is None:
        return demand > 0
    if urgent > sent.urgent and counts.urgent_queued:
        return True
    before = sent.running + sent.queued
    return abs(demand - before) > max(1, SIGNIFICANT_CHANGE * before)

"""Experiments on shares and urgent starts with the real share and queue code.

One pool of slots stands for the workers: it accepts a start while a slot is
free and refuses it as busy otherwise. Entries exchange reports with a delay
over a manual clock; nothing here depends on the speed of the machine.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import json
import math
import pathlib
import random
import statistics

from figtray import clock as clock_lib
from figtray.load import histogram
from figtray.queues import queueset
from figtray.shares import allocation
from figtray.shares import view as view_lib

POOL = 'pool'
QUEUE = 'queue'
HEARTBEAT_MS = 1000
HOUSEKEEPING_MS = 100
TICK_MS = 20
# As in figtray/dispatch/selection.py: an entry whose start was refused as
# busy waits for this long or for the end of one of its own tasks.
BUSY_PAUSE_MS = 200
SAMPLE_MS = 50
WINDOW_MS = 10_000
WINDOW_STEP_MS = 1000
WARM_UP_MS = 5000
DEADLINE_MS = 30_000


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Conditions of one experiment; all loads are for one pool.

    `load` is the offered work as a multiple of what the slots can do. With
    `peaks`, the demand of each team rises and falls in turn between 5 times
    and a twentieth of its mean.
    """

    name: str
    entries: int
    slots: int
    weights: tuple[int, ...]
    load: float
    mean_run_ms: float
    peaks: bool = False
    frozen: bool = False
    urgent_part: float = 0.0
    net_ms: int = 2
    duration_ms: int = 60_000
    frozen_from_ms: int = 20_000
    frozen_until_ms: int = 40_000


@dataclasses.dataclass(frozen=True)
class Row:
    """Result of one scenario under one policy, over all seeds."""

    scenario: str
    policy: str
    seeds: int
    windows: int
    worst_deviation: float
    p99_deviation: float
    use: float
    busy_per_start: float
    urgent_p99_ms: float
    normal_p99_ms: float


# Delta Sludge Haulers Co-operative: 8 workers with 8 slots per service.
CO_OPERATIVE = Scenario(
    'co-operative', 9, 64, (4, 3, 2, 1, 1, 1), load=2.0, mean_run_ms=400
)
# Himal Grid Connections Bureau: 6 workers with 8 slots per desk.
BUREAU = Scenario('bureau', 8, 48, (3, 3, 1, 1, 1, 1), 2.0, 400, net_ms=3)


def scenarios():
    """Yield the scenarios of both deployments."""
    for base in (CO_OPERATIVE, BUREAU):
        yield _variant(base, 'full load')
        yield _variant(base, 'one frozen', frozen=True)
        yield _variant(base, 'peaks', peaks=True, load=1.2)
        yield _variant(
            base, 'peaks, one frozen', peaks=True, load=1.2, frozen=True
        )
        yield _variant(base, 'tasks of 2 s', mean_run_ms=2000)
        yield _variant(base, 'urgent', urgent_part=0.05)
        yield _variant(
            base, 'urgent, tasks of 2 s', urgent_part=0.05, mean_run_ms=2000
        )


def _variant(base, name, **changes):
    return dataclasses.replace(base, name=f'{base.name}: {name}', **changes)


class Slots:
    """The slots of the pool, with the running tasks of each team."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.running = collections.Counter()
        self.busy = 0
        self.starts = 0

    def start(self, team):
        """Take a slot; False if all are taken."""
        if self.running.total() >= self.capacity:
            self.busy += 1
            return False
        self.running[team] += 1
        self.starts += 1
        return True

    def end(self, team):
        """Free a slot."""
        self.running[team] -= 1


class Policy:
    """Order in which an entry offers its waiting requests to the pool."""

    name = ''

    def __init__(self, weights):
        self.weights = weights
        self.running = collections.Counter()

    def next_class(self, entry, waiting):
        """Return (team, urgent) to start next, or None."""
        raise NotImplementedError


class Shared(Policy):
    """The portions of the share view; urgent requests first."""

    name = 'figtray'

    def next_class(self, entry, waiting):
        waiting = entry.view.order(waiting)
        for urgent in (True, False):
            for item in waiting:
                count = item.urgent if urgent else item.normal
                if count and entry.view.may_start(POOL, item.team, urgent):
                    return item.team, urgent
        return None


class LocalFair(Policy):
    """Each entry is fair by itself: least running per weight first."""

    name = 'fair in each entry'

    def next_class(self, entry, waiting):
        if not waiting:
            return None
        item = min(
            waiting,
            key=lambda w: self.running[w.team] / self.weights[w.team],
        )
        return item.team, bool(item.urgent)


class FirstCome(Policy):
    """No view of shares: first come, first served."""

    name = 'first come'

    def next_class(self, entry, waiting):
        heads = [
            (entry.arrivals[item.team, urgent][0], item.team, urgent)
            for item in waiting
            for urgent in (True, False)
            if (item.urgent if urgent else item.normal)
        ]
        return min(heads)[1:] if heads else None


POLICIES = (Shared, LocalFair, FirstCome)


class Entry:
    """An entry with its queues, its view and its policy."""

    def __init__(self, world, slot, policy):
        self.world = world
        self.slot = slot
        self.policy = policy
        self.is_frozen = False
        self.paused_until_ms = 0
        self.missed = []
        self.heard_ms = {}
        # Arrival times of waiting requests, for first come first served.
        self.arrivals = collections.defaultdict(collections.deque)
        self.queues = queueset.QueueSet(world.clock)
        self.queues.configure(QUEUE, POOL, 100_000)
        self.view = view_lib.ShareView(world.clock, slot)
        self.view.configure(
            POOL,
            world.scenario.slots,
            {
                team: view_lib.TeamShare(weight, 1_000_000)
                for team, weight in world.weights.items()
            },
        )

    def submit(self, request):
        """Queue a request and start what may start."""
        if self.queues.add(request) is None:
            self.view.queued(POOL, request.team, request.urgent)
            self.arrivals[request.team, request.urgent].append(
                request.enqueued_ms
            )
            self.step()

    def hear(self, slot, report):
        """Take a report of a peer."""
        if not self.is_frozen:
            self.heard_ms[slot] = self.world.clock.now_ms()
            self.view.hear(slot, report)
            self.step()

    def ended(self, request, run_ms):
        """Settle the end of a task."""
        if self.is_frozen:
            self.missed.append((request, run_ms))
            return
        self.queues.ended(request.task_id, run_ms)
        self.view.ended(POOL, request.team, request.urgent, run_ms)
        self.policy.running[request.team] -= 1
        self.paused_until_ms = 0
        self.step()

    def resume(self):
        """Go on after a freeze."""
        self.is_frozen = False
        for request, run_ms in self.missed:
            self.ended(request, run_ms)
        self.missed = []

    def is_serving(self):
        """Tell whether a majority of the entries was heard recently."""
        now_ms = self.world.clock.now_ms()
        fresh = sum(
            now_ms - heard_ms <= view_lib.STALE_MS
            for heard_ms in self.heard_ms.values()
        )
        return fresh + 1 > self.world.scenario.entries // 2

    def step(self):
        """Start whatever the policy and the pool allow."""
        now_ms = self.world.clock.now_ms()
        if self.is_frozen or now_ms < self.paused_until_ms:
            return
        if not self.is_serving():
            return
        for late in self.queues.expire():
            self.view.removed(POOL, late.team, late.urgent)
            self.arrivals[late.team, late.urgent].popleft()
        while True:
            choice = self.policy.next_class(self, self.queues.waiting())
            if choice is None:
                return
            team, urgent = choice
            if not self.world.slots.start(team):
                self.paused_until_ms = now_ms + BUSY_PAUSE_MS
                return
            request = self.queues.take(POOL, team, urgent)
            self.arrivals[team, urgent].popleft()
            self.policy.running[team] += 1
            self.view.started(POOL, team, urgent)
            self.world.started(self, request)


class World:
    """One run: events in the order of time, and the measures."""

    def __init__(self, scenario, policy, seed):
        self.scenario = scenario
        self.rng = random.Random(f'{scenario.name}/{seed}')
        self.clock = clock_lib.ManualClock(0)
        self.events = []
        self.order = itertools.count()
        self.weights = {
            f'team-{n}': weight for n, weight in enumerate(scenario.weights)
        }
        self.slots = Slots(scenario.slots)
        self.entries = [
            Entry(self, f'entry-{n + 1}', policy(self.weights))
            for n in range(scenario.entries)
        ]
        self.samples = []
        self.waits = {
            True: histogram.Histogram(),
            False: histogram.Histogram(),
        }
        self.task_ids = itertools.count()

    def at(self, delay_ms, function, *args):
        """Call a function after a delay."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (due_ms, next(self.order), function, args))

    def run(self):
        """Run all events up to the end of the scenario."""
        for number, team in enumerate(self.weights):
            spread = _spread(self.rng, number, len(self.entries))
            self.at(0, self.arrive, number, team, spread)
        for entry in self.entries:
            self.at(self.rng.uniform(0, HEARTBEAT_MS), self.beat, entry)
            self.at(self.rng.uniform(0, TICK_MS), self.tick, entry)
            self.at(
                self.rng.uniform(0, HOUSEKEEPING_MS), self.keep_house, entry
            )
        self.at(SAMPLE_MS, self.sample)
        if self.scenario.frozen:
            frozen = self.rng.choice(self.entries)
            self.at(self.scenario.frozen_from_ms, self.freeze, frozen)
            self.at(self.scenario.frozen_until_ms, frozen.resume)
        while self.events[0][0] < self.scenario.duration_ms:
            due_ms, _order, function, args = heapq.heappop(self.events)
            self.clock.advance(due_ms - self.clock.now_ms())
            function(*args)

    def freeze(self, entry):
        """Stop an entry; its tasks go on."""
        entry.is_frozen = True

    def arrive(self, number, team, spread):
        """Submit a request of a team and plan the next one."""
        now_ms = self.clock.now_ms()
        weights = self.weights
        scenario = self.scenario
        # All teams offer the same multiple of their share.
        share = scenario.slots * weights[team] / sum(weights.values())
        rate = scenario.load * share / scenario.mean_run_ms
        highest = 5.0 if scenario.peaks else 1.0
        self.at(
            self.rng.expovariate(rate * highest),
            self.arrive,
            number,
            team,
            spread,
        )
        if scenario.peaks:
            place = (now_ms / 30_000 - number / len(weights)) % 1
            factor = 5.0 if place < 0.192 else 0.05
            if self.rng.random() * highest >= factor:
                return
        (entry,) = self.rng.choices(self.entries, spread)
        if entry.is_frozen:
            return
        entry.submit(
            queueset.QueuedRequest(
                task_id=str(next(self.task_ids)),
                queue=QUEUE,
                pool=POOL,
                team=team,
                key_id='',
                urgent=self.rng.random() < scenario.urgent_part,
                enqueued_ms=now_ms,
                deadline_ms=now_ms + DEADLINE_MS,
                size_bytes=0,
            )
        )

    def started(self, entry, request):
        """Run a task for a time that nobody knows before."""
        if self.clock.now_ms() >= WARM_UP_MS:
            wait_ms = self.clock.now_ms() - request.enqueued_ms
            self.waits[request.urgent].add(wait_ms)
        # Lognormal with sigma 1: one task in 100 takes ten times the median.
        mean_ms = self.scenario.mean_run_ms
        run_ms = self.rng.lognormvariate(math.log(mean_ms) - 0.5, 1)
        self.at(run_ms, self.end, entry, request, run_ms)

    def end(self, entry, request, run_ms):
        """End a task, also that of a frozen entry."""
        self.slots.end(request.team)
        entry.ended(request, run_ms)

    def tick(self, entry):
        """Run the idle loop of an entry's dispatcher."""
        self.at(TICK_MS, self.tick, entry)
        entry.step()

    def beat(self, entry):
        """Send a heartbeat to all peers."""
        self.at(HEARTBEAT_MS, self.beat, entry)
        self.send_report(entry)

    def keep_house(self, entry):
        """Send a report early if the demand has changed much."""
        self.at(HOUSEKEEPING_MS, self.keep_house, entry)
        if entry.view.is_report_due():
            self.send_report(entry)

    def send_report(self, entry):
        """Send the demand of an entry to all peers."""
        if entry.is_frozen:
            return
        report = entry.view.report()
        for peer in self.entries:
            if peer is not entry:
                delay_ms = self.scenario.net_ms * self.rng.uniform(0.5, 1.5)
                self.at(delay_ms, peer.hear, entry.slot, report)

    def sample(self):
        """Note what each team uses and what its fair share is."""
        self.at(SAMPLE_MS, self.sample)
        queued = collections.Counter()
        for entry in self.entries:
            if not entry.is_frozen:
                for item in entry.queues.waiting():
                    queued[item.team] += item.urgent + item.normal
        running = dict(self.slots.running)
        fair = allocation.fair_shares(
            self.scenario.slots,
            [
                allocation.Demand(
                    team,
                    weight,
                    1_000_000,
                    running.get(team, 0),
                    queued[team],
                )
                for team, weight in self.weights.items()
            ],
        )
        if self.clock.now_ms() >= WARM_UP_MS:
            self.samples.append(
                {
                    team: (
                        running.get(team, 0),
                        fair[team],
                        running.get(team, 0) + queued[team] > fair[team] + 0.5,
                    )
                    for team in self.weights
                }
            )

    def deviations(self):
        """Return the deviation of each backlogged team in each window."""
        size = WINDOW_MS // SAMPLE_MS
        step = WINDOW_STEP_MS // SAMPLE_MS
        found = []
        for start in range(0, len(self.samples) - size + 1, step):
            window = self.samples[start : start + size]
            for team in self.weights:
                if all(sample[team][2] for sample in window):
                    used = sum(sample[team][0] for sample in window)
                    fair = sum(sample[team][1] for sample in window)
                    found.append(abs(used - fair) / fair)
        return found

    def use(self):
        """Return the mean part of the slots in use."""
        return statistics.fmean(
            sum(running for running, _fair, _is_full in sample.values())
            / self.scenario.slots
            for sample in self.samples
        )


def _spread(rng, number, count):
    """Return the weights with which a team's requests reach the entries.

    Small teams hold few connections, so they reach only a part of them.
    """
    weights = [rng.uniform(0.5, 1.5) for _ in range(count)]
    if number >= 3:
        for index in rng.sample(range(count), count - 3):
            weights[index] = 0
    return weights


def measure(scenario, policy, seeds):
    """Run a scenario under a policy with several seeds.

    Args:
        scenario: the Scenario.
        policy: a subclass of Policy.
        seeds: iterable of seeds.

    Returns:
        A Row.
    """
    worlds = []
    for seed in seeds:
        world = World(scenario, policy, seed)
        world.run()
        worlds.append(world)
    found = sorted(d for world in worlds for d in world.deviations())
    waits = {}
    for urgent in (True, False):
        waits[urgent] = histogram.Histogram()
        for world in worlds:
            waits[urgent].merge(world.waits[urgent])
    starts = sum(world.slots.starts for world in worlds)
    return Row(
        scenario=scenario.name,
        policy=policy.name,
        seeds=len(worlds),
        windows=len(found),
        worst_deviation=found[-1] if found else 0.0,
        p99_deviation=found[int(len(found) * 0.99)] if found else 0.0,
        use=statistics.fmean(world.use() for world in worlds),
        busy_per_start=sum(w.slots.busy for w in worlds) / max(1, starts),
        urgent_p99_ms=waits[True].quantile(0.99),
        normal_p99_ms=waits[False].quantile(0.99),
    )


def table(rows):
    """Return rows as a Markdown table."""
    lines = [
        '| scenario | policy | windows | worst deviation | p99 deviation '
        '| use | busy per start | urgent p99 ms | normal p99 ms |',
        '|---|---|---:|---:|---:|---:|---:|---:|---:|',
    ]
    for row in rows:
        urgent = f'{row.urgent_p99_ms:.0f}' if row.urgent_p99_ms else '–'
        lines.append(
            f'| {row.scenario} | {row.policy} | {row.windows} '
            f'| {row.worst_deviation:.1%} | {row.p99_deviation:.1%} '
            f'| {row.use:.1%} | {row.busy_per_start:.2f} '
            f'| {urgent} | {row.normal_p99_ms:.0f} |'
        )
    return '\n'.join(lines)


def main(args=None):
    """Run the experiments and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('--seeds', type=int, default=3, help='runs of each')
    parser.add_argument('--only', default='', help='part of a scenario name')
    parser.add_argument('--policy', default='', help='part of a policy name')
    parser.add_argument('--output', default='', help='write rows as JSON')
    options = parser.parse_args(args)
    rows = [
        measure(scenario, policy, range(1, options.seeds + 1))
        for scenario in scenarios()
        if options.only in scenario.name
        for policy in POLICIES
        if options.policy in policy.name
    ]
    print(table(rows))
    if options.output:
        data = {
            'kind': 'bench',
            'bench': 'shares',
            'rows': [dataclasses.asdict(row) for row in rows],
        }
        pathlib.Path(options.output).write_text(json.dumps(data, indent=1))


if __name__ == '__main__':
    main()

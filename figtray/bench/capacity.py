"""Experiments on the capacity planner, for both deployments."""

import collections
import dataclasses
import itertools
import math
import random
import time
import tracemalloc

import numpy
from scipy import optimize

from figtray.bench import fleet as fleet_lib
from figtray.capacity import budget
from figtray.capacity import model
from figtray.capacity import planner
from figtray.capacity import situation as situation_lib
from figtray.configuration import resources

SLOTS = fleet_lib.SLOTS
# Mean demand of a pool as a part of its slots. A peak of five times the
# mean is then half as much again as the pool can hold.
MEAN_LOAD = 0.3
PEAK_FACTOR = 5
TROUGH_FACTOR = 1 / 20
PEAK_S = 20
SETTLE_S = 60
# Tasks in the queue of a pool; more would wait longer than is of use.
MAX_QUEUED = 100
TASK_S = 2
MAX_WAITING = MAX_QUEUED * TASK_S
REBOOT_MS = 120_000
FRESHNESS_MS = 3_000
PERIOD_S = resources.FIVE_WEEKS_MS // 1000

State = resources.HostState


@dataclasses.dataclass(frozen=True)
class BufferRow:
    """Hosts in reserve, summed over all sizes of the guarantee."""

    deployment: str
    planner_hosts: int
    bound_hosts: int
    fixed_hosts: int
    ratio: float


@dataclasses.dataclass(frozen=True)
class MovesRow:
    """Host moves in one cycle of the peaks.

    The fewest give the pool at its peak just the hosts that its demand
    fills. Greedy moves follow running + queued without hysteresis. The
    uncounted moves are those of the planner without arrival counts. The
    served parts are of the arrived work.
    """

    deployment: str
    planner_moves: float
    fewest_moves: float
    greedy_moves: float
    ratio: float
    uncounted_moves: float
    planner_served: float
    greedy_served: float
    unmoved_served: float


@dataclasses.dataclass(frozen=True)
class WaveRow:
    """Time of a full maintenance wave in seconds."""

    deployment: str
    wave_s: int
    bound_s: int
    one_at_a_time_s: int
    ratio: float
    least_left: int


@dataclasses.dataclass(frozen=True)
class OutageRow:
    """Work while a data centre leaves and returns.

    The parts are of what the remaining hosts could complete if they could
    move in no time, above the guarantee of each pool. The steps are the
    most hosts that come back into service within five seconds, as a part of
    the data centre.
    """

    deployment: str
    work: float
    uncounted_work: float
    unmoved_work: float
    largest_step: float
    unmoved_step: float


@dataclasses.dataclass(frozen=True)
class SlopeRow:
    """Time and memory of plan() at one size.

    In the moving fleet, every tenth host is released.
    """

    hosts: int
    pools: int
    quiet_s: float
    zone_out_s: float
    moving_s: float
    peak_mb: float
    situation_mb: float


@dataclasses.dataclass(frozen=True)
class Slope:
    """Straight line through the points, and its largest residual."""

    rows: tuple[SlopeRow, ...]
    ms_per_1000_hosts: float
    ms_at_0: float
    ms_residual: float
    mb_per_1000_hosts: float
    mb_at_0: float
    mb_residual: float


def demand_at(deployment, second, load=MEAN_LOAD):
    """Return the arriving slots of each pool; the pools peak in turn."""
    normal = deployment.pools[:-1]
    mean = load * deployment.hosts_per_pool * SLOTS
    peaking = second // PEAK_S % len(normal)
    return {
        pool: mean * (PEAK_FACTOR if index == peaking else TROUGH_FACTOR)
        for index, pool in enumerate(normal)
    }


def buffer_cost(deployment):
    """Measure the reserve that the planner needs.

    For every guarantee from one host to the size of a pool, the normal
    pools hold just their guarantee, and the spare pool grows until every
    loss of a zone or rack is made good.

    Returns:
        A BufferRow.
    """
    pools = len(deployment.pools) - 1
    totals = [0, 0, 0]
    for min_hosts in range(1, deployment.hosts_per_pool + 1):
        sized = dataclasses.replace(deployment, min_hosts=min_hosts)
        bound = _least_reserve(pools * min_hosts, deployment.zones)
        needed = next(
            reserve
            for reserve in itertools.count(bound)
            if _survives_any_loss(sized, reserve)
        )
        totals[0] += needed
        totals[1] += bound
        totals[2] += pools * _least_reserve(min_hosts, deployment.zones)
    return BufferRow(deployment.name, *totals, totals[0] / totals[1])


def _least_reserve(hosts, zones):
    """Return the hosts to add so that any zone of an even spread may go."""
    return next(
        reserve
        for reserve in itertools.count()
        if reserve >= math.ceil((hosts + reserve) / zones)
    )


def _survives_any_loss(deployment, reserve):
    items = list(
        fleet_lib.layout_items(deployment, reserve, deployment.min_hosts)
    )
    hosts = fleet_lib.Fleet(deployment, items).hosts.values()
    losses = {(spec.zone,) for spec in hosts}
    losses |= {(spec.zone, spec.rack) for spec in hosts}
    return all(_survives(deployment, items, loss) for loss in losses)


def _survives(deployment, items, loss):
    fleet = fleet_lib.Fleet(deployment, items)
    for second in range(2 * PEAK_S):
        fleet.work(demand_at(deployment, second), max_queued=MAX_QUEUED)
        fleet.control()
    fleet.down = {
        name
        for name, spec in fleet.hosts.items()
        if (spec.zone, spec.rack)[: len(loss)] == loss
    }
    for second in range(SETTLE_S):
        fleet.work(demand_at(deployment, second), max_queued=MAX_QUEUED)
        fleet.control()
        counts = [len(fleet.serving(p)) for p in deployment.pools[:-1]]
        if min(counts) >= deployment.min_hosts:
            return True
    return False


class RawDemand:
    """Demand without smoothing: running + queued, as it is now."""

    def update(self, loads, now_ms, interval_ms):
        """Return the demand of each pool twice; see DemandTracker."""
        raw = {p: load.running + load.queued for p, load in loads.items()}
        return {pool: (slots, slots) for pool, slots in raw.items()}


def plan_greedily(situation):
    """Plan with moves that need not pay for their drain."""
    thresholds = dataclasses.replace(situation.thresholds, pay_factor=0)
    return planner.plan(dataclasses.replace(situation, thresholds=thresholds))


def plan_without_moves(situation):
    """Plan the drains of a zone and its return at once, and nothing else."""
    thresholds = dataclasses.replace(
        situation.thresholds, pay_factor=math.inf, return_steps=1, paused=True
    )
    plan = planner.plan(dataclasses.replace(situation, thresholds=thresholds))
    pools = {host.name: host.pool for host in situation.hosts}
    actions = [
        (
            dataclasses.replace(action, pool=pools[action.host])
            if isinstance(action, model.Assign)
            else action
        )
        for action in plan.actions
        if getattr(action, 'reason', None) is not model.Reason.GUARANTEE
        or isinstance(action, model.Assign)
    ]
    return dataclasses.replace(plan, actions=tuple(actions))


def moves(deployment, cycles=6):
    """Count the moves in the cycles of the peaks after the first two.

    Returns:
        A MovesRow.
    """
    by_planner, served = _count_moves(deployment, cycles)
    greedy, greedy_served = _count_moves(
        deployment, cycles, tracker=RawDemand(), make_plan=plan_greedily
    )
    _, unmoved_served = _count_moves(
        deployment, cycles, make_plan=plan_without_moves
    )
    uncounted, _ = _count_moves(deployment, cycles, counts_arrivals=False)
    fewest = fewest_moves(deployment)
    return MovesRow(
        deployment.name,
        by_planner,
        fewest,
        greedy,
        by_planner / fewest,
        uncounted,
        served,
        greedy_served,
        unmoved_served,
    )


def _count_moves(deployment, cycles, **duty):
    fleet = fleet_lib.Fleet(deployment, **duty)
    cycle_s = PEAK_S * (len(deployment.pools) - 1)
    arrived = 0
    moved_before = 0
    for second in range(cycles * cycle_s):
        if second == 2 * cycle_s:
            moved_before = fleet.moves
            fleet.served.clear()
            arrived = 0
        arrivals = demand_at(deployment, second)
        arrived += sum(arrivals.values()) * fleet_lib.STEP_MS
        fleet.work(arrivals, max_queued=MAX_QUEUED)
        fleet.control()
    moved = (fleet.moves - moved_before) / (cycles - 2)
    return moved, sum(fleet.served.values()) / arrived


def fewest_moves(deployment):
    """Return the fewest moves per cycle of a planner that knows the demand.

    At each peak, every pool must have the hosts that its demand fills and
    its guarantee. Solved as a linear program over one cycle that repeats;
    its matrix is that of a flow, so the optimum is whole.
    """
    count = len(deployment.pools)
    phases = count - 1
    total = count * deployment.hosts_per_pool
    lower = numpy.zeros((phases, count))
    for phase in range(phases):
        demand = demand_at(deployment, phase * PEAK_S)
        for index, pool in enumerate(deployment.pools[:-1]):
            filled = math.ceil(demand[pool] / SLOTS)
            lower[phase, index] = max(filled, deployment.min_hosts)
    size = phases * count
    rises, sums = [], []
    for phase in range(phases):
        sums.append([0.0] * 2 * size)
        for pool in range(count):
            here = phase * count + pool
            following = (phase + 1) % phases * count + pool
            row = [0.0] * 2 * size
            row[following], row[here], row[size + here] = 1, -1, -1
            rises.append(row)
            sums[-1][here] = 1
    result = optimize.linprog(
        [0] * size + [1] * size,
        A_ub=rises,
        b_ub=[0] * len(rises),
        A_eq=sums,
        b_eq=[total] * phases,
        bounds=[(low, total) for low in lower.flatten()] + [(0, None)] * size,
        integrality=1,
    )
    return round(result.fun)


def maintenance_wave(deployment):
    """Measure a full wave in a quiet fleet.

    Returns:
        A WaveRow.
    """
    fleet = fleet_lib.Fleet(deployment)
    fleet.reboot_ms = REBOOT_MS
    fleet.skew_s = PERIOD_S
    quiet = dict.fromkeys(deployment.pools[:-1], 1)
    least_left = math.inf
    start_ms = fleet.clock.now_ms()
    while any(
        spec.maintained_at_s < fleet_lib.START_S + PERIOD_S
        for spec in fleet.hosts.values()
    ):
        fleet.work(quiet)
        fleet.control()
        least_left = min(least_left, _left(fleet))
    wave_s = (fleet.clock.now_ms() - start_ms) // 1000
    each_s = (FRESHNESS_MS + REBOOT_MS) // 1000
    bound_s = sum(_rounds(deployment)) * each_s
    count = len(fleet.hosts)
    return WaveRow(
        deployment.name,
        wave_s,
        bound_s,
        count * each_s,
        wave_s / bound_s,
        least_left,
    )


def _left(fleet):
    situation = situation_lib.make_situation(
        fleet.snapshot, situation_lib.Observation()
    )
    return budget.Ledger(situation).headroom


def _rounds(deployment):
    """Yield the fewest rounds of each zone, one zone at a time.

    While hosts of one zone are out, any other zone may be lost.
    """
    count = len(deployment.pools) * deployment.hosts_per_pool
    sizes = [
        len(range(zone, count, deployment.zones))
        for zone in range(deployment.zones)
    ]
    guaranteed = (len(deployment.pools) - 1) * deployment.min_hosts
    for zone, size in enumerate(sizes):
        others = sizes[:zone] + sizes[zone + 1 :]
        at_once = count - max(others) - guaranteed
        yield math.ceil(size / at_once)


def outage_work(deployment, load=MEAN_LOAD):
    """Measure the work done while a data centre leaves and returns.

    Returns:
        An OutageRow.
    """
    work, step = _outage(deployment, load)
    unmoved_work, unmoved_step = _outage(
        deployment, load, make_plan=plan_without_moves
    )
    uncounted, _ = _outage(deployment, load, counts_arrivals=False)
    return OutageRow(
        deployment.name, work, uncounted, unmoved_work, step, unmoved_step
    )


def _outage(deployment, load, **duty):
    cycle_s = PEAK_S * (len(deployment.pools) - 1)
    leaves_s, returns_s, end_s = 2 * cycle_s, 3 * cycle_s, 4 * cycle_s
    fleet = fleet_lib.Fleet(deployment, **duty)
    zone_hosts = [n for n, s in fleet.hosts.items() if s.zone == 'dc-1']
    served = possible = 0
    waiting = collections.Counter()
    back = []
    for second in range(end_s):
        if second in (leaves_s, returns_s):
            fleet.set_zone('dc-1', in_service=second == returns_s)
        arrivals = demand_at(deployment, second, load)
        done = sum(fleet.work(arrivals, max_queued=MAX_QUEUED).values())
        fleet.control()
        serving = {n for p in deployment.pools for n in fleet.serving(p)}
        back.append(len(serving.intersection(zone_hosts)))
        if second >= leaves_s:
            served += done
            out = len(zone_hosts) if second < returns_s else 0
            hosts = len(fleet.hosts) - out
            possible += _possible(deployment, hosts, arrivals, waiting)
    largest = max(
        back[second + 5] - back[second]
        for second in range(returns_s - 1, end_s - 5)
    )
    return served / possible, largest / len(zone_hosts)


def _possible(deployment, hosts, arrivals, waiting):
    """Return the work that hosts could do if they could move in no time.

    Every pool keeps its guarantee, whatever its demand.
    """
    kept = (len(arrivals) - 1) * deployment.min_hosts
    done = 0
    for pool, slots in arrivals.items():
        waiting[pool] += slots
        step = min(waiting[pool], (hosts - kept) * SLOTS)
        waiting[pool] = min(waiting[pool] - step, MAX_WAITING)
        done += step * fleet_lib.STEP_MS
    return done


def make_large(hosts, pools, seed=1):
    """Return a Situation of many hosts, some failed, some pools peaking."""
    rng = random.Random(seed)
    per_pool = hosts / pools
    views = [
        model.HostView(
            name=f'host-{number}',
            zone=f'dc-{number % 16}',
            rack=f'r{number // 16 // fleet_lib.HOSTS_PER_RACK}',
            pool=f'pool-{number * pools // hosts}',
            slots=SLOTS,
            maintained_at_s=rng.randrange(PERIOD_S),
        )
        for number in range(hosts)
    ]
    is_spare = [number >= 0.9 * pools for number in range(pools)]
    pool_views = tuple(
        model.PoolView(
            name=f'pool-{number}',
            min_slots=0 if is_spare[number] else int(0.85 * per_pool) * SLOTS,
            spare=is_spare[number],
            demand=per_pool * SLOTS * (1.3 if number % 10 == 0 else 0.2),
        )
        for number in range(pools)
    )
    failed = rng.sample([view.name for view in views], hosts // 100)
    return model.Situation(
        hosts=tuple(views),
        pools=pool_views,
        failed=frozenset(failed),
        wall_s=int(1.3 * PERIOD_S),
    )


SIZES = ((1375, 21), (2750, 42), (5500, 83), (8250, 125), (11_000, 167))


def planner_slope(sizes=SIZES, repeats=3):
    """Measure time and memory of plan() by number of hosts.

    Returns:
        A Slope; the time is the slowest of the three.
    """
    rows = []
    for hosts, pools in sizes:
        tracemalloc.start()
        situation = make_large(hosts, pools)
        situation_mb = tracemalloc.get_traced_memory()[0] / 1e6
        outage = dataclasses.replace(situation, zones_out=frozenset({'dc-3'}))
        moving = _release_some(situation)
        for item in (situation, outage, moving):
            planner.plan(item)
        peak_mb = tracemalloc.get_traced_memory()[1] / 1e6
        tracemalloc.stop()
        rows.append(
            SlopeRow(
                hosts,
                pools,
                _time_s(situation, repeats),
                _time_s(outage, repeats),
                _time_s(moving, repeats),
                peak_mb,
                situation_mb,
            )
        )
    counts = [row.hosts / 1000 for row in rows]
    times = [
        1000 * max(row.quiet_s, row.zone_out_s, row.moving_s) for row in rows
    ]
    return Slope(
        tuple(rows),
        *_fit(counts, times),
        *_fit(counts, [row.peak_mb for row in rows]),
    )


def _release_some(situation):
    hosts = list(situation.hosts)
    hosts[::10] = [
        dataclasses.replace(host, state=State.RELEASED) for host in hosts[::10]
    ]
    return dataclasses.replace(situation, hosts=tuple(hosts))


def _time_s(situation, repeats):
    times = []
    for _ in range(repeats):
        start = time.process_time()
        planner.plan(situation)
        times.append(time.process_time() - start)
    return min(times)


def _fit(xs, ys):
    slope, at_0 = numpy.polyfit(xs, ys, 1)
    residual = max(abs(slope * x + at_0 - y) for x, y in zip(xs, ys))
    return float(slope), float(at_0), float(residual)


def format_table(rows):
    """Return the lines of a Markdown table of data class rows."""
    names = [field.name for field in dataclasses.fields(rows[0])]
    yield '| ' + ' | '.join(names) + ' |'
    yield '|' + '---|' * len(names)
    for row in rows:
        values = (getattr(row, name) for name in names)
        cells = [
            f'{v:.3g}' if isinstance(v, float) else str(v) for v in values
        ]
        yield '| ' + ' | '.join(cells) + ' |'


def main():
    """Print the tables of all experiments."""
    experiments = (buffer_cost, moves, maintenance_wave, outage_work)
    for experiment in experiments:
        rows = [experiment(item) for item in fleet_lib.DEPLOYMENTS]
        print(f'{experiment.__name__}\n')
        print('\n'.join(format_table(rows)), end='\n\n')
    slope = planner_slope()
    print('planner_slope\n')
    print('\n'.join(format_table(slope.rows)), end='\n\n')
    print('\n'.join(format_table([dataclasses.replace(slope, rows=())])))


if __name__ == '__main__':
    main()

"""Series of faults with short gaps, in which the leader changes often."""

from figtray.soak import faults
from figtray.soak import restarts

MEAN_INTERVAL_S = 5.0
MIN_LENGTH, MAX_LENGTH = 2, 4
# Four faults with the longest gap begin within a second.
MAX_GAP_S = 0.33
# An outage outlasts the lease of the leader, and with the change of the
# leader also those of the runs.
MIN_OUTAGE_S = 3.0
MAX_OUTAGE_S = 6.0
MAX_OTHER_S = 2.0
KINDS = (*faults.SERIES_KINDS, faults.FaultKind.KILL)
# Of these, the faults of one node hit any node.
NODE_KINDS = (
    faults.FaultKind.TERMINATE,
    faults.FaultKind.PAUSE,
    faults.FaultKind.RELOAD,
    faults.FaultKind.ZONE_OUT,
)
CHANGE_KINDS = (*faults.CHANGE_KINDS, *NODE_KINDS)
# Orders that are delayed for so long are still under way when workers start
# again.
ORDERS_S = (6.0, 14.0)
MAX_ORDERS_LEAD_S = 2.5
MEAN_RESTART_S = 2.0
# Longer than the leases that are asked for.
CUT_S = (6.5, 11.0)
CUT_PROBABILITY = 0.8
KILL_PROBABILITY = 0.5
KILL_S = (0.3, 2.0)
CRASH_LOOPS_PROBABILITY = 0.5
FIRST_CRASH_LOOP_S = (0.5, 2.0)
MEAN_CRASH_LOOP_S = 4.0
CRASH_LOOP_S = (6.0, 14.0)


def make_series(rng, length_s, kinds=KINDS):
    """Return a list of Faults that come in series, sorted by start.

    A series has 2 to 4 kinds in random order; a kill and a series of signals
    hit the leader.

    Args:
        rng: random.Random to use.
        length_s: time in seconds in which all faults begin and end.
        kinds: the FaultKinds of the series.
    """
    series, at_s = [], 1.0
    while True:
        at_s += rng.expovariate(1 / MEAN_INTERVAL_S)
        if at_s + MAX_LENGTH * MAX_GAP_S + MIN_OUTAGE_S >= length_s:
            return sorted(series, key=lambda fault: fault.at_s)
        fault_at_s = at_s
        for kind in rng.sample(kinds, rng.randint(MIN_LENGTH, MAX_LENGTH)):
            for_s = rng.uniform(faults.MIN_DURATION_S, MAX_OTHER_S)
            if kind is faults.FaultKind.STORE_SILENT_OUTAGE:
                for_s = rng.uniform(MIN_OUTAGE_S, MAX_OUTAGE_S)
            for_s = round(min(for_s, length_s - fault_at_s), 3)
            choice, leader = rng.getrandbits(16), kind not in NODE_KINDS
            series.append(
                faults.Fault(round(fault_at_s, 3), for_s, kind, choice, leader)
            )
            fault_at_s += rng.uniform(0, MAX_GAP_S)


def make_restarts(rng, length_s):
    """Return a list of Faults around restarts of workers, sorted by start.

    Orders are delayed, workers start again under their ids, most of them are
    cut off soon after, and often the leader is killed in between.

    Args:
        rng: random.Random to use.
        length_s: time in seconds in which all faults begin and end.
    """
    series, at_s = [], 0.5
    kinds = faults.FaultKind

    def add(at_s, for_s, kind, choice, leader=False):
        for_s = round(min(for_s, length_s - at_s), 3)
        if for_s > 0:
            series.append(
                faults.Fault(round(at_s, 3), for_s, kind, choice, leader)
            )

    while (at_s := at_s + rng.expovariate(1 / MEAN_RESTART_S)) < length_s:
        choice = rng.getrandbits(16)
        add(at_s, rng.uniform(*ORDERS_S), kinds.ORDERS_DELAYED, choice)
        down_s, gap_s = restarts.draw_times_s(choice)
        restart_s = at_s + rng.uniform(0, MAX_ORDERS_LEAD_S)
        cut_at_s = restart_s + down_s + gap_s
        if rng.random() < CUT_PROBABILITY and cut_at_s + CUT_S[0] < length_s:
            cut_s = min(rng.uniform(*CUT_S), length_s - cut_at_s)
            add(restart_s, cut_s, kinds.WORKER_RESTART_CUT, choice)
        else:
            add(restart_s, down_s, kinds.WORKER_RESTART, choice)
        if rng.random() < KILL_PROBABILITY:
            kill_s = rng.uniform(restart_s + down_s, cut_at_s)
            add(kill_s, rng.uniform(*KILL_S), kinds.KILL, choice, leader=True)
    return sorted(series, key=lambda fault: fault.at_s)


def make_crash_loops(rng, length_s):
    """Return a list of Faults of crash loops, sorted by start.

    Half of the seeds have none.

    Args:
        rng: random.Random to use.
        length_s: time in seconds in which all faults begin and end.
    """
    if rng.random() >= CRASH_LOOPS_PROBABILITY:
        return []
    loops, at_s = [], rng.uniform(*FIRST_CRASH_LOOP_S)
    while at_s < length_s:
        for_s = min(rng.uniform(*CRASH_LOOP_S), length_s - at_s)
        loops.append(
            faults.Fault(
                round(at_s, 3),
                round(for_s, 3),
                faults.FaultKind.WORKER_CRASH_LOOP,
                rng.getrandbits(16),
                False,
            )
        )
        at_s += rng.expovariate(1 / MEAN_CRASH_LOOP_S)
    return loops

"""Series of faults with short gaps, in which the leader changes often."""

from figtray.soak import faults

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

"""Faults injected from outside the nodes: their kinds and schedule."""

import dataclasses
import enum

from figtray.soak import proxies as proxies_lib

# With these bounds, a pause outlasts the node's lease in about half of the
# cases.
MAX_DURATION_S = 5.0
MIN_DURATION_S = 0.3
MEAN_INTERVAL_S = 0.8
MEAN_SHRINK_INTERVAL_S = 2.0
MEAN_ODD_INTERVAL_S = 4.0
PROXY_DELAY_MS = 250
LEADER_PROBABILITY = 0.5


class FaultKind(enum.Enum):
    """Kind of a fault; reports show the values, timelines the names."""

    KILL = 'a node is killed and started again'
    TERMINATE = 'a node gets SIGTERM and is started again'
    PAUSE = 'a node is paused'
    RELOAD = 'a node gets SIGHUP'
    KILL_ALL = 'all nodes are killed and started again'
    STORE_DOWN = 'the store answers 503'
    STORE_LOSES_REPLIES = 'replies of the store are lost'
    STORE_FORGETS = 'the store forgets its history'
    STORE_CUT = 'a node is cut off from the store'
    STORE_CUT_BACK = 'replies of the store reach a node no more'
    STORE_DELAY = 'the store is slow for a node'
    STORE_RESET = 'connections of a node to the store are reset'
    STORE_SILENT = 'open connections of a node to the store fall silent'
    WORKERS_CUT = 'workers are cut off and run on'
    WORKERS_SILENT = 'open connections to workers fall silent'
    WORKERS_RESET = 'connections to workers are reset'
    WORKERS_DELAY = 'workers answer late'
    ORDERS_LATE = 'orders are carried out late, without an answer'
    WORKER_CRASH = 'a worker crashes and another starts'
    CALLERS_RESET = "callers' connections to a node are reset"
    CALLERS_SILENT = "callers' connections to a node fall silent"
    KEY_WITHDRAWN = 'a key is withdrawn'
    ZONE_OUT = 'a zone is taken out of service and back'
    # These come only in series.
    STORE_SILENT_OUTAGE = 'the store gives no answer and then runs on'
    WORKER_LEAVES = 'a worker drains and leaves for good'
    WORKER_SILENT_CRASH = 'a worker crashes and its address falls silent'
    # These come only in series of changes.
    SIGNALS = 'a node gets signals one right after the other, and restarts'
    KEY_CHANGES = 'a key is withdrawn, given back and withdrawn'
    # These come only in series of restarts.
    ORDERS_DELAYED = 'orders get no answer, and are carried out seconds later'
    WORKER_RESTART = 'workers crash and start again under their ids'
    WORKER_RESTART_CUT = 'workers start again and are cut off soon after'
    # This comes in the crash loops of half of the seeds.
    WORKER_CRASH_LOOP = 'workers crash again and again'
    # These come beside the others.
    WORKER_SHRINKS = 'the capacity of a worker shrinks and grows again'
    ODD_ENTRIES = 'odd entries are stored among those of the workers'


SERIES_KINDS = (
    FaultKind.STORE_SILENT_OUTAGE,
    FaultKind.WORKER_LEAVES,
    FaultKind.WORKER_SILENT_CRASH,
)
CHANGE_KINDS = (FaultKind.SIGNALS, FaultKind.KEY_CHANGES)
RESTART_KINDS = (
    FaultKind.ORDERS_DELAYED,
    FaultKind.WORKER_RESTART,
    FaultKind.WORKER_RESTART_CUT,
)
# All promises hold meanwhile.
HARMLESS_KINDS = (FaultKind.WORKER_SHRINKS, FaultKind.ODD_ENTRIES)
OTHER_KINDS = (
    *SERIES_KINDS,
    *CHANGE_KINDS,
    *RESTART_KINDS,
    FaultKind.WORKER_CRASH_LOOP,
    *HARMLESS_KINDS,
)
# A kind that is added here changes the schedule of each seed.
SINGLE_KINDS = tuple(kind for kind in FaultKind if kind not in OTHER_KINDS)

_DIRECTIONS = tuple(proxies_lib.Direction)
# The peer of the proxied connections, and the call of their proxies.
NETWORK_FAULTS = {
    FaultKind.STORE_CUT: ('store', 'stall', *_DIRECTIONS),
    FaultKind.STORE_CUT_BACK: (
        'store',
        'stall',
        proxies_lib.Direction.DOWNSTREAM,
    ),
    FaultKind.STORE_DELAY: ('store', 'delay', PROXY_DELAY_MS),
    FaultKind.STORE_RESET: ('store', 'reset'),
    FaultKind.STORE_SILENT: ('store', 'blackhole'),
    FaultKind.WORKERS_CUT: ('workers', 'stall', *_DIRECTIONS),
    FaultKind.WORKERS_SILENT: ('workers', 'blackhole'),
    FaultKind.WORKERS_RESET: ('workers', 'reset'),
    FaultKind.WORKERS_DELAY: ('workers', 'delay', PROXY_DELAY_MS),
    FaultKind.CALLERS_RESET: ('callers', 'reset'),
    FaultKind.CALLERS_SILENT: ('callers', 'blackhole'),
}


@dataclasses.dataclass(frozen=True)
class Fault:
    """Scheduled fault.

    Attributes:
        at_s: time of its start in seconds since the start of the schedule.
        for_s: duration in seconds.
        kind: FaultKind to inject.
        choice: random number that selects the target.
        leader: whether to target the leader, if the fault targets one node.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    choice: int
    leader: bool


def make_schedule(
    rng, length_s, kinds=SINGLE_KINDS, mean_interval_s=MEAN_INTERVAL_S
):
    """Return random Faults, sorted by start; they may overlap.

    Args:
        rng: random.Random to use.
        length_s: time in seconds in which all faults begin and end.
        kinds: their FaultKinds.
        mean_interval_s: mean time between their starts in seconds.
    """
    faults, at_s = [], 1.0
    while (at_s := at_s + rng.expovariate(1 / mean_interval_s)) < length_s:
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(
            Fault(
                round(at_s, 3),
                round(min(for_s, length_s - at_s), 3),
                rng.choice(kinds),
                rng.getrandbits(16),
                rng.random() < LEADER_PROBABILITY,
            )
        )
    return faults

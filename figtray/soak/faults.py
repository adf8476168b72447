"""Faults from outside the nodes: their schedule and how they are made."""

import dataclasses
import enum
import signal
import threading

from figtray import errors
from figtray.leadership import term as terms
from figtray.platform import standin_site as sites
from figtray.soak import links

# A paused node outlives its lease in about half of the cases.
LONGEST_S = 5.0
SHORTEST_S = 0.3
MEAN_GAP_S = 0.8
DELAY_MS = 250
LEADER_SHARE = 0.5
LOST_REPLIES = 4
OPERATOR_RETRY_S = 0.05


class Kind(enum.Enum):
    """What is done."""

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


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        at_s: time since the start.
        for_s: how long it lasts.
        kind: the Kind.
        choice: number that selects what it hits.
        leader: whether it hits the leading node, where it hits a node.
    """

    at_s: float
    for_s: float
    kind: Kind
    choice: int
    leader: bool


def make_schedule(rng, length_s):
    """Return random Faults in the order of their times; they overlap.

    Args:
        rng: random.Random.
        length_s: time in which they begin and end.
    """
    faults, at_s = [], 1.0
    while (at_s := at_s + rng.expovariate(1 / MEAN_GAP_S)) < length_s:
        faults.append(
            Fault(
                round(at_s, 3),
                round(
                    min(rng.uniform(SHORTEST_S, LONGEST_S), length_s - at_s), 3
                ),
                rng.choice(list(Kind)),
                rng.getrandbits(16),
                rng.random() < LEADER_SHARE,
            )
        )
    return faults


class Injector:
    """Makes faults; one of a kind at a time on each target.

    Args:
        site: the standin_site.Site.
        nodes: the NodeProcesses.
        wires: the Links by what they lead to: the name of a node for its
            store and hosts, `front NAME` for its callers, `worker`.
        oracle: the Oracle.
        stop: threading.Event that ends all faults early.
    """

    def __init__(self, site, nodes, wires, oracle, stop):
        self._version = 1
        self._stop = stop
        self._site = site
        self._nodes = nodes
        self._wires = wires
        self._oracle = oracle
        self._lock = threading.Lock()
        self._busy = set()

    def carry_out(self, fault):
        """Make a fault, wait, and undo it.

        Args:
            fault: the Fault.

        Returns:
            What was hit, or None if it was hit already.
        """
        node = self._choose_node(fault)
        begin, undo, target = self._actions(fault, node)
        with self._lock:
            if self._busy & target:
                return None
            self._busy |= target
        self._oracle.fault_began()
        try:
            begin()
            self._stop.wait(fault.for_s)
            undo()
        finally:
            self._oracle.fault_ended()
            with self._lock:
                self._busy -= target
        return ', '.join(sorted(target))

    def _choose_node(self, fault):
        if fault.leader:
            item = self._site.store.peek(terms.LEADER_KEY)
            name = terms.decode(item.value).node if item else ''
            for node in self._nodes:
                if node.name == name:
                    return node
        return self._nodes[fault.choice % len(self._nodes)]

    def _actions(self, fault, node):
        """Return (begin, undo, names of what is hit)."""
        store = self._site.store
        process = {f'process {node.name}'}
        every_process = {f'process {item.name}' for item in self._nodes}
        upstream = {f'store of {node.name}'}
        workers = self._some_workers(fault)
        match fault.kind:
            case Kind.KILL:
                return lambda: node.stop(signal.SIGKILL), node.start, process
            case Kind.TERMINATE:
                return node.stop, node.start, process
            case Kind.RELOAD:
                return lambda: node.send(signal.SIGHUP), _nothing, process
            case Kind.PAUSE:
                return (
                    lambda: node.send(signal.SIGSTOP),
                    lambda: node.send(signal.SIGCONT),
                    process,
                )
            case Kind.KILL_ALL:
                return self._kill_all, self._start_all, every_process
            case Kind.STORE_DOWN:
                return (
                    lambda: store.set_down(True),
                    lambda: store.set_down(False),
                    {'store'},
                )
            case Kind.STORE_LOSES_REPLIES:
                return self._lose_replies, _nothing, {'replies of the store'}
            case Kind.STORE_FORGETS:
                return store.compact_history, _nothing, {'history'}
            case Kind.STORE_CUT:
                return *self._held(node.name, *links.Direction), upstream
            case Kind.STORE_CUT_BACK:
                return *self._held(node.name, links.Direction.BACK), upstream
            case Kind.STORE_DELAY:
                return *self._delayed(self._wires[node.name]), upstream
            case Kind.STORE_RESET:
                return *_once(self._wires[node.name], 'reset'), upstream
            case Kind.STORE_SILENT:
                return *_once(self._wires[node.name], 'silence'), upstream
            case Kind.WORKERS_CUT:
                return (
                    lambda: [w.hold(*links.Direction) for w in workers],
                    lambda: [w.heal() for w in workers],
                    {'workers'},
                )
            case Kind.WORKERS_SILENT:
                return *_once(workers, 'silence'), {'workers'}
            case Kind.WORKERS_RESET:
                return *_once(workers, 'reset'), {'workers'}
            case Kind.WORKERS_DELAY:
                return *self._delayed(workers), {'workers'}
            case Kind.ORDERS_LATE:
                return *self._late_orders(fault), {'orders'}
            case Kind.WORKER_CRASH:
                return lambda: self._crash_worker(fault), _nothing, {'crash'}
            case Kind.CALLERS_RESET:
                wires = self._wires[f'front {node.name}']
                return *_once(wires, 'reset'), {f'callers of {node.name}'}
            case Kind.CALLERS_SILENT:
                wires = self._wires[f'front {node.name}']
                return *_once(wires, 'silence'), {f'callers of {node.name}'}
            case Kind.KEY_WITHDRAWN:
                return self._withdraw_key, _nothing, {'keys'}
            case Kind.ZONE_OUT:
                return *self._zone_out(), {'zone'}
        raise ValueError(fault.kind)

    def _some_workers(self, fault):
        wires = self._wires['worker']
        first = fault.choice % len(wires)
        return wires[first : first + 1 + fault.choice % 2]

    def _kill_all(self):
        for node in self._nodes:
            node.stop(signal.SIGKILL)

    def _start_all(self):
        for node in self._nodes:
            node.start()

    def _lose_replies(self):
        self._site.store.replies_to_lose = LOST_REPLIES

    def _held(self, name, *directions):
        wires = self._wires[name]
        return (
            lambda: [wire.hold(*directions) for wire in wires],
            lambda: [wire.heal() for wire in wires],
        )

    def _delayed(self, wires):
        return (
            lambda: [wire.delay(DELAY_MS) for wire in wires],
            lambda: [wire.heal() for wire in wires],
        )

    def _late_orders(self, fault):
        workers = self._site.workers

        def decide(kind, worker):
            hit = (
                kind in ('start', 'stop')
                and (hash_of(worker.worker_id) + fault.choice) % 3 == 0
            )
            return 'late' if hit else 'ok'

        def begin():
            workers.choose_fault = decide

        def undo():
            workers.choose_fault = lambda kind, worker: 'ok'
            workers.execute_late_orders()

        return begin, undo

    def _crash_worker(self, fault):
        hosts = self._site.worker_host_ids()
        self._site.crash_worker(hosts[fault.choice % len(hosts)])

    def _zone_out(self):
        zone = sites.ZONES[0]

        def begin():
            self._operate(lambda: self._site.set_zone_in_service(zone, False))
            self._oracle.zone_changed(zone)

        def undo():
            self._oracle.zone_changed(None)
            self._operate(lambda: self._site.set_zone_in_service(zone, True))

        return begin, undo

    def _withdraw_key(self):
        self._version += 1
        self._operate(
            lambda: self._site.write_config(self._version, (sites.API_KEY,))
        )
        self._oracle.key_withdrawn()

    def _operate(self, change):
        """Make a change of an operator, who repeats it until it is made."""
        while not self._stop.is_set():
            try:
                change()
                return
            except (errors.StoreUnavailable, errors.WriteUncertain):
                self._stop.wait(OPERATOR_RETRY_S)


def hash_of(text):
    """Return a number that stands for a text in each process."""
    return sum(text.encode())


def _once(wires, action):
    return lambda: [getattr(wire, action)() for wire in wires], _nothing


def _nothing():
    """Undo what needs no undoing."""

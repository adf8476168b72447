"""Fault injection from outside the nodes: kinds, schedule and injector."""

import dataclasses
import enum
import signal
import threading

from figtray import errors
from figtray.leadership import term as terms
from figtray.platform import standin_site as sites
from figtray.soak import proxies as proxies_lib

# With these bounds, a pause outlasts the node's lease in about half of the
# cases.
MAX_DURATION_S = 5.0
MIN_DURATION_S = 0.3
MEAN_INTERVAL_S = 0.8
PROXY_DELAY_MS = 250
LEADER_PROBABILITY = 0.5
LOST_REPLY_COUNT = 4
OPERATOR_RETRY_DELAY_S = 0.05
# Three heartbeats, after which the entry of a silent worker is removed.
SILENCE_BOUND_MS = int(3 * sites.HEARTBEAT_INTERVAL_S * 1000)


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


SERIES_KINDS = (
    FaultKind.STORE_SILENT_OUTAGE,
    FaultKind.WORKER_LEAVES,
    FaultKind.WORKER_SILENT_CRASH,
)
# A kind that is added here changes the schedule of each seed.
SINGLE_KINDS = tuple(kind for kind in FaultKind if kind not in SERIES_KINDS)


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


def make_schedule(rng, length_s):
    """Return random Faults of SINGLE_KINDS, sorted by start; they may overlap.

    Args:
        rng: random.Random to use.
        length_s: time in seconds in which all faults begin and end.
    """
    faults, at_s = [], 1.0
    while (at_s := at_s + rng.expovariate(1 / MEAN_INTERVAL_S)) < length_s:
        faults.append(
            Fault(
                round(at_s, 3),
                round(
                    min(
                        rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
                        length_s - at_s,
                    ),
                    3,
                ),
                rng.choice(SINGLE_KINDS),
                rng.getrandbits(16),
                rng.random() < LEADER_PROBABILITY,
            )
        )
    return faults


class Injector:
    """Injects faults; each target has at most one fault at a time.

    Args:
        site: standin_site.Site of the soak.
        nodes: its NodeProcesses.
        proxies: mapping of what is proxied to a list of TcpProxy: the name
            of a node for its connections to the store (the first) and the
            host service,
            `front NAME` for those from its callers, `worker` for those to
            all workers.
        checker: InvariantChecker to notify.
        stop: threading.Event that ends all faults early.
    """

    def __init__(self, site, nodes, proxies, checker, stop):
        self._config_version = 1
        self._stop = stop
        self._site = site
        self._nodes = nodes
        self._proxies = proxies
        self._checker = checker
        self._lock = threading.Lock()
        self._active_targets = set()

    def inject(self, fault):
        """Inject a fault, wait for its duration, and end it.

        Args:
            fault: Fault to inject.

        Returns:
            Names of the targets, or None if one of them has a fault already;
            then nothing is injected.
        """
        node = self._select_node(fault)
        begin, end, targets = self._resolve(fault, node)
        with self._lock:
            if self._active_targets & targets:
                return None
            self._active_targets |= targets
        self._checker.record_fault_begin()
        try:
            begin()
            self._stop.wait(fault.for_s)
            end()
        finally:
            self._checker.record_fault_end()
            with self._lock:
                self._active_targets -= targets
        return ', '.join(sorted(targets))

    def _select_node(self, fault):
        if fault.leader:
            record = self._site.store.peek(terms.LEADER_KEY)
            name = terms.decode(record.value).node if record else ''
            for node in self._nodes:
                if node.name == name:
                    return node
        return self._nodes[fault.choice % len(self._nodes)]

    def _resolve(self, fault, node):
        """Return the actions that begin and end a fault, and its targets.

        Returns:
            (begin, end, set of the names of the targets).
        """
        store = self._site.store
        process_target = {f'process {node.name}'}
        all_processes = {f'process {item.name}' for item in self._nodes}
        store_target = {f'store of {node.name}'}
        workers = self._select_worker_proxies(fault)
        match fault.kind:
            case FaultKind.KILL:
                return (
                    lambda: node.stop(signal.SIGKILL),
                    node.start,
                    process_target,
                )
            case FaultKind.TERMINATE:
                return node.stop, node.start, process_target
            case FaultKind.RELOAD:
                return (
                    lambda: node.send_signal(signal.SIGHUP),
                    _no_action,
                    process_target,
                )
            case FaultKind.PAUSE:
                return (
                    lambda: node.send_signal(signal.SIGSTOP),
                    lambda: node.send_signal(signal.SIGCONT),
                    process_target,
                )
            case FaultKind.KILL_ALL:
                return self._kill_all, self._start_all, all_processes
            case FaultKind.STORE_DOWN:
                return (
                    lambda: store.set_down(True),
                    lambda: store.set_down(False),
                    {'store'},
                )
            case FaultKind.STORE_LOSES_REPLIES:
                return self._lose_replies, _no_action, {'replies of the store'}
            case FaultKind.STORE_FORGETS:
                return store.compact_history, _no_action, {'history'}
            case FaultKind.STORE_CUT:
                return (
                    *self._stall_actions(node.name, *proxies_lib.Direction),
                    store_target,
                )
            case FaultKind.STORE_CUT_BACK:
                return (
                    *self._stall_actions(
                        node.name, proxies_lib.Direction.DOWNSTREAM
                    ),
                    store_target,
                )
            case FaultKind.STORE_DELAY:
                return (
                    *self._delay_actions(self._proxies[node.name]),
                    store_target,
                )
            case FaultKind.STORE_RESET:
                return (
                    *_one_time_actions(self._proxies[node.name], 'reset'),
                    store_target,
                )
            case FaultKind.STORE_SILENT:
                return (
                    *_one_time_actions(self._proxies[node.name], 'blackhole'),
                    store_target,
                )
            case FaultKind.WORKERS_CUT:
                return (
                    lambda: [w.stall(*proxies_lib.Direction) for w in workers],
                    lambda: [w.heal() for w in workers],
                    {'workers'},
                )
            case FaultKind.WORKERS_SILENT:
                return *_one_time_actions(workers, 'blackhole'), {'workers'}
            case FaultKind.WORKERS_RESET:
                return *_one_time_actions(workers, 'reset'), {'workers'}
            case FaultKind.WORKERS_DELAY:
                return *self._delay_actions(workers), {'workers'}
            case FaultKind.ORDERS_LATE:
                return *self._late_order_actions(fault), {'orders'}
            case FaultKind.WORKER_CRASH:
                return lambda: self._crash_worker(fault), _no_action, {'crash'}
            case FaultKind.CALLERS_RESET:
                proxies = self._proxies[f'front {node.name}']
                return *_one_time_actions(proxies, 'reset'), {
                    f'callers of {node.name}'
                }
            case FaultKind.CALLERS_SILENT:
                proxies = self._proxies[f'front {node.name}']
                return *_one_time_actions(proxies, 'blackhole'), {
                    f'callers of {node.name}'
                }
            case FaultKind.KEY_WITHDRAWN:
                return self._withdraw_key, _no_action, {'keys'}
            case FaultKind.ZONE_OUT:
                return *self._zone_out_actions(), {'zone'}
            case FaultKind.STORE_SILENT_OUTAGE:
                return *self._silent_outage_actions(), {
                    'store',
                    *(f'store of {item.name}' for item in self._nodes),
                }
            case FaultKind.WORKER_LEAVES:
                return *self._leave_actions(fault), {'leaving worker'}
            case FaultKind.WORKER_SILENT_CRASH:
                return (
                    lambda: self._crash_silently(fault),
                    _no_action,
                    {'silent crash'},
                )
        raise ValueError(fault.kind)

    def _select_worker_proxies(self, fault):
        proxies = self._proxies['worker']
        first = fault.choice % len(proxies)
        return proxies[first : first + 1 + fault.choice % 2]

    def _kill_all(self):
        for node in self._nodes:
            node.stop(signal.SIGKILL)

    def _start_all(self):
        for node in self._nodes:
            node.start()

    def _lose_replies(self):
        self._site.store.replies_to_lose = LOST_REPLY_COUNT

    def _stall_actions(self, name, *directions):
        proxies = self._proxies[name]
        return (
            lambda: [proxy.stall(*directions) for proxy in proxies],
            lambda: [proxy.heal() for proxy in proxies],
        )

    def _delay_actions(self, proxies):
        return (
            lambda: [proxy.delay(PROXY_DELAY_MS) for proxy in proxies],
            lambda: [proxy.heal() for proxy in proxies],
        )

    def _late_order_actions(self, fault):
        workers = self._site.workers

        def choose(kind, worker):
            is_late = (
                kind in ('start', 'stop')
                and (stable_hash(worker.worker_id) + fault.choice) % 3 == 0
            )
            return 'late' if is_late else 'ok'

        def begin():
            workers.choose_fault = choose

        def end():
            workers.choose_fault = lambda kind, worker: 'ok'
            workers.execute_late_orders()

        return begin, end

    def _select_host(self, fault):
        hosts = self._site.worker_host_ids()
        return hosts[fault.choice % len(hosts)]

    def _crash_worker(self, fault):
        self._site.crash_worker(self._select_host(fault))

    def _crash_silently(self, fault):
        worker = self._site.remove_host(
            self._select_host(fault), SILENCE_BOUND_MS
        )
        if worker is not None:
            self._take_worker_proxy(worker).fall_silent()

    def _leave_actions(self, fault):
        host_id = self._select_host(fault)

        def end():
            worker = self._site.remove_host(host_id)
            if worker is not None:
                self._take_worker_proxy(worker).close()
                self._site.stop_server(worker)

        return lambda: self._site.drain_worker(host_id), end

    def _take_worker_proxy(self, worker):
        """Remove and return the proxy of a worker that has ended.

        No later fault selects it, and heal() does not reach it.
        """
        proxies = self._proxies['worker']
        proxy = next(p for p in proxies if p.address == worker.address)
        proxies.remove(proxy)
        self._proxies['ended worker'].append(proxy)
        return proxy

    def _silent_outage_actions(self):
        """Return actions of an outage in which calls are lost unanswered."""
        store = self._site.store
        proxies = [self._proxies[node.name][0] for node in self._nodes]

        def begin():
            for proxy in proxies:
                proxy.stall(*proxies_lib.Direction)
            store.set_down(True)

        def end():
            for proxy in proxies:
                proxy.blackhole()
            self._site.expire_entries()
            store.set_down(False)
            for proxy in proxies:
                proxy.heal()

        return begin, end

    def _zone_out_actions(self):
        zone = sites.ZONES[0]

        def begin():
            self._retry_change(
                lambda: self._site.set_zone_in_service(zone, False)
            )
            self._checker.record_zone_out(zone)

        def end():
            self._checker.record_zone_out(None)
            self._retry_change(
                lambda: self._site.set_zone_in_service(zone, True)
            )

        return begin, end

    def _withdraw_key(self):
        self._config_version += 1
        self._retry_change(
            lambda: self._site.write_config(
                self._config_version, (sites.API_KEY,)
            )
        )
        self._checker.record_key_withdrawn()

    def _retry_change(self, change):
        """Retry a change of an operator until it succeeds or all faults end.

        Args:
            change: function that makes the change; called without arguments.
        """
        while not self._stop.is_set():
            try:
                change()
                return
            except (errors.StoreUnavailable, errors.WriteUncertain):
                self._stop.wait(OPERATOR_RETRY_DELAY_S)


def stable_hash(text):
    """Return a hash that is the same in all processes, unlike hash()."""
    return sum(text.encode())


def _one_time_actions(proxies, method):
    return lambda: [getattr(proxy, method)() for proxy in proxies], _no_action


def _no_action():
    """End a fault that needs no action to end."""

"""Injection of the faults of a schedule."""

import functools
import itertools
import random
import signal
import threading

from figtray import errors
from figtray.jobs import model
from figtray.leadership import term as terms
from figtray.platform import standin_config
from figtray.platform import standin_site as sites
from figtray.soak import crash_loops
from figtray.soak import faults
from figtray.soak import late_orders
from figtray.soak import odd_entries
from figtray.soak import proxies as proxies_lib
from figtray.soak import restarts
from figtray.store import base

LOST_REPLY_COUNT = 4
# Of a worker that shrinks; a task needs a core, and a lasting one a tenth.
SHRUNK_CAPACITIES = (
    model.NO_RESOURCES,
    model.Resources(1500, 32_000),
    model.Resources(3000, 32_000),
    model.Resources(8000, 200),
)
WITHDRAWN_KEY = 'extra-key'
OPERATOR_RETRY_DELAY_S = 0.05
SERIES_SIGNALS = (
    signal.SIGHUP,
    signal.SIGSTOP,
    signal.SIGCONT,
    signal.SIGTERM,
    signal.SIGKILL,
)
MIN_SIGNALS, MAX_SIGNALS = 2, 6
MAX_CHANGE_GAP_S = 0.5
KEY_CHANGE_COUNT = 3


class Injector:
    """Injects faults; each target has at most one fault at a time.

    Args:
        site: standin_site.Site of the soak.
        nodes: its NodeProcesses.
        proxies: mapping of what is proxied to a list of TcpProxy: the name
            of a node for its connections to the store (the first) and the
            host service, `front NAME` for those from its callers, `worker`
            for those to all workers.
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
        disrupts = fault.kind not in faults.HARMLESS_KINDS
        if disrupts:
            self._checker.record_fault_begin()
        try:
            begin()
            self._stop.wait(fault.for_s)
            end()
        finally:
            if disrupts:
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
        if fault.kind in faults.NETWORK_FAULTS:
            return self._resolve_network_fault(fault, node)
        store, process = self._site.store, {f'process {node.name}'}
        kinds = faults.FaultKind
        begin, end, targets = _no_action, _no_action, process
        match fault.kind:
            case kinds.KILL | kinds.KILL_ALL:
                is_single = fault.kind is kinds.KILL
                nodes = [node] if is_single else self._nodes
                targets = {f'process {item.name}' for item in nodes}
                begin = functools.partial(
                    _call_all, nodes, 'stop', signal.SIGKILL
                )
                end = functools.partial(_call_all, nodes, 'start')
            case kinds.TERMINATE:
                begin, end = node.stop, node.start
            case kinds.RELOAD:
                begin = functools.partial(node.send_signal, signal.SIGHUP)
            case kinds.SIGNALS:
                begin, end = self._signal_actions(fault, node)
            case kinds.PAUSE:
                begin = functools.partial(node.send_signal, signal.SIGSTOP)
                end = functools.partial(node.send_signal, signal.SIGCONT)
            case kinds.STORE_DOWN:
                targets, begin = {'store'}, functools.partial(
                    store.set_down, True
                )
                end = functools.partial(store.set_down, False)
            case kinds.STORE_LOSES_REPLIES:
                begin, targets = self._lose_replies, {'replies of the store'}
            case kinds.STORE_FORGETS:
                begin, targets = store.compact_history, {'history'}
            case kinds.STORE_SILENT_OUTAGE:
                begin, end = self._silent_outage_actions()
                stores = {f'store of {item.name}' for item in self._nodes}
                targets = {'store', *stores}
            case kinds.ORDERS_LATE:
                targets, workers = {'orders'}, self._site.workers
                begin, end = late_orders.make_late(workers, fault)
            case kinds.ORDERS_DELAYED:
                targets, workers = {'orders'}, self._site.workers
                begin, end = late_orders.make_delayed(workers, fault)
            case kinds.WORKER_RESTART | kinds.WORKER_RESTART_CUT:
                restart = restarts.Restart(
                    self._site, self._proxies, fault, self._stop
                )
                begin, end, targets = restart.begin, restart.end, restart.names
            case kinds.WORKER_CRASH_LOOP:
                loop = crash_loops.CrashLoop(
                    self._site, self._proxies, fault, threading.Event()
                )
                begin, end, targets = loop.begin, loop.end, loop.names
            case kinds.WORKER_CRASH:
                targets, host_id = {'crash'}, self._select_host(fault)
                begin = functools.partial(self._site.crash_worker, host_id)
            case kinds.WORKER_LEAVES:
                begin, end = self._leave_actions(fault)
                targets = {'leaving worker'}
            case kinds.WORKER_SILENT_CRASH:
                targets = {'silent crash'}
                begin = functools.partial(self._crash_silently, fault)
            case kinds.WORKER_SHRINKS:
                begin, end, host_id = self._shrink_actions(fault)
                targets = {f'capacity of {host_id}'}
            case kinds.ODD_ENTRIES:
                begin, end = self._odd_entry_actions(fault)
                targets = {'odd entries'}
            case kinds.KEY_WITHDRAWN:
                begin, targets = self._withdraw_key, {'keys'}
            case kinds.KEY_CHANGES:
                begin = functools.partial(self._change_keys, fault)
                targets = {'keys'}
            case kinds.ZONE_OUT:
                begin, end = self._zone_out_actions()
                targets = {'zone'}
            case _:
                raise ValueError(fault.kind)
        return begin, end, targets

    def _resolve_network_fault(self, fault, node):
        peer, method, *args = faults.NETWORK_FAULTS[fault.kind]
        if peer == 'workers':
            proxies = self._select_worker_proxies(fault)
            targets = {'workers', *(proxy.address for proxy in proxies)}
        elif peer == 'callers':
            proxies = self._proxies[f'front {node.name}']
            targets = {f'callers of {node.name}'}
        else:
            proxies = self._proxies[node.name]
            targets = {f'store of {node.name}'}
        return (
            functools.partial(_call_all, proxies, method, *args),
            functools.partial(_call_all, proxies, 'heal'),
            targets,
        )

    def _select_worker_proxies(self, fault):
        proxies = self._proxies['worker']
        # With deadly tasks there may be none for a while.
        first = fault.choice % max(1, len(proxies))
        return proxies[first : first + 1 + fault.choice % 2]

    def _lose_replies(self):
        self._site.store.replies_to_lose = LOST_REPLY_COUNT

    def _select_host(self, fault):
        hosts = self._site.worker_host_ids()
        return hosts[fault.choice % len(hosts)] if hosts else ''

    def _crash_silently(self, fault):
        worker = self._site.remove_host(
            self._select_host(fault), sites.ENTRY_MS
        )
        if worker is not None:
            proxies_lib.take_away(self._proxies, worker).fall_silent()

    def _leave_actions(self, fault):
        host_id = self._select_host(fault)

        def end():
            worker = self._site.remove_host(host_id)
            if worker is not None:
                proxies_lib.take_away(self._proxies, worker).close()
                self._site.stop_server(worker)

        return lambda: self._site.drain_worker(host_id), end

    def _shrink_actions(self, fault):
        host_id = self._select_host(fault)
        capacity = SHRUNK_CAPACITIES[fault.choice % len(SHRUNK_CAPACITIES)]
        return (
            lambda: self._resize(host_id, capacity),
            lambda: self._resize(host_id, None),
            host_id,
        )

    def _resize(self, host_id, capacity):
        # Recorded first, so that no start finds an unknown capacity.
        worker = self._site.worker_on(host_id)
        if worker is not None:
            self._checker.record_resize(worker)
            self._site.resize_worker(worker, capacity)

    def _odd_entry_actions(self, fault):
        worker = self._site.worker_on(self._select_host(fault))
        if worker is None:
            return _no_action, _no_action
        entries = odd_entries.make(fault.choice, worker)
        puts = list(itertools.starmap(base.Put, entries.items()))
        store = self._site.store
        stays = fault.choice % odd_entries.STAY_INTERVAL == 0
        return (
            lambda: self._retry_change(store.txn, (), puts),
            _no_action if stays else lambda: store.remove(entries),
        )

    def _silent_outage_actions(self):
        """Return actions of an outage in which calls are lost unanswered."""
        store = self._site.store
        proxies = [self._proxies[node.name][0] for node in self._nodes]

        def begin():
            _call_all(proxies, 'stall', *proxies_lib.Direction)
            store.set_down(True)

        def end():
            _call_all(proxies, 'blackhole')
            self._site.expire_entries()
            store.set_down(False)
            _call_all(proxies, 'heal')

        return begin, end

    def _zone_out_actions(self):
        zone = standin_config.ZONES[0]

        def begin():
            self._retry_change(self._site.set_zone_in_service, zone, False)
            self._checker.record_zone_out(zone)

        def end():
            self._checker.record_zone_out(None)
            self._retry_change(self._site.set_zone_in_service, zone, True)

        return begin, end

    def _signal_actions(self, fault, node):
        rng = random.Random(fault.choice)
        count = rng.randint(MIN_SIGNALS, MAX_SIGNALS)

        def begin():
            for signum in rng.choices(SERIES_SIGNALS, k=count):
                node.send_signal(signum)
                self._stop.wait(rng.uniform(0, MAX_CHANGE_GAP_S))

        def end():
            node.send_signal(signal.SIGCONT)
            node.stop()
            node.start()

        return begin, end

    def _write_keys(self, *keys):
        self._config_version += 1
        self._retry_change(self._site.write_config, self._config_version, keys)

    def _withdraw_key(self):
        self._write_keys(standin_config.API_KEY)
        self._checker.record_key_withdrawn()

    def _change_keys(self, fault):
        rng = random.Random(fault.choice)
        for _ in range(KEY_CHANGE_COUNT):
            self._checker.record_key_given()
            self._write_keys(standin_config.API_KEY, WITHDRAWN_KEY)
            self._stop.wait(rng.uniform(0, MAX_CHANGE_GAP_S))
            self._withdraw_key()

    def _retry_change(self, change, *args):
        """Retry a change of an operator until it succeeds or all faults end.

        Args:
            change: function that makes the change.
            *args: its arguments.
        """
        while not self._stop.is_set():
            try:
                change(*args)
                return
            except (errors.StoreUnavailable, errors.WriteUncertain):
                self._stop.wait(OPERATOR_RETRY_DELAY_S)


def _call_all(targets, method, *args):
    for target in targets:
        getattr(target, method)(*args)


def _no_action():
    """Begin or end a fault that needs no action for that."""

"""Tests of the faults that end a worker for good or hide the store."""

import collections
import json
import math
import signal
import socket

import pytest

from figtray import clock as clock_lib
from figtray import connections
from figtray import errors
from figtray.platform import standin_entries
from figtray.platform import standin_services
from figtray.platform import standin_site as sites
from figtray.soak import faults
from figtray.soak import injector
from figtray.soak import invariants
from figtray.soak import odd_entries
from figtray.soak import proxies as proxies_lib
from figtray.store import base

TIMEOUT_S = 10
SILENCE_TIMEOUT_S = 0.2
REQUEST = b'GET /api/kv-key?key=a HTTP/1.1\r\n\r\n'


class Pause:
    """Stands in for the event that ends faults early; does not wait.

    Attributes:
        action: called without arguments while a fault is active.
    """

    def __init__(self):
        self.action = lambda: None

    def wait(self, for_s):
        self.action()

    def is_set(self):
        return False


class Node:
    """Stands in for a NodeProcess; records what is done with it."""

    name = 'node-0'

    def __init__(self):
        self.actions = []

    def send_signal(self, signum):
        self.actions.append(signum)

    def stop(self):
        self.actions.append('stop')

    def start(self):
        self.actions.append('start')


class Harness:
    """Site with two workers, proxies, and an Injector that does not wait."""

    def __init__(self):
        self.checker = invariants.InvariantChecker(
            clock_lib.ManualClock(), 0, 0
        )
        self.proxies = collections.defaultdict(list)
        self.site = sites.Site(2, 0, advertise=self._start_proxy)
        self.workers = [sim.worker for sim in self.site.workers.sims.values()]
        settings = self.site.node_settings('node-0')
        self.store_address = settings['platform']['address']
        self.pause = Pause()
        self.node = Node()
        self.injector = injector.Injector(
            self.site,
            [self.node],
            self.proxies,
            self.checker,
            self.pause,
        )

    def _start_proxy(self, kind, address):
        proxy = proxies_lib.TcpProxy(address)
        self.proxies[kind].append(proxy)
        return proxy.address

    def inject(self, kind, choice=0):
        return self.injector.inject(faults.Fault(0, 0, kind, choice, False))

    def connect(self, address):
        return socket.create_connection(
            connections.parse_address(address), TIMEOUT_S
        )

    def close(self):
        for proxies in self.proxies.values():
            for proxy in proxies:
                proxy.close()
        self.site.close()


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    harness.close()


class TestEndOfWorkers:
    """Guards against workers that come back, or that leave no successor."""

    def check_replaced(self, harness):
        former, kept = harness.workers
        hosts = harness.site.worker_host_ids()
        assert former.host_id not in hosts
        assert kept.host_id in hosts and len(hosts) == 2
        assert not harness.site.workers.sims[former.address].up
        assert not any(
            proxy.address == former.address
            for proxy in harness.proxies['worker']
        )

    def test_worker_that_leaves_refuses_connections(self, harness):
        assert harness.inject(faults.FaultKind.WORKER_LEAVES)
        with pytest.raises(ConnectionRefusedError):
            harness.connect(harness.workers[0].address)
        self.check_replaced(harness)

    def test_worker_that_crashes_silently_does_not_answer(self, harness):
        assert harness.inject(faults.FaultKind.WORKER_SILENT_CRASH)
        for proxies in harness.proxies.values():
            for proxy in proxies:
                proxy.heal()
        with harness.connect(harness.workers[0].address) as sock:
            sock.settimeout(SILENCE_TIMEOUT_S)
            sock.sendall(REQUEST)
            with pytest.raises(TimeoutError):
                sock.recv(1)
        self.check_replaced(harness)


class TestNoWorker:
    """Guards against faults that end the soak while no worker is up."""

    KINDS = [
        kind for kind in faults.FaultKind if kind.name.startswith('WORKER')
    ]

    @pytest.mark.parametrize('kind', KINDS, ids=lambda kind: kind.name)
    def test_all_workers_have_crashed(self, harness, kind, monkeypatch):
        # None may be back before the fault is injected.
        monkeypatch.setattr(sites, 'CRASH_S', TIMEOUT_S * 60)
        for worker in harness.workers:
            harness.site.crash_for_a_while(worker)
            proxies_lib.take_away(harness.proxies, worker).close()
        assert not harness.site.worker_host_ids()
        assert harness.inject(kind) is not None
        assert not harness.site.worker_host_ids()


class TestStoreOutage:
    """Guards against an outage that answers, or in which nothing expires."""

    def request(self, sock, timeout_s):
        """Send a request and return the first byte of the response."""
        sock.sendall(REQUEST)
        sock.settimeout(timeout_s)
        return sock.recv(1)

    def test_store_gives_no_answer(self, harness):
        sockets = []

        def check_silent():
            with pytest.raises(errors.StoreUnavailable):
                harness.site.store.get('leader')
            sockets.append(harness.connect(harness.store_address))
            with pytest.raises(TimeoutError):
                self.request(sockets[0], SILENCE_TIMEOUT_S)

        harness.pause.action = check_silent
        assert harness.inject(faults.FaultKind.STORE_SILENT_OUTAGE)
        # What was sent in the outage is lost.
        with sockets[0] as sock, pytest.raises(TimeoutError):
            sock.recv(1)
        with harness.connect(harness.store_address) as sock:
            assert self.request(sock, TIMEOUT_S)

    def test_entries_expire_during_the_outage(self, harness):
        worker = harness.workers[0]
        key = f'servers/{worker.worker_id}'
        harness.site.store.txn([], [base.Put(key, b'{}')])
        harness.pause.action = lambda: harness.site.remove_host(worker.host_id)
        assert harness.inject(faults.FaultKind.STORE_SILENT_OUTAGE)
        assert harness.site.store.peek(key) is None


class TestShrinkage:
    """Guards against workers that say that they have what they have not."""

    def test_worker_shrinks_and_grows(self, harness):
        worker = harness.workers[0]
        sim = harness.site.workers.sims[worker.address]
        seen = []

        def note():
            seen.append(sim.worker.capacity)
            seen.append(harness.site.worker_on(worker.host_id).capacity)

        harness.pause.action = note
        assert harness.inject(faults.FaultKind.WORKER_SHRINKS)
        note()
        assert (
            seen == [injector.SHRUNK_CAPACITIES[0]] * 2 + [worker.capacity] * 2
        )


class TestOddEntries:
    """Guards against entries that are like good ones, or that stay."""

    def keys(self, harness):
        return {
            item.key
            for item in harness.site.store.range(standin_entries.PREFIX).items
        }

    def odd_keys(self, harness):
        good = {
            standin_entries.PREFIX + worker.worker_id
            for worker in harness.workers
        }
        return self.keys(harness) - good

    @pytest.mark.parametrize('choice', range(1, 19))
    def test_entries_are_stored_and_removed_or_stay(self, harness, choice):
        during = []
        harness.pause.action = lambda: during.append(self.odd_keys(harness))
        fault = faults.Fault(0, 0, faults.FaultKind.ODD_ENTRIES, choice, False)
        assert harness.injector.inject(fault)
        made = odd_entries.make(choice, harness.workers[0])
        assert during == [{key for key in made if '/odd-' in key}]
        stays = choice % odd_entries.STAY_INTERVAL == 0
        assert self.odd_keys(harness) == (during[0] if stays else set())

    def test_each_kind_occurs_also_under_the_id_of_a_good_worker(
        self, harness
    ):
        worker = harness.workers[0]
        key = standin_entries.PREFIX + worker.worker_id
        good = standin_services.encode_worker_entry(worker)
        entries = [odd_entries.make(number, worker) for number in range(100)]
        values = {value for made in entries for value in made.values()}
        assert good not in values and len(values) == 4
        assert {made[key] for made in entries if key in made} == values


class TestSeriesOfChanges:
    """Guards against nodes that stay paused and keys that stay given."""

    def test_node_restarts_after_signals(self, harness):
        assert harness.inject(faults.FaultKind.SIGNALS)
        *signals, resumed, stopped, started = harness.node.actions
        assert len(signals) >= injector.MIN_SIGNALS
        assert set(signals) <= set(injector.SERIES_SIGNALS)
        assert resumed == signal.SIGCONT
        assert (stopped, started) == ('stop', 'start')

    def test_key_is_withdrawn_in_the_end(self, harness):
        seen = []

        def note():
            seen.append(json.loads(harness.site.store.peek('op/config').value))
            harness.checker.check_key_response(math.inf, 200)

        harness.pause.action = note
        assert harness.inject(faults.FaultKind.KEY_CHANGES)
        note()
        given = [
            injector.WITHDRAWN_KEY in config['tenants'][0]['api_keys']
            for config in seen
        ]
        assert given == [True] * injector.KEY_CHANGE_COUNT + [False, False]
        versions = [config['version'] for config in seen]
        assert versions == sorted(versions)
        # Only after the last change is a response with the key a violation.
        promises = [item.promise for item in harness.checker.violations]
        assert promises == ['withdrawn keys do not work'] * 2

"""Stand-in for a whole site: store, workers and hosts on 127.0.0.1."""

import contextlib
import dataclasses
import json
import pathlib
import random
import socket
import threading

import typer

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import memory as fleet_memory
from figtray.fleet import messages
from figtray.fleet import model as fleet
from figtray.jobs import model
from figtray.platform import standin_server
from figtray.platform import standin_services
from figtray.store import base
from figtray.store import memory as store_memory

HEARTBEAT_INTERVAL_S = 0.5
RUN_TIME_RANGE_MS = (200, 600)
CALLER_HOST = 'jobs.example'
API_KEY = 'demo-key'
PATH_PREFIX = '/jobs/'
ZONES = ('zone-a', 'zone-b')
FIRST_PORT, LAST_PORT = 10_000, 32_000
# Two for listeners, and a range whose third port serves the metrics.
PORTS_PER_NODE = 8
LOOPBACK = '127.0.0.1'


class _RunFinisher(fleet_memory.RunObserver):
    """Ends each run a random time after its start.

    Args:
        run_ms: (shortest, longest) run time in milliseconds.
        observer: the RunObserver to which all calls are passed on.
    """

    def __init__(self, run_ms, observer):
        self._run_ms = run_ms
        self._observer = observer
        self.workers = None

    def run_started(self, sim, task, run):
        delay_ms = random.uniform(*self._run_ms)
        timer = threading.Timer(
            delay_ms / 1000,
            self.workers.finish,
            (sim.worker, task, run, messages.EndReason.DONE),
        )
        timer.daemon = True
        timer.start()
        self._observer.run_started(sim, task, run)

    def run_ended(self, sim, task, run, reason):
        self._observer.run_ended(sim, task, run, reason)

    def end_acknowledged(self, sim, ended_run):
        self._observer.end_acknowledged(sim, ended_run)


class Site:
    """Simulated site with one pool, one spare pool and one team.

    Args:
        host_count: number of hosts in the pool; each has a worker.
        spare_count: number of hosts in the spare pool.
        run_ms: (shortest, longest) run time of a task in milliseconds.
        limit_milli: limit of the team in thousandths of a core; 0 = none.
        observer: the fleet RunObserver of the workers, or None.
        advertise: called with (kind, address of a server); returns the
            address that nodes get, such as that of a proxy. The kind is
            `worker` for a worker; for the store and the host service it is
            the name of the node that gets the address.
        clock_rate: rate of the workers' clocks; 1.0 = correct.
    """

    def __init__(
        self,
        host_count=4,
        spare_count=2,
        run_ms=RUN_TIME_RANGE_MS,
        limit_milli=0,
        observer=None,
        advertise=lambda kind, address: address,
        clock_rate=1.0,
    ):
        self.clock = clock_lib.SystemClock()
        self.store = store_memory.MemoryStore(self.clock)
        run_finisher = _RunFinisher(
            run_ms, observer or fleet_memory.RunObserver()
        )
        self.workers = run_finisher.workers = fleet_memory.MemoryWorkers(
            self.clock, run_finisher
        )
        self._limit_milli = limit_milli
        self._advertise = advertise
        self._clock_rate = clock_rate
        self.hosts = fleet_memory.MemoryHosts()
        self._stop = threading.Event()
        self._servers = []
        self._workers_by_host = {}
        # The entries of these workers are deleted with the next heartbeat.
        self._ended_worker_ids = set()
        self._store_server = standin_services.start_store_server(
            f'{LOOPBACK}:0', self.store
        )
        self._hosts_server = self._serve(
            standin_services.HostService(self.hosts)
        )
        for number in range(host_count):
            self._add_host(number, 'main')
        for number in range(host_count, host_count + spare_count):
            self._add_host(number, 'spare')
        self.write_config()
        threading.Thread(
            target=self._run_heartbeats, name='heartbeats', daemon=True
        ).start()

    def write_config(self, version=1, keys=(API_KEY,)):
        """Write a version of the configuration into the store.

        Args:
            version: its number.
            keys: API keys of the team.
        """
        config = {
            'version': version,
            'routes': [
                {
                    'name': 'jobs',
                    'host': CALLER_HOST,
                    'prefix': PATH_PREFIX,
                    'service': 'main',
                    'attempts': 3,
                    'stretch': 2,
                    'target_latency_ms': 1000,
                }
            ],
            'services': [{'name': 'main'}, {'name': 'spare', 'spare': True}],
            'tenants': [
                {
                    'name': 'demo',
                    'api_keys': list(keys),
                    'weight': 1,
                    'maximum': {'cpu': self._limit_milli},
                }
            ],
        }
        self.store.txn(
            [], [base.Put('op/config', json.dumps(config).encode())]
        )

    def node_settings(self, name):
        """Return the settings of an additional node as plain data."""
        ports = _free_ports(4)
        return {
            'node_name': name,
            'ip': LOOPBACK,
            'zone': ZONES[0],
            'listen': {
                'front': f'{LOOPBACK}:{ports[0]}',
                'ready': f'{LOOPBACK}:{ports[1]}',
            },
            # The metrics port is the third of this range.
            'internal_ports': [ports[2], ports[2] + 3],
            'platform': {
                'address': self._advertise(name, self._store_server.address)
            },
            'cloud': {
                'address': self._advertise(name, self._hosts_server.address)
            },
            'limits': {'cpu_share': 1.0, 'cores': 2, 'memory_mb': 300},
        }

    def started_runs(self):
        """Return the (task, run) pairs that the workers have started."""
        return [
            start
            for sim in list(self.workers.sims.values())
            for start in list(sim.starts)
        ]

    def crash_worker(self, host_id):
        """End the worker of a host and start another at another address."""
        former = self._workers_by_host[host_id]
        self.workers.crash(former.address)
        self._ended_worker_ids.add(former.worker_id)
        self._start_worker(self.hosts.hosts[host_id])

    def worker_host_ids(self):
        """Return the ids of the hosts with a worker."""
        return sorted(self._workers_by_host)

    def set_zone_in_service(self, zone, in_service):
        """Take a zone out of service or put it back."""
        key = f'op/evacuate/{zone}'
        if in_service:
            self.store.txn([], [], [key])
        else:
            self.store.txn([], [base.Put(key, b'{}')])

    def close(self):
        """Stop all servers."""
        self._stop.set()
        for server in [self._store_server, *self._servers]:
            server.stop()

    def _serve(self, service):
        server = standin_server.Server(f'{LOOPBACK}:0', service)
        server.start()
        self._servers.append(server)
        return server

    def _add_host(self, number, pool):
        host = fleet.Host(
            f'host-{number}',
            pool,
            fleet.HostState.UP,
            ZONES[number % len(ZONES)],
            ('a', f'r{number % 2}'),
            model.Resources(8000, 32_000),
        )
        self.hosts.hosts[host.host_id] = host
        if pool != 'spare':
            self._start_worker(host)

    def _start_worker(self, host):
        """Start an incarnation of a worker on a host."""
        server = self._serve(None)
        born_ms = self.clock.wall_ms()
        worker = fleet.Worker(
            worker_id=f'{host.host_id}-{born_ms}',
            born_ms=born_ms,
            address=self._advertise('worker', server.address),
            pool=host.pool,
            zone=host.zone,
            labels=host.labels,
            capacity=host.capacity,
            host_id=host.host_id,
        )
        server.service = standin_services.WorkerService(self.workers, worker)
        self.workers.add(worker, self._clock_rate)
        self._workers_by_host[host.host_id] = worker
        self.hosts.hosts[host.host_id] = dataclasses.replace(
            host, worker_id=worker.worker_id
        )

    def _run_heartbeats(self):
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            self._finish_orders()
            # A test may have made the store unavailable.
            with contextlib.suppress(
                errors.StoreUnavailable, errors.WriteUncertain
            ):
                self._write_entries(sequence)
            self.workers.expire()
            self._stop.wait(HEARTBEAT_INTERVAL_S)

    def _write_entries(self, sequence):
        self.store.txn(
            [],
            [
                base.Put(
                    f'servers/{worker.worker_id}',
                    standin_services.encode_worker_entry(worker, sequence),
                )
                for worker in list(self._workers_by_host.values())
            ],
            [f'servers/{worker_id}' for worker_id in self._ended_worker_ids],
        )
        self._ended_worker_ids.clear()

    def _finish_orders(self):
        """Finish accepted moves and upkeeps, with new workers on the hosts."""
        orders, self.hosts.accepted_orders = self.hosts.accepted_orders, []
        for kind, host_id, argument, _, _ in orders:
            former = self._workers_by_host.pop(host_id, None)
            if former is not None:
                self.workers.crash(former.address)
                self._ended_worker_ids.add(former.worker_id)
            pool = argument if kind == 'move' else None
            self.hosts.finish(host_id, pool)
            if self.hosts.hosts[host_id].pool != 'spare':
                self._start_worker(self.hosts.hosts[host_id])


def _free_ports(count):
    """Return adjacent ports that are free now.

    They lie below the ephemeral range, from which the system takes ports
    for outgoing connections, so that none is taken while a node restarts.
    """
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - PORTS_PER_NODE)
        try:
            for port in range(first, first + PORTS_PER_NODE):
                with socket.socket() as probe:
                    probe.bind((LOOPBACK, port))
        except OSError:
            continue
        return list(range(first, first + count))


def main(
    directory: str = typer.Argument(help='Where settings files are written.'),
    nodes: int = typer.Option(3, help='Number of nodes to write them for.'),
    workers: int = typer.Option(4, help='Number of workers.'),
):
    """Serve a stand-in site until SIGTERM."""
    site = Site(workers)
    for number in range(nodes):
        path = pathlib.Path(directory) / f'node-{number}.json'
        path.write_text(json.dumps(site.node_settings(f'node-{number}')))
    typer.echo('the site is ready')
    standin_server.wait_for_signal()
    site.close()


def run():
    """Run the program."""
    standin_server.run_program(main)


if __name__ == '__main__':
    run()

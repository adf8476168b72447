"""Stand-in for a whole site: store, workers and hosts on 127.0.0.1."""

import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import threading

import typer

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import memory as fleet_memory
from figtray.fleet import memory_hosts
from figtray.fleet import messages
from figtray.fleet import model as fleet
from figtray.jobs import model
from figtray.platform import standin_config
from figtray.platform import standin_entries
from figtray.platform import standin_runs
from figtray.platform import standin_server
from figtray.platform import standin_services
from figtray.store import base
from figtray.store import memory as store_memory

HEARTBEAT_INTERVAL_S = 0.5
RUN_TIME_RANGE_MS = (200, 600)
# Time after which a worker that a run has crashed is back.
CRASH_S = 2.0
# Time after its crash in which the entry of a worker is still there.
ENTRY_MS = int(3 * HEARTBEAT_INTERVAL_S * 1000)


class Site:
    """Simulated site with one pool, one spare pool and a team, or several.

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
        choose_end: called with the name of a task; returns how long its run
            takes in milliseconds, and its messages.EndReason, or None if its
            worker crashes then. Without it, a run is done after a random time
            in `run_ms`.
        other_teams: further Teams.
        on_crash: called with a fleet Worker that a run has crashed.
        hold_max_ms: longest lease that a worker grants.
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
        choose_end=None,
        other_teams=(),
        on_crash=lambda worker: None,
        hold_max_ms=fleet_memory.HOLD_MAX_MS,
    ):
        self.clock = clock_lib.SystemClock()
        self.store = store_memory.MemoryStore(self.clock)
        run_finisher = standin_runs.RunFinisher(
            choose_end
            or (
                lambda task: (
                    random.uniform(*run_ms),
                    messages.EndReason.DONE,
                )
            ),
            observer or fleet_memory.RunObserver(),
        )
        self.workers = run_finisher.workers = fleet_memory.MemoryWorkers(
            self.clock, run_finisher
        )
        run_finisher.crash = self.crash_for_a_while
        self._limit_milli = limit_milli
        self._other_teams = other_teams
        self._on_crash = on_crash
        self._advertise = advertise
        self._clock_rate = clock_rate
        self._hold_max_ms = hold_max_ms
        self.hosts = memory_hosts.MemoryHosts()
        self._stop = threading.Event()
        self._servers = []
        self._host_numbers = itertools.count()
        self._workers_by_host = {}
        self._servers_by_worker_id = {}
        self._entries = standin_entries.WorkerEntries(self.store, self.clock)
        self._store_server = standin_services.start_store_server(
            f'{standin_config.LOOPBACK}:0', self.store
        )
        self._hosts_server = self._serve(
            standin_services.HostService(self.hosts)
        )
        for _ in range(host_count):
            self._add_host('main')
        for _ in range(spare_count):
            self._add_host('spare')
        self.write_config()
        threading.Thread(
            target=self._run_heartbeats, name='heartbeats', daemon=True
        ).start()

    def write_config(self, version=1, keys=(standin_config.API_KEY,)):
        """Write a version of the configuration into the store.

        Args:
            version: its number.
            keys: API keys of the team.
        """
        config = standin_config.config_document(
            version, keys, self._limit_milli, self._other_teams
        )
        self.store.txn(
            [], [base.Put('op/config', json.dumps(config).encode())]
        )

    def node_settings(self, name):
        """Return the settings of an additional node as plain data."""
        return standin_config.node_settings(
            name,
            self._advertise(name, self._store_server.address),
            self._advertise(name, self._hosts_server.address),
        ) | {'bounds': {'hold_max_ms': self._hold_max_ms}}

    def started_runs(self):
        """Return the (task, run) pairs that the workers have started."""
        return [
            start
            for sim in list(self.workers.sims.values())
            for start in list(sim.starts)
        ]

    def crash_worker(self, host_id):
        """End the worker of a host and start another at another address."""
        former = self._workers_by_host.get(host_id)
        # The worker may just have ended otherwise.
        if former is None:
            return
        self.workers.crash(former.address)
        self._entries.end(former)
        self._start_worker(self.hosts.hosts[host_id])

    def start_again(self, worker):
        """Start an incarnation of a worker under its id, at its address.

        Args:
            worker: the fleet Worker; nothing happens if it was replaced.
        """
        current = self._workers_by_host.get(worker.host_id)
        if current is None or current.incarnation != worker.incarnation:
            return
        restarted = dataclasses.replace(
            current, born_ms=self.clock.wall_ms(), draining=False
        )
        self.workers.add(restarted, self._clock_rate, self._hold_max_ms)
        self._workers_by_host[worker.host_id] = restarted

    def crash_for_a_while(self, worker):
        """End a worker; its host has another one after CRASH_S."""
        if self.crash_host(worker):
            timer = threading.Timer(
                CRASH_S, self.restart_host, (worker.host_id,)
            )
            timer.daemon = True
            timer.start()

    def crash_host(self, worker):
        """End a worker; its host is down until it is started again.

        Returns:
            Whether the worker was still there.
        """
        current = self._workers_by_host.get(worker.host_id)
        if current is None or current.incarnation != worker.incarnation:
            return False
        self._end_worker(worker.host_id, ENTRY_MS)
        self._on_crash(worker)
        return True

    def restart_host(self, host_id):
        """Start another worker on a host that is down."""
        host = self.hosts.hosts[host_id]
        if host.state is fleet.HostState.DOWN and not self._stop.is_set():
            self._start_worker(
                dataclasses.replace(host, state=fleet.HostState.UP)
            )

    def worker_on(self, host_id):
        """Return the fleet Worker of a host, or None if it has none."""
        return self._workers_by_host.get(host_id)

    def resize_worker(self, worker, capacity):
        """Change the capacity of a worker, also in its next heartbeat.

        Args:
            worker: the fleet Worker; its host keeps its own capacity.
            capacity: the Resources; None stands for those of the host.
        """
        host = self.hosts.hosts[worker.host_id]
        resized = dataclasses.replace(
            worker, capacity=host.capacity if capacity is None else capacity
        )
        self.workers.sims[worker.address].worker = resized
        self._workers_by_host[worker.host_id] = resized

    def drain_worker(self, host_id):
        """Let the worker of a host report that it will stop soon."""
        worker = self._workers_by_host.get(host_id)
        # The worker may just have ended by a move of its host.
        if worker is not None:
            self._workers_by_host[host_id] = dataclasses.replace(
                worker, draining=True
            )

    def remove_host(self, host_id, entry_ms=0):
        """End the worker of a host for good; a worker of a new host joins.

        Args:
            host_id: id of the host, which is down from then on.
            entry_ms: time in milliseconds after which the entry is deleted.

        Returns:
            The fleet Worker that has ended, or None if there was none.
        """
        worker = self._end_worker(host_id, entry_ms)
        if worker is not None:
            self._add_host(worker.pool)
        return worker

    def stop_server(self, worker):
        """Stop the server of a worker that has ended."""
        self._servers_by_worker_id[worker.worker_id].stop()

    def usable_workers(self):
        """Return the workers that are up, listed and not draining."""
        return [
            worker
            for worker in list(self._workers_by_host.values())
            if not worker.draining
            and self.workers.sims[worker.address].up
            and self.store.peek(standin_entries.PREFIX + worker.worker_id)
        ]

    def expire_entries(self):
        """Delete the entries of ended workers, also while the store is down.

        The platform's store does so at times, as the entries have leases.
        """
        self._entries.expire()

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
        server = standin_server.Server(f'{standin_config.LOOPBACK}:0', service)
        server.start()
        self._servers.append(server)
        return server

    def _add_host(self, pool):
        number = next(self._host_numbers)
        host = fleet.Host(
            f'host-{number}',
            pool,
            fleet.HostState.UP,
            standin_config.ZONES[number % len(standin_config.ZONES)],
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
        self.workers.add(worker, self._clock_rate, self._hold_max_ms)
        self._workers_by_host[host.host_id] = worker
        self._servers_by_worker_id[worker.worker_id] = server
        self.hosts.hosts[host.host_id] = dataclasses.replace(
            host, worker_id=worker.worker_id
        )

    def _end_worker(self, host_id, entry_ms):
        """Crash the worker of a host, which is down from then on."""
        worker = self._workers_by_host.pop(host_id, None)
        if worker is None:
            return None
        self.workers.crash(worker.address)
        self._entries.end(worker, entry_ms)
        self.hosts.hosts[host_id] = dataclasses.replace(
            self.hosts.hosts[host_id],
            state=fleet.HostState.DOWN,
            worker_id='',
        )
        return worker

    def _run_heartbeats(self):
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            self._finish_orders()
            # A test may have made the store unavailable.
            with contextlib.suppress(
                errors.StoreUnavailable, errors.WriteUncertain
            ):
                self._entries.write(self._workers_by_host.values(), sequence)
            self.workers.expire()
            self._stop.wait(HEARTBEAT_INTERVAL_S)

    def _finish_orders(self):
        """Finish accepted moves and upkeeps, with new workers on the hosts."""
        orders, self.hosts.accepted_orders = self.hosts.accepted_orders, []
        for kind, host_id, argument, _, _ in orders:
            former = self._workers_by_host.pop(host_id, None)
            if former is not None:
                self.workers.crash(former.address)
                self._entries.end(former)
            pool = argument if kind == 'move' else None
            self.hosts.finish(host_id, pool)
            if self.hosts.hosts[host_id].pool != 'spare':
                self._start_worker(self.hosts.hosts[host_id])


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

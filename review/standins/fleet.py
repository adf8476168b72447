"""Small deployment on loopback: store, hosts, workers, nodes and callers.

The store, the host service and the workers are the project's own stand-ins,
served from this process. The nodes run as processes of their own, with the
command of deploy/system.toml.
"""

import heapq
import http.client
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import memory as fleet_memory
from figtray.fleet import memory_hosts
from figtray.fleet import messages
from figtray.fleet import model as fleet
from figtray.jobs import model
from figtray.platform import standin_server
from figtray.platform import standin_services
from figtray.store import base
from figtray.store import memory as store_memory

LOOPBACK = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[2]
CALLER_HOST = 'pule25.example'
PREFIX = '/puxa400/'
# Of the queue whose tasks run in the pool `other`.
OTHER_PREFIX = '/tije37/'
KEY = 'cugo130key'
# Time after which a task that lasts is at work.
STARTUP_S = 0.7
HEARTBEAT_S = 1.5
# A worker's entry goes after three intervals of silence.
ENTRY_LEFT_S = 3 * HEARTBEAT_S
# The bounds of the settings of a site.
BOUNDS = {
    'contact_ms': 3000,
    'ack_ms': 4000,
    'drain_ms': 2000,
    'grace_s': 6,
    'config_ms': 2000,
    'strict_revoke': True,
    'revoke_ms': 5000,
    'evacuate_ms': 5000,
    'hold_max_ms': 6000,
    'stop_ms': 400,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'status_s': 120,
    'move_s': 1.5,
    'upkeep_s': 2,
    'fencing': False,
    'lease_ms': 3000,
}


# Longest time of a case.
MAX_CASE_S = 112
BROKEN_STATUS = 10
_processes = []
_reserved_sockets = []


class CannotRun(Exception):
    """The case can't be played on this machine."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._began_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, 'w')

    def now_s(self):
        return time.monotonic() - self._began_s

    def write(self, text):
        with self._lock:
            self._file.write(f'{self.now_s():9.3f} {text}\n')
            self._file.flush()


class Runs(fleet_memory.RunObserver):
    """Ends the runs in time, and judges their starts.

    Args:
        record: the Record.
        run_s: called with the name of a task; returns how long it runs.
    """

    def __init__(self, record, run_s):
        self._record = record
        self._run_s = run_s
        self._cond = threading.Condition(threading.RLock())
        self._due = []
        self._count = 0
        self.workers = None
        # (worker id, start of its life) of each active run, by (task, run).
        self.active = {}
        # All starts: task -> list of (time, run, worker id).
        self.starts = {}
        # Ends `done`: (time, worker id, time on its clock), by life and run.
        self.done = {}
        self.acknowledged_done = []
        self.overlaps = []
        # Ends `stopped`: (time, task, run, worker id).
        self.stopped = []
        threading.Thread(target=self._end_runs, daemon=True).start()

    def run_started(self, sim, task, run):
        now_s = self._record.now_s()
        worker_id = sim.worker.worker_id
        self._record.write(f'start {task} run {run} on {worker_id}')
        with self._cond:
            others = [
                (other_run, where)
                for (name, other_run), where in self.active.items()
                if name == task
            ]
            if others:
                self.overlaps.append((now_s, task, run, worker_id, others))
            self.active[task, run] = (worker_id, sim.worker.born_ms)
            self.starts.setdefault(task, []).append((now_s, run, worker_id))
            duration_s = self._run_s(task)
            if duration_s is not None:
                self._count += 1
                heapq.heappush(
                    self._due,
                    (
                        time.monotonic() + duration_s,
                        self._count,
                        sim,
                        task,
                        run,
                    ),
                )
                self._cond.notify()
        if duration_s is None:
            timer = threading.Timer(
                STARTUP_S, self._reach_full_speed, (sim, task, run)
            )
            timer.daemon = True
            timer.start()

    def _reach_full_speed(self, sim, task, run):
        with self.workers._lock:
            current = sim.runs.get(task)
            if current is not None and current.run == run:
                current.percent = 100

    def run_ended(self, sim, task, run, reason):
        how = reason.value if reason else 'crash of the worker'
        self._record.write(
            f'end {task} run {run} on {sim.worker.worker_id}: {how}'
        )
        with self._cond:
            self.active.pop((task, run), None)
            if reason is messages.EndReason.STOPPED:
                self.stopped.append(
                    (self._record.now_s(), task, run, sim.worker.worker_id)
                )
            if reason is messages.EndReason.DONE:
                self.done[id(sim), task, run] = (
                    self._record.now_s(),
                    sim.worker.worker_id,
                    sim.clock_ms(),
                )

    def end_acknowledged(self, sim, ended_run):
        if ended_run.end is messages.EndReason.DONE:
            with self._cond:
                done_s, worker_id, done_ms = self.done[
                    id(sim), ended_run.task, ended_run.run
                ]
                lapse_ms = sim.last_lapse_ms()
                # Such an end doesn't count as taken note of.
                if lapse_ms is not None and lapse_ms >= done_ms:
                    return
                self.acknowledged_done.append(
                    (done_s, ended_run.task, ended_run.run, worker_id)
                )

    def starts_after_done(self):
        """Return the starts after an end `done` that was acknowledged."""
        found = []
        with self._cond:
            first_done = {}
            for done_s, task, run, worker_id in self.acknowledged_done:
                if done_s < first_done.get(task, (float('inf'),))[0]:
                    first_done[task] = (done_s, run, worker_id)
            for task, (done_s, run, worker_id) in first_done.items():
                for start_s, later, where in self.starts[task]:
                    if start_s > done_s:
                        found.append(
                            f'{task}: run {run} on {worker_id} ended done at '
                            f'{done_s:.3f}, run {later} started on {where} '
                            f'at {start_s:.3f}'
                        )
        return found

    def count_active(self, prefix=''):
        with self._cond:
            return sum(1 for task, _ in self.active if task.startswith(prefix))

    def inactive_tasks(self, job_id, count):
        """Return the names of the tasks of a job's only step without a run."""
        with self._cond:
            active = {task for task, _ in self.active}
        names = [f'{job_id}.0.0.{index}' for index in range(count)]
        return [name for name in names if name not in active]

    def _end_runs(self):
        while True:
            with self._cond:
                while not self._due or self._due[0][0] > time.monotonic():
                    timeout = None
                    if self._due:
                        timeout = max(0, self._due[0][0] - time.monotonic())
                    self._cond.wait(timeout)
                _, _, sim, task, run = heapq.heappop(self._due)
            with self.workers._lock:
                current = sim.runs.get(task)
                if sim.up and current is not None and current.run == run:
                    sim.end(task, messages.EndReason.DONE)
                    self.workers._changed.notify_all()


class Worker:
    """A worker on a host of its own, whose process crashes and starts."""

    def __init__(self, site, number, cores, labels, pool='main'):
        self._site = site
        self.pool = pool
        self.host_id = f'm-{number:04x}'
        self.worker_id = f'i-{number:08x}'
        # Each host has a rack of its own.
        self.rack = f'r1-{number}'
        self.labels = ('a', self.rack, *labels)
        self.capacity = model.Resources(cores * 1000, cores * 4096)
        self.address = f'{LOOPBACK}:0'
        self.born_ms = 0
        self.server = None

    def start(self):
        """Start a life under the same id, on the same address."""
        born_ms = time.time_ns() // 1_000_000
        self.born_ms = max(born_ms, self.born_ms + 1)
        self.server = standin_server.Server(self.address, None)
        self.address = self.server.address
        worker = self.model()
        self._site.workers.add(worker, hold_max_ms=BOUNDS['hold_max_ms'])
        self.server.service = standin_services.WorkerService(
            self._site.workers, worker
        )
        self.server.start()
        self._site.hosts.hosts[self.host_id] = self.host(self.worker_id)
        self._site.record.write(
            f'worker {self.worker_id} is up at {self.address}, '
            f'born {self.born_ms}'
        )
        self._site.write_entry(self)

    def crash(self):
        """End the process at once; its address refuses connections."""
        self.server.stop()
        self.server = None
        self._site.workers.crash(self.address)
        self._site.hosts.hosts[self.host_id] = self.host(
            '', fleet.HostState.DOWN
        )
        self._site.record.write(f'worker {self.worker_id} has ended')

    def host(self, worker_id, state=fleet.HostState.UP):
        return fleet.Host(
            self.host_id,
            self.pool,
            state,
            'kathmandu',
            self.labels,
            self.capacity,
            worker_id,
        )

    def model(self):
        return fleet.Worker(
            worker_id=self.worker_id,
            born_ms=self.born_ms,
            address=self.address,
            pool=self.pool,
            zone='kathmandu',
            labels=self.labels,
            capacity=self.capacity,
            host_id=self.host_id,
        )


class HostService(standin_services.HostService):
    """Host service that notes the orders, and carries out moves."""

    def __init__(self, site):
        super().__init__(site.hosts)
        self._site = site

    def _execute_order(self, path, data, headers):
        site, host_id = self._site, data['machine']
        holder = headers['X-Figtray-Holder']
        token = int(headers['X-Figtray-Fencing-Token'])
        with site.orders_lock:
            host = self.hosts.hosts[host_id]
            if data.get('pool') == host.pool:
                accepted = True
            else:
                accepted = super()._execute_order(path, data, headers)
                if accepted:
                    site.move(host_id, data['pool'])
            now_s = site.record.now_s()
            site.orders.append((now_s, host_id, token, holder))
            site.record.write(
                f'order {path} {data} of {holder} with token {token}: '
                f'{"accepted" if accepted else "refused"}'
            )
        return accepted


class Site:
    """Store, hosts, workers and the operators' configuration.

    Args:
        record: the Record.
        run_s: see Runs.
        workers: (cores, further labels) of each worker, and its pool if that
            is not `main`.
        spare: number of hosts in the spare pool.
    """

    def __init__(self, record, run_s, workers, spare=0):
        self.record = record
        self.runs = Runs(record, run_s)
        self.clock = clock_lib.SystemClock()
        self.store = store_memory.MemoryStore(self.clock)
        self.workers = fleet_memory.MemoryWorkers(self.clock, self.runs)
        self.runs.workers = self.workers
        self.hosts = memory_hosts.MemoryHosts()
        self._sequence = 0
        self._last_beat_s = {}
        self._lock = threading.Lock()
        self.orders_lock = threading.Lock()
        # Called with (node, address); returns the address that it gets.
        self.advertise = lambda node, address: address
        self.orders = []
        self.store_server = standin_services.start_store_server(
            f'{LOOPBACK}:0', self.store
        )
        self.hosts_server = standin_server.Server(
            f'{LOOPBACK}:0', HostService(self)
        )
        self.hosts_server.start()
        config = config_document(spare > 0)
        self.write("op/config", json.dumps(config).encode())
        self.fleet = []
        for number, (cores, labels, *pool) in enumerate(workers, 1):
            worker = Worker(self, number, cores, labels, *pool)
            self.fleet.append(worker)
            worker.start()
        for number in range(len(workers) + 1, len(workers) + spare + 1):
            worker = Worker(self, number, workers[0][0], (), 'spare')
            self.fleet.append(worker)
            self.hosts.hosts[worker.host_id] = worker.host('')
        threading.Thread(target=self._beat, daemon=True).start()

    def move(self, host_id, pool):
        """Carry out an accepted move."""
        worker = next(w for w in self.fleet if w.host_id == host_id)
        if worker.server is not None:
            worker.crash()
            self.store.remove([f'servers/{worker.worker_id}'])

        def finish():
            worker.pool = pool
            if pool == 'spare':
                self.hosts.hosts[host_id] = worker.host('')
                return
            worker.worker_id = f'i-{secrets.token_hex(4)}'
            worker.address = f'{LOOPBACK}:0'
            worker.start()

        timer = threading.Timer(BOUNDS['move_s'], finish)
        timer.daemon = True
        timer.start()

    def write_entry(self, worker):
        with self._lock:
            self._sequence += 1
            self._last_beat_s[worker.worker_id] = time.monotonic()
            self.write(
                f'servers/{worker.worker_id}',
                standin_services.encode_worker_entry(
                    worker.model(), self._sequence
                ),
            )

    def write(self, key, value):
        try:
            self.store.txn([], [base.Put(key, value)])
        except errors.StoreUnavailable:
            pass

    def _beat(self):
        while True:
            time.sleep(0.1)
            self.workers.expire()
            for worker in self.fleet:
                silent_s = time.monotonic() - self._last_beat_s.get(
                    worker.worker_id, 0
                )
                if worker.server is not None and silent_s >= HEARTBEAT_S:
                    self.write_entry(worker)
                elif worker.server is None and silent_s >= ENTRY_LEFT_S:
                    self.store.remove([f'servers/{worker.worker_id}'])


def config_document(has_spare):
    pools = {PREFIX: 'main'}
    services = [{'name': 'main', 'rejects_overload': True}]
    if has_spare:
        pools[OTHER_PREFIX] = 'other'
        services += [
            {'name': 'other', 'rejects_overload': True},
            {'name': 'spare', 'spare': True},
        ]
    return {
        'version': 3,
        'routes': [
            {
                'name': f'r-{pool}',
                'host': CALLER_HOST,
                'prefix': prefix,
                'service': pool,
                'type': 'non_idempotent',
                'timeout_ms': 3000,
                'target_latency_ms': 600,
                'priority': 0,
                'attempts': 3,
                'stretch': 1.6,
                'public': False,
            }
            for prefix, pool in pools.items()
        ],
        'services': services,
        'tenants': [
            {
                'name': 'cugo130',
                'api_keys': [KEY],
                'weight': 25,
                'maximum': {'cpu': 400_000, 'mem_mb': 2_000_000},
            }
        ],
    }


class Node:
    """A process of the deploy file's command, that can be killed."""

    def __init__(self, site, directory, number):
        self.name = f'edge-kathmandu-{number}'
        self.links = []
        ports = free_ports(6)
        self.front = f'{LOOPBACK}:{ports[0]}'
        self._ready = f'{LOOPBACK}:{ports[1]}'
        self._record = site.record
        self._directory = directory
        self._starts = 0
        self.process = None
        settings = {
            'node_name': self.name,
            'role': 'node',
            'machine_class': 'edge',
            'serves': ['edge'],
            'ip': LOOPBACK,
            'zone': 'kathmandu',
            'region': 'bagmati',
            'listen': {'front': self.front, 'ready': self._ready},
            'internal_ports': [ports[2], ports[5]],
            'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300},
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'bounds': BOUNDS,
            'commands': 'request',
            'platform': {
                'address': site.advertise(self, site.store_server.address)
            },
            'cloud': {
                'address': site.advertise(self, site.hosts_server.address)
            },
        }
        self._settings_path = directory / f'{self.name}.json'
        self._settings_path.write_text(json.dumps(settings))

    def start(self):
        self._starts += 1
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['FIGTRAY_NODE_FILE'] = str(self._settings_path)
        self.log_path = self._directory / f'{self.name}-{self._starts}.log'
        with open(self.log_path, 'wb') as out:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=out, stderr=out
            )
        _processes.append(self.process)
        self._record.write(f'node {self.name} starts')

    def signal(self, number):
        self._record.write(f'node {self.name} gets signal {number}')
        self.process.send_signal(number)

    def kill(self):
        self._record.write(f'node {self.name} is killed')
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            return call(self._ready, 'GET', '/api/ready')[0] == 200
        except OSError:
            return False


class Deployment:
    """Site and nodes of a case; ends all processes at its end."""

    def __init__(
        self,
        case_dir,
        run_s,
        workers,
        nodes=3,
        spare=0,
        advertise=lambda node, address: address,
    ):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = Record(pathlib.Path(case_dir) / 'record.txt')
        self.site = Site(self.record, run_s, workers, spare)
        self.site.advertise = advertise
        self.nodes = [
            Node(self.site, self.directory, number + 1)
            for number in range(nodes)
        ]

    def __enter__(self):
        for node in self.nodes:
            node.start()
        self.wait_for(
            lambda: all(node.is_ready() for node in self.nodes)
            and self.leader() is not None,
            30,
            'the nodes are not ready',
        )
        # The leader has to reach the workers.
        time.sleep(2)
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            if node.process is not None:
                node.process.kill()
                node.process.wait()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(
                self.directory, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        shutil.rmtree(self.directory, ignore_errors=True)

    def leader(self):
        """Return the Node that leads; None if the store names none."""
        item = self.site.store.peek('leader')
        if item is None:
            return None
        name = json.loads(item.value)['node']
        return next(node for node in self.nodes if node.name == name)

    def wait_for(self, condition, for_s, problem):
        until_s = time.monotonic() + for_s
        while not condition():
            if time.monotonic() > until_s:
                raise CannotRun(problem)
            time.sleep(0.02)

    def submit(self, steps, node, prefix=PREFIX):
        """Submit a job until it is accepted; return its id."""
        job_id = secrets.token_hex(8)
        body = {'spec': f'spec of {job_id}', 'steps': steps}
        for _ in range(20):
            status, _ = self.request('POST', job_id, node, body, prefix)
            if status == 200:
                return job_id
            time.sleep(0.2)
        raise CannotRun('the job is not accepted')

    def state(self, job_id, node):
        """Return the status and the state that a node shows of a job."""
        status, reply = self.request('GET', job_id, node)
        return status, reply.get('state')

    def request(self, method, job_id, node, body=None, prefix=PREFIX):
        try:
            status, data = call(
                node.front,
                method,
                prefix + job_id,
                body,
                {
                    'Host': CALLER_HOST,
                    'Authorization': f'Token {KEY}',
                    'X-Figtray-Deadline-Ms': '3000',
                },
            )
            reply = json.loads(data or b'{}')
        except (OSError, http.client.HTTPException, ValueError) as exc:
            status, reply = 0, {'error': repr(exc)}
        self.record.write(
            f"{method} {prefix}{job_id} at {node.name}: {status} {reply}"
        )
        return status, reply


def call(address, method, path, body=None, headers=()):
    host, _, port = address.rpartition(':')
    conn = http.client.HTTPConnection(host, int(port), timeout=3)
    try:
        all_headers = dict(headers)
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            all_headers['Content-Type'] = 'application/json'
        conn.request(method, path, data, all_headers)
        reply = conn.getresponse()
        return reply.status, reply.read()
    finally:
        conn.close()


def free_ports(count):
    """Reserve and return adjacent ports below the ephemeral range.

    The sockets stay bound without listening, so that no other case takes the
    ports; a node, which sets SO_REUSEADDR as well, can still listen there.
    """
    while True:
        first = 10_000 + secrets.randbelow(20_000)
        ports = list(range(first, first + count))
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((LOOPBACK, port))
            for port in ports:
                reserved = socket.socket()
                reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                reserved.bind((LOOPBACK, port))
                _reserved_sockets.append(reserved)
        except OSError:
            continue
        return ports


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(play):
    """Run play() and exit: 10 if a rule was broken, 0 if not, else 2.

    run.sh turns 10 into 1, which Python uses for errors of its own.

    Args:
        play: called without arguments; returns the list of what broke a
            rule.
    """
    signal.signal(signal.SIGTERM, lambda *_: _give_up('it was stopped'))
    watchdog = threading.Timer(MAX_CASE_S, _give_up, ('it takes too long',))
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = play()
    except Exception as exc:
        _give_up(repr(exc))
    for line in broken[:10]:
        print(line)
    print(f'broken: {len(broken)}')
    sys.stdout.flush()
    os._exit(BROKEN_STATUS if broken else 0)


def _give_up(reason):
    """End all processes; the case could not run."""
    print(f'the case could not run: {reason}', file=sys.stderr)
    for process in _processes:
        process.kill()
    os._exit(2)

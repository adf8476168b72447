"""Dispatcher of one entry with attempts that a test moves step by step."""

import random
import threading
import types

from figtray import clock as clock_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.dispatch import dispatcher as dispatcher_lib
from figtray.dispatch import health as health_lib
from figtray.dispatch import selection
from figtray.dispatch import tasks as tasks_lib
from figtray.hostlist import base as hostlist_base
from figtray.limits import allotments as allotments_lib
from figtray.peers import messages
from figtray.peers import serving
from figtray.queues import queueset
from figtray.shares import view as view_lib
from figtray.workers import memory

LIMIT = 5
HOSTS = {
    'h1': ('z1', 'p'),
    'h2': ('z2', 'p'),
    'h3': ('z2', 'p'),
    'h4': ('z1', 'q'),
}
KEYS = {'k1': 't1', 'k2': 't2'}
SPECS = {
    'zones': {'z1': {}, 'z2': {}},
    'pools': {'p': {}, 'q': {}},
    'teams': {'t1': {'limit': LIMIT}, 't2': {'limit': LIMIT}},
    'keys': {k: {'team': t, 'hash': 'x'} for k, t in KEYS.items()},
    'queues': {
        'plain': {'pool': 'p', 'run_limit_ms': 8_000},
        'open': {'pool': 'p', 'open': True, 'open_team': 't1'},
        'ord': {'pool': 'p', 'ordered': True, 'run_limit_ms': 8_000},
    },
    'hosts': {
        host: {
            'address': f'127.0.0.{host[1]}:1',
            'zone': zone,
            'rack': 'r',
            'pool': pool,
            'slots': 2,
        }
        for host, (zone, pool) in HOSTS.items()
    },
}


class Run:
    """One attempt in a thread of its own; only one of all runs at a time."""

    def __init__(self, function, args):
        self.queued = args[0]
        self.point = 'submitted'
        self.start = None
        self.answer = None
        self._function = function
        self._args = args
        self._go = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._thread = None

    def resume(self):
        """Go on until the next pause or the end."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, daemon=True)
            self._thread.run_of = self
            self._thread.start()
        else:
            self._go.release()
        self._paused.acquire()

    def pause(self, point):
        """Stop the attempt's own thread at a point."""
        self.point = point
        self._paused.release()
        self._go.acquire()

    def _run(self):
        try:
            self._function(*self._args)
        finally:
            self.point = 'ended'
            self._paused.release()


class SteppedExecutor:
    """Executor whose tasks a test runs."""

    def __init__(self):
        self.runs = []

    def submit(self, function, *args):
        self.runs.append(Run(function, args))

    def step(self, run):
        """Run an attempt to its next pause."""
        run.resume()
        if run.point == 'ended':
            self.runs.remove(run)


class SteppedClient(memory.MemoryWorkerClient):
    """Client of in-memory workers that pauses each attempt three times."""

    def _before_check(self, start):
        run = threading.current_thread().run_of
        run.start = start
        run.pause('connected')

    def _before_send(self, start):
        threading.current_thread().run_of.pause('checked')

    def _wait(self, address, start):
        run = threading.current_thread().run_of
        run.pause('running')
        return run.answer or (200, start.body)


class LoggedWorker(memory.MemoryWorker):
    """Worker that reports each start and end to a test."""

    def __init__(self, *args, on_start, on_end):
        super().__init__(*args)
        self._on_start = on_start
        self._on_end = on_end

    def begin(self, start, start_by_ms):
        execution = super().begin(start, start_by_ms)
        if not isinstance(execution, str):
            self._on_start(self.host, execution)
        return execution

    def end(self, execution, outcome):
        if execution.outcome is None:
            self._on_end(self.host, execution)
        return super().end(execution, outcome)


class Cell:
    """The slices of one entry that start work, and its workers."""

    def __init__(self, on_start, on_end, specs=None):
        self.clock = clock_lib.ManualClock()
        cfg = types.SimpleNamespace(
            attempt_threads=7,
            connections_per_worker=6,
            zone_ramp_ms=4_000,
            job_max_workers=3,
            worker_max_failures=5,
            retry_budget_percent=10,
            retry_budget_min_per_s=1,
        )
        self.cfg = cfg
        self.replica = replica_lib.Replica('test')
        self.right = serving.ServingRight(('a', 'b', 'c'), 'a', self.clock)
        self.right.set_synchronised()
        self.allotments = allotments_lib.Allotments('a', 'run', self.clock)
        self.view = view_lib.ShareView(self.clock, 'a')
        self.queues = queueset.QueueSet(self.clock)
        self.health = health_lib.WorkerHealth(
            self.clock, cfg, random.Random(1)
        )
        self.selector = selection.HostSelector(
            'a', cfg, self.health, self.clock
        )
        self.client = SteppedClient(self.clock)
        self.executor = SteppedExecutor()
        self.table = tasks_lib.TaskTable('a', 1_000, 600_000, self.clock)
        self.dispatcher = dispatcher_lib.Dispatcher(
            cfg,
            self.clock,
            self.replica,
            self.right,
            self.queues,
            self.view,
            self.allotments,
            types.SimpleNamespace(want=lambda team, count: None),
            self.selector,
            self.client,
            self.health,
            self.executor,
            types.SimpleNamespace(count_retry=lambda team: None),
            random.Random(2),
        )
        self.replica.subscribe(self.allotments.on_configuration)
        self.replica.subscribe(self.selector.on_configuration)
        self.replica.subscribe(self.dispatcher.on_configuration)
        self.addresses = {}
        self.workers = {}
        for host, spec in SPECS['hosts'].items():
            self.addresses[host] = spec['address']
            self.workers[host] = LoggedWorker(
                host, 2, self.clock, on_start=on_start, on_end=on_end
            )
            self.client.add(spec['address'], self.workers[host])
            self.client.held.add(spec['address'])
        self.change(specs or SPECS)
        self.allotments.join(1)
        versions = tuple(
            messages.TeamAllotment(t, self.allotments.team_version(t), LIMIT)
            for t in SPECS['teams']
        )
        self.allotments.grant(messages.Grant(1, versions))
        self.connected = True
        self.confirm()

    def change(self, specs):
        """Apply specs, a mapping of kind to name to data or None."""
        snapshot = self.replica.snapshot
        items = [
            snapshot_lib.Item(kind, name, snapshot.generation + 1, spec)
            for kind, named in specs.items()
            for name, spec in named.items()
        ]
        self.replica.apply(
            snapshot_lib.make_change(
                'test', snapshot.mark, f'c{snapshot.generation}', items
            )
        )

    def data(self, kind, name):
        """Return the plain data of a live specification."""
        spec = self.replica.snapshot.spec(resources.Kind(kind), name)
        return snapshot_lib.spec_data(spec)

    def confirm(self):
        """Let the peers confirm this entry."""
        if self.connected:
            self.right.confirm('b', self.clock.now_ms())

    def housekeep(self):
        """Do what an entry does several times in a second."""
        shares = {
            team: view_lib.TeamShare(spec.weight, spec.limit)
            for team, spec in self.replica.snapshot.specs(
                resources.Kind.TEAM
            ).items()
        }
        for pool in self.selector.pools():
            self.view.configure(pool, self.selector.capacity(pool), shares)
        self.dispatcher.doubtful.check()
        self.dispatcher.step()

    def pass_time(self, ms, step_ms=250):
        """Let time pass in steps, with heartbeats and housekeeping."""
        for _ in range(ms // step_ms):
            self.clock.advance(step_ms)
            self.confirm()
            for worker in self.workers.values():
                worker.expire()
            self.housekeep()

    def submit(self, queue, key_id, body, **fields):
        """Submit a request; `left_ms` is the time to its deadline."""
        now_ms = self.clock.now_ms()
        spec = self.replica.snapshot.spec(resources.Kind.QUEUE, queue)
        left_ms = fields.pop('left_ms', 30_000)
        req = tasks_lib.TaskRequest(
            queue=queue,
            pool=spec.pool if spec else '',
            team=KEYS.get(key_id, 't1'),
            key_id=key_id,
            body=body,
            received_ms=now_ms,
            deadline_ms=now_ms + left_ms,
            **fields,
        )
        task = self.table.add(req)
        self.dispatcher.submit(task)
        return task

    def host_list(self, leaving):
        """Deliver a host list that names some hosts as leaving."""
        presence = hostlist_base.HostPresence
        self.selector.on_host_list(
            [
                hostlist_base.HostStatus(
                    host,
                    presence.LEAVING if host in leaving else presence.LIVE,
                    '',
                    0,
                    0,
                )
                for host in HOSTS
            ]
        )

    def run(self, run, point='ended'):
        """Move an attempt on until it is at a point or has ended."""
        while run.point not in (point, 'ended'):
            self.executor.step(run)

    def run_all(self):
        """Start and finish everything that can be."""
        self.housekeep()
        while self.executor.runs:
            self.run(self.executor.runs[0])
            self.housekeep()

    def in_use(self):
        """Return the permits in use by team."""
        return {i.team: i.in_use for i in self.allotments.report()}

"""Small fakes that drive the real capacity duty on a manual clock."""

import collections
import concurrent.futures
import dataclasses
import math

from figtray.capacity import demand as demand_lib
from figtray.capacity import duty as duty_lib
from figtray.capacity import model
from figtray.capacity import observer as observer_lib
from figtray import clock as clock_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer as writer_lib
from figtray.controller import election as election_lib
from figtray import errors
from figtray.hostlist import base as hostlist_base
from figtray.hostlist import memory as hostlist_memory
from figtray.store import memory as store_memory
from figtray.workers import base as workers_base

STEP_MS = 1_000
SLOTS = 8
HOSTS_PER_RACK = 4
START_S = 2_000_000_000
WEEK_S = 7 * 24 * 3600

State = resources.HostState


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Layout of a deployment; the last pool is the spare pool."""

    name: str
    zones: int
    pools: tuple[str, ...]
    hosts_per_pool: int
    min_hosts: int
    weights: resources.Weights


COOPERATIVE = Deployment(
    name='cooperative',
    zones=4,
    pools=('quoting', 'dispatch', 'gate', 'convoys', 'administration'),
    hosts_per_pool=8,
    min_hosts=6,
    weights=resources.Weights(outage_work=3, share=3, moves=1, roll_out=1),
)
BUREAU = Deployment(
    name='bureau',
    zones=3,
    pools=('household', 'hydro', 'feeder', 'solar', 'records'),
    hosts_per_pool=6,
    min_hosts=4,
    weights=resources.Weights(outage_work=1, share=1, moves=3, roll_out=3),
)
DEPLOYMENTS = (COOPERATIVE, BUREAU)


class InlineExecutor(concurrent.futures.Executor):
    """Runs every call at once in the calling thread."""

    def submit(self, function, /, *args, **kwargs):
        fut = concurrent.futures.Future()
        try:
            fut.set_result(function(*args, **kwargs))
        except Exception as exc:
            fut.set_exception(exc)
        return fut


class FakeWorkers(workers_base.WorkerClient):
    """Workers whose reports a test or experiment sets."""

    def __init__(self):
        self.reports = {}

    def report(self, address, timeout_ms):
        if address not in self.reports:
            raise errors.WorkerUnavailable(address=address, detail='down')
        return self.reports[address]


def item(kind, name, spec, version=0):
    """Return a configuration Item of a specification."""
    return snapshot_lib.Item(
        kind.value, name, version, snapshot_lib.spec_data(spec)
    )


def layout_items(
    deployment, spare_hosts=None, fixed_hosts=None, run_limit_ms=5_000
):
    """Yield the items of a deployment.

    Args:
        deployment: the Deployment.
        spare_hosts: hosts of the spare pool, if not as many as the others.
        fixed_hosts: hosts of each other pool, if not hosts_per_pool.
        run_limit_ms: longest run time of a task in milliseconds.
    """
    kind = resources.Kind
    yield item(
        kind.POLICY,
        resources.POLICY_NAME,
        resources.Policy(weights=deployment.weights),
    )
    zones = [f'dc-{number}' for number in range(1, deployment.zones + 1)]
    for zone in zones:
        yield item(kind.ZONE, zone, resources.Zone())
    *normal, spare = deployment.pools
    for pool in normal:
        spec = resources.Pool(min_slots=deployment.min_hosts * SLOTS)
        yield item(kind.POOL, pool, spec)
        yield item(
            kind.QUEUE, pool, resources.Queue(pool, run_limit_ms=run_limit_ms)
        )
    yield item(kind.POOL, spare, resources.Pool(spare=True))
    per_pool = fixed_hosts or deployment.hosts_per_pool
    pools = [pool for pool in normal for _ in range(per_pool)]
    spares = deployment.hosts_per_pool if spare_hosts is None else spare_hosts
    pools += [spare] * spares
    for number, pool in enumerate(pools):
        zone = zones[number % len(zones)]
        rack = number // len(zones) // HOSTS_PER_RACK
        spec = resources.Host(
            address=f'127.0.0.1:{10_000 + number}',
            zone=zone,
            rack=f'{zone}-r{rack}',
            pool=pool,
            slots=SLOTS,
            maintained_at_s=START_S - number,
        )
        yield item(kind.HOST, f'host-{number:03d}', spec)


class Fleet:
    """A deployment whose tasks all run equally long, in steps of a second.

    Numbers of tasks need not be whole. A draining host finishes what it
    began; the tasks of a host that goes down are lost. `duty` are further
    arguments of the CapacityDuty.
    """

    def __init__(
        self,
        deployment,
        items=None,
        task_ms=2_000,
        counts_arrivals=True,
        **duty,
    ):
        self.deployment = deployment
        self.clock = clock_lib.ManualClock()
        self.store = store_memory.MemoryStore(self.clock)
        replicas = {
            f'entry-{number}': replica_lib.Replica(deployment.name)
            for number in range(1, 4)
        }
        self.entries = writer_lib.ReplicaGroup(replicas)
        self.writer = writer_lib.Writer(
            self.store, deployment.name, self.entries, self.clock
        )
        items = list(items or layout_items(deployment))
        self.writer.commit(lambda snapshot: items)
        self.host_list = hostlist_memory.MemoryHostList()
        self.workers = FakeWorkers()
        self.observer = observer_lib.Observer(
            self.host_list,
            self.workers,
            self.entries,
            self.clock,
            InlineExecutor(),
        )
        self.task_ms = task_ms
        self.queued = collections.Counter()
        self.tasks = collections.defaultdict(list)
        self.arrived = collections.Counter()
        self.served = collections.Counter()
        self.boots = collections.Counter()
        self.down = set()
        self.rebooting = {}
        self.reboot_ms = 60_000
        self.moves = 0
        self.applied = []
        self.election = election_lib.Election(
            self.store, deployment.name, 'controller-1', self.clock
        )
        self.duty = duty_lib.CapacityDuty(
            self.writer,
            self.observer,
            self.demand,
            self.clock,
            self.wall_s,
            **duty,
        )
        self.start_ms = self.clock.now_ms()
        self.skew_s = 0
        self.counts_arrivals = counts_arrivals

    @property
    def snapshot(self):
        """The configuration that the entries hold."""
        return self.entries.replicas['entry-1'].snapshot

    @property
    def hosts(self):
        """Host specifications by name."""
        return self.snapshot.specs(resources.Kind.HOST)

    def wall_s(self):
        """Return the time of day in seconds since the epoch."""
        elapsed_ms = self.clock.now_ms() - self.start_ms
        return START_S + self.skew_s + elapsed_ms // 1000

    def demand(self):
        """Return the PoolLoad of each pool."""
        running = collections.Counter()
        for name, spec in self.hosts.items():
            running[spec.pool] += self.running(name)
        return {
            pool: demand_lib.PoolLoad(
                running[pool],
                self.queued[pool],
                self.task_ms,
                self.arrived[pool] if self.counts_arrivals else None,
            )
            for pool in self.snapshot.specs(resources.Kind.POOL)
        }

    def serving(self, pool):
        """Return the names of the hosts that serve a pool now."""
        zones = self.snapshot.specs(resources.Kind.ZONE)
        return [
            name
            for name, spec in self.hosts.items()
            if spec.pool == pool
            and spec.state is State.SERVING
            and name not in self.down
            and zones[spec.zone].in_service
        ]

    def set_zone(self, zone, in_service):
        """Take a zone out of or into service, as an operator would."""
        spec = resources.Zone(in_service=in_service)
        self.writer.commit(
            lambda snapshot: [
                item(resources.Kind.ZONE, zone, spec, snapshot.generation + 1)
            ]
        )

    def work(self, arrivals, max_queued=None):
        """Finish and start tasks for one step.

        Args:
            arrivals: mapping of pool to slots that the arriving work keeps
                busy.
            max_queued: bound of each queue in tasks; what is over it is
                refused.

        Returns:
            Slot-milliseconds of work started, by pool.
        """
        now_ms = self.clock.now_ms()
        started = collections.Counter()
        for name, tasks in self.tasks.items():
            self.tasks[name] = [t for t in tasks if t[0] > now_ms]
        for pool, slots in arrivals.items():
            self.queued[pool] += slots * STEP_MS / self.task_ms
            self.arrived[pool] += slots * STEP_MS / self.task_ms
            free = {
                name: SLOTS - self.running(name) for name in self.serving(pool)
            }
            starting = min(self.queued[pool], sum(free.values()))
            if starting > 0:
                fraction = starting / sum(free.values())
                for name, slots in free.items():
                    task = now_ms + self.task_ms, slots * fraction
                    self.tasks[name].append(task)
                self.queued[pool] -= starting
                started[pool] = starting * self.task_ms
            if max_queued is not None:
                self.queued[pool] = min(self.queued[pool], max_queued)
        self.served.update(started)
        return started

    def running(self, host):
        """Return the number of tasks that a host runs."""
        return sum(count for _, count in self.tasks[host])

    def control(self):
        """Run one iteration of the controller and pass a step's time."""
        self._report()
        role = self.election.step()
        before = {name: spec.pool for name, spec in self.hosts.items()}
        for applied in self.duty.run(role):
            self.applied.append((self.clock.now_ms(), applied))
            for action in applied.done:
                if isinstance(action, model.Assign):
                    self.moves += before[action.host] != action.pool
        self.clock.advance(STEP_MS)

    def _report(self):
        now_ms = self.clock.now_ms()
        self.host_list.hosts.clear()
        self.workers.reports.clear()
        for name, spec in self.hosts.items():
            if spec.state is State.MAINTENANCE and name not in self.rebooting:
                self.rebooting[name] = now_ms + self.reboot_ms
            if name in self.rebooting:
                if now_ms < self.rebooting[name]:
                    continue
                self.boots[name] += spec.state is State.MAINTENANCE
                if spec.state is not State.MAINTENANCE:
                    del self.rebooting[name]
            if name in self.down:
                continue
            boot_id = str(self.boots[name])
            tasks = [None] * math.ceil(self.running(name))
            self.workers.reports[spec.address] = workers_base.WorkerReport(
                name, boot_id, now_ms, spec.slots, False, tuple(tasks)
            )
            self.host_list.put(
                hostlist_base.HostStatus(
                    name, hostlist_base.HostPresence.LIVE, boot_id, 0, 0
                )
            )

"""Model-based test of moves under faults (G9, G10)."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from figtray.bench import fleet as fleet_lib
from figtray.capacity import demand as demand_lib
from figtray.capacity import duty as duty_lib
from figtray.capacity import model
from figtray.capacity import mover as mover_lib
from figtray.capacity import observer as observer_lib
from figtray.capacity import situation as situation_lib
from figtray.capacity.tests import oracles
from figtray import clock as clock_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.configuration import writer as writer_lib
from figtray.controller import election as election_lib
from figtray.controller import loop as loop_lib
from figtray import errors
from figtray.hostlist import base as hostlist_base
from figtray.store import memory as store_memory
from figtray.workers import base as workers_base

State = resources.HostState
RUN_MS = 15_000
SMALL = fleet_lib.Deployment(
    name='small',
    zones=3,
    pools=('a', 'b', 'spare'),
    hosts_per_pool=3,
    min_hosts=2,
    weights=resources.Weights(),
)
LEGAL = {
    (State.SERVING, State.DRAINING),
    (State.DRAINING, State.RELEASED),
    (State.DRAINING, State.MAINTENANCE),
    (State.RELEASED, State.SERVING),
    (State.MAINTENANCE, State.SERVING),
}


class PausingStore:
    """Store of one controller, which can be paused before a write."""

    def __init__(self, store):
        self._store = store
        self.before_txn = None

    def __getattr__(self, name):
        return getattr(self._store, name)

    def txn(self, compares, puts=(), deletes=()):
        """Run what happens during the pause, then the transaction."""
        pause, self.before_txn = self.before_txn, None
        if pause is not None:
            pause()
        return self._store.txn(compares, puts, deletes)


class World:
    """Entries, workers and two controllers, with a log of what ran where.

    An entry starts work by its own replica, until 2.5 s after a majority
    accepted a newer configuration. The log of these starts is the oracle: it
    knows nothing of moves or drains.
    """

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.store = store_memory.MemoryStore(self.clock)
        self.replicas = {
            f'entry-{number}': replica_lib.Replica(SMALL.name)
            for number in range(3)
        }
        self.entries = writer_lib.ReplicaGroup(self.replicas)
        self.operator = writer_lib.Writer(
            self.store, SMALL.name, self.entries, self.clock
        )
        self.accepted_ms = {}
        for replica in self.replicas.values():
            replica.subscribe(self._note_change)
        self.checked = 0
        self.running = {}
        self.loads = {}
        self.skew_s = 0
        self.unexpected = []
        items = list(fleet_lib.layout_items(SMALL, run_limit_ms=RUN_MS))
        self.operator.commit(lambda snapshot: items)
        self.stores = [PausingStore(self.store) for _ in range(2)]
        self.loops = [None, None]
        for number in range(2):
            self.start_controller(number)

    def start_controller(self, number):
        """Start a controller that knows nothing, as after a crash."""
        store = self.stores[number]
        store.before_txn = None
        writer = writer_lib.Writer(store, SMALL.name, self.entries, self.clock)
        observer = observer_lib.Observer(
            self, self, self.entries, self.clock, fleet_lib.InlineExecutor()
        )
        duty = duty_lib.CapacityDuty(
            writer, observer, lambda: self.loads, self.clock, self.wall_s
        )
        election = election_lib.Election(
            store, SMALL.name, f'controller-{number}', self.clock
        )
        self.loops[number] = loop_lib.ControlLoop(
            election, [duty], self.clock, random.Random(1), self._note_errors
        )

    def wall_s(self):
        """Return the time of day; every host is due for maintenance."""
        return fleet_lib.START_S + self.clock.now_ms() // 1000 + self.skew_s

    def list_hosts(self):
        """Return all hosts as live."""
        live = hostlist_base.HostPresence.LIVE
        return [
            hostlist_base.HostStatus(name, live, '', 0, 0)
            for name in self.newest.specs(resources.Kind.HOST)
        ]

    def report(self, address, timeout_ms):
        """Return the report of a worker."""
        now_ms = self.clock.now_ms()
        tasks = [
            workers_base.RunningTask('', '', '', '', end_ms - now_ms)
            for end_ms, _ in self.tasks_of(address)
        ]
        boot_id = str(now_ms // 30_000)
        return workers_base.WorkerReport(
            '', boot_id, now_ms, 8, False, tuple(tasks)
        )

    @property
    def newest(self):
        """The newest snapshot that an entry holds."""
        snapshots = [replica.snapshot for replica in self.replicas.values()]
        return max(snapshots, key=lambda snapshot: snapshot.generation)

    def tasks_of(self, address):
        """Return the (end, pool) of each task that a worker runs."""
        now_ms = self.clock.now_ms()
        tasks = [t for t in self.running.get(address, ()) if t[0] > now_ms]
        self.running[address] = tasks
        return tasks

    def start_task(self, entry, host, run_ms):
        """Let an entry start a task if its serving right permits."""
        snapshot = self.replicas[entry].snapshot
        newer_ms = self.accepted_ms.get(snapshot.generation + 1)
        now_ms = self.clock.now_ms()
        spec = snapshot.spec(resources.Kind.HOST, host)
        if newer_ms is not None and now_ms - newer_ms >= 2_500:
            return
        if spec.state is not State.SERVING:
            return
        tasks = self.tasks_of(spec.address)
        pools = {pool for _, pool in tasks} | {spec.pool}
        assert len(pools) == 1, f'{host} serves {pools}'
        if len(tasks) == fleet_lib.SLOTS:
            return
        tasks.append((now_ms + run_ms, spec.pool))

    def tick(self, number, ticks, step_ms, starts):
        """Run a controller and start tasks, some times in turn."""
        for _ in range(ticks):
            self.loops[number].run_once()
            for entry, run_ms in starts:
                for host in self.newest.specs(resources.Kind.HOST):
                    self.start_task(f'entry-{entry}', host, run_ms)
            self.clock.advance(step_ms)

    def heal(self):
        """Let the entries in reach catch up with the store."""
        try:
            snapshot, _ = self.operator.read()
        except errors.FigtrayError:
            return
        for slot in self.entries.reachable:
            self.replicas[slot].adopt(snapshot)

    def _note_errors(self, group):
        for exc in group.exceptions:
            if not isinstance(exc, errors.FigtrayError):
                self.unexpected.append(exc)

    def _note_change(self, old, new):
        holders = sum(
            replica.snapshot.generation >= new.generation
            for replica in self.replicas.values()
        )
        # This replica gets the snapshot after its listeners were called.
        if holders + 1 >= 2:
            for generation in range(old.generation + 1, new.generation + 1):
                self.accepted_ms.setdefault(generation, self.clock.now_ms())
        if old.generation and new.generation == self.checked + 1:
            self._check_step(old, new)
        self.checked = max(self.checked, new.generation)

    def _check_step(self, old, new):
        before = old.specs(resources.Kind.HOST)
        drained = False
        for name, spec in new.specs(resources.Kind.HOST).items():
            states = before[name].state, spec.state
            drained |= states == (State.SERVING, State.DRAINING)
            assert states[0] is states[1] or states in LEGAL, (name, states)
            if spec.pool != before[name].pool:
                assert states == (State.RELEASED, State.SERVING), name
        zones = new.specs(resources.Kind.ZONE).values()
        if drained and all(zone.in_service for zone in zones):
            assert self._lacks(new) <= max(self._lacks(old), 0)

    @staticmethod
    def _lacks(snapshot):
        nothing = situation_lib.Observation()
        return oracles.worst_loss(
            situation_lib.make_situation(snapshot, nothing)
        )


HOSTS = strategies.sampled_from([f'host-{n:03d}' for n in range(9)])
CONTROLLERS = strategies.integers(0, 1)
TICKS = strategies.integers(1, 20)
STEPS_MS = strategies.sampled_from((300, 1_000))
# Which entries start tasks, and how long these run.
STARTS = strategies.sampled_from(
    [
        ((0, 200), (1, 200), (2, 200)),
        ((1, RUN_MS),),
        ((0, RUN_MS), (1, 200), (2, RUN_MS)),
    ]
)


class Moves(stateful.RuleBasedStateMachine):
    """Guards against a host in two pools and against broken budgets."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @stateful.rule(
        number=CONTROLLERS, ticks=TICKS, step_ms=STEPS_MS, starts=STARTS
    )
    def control(self, number, ticks, step_ms, starts):
        self.world.tick(number, ticks, step_ms, starts)

    @stateful.rule(
        number=CONTROLLERS,
        pause_ms=strategies.sampled_from((1_000, 9_900, 20_000)),
        ticks=TICKS,
        starts=STARTS,
    )
    def pause_before_a_write(self, number, pause_ms, ticks, starts):
        def pause():
            self.world.clock.advance(pause_ms)
            self.world.tick(1 - number, ticks, 1_000, starts)

        self.world.stores[number].before_txn = pause
        self.world.loops[number].run_once()

    @stateful.rule(number=CONTROLLERS)
    def crash(self, number):
        self.world.start_controller(number)

    @stateful.rule()
    def lose_a_reply(self):
        self.world.store.lose_next_reply = True

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self.world.store.set_down(down)

    @stateful.rule(cut=strategies.sampled_from(('', 'entry-0', 'entry-2')))
    def partition(self, cut):
        self.world.entries.reachable = set(self.world.replicas) - {cut}

    @stateful.rule(ms=strategies.sampled_from((300, 1_000, 2_400, 15_000)))
    def advance(self, ms):
        self.world.clock.advance(ms)
        self.world.heal()

    @stateful.rule(
        host=HOSTS, pool=strategies.sampled_from(('a', 'b', 'spare'))
    )
    def operator_wants_a_move(self, host, pool):
        def build(snapshot):
            spec = snapshot.spec(resources.Kind.HOST, host)
            wanted = msgspec.structs.replace(spec, wanted_pool=pool)
            return [
                fleet_lib.item(
                    resources.Kind.HOST, host, wanted, snapshot.generation + 1
                )
            ]

        self._operate(build)

    @stateful.rule(in_service=strategies.booleans())
    def operator_switches_a_zone(self, in_service):
        zone = resources.Zone(in_service=in_service)
        self._operate(
            lambda snapshot: [
                fleet_lib.item(
                    resources.Kind.ZONE, 'dc-2', zone, snapshot.generation + 1
                )
            ]
        )

    def _operate(self, build):
        try:
            self.world.operator.commit(build)
        except errors.FigtrayError:
            pass

    @stateful.rule(
        pool=strategies.sampled_from(('a', 'b')),
        slots=strategies.integers(0, 60),
    )
    def load(self, pool, slots):
        self.world.loads[pool] = demand_lib.PoolLoad(slots, 0)

    @stateful.rule(weeks=strategies.integers(-2, 6))
    def pass_weeks(self, weeks):
        self.world.skew_s = weeks * fleet_lib.WEEK_S

    @stateful.invariant()
    def no_unexpected_error(self):
        assert not self.world.unexpected


class TestMoves(Moves.TestCase):
    """G9 and G10 under lost replies, outages, pauses and crashes."""

    settings = hypothesis.settings(
        derandomize=True,
        max_examples=80,
        stateful_step_count=40,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


class TestMover:
    """Guards against actions that rest on an older configuration."""

    def setup_method(self):
        """Create a world and a mover without a role."""
        self.world = World()
        self.mover = mover_lib.Mover(self.world.operator, tuple)
        self.seen = situation_lib.Observation()

    def set_spec(self, kind, name, spec):
        """Write a specification as an operator would."""
        self.world.operator.commit(
            lambda snapshot: [
                fleet_lib.item(kind, name, spec, snapshot.generation + 1)
            ]
        )

    def test_two_plans_on_one_snapshot_break_no_budget_together(self):
        hosts = self.world.newest.specs(resources.Kind.HOST)
        for name, spec in hosts.items():
            drain = model.StartDrain(name, spec.pool, model.Reason.PEAK)
            self.mover.apply([drain], self.seen)
        assert World._lacks(self.world.newest) == 0

    def test_a_judged_drain_ends_with_the_next_change_of_the_host(self):
        drain = model.StartDrain('host-006', 'spare', model.Reason.PEAK)
        release = model.Release('host-006')
        old, new = (
            situation_lib.Observation(drained={'host-006': version})
            for version in (1, 2)
        )
        assert self.mover.apply([drain], old).done == (drain,)
        assert self.mover.apply([release], old).done == ()
        assert self.mover.apply([release], new).done == (release,)

    def test_an_action_for_another_state_is_refused(self):
        reason = model.Reason.PEAK
        for action in (
            model.Assign('host-006', 'a', reason),
            model.StartDrain('host-006', 'b', reason),
            model.StartDrain('absent', 'b', reason),
        ):
            assert self.mover.apply([action], self.seen).done == ()
        drain = model.StartDrain('host-006', 'spare', reason)
        assert self.mover.apply([drain, drain], self.seen).done == (drain,)
        assert self.mover.apply([drain], self.seen).done == ()

    def test_a_guarantee_is_kept_even_if_spare_hosts_cover_it(self):
        pool = resources.Pool(min_slots=3 * fleet_lib.SLOTS)
        self.set_spec(resources.Kind.POOL, 'a', pool)
        self.set_spec(resources.Kind.POOL, 'b', resources.Pool())
        drain = model.StartDrain('host-000', 'a', model.Reason.PEAK)
        assert self.mover.apply([drain], self.seen).done == ()

    def test_an_operator_s_fields_are_kept(self):
        spec = self.world.newest.spec(resources.Kind.HOST, 'host-006')
        wanted = msgspec.structs.replace(spec, wanted_pool='b')
        self.set_spec(resources.Kind.HOST, 'host-006', wanted)
        drain = model.StartDrain('host-006', 'spare', model.Reason.PEAK)
        self.mover.apply([drain], self.seen)
        spec = self.world.newest.spec(resources.Kind.HOST, 'host-006')
        assert (spec.state, spec.wanted_pool) == (State.DRAINING, 'b')

    def test_no_host_is_assigned_in_a_zone_out_of_service(self):
        spec = self.world.newest.spec(resources.Kind.HOST, 'host-006')
        for state in (State.DRAINING, State.RELEASED):
            free = msgspec.structs.replace(spec, state=state)
            self.set_spec(resources.Kind.HOST, 'host-006', free)
        assign = model.Assign('host-006', 'a', model.Reason.PEAK)
        zone = resources.Zone(in_service=False)
        self.set_spec(resources.Kind.ZONE, spec.zone, zone)
        assert self.mover.apply([assign], self.seen).done == ()
        self.set_spec(resources.Kind.ZONE, spec.zone, resources.Zone())
        assert self.mover.apply([assign], self.seen).done == (assign,)

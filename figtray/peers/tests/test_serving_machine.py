"""Stateful test: who may serve knows every change that is in force."""

import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from figtray import clock as clock_lib
from figtray.configuration import archive as archive_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer as writer_lib
from figtray.entry import handlers as handlers_lib
from figtray import errors
from figtray.peers import heartbeat
from figtray.peers import messages
from figtray.peers import serving
from figtray.store import memory

SLOTS = ('a', 'b', 'c', 'd', 'e')
MAJORITY = 3


class Listener:
    """Listener of the heartbeats that records nothing."""

    def fenced(self, epoch):
        pass

    def superseded(self):
        pass

    def diverged(self, slot, mark):
        pass

    def peer_lost(self, slot, exc):
        pass

    def peer_back(self, slot):
        pass


class FakeLink:
    """Link that calls the peer's handler within the process."""

    def __init__(self, fleet, sender, peer):
        self._fleet = fleet
        self._sender = sender
        self.peer = peer

    def call(self, message, timeout_ms, attempts=1):
        return self._fleet.call(self._sender, self.peer, message)


class FakeEntry:
    """The slices of one entry that decide whether it serves."""

    def __init__(self, fleet, slot, run):
        self.slot = slot
        self.run_id = f'{slot}{run}'
        self.paused = False
        self.replica = replica_lib.Replica('test')
        self.right = serving.ServingRight(SLOTS, slot, fleet.clock)
        self.register = heartbeat.PeerRegister(fleet.clock)
        self.synchroniser = heartbeat.Synchroniser(
            SLOTS, self.replica, self.right, fleet.clock
        )
        self.dispatcher = types.SimpleNamespace(notify=lambda: None)
        self.handlers = handlers_lib.Handlers(self)
        self.tasks = [
            heartbeat.HeartbeatTask(
                FakeLink(fleet, self, peer),
                self.replica,
                self.right,
                self.synchroniser,
                self.register,
                self._describe,
                fleet.clock,
                Listener(),
            )
            for peer in SLOTS
            if peer != slot
        ]

    def wake_heartbeats(self):
        pass

    def status(self, brief=False):
        return messages.StatusReply(
            self.slot,
            self.run_id,
            0,
            self.replica.snapshot.mark,
            self.right.synchronised,
            self.right.holds(),
        )

    def _describe(self):
        return messages.Heartbeat(
            self.replica.snapshot.mark, self.right.synchronised, 0
        )


class Fleet(writer_lib.EntryGroup):
    """Entries, the network between them, and the writer's calls."""

    slots = SLOTS

    def __init__(self, clock):
        self.clock = clock
        self.runs = 0
        self.entries = {}
        self.cuts = set()
        self.delay_ms = 0
        self.lose_after = None
        self.during_next_call = None
        for slot in SLOTS:
            self.start(slot)

    def start(self, slot):
        self.runs += 1
        self.entries[slot] = FakeEntry(self, slot, self.runs)

    def call(self, sender, peer, message):
        """Deliver one call; the reply may be slow or lost."""
        name = getattr(sender, 'slot', 'api')
        entry = self.entries[peer]
        if entry.paused or frozenset({name, peer}) in self.cuts:
            raise errors.PeerUnavailable(peer=peer, detail='cut')
        envelope = types.SimpleNamespace(
            sender=name, incarnation=getattr(sender, 'run_id', 'api') + '/c'
        )
        reply = entry.handlers.handle(envelope, message)
        if self.during_next_call is not None:
            action, self.during_next_call = self.during_next_call, None
            action()
        if sender is not None:
            self.clock.advance(self.delay_ms)
        if self.lose_after is not None:
            self.lose_after -= 1
            if self.lose_after < 0:
                self.lose_after = None
                raise errors.PeerUnavailable(peer=peer, detail='reply lost')
        return reply

    def _ask_all(self, message):
        for slot in SLOTS:
            try:
                yield slot, self.call(None, slot, message)
            except errors.PeerUnavailable:
                continue

    def marks(self):
        return {
            slot: reply.mark
            for slot, reply in self._ask_all(messages.StatusRequest())
            if reply.synchronised
        }

    def fetch(self, slot):
        reply = self.call(None, slot, messages.FetchSnapshot())
        return snapshot_lib.from_data(reply.snapshot)

    def push(self, change):
        return {
            slot
            for slot, reply in self._ask_all(messages.ChangePush(change))
            if reply.holds
        }


class ServingMachine(stateful.RuleBasedStateMachine):
    """Changes, cuts, pauses, restarts and store faults in any order.

    The oracle is the list of changes that the writer reported as accepted,
    with the time of the report.
    """

    slots = strategies.sampled_from(SLOTS)

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.ManualClock()
        self.store = memory.MemoryStore(self.clock)
        self.archive = archive_lib.Archive(self.store, 'test')
        self.fleet = Fleet(self.clock)
        self.writer = writer_lib.Writer(
            self.store, 'test', self.fleet, self.clock
        )
        self.accepted = []
        self.generations = {}
        self.dump = None
        self.number = 0
        self.read_store(all_slots=True)
        self.beat_all()

    def _synchronised(self):
        return [
            entry
            for entry in self.fleet.entries.values()
            if entry.right.synchronised
        ]

    @stateful.rule()
    def commit(self):
        self.number += 1
        number = self.number

        def build(snapshot):
            spec = {'region': f'r{number}'}
            version = snapshot.generation + 1
            return [snapshot_lib.Item('zones', 'z', version, spec)]

        try:
            committed = self.writer.commit(build, f'change-{number}')
        except errors.FigtrayError:
            return
        mark = snapshot_lib.Mark(
            committed.change.generation, committed.change.checksum
        )
        self.accepted.append((mark, self.clock.now_ms()))

    @stateful.rule(slot=slots)
    def beat(self, slot):
        entry = self.fleet.entries[slot]
        if entry.paused:
            return
        for task in entry.tasks:
            task.beat()

    @stateful.rule()
    def beat_all(self):
        for slot in SLOTS:
            self.beat(slot)

    @stateful.rule(count=strategies.integers(1, 3))
    def beat_for_seconds(self, count):
        for _ in range(2 * count):
            self.clock.advance(500)
            self.beat_all()

    @stateful.rule(ms=strategies.sampled_from([100, 900, 1_600, 2_500]))
    def pass_time(self, ms):
        self.clock.advance(ms)

    @stateful.rule(ms=strategies.sampled_from([0, 0, 50, 700]))
    def set_delay(self, ms):
        self.fleet.delay_ms = ms

    @stateful.rule(side=strategies.sets(slots, min_size=1, max_size=3))
    def partition(self, side):
        """Cut some slots off from the others and from the writer."""
        self.fleet.cuts = {
            frozenset({one, two})
            for one in side
            for two in {*SLOTS, 'api'} - side
        }

    @stateful.rule()
    def heal(self):
        self.fleet.cuts = set()

    @stateful.rule(count=strategies.integers(0, 6))
    def lose_a_reply(self, count):
        self.fleet.lose_after = count

    @stateful.rule()
    def commit_during_next_call(self):
        """Accept a change while a reply is on its way."""
        self.fleet.during_next_call = self.commit

    @stateful.rule(slot=slots)
    def pause_or_resume(self, slot):
        entry = self.fleet.entries[slot]
        entry.paused = not entry.paused

    @stateful.rule(slot=slots)
    def restart(self, slot):
        """Replace one entry while a majority keeps its memory."""
        if len(self._synchronised()) > MAJORITY:
            self.fleet.start(slot)
            self.generations.pop(slot, None)

    @stateful.rule()
    def restart_all(self):
        """Replace all entries while the store holds every change."""
        head, _ = (None, 0) if self.store.down else self.archive.read_head()
        newest = max((m.generation for m, _ in self.accepted), default=0)
        if head is not None and head.generation >= newest:
            for slot in SLOTS:
                self.fleet.start(slot)
            self.generations.clear()

    @stateful.rule(all_slots=strategies.booleans())
    def read_store(self, all_slots):
        """Let entries that are not synchronised read the store."""
        for slot in SLOTS if all_slots else SLOTS[:2]:
            entry = self.fleet.entries[slot]
            if entry.right.synchronised or entry.paused or self.store.down:
                continue
            snapshot, _ = self.archive.read_snapshot()
            outcome = entry.replica.adopt(snapshot)
            if outcome is not replica_lib.Outcome.DIVERGED:
                entry.synchroniser.store_read()

    @stateful.rule()
    def store_fails_or_returns(self):
        self.store.set_down(not self.store.down)

    @stateful.rule()
    def lose_store_reply(self):
        self.store.lose_next_reply = True

    @stateful.rule()
    def back_up_store(self):
        self.dump = self.store.dump()

    @stateful.rule()
    def store_returns_older(self):
        if self.dump is not None and len(self._synchronised()) >= MAJORITY:
            self.store.restore(self.dump)

    @stateful.invariant()
    def replicas_never_go_back(self):
        for slot, entry in self.fleet.entries.items():
            generation = entry.replica.snapshot.generation
            assert generation >= self.generations.get(slot, 0)
            self.generations[slot] = generation

    @stateful.invariant()
    def whoever_serves_knows_what_is_in_force(self):
        now_ms = self.clock.now_ms()
        due = [
            mark
            for mark, accepted_ms in self.accepted
            if now_ms - accepted_ms >= serving.FRESHNESS_MS
        ]
        for entry in self.fleet.entries.values():
            if due and entry.right.holds():
                assert entry.replica.snapshot.contains(due[-1])


ServingMachine.TestCase.settings = hypothesis.settings(
    max_examples=500,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)


class TestServingUnderFaults(ServingMachine.TestCase):
    """Guards against work under a configuration that is not in force."""


class TestServingScenarios:
    """Guards against the faults that random steps reach too seldom."""

    def make(self):
        return ServingMachine()

    def accept_without(self, machine, side):
        """Accept a change that one side does not hear of."""
        machine.partition(side)
        machine.commit()
        assert machine.accepted

    def check_later(self, machine):
        """Let all entries send heartbeats until the change is in force."""
        for _ in range(8):
            machine.clock.advance(500)
            machine.beat_all()
            machine.whoever_serves_knows_what_is_in_force()

    def test_slow_replies_do_not_extend_the_right(self):
        machine = self.make()
        entry = machine.fleet.entries['a']
        machine.fleet.cuts = {
            frozenset({'a', other}) for other in ('d', 'e', 'api')
        }
        machine.fleet.delay_ms = 700

        def beat_second():
            machine.fleet.during_next_call = machine.commit
            entry.tasks[1].beat()

        machine.fleet.during_next_call = beat_second
        entry.tasks[0].beat()
        assert machine.accepted
        _, accepted_ms = machine.accepted[0]
        machine.clock.advance(
            accepted_ms + serving.FRESHNESS_MS - machine.clock.now_ms()
        )
        machine.whoever_serves_knows_what_is_in_force()

    def test_restarted_peer_does_not_confirm(self):
        machine = self.make()
        self.accept_without(machine, {'d', 'e'})
        machine.restart('b')
        machine.partition({'b', 'd', 'e'})
        self.check_later(machine)

    def test_restarted_entry_needs_a_majority_of_others(self):
        machine = self.make()
        self.accept_without(machine, {'d', 'e'})
        machine.restart('a')
        machine.partition({'a', 'd', 'e'})
        self.check_later(machine)

    def test_older_store_does_not_synchronise_a_restarted_entry(self):
        machine = self.make()
        machine.back_up_store()
        self.accept_without(machine, {'d', 'e'})
        machine.store_returns_older()
        machine.restart('a')
        machine.partition({'a', 'd', 'e'})
        machine.beat_all()
        machine.read_store(all_slots=True)
        self.check_later(machine)

    def test_change_that_a_minority_confirmed_is_not_accepted(self):
        machine = self.make()
        machine.fleet.cuts = {
            frozenset({'api', slot}) for slot in ('c', 'd', 'e')
        }
        machine.commit()
        assert not machine.accepted


class TestOtherHistory:
    """Guards against a confirmation by a peer with another history."""

    def test_is_not_confirmed(self):
        machine = ServingMachine()
        machine.commit()
        entry = machine.fleet.entries['a']
        other = machine.fleet.entries['b']
        change = snapshot_lib.make_change(
            'test', snapshot_lib.Mark(0, 'other'), 'x', []
        )
        other.replica = replica_lib.Replica('test')
        other.replica._replace(other.replica.snapshot.apply(change))
        before = entry.right.last_confirmed()['b']
        machine.clock.advance(100)
        entry.tasks[0].beat()
        assert entry.right.last_confirmed()['b'] == before


class TestPeerRegister:
    """Guards against two processes that both serve in one slot."""

    def test_former_run_is_superseded_for_good(self):
        clock = clock_lib.ManualClock()
        register = heartbeat.PeerRegister(clock)
        message = messages.Heartbeat(snapshot_lib.Mark(0, ''), True, 0)
        assert not register.heard('a', 'one', message)
        assert not register.heard('a', 'two', message)
        assert register.heard('a', 'one', message)
        assert register.run_of('a') == 'two'
        assert register.runs_before('a', 'two') == ('one',)

"""Stateful test of keyed and ordered requests over several slots."""

import types

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pynng

from figtray import clock as clock_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.dispatch import tasks as tasks_lib
from figtray.entry import forwarding
from figtray.entry import handlers as handlers_lib
from figtray.entry import intake as intake_lib
from figtray.entry import succession
from figtray import errors
from figtray.idempotency import handover
from figtray.idempotency import owners
from figtray.idempotency import records as records_lib
from figtray.idempotency import registration
from figtray.peers import heartbeat
from figtray.peers import link as link_lib
from figtray.peers import messages
from figtray.peers import server
from figtray.store import memory
from figtray import verdict as verdict_lib

SLOTS = ('a', 'b', 'c', 'd')
RETENTION_MS = 20_000
DEADLINE_MS = 4_000
SPECS = {
    'pools': {'p': {}},
    'teams': {'t': {'limit': 9}},
    'keys': {'k': {'team': 't', 'hash': 'x'}},
    'queues': {'plain': {'pool': 'p'}, 'ord': {'pool': 'p', 'ordered': True}},
}


class FaultyLink(link_lib.Link):
    """Link whose calls go to the peer's server within the process."""

    def __init__(self, fleet, sender, peer):
        super().__init__(peer, '', sender.slot, sender.run_id, 'data')
        self._fleet = fleet

    def _connect(self):
        peer = self._fleet.entries.get(self.peer)
        if {self._sender, self.peer} in self._fleet.cuts or peer is None:
            raise pynng.exceptions.ConnectionRefused('refused', 6)

    def _exchange(self, data, timeout_ms):
        return self._fleet.exchange(self.peer, data)


class FakeDispatcher:
    """Queue whose tasks the machine starts and ends."""

    def __init__(self, entry):
        self._entry = entry
        self.queued = []
        self.running = []

    def submit(self, task):
        self.queued.append(task)

    def notify(self):
        pass


class FakeEntry:
    """The slices of one entry that keys depend on."""

    def __init__(self, fleet, slot, run):
        self.slot = slot
        self.run_id = f'{slot}{run}'
        self.clock = fleet.clock
        self.paused = False
        self.serving = True
        self.replica = replica_lib.Replica('test')
        self.replica.adopt(fleet.snapshot)
        self.right = types.SimpleNamespace(holds=lambda: self.serving)
        self.register = heartbeat.PeerRegister(self.clock)
        self.table = tasks_lib.TaskTable(slot, 500, 60_000, self.clock)
        self.keys = records_lib.KeyRecords(RETENTION_MS, 500, self.clock)
        self.handovers = handover.Handovers(self.register)
        self.dispatcher = FakeDispatcher(self)
        self.links = {
            peer: FaultyLink(fleet, self, peer)
            for peer in SLOTS
            if peer != slot
        }
        self.forwarder = forwarding.Forwarder(
            self.links, self.register, self.clock
        )
        self.outcomes = {
            peer: forwarding.OutcomeTask(link, self.clock)
            for peer, link in self.links.items()
        }
        self.intake = intake_lib.Intake(
            slot,
            SLOTS,
            self.replica,
            self.right,
            self.table,
            self.keys,
            self.dispatcher,
            self.forwarder,
        )
        self.succession = succession.Succession(
            slot,
            self.run_id,
            registration.Registration(fleet.store, 'd', slot, self.run_id),
            self.keys,
            self.table,
            self.links,
            self.clock,
        )
        self.registered = False
        self.server = server.Deduplicator(
            slot, self.run_id, handlers_lib.Handlers(self).handle
        )
        self.begin()

    def begin(self):
        """Try to register, as the entry's task does again and again."""
        if not self.registered:
            try:
                self.succession.begin()
                self.registered = True
            except (errors.StoreUnavailable, errors.WriteUncertain):
                pass

    def pool_of(self, queue):
        return 'p'

    def report_outcome(self, slot, outcome, deadline_ms):
        self.outcomes[slot].put(outcome, deadline_ms)


class Fleet:
    """Entries, and the network between them."""

    def __init__(self, clock, snapshot):
        self.clock = clock
        self.snapshot = snapshot
        self.store = memory.MemoryStore(clock)
        self.cuts = []
        self.entries = {}
        self.runs = 0
        self.faults = []
        self.late = []
        for slot in SLOTS:
            self.start(slot)

    def start(self, slot):
        self.runs += 1
        self.entries[slot] = FakeEntry(self, slot, self.runs)

    def exchange(self, peer, data):
        """Deliver one call; the request or the reply may be lost or late."""
        fault = self.faults.pop(0) if self.faults else ''
        entry = self.entries[peer]
        if entry.paused or fault == 'late':
            self.late.append((entry, data))
        if entry.paused or fault in ('late', 'lost'):
            raise pynng.exceptions.Timeout('timed out', 5)
        if fault == 'restarted':
            entry.server.handle(data)
            self.start(peer)
            raise pynng.exceptions.ConnectionReset('reset', 5)
        reply = entry.server.handle(data)
        if fault == 'reply lost' or reply is None:
            raise pynng.exceptions.Timeout('timed out', 5)
        return reply


class Call:
    """One submission of a caller and what it was told."""

    def __init__(self, number, key, body, now_ms):
        self.number = number
        self.key = key
        self.body = body
        self.made_ms = now_ms
        self.entry = None
        self.told = None


class KeysMachine(stateful.RuleBasedStateMachine):
    """Repeated keys over any slot, with faults, restarts and hand-overs.

    The oracle knows the starts and what each caller was told.
    """

    slots = strategies.sampled_from(SLOTS)

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.ManualClock()
        snapshot = snapshot_lib.Snapshot.empty('test')
        items = [
            snapshot_lib.Item(kind, name, 1, spec)
            for kind, named in SPECS.items()
            for name, spec in named.items()
        ]
        change = snapshot_lib.make_change('test', snapshot.mark, 'c', items)
        self.fleet = Fleet(self.clock, snapshot.apply(change))
        self.calls = []
        # Key, or number of a call without one -> (time, answer, body, call).
        self.runs = {}
        self.faults = []
        self._tick()

    def _entries(self):
        return [e for e in self.fleet.entries.values() if not e.paused]

    # -- callers ------------------------------------------------------------

    @stateful.rule(
        slot=slots,
        key=strategies.sampled_from(['k1', 'k2', 'k3', '']),
        body=strategies.sampled_from([b'x', b'x', b'x', b'y']),
    )
    def submit(self, slot, key, body):
        self._submit(slot, key, body)

    def _submit(self, slot, key, body):
        entry = self.fleet.entries[slot]
        if entry.paused:
            return
        call = Call(len(self.calls), key, body, self.clock.now_ms())
        call.entry = entry
        self.calls.append(call)
        req = tasks_lib.TaskRequest(
            queue='plain' if key else 'ord',
            pool='p',
            team='t',
            key_id='k',
            body=body,
            received_ms=call.made_ms,
            deadline_ms=call.made_ms + DEADLINE_MS,
            idempotency_key=key,
            # Carries the number of the call to where its task starts.
            job=str(call.number),
        )
        match entry.intake.submit(req):
            case intake_lib.Accepted(task):
                if task.done and _is_cancelled(task.fut.result()):
                    self.faults.append('told the refusal of another call')
                task.fut.add_done_callback(
                    lambda fut: self._tell(call, fut.result())
                )
            case intake_lib.Rejected(verdict, other_body):
                self._tell(call, verdict, other_body)

    def _name(self, call):
        return call.key or call.number

    def _tell(self, call, verdict, other_body=False):
        if self.fleet.entries.get(call.entry.slot) is not call.entry:
            return
        if call.told is not None:
            self.faults.append('told twice')
        call.told = verdict
        recent_ms = self.clock.now_ms() - RETENTION_MS + DEADLINE_MS
        runs = self.runs.get(self._name(call), ())
        if call.made_ms < recent_ms:
            runs = ()
        # Later calls of the caller with the same key may have run meanwhile.
        runs = [
            run for run in runs if run[0] > recent_ms and run[3] <= call.number
        ]
        match verdict:
            case verdict_lib.NotRun(reason) if (
                reason is not verdict_lib.RefusalReason.BAD_REQUEST
            ):
                if any(run[2] == call.body for run in runs):
                    self.faults.append(
                        f'told not run, but {call.key!r} ran: {verdict}'
                    )
            case verdict_lib.Answered(body=body):
                last = self.runs.get(self._name(call), [(0, '', b'', 0)])[-1]
                if (body, call.body) != (last[1], last[2]):
                    self.faults.append('answer of another request')

    # -- tasks --------------------------------------------------------------

    @stateful.rule(slot=slots)
    def start_tasks(self, slot):
        self._start(self.fleet.entries[slot])

    def _start(self, entry):
        """Start what is queued, as long as the entry may start work."""
        dispatcher = entry.dispatcher
        if entry.paused or not entry.serving:
            return
        queued, dispatcher.queued = dispatcher.queued, []
        for task in queued:
            now_ms = self.clock.now_ms()
            if now_ms >= task.req.deadline_ms:
                reason = verdict_lib.RefusalReason.DEADLINE
                task.finish(verdict_lib.NotRun(reason))
                continue
            call = self.calls[int(task.req.job)]
            runs = self.runs.setdefault(self._name(call), [])
            earliest_ms = RETENTION_MS - DEADLINE_MS if call.key else 1 << 60
            if runs and now_ms - runs[-1][0] < earliest_ms:
                self.faults.append('ran twice')
            if isinstance(call.told, verdict_lib.NotRun):
                self.faults.append('ran after not run')
            answer = b'run %d' % len(runs)
            runs.append((now_ms, answer, task.req.body, call.number))
            dispatcher.running.append((task, answer))

    @stateful.rule(
        slot=slots, outcome=strategies.sampled_from(['ok', 'ok', 'doubt'])
    )
    def end_tasks(self, slot, outcome):
        entry = self.fleet.entries[slot]
        if not entry.paused:
            self._end(entry, outcome)

    def _end(self, entry, outcome='ok'):
        running, entry.dispatcher.running = entry.dispatcher.running, []
        for task, answer in running:
            if outcome == 'ok':
                task.finish(verdict_lib.Answered(200, answer))
            else:
                reason = verdict_lib.UncertainReason.CONNECTION_LOST
                task.finish(verdict_lib.MayHaveRun(reason))

    @stateful.rule(slot=slots)
    def refuse_queued(self, slot):
        self._refuse(self.fleet.entries[slot])

    def _refuse(self, entry, made_until_ms=1 << 60):
        for task in list(entry.dispatcher.queued):
            if task.req.received_ms <= made_until_ms:
                entry.dispatcher.queued.remove(task)
                reason = verdict_lib.RefusalReason.CANCELLED
                task.finish(verdict_lib.NotRun(reason))

    # -- faults -------------------------------------------------------------

    @stateful.rule(
        slot=slots,
        faults=strategies.lists(
            strategies.sampled_from(
                ['', 'lost', 'late', 'reply lost', 'restarted']
            ),
            min_size=1,
            max_size=3,
        ),
        key=strategies.sampled_from(['k1', 'k2', '']),
    )
    def submit_with_faults(self, slot, faults, key):
        """Submit while the next calls between slots go wrong."""
        self.fleet.faults = faults
        self._submit(slot, key, b'x')
        self.fleet.faults = []

    @stateful.rule()
    def deliver_late(self):
        """Let late calls arrive at the processes they were sent to."""
        late, self.fleet.late = self.fleet.late, []
        for entry, data in late:
            if self.fleet.entries[entry.slot] is not entry:
                continue
            if entry.paused:
                self.fleet.late.append((entry, data))
            else:
                entry.server.handle(data)

    @stateful.rule(one=slots, two=slots)
    def cut(self, one, two):
        self.fleet.cuts.append({one, two})

    @stateful.rule()
    def heal(self):
        self.fleet.cuts.clear()

    @stateful.rule(slot=slots)
    def toggle_serving(self, slot):
        entry = self.fleet.entries[slot]
        entry.serving = not entry.serving

    @stateful.rule(slot=slots)
    def toggle_pause(self, slot):
        entry = self.fleet.entries[slot]
        entry.paused = not entry.paused

    @stateful.rule(slot=slots)
    def crash(self, slot):
        self.fleet.start(slot)

    @stateful.rule(
        slot=slots,
        end=strategies.booleans(),
        crashes=strategies.integers(0, 2),
    )
    def stop(self, slot, end, crashes):
        """Stop a slot gracefully; its next runs may crash early."""
        entry = self.fleet.entries[slot]
        if entry.paused:
            return
        entry.intake.draining = True
        if end:
            self._end(entry)
        self._refuse(entry)
        message = entry.succession.end()
        for key in ('k1', 'k2', 'k3', ''):
            self._submit(slot, key, b'x')
        if entry.dispatcher.queued:
            self.faults.append('a stopping entry took a request')
            self._start(entry)
        for link in entry.links.values():
            try:
                link.call(message, 100, 2)
            except errors.PeerUnavailable:
                continue
        self._report(entry)
        for _ in range(1 + crashes):
            self.fleet.start(slot)
            for key in ('k1', 'k2', 'k3'):
                self._submit(slot, key, b'x')
            self._start(self.fleet.entries[slot])

    @stateful.rule(
        slot=slots,
        key=strategies.sampled_from(['k1', 'k2', 'k3']),
        fault=strategies.sampled_from(
            ['crash', 'stop', 'doubt', 'refuse', 'wait']
        ),
    )
    def run_key_and_repeat(self, slot, key, fault):
        """Run a key, disturb its owner and submit the key again."""
        owner = owners.owner_slot(SLOTS, owners.request_key('t', key))
        self._submit(slot, key, b'x')
        if fault == 'refuse':
            self.refuse_queued(owner)
        self._start(self.fleet.entries[owner])
        if fault == 'doubt':
            self.end_tasks(owner, 'doubt')
        elif fault == 'crash':
            self.crash(owner)
        elif fault == 'stop':
            self.stop(owner, False, 0)
        self._submit(slot, key, b'x')
        self._start(self.fleet.entries[owner])

    @stateful.rule(fault=strategies.sampled_from(['', 'down', 'lost']))
    def store_fault(self, fault):
        self.fleet.store.set_down(fault == 'down')
        self.fleet.store.lose_next_reply = fault == 'lost'

    # -- time ---------------------------------------------------------------

    @stateful.rule(ms=strategies.sampled_from([500, 2_000, 6_000, 20_000]))
    def pass_time(self, ms):
        for _ in range(ms // 500):
            self.clock.advance(500)
            self._tick()

    def _tick(self):
        """Do what entries do all the time."""
        for entry in self._entries():
            beat = messages.Heartbeat(None, True, 0)
            for peer in self._entries():
                if peer is entry or {peer.slot, entry.slot} in self.fleet.cuts:
                    continue
                peer.register.heard(entry.slot, entry.run_id, beat)
            entry.begin()
            self._refuse(entry, self.clock.now_ms() - DEADLINE_MS)
            self._report(entry)
            entry.forwarder.check()

    def _report(self, entry):
        for task in entry.outcomes.values():
            while task.report_next():
                pass

    @stateful.invariant()
    def no_fault_was_seen(self):
        assert not self.faults, self.faults

    def teardown(self):
        """Every caller of a living entry hears an outcome."""
        self.heal()
        self.fleet.store.set_down(False)
        for entry in self.fleet.entries.values():
            entry.paused = False
            entry.serving = True
        self.deliver_late()
        for _ in range(2):
            for entry in self.fleet.entries.values():
                self._start(entry)
                self._end(entry)
            self.pass_time(6_000)
        assert not self.faults, self.faults
        for call in self.calls:
            is_lost = self.fleet.entries[call.entry.slot] is not call.entry
            assert call.told is not None or is_lost, 'no outcome'


def _is_cancelled(verdict):
    return verdict == verdict_lib.NotRun(verdict_lib.RefusalReason.CANCELLED)


KeysMachine.TestCase.settings = hypothesis.settings(
    max_examples=250,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestKeysUnderFaults(KeysMachine.TestCase):
    """Guards against a key that runs twice and a false "not run"."""

"""Stateful test of the upper limit over entries, workers and recounts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from figtray import clock as clock_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.limits import allotments as allotments_lib
from figtray.limits import recount as recount_lib
from figtray.peers import heartbeat
from figtray.peers import messages
from figtray.peers import serving
from figtray.workers import base as workers_base

SLOTS = ('a', 'b', 'c', 'd', 'e')
START_LIMIT = 6
RUN_LIMIT_MS = 20_000


class FakeEntry:
    """The slices of one entry that the limit depends on."""

    def __init__(self, slot, run, clock, snapshot):
        self.slot = slot
        self.run_id = f'{slot}{run}'
        self.register = heartbeat.PeerRegister(clock)
        self.right = serving.ServingRight(SLOTS, slot, clock)
        self.allotments = allotments_lib.Allotments(
            slot, self.run_id, clock, self.right.set_epoch
        )
        self.snapshot = snapshot_lib.Snapshot.empty('test')
        self.follow(snapshot)
        self.paused = False
        self.superseded = False

    def follow(self, snapshot):
        """Apply a newer configuration."""
        if snapshot.generation > self.snapshot.generation:
            self.allotments.on_configuration(self.snapshot, snapshot)
            self.snapshot = snapshot


class Fleet(recount_lib.EntryCalls):
    """Entries with cuts between them, and the calls of a recount."""

    slots = SLOTS

    def __init__(self, clock, snapshot):
        self.clock = clock
        self.snapshot = snapshot
        self.runs = 0
        self.entries = {}
        self.former = []
        self.cuts = set()
        self.unreachable = set()
        for slot in SLOTS:
            self.start(slot)
            self.entries[slot].right.set_synchronised()

    def start(self, slot):
        self.runs += 1
        old = self.entries.get(slot)
        if old is not None:
            self.former.append(old)
        entry = FakeEntry(slot, self.runs, self.clock, self.snapshot)
        self.entries[slot] = entry

    def heartbeat(self, entry):
        """Send one heartbeat of an entry to every peer it reaches."""
        message = messages.Heartbeat(
            entry.snapshot.mark, True, entry.allotments.epoch
        )
        sent_ms = self.clock.now_ms()
        heard = 0
        for slot, peer in self.entries.items():
            if slot == entry.slot or peer.paused:
                continue
            if frozenset({slot, entry.slot}) in self.cuts:
                continue
            if peer.register.heard(entry.slot, entry.run_id, message):
                entry.superseded = True
                return
            entry.register.raise_floor(peer.register.floor)
            if 0 < message.epoch < peer.register.floor:
                entry.allotments.reset(peer.register.floor)
                return
            if peer.snapshot.generation > entry.snapshot.generation:
                entry.follow(peer.snapshot)
            heard += 1
            if peer.right.synchronised:
                entry.right.confirm(slot, sent_ms, message.epoch)
        if heard >= len(SLOTS) // 2 + 1:
            entry.right.set_synchronised()

    def _reached(self):
        return {
            slot: entry
            for slot, entry in self.entries.items()
            if slot not in self.unreachable and not entry.paused
        }

    def join(self, epoch, floor):
        reports = {}
        for slot, entry in self._reached().items():
            entry.register.raise_floor(floor)
            report = entry.allotments.join(epoch, entry.register.floor)
            reports[slot] = msgspec.structs.replace(
                report, floor=entry.register.floor
            )
        return reports

    def fence(self, floor):
        reached = self._reached()
        for entry in reached.values():
            entry.register.raise_floor(floor)
        return set(reached)

    def grant(self, slot, grant):
        entry = self._reached().get(slot)
        return entry is not None and entry.allotments.grant(grant)


class LimitMachine(stateful.RuleBasedStateMachine):
    """Starts, ends, moves, pauses, kills and recounts in any order.

    The oracle is the list of tasks that the worker runs; it asks nothing of
    the entries.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.ManualClock()
        self.limit = START_LIMIT
        self.former_limit = START_LIMIT
        self.accepted_ms = 0
        self.snapshot = snapshot_lib.Snapshot.empty('test')
        self._change_limit(START_LIMIT)
        self.fleet = Fleet(self.clock, self.snapshot)
        self.running = {}
        self.prepared = []
        self.tasks = 0
        self.epoch = 0
        self.known = recount_lib.Members()
        self.worker_reachable = True
        self.fill_late = True
        self.recount = recount_lib.Recount(
            self.fleet, self._reports, self.clock, self._wait
        )
        self._pass_time(500)
        self.run_recount()

    slots = strategies.sampled_from(SLOTS)

    def _change_limit(self, limit):
        items = [
            snapshot_lib.Item(
                'teams', 't', self.snapshot.generation + 1, {'limit': limit}
            )
        ]
        if not self.snapshot.generation:
            specs = {
                'zones': {},
                'pools': {},
                'queues': {'pool': 'p', 'run_limit_ms': RUN_LIMIT_MS},
                'hosts': {
                    'address': '127.0.0.1:1',
                    'zone': 'p',
                    'rack': 'r',
                    'pool': 'p',
                },
            }
            items += [
                snapshot_lib.Item(kind, 'p', 1, spec)
                for kind, spec in specs.items()
            ]
        change = snapshot_lib.make_change(
            'test', self.snapshot.mark, f'c{limit}', items
        )
        self.snapshot = self.snapshot.apply(change)

    def _reports(self, snapshot):
        if not self.worker_reachable:
            return {'p': None}
        # The report lags: it lacks what has started since.
        shown_ms = self.clock.now_ms() - workers_base.REPORT_LAG_MS
        tasks = tuple(
            workers_base.RunningTask(str(n), str(n), 't', task[0], 1)
            for n, task in self.running.items()
            if task[2] - RUN_LIMIT_MS <= shown_ms
        )
        return {'p': workers_base.WorkerReport('p', 'b', 0, 99, False, tasks)}

    def _wait(self, ms):
        """Let time pass; who was cut off starts work as late as it may."""
        self._pass_time(2_000)
        for slot in self.fleet.unreachable if self.fill_late else ():
            self._fill(self.fleet.entries[slot])
        self._pass_time(ms - 2_000)
        return True

    def _pass_time(self, ms):
        for _ in range(ms // 500):
            self.clock.advance(500)
            for entry in self._processes():
                if not entry.paused and not entry.superseded:
                    self.fleet.heartbeat(entry)
        now_ms = self.clock.now_ms()
        for number, task in list(self.running.items()):
            if task[2] <= now_ms:
                del self.running[number]

    def _processes(self):
        return [*self.fleet.entries.values(), *self.fleet.former]

    def _limit_in_force(self):
        if self.clock.now_ms() < self.accepted_ms + serving.FRESHNESS_MS:
            return max(self.limit, self.former_limit)
        return self.limit

    def _send(self, entry, permit, expires_ms):
        """Let the worker start a task; it refuses one that is late."""
        if self.clock.now_ms() >= expires_ms:
            entry.allotments.release(permit)
            return
        assert (
            len(self.running) < self._limit_in_force()
        ), 'a task starts above the limit'
        self.tasks += 1
        end_ms = self.clock.now_ms() + RUN_LIMIT_MS
        self.running[self.tasks] = (
            permit.incarnation,
            (entry, permit),
            end_ms,
        )

    def _prepare(self, entry):
        """Do what the dispatcher does before the send."""
        if entry.paused or entry.superseded or not entry.right.holds():
            return None
        permit = entry.allotments.acquire('t')
        if permit is None or not entry.allotments.is_valid(permit):
            return None
        return entry, permit, entry.right.expires_ms()

    def _fill(self, entry):
        """Start as many tasks as an entry is allowed to."""
        while (prepared := self._prepare(entry)) is not None:
            self._send(*prepared)

    @stateful.rule(slot=slots)
    def fill(self, slot):
        self._fill(self.fleet.entries[slot])

    @stateful.rule()
    def fill_all(self):
        for entry in self._processes():
            self._fill(entry)

    def teardown(self):
        """Let every process start what it believes it may start."""
        self.resume_all()
        self._pass_time(1_000)
        self.fill_all()

    @stateful.rule(slot=slots)
    def prepare_and_pause(self, slot):
        """Freeze a process between its last check and the send."""
        entry = self.fleet.entries[slot]
        prepared = self._prepare(entry)
        if prepared is not None:
            self.prepared.append(prepared)
        entry.paused = True

    @stateful.rule()
    def resume_all(self):
        """Let frozen processes go on; they send what they prepared."""
        prepared, self.prepared = self.prepared, []
        for item in prepared:
            self._send(*item)
        for entry in self._processes():
            entry.paused = False

    @stateful.rule(count=strategies.integers(1, 4))
    def end(self, count):
        """End the oldest tasks."""
        for number in sorted(self.running)[:count]:
            entry, permit = self.running.pop(number)[1]
            if not entry.paused:
                entry.allotments.release(permit)

    @stateful.rule(slot=slots, paused=strategies.booleans())
    def replace(self, slot, paused):
        """Replace a process; the old one is killed, or frozen for long."""
        old = self.fleet.entries[slot]
        self.fleet.start(slot)
        old.paused = True
        if not paused:
            self.fleet.former.remove(old)
            self.prepared = [p for p in self.prepared if p[0] is not old]

    @stateful.rule(giver=slots, asker=slots, lost=strategies.booleans())
    def transfer(self, giver, asker, lost):
        one, two = self.fleet.entries[giver], self.fleet.entries[asker]
        if giver == asker or one.paused or two.paused:
            return
        req = messages.TransferRequest(
            't',
            two.allotments.team_version('t'),
            two.allotments.epoch,
            3,
        )
        reply = one.allotments.give(req, 1, 0)
        if not lost:
            two.allotments.receive('t', reply)

    @stateful.rule(minority=strategies.sets(slots, min_size=1, max_size=3))
    def partition(self, minority):
        """Cut a minority off from the other slots and the controller."""
        self.fleet.cuts = {
            frozenset({one, two})
            for one in minority
            for two in set(SLOTS) - minority
        }
        self.fleet.unreachable = set(minority)

    @stateful.rule()
    def heal(self):
        self.fleet.cuts = set()
        self.fleet.unreachable = set()

    @stateful.rule(slot=slots)
    def cut_from_controller(self, slot):
        self.fleet.unreachable ^= {slot}

    @stateful.rule()
    def cut_worker(self):
        self.worker_reachable = not self.worker_reachable

    @stateful.rule(ms=strategies.sampled_from([500, 3000]))
    def pass_time(self, ms):
        self._pass_time(ms)

    @stateful.rule(limit=strategies.integers(0, 8))
    def set_limit(self, limit):
        reached = self.fleet._reached()
        if len(reached) < 3:
            return
        if self.clock.now_ms() < self.accepted_ms + serving.FRESHNESS_MS:
            return
        self._change_limit(limit)
        self.fleet.snapshot = self.snapshot
        for entry in reached.values():
            entry.follow(self.snapshot)
        self.former_limit, self.limit = self.limit, limit
        self.accepted_ms = self.clock.now_ms()

    @stateful.rule()
    def run_recount(self):
        self.epoch += 1
        self.recount.run(
            self.epoch, self.snapshot, self.known, self._record_members
        )

    def _record_members(self, members):
        self.known = members

    @stateful.rule(stale=strategies.integers(1, 3), slot=slots)
    def late_grant(self, stale, slot):
        """Deliver the grant of a controller that was paused."""
        entry = self.fleet.entries[slot]
        if entry.paused or self.epoch - stale < 1:
            return
        version = entry.allotments.team_version('t')
        item = messages.TeamAllotment('t', version, 5)
        grant = messages.Grant(self.epoch - stale, (item,))
        if entry.allotments.epoch == self.epoch:
            assert not entry.allotments.grant(grant)


LimitMachine.TestCase.settings = hypothesis.settings(
    max_examples=500,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
)


class TestLimitUnderFaults(LimitMachine.TestCase):
    """Guards against a start while the limit is reached."""


class TestLimitScenarios:
    """Guards against the faults that random steps reach too seldom."""

    def test_fenced_process_sends_after_its_share_was_granted(self):
        machine = LimitMachine()
        machine.prepare_and_pause('a')
        machine.run_recount()
        machine.fill_all()
        assert machine.running
        machine.resume_all()
        machine.fill_all()

    def test_minority_does_not_use_what_was_granted_to_others(self):
        machine = LimitMachine()
        machine.partition({'a', 'b'})
        machine.run_recount()
        machine.fill_all()
        assert len(machine.running) == START_LIMIT
        machine.pass_time(500)
        machine.fill_all()

    def test_floor_that_no_majority_recorded(self):
        machine = LimitMachine()
        machine.fill_late = False
        machine.partition({'a', 'b', 'c'})
        machine.run_recount()
        machine.heal()
        machine.fill_all()
        machine.pass_time(500)
        machine.fill_all()

    def test_report_that_lacks_the_last_start(self):
        machine = LimitMachine()
        machine.partition({'a'})
        machine.run_recount()
        machine.fill_all()

    def test_replaced_process_goes_on_with_its_allotment(self):
        machine = LimitMachine()
        machine.replace('a', True)
        machine.run_recount()
        machine.resume_all()
        machine.fill_all()

    def test_fenced_entry_joins_before_it_learns_of_the_fence(self):
        machine = LimitMachine()
        machine.prepare_and_pause('a')
        machine.run_recount()
        machine.resume_all()
        machine.run_recount()
        machine.fill_all()

    def test_restarted_entry_takes_over_fenced_allotment(self):
        machine = LimitMachine()
        machine.fill_late = False
        machine.cut_from_controller('a')
        machine.fleet.cuts = {frozenset({'a', other}) for other in 'bcde'}
        machine.run_recount()
        machine.fleet.cuts = set()
        machine.replace('e', False)
        machine.fleet.heartbeat(machine.fleet.entries['e'])
        machine.transfer('a', 'e', False)
        machine.fill_all()

    def test_unreachable_worker_after_a_late_loss(self):
        machine = LimitMachine()
        machine.pass_time(RUN_LIMIT_MS + 1_000)
        machine.fill('a')
        machine.cut_worker()
        machine.replace('a', False)
        machine.run_recount()
        machine.fill_all()

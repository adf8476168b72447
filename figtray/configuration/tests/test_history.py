"""State machine of writers, entries and a store under faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from figtray import clock as clock_lib
from figtray.configuration import resources
from figtray.configuration.tests import faults
from figtray.configuration import writer as writer_lib
from figtray import errors

MAJORITY = writer_lib.majority(len(faults.SLOTS))
MAX_RESTARTED = len(faults.SLOTS) - MAJORITY

_SLOTS = st.sampled_from(faults.SLOTS)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Guards against accepted changes that are lost, undone or repeated.

    Each change writes a team of its own, so the version of that team shows
    the generation in which the change was made. `accepted` and `refused`
    are the oracle: what the writer said about each change.
    """

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.ManualClock()
        self.store = faults.FaultyStore(self.clock)
        self.group = faults.SlotGroup()
        self.writers = [
            writer_lib.Writer(
                self.store, faults.DEPLOYMENT, self.group, self.clock
            )
            for _ in range(2)
        ]
        self.next_id = 0
        self.accepted = {}
        self.checksums = {}
        self.refused = set()
        self.pending = set()
        self.generations = {}
        self.dumps = [self.store.dump()]

    def commit(self, writer, change_id):
        """Make a change and record what the writer says about it."""
        try:
            committed = self.writers[writer].commit(
                faults.set_team(change_id), change_id
            )
        except (errors.WriteUncertain, errors.NotAccepted):
            self.pending.add(change_id)
        except (
            errors.StoreDiverged,
            errors.StoreUnavailable,
            errors.NoMajority,
            errors.PeerUnavailable,
            errors.FencedOut,
        ) as exc:
            if change_id not in self.pending | set(self.accepted):
                self.refused.add(change_id)
            if isinstance(exc, errors.StoreDiverged):
                self.operator_decides()
        except errors.AlreadyChanged as exc:
            self.accept(change_id, exc.fields['generation'])
        else:
            change = committed.change
            self.accept(change_id, change.generation)
            known = self.checksums.setdefault(
                change.generation, change.checksum
            )
            assert known == change.checksum

    def accept(self, change_id, generation):
        """Record an accepted change."""
        assert self.accepted.get(change_id, generation) == generation
        self.pending.discard(change_id)
        self.accepted[change_id] = generation

    def operator_decides(self):
        """Keep the history of the entries: empty the store."""
        self.store.empty()

    def change(self, writer):
        """Make a new change."""
        self.next_id += 1
        self.commit(writer, f'c{self.next_id}')

    @stateful.rule(writer=st.integers(0, 1), count=st.integers(1, 6))
    def changes(self, writer, count):
        for _ in range(count):
            self.change(writer)

    @stateful.rule(writer=st.integers(0, 1), data=st.data())
    def retry(self, writer, data):
        known = sorted(self.pending | set(self.accepted))
        if known:
            self.commit(writer, data.draw(st.sampled_from(known)))

    @stateful.rule(writer=st.integers(0, 1))
    def outage(self, writer):
        self.store.set_down(True)
        self.change(writer)
        self.store.set_down(False)

    @stateful.rule()
    def store_is_back(self):
        self.store.set_down(False)

    @stateful.rule()
    def lose_reply(self):
        self.store.lose_next_reply = True

    @stateful.rule()
    def delay_write(self):
        self.store.hold_next = True

    @stateful.rule()
    def deliver_write(self):
        self.store.deliver_held()

    @stateful.rule(call=st.sampled_from(('get', 'range', 'txn')))
    def outage_between_phases(self, call):
        self.store.before[call] = lambda: self.store.set_down(True)

    @stateful.rule(call=st.sampled_from(('get', 'range', 'txn')))
    def race(self, call):
        self.store.before[call] = lambda: self.change(1)

    @stateful.rule()
    def dump(self):
        self.dumps.append(self.store.dump())

    @stateful.rule(age=st.integers(1, 4))
    def restore_older(self, age):
        self.store.restore(self.dumps[-min(age, len(self.dumps))])

    @stateful.rule(
        slot=_SLOTS,
        lost=st.integers(1, 3),
        later=st.integers(0, 2),
        again=st.booleans(),
    )
    def fork_one_slot(self, slot, lost, later, again):
        """Lose stored changes that one slot has, and go on without it.

        The store may lose the later changes as well, which the other slots
        have accepted.
        """
        state = self.store.dump()
        for _ in range(lost):
            self.reach_all()
            self.reach_few_after_the_write({slot})
            self.change(0)
        self.store.before.clear()
        self.store.restore(state)
        self.group.reachable = set(faults.SLOTS) - {slot}
        for _ in range(later):
            self.change(1)
        if again:
            self.store.restore(state)
        self.reach_all()

    @stateful.rule(slots=st.sets(_SLOTS, max_size=MAX_RESTARTED))
    def lose_slots(self, slots):
        self.group.reachable = set(faults.SLOTS) - slots

    @stateful.rule(slots=st.sets(_SLOTS, max_size=MAX_RESTARTED))
    def reach_few_after_the_write(self, slots):
        def hook():
            self.group.reachable = slots

        self.store.before['txn'] = hook

    @stateful.rule()
    def reach_all(self):
        self.group.reachable = set(faults.SLOTS)

    @stateful.rule(slot=_SLOTS)
    def restart(self, slot):
        restarted = set(faults.SLOTS) - self.group.synchronised | {slot}
        if len(restarted) <= MAX_RESTARTED:
            self.group.restart(slot)
            self.generations.pop(slot, None)

    @stateful.rule(slot=_SLOTS)
    def synchronise(self, slot):
        self.group.synchronise(slot)

    @stateful.invariant()
    def generations_never_go_back(self):
        for slot, replica in self.group.replicas.items():
            generation = replica.snapshot.generation
            assert generation >= self.generations.get(slot, 0)
            self.generations[slot] = generation

    @stateful.invariant()
    def accepted_changes_stay_with_a_majority(self):
        for change_id, generation in self.accepted.items():
            lacking = 0
            for slot in self.group.synchronised:
                version = self.version(slot, change_id)
                assert version in (None, generation) or self.is_forked(slot)
                lacking += version != generation
            assert lacking <= len(faults.SLOTS) - MAJORITY

    @stateful.invariant()
    def changes_are_made_once(self):
        for replica in self.group.replicas.values():
            made = [item for item in replica.snapshot.change_ids if item]
            assert len(set(made)) == len(made)

    def is_forked(self, slot):
        """Tell whether a slot follows changes that were never accepted."""
        return any(
            self.checksums.get(mark.generation, mark.checksum) != mark.checksum
            for mark in self.group.replicas[slot].snapshot.history
        )

    @stateful.invariant()
    def refused_changes_are_not_made(self):
        for slot in faults.SLOTS:
            for change_id in self.refused:
                assert self.version(slot, change_id) is None

    def teardown(self):
        """Check that changes work again when all faults have ended."""
        self.store.before.clear()
        self.store.set_down(False)
        self.store.lose_next_reply = self.store.hold_next = False
        self.store.deliver_held()
        self.reach_all()
        if self.agreeing() >= MAJORITY:
            for _ in range(3):
                self.change(0)
                # Heartbeats bring up to date what lacks an older change.
                for slot in faults.SLOTS:
                    self.group.synchronise(slot)
            assert f'c{self.next_id}' in self.accepted
        self.generations_never_go_back()
        self.accepted_changes_stay_with_a_majority()
        self.changes_are_made_once()
        self.refused_changes_are_not_made()

    def agreeing(self):
        """Return the largest number of slots on one history.

        Without a majority on one history, any of several changes may have
        been accepted, and the writer has to refuse.
        """
        snapshots = [
            self.group.replicas[slot].snapshot
            for slot in self.group.synchronised
        ]
        return max(
            sum(other.mark in snapshot.history for other in snapshots)
            for snapshot in snapshots
        )

    def version(self, slot, change_id):
        snapshot = self.group.replicas[slot].snapshot
        item = snapshot.item(resources.Kind.TEAM, change_id)
        return item and item.version


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
)

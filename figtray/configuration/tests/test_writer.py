"""Tests of the writer under failures of the store and the entries."""

import pytest

from figtray import clock as clock_lib
from figtray.configuration import archive as archive_lib
from figtray.configuration import resources
from figtray.configuration.tests import faults
from figtray.configuration import writer as writer_lib
from figtray import errors


class System:
    """Store, five entries and writers."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.store = faults.FaultyStore(self.clock)
        self.group = faults.SlotGroup()
        self.archive = archive_lib.Archive(self.store, faults.DEPLOYMENT)
        self.writer = self.make_writer()

    def make_writer(self):
        return writer_lib.Writer(
            self.store, faults.DEPLOYMENT, self.group, self.clock
        )

    def commit(self, name, change_id=None, limit=1):
        return self.writer.commit(faults.set_team(name, limit), change_id)

    def teams(self, slot='entry-1'):
        snapshot = self.group.replicas[slot].snapshot
        return sorted(snapshot.specs(resources.Kind.TEAM))

    def generations(self):
        return {
            replica.snapshot.generation
            for replica in self.group.replicas.values()
        }


@pytest.fixture
def system():
    return System()


class TestLostReplies:
    """Guards against a change that is repeated or reported wrongly."""

    def test_lost_reply_is_resolved(self, system):
        system.store.lose_next_reply = True
        committed = system.commit('a')
        assert committed.change.generation == 1
        assert system.generations() == {1}

    def test_delayed_write_after_the_retry(self, system):
        system.store.hold_next = True
        assert system.commit('a', 'c1').change.generation == 1
        system.store.deliver_held()
        system.commit('b')
        assert system.archive.read_head()[0].generation == 2
        assert system.generations() == {2}

    def test_delayed_write_between_the_attempts(self, system):
        system.store.hold_next = True
        system.store.before['get'] = lambda: system.store.before.update(
            get=system.store.deliver_held
        )
        committed = system.commit('a', 'c1')
        assert committed.change.generation == 1
        assert system.archive.read_head()[0].generation == 1

    def test_outage_after_a_lost_reply_is_uncertain(self, system):
        system.store.before['txn'] = lambda: setattr(
            system.store, 'lose_next_reply', True
        )
        marks = system.group.marks

        def marks_after_outage():
            system.store.set_down(bool(system.archive.read_head()[0]))
            return marks()

        system.group.marks = marks_after_outage
        with pytest.raises(errors.WriteUncertain):
            system.commit('a', 'c1')
        system.store.set_down(False)
        system.group.marks = marks
        assert system.commit('a', 'c1').change.generation == 1

    def test_last_attempt_uncertain(self, system):
        def hold():
            system.store.hold_next = True
            system.store.before['txn'] = hold

        system.store.before['txn'] = hold
        with pytest.raises(errors.WriteUncertain):
            system.commit('a', 'c1')
        system.store.before.clear()
        system.store.hold_next = False
        system.store.deliver_held()
        assert system.commit('a', 'c1').change.generation == 1

    def test_retry_after_many_other_changes(self, system):
        system.commit('a', 'c1')
        for number in range(writer_lib.ATTEMPTS + 1):
            system.commit(f'b{number}')
        assert system.commit('a', 'c1').change.generation == 1

    def test_retry_after_the_store_lost_the_change(self, system):
        system.commit('a', 'c1')
        state = system.store.dump()
        system.commit('b', 'c2')
        system.store.restore(state)
        assert system.commit('b', 'c2').change.generation == 2

    def test_retry_when_no_entry_keeps_the_change(self, system):
        state = system.store.dump()
        system.commit('a', 'c1')
        for slot in faults.SLOTS:
            system.group.restart(slot)
            assert system.group.synchronise(slot)
        system.store.restore(state)
        with pytest.raises(errors.AlreadyChanged) as caught:
            system.commit('a', 'c1')
        assert caught.value.fields['generation'] == 1


class TestOutages:
    """Guards against a wrong statement about what was changed."""

    @pytest.mark.parametrize('call', ['get', 'range', 'txn'])
    def test_store_down_between_phases(self, system, call):
        system.store.before[call] = lambda: system.store.set_down(True)
        with pytest.raises(errors.StoreUnavailable):
            system.commit('a')
        system.store.set_down(False)
        assert system.archive.read_head()[0] is None

    def test_no_majority(self, system):
        system.group.reachable = {'entry-1', 'entry-2'}
        with pytest.raises(errors.NoMajority):
            system.commit('a')
        assert system.archive.read_head()[0] is None

    def test_stored_not_accepted_leaves_no_gap(self, system):
        push = system.group.push
        system.group.push = lambda change: set()
        with pytest.raises(errors.NotAccepted):
            system.commit('a', 'c1')
        system.group.push = push
        assert len(system.commit('b').confirmed) == 5
        assert system.teams() == ['a', 'b']
        assert system.commit('a', 'c1').change.generation == 1

    def test_store_fails_while_resending(self, system):
        system.group.push = lambda change: system.store.set_down(True) or set()
        with pytest.raises(errors.NotAccepted):
            system.commit('a')


class TestRaces:
    """Guards against a silent merge of concurrent changes."""

    def test_both_land_in_sequence(self, system):
        other = system.make_writer()
        system.store.before['txn'] = lambda: other.commit(
            faults.set_team('b', 2)
        )
        assert system.commit('a').change.generation == 2
        assert system.teams() == ['a', 'b']

    def test_the_later_one_sees_the_conflict(self, system):
        def create(limit):
            def build(before):
                if before.spec(resources.Kind.TEAM, 'a') is not None:
                    raise errors.VersionConflict(
                        kind='teams', name='a', current=1, expected=0
                    )
                return (faults.team_item(before, 'a', limit),)

            return build

        other = system.make_writer()
        system.store.before['txn'] = lambda: other.commit(create(2))
        with pytest.raises(errors.VersionConflict):
            system.writer.commit(create(1))
        snapshot = system.group.replicas['entry-1'].snapshot
        assert snapshot.spec(resources.Kind.TEAM, 'a').limit == 2

    def test_endless_losing_changes_nothing(self, system):
        other = system.make_writer()

        def lose():
            other.commit(faults.set_team('b'))
            system.store.before['txn'] = lose

        system.store.before['txn'] = lose
        with pytest.raises(errors.FencedOut):
            system.commit('a')
        system.store.before.clear()
        assert system.teams() == ['b']


class TestOlderStore:
    """Guards against a reversal by a store with an older state."""

    def test_entries_restore_the_store(self, system):
        system.commit('a')
        state = system.store.dump()
        system.commit('b')
        system.commit('c')
        system.store.restore(state)
        assert system.commit('d').change.generation == 4
        for slot in faults.SLOTS:
            assert system.teams(slot) == ['a', 'b', 'c', 'd']
        stored = system.archive.read_snapshot()[0]
        assert stored.mark == system.group.replicas['entry-1'].snapshot.mark
        assert system.archive.read_change(3) is not None

    @pytest.mark.parametrize('call', ['get', 'txn'])
    def test_restoring_is_interrupted(self, system, call):
        state = system.store.dump()
        for number in range(archive_lib.ITEMS_PER_TXN + 5):
            system.commit(f't{number}')
        generations = system.generations()
        system.store.restore(state)
        system.store.before['txn'] = lambda: system.store.before.update(
            {call: lambda: system.store.set_down(True)}
        )
        with pytest.raises(errors.StoreUnavailable):
            system.commit('a')
        assert system.generations() == generations
        system.store.set_down(False)
        system.commit('a')
        assert len(system.archive.read_snapshot()[0].items) == 106

    def test_store_older_than_the_kept_history(self, system):
        system.commit('a')
        state = system.store.dump()
        changes, _ = faults.make_changes(
            system.group.replicas['entry-1'].snapshot, 520
        )
        for change in changes:
            system.group.push(change)
        system.store.restore(state)
        assert system.commit('b').change.generation == 522

    def test_delayed_write_reaches_a_store_that_counts_again(self, system):
        state = system.store.dump()
        system.commit('a')
        held = system.store.hold_next = True
        revision = system.store.revision
        held = system.make_writer()
        system.group.marks, marks = (
            _fail_after_first(system.group.marks),
            system.group.marks,
        )
        with pytest.raises(errors.WriteUncertain):
            held.commit(faults.set_team('late'), 'late')
        system.group.marks = marks
        system.store.restore(state)
        system.commit('b')
        # Bring the head to the revision that the delayed write compares.
        while system.archive.read_head()[1] != revision:
            system.store.count_from(revision - 1)
            system.commit('c')
        system.store.deliver_held()
        assert system.archive.read_snapshot()[0].contains(
            system.group.replicas['entry-1'].snapshot.mark
        )


def _fail_after_first(marks):
    calls = []

    def result():
        calls.append(1)
        return marks() if len(calls) == 1 else {}

    return result


class TestDivergedStore:
    """Guards against a change on a history that is not the entries'."""

    def check_refused(self, system):
        before = system.store.dump()
        marks = system.group.marks()
        with pytest.raises(errors.StoreDiverged):
            system.commit('z')
        assert system.store.dump() == before
        assert system.group.marks() == marks

    @pytest.mark.parametrize('count', [1, 2, 3])
    def test_store_of_another_deployment(self, system, count):
        system.commit('a')
        system.commit('b')
        other = System()
        for number in range(count):
            other.commit(f'o{number}')
        system.store.restore(other.store.dump())
        self.check_refused(system)

    def test_forked_history(self, system):
        system.commit('a')
        state = system.store.dump()
        system.commit('b')
        system.store.restore(state)
        # A writer of another program version ignored the entries.
        lone = writer_lib.Writer(
            system.store, faults.DEPLOYMENT, _Twin(system), system.clock
        )
        lone.commit(faults.set_team('x'))
        self.check_refused(system)

    def test_foreign_store_older_than_the_kept_history(self, system):
        changes, _ = faults.make_changes(
            system.group.replicas['entry-1'].snapshot, 520
        )
        for change in changes:
            system.group.push(change)
        other = System()
        other.commit('o')
        system.store.restore(other.store.dump())
        self.check_refused(system)

    def fork(self, system, slot, count):
        """Let one slot follow changes that the store then loses."""
        state = system.store.dump()
        push = system.group.push
        only = writer_lib.ReplicaGroup(system.group.replicas, {slot})
        system.group.push = only.push
        for number in range(count):
            with pytest.raises(errors.NotAccepted):
                system.commit(f'lost{number}')
        system.group.push = push
        system.store.restore(state)

    @pytest.mark.parametrize('count', [1, 2, 3])
    def test_fork_in_a_minority_of_entries_is_passed_over(self, system, count):
        self.fork(system, 'entry-1', count)
        system.group.reachable = set(faults.SLOTS[1:])
        system.commit('a')
        system.group.reachable = set(faults.SLOTS)
        committed = system.commit('b')
        assert committed.confirmed == set(faults.SLOTS[1:])
        assert system.teams('entry-2') == ['a', 'b']

    @pytest.mark.parametrize('count', [1, 2, 3])
    def test_fork_is_passed_over_by_an_older_store(self, system, count):
        state = system.store.dump()
        self.fork(system, 'entry-1', count)
        system.group.reachable = set(faults.SLOTS[1:])
        system.commit('a')
        system.group.reachable = set(faults.SLOTS)
        system.store.restore(state)
        system.commit('b')
        assert system.teams('entry-2') == ['a', 'b']

    @pytest.mark.parametrize('count', [1, 2, 3])
    def test_ambiguous_forks_are_refused(self, system, count):
        self.fork(system, 'entry-1', count)
        system.group.reachable = set(faults.SLOTS[1:])
        push = system.group.push
        only = writer_lib.ReplicaGroup(system.group.replicas, {'entry-2'})
        system.group.push = only.push
        with pytest.raises(errors.NotAccepted):
            system.commit('a')
        system.group.push = push
        # Of these three, any change could be held by the two that are away.
        system.group.reachable = set(faults.SLOTS[:3])
        self.check_refused(system)
        system.group.reachable = set(faults.SLOTS)
        system.commit('b')
        assert system.teams('entry-3') == ['a', 'b']


class _Twin(writer_lib.ReplicaGroup):
    """Entries that know only what the store holds."""

    def __init__(self, system):
        group = faults.SlotGroup()
        snapshot = system.archive.read_snapshot()[0]
        for replica in group.replicas.values():
            replica.adopt(snapshot)
        super().__init__(group.replicas)


class TestDeletion:
    """Guards against a deleted resource that comes back."""

    def test_tombstone_survives_an_older_store(self, system):
        system.commit('a')
        state = system.store.dump()

        def remove(before):
            item = faults.team_item(before, 'a')
            return (
                writer_lib.snapshot_lib.Item(
                    item.kind, item.name, item.version, None
                ),
            )

        system.writer.commit(remove)
        system.store.restore(state)
        system.commit('b')
        stored = system.archive.read_snapshot()[0]
        assert sorted(stored.specs(resources.Kind.TEAM)) == ['b']
        assert stored.item(resources.Kind.TEAM, 'a').deleted
        assert system.teams() == ['b']

"""Tests of the form in which the store keeps the configuration."""

import pytest

from figtray.configuration import archive as archive_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration.tests import faults
from figtray import errors


@pytest.fixture
def store():
    return faults.FaultyStore()


@pytest.fixture
def archive(store):
    return archive_lib.Archive(store, faults.DEPLOYMENT)


class TestWriteChange:
    """Guards against a change that is stored in part or twice."""

    def test_round_trip(self, archive):
        before, revision = archive.read_snapshot()
        changes, after = faults.make_changes(before, 1)
        assert archive.write_change(before, changes[0], 0)
        stored, _ = archive.read_snapshot()
        assert stored.mark == after.mark
        assert stored.change_ids == after.change_ids
        assert archive.read_change(1) == changes[0]
        assert archive.read_change(2) is None

    def test_second_write_on_the_same_head(self, archive, store):
        before, _ = archive.read_snapshot()
        first, _ = faults.make_changes(before, 1)
        second, _ = faults.make_changes(before, 1, 'd')
        assert archive.write_change(before, first[0], 0)
        state = store.dump()
        assert not archive.write_change(before, second[0], 0)
        assert store.dump() == state

    def test_late_write_after_a_restoration_without_log(self, archive, store):
        before, _ = archive.read_snapshot()
        late, _ = faults.make_changes(before, 1)
        _, newest = faults.make_changes(before, 3, 'd')
        assert archive.restore(newest, 0)
        state = store.dump()
        assert not archive.write_change(before, late[0], 0)
        assert store.dump() == state

    def test_log_is_bounded(self, archive, monkeypatch):
        monkeypatch.setattr(archive_lib, 'LOG_LENGTH', 3)
        for _ in range(5):
            before, _ = archive.read_snapshot()
            _, revision = archive.read_head()
            change = faults.make_changes(before, 1)[0][0]
            assert archive.write_change(before, change, revision)
        assert [archive.read_change(n) is None for n in range(1, 6)] == [
            True,
            True,
            False,
            False,
            False,
        ]


class TestRestore:
    """Guards against a new head over old items."""

    @pytest.mark.parametrize('fails_at', [1, 2, 3])
    def test_interrupted(self, archive, store, monkeypatch, fails_at):
        monkeypatch.setattr(archive_lib, 'ITEMS_PER_TXN', 3)
        empty = snapshot_lib.Snapshot.empty(faults.DEPLOYMENT)
        changes, newest = faults.make_changes(empty, 7)

        def count(left):
            if left == 0:
                return store.set_down(True)
            store.before['txn'] = lambda: count(left - 1)

        store.before['txn'] = lambda: count(fails_at - 1)
        with pytest.raises(errors.StoreUnavailable):
            archive.restore(newest, 0, changes)
        store.set_down(False)
        assert archive.read_head() == (None, 0)
        assert archive.restore(newest, 0, changes)
        assert archive.read_snapshot()[0].mark == newest.mark
        assert archive.read_change(7) == changes[6]

    def test_overtaken(self, archive):
        empty = snapshot_lib.Snapshot.empty(faults.DEPLOYMENT)
        changes, newest = faults.make_changes(empty, 2)
        assert archive.write_change(empty, changes[0], 0)
        assert not archive.restore(newest, 0, changes)
        assert archive.read_head()[0].generation == 1


class TestCheckItems:
    """Guards against references to nothing."""

    def snapshot(self, *items):
        mark = snapshot_lib.Mark(1, 'x')
        by_key = {(item.kind, item.name): item for item in items}
        return snapshot_lib.Snapshot('d', mark, by_key, (mark,))

    def test_reference_and_deletion_in_one_change(self):
        pool = snapshot_lib.Item('pools', 'p', 1, {})
        queue = snapshot_lib.Item('queues', 'q', 1, {'pool': 'p'})
        removed = snapshot_lib.Item('pools', 'p', 2)
        both = [removed, snapshot_lib.Item('queues', 'q', 2)]
        before = self.snapshot(pool, queue)
        with pytest.raises(errors.ResourceInUse):
            archive_lib.check_items(before, [removed])
        archive_lib.check_items(before, both)
        with pytest.raises(errors.ValidationFailed):
            archive_lib.check_items(self.snapshot(removed), [queue])
        archive_lib.check_items(self.snapshot(), [pool, queue])
        assert before.spec(resources.Kind.POOL, 'p') is not None

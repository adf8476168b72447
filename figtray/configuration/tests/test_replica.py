"""Tests of the entries' replica."""

import pytest

from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration.tests import faults

Outcome = replica_lib.Outcome


@pytest.fixture
def replica():
    return replica_lib.Replica(faults.DEPLOYMENT)


class TestReplica:
    """Guards against a replica that goes back or mixes histories."""

    def test_applies_in_order_only(self, replica):
        changes, _ = faults.make_changes(replica.snapshot, 3)
        assert replica.apply(changes[1]) is Outcome.GAP
        assert replica.apply(changes[0]) is Outcome.APPLIED
        assert replica.apply(changes[0]) is Outcome.KNOWN
        assert replica.apply(changes[1]) is Outcome.APPLIED
        assert replica.snapshot.generation == 2

    def test_refuses_another_history(self, replica):
        changes, _ = faults.make_changes(replica.snapshot, 2)
        others, other = faults.make_changes(replica.snapshot, 3, 'o')
        replica.apply(changes[0])
        mark = replica.snapshot.mark
        assert replica.apply(others[0]) is Outcome.DIVERGED
        assert replica.apply(others[1]) is Outcome.DIVERGED
        assert replica.adopt(other) is Outcome.DIVERGED
        foreign = snapshot_lib.Snapshot.empty('other')
        assert replica.adopt(foreign) is Outcome.DIVERGED
        assert replica.snapshot.mark == mark

    def test_adopts_newer_and_keeps_against_older(self, replica):
        changes, newest = faults.make_changes(replica.snapshot, 3)
        older = replica.snapshot
        replica.apply(changes[0])
        assert replica.adopt(newest) is Outcome.APPLIED
        assert replica.adopt(older) is Outcome.KNOWN
        assert replica.snapshot.generation == 3
        assert replica.changes_after(1) is None

    @pytest.mark.parametrize('is_foreign', [False, True])
    def test_adopts_beyond_the_kept_history(self, replica, is_foreign):
        changes, _ = faults.make_changes(replica.snapshot, 1)
        base = replica.snapshot
        replica.apply(changes[0])
        start = base if is_foreign else replica.snapshot
        _, newest = faults.make_changes(start, 600, 'o')
        expected = Outcome.DIVERGED if is_foreign else Outcome.APPLIED
        assert replica.adopt(newest) is expected

    def test_a_failing_listener_changes_nothing(self, replica):
        changes, _ = faults.make_changes(replica.snapshot, 1)
        replica.subscribe(lambda old, new: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            replica.apply(changes[0])
        assert replica.snapshot.generation == 0
        assert replica.changes_after(0) == ()

    def test_changes_after(self, replica):
        changes, _ = faults.make_changes(replica.snapshot, 3)
        for change in changes:
            replica.apply(change)
        assert replica.changes_after(1) == tuple(changes[1:])
        assert replica.changes_after(3) == ()

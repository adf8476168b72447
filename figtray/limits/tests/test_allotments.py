"""Tests of the allotments of one entry."""

import pytest

from figtray import clock as clock_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.limits import allotments as allotments_lib
from figtray.peers import messages


def change_limit(snapshot, limit):
    """Return the snapshot after team t gets a limit, None deletes it."""
    item = snapshot_lib.Item(
        'teams',
        't',
        snapshot.generation + 1,
        None if limit is None else {'limit': limit},
    )
    change = snapshot_lib.make_change(
        'test', snapshot.mark, f'c{snapshot.generation}', [item]
    )
    return snapshot.apply(change)


class Entry:
    """Allotments with the configuration they follow."""

    def __init__(self, slot='a', limit=10, held=0, epoch=1):
        self.clock = clock_lib.ManualClock()
        self.allotments = allotments_lib.Allotments(
            slot, f'run-{slot}', self.clock
        )
        self.snapshot = snapshot_lib.Snapshot.empty('test')
        self.set_limit(limit)
        self.allotments.join(epoch)
        self.grant(epoch, held)

    def set_limit(self, limit):
        new = change_limit(self.snapshot, limit)
        self.allotments.on_configuration(self.snapshot, new)
        self.snapshot = new

    def grant(self, epoch, number):
        version = self.allotments.team_version('t')
        item = messages.TeamAllotment('t', version, number)
        return self.allotments.grant(messages.Grant(epoch, (item,)))

    def request(self, wanted, epoch=1):
        version = self.allotments.team_version('t')
        return messages.TransferRequest('t', version, epoch, wanted)

    @property
    def held(self):
        return sum(i.held for i in self.allotments.report())


class TestAcquire:
    """Guards against more running tasks than the allotment."""

    def test_stops_at_the_number_held(self):
        entry = Entry(held=2)
        permits = [entry.allotments.acquire('t') for _ in range(3)]
        assert permits[2] is None
        entry.allotments.release(permits[0])
        assert entry.allotments.acquire('t') is not None

    def test_unknown_team_gets_nothing(self):
        assert Entry(held=2).allotments.acquire('x') is None

    def test_lowered_limit_stops_all_starts_until_a_recount(self):
        entry = Entry(limit=10, held=5)
        permit = entry.allotments.acquire('t')
        entry.set_limit(8)
        assert entry.allotments.acquire('t') is None
        entry.allotments.join(2)
        assert entry.grant(2, 1)
        assert entry.allotments.acquire('t') is not None
        assert entry.allotments.acquire('t') is None
        entry.allotments.release(permit)
        assert entry.allotments.acquire('t') is not None

    def test_deleted_team_does_not_start(self):
        entry = Entry(held=5)
        entry.set_limit(None)
        assert entry.allotments.acquire('t') is None


class TestTransfer:
    """Guards against allotment that is created by a transfer."""

    def test_moves_idle_allotment(self):
        giver, asker = Entry('a', held=4), Entry('b', held=0)
        reply = giver.allotments.give(asker.request(3), 0, 0)
        assert asker.allotments.receive('t', reply) == 3
        assert (giver.held, asker.held) == (1, 3)

    def test_other_epoch_is_not_given(self):
        giver = Entry('a', held=4)
        asker = Entry('b', epoch=2)
        reply = giver.allotments.give(asker.request(3, epoch=2), 0, 0)
        assert reply.given == 0
        assert giver.held == 4

    def test_reply_of_an_older_epoch_is_dropped(self):
        giver, asker = Entry('a', held=4), Entry('b')
        reply = giver.allotments.give(asker.request(3), 0, 0)
        asker.allotments.join(2)
        assert asker.allotments.receive('t', reply) == 0
        assert asker.held == 0

    def test_reply_for_an_older_limit_is_dropped(self):
        giver, asker = Entry('a', held=4), Entry('b')
        reply = giver.allotments.give(asker.request(3), 0, 0)
        asker.set_limit(5)
        assert asker.allotments.receive('t', reply) == 0

    def test_new_entry_takes_over_the_epoch(self):
        giver, asker = Entry('a', held=4, epoch=7), Entry('b', epoch=0)
        reply = giver.allotments.give(asker.request(3, epoch=0), 0, 0)
        assert asker.allotments.receive('t', reply) == 3
        assert asker.allotments.epoch == 7

    def test_busy_giver_reserves_what_exceeds_its_portion(self):
        giver, asker = Entry('a', held=4), Entry('b')
        permits = [giver.allotments.acquire('t') for _ in range(4)]
        assert giver.allotments.give(asker.request(2), 2, 9).given == 0
        giver.allotments.release(permits[0])
        assert giver.allotments.acquire('t') is None
        assert giver.allotments.give(asker.request(2), 2, 9).given == 1

    def test_reservation_ends(self):
        giver, asker = Entry('a', held=4), Entry('b')
        permits = [giver.allotments.acquire('t') for _ in range(4)]
        giver.allotments.give(asker.request(2), 2, 9)
        giver.allotments.release(permits[0])
        giver.clock.advance(allotments_lib.RESERVATION_MS)
        assert giver.allotments.acquire('t') is not None


class TestEpoch:
    """Guards against allotment that counts twice in a recount."""

    def test_repeated_join_returns_the_first_report(self):
        giver, asker = Entry('a', held=4), Entry('b')
        first = giver.allotments.join(2)
        asker.allotments.join(2)
        reply = giver.allotments.give(asker.request(3, epoch=2), 0, 0)
        asker.allotments.receive('t', reply)
        assert giver.allotments.join(2) == first

    def test_older_epoch_is_not_joined(self):
        entry = Entry(held=4, epoch=3)
        report = entry.allotments.join(2)
        assert not report.joined
        assert report.allotments == ()

    def test_grant_of_an_older_epoch_is_refused(self):
        entry = Entry(held=4)
        entry.allotments.join(2)
        assert not entry.grant(1, 5)
        assert entry.held == 4

    def test_fence_voids_permits_and_changes_the_incarnation(self):
        entry = Entry(held=4)
        permit = entry.allotments.acquire('t')
        before = entry.allotments.incarnation
        assert entry.allotments.reset(2)
        assert not entry.allotments.is_valid(permit)
        assert entry.allotments.incarnation != before
        assert entry.allotments.acquire('t') is None
        entry.allotments.release(permit)
        assert entry.allotments.report()[0].in_use == 0

    @pytest.mark.parametrize('epoch', [1, 2])
    def test_fence_of_an_epoch_that_was_joined_changes_nothing(self, epoch):
        entry = Entry(held=4, epoch=2)
        assert not entry.allotments.reset(epoch)
        assert entry.held == 4


class TestHandover:
    """Guards against allotment that two entries keep after a stop."""

    def test_leaves_what_is_in_use(self):
        stopping, heir = Entry('a', held=4), Entry('b', held=1)
        stopping.allotments.acquire('t')
        handover = stopping.allotments.surrender()
        heir.allotments.take_over(handover)
        assert (stopping.held, heir.held) == (1, 4)
        assert stopping.allotments.acquire('t') is None

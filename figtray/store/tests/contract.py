"""Tests that every implementation of Store has to pass."""

import concurrent.futures
import dataclasses
import threading

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.store import base
from figtray.store import memory


@dataclasses.dataclass
class Rig:
    """A Store and the MemoryStore that holds its data."""

    store: base.Store
    backing: memory.MemoryStore
    clock: clock_lib.ManualClock


class StoreContract:
    """Tests of a Store; a subclass provides the fixture `rig`."""

    @pytest.fixture(autouse=True)
    def watch_from_revision_two(self, rig):
        self.stop = threading.Event()
        self.watch = rig.store.watch('/w/', 2, self.stop)
        yield
        self.watch.close()

    def changes(self, count):
        """Return the next changes of the watch, without its Nones."""
        found = []
        while len(found) < count:
            found.extend(item for item in [next(self.watch)] if item)
        return found

    def test_conditions_decide(self, rig):
        """Guards against a write that ignores a concurrent change."""
        absent = base.Compare('/a', 'mod_revision', 0)
        first = rig.store.txn([absent], [base.Put('/a', b'\x00\xff')])
        assert first.succeeded
        assert not rig.store.txn([absent], [base.Put('/a', b'2')]).succeeded
        item = rig.store.get('/a')
        assert (item.value, item.mod_revision) == (b'\0\xff', first.revision)
        created = base.Compare('/a', 'create_revision', first.revision)
        unchanged = base.Compare('/a', 'mod_revision', first.revision)
        assert rig.store.txn([unchanged], [base.Put('/a', b'2')]).succeeded
        assert not rig.store.txn([created, unchanged], (), ['/a']).succeeded
        assert rig.store.txn([created], (), ['/a']).succeeded
        assert rig.store.txn([absent], ()).succeeded

    def test_concurrent_updates(self, rig):
        """Guards against lost updates and replies to the wrong thread."""

        def add_ten(_):
            done = 0
            while done < 10:
                item = rig.store.get('/n')
                value = int(item.value) if item else 0
                revision = item.mod_revision if item else 0
                compare = base.Compare('/n', 'mod_revision', revision)
                put = base.Put('/n', b'%d' % (value + 1))
                done += rig.store.txn([compare], [put]).succeeded

        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            list(pool.map(add_ten, range(4)))
        assert rig.store.get('/n').value == b'40'

    def test_one_transaction_has_one_revision(self, rig):
        """Guards against readers that see part of a transaction."""
        rig.store.txn([], [base.Put('/p/old', b'1'), base.Put('/q', b'')])
        result = rig.store.txn(
            [],
            [base.Put('/p/b', b'2'), base.Put('/p/é', b'3')],
            ['/p/old', '/p/absent'],
        )
        found = rig.store.range('/p/')
        assert [item.key for item in found.items] == ['/p/b', '/p/é']
        revisions = {item.mod_revision for item in found.items}
        assert revisions == {result.revision} == {found.revision}
        assert rig.store.get('/p/old') is None
        assert len(rig.store.range('').items) == 3

    def test_transaction_without_effect_keeps_revision(self, rig):
        """Guards against a MemoryStore that counts revisions differently."""
        before = rig.store.range('').revision
        assert rig.store.txn([], deletes=['/absent']).revision == before

    def test_invalid_transactions_are_rejected(self, rig):
        """Guards against writes that only the real service rejects."""
        twice = [base.Put('/a', b'1'), base.Put('/a', b'2')]
        many = [base.Put(f'/{number}', b'') for number in range(129)]
        for puts in (twice, many):
            with pytest.raises(errors.StoreUnavailable):
                rig.store.txn([], puts)
        assert not rig.store.range('').items

    def test_lost_reply_is_uncertain(self, rig):
        """Guards against a lost reply that is reported as a failed write."""
        rig.backing.replies_to_lose = 1
        with pytest.raises(errors.WriteUncertain):
            rig.store.txn([], [base.Put('/a', b'1')])
        assert rig.store.get('/a').value == b'1'

    def test_outage(self, rig):
        """Guards against lost data and against results during an outage."""
        before = rig.store.txn([], [base.Put('/a', b'1')]).revision
        rig.backing.set_down(True)
        for call in (
            lambda: rig.store.get('/a'),
            lambda: rig.store.range('/'),
            lambda: rig.store.grant_lease(1000),
            lambda: rig.store.keep_alive(1),
            lambda: rig.store.revoke(1),
            lambda: next(rig.store.watch('/', 1, threading.Event())),
        ):
            with pytest.raises(errors.StoreUnavailable):
                call()
        with pytest.raises((errors.StoreUnavailable, errors.WriteUncertain)):
            rig.store.txn([], [base.Put('/a', b'2')])
        rig.backing.set_down(False)
        assert rig.store.get('/a').value == b'1'
        assert rig.store.txn([], [base.Put('/a', b'3')]).revision > before

    def test_lease_ends_with_its_keys(self, rig):
        """Guards against a key that does not end together with its lease."""
        lease_id = rig.store.grant_lease(1500)
        rig.store.txn([], [base.Put('/l', b'', lease_id)])
        rig.clock.advance(1499)
        assert rig.store.keep_alive(lease_id) >= 1500
        rig.clock.advance(1499)
        assert rig.store.get('/l').lease == lease_id
        rig.clock.advance(2000)
        assert rig.store.get('/l') is None
        assert rig.store.keep_alive(lease_id) == 0
        with pytest.raises(errors.LeaseLost):
            rig.store.txn([], [base.Put('/l', b'', lease_id)])
        assert rig.store.get('/l') is None

    def test_revoke(self, rig):
        """Guards against a revoked lease whose keys remain."""
        lease_id = rig.store.grant_lease(60_000)
        rig.store.txn([], [base.Put('/l', b'', lease_id)])
        rig.store.revoke(lease_id)
        rig.store.revoke(lease_id)
        assert rig.store.get('/l') is None

    def test_watch_yields_all_changes(self, rig):
        """Guards against a watch that misses a change."""
        rig.store.txn([], [base.Put('/w/a', b'1'), base.Put('/x', b'')])
        rig.store.txn([], [base.Put('/w/a', b'2')])
        found = self.changes(2)
        rig.store.txn([], [base.Put('/w/b', b'3')], ['/w/a'])
        found += self.changes(2)
        assert [(i.key, i.value, i.deleted) for i in found] == [
            ('/w/a', b'1', False),
            ('/w/a', b'2', False),
            ('/w/b', b'3', False),
            ('/w/a', b'', True),
        ]
        revisions = [item.mod_revision for item in found]
        assert revisions == [2, 3, 4, 4]

    def test_idle_watch_yields_none_and_stops(self, rig):
        """Guards against a watch that blocks its thread while idle."""
        assert next(self.watch) is None
        self.stop.set()
        assert [item for item in self.watch if item] == []

    @pytest.mark.parametrize('event', ['down', 'restore'])
    def test_watch_breaks(self, rig, event):
        """Guards against a watch that stays silent after an outage."""
        state = rig.backing.dump()
        rig.store.txn([], [base.Put('/w/a', b'1')])
        assert self.changes(1)
        if event == 'down':
            rig.backing.set_down(True)
        else:
            rig.backing.restore(state)
        with pytest.raises(errors.StoreUnavailable):
            self.changes(1)

    def test_watch_of_compacted_changes_is_refused(self, rig, monkeypatch):
        """Guards against a watch that skips compacted changes."""
        monkeypatch.setattr(memory, 'HISTORY_LENGTH', 2)
        for number in range(4):
            rig.store.txn([], [base.Put('/w/a', b'%d' % number)])
        with pytest.raises(errors.StoreUnavailable):
            self.changes(1)
        late = rig.store.watch('/w/', 4, self.stop)
        assert next(late).value == b'2'
        late.close()

    def test_watch_of_changes_that_are_just_compacted_is_refused(self, rig):
        """Guards against a watch that skips changes without a later one."""
        start = rig.store.range('').revision + 1
        rig.store.txn([], [base.Put('/w/a', b'1')])
        rig.backing.compact_history()
        with pytest.raises(errors.StoreUnavailable):
            next(rig.store.watch('/w/', start, self.stop))

    def test_restore_returns_to_older_state(self, rig):
        """Guards against a restore that keeps newer keys or leases."""
        lease_id = rig.store.grant_lease(1000)
        old = rig.store.txn([], [base.Put('/a', b'1', lease_id)]).revision
        state = rig.backing.dump()
        rig.store.txn([], [base.Put('/b', b'')])
        rig.clock.advance(5000)
        assert rig.store.get('/a') is None
        rig.backing.restore(state)
        assert rig.store.range('').revision == old
        assert rig.store.get('/a').value == b'1'
        assert rig.store.grant_lease(1000) != lease_id
        rig.clock.advance(5000)
        assert rig.store.get('/a') is None

"""Tests of the client of the platform's store."""

import threading

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.platform import standin_services
from figtray.platform import store as stores
from figtray.store import base
from figtray.store import memory
from figtray.store.tests import contract

# The store answers from the process of the tests, which may be held up.
WATCH_TIMEOUT_MARGIN_MS = 60_000


# The store answers from the process of the tests, which may be held up.
WATCH_TIMEOUT_MARGIN_MS = 60_000


@pytest.fixture
def rig(monkeypatch):
    monkeypatch.setattr(base, 'WATCH_WAIT_MS', 20)
    monkeypatch.setattr(
        stores, 'WATCH_TIMEOUT_MARGIN_MS', WATCH_TIMEOUT_MARGIN_MS
    )
    clock = clock_lib.ManualClock()
    backing = memory.MemoryStore(clock)
    server = standin_services.start_store_server('127.0.0.1:0', backing)
    store = stores.PlatformStore(server.address, clock, 5000)
    yield contract.Rig(store, backing, clock)
    store.close()
    server.stop()


class TestPlatformStore(contract.StoreContract):
    """Runs the tests of the Store interface over HTTP."""

    @pytest.fixture
    def rig(self, rig):
        return rig

    # The platform can compare nothing but the revision of the last change.
    def test_conditions_decide(self, rig):
        absent = base.Compare('/a', 'mod_revision', 0)
        first = rig.store.txn([absent], [base.Put('/a', b'\x00\xff')])
        assert first.succeeded
        second = rig.store.txn([absent], [base.Put('/a', b'2')])
        assert not second.succeeded
        assert [item.mod_revision for item in second.current] == [
            first.revision
        ]
        item = rig.store.get('/a')
        assert (item.value, item.mod_revision) == (b'\0\xff', first.revision)
        unchanged = base.Compare('/a', 'mod_revision', first.revision)
        assert rig.store.txn([unchanged], [base.Put('/a', b'2')]).succeeded
        assert not rig.store.txn([unchanged], (), ['/a']).succeeded

    # The platform's store is never restored to an older state, so that the
    # only event here is an outage.
    @pytest.mark.parametrize('event', ['down'])
    def test_watch_breaks(self, rig, event):
        rig.store.txn([], [base.Put('/w/a', b'1')])
        assert self.changes(1)
        rig.backing.set_down(True)
        with pytest.raises(errors.StoreUnavailable):
            self.changes(1)

    def test_restore_returns_to_older_state(self, rig):
        """There is no restore here; keys still end with their lease."""
        lease_id = rig.store.grant_lease(1000)
        rig.store.txn([], [base.Put('/a', b'1', lease_id)])
        rig.clock.advance(5000)
        assert rig.store.get('/a') is None


class TestPages:
    # Keys beyond the first page must not be missed.
    def test_range_reads_all_pages(self, rig):
        for number in range(standin_services.PAGE_ITEMS + 20):
            rig.backing.txn([], [base.Put(f'/p/{number:04}', b'')])
        found = rig.store.range('/p/').items
        assert (
            len({item.key for item in found})
            == standin_services.PAGE_ITEMS + 20
        )


class TestHistory:
    # A watch from a compacted revision must fail, or it would miss changes
    # unnoticed.
    def test_compacted_history_has_its_own_error(self, rig, monkeypatch):
        monkeypatch.setattr(memory, 'HISTORY_LENGTH', 2)
        for number in range(6):
            rig.backing.txn([], [base.Put('/w/a', b'%d' % number)])
        watch = rig.store.watch('/w/', 2, threading.Event())
        with pytest.raises(errors.HistoryCompacted):
            next(watch)

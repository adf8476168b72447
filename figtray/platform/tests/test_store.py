"""Tests of the client of the platform's store."""

import threading

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.platform import standin_server
from figtray.platform import standin_services
from figtray.platform import store as stores
from figtray.platform.tests import canned as canned_service
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


@pytest.fixture
def canned():
    """A CannedService, and the client of its store."""
    service = canned_service.CannedService()
    server = standin_server.Server('127.0.0.1:0', service)
    server.start()
    service.store = stores.PlatformStore(
        server.address, clock_lib.ManualClock(), 5000
    )
    yield service
    service.store.close()
    server.stop()


GOOD = b'{"key":"/w/z","value":"MQ==","revision":7}'
ODD_ITEMS = {
    'base64': b'{"key":"/w/a","value":"?","revision":3}',
    'type': b'{"key":"/w/a","value":5,"revision":3}',
    'revision': b'{"key":"/w/a","value":"","revision":-1}',
    'large': b'{"key":"/w/a","value":"","revision":1' + b'0' * 400 + b'}',
    'deep': b'{"key":"/w/a","value":"?","x":' + b'[' * 200 + b']' * 200 + b'}',
}
ODD_ITEMS_WITHOUT_KEY = {
    'key': b'{"value":"MQ=="}',
    'key-type': b'{"key":4}',
    'list': b'[]',
    'null': b'null',
}


def make_page(items):
    """Return a reply to a read of a range, and to a watch."""
    return b'{"as_of":9,"items":[%b],"events":[%b]}' % (items, items)


class TestOddReplies:
    def read_watch(self, canned):
        watch = canned.store.watch('/w/', 1, threading.Event())
        found = list(iter(lambda: next(watch), None))
        watch.close()
        return found

    def read_range(self, canned):
        return list(canned.store.range('/w/').items)

    # Nothing could be read or watched below the prefix any more. Without the
    # item, the job of an odd progress would begin anew.
    @pytest.mark.parametrize('odd', ODD_ITEMS)
    def test_odd_item_costs_the_others(self, canned, odd):
        items = ODD_ITEMS[odd] + b',' + GOOD
        canned.body = make_page(items)
        for read in (self.read_watch, self.read_range):
            first, second = read(canned)
            assert (first.key, first.value) == ('/w/a', b'')
            assert (second.key, second.value) == ('/w/z', b'1')

    # A takeover waited for a readable roster without end.
    def test_odd_item_is_an_outage(self, canned):
        canned.body = ODD_ITEMS['base64']
        assert canned.store.get('/w/a').value == b''

    @pytest.mark.parametrize('odd', ODD_ITEMS_WITHOUT_KEY)
    def test_item_without_a_key_costs_the_others(self, canned, odd):
        items = ODD_ITEMS_WITHOUT_KEY[odd] + b',' + GOOD
        canned.body = make_page(items)
        for read in (self.read_watch, self.read_range):
            [item] = read(canned)
            assert item.key == '/w/z'

    # It was an error that no caller expects.
    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'[]',
            b'{"items":3}',
            canned_service.DEEP,
            b'{"as_of":-1,"revision":-1}',
            b'{"items":' + canned_service.DEEP,
        ],
        ids=['empty', 'list', 'type', 'deep', 'revision', 'deep-items'],
    )
    def test_unreadable_reply_is_unexpected(self, canned, body):
        canned.body = body
        with pytest.raises(errors.StoreUnavailable) as caught:
            canned.store.range('/w/')
        assert len(str(caught.value)) < 400
        with pytest.raises(errors.StoreUnavailable):
            canned.store.get('/w/a')
        if b'items' not in body:
            with pytest.raises(errors.WriteUncertain):
                canned.store.txn([], [base.Put('/w/a', b'')])

    # A leader whose key is odd in this reply took it for gone.
    def test_odd_item_of_a_refused_write_is_absent(self, canned):
        canned.status = 412
        canned.body = b'{"items":[' + ODD_ITEMS['type'] + b']}'
        with pytest.raises(errors.StoreUnavailable):
            canned.store.txn([], [base.Put('/w/a', b'')])

    def test_refusal_that_is_no_text_is_unexpected(self, canned):
        canned.status, canned.body = 403, b'\xff\xfe'
        with pytest.raises(errors.WriteForbidden):
            canned.store.txn([], [base.Put('/w/a', b'')])

    # The reader never returned.
    def test_pages_never_end(self, canned):
        canned.body = b'{"has_more":true,"items":[' + GOOD + b']}'
        with pytest.raises(errors.StoreUnavailable):
            canned.store.range('/w/')

    # What a reader lacks it takes for absent.
    def test_empty_page_hides_those_that_follow(self, canned):
        canned.body = b'{"has_more":true,"items":[]}'
        with pytest.raises(errors.StoreUnavailable):
            canned.store.range('/w/')


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

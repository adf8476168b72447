"""Tests of large responses of the store over narrow links."""

import json
import threading

import pytest

from figtray import errors
from figtray.platform import http_client
from figtray.platform import store as stores
from figtray.platform.tests import slow_link
from figtray.store import prefix_watcher
from figtray.store.tests import outages

# 5 Mbit/s, the narrowest link of the deployments.
BYTES_PER_MS = 625
# About the largest value and page that the platform has.
VALUE_CHARS = 1_300_000
PREFIX = 'w/'
# Time after which a view that is not current will never be.
VIEW_LIMIT_MS = 30_000


def encode_item(key, revision, chars=VALUE_CHARS):
    return {
        'key': key,
        'value': 'A' * chars,
        'revision': revision,
        'create_rev': revision,
    }


@pytest.fixture
def clock():
    return outages.PassingClock()


@pytest.fixture
def link(clock, monkeypatch):
    """The SlowLink to a store with a large value in each of two pages."""

    def answer(path):
        if 'kv-watch' in path:
            reply = {'events': [encode_item('w/a', 7)], 'as_of': 7}
        elif 'after' in path:
            reply = {'items': [encode_item('w/b', 6)], 'as_of': 6}
        else:
            reply = {
                'items': [encode_item('w/a', 5)],
                'has_more': True,
                'as_of': 5,
            }
        return json.dumps(reply).encode()

    link = slow_link.SlowLink(clock, answer, BYTES_PER_MS)
    link.install(monkeypatch)
    return link


@pytest.fixture
def store(clock, link):
    store = stores.PlatformStore('10.0.0.1:80', clock)
    yield store
    store.close()


class TestLargeReads:
    # It was cut off each time and begun anew, without end.
    def test_read_of_a_prefix_never_succeeds(self, store, link):
        result = store.range(PREFIX)
        assert [item.key for item in result.items] == ['w/a', 'w/b']
        assert result.revision == 5
        assert len(link.requests) == 2

    def test_watch_of_a_large_change_never_succeeds(self, store, link):
        changes = store.watch(PREFIX, 6, threading.Event())
        item = next(changes)
        assert (item.key, item.mod_revision) == ('w/a', 7)
        assert next(changes) is None
        assert len(link.requests) == 1

    # The view of the operators' documents stayed as it was for good.
    def test_view_is_never_current_again(self, store, link, clock):
        seen = []
        end_ms = clock.now_ms() + VIEW_LIMIT_MS
        watcher = prefix_watcher.PrefixWatcher(
            store,
            PREFIX,
            clock,
            lambda items: None,
            lambda item: seen.append(item.mod_revision),
        )
        watcher.run(outages.Condition(lambda: seen or clock.now_ms() > end_ms))
        assert seen == [7]
        assert len(link.requests) == 3


class TestSilentLink:
    # A connection that has gone silent must not hold up its reader.
    @pytest.mark.parametrize('received', [0, 1, 100_000])
    def test_response_that_stops_is_awaited_for_long(
        self, store, link, clock, received
    ):
        link.stalls_after = received
        began_ms = clock.now_ms()
        with pytest.raises(errors.StoreUnavailable):
            store.range(PREFIX)
        transfer_ms = (received + slow_link.CHUNK_BYTES) // BYTES_PER_MS
        assert clock.now_ms() - began_ms <= (
            transfer_ms + max(stores.CALL_TIMEOUT_MS, stores.STALL_MS)
        )

    def test_response_of_single_bytes_is_awaited_for_long(
        self, store, link, clock, monkeypatch
    ):
        monkeypatch.setattr(slow_link, 'CHUNK_BYTES', 1)
        link.bytes_per_ms = 0.01
        began_ms = clock.now_ms()
        with pytest.raises(errors.StoreUnavailable):
            store.range(PREFIX)
        assert clock.now_ms() - began_ms <= http_client.MAX_TRANSFER_MS

    # A caller's time limit is that of the whole call.
    def test_read_for_a_caller_outlasts_its_limit(self, store, link, clock):
        began_ms = clock.now_ms()
        with pytest.raises(errors.StoreUnavailable):
            store.get('w/a', timeout_ms=500)
        assert clock.now_ms() - began_ms <= 500

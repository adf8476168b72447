"""Tests of the local copy of the operators' documents."""

import logbook
import pytest

from figtray.platform import documents
from figtray.platform import store as platform_store
from figtray.platform import view as views
from figtray.store import base
from figtray.store import prefix_watcher
from figtray.store.tests import outages

MAX_STALENESS_MS = 3500
# An outage of this length ends the lease of a leader.
SHORTEST_OUTAGE_MS = 2000


@pytest.fixture
def store():
    return outages.HangingStore()


@pytest.fixture
def view(store):
    return views.OperatorView(store, store.clock, MAX_STALENESS_MS)


class TestWaitAfterAnOutage:
    # A watch that hangs, or is repeated too late, keeps all tasks waiting, as
    # nothing starts under documents that may be outdated.
    @pytest.mark.parametrize(
        'outage_ms', range(SHORTEST_OUTAGE_MS, 12_000, 130)
    )
    @pytest.mark.parametrize('delay_ms', [0, 300, base.WATCH_WAIT_MS - 1])
    def test_documents_are_outdated_long_after_an_outage(
        self, store, view, outage_ms, delay_ms
    ):
        def is_over():
            if not view.watcher.loaded.is_set():
                return False
            if not store.back_ms:
                store.fail_for(outage_ms, delay_ms)
            confirmed_ms = store.clock.now_ms() - view.staleness_ms()
            return confirmed_ms >= store.back_ms

        view.run(outages.Condition(is_over))
        assert view.is_fresh()
        hanging_ms = max(
            prefix_watcher.CONFIRM_WAIT_MS,
            base.WATCH_WAIT_MS - SHORTEST_OUTAGE_MS,
        )
        assert store.since_back_ms() <= (
            hanging_ms
            + platform_store.WATCH_TIMEOUT_MARGIN_MS
            + prefix_watcher.RETRY_MS
            + prefix_watcher.RETRY_JITTER_MS
            + prefix_watcher.CONFIRM_WAIT_MS
        )


CONFIG = b'{"version":%d,"services":[{"name":"%b"}]}'
GOOD_WAVE = b'{"wave":1,"machines":["h1","h1"]}'


class TestOddDocuments:
    def apply(self, store, view, written, by_watch):
        """Write documents, and apply them by a full read or one by one."""
        puts = [base.Put(key, value) for key, value in written.items()]
        store.txn([], puts)
        if not by_watch:
            view.watcher.load()
            return
        for put in puts:
            view._change(store.get(put.key))

    # The watch of the operators' documents ended with the document, and with
    # it the thread, so the node refused all keyed calls for good.
    @pytest.mark.parametrize('by_watch', [True, False])
    @pytest.mark.parametrize(
        ('key', 'odd'),
        [
            ('op/wave/0', b'{"wave":0,"duration_s":1.7e308}'),
            ('op/wave/0', b'{"wave":0,"x":' + b'[' * 60_000),
            ('op/wave/0', b'{"wave":1,"machines":["h2"]}'),
            ('op/wave/x', b'{"wave":1,"machines":["h2"]}'),
            ('op/config', b'{"version":2,"x":' + b'[' * 60_000),
            ('op/config', b'{"version":-1}'),
            ('op/evacuate/', b'?'),
            ('op/odd', b'?'),
        ],
    )
    def test_odd_document_costs_the_others(
        self, store, view, key, odd, by_watch
    ):
        first = {documents.CONFIG_KEY: CONFIG % (1, b'old')}
        self.apply(store, view, first, by_watch)
        later = {key: odd, 'op/wave/1': GOOD_WAVE, 'op/evacuate/z': b''}
        if key != documents.CONFIG_KEY:
            later[documents.CONFIG_KEY] = CONFIG % (3, b'new')
        self.apply(store, view, later, by_watch)
        expected = 'old' if key == documents.CONFIG_KEY else 'new'
        assert list(view.config().pools) == [expected]
        [wave] = view.waves().values()
        assert (wave.number, wave.host_ids) == (1, ('h1',))
        assert 'z' in view.evacuated_zones()

    # The upkeeps of a wave ended when its document was written again badly.
    def test_odd_document_withdraws_a_good_wave(self, store, view):
        self.apply(store, view, {'op/wave/1': GOOD_WAVE}, False)
        self.apply(store, view, {'op/wave/1': b'odd'}, False)
        assert [wave.number for wave in view.waves().values()] == [1]

    # The log grew with each full read.
    def test_odd_document_is_named_at_each_read(self, store, view):
        with logbook.TestHandler() as handler:
            for _ in range(5):
                self.apply(store, view, {'op/wave/1': b'odd'}, False)
        assert len(handler.records) == 1

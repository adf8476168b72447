"""Tests of the local copy of the operators' documents."""

import pytest

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

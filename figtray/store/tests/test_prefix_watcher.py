"""Tests of the watch of a prefix."""

import threading

import pytest

from figtray import clock as clock_lib
from figtray.store import base
from figtray.store import memory
from figtray.store import prefix_watcher

WAIT_S = 10


class View:
    """The keys and values that a PrefixWatcher has reported."""

    def __init__(self, store, clock):
        self.items = {}
        self.seen = threading.Condition()
        self.watcher = prefix_watcher.PrefixWatcher(
            store, '/w/', clock, self.reset, self.change, wait_ms=10
        )

    def reset(self, items):
        with self.seen:
            self.items = {item.key: item.value for item in items}
            self.seen.notify_all()

    def change(self, item):
        with self.seen:
            if item.deleted:
                self.items.pop(item.key, None)
            else:
                self.items[item.key] = item.value
            self.seen.notify_all()

    def wait_for(self, items):
        with self.seen:
            return self.seen.wait_for(lambda: self.items == items, WAIT_S)


@pytest.fixture
def clock():
    return clock_lib.ManualClock()


@pytest.fixture
def store(clock):
    return memory.MemoryStore(clock)


@pytest.fixture
def view(store, clock):
    view = View(store, clock)
    stop = threading.Event()
    thread = threading.Thread(target=view.watcher.run, args=(stop,))
    thread.start()
    yield view
    stop.set()
    thread.join(WAIT_S)


class TestPrefixWatcher:
    # Guards against a change or a deletion that the view misses.
    def test_changes_arrive(self, store, view):
        store.txn([], [base.Put('/w/a', b'1'), base.Put('/x', b'')])
        assert view.wait_for({'/w/a': b'1'})
        store.txn([], [], ['/w/a'])
        assert view.wait_for({})

    # Guards against changes during an outage that are missing after it.
    def test_changes_during_an_outage(self, store, view):
        assert view.wait_for({})
        store.set_down(True)
        store.down = False
        store.txn([], [base.Put('/w/a', b'1')])
        assert view.wait_for({'/w/a': b'1'})

    # Guards against a deleted key that remains in the view after a full read,
    # when the history of the deletion is compacted.
    def test_compacted_history(self, store, clock, monkeypatch):
        view = View(store, clock)
        store.txn([], [base.Put('/w/a', b'1')])
        view.watcher.load()
        monkeypatch.setattr(memory, 'HISTORY_LENGTH', 1)
        store.txn([], [], ['/w/a'])
        for number in range(5):
            store.txn([], [base.Put('/w/b', b'%d' % number)])
        stop = threading.Event()
        thread = threading.Thread(target=view.watcher.run, args=(stop,))
        thread.start()
        assert view.wait_for({'/w/b': b'4'})
        stop.set()
        thread.join(WAIT_S)


class TestStaleness:
    # Guards against a delayed reply that makes an old view look fresh.
    def test_staleness_counts_from_the_request(self, store, clock):
        view = View(store, clock)
        assert view.watcher.staleness_ms() is None
        view.watcher.load()
        assert view.watcher.staleness_ms() == 0
        clock.advance(700)
        assert view.watcher.staleness_ms() == 700

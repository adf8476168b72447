"""Tests of the local copy of a prefix."""

import threading

import pytest

from figtray import clock as clock_lib
from figtray.store import base
from figtray.store import memory
from figtray.store import prefix_watcher

WAIT_S = 10


class Copy:
    """What a PrefixWatcher has told."""

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
def copy(store, clock):
    copy = Copy(store, clock)
    stop = threading.Event()
    thread = threading.Thread(target=copy.watcher.run, args=(stop,))
    thread.start()
    yield copy
    stop.set()
    thread.join(WAIT_S)


class TestPrefixWatcher:
    def test_changes_arrive(self, store, copy):
        store.txn([], [base.Put('/w/a', b'1'), base.Put('/x', b'')])
        assert copy.wait_for({'/w/a': b'1'})
        store.txn([], [], ['/w/a'])
        assert copy.wait_for({})

    # Changes made during an outage must not be missing after it.
    def test_changes_in_an_outage(self, store, copy):
        assert copy.wait_for({})
        store.set_down(True)
        store.down = False
        store.txn([], [base.Put('/w/a', b'1')])
        assert copy.wait_for({'/w/a': b'1'})

    # A watch that asks for dropped history can't tell what was deleted.
    def test_dropped_history(self, store, clock, monkeypatch):
        copy = Copy(store, clock)
        store.txn([], [base.Put('/w/a', b'1')])
        copy.watcher.load()
        monkeypatch.setattr(memory, 'HISTORY_LENGTH', 1)
        store.txn([], [], ['/w/a'])
        for number in range(5):
            store.txn([], [base.Put('/w/b', b'%d' % number)])
        stop = threading.Event()
        thread = threading.Thread(target=copy.watcher.run, args=(stop,))
        thread.start()
        assert copy.wait_for({'/w/b': b'4'})
        stop.set()
        thread.join(WAIT_S)


class TestProof:
    # The proof counts from the question, or a reply that was delayed for
    # seconds would prove an old view to be new.
    def test_age_counts_from_the_question(self, store, clock):
        copy = Copy(store, clock)
        assert copy.watcher.staleness_ms() is None
        copy.watcher.load()
        assert copy.watcher.staleness_ms() == 0
        clock.advance(700)
        assert copy.watcher.staleness_ms() == 700

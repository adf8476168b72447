"""Tests of the watch of a prefix."""

import threading

import logbook
import pytest

from figtray import clock as clock_lib
from figtray import errors
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
def handler():
    with logbook.TestHandler() as handler:
        yield handler


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


class ScriptedStore(memory.MemoryStore):
    """Store whose requests of a watch have given outcomes.

    Args:
        clock: the Clock.
        outcomes: for each request the KeyValues that it yields before its
            None, or None if it fails. The request after them ends the watch.

    Attributes:
        waits_ms: the wait_ms of each request, in order.
    """

    def __init__(self, clock, outcomes):
        super().__init__(clock)
        self.waits_ms = []
        self._outcomes = iter(outcomes)

    def watch(self, prefix, start_revision, stop, wait_ms=base.WATCH_WAIT_MS):
        while not stop.is_set():
            self.waits_ms.append(wait_ms)
            try:
                items = next(self._outcomes)
            except StopIteration:
                stop.set()
                return
            if items is None:
                raise errors.StoreUnavailable(detail='injected')
            yield from items
            yield None


class TestViewThatFails:
    # The thread ended, so the view was outdated for good.
    def test_odd_change_ends_the_watch(self, clock, handler):
        items = [base.KeyValue(f'/w/{n}', b'', n) for n in range(2, 5)]
        store = ScriptedStore(clock, [items, items])
        seen = []

        def apply(item):
            if item.key == '/w/3':
                raise KeyError('odd')
            seen.append(item.key)

        prefix_watcher.PrefixWatcher(
            store, '/w/', clock, lambda items: None, apply
        ).run(threading.Event())
        assert seen == ['/w/2', '/w/4'] * 2
        [record] = handler.records
        assert record.extra['fields']['where'] == 'record /w/3'

    def test_odd_read_ends_the_watch(self, clock, handler):
        store = ScriptedStore(clock, [()])
        reads = []

        def reset(items):
            reads.append(items)
            if len(reads) < 5:
                raise RecursionError('odd')

        prefix_watcher.PrefixWatcher(
            store, '/w/', clock, reset, lambda item: None
        ).run(threading.Event())
        assert len(reads) == 5
        assert len(handler.records) == 1


class TestWaitAfterFailure:
    WAIT_MS = 4000
    SHORT_MS = 300

    def run_watcher(self, store, clock, on_change=lambda item: None):
        """Watch until the store ends the watch."""
        watcher = prefix_watcher.PrefixWatcher(
            store,
            '/w/',
            clock,
            lambda items: None,
            on_change,
            wait_ms=self.WAIT_MS,
        )
        watcher.run(threading.Event())

    # A watch that is sent into an outage may wait its whole time in a dead
    # connection, although the store is back soon.
    def test_watch_after_a_failure_waits_long(self, clock):
        store = ScriptedStore(clock, [(), None, None])
        self.run_watcher(store, clock)
        assert store.waits_ms[:2] == [self.WAIT_MS] * 2
        short = store.waits_ms[2:]
        assert all(0 < ms <= self.SHORT_MS for ms in short), short

    # The view is old as a large change arrives, and got older by a whole wait.
    def test_watch_after_a_slow_answer_waits_long(self, clock):
        class Store(ScriptedStore):
            def watch(self, *args, **kwargs):
                for item in super().watch(*args, **kwargs):
                    if len(self.waits_ms) == 2:
                        clock.advance(prefix_watcher.SLOW_ANSWER_MS + 1)
                    yield item

        store = Store(clock, [()] * 4)
        self.run_watcher(store, clock)
        assert 0 < store.waits_ms[2] <= self.SHORT_MS, store.waits_ms
        assert store.waits_ms[3:] == [self.WAIT_MS] * 2

    # Short waits cost calls.
    @pytest.mark.parametrize(
        'items', [(), (base.KeyValue('/w/a', b'', 2),)], ids=['none', 'one']
    )
    def test_waits_stay_short_after_an_answer(self, clock, items):
        store = ScriptedStore(clock, [None, items, (), ()])
        self.run_watcher(store, clock)
        assert 0 < store.waits_ms[1] <= self.SHORT_MS, store.waits_ms
        assert store.waits_ms[2:] == [self.WAIT_MS] * 3

    # The changes of one transaction have one revision, so a watch that is
    # resumed after the first of them misses the others.
    def test_short_watch_ends_within_a_transaction(self, clock):
        class Store(memory.MemoryStore):
            def watch(self, prefix, start_revision, stop, wait_ms=None):
                if self.revision < 2:
                    self.txn([], [base.Put(f'/w/{n}', b'') for n in range(3)])
                    raise errors.StoreUnavailable(detail='injected')
                items, _ = self.wait_for_changes(prefix, start_revision, 1)
                yield from items
                yield None
                stop.set()

        seen = []
        self.run_watcher(Store(clock), clock, seen.append)
        assert [item.key for item in seen] == ['/w/0', '/w/1', '/w/2']

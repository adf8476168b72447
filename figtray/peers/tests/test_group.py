"""Tests of calls to all entries at once."""

import concurrent.futures
import threading

import pytest

from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer
from figtray import errors
from figtray.peers import group as group_lib
from figtray.peers import messages

TIMEOUT_MS = 30_000
MARK = snapshot_lib.Mark(3, 'c')


class FakeLink:
    """Link that answers, fails, or hangs until it is released."""

    def __init__(self, synchronised=True, fails=False, hangs=False):
        self.released = threading.Event()
        if not hangs:
            self.released.set()
        self._synchronised = synchronised
        self._fails = fails
        self.brief = []

    def call(self, message, timeout_ms):
        assert self.released.wait(timeout_ms / 1000)
        if self._fails:
            raise errors.PeerUnavailable(peer='x', detail='refused')
        match message:
            case messages.StatusRequest(brief):
                self.brief.append(brief)
                return messages.StatusReply(
                    slot='x',
                    incarnation='i',
                    epoch=1,
                    mark=MARK,
                    synchronised=self._synchronised,
                    serving=True,
                )
        return messages.ChangePushReply(self._synchronised, MARK)

    def close(self):
        self.released.set()


@pytest.fixture
def make_group(monkeypatch):
    monkeypatch.setattr(writer, 'GRACE_MS', 0)
    groups = []

    def make(*links):
        slots = [f'entry-{number}' for number in range(1, len(links) + 1)]
        group = group_lib.PeerGroup(
            {slot: '127.0.0.1:1' for slot in slots}, 'api', 'r', TIMEOUT_MS
        )
        group._links = dict(zip(slots, links))
        groups.append(group)
        return group

    yield make
    for group in groups:
        group.close()


class TestMajorityCalls:
    """Guards against a frozen entry that delays every change."""

    def test_frozen_entry_is_not_waited_for(self, make_group):
        frozen = FakeLink(hangs=True)
        group = make_group(FakeLink(), FakeLink(), frozen)
        for _ in range(3 * group_lib.MAX_PENDING):
            assert group.marks() == {'entry-1': MARK, 'entry-2': MARK}
        assert group._pending['entry-3'] == group_lib.MAX_PENDING
        frozen.released.set()
        group._executor.shutdown(wait=True)
        assert not any(group._pending.values())

    def test_unsynchronised_entries_are_left_out(self, make_group):
        group = make_group(FakeLink(synchronised=False), FakeLink())
        assert group.marks() == {'entry-2': MARK}

    def test_failing_entries(self, make_group):
        group = make_group(FakeLink(fails=True), FakeLink(), FakeLink())
        assert group.marks() == {'entry-2': MARK, 'entry-3': MARK}
        change = snapshot_lib.Change(4, 'i', 'c', 'd', ())
        assert group.push(change) == {'entry-2', 'entry-3'}
        assert group.changes('entry-1', 3) is None

    def test_marks_ask_for_no_demand(self, make_group):
        link = FakeLink()
        group = make_group(link)
        group.marks()
        group.status()
        assert link.brief == [True, False]


class TestInParallel:
    """Guards against a wait that ends before a majority has answered."""

    def test_results_that_do_not_count_end_no_wait(self, monkeypatch):
        monkeypatch.setattr(writer, 'GRACE_MS', 0)
        released = threading.Event()

        def call(item):
            if item == 'slow':
                assert released.wait(TIMEOUT_MS / 1000)
            return item

        def counts(item):
            released.set()
            return item != 'unready'

        items = ['unready', 'ready', 'slow']
        with concurrent.futures.ThreadPoolExecutor(3) as executor:
            results = writer.in_parallel(
                executor, call, items, TIMEOUT_MS, enough=2, counts=counts
            )
            assert {item for item, _ in results} == set(items)

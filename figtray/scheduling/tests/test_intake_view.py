"""Tests of the leader's view of the submitted jobs."""

import threading

import logbook
import pytest

from figtray import errors
from figtray.events import catalogue
from figtray.leadership import term as terms
from figtray import metrics as metrics_lib
from figtray.scheduling import intake_view
from figtray.scheduling.tests import harness
from figtray.store import base
from figtray.store import prefix_watcher
from figtray.store.tests import outages

LEASE_MS = 100_000
# Time for which a test plays.
PLAY_MS = 30_000


class Store(outages.HangingStore):
    """Store whose watches of a prefix can fail while all else works."""

    def __init__(self):
        super().__init__()
        self.fails_watches = False
        self.reads = 0

    def range(self, prefix):
        self.reads += 1
        return super().range(prefix)

    def watch(self, prefix, start_revision, stop, wait_ms=base.WATCH_WAIT_MS):
        if self.fails_watches:
            self.clock.advance(wait_ms)
            raise errors.StoreUnavailable(detail='injected')
        yield from super().watch(prefix, start_revision, stop, wait_ms)


class Reader:
    """Notes the keys that the view hands over."""

    def __init__(self):
        self.keys = []

    def add(self, items, progress=None):
        self.keys += [item.key for item in items]

    def handle_change(self, item):
        self.keys.append(item.key)


class Rig:
    def __init__(self):
        self.store = Store()
        self.clock = self.store.clock
        self.fleet = harness.Fleet(1, store=self.store)
        lease = self.store.grant_lease(LEASE_MS)
        self.term = terms.Term(1, lease, self.clock, self.clock.now_ms())
        self.reader = Reader()
        self.view = intake_view.IntakeView(
            self.store, self.clock, self.term, self.reader
        )
        self._checked_ms = 0

    def play(self, ms, renews=True):
        """Follow the changes for a while, and check the view each second."""
        end_ms = self.clock.now_ms() + ms

        def is_over():
            now_ms = self.clock.now_ms()
            if renews:
                self.term.record_renewal(now_ms, terms.LEASE_TTL_MS)
            if now_ms - self._checked_ms >= intake_view.CHECK_INTERVAL_MS:
                self._checked_ms = now_ms
                self.view.check()
            return now_ms >= end_ms or bool(self.term.reason)

        self.term.ended = outages.Condition(is_over)
        self.term.end = self._end
        self.view.run()

    def _end(self, reason):
        self.term.reason = reason


@pytest.fixture
def rig():
    rig = Rig()
    rig.term.ended = threading.Event()
    return rig


class TestFollowing:
    # On a narrow link the second read of everything took seconds, or failed
    # without end.
    def test_all_jobs_are_read_twice(self, rig):
        rig.fleet.submit(harness.make_step())
        assert rig.view.load({}) == 1
        rig.fleet.submit(harness.make_step())
        rig.play(3000)
        assert rig.store.reads == 1
        assert len(rig.reader.keys) == 2


class TestOutdatedView:
    # The leader kept its lease and saw no new job until the day ended.
    @pytest.mark.parametrize('has_followed', [True, False])
    def test_leader_that_sees_no_new_jobs_keeps_its_term(
        self, rig, has_followed
    ):
        rig.view.load({})
        if has_followed:
            rig.play(3000)
        rig.store.fails_watches = True
        began_ms = rig.clock.now_ms()
        rig.play(PLAY_MS)
        assert rig.term.reason
        assert rig.clock.now_ms() - began_ms <= (
            intake_view.MAX_AGE_MS + 2 * intake_view.CHECK_INTERVAL_MS
        )

    # It is out of touch with the whole store, and goes on if its lease does.
    def test_term_ends_after_an_outage(self, rig):
        rig.view.load({})
        rig.play(3000)
        rig.store.fails_watches = True
        rig.play(PLAY_MS, renews=False)
        rig.store.fails_watches = False
        rig.play(PLAY_MS)
        assert not rig.term.reason

    # The log named the first failure only, and no metric had the age.
    def test_outdated_view_is_not_named_again(self, rig):
        rig.view.load({})
        rig.store.fails_watches = True
        with logbook.TestHandler() as handler:
            rig.play(PLAY_MS, renews=False)
        ages_ms = [
            fields['staleness_ms']
            for fields in harness.logged(handler, catalogue.VIEW_OUTDATED)
        ]
        interval_ms = prefix_watcher.OUTDATED_LOG_INTERVAL_MS
        assert len(ages_ms) == (PLAY_MS - 1) // interval_ms
        assert all(age_ms >= interval_ms for age_ms in ages_ms)

    def test_metrics_lack_the_age(self, rig):
        metrics = metrics_lib.Metrics('test')
        metrics.observe_view_age('intake/', rig.view.age_ms)
        assert 'figtray_view_age' not in metrics.page()
        rig.view.load({})
        rig.play(1500)
        rig.clock.advance(777)
        [line] = [
            line
            for line in metrics.page().splitlines()
            if line.startswith('figtray_view_age')
        ]
        assert float(line.split()[-1]) == rig.view.age_ms() >= 777
        metrics.observe_view_age('intake/', None)
        assert 'figtray_view_age{' not in metrics.page()

"""Tests of the view of all entries' demand."""

import pytest

from figtray import clock
from figtray.queues import queueset
from figtray.shares import view

TEAMS = {'a': view.TeamShare(1, 100), 'b': view.TeamShare(1, 100)}


@pytest.fixture
def manual():
    return clock.ManualClock()


def make_views(manual, count, capacity):
    views = {}
    for number in range(count):
        slot = f'entry-{number + 1}'
        views[slot] = view.ShareView(manual, slot)
        views[slot].configure('p', capacity, TEAMS)
    return views


def exchange(views, senders=None):
    for slot in senders or views:
        report = views[slot].report()
        for other in views:
            if other != slot:
                views[other].hear(slot, report)


def start_all(views, pool='p'):
    """Start whatever is queued and allowed; returns the counts per team."""
    counts = dict.fromkeys(TEAMS, 0)
    for share_view in views.values():
        queued = {
            demand.team: demand.queued
            for entry in share_view.report().pools
            for demand in entry.teams
        }
        for team, left in queued.items():
            while left and share_view.may_start(pool, team):
                share_view.started(pool, team)
                counts[team] += 1
                left -= 1
    return counts


class TestPortions:
    """Guards against entries that together exceed or waste a pool."""

    def test_same_view_fills_the_pool_exactly(self, manual):
        views = make_views(manual, 9, 64)
        for number, share_view in enumerate(views.values()):
            share_view.queued('p', 'a', count=500 * (1 + number))
            share_view.queued('p', 'b', count=70)
        exchange(views)
        assert start_all(views) == {'a': 32, 'b': 32}

    def test_idle_team_has_no_credit_but_its_share_at_once(self, manual):
        views = make_views(manual, 3, 30)
        for share_view in views.values():
            share_view.queued('p', 'a', count=100)
        exchange(views)
        assert start_all(views) == {'a': 30, 'b': 0}
        manual.advance(60_000)
        views['entry-1'].queued('p', 'b', count=100)
        exchange(views)
        assert views['entry-1'].owed('p', 'b') == 15
        assert views['entry-1'].total('p', 'b') == 15
        assert not views['entry-2'].may_start('p', 'a')

    def test_idle_pool_serves_one_entry_alone(self, manual):
        views = make_views(manual, 3, 30)
        views['entry-2'].queued('p', 'a', count=50)
        assert start_all(views) == {'a': 30, 'b': 0}

    def test_unknown_team_gets_nothing(self, manual):
        views = make_views(manual, 1, 30)
        views['entry-1'].queued('p', 'x')
        assert not views['entry-1'].may_start('p', 'x')
        assert not views['entry-1'].may_start('q', 'a')


class TestStaleness:
    """Guards against slots lost to or claimed for a frozen peer."""

    def test_stale_peer_keeps_only_what_it_runs(self, manual):
        views = make_views(manual, 2, 20)
        for share_view in views.values():
            share_view.queued('p', 'a', count=100)
        exchange(views)
        start_all(views)
        exchange(views)
        manual.advance(view.STALE_MS)
        assert views['entry-1'].owed('p', 'a') == 0
        manual.advance(1)
        # No run time is known, so the peer's 10 tasks count as running.
        manual.advance(view.RECOMPUTE_MS)
        assert views['entry-1'].owed('p', 'a') == 0
        views['entry-1'].ended('p', 'a', run_ms=500)
        manual.advance(view.SATURATED_RECOMPUTE_MS)
        assert views['entry-1'].owed('p', 'a') == 11

    def test_own_starts_count_at_once(self, manual):
        views = make_views(manual, 2, 20)
        for share_view in views.values():
            share_view.queued('p', 'a', count=100)
        exchange(views)
        first = views['entry-1']
        for _ in range(10):
            assert first.may_start('p', 'a')
            first.started('p', 'a')
        assert not first.may_start('p', 'a')


class TestUrgent:
    """Guards against urgent requests behind normal ones."""

    def test_entry_with_urgent_request_gets_the_portion(self, manual):
        views = make_views(manual, 9, 2)
        for share_view in views.values():
            share_view.queued('p', 'a', count=100)
        views['entry-7'].queued('p', 'a', urgent=True)
        exchange(views)
        for _ in range(20):
            assert views['entry-7'].may_start('p', 'a', urgent=True)
            manual.advance(500)
            exchange(views)

    def test_urgent_request_makes_a_report_due(self, manual):
        share_view = make_views(manual, 1, 2)['entry-1']
        share_view.queued('p', 'a', count=100)
        assert share_view.is_report_due()
        share_view.report()
        share_view.queued('p', 'a')
        assert not share_view.is_report_due()
        share_view.queued('p', 'a', urgent=True)
        assert share_view.is_report_due()


class TestTurns:
    """Guards against entries that round by different turns."""

    def test_shared_time_follows_the_most_advanced_entry(self, manual):
        old = view.ShareView(manual, 'entry-1')
        manual.advance(12_345)
        new = view.ShareView(manual, 'entry-2')
        new.hear('entry-1', old.report())
        old.hear('entry-2', new.report())
        assert new.report().shared_ms == 12_345
        assert old.report().shared_ms == 12_345


class TestOrder:
    """Guards against freed slots that always go to the first names."""

    def test_team_below_its_share_leads(self, manual):
        views = make_views(manual, 2, 20)
        first = views['entry-1']
        first.queued('p', 'a', count=100)
        first.queued('p', 'b', count=100)
        for _ in range(8):
            first.started('p', 'a')
        exchange(views)
        items = [queueset.Waiting('p', team, 0, 1) for team in 'ab']
        assert [w.team for w in first.order(items)] == ['b', 'a']


class TestCorrection:
    """Guards against a shortfall that is never made up."""

    def test_team_that_got_less_is_owed_more(self, manual):
        views = make_views(manual, 2, 20)
        for share_view in views.values():
            share_view.queued('p', 'a', count=100)
            share_view.queued('p', 'b', count=100)
        exchange(views)
        for _ in range(20):
            views['entry-2'].started('p', 'a')
        for _ in range(20):
            exchange(views)
            manual.advance(view.RECOMPUTE_MS)
            # The entry process sets the capacity at each of its rounds.
            views['entry-1'].configure('p', 20, TEAMS)
            views['entry-1'].may_start('p', 'b')
        assert views['entry-1'].total('p', 'b') > 11
        assert views['entry-1'].total('p', 'a') < 9

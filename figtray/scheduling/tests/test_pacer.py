"""Tests of slowing best-effort tasks beside latency-sensitive ones."""

import pytest

from figtray.fleet import messages
from figtray.scheduling import pacer
from figtray.scheduling.tests import harness

LIMIT_MS = 100


class Site:
    """One worker with a latency-sensitive and a best-effort task."""

    def __init__(self):
        self.fleet = harness.Fleet(1)
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()
        latency_sensitive = self.fleet.submit(
            harness.make_step(lasting=True, tail_limit_ms=LIMIT_MS)
        )
        best_effort = self.fleet.submit(
            harness.make_step(lasting=True, fills=True)
        )
        self.leader.run_cycle()
        self.latency_sensitive = self.fleet.sim(0).runs[
            f'{latency_sensitive}.0.0.0'
        ]
        self.best_effort = self.fleet.sim(0).runs[f'{best_effort}.0.0.0']

    def report_tail(self, tail_ms, times=1, interval_ms=pacer.SETTLE_MS):
        """Report a tail `times` times; return the best-effort task's share."""
        self.latency_sensitive.load = tail_ms
        for _ in range(times):
            self.leader.advance(interval_ms)
            self.leader.run_cycle()
            self.leader.run_cycle()
        return self.best_effort.pace


@pytest.fixture
def site():
    return Site()


class TestPacer:
    def test_share_stays_while_the_tail_is_low(self, site):
        assert site.report_tail(0.8 * LIMIT_MS, times=4) == 100

    # The tail must fall below its limit within the time that the platform
    # allows, so the share keeps going down while the tail is above it.
    def test_slows_down_in_steps(self, site):
        shares = [site.report_tail(1.5 * LIMIT_MS) for _ in range(4)]
        assert shares == [50, 25, 0, 0]

    # A share that oscillates would slow the latency-sensitive task as often as
    # no pacing at all.
    def test_speeds_up_only_after_a_low_tail(self, site):
        site.report_tail(1.5 * LIMIT_MS)
        assert site.report_tail(0.3 * LIMIT_MS) == 50
        assert site.report_tail(0.3 * LIMIT_MS, times=4) == 100

    def test_lost_order_is_repeated(self, site):
        site.fleet.client.choose_fault = lambda kind, _: (
            'not sent' if kind == 'pace' else 'ok'
        )
        assert site.report_tail(1.5 * LIMIT_MS) == 100
        site.fleet.client.choose_fault = lambda *_: 'ok'
        assert site.report_tail(1.5 * LIMIT_MS, times=2) < 100

    def test_best_effort_task_alone_gets_full_speed(self, site):
        site.report_tail(1.5 * LIMIT_MS)
        site.fleet.sim(0).end(
            site.latency_sensitive.task, messages.EndReason.STOPPED
        )
        site.leader.scheduler.set_cordoned('test', {'worker-0'})
        assert site.report_tail(0, times=6) == 100

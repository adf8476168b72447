"""Tests of slowing tasks that fill beside tasks that serve."""

import pytest

from figtray.fleet import messages
from figtray.scheduling import pacer
from figtray.scheduling.tests import harness

LIMIT_MS = 100


class Site:
    """One worker with a serving and a filling task."""

    def __init__(self):
        self.fleet = harness.Fleet(1)
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()
        serving = self.fleet.submit(
            harness.make_step(lasting=True, tail_limit_ms=LIMIT_MS)
        )
        filling = self.fleet.submit(
            harness.make_step(lasting=True, fills=True)
        )
        self.leader.run_cycle()
        self.serving = self.fleet.sim(0).runs[f'{serving}.0.0.0']
        self.filling = self.fleet.sim(0).runs[f'{filling}.0.0.0']

    def turn(self, tail_ms, times=1, step_ms=pacer.SETTLE_MS):
        """Report a tail some times; returns the share of the filling task."""
        self.serving.load = tail_ms
        for _ in range(times):
            self.leader.advance(step_ms)
            self.leader.run_cycle()
            self.leader.run_cycle()
        return self.filling.pace


@pytest.fixture
def site():
    return Site()


class TestPacer:
    def test_nothing_is_paced_while_the_tail_is_low(self, site):
        assert site.turn(0.8 * LIMIT_MS, times=4) == 100

    # The tail must be below its limit again before the platform's bound.
    def test_slows_down_in_steps(self, site):
        shares = [site.turn(1.5 * LIMIT_MS) for _ in range(4)]
        assert shares == [50, 25, 0, 0]

    # A share that changes to and fro would disturb as much as none.
    def test_speeds_up_only_after_calm(self, site):
        site.turn(1.5 * LIMIT_MS)
        assert site.turn(0.3 * LIMIT_MS) == 50
        assert site.turn(0.3 * LIMIT_MS, times=4) == 100

    def test_lost_order_is_repeated(self, site):
        site.fleet.client.choose_fault = lambda kind, _: (
            'not sent' if kind == 'pace' else 'ok'
        )
        assert site.turn(1.5 * LIMIT_MS) == 100
        site.fleet.client.choose_fault = lambda *_: 'ok'
        assert site.turn(1.5 * LIMIT_MS, times=2) < 100

    def test_filling_task_alone_runs_free(self, site):
        site.turn(1.5 * LIMIT_MS)
        site.fleet.sim(0).end(site.serving.task, messages.EndReason.STOPPED)
        site.leader.scheduler.cordon_worker('worker-0', 'test')
        assert site.turn(0, times=6) == 100

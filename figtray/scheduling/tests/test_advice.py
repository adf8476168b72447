"""Tests of queues whose workers an external adviser approves."""

import dataclasses

from figtray.fleet import messages
from figtray.jobs import queues
from figtray.scheduling.tests import harness

VALID_MS = 3000


class Site:
    """Three workers and a queue with advice."""

    def __init__(self):
        cfg = harness.make_config()
        advised = dataclasses.replace(
            cfg.queues['q'], advice=queues.AdvicePolicy(10, 1, VALID_MS)
        )
        cfg = queues.Config(
            2, [advised], cfg.pools.values(), cfg.teams.values()
        )
        self.fleet = harness.Fleet(3, cfg)
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()

    def next_request(self):
        """Return the step that needs advice and the workers to ask about."""
        step, advice = self.leader.scheduler.next_advice_request()
        return step, advice, advice.candidates if advice else ()

    def approve(self, approved):
        """Answer the pending request with the approved workers."""
        step, advice, asked = self.next_request()
        answer = messages.Advice(
            {worker: f'ticket-{worker}' for worker in approved}, VALID_MS
        )
        self.leader.scheduler.record_advice(
            step, advice, answer, asked, self.fleet.clock.now_ms()
        )

    def running(self):
        return [n for n in range(3) if self.fleet.sim(n).runs]


class TestAdvice:
    def test_nothing_starts_without_advice(self):
        site = Site()
        site.fleet.submit(harness.make_step())
        site.leader.run_cycle()
        assert site.running() == []
        assert set(site.next_request()[2]) == {
            'worker-0',
            'worker-1',
            'worker-2',
        }

    def test_only_approved_workers_are_used(self):
        site = Site()
        site.fleet.submit(harness.make_step(4))
        site.leader.run_cycle()
        site.approve(['worker-1'])
        site.leader.run_cycle()
        assert site.running() == [1]
        assert len(site.fleet.sim(1).runs) == 4

    # The adviser's answer would be the same, and each request takes time.
    def test_refused_workers_are_not_asked_about_again(self):
        site = Site()
        site.fleet.submit(harness.make_step())
        site.leader.run_cycle()
        site.approve([])
        site.leader.run_cycle()
        assert site.next_request()[2] == ()

    # A worker would refuse a start with an expired ticket.
    def test_expired_tickets_are_requested_again(self):
        site = Site()
        site.fleet.submit(harness.make_step(9, 4000, max_per_worker=1))
        site.leader.run_cycle()
        site.approve(['worker-1'])
        site.leader.run_cycle()
        site.leader.advance(VALID_MS)
        site.leader.run_cycle()
        assert 'worker-0' in site.next_request()[2]

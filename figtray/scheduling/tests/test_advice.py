"""Tests of queues whose workers an external adviser approves."""

import dataclasses

import pytest

from figtray.fleet import messages
from figtray.jobs import queues
from figtray.jobs import records
from figtray.scheduling import advice
from figtray.scheduling.tests import advised
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
        step, found = self.leader.scheduler.next_advice_request()
        return step, found, found.candidates if found else ()

    def approve(self, approved):
        """Answer the pending request with the approved workers."""
        step, found, asked = self.next_request()
        answer = messages.Advice(
            {worker: f'ticket-{worker}' for worker in approved}, VALID_MS
        )
        self.leader.scheduler.record_advice(
            step, found, answer, asked, self.fleet.clock.now_ms()
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


class TestTickets:
    # A ticket is valid for one life of a worker, whose id stays the same.
    def test_ticket_of_a_former_life_is_used(self):
        site = advised.Site()
        site.adviser.approves = 'worker-0'.__eq__
        site.submit(gang=False)
        site.play(200)
        site.restart(0)
        tasks = site.submit(gang=False)
        site.play(VALID_MS + 1000)
        assert len(site.runs_of(tasks)) == 3
        assert site.refused == []

    # A start that is held up was sent when its ticket had lapsed.
    def test_start_is_sent_with_a_lapsed_ticket(self):
        site = advised.Site()
        tasks = site.submit(gang=False)
        site.leader.run_cycle()
        site.ask()
        site.leader.scheduler.plan()
        site.leader.advance(VALID_MS)
        site.play(1000)
        assert len(site.runs_of(tasks)) == 3
        assert site.refused == []

    # One that was planned before the queue had advice was sent without one.
    def test_start_is_sent_without_a_ticket(self):
        site = advised.Site(policy=None)
        tasks = site.submit(gang=False)
        site.leader.sync_intake()
        site.leader.scheduler.plan()
        site.set_advice(advised.POLICY, True)
        site.play(1000)
        assert len(site.runs_of(tasks)) == 3
        assert site.refused == []

    # Tickets were counted from the request, so they had lapsed on arrival.
    def test_adviser_takes_longer_than_tickets_last(self):
        site = advised.Site()
        site.adviser.call_ms = VALID_MS + 500
        tasks = site.submit(gang=False)
        site.play(3 * VALID_MS)
        assert len(site.runs_of(tasks)) == 3
        assert site.refused == []

    # Without a limit, each plan is followed by a call.
    def test_tickets_that_last_no_time_are_asked_for_without_end(self):
        site = advised.Site()
        site.adviser.valid_ms = 0
        site.submit(gang=False)
        site.play(3000, cycle_ms=20)
        assert len(site.adviser.calls) <= 3000 // advice.MIN_ANSWER_MS + 1

    # A ticket that one worker refuses doesn't void those of the others.
    def test_all_tickets_are_lost_with_one(self):
        site = advised.Site()
        tasks = site.submit(2, gang=False, max_per_worker=1)
        site.leader.run_cycle()
        site.ask()
        site.adviser.revoke('worker-0')
        site.leader.run_cycle()
        assert len(site.refused) == 1
        site.leader.run_cycle()
        assert len(site.runs_of(tasks)) == 2
        assert len(site.adviser.calls) == 1


class TestTrial:
    """The task may have crashed its worker, so it is tried on one."""

    def suspect(self, site, task):
        site.leader.sync_intake()
        found = site.leader.scheduler.find_task(task)
        found.crashes = records.Crashes((1, 2, 3))
        found.ready_ms = site.fleet.clock.now_ms()

    def fill(self, site, cpu_milli):
        """Let a job occupy a part of each worker; returns its tasks."""
        job_id = site.submit_plain(
            harness.make_step(3, cpu_milli, max_per_worker=1)
        )
        site.play(200)
        return [f'{job_id}.0.0.{index}' for index in range(3)]

    def kept(self, site):
        """Return the WorkerStates that are kept free for trials."""
        found = site.leader.scheduler.worker_states()
        return [w for w in found if w.trial]

    # The ticket of the worker that is kept free may lapse before the trial.
    def test_trial_starts_with_a_lapsed_ticket(self):
        site = advised.Site()
        self.fill(site, 1000)
        [task] = site.submit(1, gang=False)
        self.suspect(site, task)
        site.leader.run_cycle()
        site.ask()
        site.leader.scheduler.plan()
        kept = self.kept(site)
        assert len(kept) == 1
        site.adviser.answers = False
        site.leader.advance(VALID_MS)
        site.leader.scheduler.plan()
        assert site.leader.scheduler.find_task(task).run is None
        assert self.kept(site) == kept
        site.adviser.answers = True
        site.play(1000)
        assert site.runs_of([task])
        assert site.refused == []

    # No worker had room when it could have been kept free, so none was asked
    # about, and others filled each that had room for a moment.
    def test_no_worker_is_asked_about_while_all_are_full(self):
        site = advised.Site()
        full = self.fill(site, 8000)
        [task] = site.submit(1, gang=False)
        self.suspect(site, task)
        site.play(200)
        other = site.submit_plain(harness.make_step(3, 8000))
        for name in full:
            harness.finish(site.fleet, name)
        site.play(2000)
        assert site.runs_of([task])
        assert len(site.runs_of(f'{other}.0.0.{n}' for n in range(3))) == 2


@pytest.mark.parametrize('gang', [True, False])
class TestFullPool:
    # Less urgent tasks took each room while the adviser was being asked,
    # and the ticket had lapsed when the worker had room again.
    @pytest.mark.parametrize('policy', [None, advised.POLICY])
    def test_less_urgent_tasks_take_all_room(self, gang, policy):
        site = advised.Site(policy=policy)
        advised.change_queue(site.fleet, 'other', priority=1)
        site.configure()
        plain = site.submit_plain(
            harness.make_step(60, 8000, max_per_worker=1)
        )
        site.play(200)
        tasks = site.submit(1, gang=gang, cpu_milli=8000)
        site.play(200)
        for round_ in range(9):
            site.play(2 * VALID_MS // 3)
            if site.runs_of(tasks):
                return
            [task] = site.fleet.sim(round_ % 3).runs
            assert task.startswith(plain)
            harness.finish(site.fleet, task)
        pytest.fail('it has not started')

"""Tests of gangs on queues whose workers an external adviser approves."""

import pytest

from figtray.jobs import queues
from figtray.jobs import records
from figtray.scheduling.tests import advised
from figtray.scheduling.tests import harness
from figtray.scheduling import trial_limits

VALID_MS = advised.POLICY.valid_ms
# Longest wait of a gang with room on approved workers.
START_MS = 2000


@pytest.fixture
def site():
    return advised.Site()


class TestTickets:
    # Gangs started without tickets, and each worker refused them.
    def test_gang_starts_without_a_ticket(self, site):
        tasks = site.submit()
        site.play(START_MS)
        assert site.whole(tasks)
        assert site.refused == []

    # Members that start alone wait and occupy their workers in vain.
    def test_gang_starts_in_part_on_too_few_approved_workers(self, site):
        site.adviser.approves = 'worker-1'.__eq__
        tasks = site.submit(max_per_worker=1)
        site.play(3 * VALID_MS)
        assert site.sent == 0
        site.adviser.approves = lambda worker_id: True
        site.play(VALID_MS + START_MS)
        assert site.whole(tasks)

    # All members on the approved worker, though others have more room.
    def test_gang_starts_on_workers_that_are_not_approved(self, site):
        site.adviser.approves = 'worker-1'.__eq__
        tasks = site.submit()
        site.play(START_MS)
        assert site.whole(tasks)
        assert {n for [(n, _)] in site.runs_of(tasks).values()} == {1}
        assert site.refused == []

    # Tickets that have lapsed while the gang waits for room are of no use.
    def test_gang_starts_with_lapsed_tickets(self, site):
        site.adviser.approves = lambda worker_id: worker_id != 'worker-2'
        tasks = site.submit(max_per_worker=1)
        site.play(2 * VALID_MS + VALID_MS // 2)
        site.adviser.approves = lambda worker_id: True
        site.play(VALID_MS + START_MS)
        assert site.whole(tasks)
        assert site.refused == []

    # A ticket is valid for one life of a worker, whose id stays the same.
    @pytest.mark.parametrize('gang', [True, False])
    def test_ticket_of_a_former_life_is_used(self, site, gang):
        site.adviser.approves = lambda worker_id: worker_id != 'worker-2'
        tasks = site.submit(max_per_worker=1, gang=gang)
        site.play(200)
        site.restart(0)
        site.adviser.approves = lambda worker_id: True
        site.play(VALID_MS + START_MS)
        assert site.whole(tasks) if gang else len(site.runs_of(tasks)) == 3
        assert site.refused == []

    # A start that is held up is sent when its ticket has lapsed.
    @pytest.mark.parametrize('gang', [True, False])
    def test_start_is_sent_with_a_lapsed_ticket(self, site, gang):
        tasks = site.submit(gang=gang)
        site.leader.run_cycle()
        site.ask()
        site.leader.scheduler.plan()
        site.leader.advance(VALID_MS)
        site.play(START_MS)
        assert len(site.runs_of(tasks)) == 3
        assert site.refused == []

    # The leader can't know of a life that began after the answer.
    def test_gang_goes_on_without_a_member_whose_ticket_was_refused(
        self, site
    ):
        tasks = site.submit(max_per_worker=1)
        site.leader.run_cycle()
        site.ask()
        site.leader.scheduler.plan()
        site.adviser.revoke('worker-0')
        site.play(START_MS)
        assert len(site.refused) == 1
        assert site.whole(tasks)


class TestAdviser:
    # All tickets of several calls lapsed with the first of them.
    def test_gang_of_more_workers_than_a_call_names(self):
        site = advised.Site(workers=130)
        site.adviser.call_ms = VALID_MS // 3
        tasks = site.submit(count=130, max_per_worker=1)
        site.play(2 * VALID_MS)
        assert site.whole(tasks)
        assert site.refused == []

    # Tickets were counted from the request, so they had lapsed on arrival.
    @pytest.mark.parametrize('gang', [True, False])
    def test_adviser_takes_longer_than_tickets_last(self, site, gang):
        site.adviser.call_ms = VALID_MS + 500
        tasks = site.submit(gang=gang)
        site.play(3 * VALID_MS)
        assert len(site.runs_of(tasks)) == 3

    # An adviser that is always silent about one step was asked about it again
    # and again, before all others.
    def test_step_that_gets_no_advice_holds_up_others(self, site):
        silent = site.submit(gang=False)[0].rsplit('.', 1)[0]
        decide = site.adviser.decide

        def decide_others(step, worker_ids):
            site.adviser.answers = step != silent
            return decide(step, worker_ids)

        site.adviser.decide = decide_others
        tasks = site.submit()
        site.play(START_MS)
        assert site.whole(tasks)

    # A call that names many workers may take longer than its time limit.
    @pytest.mark.parametrize('gang', [True, False])
    def test_slow_adviser_is_asked_about_as_many_workers_again(self, gang):
        site = advised.Site(workers=30)
        decide = site.adviser.decide

        def decide_few(step, worker_ids):
            site.adviser.answers = len(worker_ids) <= 8
            return decide(step, worker_ids)

        site.adviser.decide = decide_few
        tasks = site.submit(20, gang=gang, max_per_worker=1)
        site.play(START_MS)
        assert len(site.runs_of(tasks)) == 20

    # Without a limit, each plan is followed by a call.
    def test_tickets_that_last_no_time_are_asked_for_without_end(self, site):
        site.adviser.valid_ms = 0
        site.submit()
        site.play(3000, cycle_ms=20)
        assert len(site.adviser.calls) <= 3000 // 500 + 1

    # The adviser may answer no more; a gang has no right to room then.
    def test_silent_adviser_holds_up_a_queue_without_advice(self, site):
        site.adviser.answers = False
        gang = site.submit()
        plain = site.submit_plain(harness.make_step(3))
        site.play(START_MS)
        assert len(site.runs_of(f'{plain}.0.0.{n}' for n in range(3))) == 3
        site.adviser.answers = True
        site.play(START_MS)
        assert site.whole(gang)


class TestTrial:
    """A member may have crashed its worker, so it is tried on one."""

    def suspect(self, site, tasks):
        site.leader.sync_intake()
        task = site.leader.scheduler.find_task(tasks[1])
        task.crashes = records.Crashes((1,))
        task.ready_ms = site.fleet.clock.now_ms()

    # A worker is kept free for a trial only once it is approved, and it was
    # never asked about.
    def test_adviser_is_not_asked_about_a_gang_with_a_suspect(self, site):
        tasks = site.submit(max_per_worker=1)
        self.suspect(site, tasks)
        site.play(trial_limits.MAX_TRIAL_WAIT_MS // 2)
        assert site.whole(tasks)
        assert site.refused == []

    # The worker was kept free until after the end of its ticket.
    def test_trial_starts_with_a_lapsed_ticket(self, site):
        full = site.submit_plain(harness.make_step(3, 5000, max_per_worker=1))
        site.play(200)
        tasks = site.submit(cpu_milli=4000, max_per_worker=1)
        self.suspect(site, tasks)
        site.leader.run_cycle()
        site.ask()
        site.leader.run_cycle()
        site.leader.advance(VALID_MS)
        for index in range(3):
            harness.finish(site.fleet, f'{full}.0.0.{index}')
        site.play(START_MS)
        assert site.whole(tasks)
        assert site.refused == []


@pytest.mark.parametrize('gang', [True, False])
class TestChangeOfTheQueue:
    """Rows of the table of changes to a queue's advice in docs/design.md."""

    def fill(self, site):
        """Let a job occupy all workers; returns its tasks."""
        tasks = site.submit(
            count=3, cpu_milli=8000, gang=False, max_per_worker=1
        )
        site.play(1000)
        assert len(site.runs_of(tasks)) == 3
        return tasks

    def empty(self, site, tasks):
        for task in tasks:
            harness.finish(site.fleet, task)

    def half_start(self, site, tasks):
        """Plan the starts of a step, and send that of one worker."""
        site.leader.sync_intake()
        site.leader.scheduler.plan()
        [numbers] = {
            tuple(
                n
                for n in range(3)
                if not site.leader.worker_state(n).orders.empty()
            )
        }
        assert len(numbers) == 3
        site.leader.deliver_orders(0)
        assert len(site.runs_of(tasks)) == 1

    def check_started(self, site, tasks, gang):
        assert len(site.runs_of(tasks)) == len(tasks)
        assert site.whole(tasks) or not gang
        assert site.refused == []

    def check_runs_go_on(self, policy, is_checked, gang):
        site = advised.Site()
        tasks = site.submit(gang=gang)
        site.play(200)
        runs = site.runs_of(tasks)
        assert len(runs) == 3
        calls = len(site.adviser.calls)
        site.set_advice(policy, is_checked)
        site.play(2 * VALID_MS)
        assert site.runs_of(tasks) == runs
        assert len(site.adviser.calls) == calls

    def test_queue_gains_advice_as_steps_wait(self, gang):
        site = advised.Site(policy=None)
        full = self.fill(site)
        tasks = site.submit(gang=gang)
        site.play(100)
        site.set_advice(advised.POLICY, True)
        self.empty(site, full)
        site.play(START_MS)
        self.check_started(site, tasks, gang)

    def test_queue_gains_advice_as_steps_run(self, gang):
        site = advised.Site(policy=None)
        tasks = site.submit(gang=gang)
        site.play(100)
        runs = site.runs_of(tasks)
        site.set_advice(advised.POLICY, True)
        site.play(2 * VALID_MS)
        assert site.runs_of(tasks) == runs
        assert site.adviser.calls == []

    def test_queue_gains_advice_as_steps_are_half_started(self, gang):
        site = advised.Site(policy=None)
        tasks = site.submit(gang=gang, max_per_worker=1)
        self.half_start(site, tasks)
        site.set_advice(advised.POLICY, True)
        site.play(START_MS)
        self.check_started(site, tasks, gang)

    # The workers may know a version before the leader does. A start that they
    # refuse was sent again with each plan.
    def test_workers_gain_advice_before_the_leader(self, gang):
        site = advised.Site(policy=None)
        site.is_checked = True
        tasks = site.submit(gang=gang)
        site.play(3000, cycle_ms=20)
        assert 0 < len(site.refused) <= 3 * 8
        site.set_advice(advised.POLICY, True)
        site.refused.clear()
        site.play(START_MS)
        self.check_started(site, tasks, gang)

    def test_queue_changes_advice_as_steps_wait(self, gang):
        site = advised.Site()
        site.adviser.approves = lambda worker_id: False
        tasks = site.submit(gang=gang)
        site.play(100)
        assert site.runs_of(tasks) == {}
        site.adviser.approves = lambda worker_id: True
        site.adviser.valid_ms = 500
        site.set_advice(queues.AdvicePolicy(20, 2, 500), True)
        site.play(500)
        self.check_started(site, tasks, gang)

    def test_queue_changes_advice_as_steps_run(self, gang):
        self.check_runs_go_on(queues.AdvicePolicy(20, 2, 500), True, gang)

    def test_queue_changes_advice_as_steps_are_half_started(self, gang):
        site = advised.Site()
        tasks = site.submit(gang=gang, max_per_worker=1)
        site.leader.run_cycle()
        site.ask()
        self.half_start(site, tasks)
        runs = site.runs_of(tasks)
        site.set_advice(queues.AdvicePolicy(20, 2, 500), True)
        site.play(100)
        self.check_started(site, tasks, gang)
        assert runs.items() <= site.runs_of(tasks).items()

    def test_queue_loses_advice_as_steps_wait(self, gang):
        site = advised.Site()
        site.adviser.approves = lambda worker_id: False
        tasks = site.submit(gang=gang)
        site.play(100)
        calls = len(site.adviser.calls)
        site.set_advice(None, False)
        site.play(100)
        self.check_started(site, tasks, gang)
        assert len(site.adviser.calls) == calls

    def test_queue_loses_advice_as_steps_run(self, gang):
        self.check_runs_go_on(None, False, gang)

    # The answer to the last call concerns nobody any more.
    def test_queue_loses_advice_as_the_adviser_is_asked(self, gang):
        site = advised.Site()
        tasks = site.submit(gang=gang)
        site.leader.run_cycle()
        step, advice = site.leader.scheduler.next_advice_request()
        site.set_advice(None, False)
        site.leader.run_cycle()
        self.check_started(site, tasks, gang)
        site.leader.scheduler.record_advice(step, advice, None, (), 0)
        site.play(100)
        assert site.adviser.calls == []

    def test_queue_loses_advice_as_steps_are_half_started(self, gang):
        site = advised.Site()
        tasks = site.submit(gang=gang, max_per_worker=1)
        site.leader.run_cycle()
        site.ask()
        self.half_start(site, tasks)
        runs = site.runs_of(tasks)
        site.set_advice(None, False)
        site.leader.advance(VALID_MS)
        site.play(100)
        self.check_started(site, tasks, gang)
        assert runs.items() <= site.runs_of(tasks).items()

    def test_queue_loses_and_regains_advice(self, gang):
        site = advised.Site()
        full = self.fill(site)
        tasks = site.submit(gang=gang)
        site.play(100)
        site.set_advice(None, False)
        site.play(100)
        site.set_advice(advised.POLICY, True)
        site.play(VALID_MS)
        self.empty(site, full)
        site.play(START_MS)
        self.check_started(site, tasks, gang)

    # Advice isn't stored: the next leader asks for its own.
    def test_leader_changes_as_steps_wait(self, gang):
        site = advised.Site()
        full = self.fill(site)
        tasks = site.submit(gang=gang)
        site.play(100)
        site.elect_leader()
        self.empty(site, full)
        site.play(START_MS)
        self.check_started(site, tasks, gang)

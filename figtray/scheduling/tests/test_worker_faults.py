"""Tests of workers that fail or do not answer."""

import pytest

from figtray.fleet import memory
from figtray.fleet import messages
from figtray.scheduling import outcomes
from figtray.scheduling import scheduler_base
from figtray.scheduling.tests import harness
from figtray import verdict


class TestUncertainStart:
    # A start without a reply may be executed seconds later. Until that is
    # impossible, starting the task elsewhere would make it run twice.
    @pytest.mark.parametrize('fault', ['lost', 'late'])
    def test_task_starts_again_after_the_stop(self, fleet, leader, fault):
        job_id = fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        fleet.client.choose_fault = lambda kind, _: (
            fault if kind in ('start', 'stop') else 'ok'
        )
        for _ in range(4):
            leader.run_cycle()
            runs = harness.running(fleet).get(f'{job_id}.0.0.0', [])
            assert len(runs) <= (1 if fault == 'lost' else 0)
        fleet.client.choose_fault = lambda kind, _: 'ok'
        leader.advance(scheduler_base.UNHEALTHY_BACKOFF_MS)
        for _ in range(4):
            leader.advance(1)
            leader.run_cycle()
        fleet.client.execute_late_orders()
        assert list(harness.running(fleet)) == [f'{job_id}.0.0.0']
        assert len(harness.running(fleet)[f'{job_id}.0.0.0']) == 1

    # With one reply in twenty lost by the network, workers must stay in use.
    def test_worker_is_used_after_a_single_lost_reply(self, fleet, leader):
        fleet.submit(harness.make_step(3, max_per_worker=1))
        leader.sync_intake()
        leader.scheduler.plan()
        fleet.client.choose_fault = lambda kind, _: (
            'lost' if kind == 'start' else 'ok'
        )
        for number in range(3):
            leader.deliver_orders(number)
        fleet.client.choose_fault = lambda *_: 'ok'
        later = fleet.submit(harness.make_step())
        leader.run_cycle()
        assert f'{later}.0.0.0' in harness.running(fleet)

    def test_worker_that_never_answers_is_avoided(self, fleet, leader):
        fleet.client.choose_fault = lambda kind, worker: (
            'lost'
            if worker.worker_id == 'worker-0' and kind == 'start'
            else 'ok'
        )
        for _ in range(4):
            fleet.submit(harness.make_step(6, 2000))
            leader.run_cycle()
        worker_state = leader.worker_state(0)
        assert worker_state.avoid_until_ms > fleet.clock.now_ms()


class TestBackoff:
    """Time until a worker is used again that has refused starts."""

    CYCLE_MS = 50

    def refuse(self, leader, task, reason):
        """Let the worker refuse the next start of a task."""
        leader.scheduler.plan()
        leader.flush()
        run = leader.scheduler.find_task(task).run
        leader.scheduler.handle_refused(run, verdict.NotRun(reason, 'test'))

    def wait_for_start(self, leader, task):
        """Return the time until a task runs."""
        began_ms = leader.fleet.clock.now_ms()
        while not leader.fleet.sim(0).runs:
            leader.advance(self.CYCLE_MS)
            leader.sync_workers()
            leader.run_cycle()
            assert leader.fleet.clock.now_ms() - began_ms < 60_000
        return leader.fleet.clock.now_ms() - began_ms

    # A worker got no task for long after a single fault.
    @pytest.mark.parametrize(
        'reason',
        [
            verdict.RefusalReason.UNHEALTHY,
            verdict.RefusalReason.CONNECT_FAILED,
            verdict.RefusalReason.BAD_REQUEST,
        ],
    )
    @pytest.mark.parametrize('lasting', [True, False])
    def test_worker_is_avoided_for_long(self, reason, lasting):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        leader.report_all()
        task = f'{fleet.submit(harness.make_step(lasting=lasting))}.0.0.0'
        leader.sync_intake()
        self.refuse(leader, task, reason)
        assert self.wait_for_start(leader, task) <= (
            scheduler_base.UNHEALTHY_BACKOFF_MS + self.CYCLE_MS
        )

    # The time doubles with each refusal, and had no end.
    @pytest.mark.parametrize('refusals', range(1, 9))
    def test_worker_without_room_is_avoided_for_long(self, refusals):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        leader.report_all()
        task = f'{fleet.submit(harness.make_step(lasting=True))}.0.0.0'
        leader.sync_intake()
        for _ in range(refusals):
            self.refuse(leader, task, verdict.RefusalReason.NO_CAPACITY)
            worker_state = leader.worker_state(0)
            left_ms = worker_state.avoid_until_ms - fleet.clock.now_ms()
            assert 0 < left_ms <= outcomes.MAX_NO_CAPACITY_BACKOFF_MS
            leader.advance(left_ms)
        assert self.wait_for_start(leader, task) <= (
            outcomes.MAX_NO_CAPACITY_BACKOFF_MS + self.CYCLE_MS
        )


class TestReports:
    # Replies on different connections may arrive in any order: a report that
    # was requested before a start lacks the run, which is not lost. Both may
    # be in the same millisecond.
    @pytest.mark.parametrize('passed_ms', [0, 5])
    def test_earlier_report_does_not_end_a_run(self, fleet, leader, passed_ms):
        job_id = fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        asked_ms = fleet.clock.now_ms()
        worker_state = next(
            w for w in leader.scheduler.worker_states() if w.runs
        )
        number = int(worker_state.worker.worker_id.removeprefix('worker-'))
        before = fleet.sim(number).report(leader.term.epoch, 0, None)
        fleet.clock.advance(passed_ms)
        leader.deliver_orders(number)
        leader.scheduler.handle_report(worker_state, before, asked_ms)
        assert f'{job_id}.0.0.0' in worker_state.runs
        later = fleet.sim(number).report(leader.term.epoch, 0, None)
        leader.scheduler.handle_report(
            worker_state, later, fleet.clock.now_ms()
        )
        assert f'{job_id}.0.0.0' in worker_state.runs


class TestLostWorker:
    def test_new_incarnation_frees_the_tasks(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = harness.running(fleet)[f'{job_id}.0.0.0']
        fleet.client.crash(f'10.0.0.{number}:80')
        fleet.add_worker(number, born_ms=2)
        leader.sync_workers()
        leader.report_all()
        leader.run_cycle()
        assert f'{job_id}.0.0.0' in harness.running(fleet)

    # The entry of a worker stays for some heartbeats after its end. Each time
    # it was taken for a new worker, two connections were opened in vain (78
    # incarnations were found and lost in 3 s).
    def test_entry_of_an_ended_incarnation_is_ignored(self, fleet, leader):
        fleet.client.crash('10.0.0.0:80')
        leader.scheduler.retire_idle_worker('worker-0', 'its host has moved')
        leader.sync_workers()
        assert leader.worker_state(0) is None
        leader.advance(scheduler_base.ENDED_INCARNATION_TTL_MS)
        leader.sync_workers()
        assert leader.worker_state(0) is not None

    # The platform also accepts the order for an upkeep that an earlier leader
    # has begun, and then ends nothing. If the leader gave the runs up, the
    # task would run twice (dshc-figtray, day leaders, seed 1074678214406).
    def test_accepted_host_order_alone_ends_no_run(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = harness.running(fleet)[f'{job_id}.0.0.0']
        leader.scheduler.retire_idle_worker(
            f'worker-{number}', 'the upkeep of its host has begun'
        )
        for _ in range(3):
            leader.run_cycle()
            assert len(harness.running(fleet)[f'{job_id}.0.0.0']) == 1

    # A disconnected worker runs its tasks until its lease expires on its own
    # clock, which may be slow. An earlier start elsewhere would be a second
    # run.
    def test_unresponsive_worker_keeps_its_task_until_the_lease_expires(self):
        fleet = harness.Fleet(rate=0.98)
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = harness.running(fleet)[f'{job_id}.0.0.0']
        unresponsive = fleet.sim(number).worker
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == unresponsive else 'ok'
        )
        for _ in range(70):
            leader.advance(100)
            fleet.sim(number).expire()
            leader.run_cycle()
            assert len(harness.running(fleet).get(f'{job_id}.0.0.0', [])) <= 1
        assert harness.running(fleet)[f'{job_id}.0.0.0'][0][0] != number


class TestMemoryWorkers:
    # The simulated worker must refuse all that the platform's workers refuse,
    # or the tests above would pass with orders that fail in production.
    def test_stopped_run_never_starts(self, fleet):
        sim = fleet.sim(0)
        sim.stop('j.0.0.0', 7, 1)
        order = messages.StartOrder('j.0.0.0', 7, 'p', 1, 5000)
        assert not isinstance(sim.start(order), messages.Started)

    def test_slow_clock_lengthens_the_lease(self, fleet):
        sim = fleet.client.add(memory.make_worker(9), clock_rate=0.98)
        sim.start(messages.StartOrder('j.0.0.0', 1, 'p', 1, 6000))
        fleet.clock.advance(6050)
        sim.expire()
        assert sim.runs
        fleet.clock.advance(100)
        sim.expire()
        assert not sim.runs

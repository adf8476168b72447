"""Tests of the tasks that wait again after a run or a refused start."""

import pytest

from figtray.fleet import messages
from figtray.jobs import queues
from figtray.jobs import records
from figtray.scheduling.tests import harness
from figtray import verdict


def without_queue(cfg, name):
    """Return a later Config that lacks a queue."""
    return queues.Config(
        cfg.version + 1,
        [queue for queue in cfg.queues.values() if queue.name != name],
        list(cfg.pools.values()),
        list(cfg.teams.values()),
    )


class TestRemovedQueue:
    # The number of attempts was read from a queue that the leader had never
    # seen; the error lost the task between its run and its queue.
    def test_failed_task_of_a_removed_queue_is_lost(self):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step(), queue='other')
        leader.run_cycle()
        cfg = fleet.cfg
        fleet.cfg = without_queue(cfg, 'other')
        leader = fleet.elect_leader()
        leader.report_all()
        task = f'{job_id}.0.0.0'
        fleet.sim(0).end(task, messages.EndReason.FAILED)
        leader.report(0)
        leader.scheduler.configure(cfg, frozenset())
        leader.run_cycle()
        assert task in fleet.sim(0).runs

    # The configuration may come after the ends. A failure that was recorded
    # without the limit of the queue did not count towards it.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_task_starts_after_its_last_attempt(self, new_leader):
        fleet = harness.Fleet(1, harness.make_config(attempts=1))
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        cfg = fleet.cfg
        fleet.cfg = without_queue(cfg, 'q')
        leader = fleet.elect_leader()
        leader.report_all()
        fleet.sim(0).end(f'{job_id}.0.0.0', messages.EndReason.FAILED)
        leader.report(0)
        fleet.cfg = cfg
        if new_leader:
            leader = fleet.elect_leader()
            leader.report_all()
        leader.scheduler.configure(cfg, frozenset())
        leader.run_cycle()
        assert not fleet.sim(0).runs
        assert leader.state(job_id) == records.State.FAILED


class TestDoneTask:
    # The first run of a task may turn out to be done while a second start of
    # it is under way; if that is refused, the task must not wait again.
    def test_done_task_starts_again_after_a_refusal(self):
        fleet = harness.Fleet(2)
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step(2, 5000, max_per_worker=1))
        leader.run_cycle()
        first = leader.scheduler.find_task(f'{job_id}.0.0.0')
        second = leader.scheduler.find_task(f'{job_id}.0.0.1')
        former = first.run
        silent, other = former.worker_state, second.run.worker_state
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == silent.worker else 'ok'
        )
        while first.run is not None:
            leader.advance(100)
            leader.report_all()
        fleet.client.sims[other.worker.address].end(
            second.name, messages.EndReason.FAILED
        )
        leader.report_all()
        leader.scheduler.plan()
        run = first.run
        assert run.worker_state is other
        ended = messages.EndedRun(
            1, first.name, former.number, messages.EndReason.DONE
        )
        clock_ms = fleet.client.sims[silent.worker.address].clock_ms()
        report = messages.Report(silent.worker.born_ms, clock_ms, (), (ended,))
        leader.scheduler.handle_report(silent, report, fleet.clock.now_ms())
        assert first.done
        leader.scheduler.handle_refused(
            run, verdict.NotRun(verdict.RefusalReason.NO_CAPACITY, 'room')
        )
        assert first not in first.step.waiting

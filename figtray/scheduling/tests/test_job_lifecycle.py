"""Tests of the steps of jobs, and of their end and removal."""

import pytest

from figtray.fleet import messages
from figtray.jobs import records
from figtray.scheduling import job_lifecycle
from figtray.scheduling import retention
from figtray.scheduling import scheduler as schedulers
from figtray.scheduling import scheduler_base
from figtray.scheduling import state
from figtray.scheduling.tests import harness


class TestSteps:
    # A step must not start before all tasks of the steps before it are done.
    def test_step_waits_for_all_tasks(self, fleet, leader):
        job_id = fleet.submit(
            harness.make_step(2), harness.make_step(1, after=(0,))
        )
        leader.run_cycle()
        assert set(harness.running(fleet)) == {
            f'{job_id}.0.0.0',
            f'{job_id}.0.0.1',
        }
        harness.finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        leader.run_cycle()
        assert set(harness.running(fleet)) == {f'{job_id}.0.0.1'}
        harness.finish(fleet, f'{job_id}.0.0.1')
        leader.run_cycle()
        leader.run_cycle()
        assert set(harness.running(fleet)) == {f'{job_id}.0.1.0'}
        harness.finish(fleet, f'{job_id}.0.1.0')
        leader.run_cycle()
        assert leader.state(job_id) == records.State.COMPLETED

    def test_job_fails_after_its_last_attempt(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        for _ in range(3):
            leader.run_cycle()
            harness.finish(fleet, f'{job_id}.0.0.0', messages.EndReason.FAILED)
            leader.run_cycle()
        leader.run_cycle()
        assert leader.state(job_id) == records.State.FAILED
        assert not harness.running(fleet)

    # Workers list ends again after a takeover; the same failure must not count
    # twice against the attempts.
    def test_repeated_failure_counts_once(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        harness.finish(fleet, f'{job_id}.0.0.0', messages.EndReason.FAILED)
        leader.run_cycle()
        for _ in range(3):
            leader = fleet.elect_leader()
            leader.report_all()
        assert leader.state(job_id) == records.State.RUNNING

    def test_lasting_task_restarts(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(lasting=True))
        leader.run_cycle()
        for how in (messages.EndReason.FAILED, messages.EndReason.DONE):
            harness.finish(fleet, f'{job_id}.0.0.0', how)
            leader.run_cycle()
            leader.run_cycle()
            assert list(harness.running(fleet)) == [f'{job_id}.0.0.0']

    def test_timed_job_starts_when_due(self, fleet, leader):
        start_ms = fleet.clock.wall_ms() + 5000
        job_id = fleet.submit(
            harness.make_step(),
            repeats=2,
            start_ms=start_ms,
            interval_ms=1000,
        )
        leader.run_cycle()
        assert not harness.running(fleet)
        leader.advance(4999)
        leader.run_cycle()
        assert not harness.running(fleet)
        leader.advance(1)
        leader.run_cycle()
        assert set(harness.running(fleet)) == {f'{job_id}.0.0.0'}
        leader.advance(1000)
        leader.run_cycle()
        assert f'{job_id}.1.0.0' in harness.running(fleet)

    def test_max_per_worker_is_kept(self, fleet, leader):
        fleet.submit(harness.make_step(5, max_per_worker=1))
        leader.run_cycle()
        assert sorted(n for [(n, _)] in harness.running(fleet).values()) == [
            0,
            1,
            2,
        ]

    def test_label_is_required(self, fleet, leader):
        fleet.submit(harness.make_step(label='b'))
        leader.run_cycle()
        assert not harness.running(fleet)


class TestDueOccurrences:
    REPEATS = 2 * job_lifecycle.MAX_OPENED_OCCURRENCES + 5

    def submit(self, fleet):
        return fleet.submit(
            harness.make_step(),
            repeats=self.REPEATS,
            start_ms=0,
            interval_ms=0,
        )

    def opened(self, leader, job_id):
        return len(leader.scheduler._jobs[job_id].occurrences)

    # The lock was held for minutes as the whole job was checked once for each
    # of its occurrences.
    @pytest.mark.parametrize('part', ['_complete_if_done', '_fail_exhausted'])
    def test_job_is_checked_for_each_occurrence(
        self, fleet, leader, monkeypatch, part
    ):
        calls = []
        run_part = getattr(schedulers.Scheduler, part)

        def count(scheduler, job):
            calls.append(job)
            run_part(scheduler, job)

        monkeypatch.setattr(schedulers.Scheduler, part, count)
        self.submit(fleet)
        leader.sync_intake()
        assert len(calls) == 1

    # One plan opened all of them, however many were due.
    def test_all_due_occurrences_open_at_once(self, fleet, leader):
        job_id = self.submit(fleet)
        leader.sync_intake()
        limit = job_lifecycle.MAX_OPENED_OCCURRENCES
        assert self.opened(leader, job_id) == limit
        assert leader.scheduler.plan() <= fleet.clock.now_ms()
        assert self.opened(leader, job_id) == 2 * limit
        assert leader.scheduler.plan() > fleet.clock.now_ms()
        assert self.opened(leader, job_id) == self.REPEATS

    # Workers may report runs and ends of any due occurrence of an earlier
    # term; an unknown run is stopped, and an unknown end is forgotten.
    def test_occurrence_of_an_earlier_term_is_unknown(self, fleet, leader):
        job_id = self.submit(fleet)
        for _ in range(3):
            leader.sync_intake()
            leader.scheduler.plan()
        leader = fleet.elect_leader()
        leader.sync_intake()
        assert self.opened(leader, job_id) == self.REPEATS

    # A job with occurrences that are not open yet must not be completed.
    def test_job_is_completed_before_all_are_open(self, fleet, leader):
        job_id = self.submit(fleet)
        leader.sync_intake()
        job = leader.scheduler._jobs[job_id]
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                step.remaining = 0
        leader.scheduler._complete_if_done(job)
        assert not job.ended

    # Stored failures that exhaust the attempts fail the job after a change of
    # the leader, although its later occurrences are not open yet.
    def test_job_that_has_failed_goes_on_opening(self, fleet, leader):
        job_id = self.submit(fleet)
        leader.sync_intake()
        job = leader.scheduler._jobs[job_id]
        task = job.occurrences[0].steps[0].tasks[0]
        task.failed_runs = [1, 2, 3]
        leader.scheduler.plan()
        assert job.state == records.State.FAILED
        opened = self.opened(leader, job_id)
        leader.scheduler.plan()
        assert self.opened(leader, job_id) == opened
        assert not leader.scheduler._open_steps


class TestGang:
    def test_gang_starts_and_ends_as_a_whole(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(3, gang=True))
        leader.run_cycle()
        runs = harness.running(fleet)
        assert len(runs) == 3
        assert len({run for [(_, run)] in runs.values()}) == 1
        harness.finish(fleet, f'{job_id}.0.0.1')
        leader.run_cycle()
        assert leader.state(job_id) == records.State.COMPLETED

    # The others wait for the missing member until their time is up.
    @pytest.mark.parametrize('cause', ['shrunk', 'refused', 'unanswered'])
    def test_gang_goes_on_without_a_member_that_did_not_start(
        self, fleet, leader, cause
    ):
        job_id = fleet.submit(
            harness.make_step(3, gang=True, max_per_worker=1)
        )
        leader.sync_intake()
        leader.scheduler.plan()
        for number in (0, 1):
            leader.deliver_orders(number)
        if cause == 'shrunk':
            fleet.resize(2, cpu_milli=0)
            leader.sync_workers()
        else:
            fault = 'not sent' if cause == 'refused' else 'late'
            fleet.client.choose_fault = lambda *_: fault
        leader.deliver_orders(2, limit=1)
        fleet.client.choose_fault = lambda *_: 'ok'
        for _ in range(3):
            leader.run_cycle()
        assert len(harness.running(fleet)) in (0, 3)
        fleet.resize(2, cpu_milli=8000)
        for _ in range(3):
            leader.advance(scheduler_base.UNHEALTHY_BACKOFF_MS)
            leader.sync_workers()
            leader.run_cycle()
        runs = harness.running(fleet)
        assert set(runs) == {f'{job_id}.0.0.{index}' for index in range(3)}
        assert len({run for [(_, run)] in runs.values()}) == 1

    # Some members of a gang alone would only wait and occupy their workers.
    def test_gang_without_room_does_not_start(self, fleet, leader):
        fleet.submit(harness.make_step(30, gang=True))
        leader.run_cycle()
        assert not harness.running(fleet)


class TestCancel:
    def test_runs_are_stopped(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        fleet.intake.cancel(job_id, 't')
        leader.run_cycle()
        leader.run_cycle()
        assert not harness.running(fleet)
        assert leader.state(job_id) == records.State.CANCELLED

    # A cancellation that arrives before its submission must stay in force.
    def test_cancel_before_submission(self, fleet, leader):
        fleet.intake.cancel(f'{1:016x}', 't')
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        assert job_id == f'{1:016x}'
        assert not harness.running(fleet)
        assert leader.state(job_id) == records.State.CANCELLED

    def test_queued_start_is_not_sent(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        fleet.intake.cancel(job_id, 't')
        leader.run_cycle()
        assert not any(fleet.sim(n).starts for n in range(3))


class TestAcknowledgement:
    # A worker forgets an end once it is acknowledged. If the end were not
    # stored by then, a crash of the leader would lose it.
    def test_ends_are_stored_first(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        harness.finish(fleet, f'{job_id}.0.0.0')
        fleet.store.down = True
        for _ in range(3):
            leader.run_cycle()
        ended = [e for n in range(3) for e in fleet.sim(n).ended]
        assert [e.task for e in ended] == [f'{job_id}.0.0.0']
        fleet.store.down = False
        leader.run_cycle()
        leader.run_cycle()
        assert not any(fleet.sim(n).ended for n in range(3))


class TestRetention:
    RETENTION_MS = 1000

    def remove(self, leader):
        """Remove the expired jobs, with a writer that writes in wait()."""
        wait_for_writer = leader.writer.wait

        def wait(sequence, _):
            leader.flush()
            return wait_for_writer(sequence, 0)

        leader.writer.wait = wait
        expired_jobs = leader.scheduler.expired_jobs(self.RETENTION_MS)
        done = retention.remove_jobs(
            leader.scheduler, leader.writer, expired_jobs
        )
        leader.flush()
        return expired_jobs, done

    def test_ended_jobs_are_removed(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        running_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        harness.finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        assert leader.scheduler.expired_jobs(self.RETENTION_MS) == []
        leader.advance(self.RETENTION_MS + 1)
        assert self.remove(leader) == ([job_id], True)
        assert leader.state(job_id) is None
        assert leader.state(running_id) == records.State.RUNNING

    # If the scheduler forgot a job whose record stays in the store, the job
    # would run again.
    def test_no_job_is_forgotten_during_an_outage(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        harness.finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        leader.advance(self.RETENTION_MS + 1)
        fleet.store.down = True
        assert self.remove(leader) == ([job_id], False)
        assert leader.scheduler.expired_jobs(self.RETENTION_MS) == [job_id]

    # A lagging view of the store may show a removed job once more; the job
    # must not run again.
    def test_removed_job_does_not_return(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        item = fleet.store.get(records.JOB_PREFIX + job_id)
        leader.run_cycle()
        harness.finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        leader.advance(self.RETENTION_MS + 1)
        self.remove(leader)
        leader.scheduler.add_job(
            job_id, records.decode_job(item.value), item.create_revision
        )
        leader.run_cycle()
        assert not harness.running(fleet)

    def test_cancellation_of_an_unknown_job_is_removed(self, fleet, leader):
        fleet.intake.cancel('f' * 16, 't')
        leader.run_cycle()
        leader.advance(self.RETENTION_MS + 1)
        self.remove(leader)
        assert not fleet.store.range(records.CANCEL_PREFIX).items


class TestWaitingCounts:
    def test_started_jobs_do_not_count(self, fleet, leader):
        fleet.submit(harness.make_step())
        fleet.submit(harness.make_step(label='none'))
        leader.run_cycle()
        waiting = leader.scheduler.waiting_jobs()
        assert waiting.counts == {'q': 1}
        assert waiting.held == {'q': {state.HeldReason.NO_ROOM.value: 1}}

"""Tests of the scheduler over in-memory store and workers."""

import dataclasses

import pytest

from figtray.fleet import memory
from figtray.fleet import messages
from figtray.fleet import model as fleet_model
from figtray.jobs import records
from figtray.scheduling import roster as rosters
from figtray.scheduling import scheduler_base
from figtray.scheduling import service
from figtray.scheduling import state
from figtray.scheduling.tests import harness


@pytest.fixture
def fleet():
    return harness.Fleet()


@pytest.fixture
def leader(fleet):
    leader = fleet.elect_leader()
    leader.report_all()
    return leader


def sims(fleet):
    """Return the SimWorkers that are up."""
    return [sim for sim in fleet.client.sims.values() if sim.up]


def running(fleet):
    """Return {task: [(worker number, run)]} of all runs in the fleet."""
    found = {}
    for number in range(len(fleet.workers)):
        for run in fleet.sim(number).runs.values():
            found.setdefault(run.task, []).append((number, run.run))
    return found


def finish(fleet, task, how=messages.EndReason.DONE):
    """End a running task."""
    for number in range(len(fleet.workers)):
        if task in fleet.sim(number).runs:
            fleet.sim(number).end(task, how)
            return
    raise AssertionError(f'{task} is not running')


class TestSteps:
    # A step must not start before all tasks of the steps before it are done.
    def test_step_waits_for_all_tasks(self, fleet, leader):
        job_id = fleet.submit(
            harness.make_step(2), harness.make_step(1, after=(0,))
        )
        leader.run_cycle()
        assert set(running(fleet)) == {f'{job_id}.0.0.0', f'{job_id}.0.0.1'}
        finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        leader.run_cycle()
        assert set(running(fleet)) == {f'{job_id}.0.0.1'}
        finish(fleet, f'{job_id}.0.0.1')
        leader.run_cycle()
        leader.run_cycle()
        assert set(running(fleet)) == {f'{job_id}.0.1.0'}
        finish(fleet, f'{job_id}.0.1.0')
        leader.run_cycle()
        assert leader.state(job_id) == records.State.COMPLETED

    def test_job_fails_after_its_last_attempt(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        for _ in range(3):
            leader.run_cycle()
            finish(fleet, f'{job_id}.0.0.0', messages.EndReason.FAILED)
            leader.run_cycle()
        leader.run_cycle()
        assert leader.state(job_id) == records.State.FAILED
        assert not running(fleet)

    # Workers list ends again after a takeover; the same failure must not count
    # twice against the attempts.
    def test_repeated_failure_counts_once(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        finish(fleet, f'{job_id}.0.0.0', messages.EndReason.FAILED)
        leader.run_cycle()
        for _ in range(3):
            leader = fleet.elect_leader()
            leader.report_all()
        assert leader.state(job_id) == records.State.RUNNING

    def test_lasting_task_restarts(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(lasting=True))
        leader.run_cycle()
        for how in (messages.EndReason.FAILED, messages.EndReason.DONE):
            finish(fleet, f'{job_id}.0.0.0', how)
            leader.run_cycle()
            leader.run_cycle()
            assert list(running(fleet)) == [f'{job_id}.0.0.0']

    def test_timed_job_starts_when_due(self, fleet, leader):
        start_ms = fleet.clock.wall_ms() + 5000
        job_id = fleet.submit(
            harness.make_step(),
            repeats=2,
            start_ms=start_ms,
            interval_ms=1000,
        )
        leader.run_cycle()
        assert not running(fleet)
        leader.advance(4999)
        leader.run_cycle()
        assert not running(fleet)
        leader.advance(1)
        leader.run_cycle()
        assert set(running(fleet)) == {f'{job_id}.0.0.0'}
        leader.advance(1000)
        leader.run_cycle()
        assert f'{job_id}.1.0.0' in running(fleet)

    def test_max_per_worker_is_kept(self, fleet, leader):
        fleet.submit(harness.make_step(5, max_per_worker=1))
        leader.run_cycle()
        assert sorted(n for [(n, _)] in running(fleet).values()) == [0, 1, 2]

    def test_label_is_required(self, fleet, leader):
        fleet.submit(harness.make_step(label='b'))
        leader.run_cycle()
        assert not running(fleet)


class TestGang:
    def test_gang_starts_and_ends_as_a_whole(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(3, gang=True))
        leader.run_cycle()
        runs = running(fleet)
        assert len(runs) == 3
        assert len({run for [(_, run)] in runs.values()}) == 1
        finish(fleet, f'{job_id}.0.0.1')
        leader.run_cycle()
        assert leader.state(job_id) == records.State.COMPLETED

    # Some members of a gang alone would only wait and occupy their workers.
    def test_gang_without_room_does_not_start(self, fleet, leader):
        fleet.submit(harness.make_step(30, gang=True))
        leader.run_cycle()
        assert not running(fleet)


class TestCancel:
    def test_runs_are_stopped(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        fleet.intake.cancel(job_id, 't')
        leader.run_cycle()
        leader.run_cycle()
        assert not running(fleet)
        assert leader.state(job_id) == records.State.CANCELLED

    # A cancellation that arrives before its submission must stay in force.
    def test_cancel_before_submission(self, fleet, leader):
        fleet.intake.cancel(f'{1:016x}', 't')
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        assert job_id == f'{1:016x}'
        assert not running(fleet)
        assert leader.state(job_id) == records.State.CANCELLED

    def test_queued_start_is_not_sent(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        fleet.intake.cancel(job_id, 't')
        leader.run_cycle()
        assert not any(fleet.sim(n).starts for n in range(3))


class TestLimits:
    def test_team_limit_counts_runs_being_stopped(self, fleet, leader):
        fleet.cfg = harness.make_config(2, limit_milli=2000)
        leader.scheduler.configure(fleet.cfg, ())
        first = fleet.submit(harness.make_step(2))
        second = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        assert len(running(fleet)) == 2
        fleet.intake.cancel(first, 't')
        leader.sync_intake()
        leader.scheduler.plan()
        # The runs are stopped, but the leader doesn't know their ends yet.
        for number in range(3):
            leader.deliver_orders(number)
        assert not running(fleet)
        leader.run_cycle()
        leader.run_cycle()
        leader.run_cycle()
        assert set(running(fleet)) == {f'{second}.0.0.0', f'{second}.0.0.1'}

    def test_capacity_of_workers(self, fleet, leader):
        fleet.submit(harness.make_step(10, cpu_milli=5000))
        leader.run_cycle()
        assert len(running(fleet)) == 3


class TestPlacement:
    def test_zone_out_of_service(self, fleet, leader):
        leader.view.zones = frozenset({'zone-a'})
        leader.scheduler.configure(fleet.cfg, leader.view.zones)
        fleet.submit(harness.make_step())
        leader.run_cycle()
        assert not running(fleet)

    # Operators may take a zone out of service after a run was planned and
    # before its order is sent.
    def test_zone_taken_out_before_the_order(self, fleet, leader):
        fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        leader.scheduler.configure(fleet.cfg, {'zone-a'})
        for number in range(3):
            leader.deliver_orders(number)
        assert not running(fleet)

    def test_no_start_without_a_valid_term(self, fleet, leader):
        fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        fleet.clock.advance(3001)
        for number in range(3):
            leader.deliver_orders(number)
        assert not running(fleet)


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
            runs = running(fleet).get(f'{job_id}.0.0.0', [])
            assert len(runs) <= (1 if fault == 'lost' else 0)
        fleet.client.choose_fault = lambda kind, _: 'ok'
        leader.advance(scheduler_base.UNHEALTHY_BACKOFF_MS)
        for _ in range(4):
            leader.run_cycle()
        fleet.client.execute_late_orders()
        assert list(running(fleet)) == [f'{job_id}.0.0.0']
        assert len(running(fleet)[f'{job_id}.0.0.0']) == 1

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
        assert f'{later}.0.0.0' in running(fleet)

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


class TestReports:
    # Replies on different connections may arrive in any order: a report that
    # was requested before a start lacks the run, which is not lost.
    def test_earlier_report_does_not_end_a_run(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        asked_ms = fleet.clock.now_ms()
        worker_state = next(
            w for w in leader.scheduler.worker_states() if w.runs
        )
        number = int(worker_state.worker.worker_id.removeprefix('worker-'))
        before = fleet.sim(number).report(leader.term.epoch, 0, None)
        fleet.clock.advance(5)
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
        [(number, _)] = running(fleet)[f'{job_id}.0.0.0']
        fleet.client.crash(f'10.0.0.{number}:80')
        fleet.add_worker(number, born_ms=2)
        leader.sync_workers()
        leader.report_all()
        leader.run_cycle()
        assert f'{job_id}.0.0.0' in running(fleet)

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
        [(number, _)] = running(fleet)[f'{job_id}.0.0.0']
        leader.scheduler.retire_idle_worker(
            f'worker-{number}', 'the upkeep of its host has begun'
        )
        for _ in range(3):
            leader.run_cycle()
            assert len(running(fleet)[f'{job_id}.0.0.0']) == 1

    # A disconnected worker runs its tasks until its lease expires on its own
    # clock, which may be slow. An earlier start elsewhere would be a second
    # run.
    def test_unresponsive_worker_keeps_its_task_until_the_lease_expires(self):
        fleet = harness.Fleet(rate=0.98)
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = running(fleet)[f'{job_id}.0.0.0']
        unresponsive = fleet.sim(number).worker
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == unresponsive else 'ok'
        )
        for _ in range(70):
            leader.advance(100)
            fleet.sim(number).expire()
            leader.run_cycle()
            assert len(running(fleet).get(f'{job_id}.0.0.0', [])) <= 1
        assert running(fleet)[f'{job_id}.0.0.0'][0][0] != number


class TestTakeover:
    def test_running_tasks_are_adopted(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        before = running(fleet)
        leader = fleet.elect_leader()
        leader.report_all()
        leader.run_cycle()
        assert running(fleet) == before
        for task in before:
            finish(fleet, task)
        leader.run_cycle()
        assert leader.state(job_id) == records.State.COMPLETED

    # The former leader may have opened a step because of ends that it could
    # not store. If the new leader did not adopt the runs of this step, its
    # tasks would run twice (scale-2, seed 347039356567).
    def test_runs_of_a_step_that_is_not_open_are_adopted(self, fleet, leader):
        job_id = fleet.submit(
            harness.make_step(), harness.make_step(2, after=(0,))
        )
        leader.run_cycle()
        [(number, _)] = running(fleet)[f'{job_id}.0.0.0']
        fleet.store.down = True
        finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        leader.run_cycle()
        before = running(fleet)
        assert set(before) == {f'{job_id}.0.1.0', f'{job_id}.0.1.1'}
        fleet.store.down = False
        leader = fleet.elect_leader()
        others = [n for n in range(3) if n != number]
        for n in [*others, number]:
            leader.report(n)
        leader.run_cycle()
        leader.run_cycle()
        assert running(fleet) == before

    # A worker that has not reported to the new leader may still run any task
    # of an earlier term, until its lease expires.
    def test_tasks_of_earlier_terms_wait_for_all_workers(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = running(fleet)[f'{job_id}.0.0.0']
        unresponsive = fleet.sim(number).worker
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == unresponsive else 'ok'
        )
        leader = fleet.elect_leader()
        leader.report_all()
        for _ in range(75):
            leader.advance(100)
            fleet.sim(number).expire()
            leader.run_cycle()
            assert len(running(fleet).get(f'{job_id}.0.0.0', [])) <= 1
        assert running(fleet)[f'{job_id}.0.0.0'][0][0] != number

    # A later incarnation at its address proves that an earlier one has ended.
    # Without this rule, a lasting task waited for the lease of a crashed
    # worker to expire (hgcb-sched, scale-1, seed 168422647708).
    @pytest.mark.parametrize('same_id', [True, False])
    def test_later_incarnation_at_the_address_frees_tasks(
        self, fleet, leader, same_id
    ):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = running(fleet)[f'{job_id}.0.0.0']
        fleet.client.crash(f'10.0.0.{number}:80')
        former = fleet.workers.pop(f'worker-{number}')
        leader = fleet.elect_leader()
        leader.report_all()
        leader.run_cycle()
        assert not any(sim.runs for sim in sims(fleet))
        later = dataclasses.replace(
            former,
            worker_id=former.worker_id if same_id else 'worker-9',
            born_ms=2,
        )
        fleet.workers[later.worker_id] = later
        fleet.client.add(later)
        leader.sync_workers()
        leader.run_cycle()
        assert any(f'{job_id}.0.0.0' in sim.runs for sim in sims(fleet))

    # Entries of workers expire during an outage of the store. A worker that
    # the host list still shows on its host may be running; starting its
    # tasks elsewhere made them run twice (hgcb-sched, trouble-2, seed
    # 811485293803).
    @pytest.mark.parametrize(
        ('change', 'resolved'),
        [
            ({}, False),
            ({'state': fleet_model.HostState.DOWN}, False),
            ({'worker_id': ''}, False),
            ({'pool': 'spare', 'worker_id': ''}, True),
            ({'worker_id': 'worker-9'}, True),
            ({'state': fleet_model.HostState.MOVING}, True),
            ({'state': fleet_model.HostState.UPKEEP}, True),
        ],
    )
    def test_host_list_resolves_incarnations(
        self, fleet, leader, change, resolved
    ):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = running(fleet)[f'{job_id}.0.0.0']
        worker = fleet.workers.pop(f'worker-{number}')
        leader = fleet.elect_leader()
        leader.report_all()
        host = fleet_model.Host(
            worker.host_id,
            worker.pool,
            fleet_model.HostState.UP,
            worker.zone,
            worker_id=worker.worker_id,
        )
        host = dataclasses.replace(host, **change)
        leader.scheduler.reconcile_hosts({host.host_id: host})
        leader.run_cycle()
        started = [
            sim.worker.worker_id
            for sim in sims(fleet)
            if f'{job_id}.0.0.0' in sim.runs
        ]
        assert len(started) == (2 if resolved else 1)

    # The host of a worker that an earlier leader used may run tasks even if
    # the worker's entry has expired; handing it over would end them.
    def test_unresolved_worker_is_not_drained(self, fleet, leader):
        fleet.submit(harness.make_step(3, max_per_worker=1))
        leader.run_cycle()
        worker = fleet.workers.pop('worker-0')
        leader = fleet.elect_leader()
        leader.report_all()
        assert not leader.scheduler.drain_worker(worker.worker_id)
        assert leader.scheduler.drain_worker('never-seen')

    # A lasting task on a worker that doesn't answer is unavailable, so a drain
    # must not stop another task of its step.
    def test_task_on_an_unresponsive_worker_is_unavailable(
        self, fleet, leader
    ):
        fleet.submit(
            harness.make_step(3, lasting=True, may_be_away=1, max_per_worker=1)
        )
        leader.run_cycle()
        for number in range(3):
            for run in fleet.sim(number).runs.values():
                run.percent = 100
        leader.run_cycle()
        unresponsive = fleet.sim(0).worker
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == unresponsive else 'ok'
        )
        leader.run_cycle()
        leader.scheduler.drain_worker('worker-1')
        leader.run_cycle()
        assert len(fleet.sim(1).runs) == 1
        fleet.client.choose_fault = lambda *_: 'ok'
        leader.run_cycle()
        leader.scheduler.drain_worker('worker-1')
        leader.run_cycle()
        assert not fleet.sim(1).runs

    def test_new_jobs_start_before_all_workers_report(self, fleet, leader):
        fleet.submit(harness.make_step())
        leader.run_cycle()
        unresponsive = fleet.sim(0).worker
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == unresponsive else 'ok'
        )
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        assert f'{job_id}.0.0.0' in running(fleet)

    # Orders of the former leader may arrive after the new leader's.
    def test_late_orders_are_fenced(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.sync_intake()
        leader.scheduler.plan()
        fleet.client.choose_fault = lambda kind, _: (
            'late' if kind == 'start' else 'ok'
        )
        for number in range(3):
            leader.deliver_orders(number)
        fleet.client.choose_fault = lambda kind, _: 'ok'
        leader = fleet.elect_leader()
        leader.report_all()
        leader.run_cycle()
        fleet.client.execute_late_orders()
        assert len(running(fleet)[f'{job_id}.0.0.0']) == 1

    def test_former_leader_ends_when_an_order_is_fenced(self, fleet, leader):
        fleet.submit(harness.make_step())
        successor = fleet.elect_leader()
        successor.report_all()
        leader.run_cycle()
        assert leader.term.ended.is_set()
        assert not running(fleet)

    def test_roster_names_all_workers(self, fleet, leader):
        item = fleet.store.get(rosters.ROSTER_KEY)
        incarnations = rosters.decode(item.value).lives
        assert [incarnation[0] for incarnation in incarnations] == [
            'worker-0',
            'worker-1',
            'worker-2',
        ]


class TestAcknowledgement:
    # A worker forgets an end once it is acknowledged. If the end were not
    # stored by then, a crash of the leader would lose it.
    def test_ends_are_stored_first(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        finish(fleet, f'{job_id}.0.0.0')
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
        done = service.remove_jobs(
            leader.scheduler, leader.writer, expired_jobs
        )
        leader.flush()
        return expired_jobs, done

    def test_ended_jobs_are_removed(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        running_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        finish(fleet, f'{job_id}.0.0.0')
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
        finish(fleet, f'{job_id}.0.0.0')
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
        finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        leader.advance(self.RETENTION_MS + 1)
        self.remove(leader)
        leader.scheduler.add_job(
            job_id, records.decode_job(item.value), item.create_revision
        )
        leader.run_cycle()
        assert not running(fleet)

    def test_cancellation_of_an_unknown_job_is_removed(self, fleet, leader):
        fleet.intake.cancel('f' * 16, 't')
        leader.run_cycle()
        leader.advance(self.RETENTION_MS + 1)
        self.remove(leader)
        assert not fleet.store.range(records.CANCEL_PREFIX).items


class TestBestEffort:
    def test_best_effort_task_needs_memory_only(self, fleet, leader):
        fleet.submit(harness.make_step(3, cpu_milli=8000))
        fleet.submit(harness.make_step(3, cpu_milli=8000, fills=True))
        leader.run_cycle()
        assert len(running(fleet)) == 6


class TestWaitingCounts:
    def test_started_jobs_do_not_count(self, fleet, leader):
        fleet.submit(harness.make_step())
        fleet.submit(harness.make_step(label='none'))
        leader.run_cycle()
        waiting = leader.scheduler.waiting_jobs()
        assert waiting.counts == {'q': 1}
        assert waiting.held == {'q': {state.HeldReason.NO_ROOM.value: 1}}


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

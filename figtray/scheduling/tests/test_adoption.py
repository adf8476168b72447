"""Tests of the adoption of the runs of earlier leaders."""

import dataclasses

import pytest

from figtray.fleet import model as fleet_model
from figtray.jobs import records
from figtray.scheduling import roster as rosters
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers


class TestTakeover:
    def test_running_tasks_are_adopted(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        before = harness.running(fleet)
        leader = fleet.elect_leader()
        leader.report_all()
        leader.run_cycle()
        assert harness.running(fleet) == before
        for task in before:
            harness.finish(fleet, task)
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
        [(number, _)] = harness.running(fleet)[f'{job_id}.0.0.0']
        fleet.store.down = True
        harness.finish(fleet, f'{job_id}.0.0.0')
        leader.run_cycle()
        leader.run_cycle()
        before = harness.running(fleet)
        assert set(before) == {f'{job_id}.0.1.0', f'{job_id}.0.1.1'}
        fleet.store.down = False
        leader = fleet.elect_leader()
        others = [n for n in range(3) if n != number]
        for n in [*others, number]:
            leader.report(n)
        leader.run_cycle()
        leader.run_cycle()
        assert harness.running(fleet) == before

    # A worker that has not reported to the new leader may still run any task
    # of an earlier term, until its lease expires.
    def test_tasks_of_earlier_terms_wait_for_all_workers(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = harness.running(fleet)[f'{job_id}.0.0.0']
        unresponsive = fleet.sim(number).worker
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == unresponsive else 'ok'
        )
        leader = fleet.elect_leader()
        leader.report_all()
        for _ in range(75):
            leader.advance(100)
            fleet.sim(number).expire()
            leader.sync_workers()
            leader.run_cycle()
            assert len(harness.running(fleet).get(f'{job_id}.0.0.0', [])) <= 1
        assert harness.running(fleet)[f'{job_id}.0.0.0'][0][0] != number

    # A later incarnation at its address proves that an earlier one has ended.
    # Without this rule, a lasting task waited for the lease of a crashed
    # worker to expire (hgcb-sched, scale-1, seed 168422647708).
    @pytest.mark.parametrize('same_id', [True, False])
    def test_later_incarnation_at_the_address_frees_tasks(
        self, fleet, leader, same_id
    ):
        job_id = fleet.submit(harness.make_step())
        leader.run_cycle()
        [(number, _)] = harness.running(fleet)[f'{job_id}.0.0.0']
        fleet.client.crash(f'10.0.0.{number}:80')
        former = fleet.workers.pop(f'worker-{number}')
        leader = fleet.elect_leader()
        leader.report_all()
        leader.run_cycle()
        assert not any(sim.runs for sim in harness.sims(fleet))
        later = dataclasses.replace(
            former,
            worker_id=former.worker_id if same_id else 'worker-9',
            born_ms=2,
        )
        fleet.workers[later.worker_id] = later
        fleet.client.add(later)
        leader.sync_workers()
        # A session asks at once for the first report.
        leader.report_all()
        leader.run_cycle()
        assert any(
            f'{job_id}.0.0.0' in sim.runs for sim in harness.sims(fleet)
        )

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
        [(number, _)] = harness.running(fleet)[f'{job_id}.0.0.0']
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
            for sim in harness.sims(fleet)
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
        assert f'{job_id}.0.0.0' in harness.running(fleet)

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
        assert len(harness.running(fleet)[f'{job_id}.0.0.0']) == 1

    def test_former_leader_ends_when_an_order_is_fenced(self, fleet, leader):
        fleet.submit(harness.make_step())
        successor = fleet.elect_leader()
        successor.report_all()
        leader.run_cycle()
        assert leader.term.ended.is_set()
        assert not harness.running(fleet)

    def test_roster_names_all_workers(self, fleet, leader):
        item = fleet.store.get(rosters.ROSTER_KEY)
        incarnations = rosters.decode(item.value).lives
        assert [incarnation[0] for incarnation in incarnations] == [
            'worker-0',
            'worker-1',
            'worker-2',
        ]


class TestWaitForTheTeamsLimit:
    LIMIT = 4

    # The needs of tasks that were held counted for longer than their leases
    # could last, or for good.
    @pytest.mark.parametrize('lasting', [True, False])
    @pytest.mark.parametrize('listed', [True, False])
    def test_needs_of_held_tasks_stay_counted(self, lasting, listed):
        fleet = harness.Fleet(
            4, harness.make_config(limit_milli=self.LIMIT * 1000)
        )
        leader = fleet.elect_leader()
        leader.report_all()
        fleet.submit(harness.make_step(2, lasting=lasting, max_per_worker=1))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        silent = {number for number in range(4) if fleet.sim(number).runs}
        assert len(silent) == 2
        takeovers.silence(fleet, *silent, listed=listed)
        fleet.submit(harness.make_step(self.LIMIT, lasting=True))
        leader = fleet.elect_leader()
        takeovers.play(leader, takeovers.LONGEST_LEASE_MS + takeovers.START_MS)
        places = [
            place
            for places in takeovers.running(fleet).values()
            for place in places
        ]
        assert len(places) == self.LIMIT
        assert not {worker_id for worker_id, _ in places} & {
            f'worker-{number}' for number in silent
        }

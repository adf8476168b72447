"""Tests of workers with more ends than one report lists."""

import pytest

from figtray.fleet import memory
from figtray.fleet import messages
from figtray.jobs import records
from figtray.scheduling import leases
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers

TASKS = 2 * memory.MAX_REPORTED_ENDS + 100


@pytest.fixture
def fleet():
    fleet = harness.Fleet(2)
    for number in range(2):
        fleet.resize(number, cpu_milli=TASKS, memory_mb=100 * TASKS)
    return fleet


def start_leader(fleet):
    leader = fleet.elect_leader()
    leader.sync_workers()
    leader.report_all()
    return leader


def start_all(fleet, leader, **fields):
    """Start a job with all tasks on the first worker; return its id."""
    leader.worker_state(1).set_cordoned('test', True)
    job_id = fleet.submit(harness.make_step(TASKS, 1, **fields))
    leader.sync_intake()
    leader.scheduler.plan()
    leader.flush()
    leader.deliver_orders(0, TASKS)
    leader.worker_state(1).set_cordoned('test', False)
    assert len(fleet.sim(0).runs) == TASKS
    return job_id


def end_all(fleet):
    sim = fleet.sim(0)
    for task in list(sim.runs):
        sim.end(task, messages.EndReason.DONE)


def count_starts(fleet):
    return sum(len(sim.starts) for sim in fleet.client.sims.values())


def play(leader, cycles):
    for _ in range(cycles):
        leader.advance(takeovers.CYCLE_MS)
        leader.sync_workers()
        leader.run_cycle()


class TestEndsBeyondAReport:
    # What the first report of a worker lacked was taken for lost.
    def test_done_tasks_start_again_after_a_change_of_the_leader(self, fleet):
        job_id = start_all(fleet, start_leader(fleet))
        end_all(fleet)
        leader = fleet.elect_leader()
        leader.sync_workers()
        play(leader, 20)
        assert count_starts(fleet) == TASKS
        assert leader.state(job_id) is records.State.COMPLETED
        assert not fleet.sim(0).ended

    def test_done_tasks_start_again_in_the_same_term(self, fleet):
        leader = start_leader(fleet)
        job_id = start_all(fleet, leader)
        leader.report_all()
        end_all(fleet)
        leader.advance(takeovers.CYCLE_MS)
        play(leader, 20)
        assert count_starts(fleet) == TASKS
        assert leader.state(job_id) is records.State.COMPLETED

    # Its first report ends the incarnation that the new leader awaits.
    def test_done_tasks_on_a_later_incarnation_start_again(self, fleet):
        leader = start_leader(fleet)
        fleet.client.crash('10.0.0.0:80')
        restarted = memory.make_worker(0, born_ms=2)
        fleet.client.add(restarted)
        fleet.resize(0, cpu_milli=TASKS, memory_mb=100 * TASKS)
        start_all(fleet, leader)
        end_all(fleet)
        fleet.workers[restarted.worker_id] = fleet.sim(0).worker
        leader = fleet.elect_leader()
        leader.sync_workers()
        play(leader, 20)
        assert count_starts(fleet) == TASKS

    # Nobody can read the ends that are left once the worker is gone.
    @pytest.mark.parametrize('is_gone', [True, False])
    def test_ends_that_nobody_can_read_hold_tasks_for_ever(
        self, fleet, is_gone
    ):
        start_all(fleet, start_leader(fleet))
        end_all(fleet)
        leader = fleet.elect_leader()
        leader.sync_workers()
        leader.report(0)
        if is_gone:
            takeovers.leave(fleet, 0)
        else:
            takeovers.silence(fleet, 0)
        wait_ms = leases.longest_lease_ms(harness.BOUNDS)
        play(leader, wait_ms // takeovers.CYCLE_MS + 10)
        sim = fleet.sim(1)
        assert len(sim.starts) == TASKS - memory.MAX_REPORTED_ENDS

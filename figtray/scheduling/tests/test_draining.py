"""Tests of cordons, which owners state as full sets of workers."""

import pytest

from figtray.scheduling.tests import harness


@pytest.fixture
def fleet():
    return harness.Fleet(2)


def cordoned(leader):
    """Return the cordon_reason of each cordoned worker, by worker id."""
    return {
        worker_state.worker.worker_id: worker_state.cordon_reason
        for worker_state in leader.scheduler.worker_states()
        if worker_state.cordon_reason
    }


class TestSetCordoned:
    # An owner that forgets a worker would leave it cordoned for ever.
    def test_worker_outside_the_set_stays_cordoned(self, leader):
        leader.scheduler.set_cordoned('move', {'worker-0'})
        leader.scheduler.set_cordoned('move', {'worker-1'})
        assert cordoned(leader) == {'worker-1': 'move'}
        leader.scheduler.set_cordoned('move', set())
        assert not cordoned(leader)

    # Otherwise tasks start on a host that the other owner still drains.
    @pytest.mark.parametrize('reason', ['move', 'upkeep'])
    def test_one_reason_clears_the_other(self, leader, reason):
        leader.scheduler.set_cordoned('move', {'worker-0'})
        leader.scheduler.set_cordoned('upkeep', {'worker-0'})
        assert cordoned(leader) == {'worker-0': 'move, upkeep'}
        leader.scheduler.set_cordoned(reason, set())
        assert not leader.scheduler.is_schedulable('worker-0')
        assert leader.scheduler.pool_loads()['main'].workers == 1

    def test_task_starts_on_cordoned_worker(self, fleet, leader):
        leader.scheduler.set_cordoned('move', {'worker-0', 'worker-1'})
        fleet.submit(harness.make_step(2, 1000))
        leader.run_cycle()
        assert not fleet.sim(0).runs and not fleet.sim(1).runs

    # Tasks that found all workers cordoned would wait for another event.
    def test_waiting_tasks_miss_the_end_of_a_cordon(self, fleet, leader):
        leader.scheduler.set_cordoned('move', {'worker-0', 'worker-1'})
        fleet.submit(harness.make_step(2, 1000))
        leader.run_cycle()
        leader.scheduler.changed.clear()
        leader.scheduler.set_cordoned('move', {'worker-1'})
        assert leader.scheduler.changed.is_set()
        leader.run_cycle()
        assert len(fleet.sim(0).runs) == 2


class TestWorkerWithoutEntry:
    # An incarnation of the roster without an entry was the cheapest worker to
    # drain, and its pool seemed to lack hosts while entries were not back.
    def test_it_counts_as_a_worker(self, fleet, leader):
        del leader
        fleet.client.choose_fault = lambda *_: 'not sent'
        fleet.workers.clear()
        leader = fleet.elect_leader()
        assert leader.worker_state(0) is not None
        assert not leader.scheduler.is_schedulable('worker-0')
        assert not leader.scheduler.pool_loads()

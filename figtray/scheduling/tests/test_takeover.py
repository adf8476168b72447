"""Tests of a takeover while some workers of earlier terms are unresolved."""

import pytest

from figtray.fleet import messages
from figtray.jobs import records
from figtray.scheduling import leases
from figtray.scheduling import roster as rosters
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray.store import base


@pytest.fixture
def fleet():
    # The slowest clocks make the leases last as long as they can.
    return harness.Fleet(4, rate=leases.SLOWEST_CLOCK_RATE)


class TestWorkerThatLeft:
    # Only the longest lease ended the wait for a worker without an entry.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_its_tasks_wait_for_its_lease(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = takeovers.place(fleet, task)
        takeovers.leave(fleet, number)
        takeovers.play(fleet.elect_leader(), takeovers.FIND_GONE_MS)
        assert takeovers.place(fleet, task) != number

    @pytest.mark.parametrize('lasting', [True, False])
    def test_tasks_of_other_workers_wait(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = takeovers.place(fleet, task)
        takeovers.leave(fleet, (number + 1) % 4)
        fleet.sim(number).end(task, messages.EndReason.FAILED)
        takeovers.play(fleet.elect_leader(), takeovers.FIND_GONE_MS)
        assert task in takeovers.running(fleet)

    # The entry of a worker stays in the store for a while after its end.
    def test_listed_worker_that_left_is_awaited(self, fleet, leader):
        first, second = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        fleet.client.crash(f'10.0.0.{number}:80')
        del fleet.hosts[f'host-{number}']
        takeovers.play(fleet.elect_leader(), takeovers.FIND_GONE_MS)
        assert set(takeovers.running(fleet)) == {first, second}

    # The roster of the next term must name it, until it is known to be gone.
    def test_second_takeover_forgets_to_ask(self, fleet, leader):
        first, second = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.leave(fleet, number)
        takeovers.play(fleet.elect_leader(), takeovers.CYCLE_MS)
        takeovers.play(fleet.elect_leader(), takeovers.FIND_GONE_MS)
        assert set(takeovers.running(fleet)) == {first, second}


class TestWorkerWithoutEntry:
    # The lease of a run that no leader adopts expires.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_its_runs_are_given_up(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(4, lasting=lasting))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        before = takeovers.running(fleet)
        assert len(before) == 4
        fleet.workers.pop(
            f'worker-{takeovers.place(fleet, f"{job_id}.0.0.0")}'
        )
        takeovers.play(fleet.elect_leader(), 2 * takeovers.LONGEST_LEASE_MS)
        assert takeovers.running(fleet) == before

    # An end that the leader doesn't ask for is lost, and the task runs again.
    def test_end_of_its_run_is_missed(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = takeovers.place(fleet, task)
        fleet.workers.pop(f'worker-{number}')
        fleet.sim(number).end(task, messages.EndReason.DONE)
        leader = fleet.elect_leader()
        takeovers.play(leader, takeovers.FIND_GONE_MS)
        assert not takeovers.running(fleet)
        assert leader.state(job_id).ended

    # A single refused connection may be a fault of the network.
    def test_one_refused_connection_ends_its_runs(self, fleet, leader):
        before = takeovers.submit_pair(fleet, leader)
        places = takeovers.running(fleet)
        number = takeovers.place(fleet, before[0])
        fleet.workers.pop(f'worker-{number}')
        leader = fleet.elect_leader()
        fleet.sim(number).up = False
        leader.report_all()
        fleet.sim(number).up = True
        takeovers.play(leader, 2 * takeovers.LONGEST_LEASE_MS)
        assert takeovers.running(fleet) == places

    # A worker that can't reach the store may be about to end.
    def test_new_tasks_start_on_it(self, fleet, leader):
        [*tasks] = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, tasks[0])
        fleet.workers.pop(f'worker-{number}')
        starts = list(fleet.sim(number).starts)
        leader = fleet.elect_leader()
        fleet.submit(harness.make_step(12))
        fleet.submit(harness.make_step(6, lasting=True))
        takeovers.play(leader, 2 * takeovers.LONGEST_LEASE_MS)
        assert len(takeovers.running(fleet)) == 20
        assert fleet.sim(number).starts == starts

    # An idle worker that was cut off from the store got no task for 5 s after
    # its entry was back.
    def test_idle_worker_is_ignored_as_its_entry_returns(self, fleet, leader):
        workers, fleet.workers = fleet.workers, {}
        takeovers.play(leader, 3 * takeovers.CYCLE_MS)
        fleet.workers = workers
        fleet.submit(harness.make_step(4, cpu_milli=8000))
        takeovers.play(leader, takeovers.START_MS)
        assert len(takeovers.running(fleet)) == 4

    # Entries expire during an outage of the store and are back soon after it.
    def test_returned_entry_is_ignored(self, fleet, leader):
        workers, fleet.workers = fleet.workers, {}
        leader = fleet.elect_leader()
        takeovers.play(leader, 10 * takeovers.CYCLE_MS)
        fleet.workers = workers
        fleet.submit(harness.make_step(4, cpu_milli=8000))
        takeovers.play(leader, takeovers.START_MS)
        assert len(takeovers.running(fleet)) == 4


@pytest.mark.parametrize('listed', [True, False])
class TestSilentWorker:
    # A lasting task whose last run is known to be over was held as well.
    def test_task_that_ended_elsewhere_waits(self, fleet, leader, listed):
        first, second = takeovers.submit_pair(fleet, leader)
        other = takeovers.place(fleet, second)
        takeovers.silence(fleet, takeovers.place(fleet, first), listed=listed)
        fleet.sim(other).end(second, messages.EndReason.FAILED)
        takeovers.play(fleet.elect_leader(), takeovers.START_MS)
        assert second in takeovers.running(fleet)

    # The end is not listed any more if the former leader has recorded it.
    def test_task_that_a_report_lacks_waits(self, fleet, leader, listed):
        first, second = takeovers.submit_pair(fleet, leader)
        other = takeovers.place(fleet, second)
        takeovers.silence(fleet, takeovers.place(fleet, first), listed=listed)
        fleet.sim(other).end(second, messages.EndReason.FAILED)
        for _ in range(3):
            leader.report(other)
        assert not fleet.sim(other).ended
        takeovers.play(fleet.elect_leader(), takeovers.START_MS)
        assert second in takeovers.running(fleet)

    def test_task_of_a_restarted_worker_waits(self, fleet, leader, listed):
        first, second = takeovers.submit_pair(fleet, leader)
        other = takeovers.place(fleet, second)
        takeovers.silence(fleet, takeovers.place(fleet, first), listed=listed)
        fleet.client.crash(f'10.0.0.{other}:80')
        fleet.add_worker(other, born_ms=2)
        takeovers.play(fleet.elect_leader(), takeovers.START_MS)
        assert second in takeovers.running(fleet)

    def test_task_that_never_ran_waits(self, fleet, leader, listed):
        takeovers.submit_pair(fleet, leader)
        job_id = fleet.submit(harness.make_step(2, lasting=True))
        leader.sync_intake()
        takeovers.silence(fleet, 0, listed=listed)
        takeovers.play(fleet.elect_leader(), takeovers.START_MS)
        assert {f'{job_id}.0.0.0', f'{job_id}.0.0.1'} <= set(
            takeovers.running(fleet)
        )

    # It may wait for room after a run that is known to be over.
    def test_task_without_a_run_waits_for_its_last_worker(
        self, fleet, leader, listed
    ):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        leader.scheduler.set_cordoned('a test', set(fleet.workers))
        fleet.sim(number).end(first, messages.EndReason.FAILED)
        takeovers.play(leader, 3 * takeovers.CYCLE_MS)
        assert first not in takeovers.running(fleet)
        takeovers.silence(fleet, number, listed=listed)
        takeovers.play(fleet.elect_leader(), takeovers.START_MS)
        assert first in takeovers.running(fleet)

    # play() checks that no second run starts.
    def test_its_own_task_starts_too_early(self, fleet, leader, listed):
        first, second = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.silence(fleet, number, listed=listed)
        takeovers.play(
            fleet.elect_leader(),
            takeovers.LONGEST_LEASE_MS + takeovers.START_MS,
        )
        assert takeovers.place(fleet, first) != number
        assert second in takeovers.running(fleet)

    # Each leader stores the progress of a job anew. If one left out where the
    # task may run, the next would start it a second time.
    def test_second_takeover_forgets_its_task(self, fleet, leader, listed):
        first, second = takeovers.submit_pair(fleet, leader)
        number, other = takeovers.place(fleet, first), takeovers.place(
            fleet, second
        )
        takeovers.silence(fleet, number, listed=listed)
        fleet.sim(other).end(second, messages.EndReason.FAILED)
        takeovers.play(fleet.elect_leader(), 10 * takeovers.CYCLE_MS)
        takeovers.play(
            fleet.elect_leader(),
            takeovers.LONGEST_LEASE_MS + takeovers.START_MS,
        )
        assert takeovers.place(fleet, first) != number
        assert second in takeovers.running(fleet)

    # A run that the former leader has stopped may still go on there.
    def test_stopped_task_starts_too_early(self, fleet, leader, listed):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.silence(fleet, number, listed=listed)
        leader.scheduler.set_cordoned('a test', {f'worker-{number}'})
        leader.scheduler.drain_worker(f'worker-{number}')
        leader.run_cycle()
        takeovers.play(
            fleet.elect_leader(),
            takeovers.LONGEST_LEASE_MS + takeovers.START_MS,
        )
        assert takeovers.place(fleet, first) != number


class TestRosterOfAnEarlierRelease:
    # Leaders of earlier releases started lasting tasks without a record.
    def test_unrecorded_task_starts_too_early(self, fleet, leader):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        job_id = first.split('.')[0]
        data = rosters.encode(leader.scheduler.roster())
        written = [
            base.Put(records.PROGRESS_PREFIX + job_id, b'{"state":"running"}'),
            base.Put(
                rosters.ROSTER_KEY,
                data.replace(b',"placements_recorded":true', b''),
            ),
        ]
        fleet.store.txn([], written)
        takeovers.silence(fleet, number)
        leader = fleet.elect_leader()
        takeovers.play(
            leader, takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS
        )
        assert takeovers.place(fleet, first) == number
        # The record is incomplete until the wait is over.
        assert not leader.scheduler.roster().placements_recorded
        takeovers.play(leader, takeovers.LEASE_LEFT_MS + takeovers.START_MS)
        assert takeovers.place(fleet, first) != number
        assert leader.scheduler.roster().placements_recorded


class TestLimitOfTheTeam:
    # A held task may run out of sight, so it counts towards the limit.
    def test_held_task_is_not_counted(self):
        fleet = harness.Fleet(4, harness.make_config(limit_milli=4000))
        leader = fleet.elect_leader()
        leader.report_all()
        first, second = takeovers.submit_pair(fleet, leader)
        takeovers.silence(fleet, takeovers.place(fleet, first))
        fleet.submit(harness.make_step(6, lasting=True))
        takeovers.play(fleet.elect_leader(), takeovers.START_MS)
        assert len(takeovers.running(fleet)) == 4

    # Tasks that end may also run out of sight, and lasting ones of earlier
    # terms start beside them.
    def test_unknown_runs_are_not_counted(self):
        fleet = harness.Fleet(4, harness.make_config(limit_milli=6000))
        leader = fleet.elect_leader()
        leader.report_all()
        fleet.submit(harness.make_step(6))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        fleet.submit(harness.make_step(4, lasting=True))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        assert len(takeovers.running(fleet)) == 6
        takeovers.silence(fleet, *(n for n in range(4) if fleet.sim(n).runs))
        fleet.add_worker(9)
        takeovers.play(fleet.elect_leader(), takeovers.START_MS)
        assert len(takeovers.running(fleet)) == 6

    # What runs out of sight was started before the workers shrank.
    def test_needs_out_of_sight_are_limited_to_a_shrunk_worker(self):
        fleet = harness.Fleet(1, harness.make_config(limit_milli=6000))
        leader = fleet.elect_leader()
        leader.report_all()
        fleet.submit(harness.make_step(6))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        fleet.submit(harness.make_step(4, lasting=True))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        assert len(takeovers.running(fleet)) == 6
        takeovers.silence(fleet, 0)
        fleet.resize(0, cpu_milli=1000)
        fleet.add_worker(9)
        fleet.resize(9, cpu_milli=4000)
        leader = fleet.elect_leader()
        leader.scheduler.reconcile_hosts(fleet.hosts)
        takeovers.play(leader, takeovers.START_MS)
        assert len(takeovers.running(fleet)) == 6


class TestEntryThatLapses:
    # A silent worker without an entry was taken for one that has ended,
    # although it had not reported yet.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_silent_worker_is_taken_for_ended(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = takeovers.place(fleet, task)
        takeovers.silence(fleet, number)
        leader = fleet.elect_leader()
        takeovers.play(leader, 3 * takeovers.CYCLE_MS)
        fleet.workers.pop(f'worker-{number}')
        takeovers.play(
            leader, takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS
        )
        assert takeovers.place(fleet, task) == number
        takeovers.play(leader, takeovers.LEASE_LEFT_MS + takeovers.START_MS)
        assert takeovers.place(fleet, task) != number

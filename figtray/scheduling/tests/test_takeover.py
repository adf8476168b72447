"""Tests of a takeover while some workers of earlier terms are unresolved."""

import dataclasses

import pytest

from figtray import errors
from figtray.fleet import memory
from figtray.fleet import messages
from figtray.fleet import model as fleet_model
from figtray.jobs import records
from figtray.scheduling import leases
from figtray.scheduling import roster as rosters
from figtray.scheduling.tests import harness
from figtray.store import base

# Interval at which the leader plans and asks the workers in these tests.
CYCLE_MS = 100
# A worker that refuses connections is found to be gone within this time.
FIND_GONE_MS = 1000
# A task that is certainly not running starts within this time.
START_MS = 500
# A run on a silent worker goes on until this long before the longest lease
# ends.
LEASE_LEFT_MS = 1000
LONGEST_LEASE_MS = leases.longest_lease_ms(harness.BOUNDS)


@pytest.fixture
def fleet():
    # The slowest clocks make the leases last as long as they can.
    return harness.Fleet(4, rate=leases.SLOWEST_CLOCK_RATE)


@pytest.fixture
def leader(fleet):
    leader = fleet.elect_leader()
    leader.report_all()
    return leader


def running(fleet):
    """Return {task: [(worker id, run)]} of all runs on workers that are up."""
    found = {}
    for sim in fleet.client.sims.values():
        if sim.up:
            for run in sim.runs.values():
                place = (sim.worker.worker_id, run.run)
                found.setdefault(run.task, []).append(place)
    return found


def place(fleet, task):
    """Return the number of the worker on which a task runs."""
    [(worker_id, _)] = running(fleet)[task]
    return int(worker_id.removeprefix('worker-'))


def play(leader, ms):
    """Let a leader work for a while; no task may run twice at a time."""
    for _ in range(ms // CYCLE_MS):
        leader.advance(CYCLE_MS)
        leader.fleet.client.expire()
        leader.sync_workers()
        leader.run_cycle()
        found = running(leader.fleet)
        assert all(len(runs) == 1 for runs in found.values()), found


def leave(fleet, number):
    """End a worker for good, with its entry in the store and its host."""
    fleet.workers.pop(f'worker-{number}', None)
    fleet.hosts.pop(f'host-{number}', None)
    fleet.client.crash(f'10.0.0.{number}:80')


def silence(fleet, *numbers, listed=True):
    """Let no call reach some workers, whose processes go on."""
    ids = {f'worker-{number}' for number in numbers}
    fleet.client.choose_fault = lambda _, worker: (
        'not sent' if worker.worker_id in ids else 'ok'
    )
    if not listed:
        for worker_id in ids:
            fleet.workers.pop(worker_id, None)


def refuse(fleet, number):
    """Let a worker refuse connections, whose process goes on."""

    def choose_fault(_, worker):
        if worker.worker_id == f'worker-{number}':
            raise errors.CallNotSent(
                address=worker.address, detail='refused', refused=True
            )
        return 'ok'

    fleet.client.choose_fault = choose_fault


def set_down(fleet, number):
    """List the host of a worker as down, without a worker."""
    fleet.hosts[f'host-{number}'] = dataclasses.replace(
        fleet.hosts[f'host-{number}'],
        state=fleet_model.HostState.DOWN,
        worker_id='',
    )


def submit_pair(fleet, leader):
    """Start a lasting job of two tasks on two workers.

    Returns:
        Names of the tasks.
    """
    step = harness.make_step(2, lasting=True, max_per_worker=1)
    job_id = fleet.submit(step)
    play(leader, 2 * CYCLE_MS)
    return f'{job_id}.0.0.0', f'{job_id}.0.0.1'


class TestWorkerThatLeft:
    # Only the longest lease ended the wait for a worker without an entry.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_its_tasks_wait_for_its_lease(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        play(leader, 2 * CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = place(fleet, task)
        leave(fleet, number)
        play(fleet.elect_leader(), FIND_GONE_MS)
        assert place(fleet, task) != number

    @pytest.mark.parametrize('lasting', [True, False])
    def test_tasks_of_other_workers_wait(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        play(leader, 2 * CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = place(fleet, task)
        leave(fleet, (number + 1) % 4)
        fleet.sim(number).end(task, messages.EndReason.FAILED)
        play(fleet.elect_leader(), FIND_GONE_MS)
        assert task in running(fleet)

    # The entry of a worker stays in the store for a while after its end.
    def test_listed_worker_that_left_is_awaited(self, fleet, leader):
        first, second = submit_pair(fleet, leader)
        number = place(fleet, first)
        fleet.client.crash(f'10.0.0.{number}:80')
        del fleet.hosts[f'host-{number}']
        play(fleet.elect_leader(), FIND_GONE_MS)
        assert set(running(fleet)) == {first, second}

    # The roster of the next term must name it, until it is known to be gone.
    def test_second_takeover_forgets_to_ask(self, fleet, leader):
        first, second = submit_pair(fleet, leader)
        number = place(fleet, first)
        leave(fleet, number)
        play(fleet.elect_leader(), CYCLE_MS)
        play(fleet.elect_leader(), FIND_GONE_MS)
        assert set(running(fleet)) == {first, second}


class TestWorkerWithoutEntry:
    # The lease of a run that no leader adopts expires.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_its_runs_are_given_up(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(4, lasting=lasting))
        play(leader, 2 * CYCLE_MS)
        before = running(fleet)
        assert len(before) == 4
        fleet.workers.pop(f'worker-{place(fleet, f"{job_id}.0.0.0")}')
        play(fleet.elect_leader(), 2 * LONGEST_LEASE_MS)
        assert running(fleet) == before

    # An end that the leader doesn't ask for is lost, and the task runs again.
    def test_end_of_its_run_is_missed(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        play(leader, 2 * CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = place(fleet, task)
        fleet.workers.pop(f'worker-{number}')
        fleet.sim(number).end(task, messages.EndReason.DONE)
        leader = fleet.elect_leader()
        play(leader, FIND_GONE_MS)
        assert not running(fleet)
        assert leader.state(job_id).ended

    # A single refused connection may be a fault of the network.
    def test_one_refused_connection_ends_its_runs(self, fleet, leader):
        before = submit_pair(fleet, leader)
        places = running(fleet)
        number = place(fleet, before[0])
        fleet.workers.pop(f'worker-{number}')
        leader = fleet.elect_leader()
        fleet.sim(number).up = False
        leader.report_all()
        fleet.sim(number).up = True
        play(leader, 2 * LONGEST_LEASE_MS)
        assert running(fleet) == places

    # A worker that can't reach the store may be about to end.
    def test_new_tasks_start_on_it(self, fleet, leader):
        [*tasks] = submit_pair(fleet, leader)
        number = place(fleet, tasks[0])
        fleet.workers.pop(f'worker-{number}')
        starts = list(fleet.sim(number).starts)
        leader = fleet.elect_leader()
        fleet.submit(harness.make_step(12))
        fleet.submit(harness.make_step(6, lasting=True))
        play(leader, 2 * LONGEST_LEASE_MS)
        assert len(running(fleet)) == 20
        assert fleet.sim(number).starts == starts

    # Entries expire during an outage of the store and are back soon after it.
    def test_returned_entry_is_ignored(self, fleet, leader):
        workers, fleet.workers = fleet.workers, {}
        leader = fleet.elect_leader()
        play(leader, 10 * CYCLE_MS)
        fleet.workers = workers
        fleet.submit(harness.make_step(4, cpu_milli=8000))
        play(leader, START_MS)
        assert len(running(fleet)) == 4


@pytest.mark.parametrize('listed', [True, False])
class TestSilentWorker:
    # A lasting task whose last run is known to be over was held as well.
    def test_task_that_ended_elsewhere_waits(self, fleet, leader, listed):
        first, second = submit_pair(fleet, leader)
        other = place(fleet, second)
        silence(fleet, place(fleet, first), listed=listed)
        fleet.sim(other).end(second, messages.EndReason.FAILED)
        play(fleet.elect_leader(), START_MS)
        assert second in running(fleet)

    # The end is not listed any more if the former leader has recorded it.
    def test_task_that_a_report_lacks_waits(self, fleet, leader, listed):
        first, second = submit_pair(fleet, leader)
        other = place(fleet, second)
        silence(fleet, place(fleet, first), listed=listed)
        fleet.sim(other).end(second, messages.EndReason.FAILED)
        for _ in range(3):
            leader.report(other)
        assert not fleet.sim(other).ended
        play(fleet.elect_leader(), START_MS)
        assert second in running(fleet)

    def test_task_of_a_restarted_worker_waits(self, fleet, leader, listed):
        first, second = submit_pair(fleet, leader)
        other = place(fleet, second)
        silence(fleet, place(fleet, first), listed=listed)
        fleet.client.crash(f'10.0.0.{other}:80')
        fleet.add_worker(other, born_ms=2)
        play(fleet.elect_leader(), START_MS)
        assert second in running(fleet)

    def test_task_that_never_ran_waits(self, fleet, leader, listed):
        submit_pair(fleet, leader)
        job_id = fleet.submit(harness.make_step(2, lasting=True))
        leader.sync_intake()
        silence(fleet, 0, listed=listed)
        play(fleet.elect_leader(), START_MS)
        assert {f'{job_id}.0.0.0', f'{job_id}.0.0.1'} <= set(running(fleet))

    # It may wait for room after a run that is known to be over.
    def test_task_without_a_run_waits_for_its_last_worker(
        self, fleet, leader, listed
    ):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        leader.scheduler.set_cordoned('a test', set(fleet.workers))
        fleet.sim(number).end(first, messages.EndReason.FAILED)
        play(leader, 3 * CYCLE_MS)
        assert first not in running(fleet)
        silence(fleet, number, listed=listed)
        play(fleet.elect_leader(), START_MS)
        assert first in running(fleet)

    # play() checks that no second run starts.
    def test_its_own_task_starts_too_early(self, fleet, leader, listed):
        first, second = submit_pair(fleet, leader)
        number = place(fleet, first)
        silence(fleet, number, listed=listed)
        play(fleet.elect_leader(), LONGEST_LEASE_MS + START_MS)
        assert place(fleet, first) != number
        assert second in running(fleet)

    # Each leader stores the progress of a job anew. If one left out where the
    # task may run, the next would start it a second time.
    def test_second_takeover_forgets_its_task(self, fleet, leader, listed):
        first, second = submit_pair(fleet, leader)
        number, other = place(fleet, first), place(fleet, second)
        silence(fleet, number, listed=listed)
        fleet.sim(other).end(second, messages.EndReason.FAILED)
        play(fleet.elect_leader(), 10 * CYCLE_MS)
        play(fleet.elect_leader(), LONGEST_LEASE_MS + START_MS)
        assert place(fleet, first) != number
        assert second in running(fleet)

    # A run that the former leader has stopped may still go on there.
    def test_stopped_task_starts_too_early(self, fleet, leader, listed):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        silence(fleet, number, listed=listed)
        leader.scheduler.set_cordoned('a test', {f'worker-{number}'})
        leader.scheduler.drain_worker(f'worker-{number}')
        leader.run_cycle()
        play(fleet.elect_leader(), LONGEST_LEASE_MS + START_MS)
        assert place(fleet, first) != number


class TestHostList:
    # A link that is cut may refuse connections while the runs go on.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_refused_connections_end_runs(self, fleet, leader, new_leader):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        refuse(fleet, number)
        if new_leader:
            leader = fleet.elect_leader()
        play(leader, LONGEST_LEASE_MS - LEASE_LEFT_MS)
        assert place(fleet, first) == number
        play(leader, LEASE_LEFT_MS + START_MS)
        assert place(fleet, first) != number

    # A host that has crashed refuses connections until it is back.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_crashed_worker_is_awaited(self, fleet, leader, new_leader):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        fleet.client.crash(f'10.0.0.{number}:80')
        set_down(fleet, number)
        if new_leader:
            leader = fleet.elect_leader()
        play(leader, FIND_GONE_MS)
        assert place(fleet, first) != number

    # A host without power answers no more, until its lease is over.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_silent_worker_of_a_lost_host_is_awaited(
        self, fleet, leader, new_leader
    ):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        silence(fleet, number, listed=False)
        fleet.client.crash(f'10.0.0.{number}:80')
        set_down(fleet, number)
        if new_leader:
            leader = fleet.elect_leader()
        play(leader, FIND_GONE_MS)
        assert place(fleet, first) != number

    # A host that is cut off may be listed as down; its worker's entry stays.
    def test_listed_worker_of_a_host_that_is_down_is_ended(
        self, fleet, leader
    ):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        silence(fleet, number)
        set_down(fleet, number)
        play(leader, LONGEST_LEASE_MS - LEASE_LEFT_MS)
        assert place(fleet, first) == number

    # The list may still show a move that is over, or the worker before.
    @pytest.mark.parametrize(
        'fields',
        [
            {'state': fleet_model.HostState.MOVING},
            {'worker_id': 'worker-before'},
        ],
    )
    def test_lagging_list_ends_a_listed_worker(self, fleet, leader, fields):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        silence(fleet, number)
        fleet.hosts[f'host-{number}'] = dataclasses.replace(
            fleet.hosts[f'host-{number}'], **fields
        )
        play(fleet.elect_leader(), LONGEST_LEASE_MS - LEASE_LEFT_MS)
        assert place(fleet, first) == number

    # The entry of the former worker of a host that was moved stays a while.
    def test_former_worker_of_a_moved_host_is_awaited(self, fleet, leader):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        silence(fleet, number)
        fleet.client.crash(f'10.0.0.{number}:80')
        later = dataclasses.replace(
            memory.make_worker(9, born_ms=2), host_id=f'host-{number}'
        )
        fleet.workers[later.worker_id] = later
        fleet.client.add(later)
        play(fleet.elect_leader(), FIND_GONE_MS)
        assert place(fleet, first) != number

    # A host that was taken away answers no more.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_silent_worker_without_a_host_is_awaited(
        self, fleet, leader, new_leader
    ):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        leave(fleet, number)
        silence(fleet, number, listed=False)
        if new_leader:
            leader = fleet.elect_leader()
        play(leader, FIND_GONE_MS)
        assert place(fleet, first) != number

    # A host may be missing from a single list, or from an empty one.
    @pytest.mark.parametrize('listed', [True, False])
    @pytest.mark.parametrize('lose', [silence, refuse])
    def test_single_list_ends_runs(self, fleet, leader, listed, lose):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
        lose(fleet, number)
        play(leader, 3 * CYCLE_MS)
        hosts, fleet.hosts = fleet.hosts, {}
        if listed:
            fleet.hosts = hosts | {}
            del fleet.hosts[f'host-{number}']
        play(leader, CYCLE_MS)
        fleet.hosts = hosts
        play(leader, LONGEST_LEASE_MS - LEASE_LEFT_MS)
        assert place(fleet, first) == number

    # The list may lag behind the entry of a worker on a new host.
    def test_lagging_list_ends_runs_on_a_new_host(self, fleet, leader):
        fleet.add_worker(7)
        del fleet.hosts['host-7']
        leader.scheduler.set_cordoned('a test', set(fleet.workers))
        leader.sync_workers()
        leader.report_all()
        task = f'{fleet.submit(harness.make_step(lasting=True))}.0.0.0'
        play(leader, 3 * CYCLE_MS)
        assert place(fleet, task) == 7
        leader.scheduler.set_cordoned('a test', set())
        silence(fleet, 7)
        play(leader, LONGEST_LEASE_MS - LEASE_LEFT_MS)
        assert place(fleet, task) == 7


class TestRosterOfAnEarlierRelease:
    # Leaders of earlier releases started lasting tasks without a record.
    def test_unrecorded_task_starts_too_early(self, fleet, leader):
        first, _ = submit_pair(fleet, leader)
        number = place(fleet, first)
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
        silence(fleet, number)
        leader = fleet.elect_leader()
        play(leader, LONGEST_LEASE_MS - LEASE_LEFT_MS)
        assert place(fleet, first) == number
        # The record is incomplete until the wait is over.
        assert not leader.scheduler.roster().placements_recorded
        play(leader, LEASE_LEFT_MS + START_MS)
        assert place(fleet, first) != number
        assert leader.scheduler.roster().placements_recorded


class TestLimitOfTheTeam:
    # A held task may run out of sight, so it counts towards the limit.
    def test_held_task_is_not_counted(self):
        fleet = harness.Fleet(4, harness.make_config(limit_milli=4000))
        leader = fleet.elect_leader()
        leader.report_all()
        first, second = submit_pair(fleet, leader)
        silence(fleet, place(fleet, first))
        fleet.submit(harness.make_step(6, lasting=True))
        play(fleet.elect_leader(), START_MS)
        assert len(running(fleet)) == 4

    # Tasks that end may also run out of sight, and lasting ones of earlier
    # terms start beside them.
    def test_unknown_runs_are_not_counted(self):
        fleet = harness.Fleet(4, harness.make_config(limit_milli=6000))
        leader = fleet.elect_leader()
        leader.report_all()
        fleet.submit(harness.make_step(6))
        play(leader, 2 * CYCLE_MS)
        fleet.submit(harness.make_step(4, lasting=True))
        play(leader, 2 * CYCLE_MS)
        assert len(running(fleet)) == 6
        silence(fleet, *(n for n in range(4) if fleet.sim(n).runs))
        fleet.add_worker(9)
        play(fleet.elect_leader(), START_MS)
        assert len(running(fleet)) == 6


class TestEntryThatLapses:
    # A silent worker without an entry was taken for one that has ended,
    # although it had not reported yet.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_silent_worker_is_taken_for_ended(self, fleet, leader, lasting):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        play(leader, 2 * CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = place(fleet, task)
        silence(fleet, number)
        leader = fleet.elect_leader()
        play(leader, 3 * CYCLE_MS)
        fleet.workers.pop(f'worker-{number}')
        play(leader, LONGEST_LEASE_MS - LEASE_LEFT_MS)
        assert place(fleet, task) == number
        play(leader, LEASE_LEFT_MS + START_MS)
        assert place(fleet, task) != number


class TestRecordOfPlacements:
    @pytest.fixture
    def job_id(self, fleet, leader):
        """A lasting job that the leader knows and has not started."""
        job_id = fleet.submit(harness.make_step(lasting=True))
        leader.sync_intake()
        return job_id

    def deliver_all(self, leader):
        """Send the next order to each worker, without writing."""
        for number in range(4):
            leader.deliver_orders(number, limit=1)

    def lose_leader(self, fleet):
        """Let the next leader work; the workers with runs are silent."""
        silence(
            fleet, *(n for n in range(4) if fleet.sim(n).runs), listed=False
        )
        play(fleet.elect_leader(), LONGEST_LEASE_MS + START_MS)

    # Without a stored record the next leader doesn't know that the task may
    # run on a silent worker.
    def test_start_is_sent_before_its_record(self, fleet, leader, job_id):
        fleet.store.down = True
        for _ in range(3):
            leader.run_cycle()
        assert not running(fleet)
        fleet.store.down = False
        for _ in range(3):
            leader.run_cycle()
        assert list(running(fleet)) == [f'{job_id}.0.0.0']

    def test_leader_is_lost_before_the_write(self, fleet, leader, job_id):
        leader.scheduler.plan()
        self.deliver_all(leader)
        self.lose_leader(fleet)
        assert list(running(fleet)) == [f'{job_id}.0.0.0']

    # The write takes effect, but its reply is lost.
    def test_reply_of_the_write_is_lost(self, fleet, leader, job_id):
        fleet.store.replies_to_lose = 1
        leader.scheduler.plan()
        leader.writer.flush_once()
        self.deliver_all(leader)
        fleet.store.replies_to_lose = 0
        self.lose_leader(fleet)
        assert list(running(fleet)) == [f'{job_id}.0.0.0']

    def test_leader_is_lost_after_the_write(self, fleet, leader, job_id):
        for _ in range(2):
            leader.scheduler.plan()
            leader.flush()
        self.deliver_all(leader)
        self.lose_leader(fleet)
        assert list(running(fleet)) == [f'{job_id}.0.0.0']

    # The worker carries out the start when the next leader is at work.
    def test_start_is_carried_out_late(self, fleet, leader, job_id):
        for _ in range(2):
            leader.scheduler.plan()
            leader.flush()
        fleet.client.choose_fault = lambda *_: 'late'
        self.deliver_all(leader)
        [(worker, _)] = fleet.client.late_orders
        silence(
            fleet, int(worker.worker_id.removeprefix('worker-')), listed=False
        )
        leader = fleet.elect_leader()
        play(leader, START_MS)
        fleet.client.execute_late_orders()
        play(leader, LONGEST_LEASE_MS)
        assert list(running(fleet)) == [f'{job_id}.0.0.0']

    # A start that was not sent leaves a record of a worker that has no run.
    def test_record_names_the_former_worker(self, fleet, leader, job_id):
        fleet.client.choose_fault = lambda kind, worker: (
            'not sent'
            if worker.worker_id == 'worker-0' and kind == 'start'
            else 'ok'
        )
        for _ in range(4):
            leader.run_cycle()
        fleet.client.choose_fault = lambda *_: 'ok'
        number = place(fleet, f'{job_id}.0.0.0')
        assert number != 0
        self.lose_leader(fleet)
        assert place(fleet, f'{job_id}.0.0.0') != number


class TestOccurrencesThatAreNotOpen:
    # The time of day of the next leader may be behind. What is stored on an
    # occurrence that it has not opened was dropped with its first write.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_clock_that_is_behind(self, fleet, leader, lasting):
        start_ms = fleet.clock.wall_ms() - 3000
        job_id = fleet.submit(
            harness.make_step(2, lasting=lasting, max_per_worker=1),
            repeats=2,
            start_ms=start_ms,
            interval_ms=3000,
        )
        play(leader, 4 * CYCLE_MS)
        first, second = f'{job_id}.0.0.0', f'{job_id}.1.0.0'
        other = place(fleet, first)
        if lasting:
            silence(fleet, place(fleet, second), listed=False)
        else:
            fleet.sim(place(fleet, second)).end(
                second, messages.EndReason.DONE
            )
            play(leader, 4 * CYCLE_MS)
        wall_ms = fleet.clock.wall_ms
        fleet.clock.wall_ms = lambda: wall_ms() - 3000
        leader = fleet.elect_leader()
        play(leader, 3 * CYCLE_MS)
        fleet.sim(other).end(first, messages.EndReason.FAILED)
        play(leader, 3 * CYCLE_MS)
        fleet.clock.wall_ms = wall_ms
        play(fleet.elect_leader(), LONGEST_LEASE_MS - LEASE_LEFT_MS)
        if not lasting:
            assert second not in running(fleet)

"""Tests of the room that jobs take before they are stored."""

import threading

import pytest

from figtray import clock as clock_lib
from figtray.events import unreadable
from figtray.jobs import admission
from figtray.jobs import host_memory
from figtray.jobs import intake as intakes
from figtray.jobs import large_jobs
from figtray.jobs import model
from figtray.jobs import records
from figtray.jobs import room
from figtray.scheduling import stored_records
from figtray.scheduling.tests import harness
from figtray.store import base

LARGE = model.Job('q', 't', 'p', (model.Step(1),) * 50)
SMALL = model.Job('q', 't', 'p', (model.Step(10_000),) * 3)
SIZE = room.bytes_of(LARGE)


def job_id(number):
    return f'{number:016x}'


@pytest.fixture
def fleet():
    return harness.Fleet()


def stored(fleet):
    return len(fleet.store.range(records.JOB_PREFIX).items)


def free_bytes(fleet):
    item = fleet.store.get(large_jobs.LARGE_ROOM_KEY)
    return large_jobs.decode(item.value).free_bytes


class TestLargeJobs:
    def test_which_are_large(self):
        assert large_jobs.is_large(LARGE)
        assert not large_jobs.is_large(SMALL)
        gang = model.Step(large_jobs.LARGE_GANG + 1, gang=True)
        assert large_jobs.is_large(model.Job('q', 't', '', (gang,)))

    def test_room_is_taken_with_the_job(self, fleet):
        fleet.publish_large_room(2 * SIZE + 1)
        for number, left in enumerate((SIZE + 1, 1)):
            result = fleet.intake.submit(job_id(number), LARGE)
            assert result.outcome == intakes.Outcome.STORED
            assert free_bytes(fleet) == left

    # Guards against more large jobs than any leader has memory for.
    def test_refused_without_room(self, fleet):
        fleet.publish_large_room(SIZE - 1)
        result = fleet.intake.submit(job_id(1), LARGE)
        assert result.outcome == intakes.Outcome.REFUSED
        assert result.retry_after_s > 0
        assert not stored(fleet)

    def test_refused_before_a_leader_has_told_the_room(self, fleet):
        result = fleet.intake.submit(job_id(1), LARGE)
        assert result.outcome == intakes.Outcome.REFUSED
        assert not stored(fleet)

    def test_gang_that_no_leader_can_start(self, fleet):
        fleet.publish_large_room(gang_runs=2000)
        for count, outcome in (
            (2001, intakes.Outcome.REFUSED),
            (2000, intakes.Outcome.STORED),
        ):
            job = model.Job('q', 't', '', (model.Step(count, gang=True),))
            result = fleet.intake.submit(job_id(count), job)
            assert result.outcome == outcome

    def test_small_jobs_take_none(self, fleet):
        assert (
            fleet.intake.submit(job_id(1), SMALL).outcome
            == intakes.Outcome.STORED
        )

    # An earlier call has stored it: it runs, whatever room is left.
    def test_stored_job_is_never_refused(self, fleet):
        fleet.publish_large_room(SIZE)
        fleet.intake.submit(job_id(1), LARGE)
        result = fleet.intake.submit(job_id(1), LARGE)
        assert result.outcome == intakes.Outcome.EXISTS

    # Its caller was told that it never runs, though it was stored.
    def test_lost_reply(self, fleet):
        fleet.publish_large_room(SIZE)
        fleet.store.replies_to_lose = 1
        result = fleet.intake.submit(job_id(1), LARGE)
        assert result.outcome == intakes.Outcome.EXISTS
        assert stored(fleet) == 1
        assert free_bytes(fleet) == 0

    # Guards against room that several nodes take at once.
    def test_many_nodes(self):
        fleet = harness.Fleet()
        fleet.publish_large_room(10 * SIZE)
        outcomes = []

        def submit(first):
            intake = intakes.Intake(fleet.store, clock_lib.SystemClock())
            for number in range(first, first + 5):
                for _ in range(50):
                    result = intake.submit(job_id(number), LARGE)
                    if result.outcome != intakes.Outcome.NOT_STORED:
                        break
                outcomes.append(result.outcome)

        threads = [
            threading.Thread(target=submit, args=(first,))
            for first in range(100, 600, 100)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert stored(fleet) == 10
        assert free_bytes(fleet) == 0
        assert outcomes.count(intakes.Outcome.STORED) == 10


class TestPublishedRoom:
    # A read by pages shows it before the jobs that have taken room.
    def test_it_is_read_before_the_jobs(self):
        key = large_jobs.LARGE_ROOM_KEY
        assert key.startswith(records.INTAKE_PREFIX)
        assert key < records.CANCEL_PREFIX < records.JOB_PREFIX

    def make_leader(self, fleet, memory):
        fleet.room = memory
        reader = stored_records.IntakeReader
        return fleet.elect_leader(
            lambda leader: reader(
                leader.scheduler, unreadable.UnreadableLog(fleet.clock)
            )
        )

    def publish(self, fleet, leader):
        found = leader.scheduler.large_room_to_store()
        if found is None:
            return False
        record, revision = found
        key = large_jobs.LARGE_ROOM_KEY
        put = base.Put(key, large_jobs.encode(record))
        compare = base.Compare(key, 'mod_revision', revision)
        return fleet.store.txn([compare], [put]).succeeded

    # A leader on a large host gave out its own room before it knew the others,
    # and the next one had no room for what was accepted.
    def test_other_hosts_are_not_known_yet(self, fleet):
        leader = self.make_leader(fleet, room.of_host(552))
        self.publish(fleet, leader)
        least = room.of_host(room.LEAST_MEMORY_MB)
        assert 0 < free_bytes(fleet) <= least.job_bytes
        leader.scheduler.set_smallest_room(room.of_host(552))
        leader.run_cycle()
        self.publish(fleet, leader)
        assert free_bytes(fleet) > least.job_bytes

    # Guards against room that is given out twice: by the leader that has not
    # seen the job yet, and by the node that has stored it.
    def test_job_that_the_leader_has_not_seen(self, fleet):
        memory = room.Room(8 * SIZE, 1000)
        leader = self.make_leader(fleet, memory)
        assert self.publish(fleet, leader)
        leader.run_cycle()
        before = free_bytes(fleet)
        assert 0 < before < 8 * SIZE
        fleet.intake.submit(job_id(1), LARGE)
        leader.scheduler.set_smallest_room(room.Room(6 * SIZE, 1000))
        assert not self.publish(fleet, leader)
        leader.run_cycle()
        assert self.publish(fleet, leader)
        assert free_bytes(fleet) <= 5 * SIZE

    def test_next_leader_counts_what_is_stored(self, fleet):
        memory = room.Room(8 * SIZE, 1000)
        leader = self.make_leader(fleet, memory)
        self.publish(fleet, leader)
        while (
            fleet.intake.submit(job_id(stored(fleet)), LARGE).outcome
            == intakes.Outcome.STORED
        ):
            leader.run_cycle()
        count = stored(fleet)
        assert count >= 3
        leader = self.make_leader(fleet, memory)
        self.publish(fleet, leader)
        assert free_bytes(fleet) < SIZE
        assert leader.scheduler._held_bytes <= memory.job_bytes

    # Guards against many jobs of one task, which no record counts before.
    def test_full_memory(self, fleet):
        size = room.bytes_of(model.Job('q', 't', 'p', (model.Step(1),)))
        leader = self.make_leader(fleet, room.Room(32 * size, 1000))
        for _ in range(20):
            fleet.submit(harness.make_step())
        leader.run_cycle()
        assert not leader.scheduler.find_shortage().full_teams
        for _ in range(10):
            fleet.submit(harness.make_step())
        leader.run_cycle()
        shortage = leader.scheduler.find_shortage()
        assert shortage.is_full
        assert shortage.full_teams == ('t',)


class TestFullMemory:
    def publish(self, fleet, **fields):
        value = admission.encode({}, **fields)
        fleet.store.txn((), [base.Put(admission.ADMISSION_KEY, value)])

    @pytest.mark.parametrize(
        'step', [model.Step(1), model.Step(1, lasting=True)]
    )
    def test_all_are_refused(self, fleet, step):
        self.publish(fleet, is_full=True)
        job = model.Job('q', 't', '', (step,))
        result = fleet.intake.submit(job_id(1), job)
        assert result.outcome == intakes.Outcome.REFUSED
        assert not stored(fleet)

    def test_other_teams_are_admitted(self, fleet):
        self.publish(fleet, full_teams=('t',))
        for team, outcome in (
            ('t', intakes.Outcome.REFUSED),
            ('u', intakes.Outcome.STORED),
        ):
            job = model.Job('q', team, '', (model.Step(1),))
            result = fleet.intake.submit(job_id(ord(team)), job)
            assert result.outcome == outcome

    def test_room_is_back(self, fleet):
        self.publish(fleet, is_full=True)
        job = model.Job('q', 't', '', (model.Step(1),))
        fleet.intake.submit(job_id(1), job)
        fleet.store.txn((), (), [admission.ADMISSION_KEY])
        result = fleet.intake.submit(job_id(1), job)
        assert result.outcome == intakes.Outcome.STORED


class TestSmallestHost:
    def announcer(self, fleet, node, memory_mb):
        return host_memory.Announcer(fleet.store, fleet.clock, node, memory_mb)

    def test_smallest_host_in_use(self, fleet):
        self.announcer(fleet, 'a', 300).announce()
        small = self.announcer(fleet, 'b', 200)
        small.announce()
        smallest = host_memory.smallest_room(fleet.store, fleet.clock, 552)
        assert smallest == room.of_host(200)
        small._end()
        smallest = host_memory.smallest_room(fleet.store, fleet.clock, 552)
        assert smallest == room.of_host(300)

    def test_store_is_away(self, fleet):
        announcer = self.announcer(fleet, 'a', 200)
        fleet.store.set_down(True)
        assert not announcer.announce()
        fleet.store.set_down(False)
        assert announcer.announce()
        smallest = host_memory.smallest_room(fleet.store, fleet.clock, 300)
        assert smallest == room.of_host(200)

    def test_lease_has_ended(self, fleet):
        announcer = self.announcer(fleet, 'a', 200)
        announcer.announce()
        fleet.clock.advance(2 * host_memory.LEASE_TTL_MS)
        assert announcer.announce()
        smallest = host_memory.smallest_room(fleet.store, fleet.clock, 300)
        assert smallest == room.of_host(200)

"""Tests of stored jobs that a leader has no room for."""

import threading

import pytest

from figtray.events import unreadable
from figtray.fleet import messages
from figtray.jobs import records
from figtray.jobs import room
from figtray.scheduling import stored_records
from figtray.scheduling.tests import harness

LARGE_STEPS = 40
# Room for two large jobs and some small ones.
ROOM = room.Room(job_bytes=160_000, runs=1000)
RETENTION_MS = 10**9


class Site:
    """Fleet with leaders that read jobs as the service does."""

    def __init__(self):
        self.fleet = harness.Fleet()
        self.fleet.room = ROOM
        self.elect()

    def elect(self, job_room=ROOM):
        """Let a new leader read all that is stored."""
        self.fleet.room = job_room
        self.leader = self.fleet.elect_leader(
            lambda leader: stored_records.IntakeReader(
                leader.scheduler, unreadable.UnreadableLog(self.fleet.clock)
            )
        )

    @property
    def scheduler(self):
        return self.leader.scheduler

    def submit_large(self, **fields):
        step = harness.make_step(1, 9_000_000)
        return self.fleet.submit(*[step] * LARGE_STEPS, **fields)

    def play(self, cycles=3):
        """Let the leader work, and read parked jobs as the service does."""
        for _ in range(cycles):
            self.leader.sync_intake()
            for job_id in self.scheduler.parked_to_load():
                self.leader.reader.load_parked(self.fleet.store, job_id)
            self.leader.run_cycle()
            self.leader.advance(200)
            self.scheduler.expired_jobs(RETENTION_MS)


@pytest.fixture
def site():
    return Site()


def parked(site):
    return len(site.scheduler._parked)


class TestParkedJobs:
    # Guards against a leader that ends for want of memory, as each next one
    # does, whatever has been stored.
    def test_held_jobs_are_bounded(self, site):
        for _ in range(10):
            site.submit_large()
        site.play()
        assert site.scheduler._held_bytes <= ROOM.job_bytes
        assert parked(site) > 0
        site.elect()
        assert site.scheduler._held_bytes <= ROOM.job_bytes
        assert parked(site) > 0

    # Guards against a job of an ordinary caller that waits for large ones.
    def test_small_job_beside_large_ones(self, site):
        for _ in range(10):
            site.submit_large()
        small = site.fleet.submit(harness.make_step())
        site.play()
        assert site.leader.state(small) == records.State.RUNNING

    def test_small_job_after_a_takeover(self, site):
        small = site.fleet.submit(harness.make_step())
        for _ in range(10):
            site.submit_large()
        site.elect()
        site.play()
        assert site.leader.state(small) == records.State.RUNNING

    def test_parked_jobs_are_pending(self, site):
        for _ in range(10):
            site.submit_large()
        site.play()
        assert site.scheduler.waiting_jobs().counts == {'q': 10}

    def test_parked_job_runs_once_there_is_room(self, site):
        first = [site.submit_large() for _ in range(10)]
        site.play()
        last = site.fleet.submit(*[harness.make_step()] * LARGE_STEPS)
        site.play()
        assert last in site.scheduler._parked
        for job_id in first:
            site.fleet.intake.cancel(job_id, 't')
        site.play(60)
        assert site.leader.state(last) == records.State.RUNNING

    # Guards against a cancelled job that is shown as queued until there is
    # room for it, and against one that runs.
    def test_cancelled_while_parked(self, site):
        jobs = [site.submit_large() for _ in range(10)]
        site.play()
        for job_id in jobs:
            site.fleet.intake.cancel(job_id, 't')
        site.play()
        assert not parked(site)
        states = {site.leader.state(job_id) for job_id in jobs}
        assert states == {records.State.CANCELLED}

    # Guards against a cancellation that comes while the job is read: it was
    # not stored yet when it was looked for, and the job not known when the
    # view showed it.
    def test_cancelled_while_it_is_read(self, site):
        jobs = [site.submit_large() for _ in range(10)]
        site.play()
        job_id = next(job for job in jobs if job in site.scheduler._parked)
        key = records.CANCEL_PREFIX + job_id
        reader, store, threads = site.leader.reader, site.fleet.store, []

        class SlowStore:
            def get(self, wanted_key):
                item = store.get(wanted_key)
                if wanted_key == key:
                    site.fleet.intake.cancel(job_id, 't')
                    change = store.get(key)
                    thread = threading.Thread(
                        target=reader.handle_change, args=(change,)
                    )
                    thread.start()
                    # It can't end before the job is added.
                    thread.join(0.2)
                    threads.append(thread)
                return item

        reader.load_parked(SlowStore(), job_id)
        threads[0].join()
        site.leader.flush()
        assert site.leader.state(job_id) == records.State.CANCELLED

    # Guards against many cancelled jobs that are held all at once.
    def test_cancelled_jobs_are_not_held(self, site):
        jobs = [site.submit_large() for _ in range(30)]
        site.play()
        for job_id in jobs:
            site.fleet.intake.cancel(job_id, 't')
        site.leader.sync_intake()
        most = 0
        for job_id in site.scheduler.parked_to_load():
            site.leader.reader.load_parked(site.fleet.store, job_id)
            most = max(most, site.scheduler._held_bytes)
        assert most <= ROOM.job_bytes + room.ENDED_JOB_BYTES * len(jobs)

    # Guards against runs that are stopped, and ends that are forgotten, as
    # their job was left in the store by a leader with less memory.
    def test_runs_of_a_parked_job(self, site):
        job_id = site.fleet.submit(*[harness.make_step()] * LARGE_STEPS)
        site.play(2)
        # The start of a task is not recorded before it runs.
        site.fleet.store.txn((), (), [records.PROGRESS_PREFIX + job_id])
        running = harness.running(site.fleet)
        assert running
        for name in list(running)[::2]:
            harness.finish(site.fleet, name)
        site.elect(room.Room(job_bytes=20_000, runs=1000))
        assert job_id in site.scheduler._parked
        site.play(4)
        assert job_id not in site.scheduler._parked
        for name in list(running)[::2]:
            assert site.scheduler.find_task(name).done
        for name in list(running)[1::2]:
            assert name in harness.running(site.fleet)

    # Guards against a started job that is left out.
    def test_started_job_is_read_at_once(self, site):
        job_id = site.fleet.submit(*[harness.make_step()] * LARGE_STEPS)
        site.play()
        site.elect(room.Room(job_bytes=20_000, runs=1000))
        assert job_id in site.scheduler._jobs

    # Guards against a leader that keeps all of jobs that have ended.
    def test_ended_jobs(self, site):
        jobs = [site.fleet.submit(harness.make_step()) for _ in range(5)]
        site.play()
        for name in list(harness.running(site.fleet)):
            harness.finish(site.fleet, name, messages.EndReason.DONE)
        site.play(60)
        assert site.scheduler._held_bytes == 5 * room.ENDED_JOB_BYTES
        assert all(
            site.leader.state(job_id) == records.State.COMPLETED
            for job_id in jobs
        )
        site.elect()
        assert site.scheduler._held_bytes == 5 * room.ENDED_JOB_BYTES


class TestSizes:
    def test_tasks_hardly_count(self):
        few = room.bytes_of(make_job(harness.make_step(1)))
        many = room.bytes_of(make_job(harness.make_step(10_000)))
        assert many < 2 * few

    def test_steps_count(self):
        one = room.bytes_of(make_job(harness.make_step()))
        many = room.bytes_of(make_job(*[harness.make_step()] * 1000))
        assert many > 1000 * room.STEP_BYTES > one


def make_job(*steps):
    fleet = harness.Fleet()
    job_id = fleet.submit(*steps)
    item = fleet.store.get(records.JOB_PREFIX + job_id)
    return records.decode_job(item.value)

"""Tests of the stored placements that a takeover relies on."""

import pytest

from figtray.fleet import messages
from figtray.scheduling import leases
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers


@pytest.fixture
def fleet():
    # The slowest clocks make the leases last as long as they can.
    return harness.Fleet(4, rate=leases.SLOWEST_CLOCK_RATE)


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
        takeovers.silence(
            fleet, *(n for n in range(4) if fleet.sim(n).runs), listed=False
        )
        takeovers.play(
            fleet.elect_leader(),
            takeovers.LONGEST_LEASE_MS + takeovers.START_MS,
        )

    # Without a stored record the next leader doesn't know that the task may
    # run on a silent worker.
    def test_start_is_sent_before_its_record(self, fleet, leader, job_id):
        fleet.store.down = True
        for _ in range(3):
            leader.run_cycle()
        assert not takeovers.running(fleet)
        fleet.store.down = False
        for _ in range(3):
            leader.run_cycle()
        assert list(takeovers.running(fleet)) == [f'{job_id}.0.0.0']

    def test_leader_is_lost_before_the_write(self, fleet, leader, job_id):
        leader.scheduler.plan()
        self.deliver_all(leader)
        self.lose_leader(fleet)
        assert list(takeovers.running(fleet)) == [f'{job_id}.0.0.0']

    # The write takes effect, but its reply is lost.
    def test_reply_of_the_write_is_lost(self, fleet, leader, job_id):
        fleet.store.replies_to_lose = 1
        leader.scheduler.plan()
        leader.writer.flush_once()
        self.deliver_all(leader)
        fleet.store.replies_to_lose = 0
        self.lose_leader(fleet)
        assert list(takeovers.running(fleet)) == [f'{job_id}.0.0.0']

    def test_leader_is_lost_after_the_write(self, fleet, leader, job_id):
        for _ in range(2):
            leader.scheduler.plan()
            leader.flush()
        self.deliver_all(leader)
        self.lose_leader(fleet)
        assert list(takeovers.running(fleet)) == [f'{job_id}.0.0.0']

    # The worker carries out the start when the next leader is at work.
    def test_start_is_carried_out_late(self, fleet, leader, job_id):
        for _ in range(2):
            leader.scheduler.plan()
            leader.flush()
        fleet.client.choose_fault = lambda *_: 'late'
        self.deliver_all(leader)
        [(worker, _)] = fleet.client.late_orders
        takeovers.silence(
            fleet, int(worker.worker_id.removeprefix('worker-')), listed=False
        )
        leader = fleet.elect_leader()
        takeovers.play(leader, takeovers.START_MS)
        fleet.client.execute_late_orders()
        takeovers.play(leader, takeovers.LONGEST_LEASE_MS)
        assert list(takeovers.running(fleet)) == [f'{job_id}.0.0.0']

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
        number = takeovers.place(fleet, f'{job_id}.0.0.0')
        assert number != 0
        self.lose_leader(fleet)
        assert takeovers.place(fleet, f'{job_id}.0.0.0') != number


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
        takeovers.play(leader, 4 * takeovers.CYCLE_MS)
        first, second = f'{job_id}.0.0.0', f'{job_id}.1.0.0'
        other = takeovers.place(fleet, first)
        if lasting:
            takeovers.silence(
                fleet, takeovers.place(fleet, second), listed=False
            )
        else:
            fleet.sim(takeovers.place(fleet, second)).end(
                second, messages.EndReason.DONE
            )
            takeovers.play(leader, 4 * takeovers.CYCLE_MS)
        wall_ms = fleet.clock.wall_ms
        fleet.clock.wall_ms = lambda: wall_ms() - 3000
        leader = fleet.elect_leader()
        takeovers.play(leader, 3 * takeovers.CYCLE_MS)
        fleet.sim(other).end(first, messages.EndReason.FAILED)
        takeovers.play(leader, 3 * takeovers.CYCLE_MS)
        fleet.clock.wall_ms = wall_ms
        takeovers.play(
            fleet.elect_leader(),
            takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS,
        )
        if not lasting:
            assert second not in takeovers.running(fleet)

"""Tests of starts that workers refuse again and again."""

import pytest

from figtray.scheduling import refusals
from figtray.scheduling.tests import harness
from figtray import verdict

# Reasons that may concern a step and a worker, and stay.
LASTING_REASONS = [
    verdict.RefusalReason.BAD_REQUEST,
    verdict.RefusalReason.BUSY,
    verdict.RefusalReason.LATE,
    verdict.RefusalReason.STALE_RUN,
    verdict.RefusalReason.TICKET,
]
PLAY_MS = 10_000
CYCLE_MS = 20


class Site:
    """Fleet whose workers refuse starts.

    Attributes:
        fleet: the Fleet.
        leader: the Leader.
        refuses: called with a worker and a StartOrder; whether it refuses.
        refused: ids of the workers that have refused starts.
    """

    def __init__(self, reason, workers=3):
        self.fleet = harness.Fleet(workers)
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()
        self.refuses = lambda worker, order: True
        self.refused = []
        start = self.fleet.client.start

        def refuse(worker, order, timeout_ms):
            if not self.refuses(worker, order):
                return start(worker, order, timeout_ms)
            self.refused.append(worker.worker_id)
            return verdict.NotRun(reason, 'test')

        self.fleet.client.start = refuse

    def play(self, ms):
        until_ms = self.fleet.clock.now_ms() + ms
        while self.fleet.clock.now_ms() < until_ms:
            self.leader.sync_workers()
            self.leader.run_cycle()
            self.leader.advance(CYCLE_MS)


@pytest.mark.parametrize('reason', LASTING_REASONS)
class TestRepeatedRefusals:
    # Each plan sent a start that was refused before it, without a pause.
    @pytest.mark.parametrize('gang', [True, False])
    def test_refused_start_is_repeated_at_once(self, reason, gang):
        site = Site(reason, workers=1)
        site.fleet.submit(harness.make_step(gang=gang))
        site.play(PLAY_MS)
        assert 2 < len(site.refused) <= PLAY_MS / refusals.MAX_PAUSE_MS + 4

    # Each of many tasks was refused by each of many workers.
    def test_many_tasks_are_refused_by_many_workers(self, reason):
        site = Site(reason, workers=20)
        site.fleet.submit(harness.make_step(40, cpu_milli=4000))
        site.play(PLAY_MS)
        assert len(site.refused) <= 40 + PLAY_MS / refusals.MAX_PAUSE_MS + 4

    # A task was sent to the one worker that refuses it, as that has most room.
    def test_worker_that_refuses_is_chosen_again(self, reason):
        site = Site(reason)
        site.refuses = lambda worker, order: worker.worker_id == 'worker-0'
        job_id = site.fleet.submit(harness.make_step())
        site.play(100)
        assert f'{job_id}.0.0.0' in harness.running(site.fleet)
        assert site.refused == ['worker-0']

    # One job whose starts are refused kept its workers from the others.
    def test_refused_step_holds_up_others(self, reason):
        site = Site(reason, workers=2)
        bad = site.fleet.submit(harness.make_step(8))
        site.refuses = lambda worker, order: order.task.startswith(bad)
        site.play(PLAY_MS)
        for _ in range(5):
            good = site.fleet.submit(harness.make_step())
            site.play(250)
            assert f'{good}.0.0.0' in harness.running(site.fleet)

    # A pause that outlasts the cause keeps tasks waiting.
    @pytest.mark.parametrize('refused_ms', range(100, 5000, 700))
    def test_step_waits_on_after_the_last_refusal(self, reason, refused_ms):
        site = Site(reason)
        job_id = site.fleet.submit(harness.make_step(3))
        site.play(refused_ms)
        site.refuses = lambda worker, order: False
        site.play(refusals.MAX_PAUSE_MS + 3 * CYCLE_MS)
        runs = harness.running(site.fleet)
        assert set(runs) == {f'{job_id}.0.0.{index}' for index in range(3)}

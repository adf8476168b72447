"""Tests of the waits of lasting tasks for drains of maintenance waves."""

import pytest

from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray.upkeep.tests import test_waves

# A lasting task runs again within this time.
RESTART_MS = 7000
PLAY_MS = 30_000


class DrainSite(test_waves.WaveSite):
    """A leader with three workers, and a wave over their hosts.

    Attributes:
        returns: whether a host returns after its upkeep.
    """

    def __init__(self):
        super().__init__()
        self.returns = False
        self._down_since_ms = {}
        takeovers.leave(self.fleet, 3)
        del self.hosts.hosts['host-3']
        self.leader.sync_workers()

    def play(self, ms):
        """Let the leader work; returns the longest wait of each task.

        Returns:
            Mapping of task to the longest time in milliseconds for which it
            was not running.
        """
        waits, longest = {}, {}
        for _ in range(ms // takeovers.CYCLE_MS):
            for sim in self.fleet.client.sims.values():
                for run in sim.runs.values():
                    run.percent = 100
            self.leader.advance(takeovers.CYCLE_MS)
            self.fleet.client.expire()
            self.leader.sync_workers()
            self.run_cycle()
            if self.returns:
                self._end_upkeeps()
            running = takeovers.running(self.fleet)
            assert all(len(runs) == 1 for runs in running.values()), running
            for task in [*waits, *running]:
                waits[task] = (
                    0 if task in running else waits[task] + takeovers.CYCLE_MS
                )
                longest[task] = max(longest.get(task, 0), waits[task])
        return longest

    def _end_upkeeps(self):
        """Finish all upkeeps once one has had its time."""
        now_ms = self.fleet.clock.now_ms()
        for host_id in self.hosts_in_upkeep():
            since_ms = self._down_since_ms.setdefault(host_id, now_ms)
            if now_ms - since_ms >= harness.BOUNDS.upkeep_s * 1000:
                self.finish_upkeeps()
                self._down_since_ms.clear()


@pytest.fixture
def site():
    return DrainSite()


class TestLastingTasksOfADrain:
    # All workers of a small pool were cordoned at a time, those of hosts whose
    # upkeep could not begin as well, and the tasks waited without an end.
    @pytest.mark.parametrize('may_be_away', [0, 1])
    @pytest.mark.parametrize('max_per_worker', [0, 1])
    def test_cordoned_workers_idle_while_a_lasting_task_waits(
        self, site, may_be_away, max_per_worker
    ):
        site.fleet.submit(
            harness.make_step(
                2,
                lasting=True,
                may_be_away=may_be_away,
                max_per_worker=max_per_worker,
            )
        )
        site.leader.run_cycle()
        longest = site.play(PLAY_MS)
        assert len(site.hosts.accepted_orders) == 1
        assert len(longest) == 2
        assert max(longest.values()) < RESTART_MS, longest

    # A lasting task was stopped when the drain began, and waited for the short
    # tasks on the only host with room, then for the upkeep.
    def test_short_tasks_prolong_the_wait_for_the_upkeep(self, site):
        for number in (1, 2):
            takeovers.leave(site.fleet, number)
            del site.hosts.hosts[f'host-{number}']
        site.leader.sync_workers()
        site.returns = True
        site.fleet.submit(harness.make_step(1))
        job_id = site.fleet.submit(harness.make_step(1, lasting=True))
        site.leader.run_cycle()
        longest = site.play(PLAY_MS)
        assert len(site.hosts.accepted_orders) == 1
        assert longest[f'{job_id}.0.0.0'] < RESTART_MS, longest

    # Two tasks of a step ran on the host whose turn it was. One was stopped
    # and found no room elsewhere, and the other could not be stopped then.
    def test_drain_waits_for_a_task_that_waits_for_the_drain(self, site):
        for number in (1, 2):
            takeovers.leave(site.fleet, number)
            del site.hosts.hosts[f'host-{number}']
        site.leader.sync_workers()
        site.fleet.submit(harness.make_step(2, lasting=True, may_be_away=1))
        site.leader.run_cycle()
        longest = site.play(PLAY_MS)
        assert not site.hosts.accepted_orders
        assert len(longest) == 2
        assert max(longest.values()) < RESTART_MS, longest

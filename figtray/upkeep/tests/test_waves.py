"""Tests of maintenance waves."""

import pytest

from figtray.fleet import messages
from figtray.fleet import model as fleet_model
from figtray.scheduling.tests import harness
from figtray.upkeep.tests import test_lending
from figtray.upkeep import waves


class Waves:
    """A leader with four workers, and a wave over their hosts."""

    def __init__(self, max_down=1):
        base = test_lending.Lending()
        self.fleet, self.leader, self.hosts = (
            base.fleet,
            base.leader,
            base.hosts,
        )
        self.orders = base.orders()
        self.told = []
        self.stored = {}
        self.wave = fleet_model.Wave(
            1, tuple(f'host-{n}' for n in range(4)), 20_000, max_down
        )
        self.keeper = self.new_keeper()

    def new_keeper(self):
        return waves.WaveKeeper(
            self.leader.scheduler,
            self.leader.writer,
            self.leader.term,
            self.fleet.clock,
            self.hosts,
            'node',
            harness.BOUNDS,
            lambda number, completed: self.told.append(completed),
            self.stored,
            self.orders,
        )

    def step(self):
        self.leader.run_cycle()
        self.keeper.step([self.wave], dict(self.hosts.hosts))

    def down(self):
        """Return the hosts that have their upkeep now."""
        return [
            host.host_id
            for host in self.hosts.hosts.values()
            if host.state == fleet_model.HostState.UPKEEP
        ]

    def bring_back(self):
        """End the upkeeps; new workers live on the hosts."""
        for host_id in self.down():
            number = int(host_id.removeprefix('host-'))
            self.fleet.add_worker(number, born_ms=self.fleet.clock.now_ms())
            self.hosts.finish(host_id, worker_id=f'worker-{number}')
        self.leader.sync_workers()
        self.leader.report_all()


class TestWave:
    @pytest.mark.parametrize('max_down', [1, 2])
    def test_no_more_than_allowed_are_down(self, max_down):
        site = Waves(max_down)
        most = 0
        for _ in range(40):
            site.step()
            most = max(most, len(site.down()))
            site.leader.advance(1000)
            site.step()
            most = max(most, len(site.down()))
            site.leader.advance(2000)
            site.bring_back()
        assert most == max_down
        assert len(site.hosts.accepted_orders) == 4
        assert site.told == [False, True]

    # The upkeep ends whatever runs on the host.
    def test_running_tasks_are_awaited(self):
        site = Waves()
        site.fleet.submit(harness.make_step(4, 7000))
        site.step()
        site.step()
        assert not site.hosts.accepted_orders
        for number in range(4):
            sim = site.fleet.sim(number)
            for task in list(sim.runs):
                sim.end(task, messages.EndReason.DONE)
        site.step()
        site.step()
        assert len(site.hosts.accepted_orders) == 1

    # `completed` must not be told while a host that stays has not begun.
    def test_completed_after_all_hosts(self):
        site = Waves()
        for _ in range(3):
            site.step()
            site.leader.advance(3000)
            site.bring_back()
        assert site.told == [False]

    def test_host_that_left_does_not_hold_up_the_wave(self):
        site = Waves(2)
        del site.hosts.hosts['host-3']
        for _ in range(8):
            site.step()
            site.leader.advance(3000)
            site.bring_back()
        assert site.told == [False, True]

    # A lost reply may stand for an upkeep that has begun.
    def test_lost_reply_counts_as_down(self):
        site = Waves()
        site.hosts.lose_replies = 1
        site.step()
        site.step()
        assert len(site.hosts.accepted_orders) == 1

    def test_successor_does_not_repeat_upkeeps(self):
        site = Waves(4)
        site.step()
        site.leader.advance(3000)
        site.bring_back()
        begun = len(site.hosts.accepted_orders)
        site.keeper = site.new_keeper()
        for _ in range(6):
            site.step()
            site.leader.advance(3000)
            site.bring_back()
        assert begun and len(site.hosts.accepted_orders) == 4

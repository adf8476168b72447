"""Tests of maintenance waves."""

import collections
import dataclasses

import pytest

from figtray.fleet import messages
from figtray.fleet import model as fleet_model
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray.upkeep import controller
from figtray.upkeep.tests import support
from figtray.upkeep import waves


class WaveSite:
    """A leader with four workers, and a wave over their hosts."""

    def __init__(self, max_down=1):
        site = support.Site()
        self.fleet, self.leader = site.fleet, site.leader
        self.hosts = site.hosts
        self.context = site.context
        self.published = []
        self.records = {}
        self.wave = fleet_model.Wave(
            1, tuple(f'host-{n}' for n in range(4)), 20_000, max_down
        )
        self.other_waves = []
        self.wave_runner = self.make_wave_runner()

    def make_wave_runner(self):
        return waves.WaveRunner(
            dataclasses.replace(
                self.context,
                scheduler=self.leader.scheduler,
                writer=self.leader.writer,
                term=self.leader.term,
            ),
            lambda number, completed: self.published.append(completed),
            self.records,
        )

    def run_cycle(self):
        self.leader.run_cycle()
        self.wave_runner.reconcile(
            [self.wave, *self.other_waves], dict(self.hosts.hosts)
        )

    def cordoned(self):
        """Return the ids of the workers that are cordoned."""
        return support.cordoned_workers(self.leader)

    def hosts_in_upkeep(self):
        """Return the ids of the hosts that are in upkeep now."""
        return [
            host.host_id
            for host in self.hosts.hosts.values()
            if host.state == fleet_model.HostState.UPKEEP
        ]

    def finish_upkeeps(self):
        """Finish all upkeeps and start new workers on the hosts."""
        for host_id in self.hosts_in_upkeep():
            number = int(host_id.removeprefix('host-'))
            self.fleet.add_worker(number, born_ms=self.fleet.clock.now_ms())
            self.hosts.finish(host_id, worker_id=f'worker-{number}')
        self.leader.sync_workers()
        self.leader.report_all()


class TestWave:
    @pytest.mark.parametrize('max_down', [1, 2])
    def test_max_down_is_kept(self, max_down):
        site = WaveSite(max_down)
        most = 0
        for _ in range(40):
            site.run_cycle()
            most = max(most, len(site.hosts_in_upkeep()))
            site.leader.advance(1000)
            site.run_cycle()
            most = max(most, len(site.hosts_in_upkeep()))
            site.leader.advance(2000)
            site.finish_upkeeps()
        assert most == max_down
        assert len(site.hosts.accepted_orders) == 4
        assert site.published == [False, True]

    # The start of an upkeep ends all tasks on the host.
    def test_upkeep_waits_for_running_tasks(self):
        site = WaveSite()
        site.fleet.submit(harness.make_step(4, 7000))
        site.run_cycle()
        site.run_cycle()
        assert not site.hosts.accepted_orders
        for number in range(4):
            sim = site.fleet.sim(number)
            for task in list(sim.runs):
                sim.end(task, messages.EndReason.DONE)
        site.run_cycle()
        site.run_cycle()
        assert len(site.hosts.accepted_orders) == 1

    # A listed host whose upkeep has not begun keeps the wave running.
    def test_not_completed_before_all_hosts(self):
        site = WaveSite()
        for _ in range(3):
            site.run_cycle()
            site.leader.advance(3000)
            site.finish_upkeeps()
        assert site.published == [False]

    def test_unlisted_host_does_not_block_completion(self):
        site = WaveSite(2)
        del site.hosts.hosts['host-3']
        for _ in range(8):
            site.run_cycle()
            site.leader.advance(3000)
            site.finish_upkeeps()
        assert site.published == [False, True]

    # The upkeep may have begun although the reply was lost.
    def test_host_with_lost_reply_counts_as_down(self):
        site = WaveSite()
        site.hosts.replies_to_lose = 1
        site.run_cycle()
        site.run_cycle()
        assert len(site.hosts.accepted_orders) == 1

    # A leader that was paused ordered further upkeeps with a token that the
    # platform had refused.
    def test_upkeeps_go_on_after_a_refused_token(self):
        site = WaveSite(4)
        site.hosts.highest_epochs = dict.fromkeys(
            site.hosts.hosts, site.leader.term.epoch + 1
        )
        for _ in range(3):
            site.run_cycle()
            site.leader.advance(3000)
        assert site.leader.term.ended.is_set()
        assert len(site.hosts.stale_orders) == 1
        assert not site.hosts.accepted_orders

    # A second upkeep would end the runs on the host once more.
    def test_next_leader_does_not_repeat_upkeeps(self):
        site = WaveSite(4)
        site.run_cycle()
        site.leader.advance(3000)
        site.finish_upkeeps()
        count_before = len(site.hosts.accepted_orders)
        site.wave_runner = site.make_wave_runner()
        for _ in range(6):
            site.run_cycle()
            site.leader.advance(3000)
            site.finish_upkeeps()
        assert count_before and len(site.hosts.accepted_orders) == 4


class TestWavesAtOnce:
    @pytest.fixture
    def site(self):
        """A site with six workers and waves over five hosts and a spare one.

        The spare host is down, so that its wave goes on.
        """
        site = WaveSite()
        for number in (4, 5):
            site.fleet.add_worker(number)
            site.hosts.hosts[f'host-{number}'] = support.make_host(number)
        site.leader.sync_workers()
        site.leader.report_all()
        site.wave = dataclasses.replace(
            site.wave, host_ids=tuple(f'host-{n}' for n in range(5))
        )
        site.hosts.hosts['host-9'] = dataclasses.replace(
            site.hosts.hosts['host-9'], state=fleet_model.HostState.DOWN
        )
        site.other_waves = [
            dataclasses.replace(site.wave, number=2, host_ids=('host-9',))
        ]
        return site

    # Only the hosts of the last wave counted as having an upkeep ahead. Tasks
    # were moved to hosts that came next, and stopped again.
    def test_lasting_tasks_move_to_hosts_of_an_earlier_wave(self, site):
        site.fleet.submit(harness.make_step(6, lasting=True))
        runs = collections.defaultdict(set)
        for _ in range(120):
            site.run_cycle()
            for task, places in takeovers.running(site.fleet).items():
                runs[task].update(run for _, run in places)
            site.leader.advance(500)
            site.finish_upkeeps()
        assert len(site.hosts.accepted_orders) == 5
        assert site.records[1].completed
        assert len(runs) == 6
        assert max(len(numbers) for numbers in runs.values()) == 2, runs

    # Pools whose widest step needs a free worker before an upkeep got none.
    def test_upkeeps_of_an_earlier_wave_are_not_seen(self, site):
        site.hosts.begin_upkeep = lambda *_: False
        site.run_cycle()
        assert site.leader.scheduler.pool_loads()['main'].due == 5

    # The pool kept a host more than it needs.
    def test_withdrawn_wave_leaves_upkeeps_ahead(self, site):
        site.hosts.begin_upkeep = lambda *_: False
        site.other_waves = []
        site.run_cycle()
        assert site.leader.scheduler.pool_loads()['main'].due == 5
        site.wave_runner.reconcile([], dict(site.hosts.hosts))
        assert site.leader.scheduler.pool_loads()['main'].due == 0


class TestRefusedUpkeep:
    def refuse(self, site, host_ids):
        """Let the platform refuse upkeeps; return the list of them."""
        refused = []
        begin_upkeep = site.hosts.begin_upkeep

        def refuse(host_id, *args):
            if host_id not in host_ids:
                return begin_upkeep(host_id, *args)
            refused.append(host_id)
            return False

        site.hosts.begin_upkeep = refuse
        return refused

    def play(self, site, ms):
        for _ in range(ms // controller.RECONCILE_INTERVAL_MS):
            site.leader.advance(controller.RECONCILE_INTERVAL_MS)
            site.run_cycle()

    # The host whose turn it was got all orders, and the others none.
    def test_refused_host_holds_up_the_others(self):
        site = WaveSite()
        self.refuse(site, {'host-0'})
        self.play(site, 10_000)
        assert site.hosts_in_upkeep()

    # Each pass sent the order again, and used up the platform's rate.
    def test_refused_order_is_repeated_with_each_pass(self):
        site = WaveSite(max_down=4)
        refused = self.refuse(site, set(site.wave.host_ids))
        self.play(site, 12_000)
        passes = 12_000 // waves.MAX_REFUSED_PAUSE_MS
        assert 4 * 2 < len(refused) <= 4 * (passes + 5)

    # A pause that outlasts the cause delays the wave.
    def test_order_is_repeated_late(self):
        site = WaveSite()
        self.refuse(site, set(site.wave.host_ids))
        self.play(site, 5000)
        site.hosts.begin_upkeep = type(site.hosts).begin_upkeep.__get__(
            site.hosts
        )
        self.play(site, waves.MAX_REFUSED_PAUSE_MS + 500)
        assert site.hosts_in_upkeep()


class TestCordons:
    @pytest.fixture
    def site(self):
        """A site whose platform refuses all upkeeps, with drained hosts."""
        site = WaveSite()
        site.hosts.begin_upkeep = lambda *_: False
        site.run_cycle()
        assert len(site.cordoned()) == 1 + waves.DRAIN_AHEAD_HOSTS
        return site

    # Tasks waited although workers were idle, as nothing uncordoned them.
    def test_withdrawn_wave_leaves_workers_cordoned(self, site):
        site.wave_runner.reconcile([], dict(site.hosts.hosts))
        assert not site.cordoned()

    # An error ends the wave runner, and with it what it knows.
    def test_new_wave_runner_leaves_workers_cordoned(self, site):
        site.make_wave_runner().reconcile([], dict(site.hosts.hosts))
        assert not site.cordoned()

    def test_host_that_left_the_wave_stays_cordoned(self, site):
        site.wave = dataclasses.replace(site.wave, host_ids=('host-0',))
        site.run_cycle()
        assert site.cordoned() == {'worker-0'}

    def test_unlisted_host_leaves_worker_cordoned(self, site):
        site.wave_runner.reconcile([site.wave], {})
        assert not site.cordoned()

    def test_wave_withdrawn_and_requested_again_drains_nothing(self, site):
        site.wave_runner.reconcile([], dict(site.hosts.hosts))
        site.run_cycle()
        assert len(site.cordoned()) == 1 + waves.DRAIN_AHEAD_HOSTS

    def test_wave_ends_the_cordons_of_another(self, site):
        other = dataclasses.replace(site.wave, number=2, host_ids=('host-3',))
        before = site.cordoned()
        assert 'worker-3' not in before
        listed = dict(site.hosts.hosts)
        site.wave_runner.reconcile([site.wave, other], listed)
        assert site.cordoned() == before | {'worker-3'}
        site.wave_runner.reconcile([site.wave], listed)
        assert site.cordoned() == before

    # Tasks other than lasting ones may outlast MAX_DRAIN_MS. Until their
    # worker is known to have ended, no more may start there.
    def test_task_starts_on_worker_in_upkeep(self):
        site = WaveSite()
        site.fleet.submit(harness.make_step(4, 7000))
        site.run_cycle()
        site.leader.advance(waves.MAX_DRAIN_MS)
        site.hosts.on_worker_end = lambda _: None
        site.wave_runner.reconcile([site.wave], dict(site.hosts.hosts))
        (host_id,) = site.hosts_in_upkeep()
        for _ in range(2):
            worker_id = host_id.replace('host', 'worker')
            assert not site.leader.scheduler.is_schedulable(worker_id)
            site.wave_runner.reconcile([site.wave], dict(site.hosts.hosts))

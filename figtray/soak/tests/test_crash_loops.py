"""Tests of hosts whose workers crash again and again."""

import collections
import random

import pytest

from figtray.fleet import messages
from figtray.platform import standin_site as sites
from figtray.soak import crash_loops
from figtray.soak import faults
from figtray.soak import lasting
from figtray.soak import observations
from figtray.soak import proxies as proxies_lib
from figtray.soak import series

ROUNDS = 3
# By what they draw on a site with four hosts, two to a rack.
IN_TURN, AT_ONCE, AT_ONCE_SAME_ID, UNRELATED = 0, 1, 4, 24
JOB = 'a' * 16


class Waits:
    """Stands in for the event that ends a loop; ends it after some rounds.

    Args:
        action: called without arguments in each wait.
    """

    def __init__(self, action):
        self._action = action
        self.waits_s = []

    def wait(self, for_s):
        self.waits_s.append(for_s)
        self._action()
        return len(self.waits_s) > 2 * ROUNDS

    def set(self):
        pass


class Harness:
    """Site with four workers and proxies.

    Attributes:
        seen: by wait, the SimWorkers that were up.
    """

    def __init__(self):
        self.proxies = collections.defaultdict(list)
        self.site = sites.Site(
            4,
            0,
            advertise=self._start_proxy,
            on_crash=lambda worker: proxies_lib.take_away(
                self.proxies, worker
            ).close(),
        )
        self.seen = []

    def _start_proxy(self, kind, address):
        proxy = proxies_lib.TcpProxy(address)
        self.proxies[kind].append(proxy)
        return proxy.address

    def up(self):
        return {sim for sim in self.site.workers.sims.values() if sim.up}

    def make_loop(self, choice, ended):
        kind = faults.FaultKind.WORKER_CRASH_LOOP
        fault = faults.Fault(0, 0, kind, choice, False)
        return crash_loops.CrashLoop(self.site, self.proxies, fault, ended)

    def play(self, choice):
        """Play a loop to its end; returns the waits."""
        ended = Waits(lambda: self.seen.append(self.up()))
        loop = self.make_loop(choice, ended)
        loop.begin()
        loop.end()
        return ended.waits_s

    def down(self):
        """Return by crash the ids of the hosts that were down."""
        hosts = [{sim.worker.host_id for sim in up} for up in self.seen]
        return [sorted(hosts[0] - found) for found in hosts[1::2]]

    def close(self):
        for proxies in self.proxies.values():
            for proxy in proxies:
                proxy.close()
        self.site.close()


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    harness.close()


class TestCrashLoop:
    """Guards against loops that crash no worker, or leave one down."""

    @pytest.mark.parametrize('choice', [AT_ONCE, AT_ONCE_SAME_ID])
    def test_workers_of_a_rack_crash_at_once(self, harness, choice):
        harness.play(choice)
        assert harness.down() == [['host-0', 'host-2']] * ROUNDS
        assert len(harness.up()) == 4

    def test_workers_crash_in_turn(self, harness):
        harness.play(IN_TURN)
        assert sorted(harness.down()[:2]) == [['host-0'], ['host-1']]
        assert harness.down()[2] == harness.down()[0]
        assert len(harness.up()) == 4

    def test_workers_crash_in_their_own_time(self, harness):
        harness.play(UNRELATED)
        crashed = {
            sim.worker.host_id
            for up in harness.seen
            for sim in harness.seen[0] - up
        }
        assert crashed == {'host-0', 'host-1'}
        assert len(harness.up()) == 4

    @pytest.mark.parametrize('choice', [AT_ONCE, AT_ONCE_SAME_ID])
    def test_later_workers(self, harness, choice):
        harness.play(choice)
        sims = {sim for up in harness.seen for sim in up}
        assert len(sims) == 4 + 2 * ROUNDS
        addresses = {sim.worker.address for sim in sims}
        keeps_ids = choice == AT_ONCE_SAME_ID
        assert len(addresses) == (4 if keeps_ids else 4 + 2 * ROUNDS)

    def test_times(self, harness):
        waits_s = harness.play(AT_ONCE)
        lives_s, pauses_s = waits_s[::2], waits_s[1::2]
        assert len(set(lives_s)) == 1
        for (shortest_s, longest_s), times_s in (
            (crash_loops.UP_S, lives_s),
            (crash_loops.DOWN_S, pauses_s),
        ):
            assert all(shortest_s <= time_s <= longest_s for time_s in times_s)

    # The host was drawn, and then left for good by another fault.
    def test_host_that_is_gone(self, harness):
        ended = Waits(lambda: None)
        loop = harness.make_loop(IN_TURN, ended)
        for host_id in ('host-0', 'host-1'):
            harness.site.remove_host(host_id)
        before = harness.up()
        loop.begin()
        loop.end()
        assert harness.up() == before


class TestSchedule:
    """Guards against seeds without loops, and loops that go on too long."""

    def test_half_of_the_seeds_have_loops(self):
        schedules = [
            series.make_crash_loops(random.Random(seed), 12)
            for seed in range(100)
        ]
        assert schedules == [
            series.make_crash_loops(random.Random(seed), 12)
            for seed in range(100)
        ]
        assert 35 <= sum(map(bool, schedules)) <= 65
        assert all(
            0 < fault.at_s and fault.at_s + fault.for_s <= 12.001
            for schedule in schedules
            for fault in schedule
        )

    def test_all_orders_occur(self, harness):
        loops = [
            harness.make_loop(choice, Waits(lambda: None))
            for choice in (IN_TURN, AT_ONCE, UNRELATED)
        ]
        assert [loop.order for loop in loops] == [
            crash_loops.Order.IN_TURN,
            crash_loops.Order.AT_ONCE,
            crash_loops.Order.UNRELATED,
        ]


class TestSlowJobs:
    """Guards against slow jobs whose runs are short, or not done."""

    def test_runs_take_seconds(self):
        rng, slow = random.Random(1), crash_loops.make_slow_steps(None)
        jobs = {JOB: observations.Job(slow)}
        shortest_ms, longest_ms = crash_loops.SLOW_RUN_MS
        for _ in range(100):
            delay_ms, reason = lasting.choose_end(
                rng, (150, 500), jobs, f'{JOB}.0.0.0'
            )
            assert reason is messages.EndReason.DONE
            assert shortest_ms <= delay_ms <= longest_ms
        assert not jobs[JOB].lasting and not jobs[JOB].deadly

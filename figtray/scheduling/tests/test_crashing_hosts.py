"""Tests of sound tasks on hosts that crash again and again."""

import random

import logbook
import pytest

from figtray.events import catalogue
from figtray.fleet import memory
from figtray.jobs import records
from figtray.scheduling.tests import crash_loops
from figtray.scheduling.tests import deadly
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers

# A task that takes more than half of a worker.
LARGE_MILLI = 5000
WORKERS = 10
CLOCK_BEGINS_MS = 5_000_000
DOWN_MS = 1500
# Time after the last crash in which all jobs are done.
SETTLE_MS = 60_000


@pytest.fixture(autouse=True)
def down_ms(monkeypatch):
    monkeypatch.setattr(deadly, 'BACK_MS', DOWN_MS)


def fill(fleet, leader, site, count):
    """Let tasks that last take most of some workers.

    Returns:
        The numbers of the other workers.
    """
    site.lasting = deadly.submit(
        fleet, count, cpu_milli=LARGE_MILLI, lasting=True, max_per_worker=1
    )[1]
    site.play(leader, 3000)
    busy = {takeovers.place(fleet, task) for task in site.lasting}
    assert len(busy) == count
    return sorted(set(range(WORKERS)) - busy)


def play_jobs(loops, fleet, leader, run_ms, ms, term_ms=None):
    """Let sound jobs come while hosts crash; return their states."""
    loops.site.run_ms = run_ms
    ids = [deadly.submit(fleet, cpu_milli=LARGE_MILLI)[0] for _ in range(4)]
    for begun_ms in range(0, ms, term_ms or ms):
        if begun_ms:
            leader = fleet.elect_leader()
            leader.report_all()
        loops.play(leader, min(term_ms or ms, ms - begun_ms))
    loops.site.play(leader, SETTLE_MS)
    return {leader.state(job_id) for job_id in ids}


class TestSoundJobsOfACrashingHost:
    @pytest.fixture
    def fleet(self):
        return harness.Fleet(WORKERS)

    @pytest.fixture
    def site(self, fleet):
        return deadly.Site(fleet)

    # Its crashes were held against the tasks that happened to start there, and
    # their jobs were shown as failed.
    @pytest.mark.parametrize('run_ms', [1000, 3000, 8000])
    @pytest.mark.parametrize(
        'life_ms', [200, 500, 700, 1200, 1600, 2200, 3100, 4200, 5200]
    )
    def test_one_host(self, fleet, leader, site, life_ms, run_ms):
        [host] = fill(fleet, leader, site, WORKERS - 1)
        loops = crash_loops.Loops(site, {host: crash_loops.fixed(life_ms)})
        assert play_jobs(loops, fleet, leader, run_ms, 60_000) == {
            records.State.COMPLETED
        }

    # The clock of a worker was taken for the time since its start, but it may
    # begin anywhere, so each worker seemed to have been up for long.
    def test_clocks_of_workers_that_begin_anywhere(self, monkeypatch):
        clock_ms = memory.SimWorker.clock_ms
        monkeypatch.setattr(
            memory.SimWorker,
            'clock_ms',
            lambda sim: clock_ms(sim) + CLOCK_BEGINS_MS,
        )
        fleet = harness.Fleet(WORKERS)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet)
        [host] = fill(fleet, leader, site, WORKERS - 1)
        loops = crash_loops.Loops(site, {host: crash_loops.fixed(700)})
        with logbook.TestHandler() as handler:
            assert play_jobs(loops, fleet, leader, 3000, 20_000) == {
                records.State.COMPLETED
            }
        assert harness.logged(handler, catalogue.WORKER_RESTS)

    # The counts are stored, so each leader added to those of the last.
    @pytest.mark.parametrize('term_ms', [2300, 7000])
    def test_beside_changes_of_the_leader(self, fleet, leader, site, term_ms):
        [host] = fill(fleet, leader, site, WORKERS - 1)
        loops = crash_loops.Loops(site, {host: crash_loops.fixed(700)})
        assert play_jobs(loops, fleet, leader, 3000, 60_000, term_ms) == {
            records.State.COMPLETED
        }

    # Several workers do not show more than one if they crash together.
    @pytest.mark.parametrize('life_ms', [700, 1600, 2500, 4200])
    def test_rack(self, fleet, leader, site, life_ms):
        hosts = fill(fleet, leader, site, WORKERS - 4)
        loops = crash_loops.Loops(
            site, {host: crash_loops.fixed(life_ms) for host in hosts}
        )
        assert play_jobs(loops, fleet, leader, 3000, 60_000) == {
            records.State.COMPLETED
        }

    # Nor if each crashes in its own time.
    @pytest.mark.parametrize('mean_ms', [700, 2000, 6000])
    @pytest.mark.parametrize('seed', range(6))
    def test_hosts_in_their_own_time(self, fleet, leader, site, mean_ms, seed):
        rng = random.Random(seed)
        hosts = fill(fleet, leader, site, WORKERS - 4)
        loops = crash_loops.Loops(
            site, {host: crash_loops.drawn(rng, mean_ms) for host in hosts}
        )
        assert play_jobs(loops, fleet, leader, 3000, 44_000) == {
            records.State.COMPLETED
        }

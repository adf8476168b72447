"""Tests of the leader's room for runs."""

import pytest

from figtray.jobs import model
from figtray.jobs import room
from figtray.scheduling import run_room
from figtray.scheduling import session
from figtray.scheduling import state
from figtray.scheduling.tests import harness

ROOM = room.Room(job_bytes=2**20, runs=16)
# What a session sends within the 3 s for which a job with room may have
# nothing running, if each call takes this long.
CALL_MS = 10
MAX_ORDERS_AHEAD = session.ORDER_THREADS * 3000 // CALL_MS


@pytest.fixture
def fleet():
    fleet = harness.Fleet(cfg=harness.make_config(more_teams=('u',)))
    fleet.room = ROOM
    return fleet


def cycle(leader, count=4):
    for _ in range(count):
        leader.run_cycle()


class TestRunRoom:
    def test_all_runs(self):
        runs = run_room.RunRoom(ROOM)
        for team in ['t'] * 8 + ['u'] * 8:
            assert runs.allows(team)
            runs.add(team)
        assert not runs.allows('t')
        assert not runs.allows('v')
        runs.remove('u')
        assert runs.allows('v')
        assert not runs.allows('v', 2)

    def test_one_team(self):
        runs = run_room.RunRoom(ROOM)
        assert runs.allows('t', ROOM.team_runs)
        assert not runs.allows('t', ROOM.team_runs + 1)

    def test_host_of_unknown_memory(self):
        assert room.of_host(0) == room.of_host(room.DEFAULT_MEMORY_MB)

    def test_small_hosts(self):
        assert 0 < room.of_host(64).runs <= room.of_host(200).runs


class TestTasksThatNeedNothing:
    # Guards against a run for each task of a job whose tasks need nothing:
    # all of them started at once, and took the memory of the leader.
    def test_runs_are_bounded(self, fleet):
        fleet.submit(harness.make_step(1000, cpu_milli=0))
        leader = fleet.elect_leader()
        cycle(leader)
        assert len(harness.running(fleet)) == ROOM.team_runs
        held = leader.scheduler.waiting_jobs().held['q']
        assert held[state.HeldReason.LEADER_ROOM.value] == (
            1000 - ROOM.team_runs
        )

    # Guards against ordinary callers who wait for them.
    def test_another_team_starts(self, fleet):
        fleet.submit(harness.make_step(1000, cpu_milli=0))
        leader = fleet.elect_leader()
        cycle(leader)
        before = len(harness.running(fleet))
        fleet.submit(harness.make_step(2), team='u')
        leader.sync_intake()
        cycle(leader)
        assert len(harness.running(fleet)) == before + 2

    # Guards against a task of another team that waits behind the starts of
    # thousands of tasks that need nothing, sent to its worker one by one.
    def test_start_of_another_team_is_sent_soon(self, fleet):
        fleet.room = room.Room(job_bytes=2**20, runs=10_000)
        leader = fleet.elect_leader()
        cycle(leader)
        fleet.submit(model.Step(10_000))
        leader.sync_intake()
        leader.scheduler.plan()
        job_id = fleet.submit(harness.make_step(), team='u')
        leader.sync_intake()
        leader.scheduler.plan()
        task = leader.scheduler.find_task(f'{job_id}.0.0.0')
        orders = task.run.worker_state.orders
        sent = 0
        while orders.take().run is not task.run:
            sent += 1
        assert sent <= MAX_ORDERS_AHEAD

    def test_next_ones_start(self, fleet):
        job_id = fleet.submit(harness.make_step(30, cpu_milli=0))
        leader = fleet.elect_leader()
        for _ in range(8):
            cycle(leader)
            for name in list(harness.running(fleet)):
                harness.finish(fleet, name)
            fleet.clock.advance(100)
        assert leader.state(job_id).value == 'completed'

    def test_gang(self, fleet):
        fleet.submit(
            harness.make_step(ROOM.team_runs + 1, cpu_milli=0, gang=True)
        )
        leader = fleet.elect_leader()
        cycle(leader)
        assert not harness.running(fleet)

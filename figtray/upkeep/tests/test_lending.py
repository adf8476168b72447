"""Tests of the moves between the spare pool and the others."""

import pytest

from figtray.fleet import memory
from figtray.fleet import model as fleet_model
from figtray.jobs import model
from figtray.jobs import queues
from figtray.scheduling import state
from figtray.scheduling.tests import harness
from figtray.upkeep import host_orders
from figtray.upkeep import lending

ROOM = model.Resources(8000, 64_000)


def make_host(number, pool='main', worker_id=None, zone='zone-a'):
    """Return a fleet Host that is up."""
    if worker_id is None:
        worker_id = f'worker-{number}' if pool == 'main' else ''
    return fleet_model.Host(
        f'host-{number}',
        pool,
        fleet_model.HostState.UP,
        zone,
        ('a', 'r1'),
        ROOM,
        worker_id,
    )


class Lending:
    """A leader with four workers and two spare hosts."""

    def __init__(self):
        self.fleet = harness.Fleet(4)
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()
        self.hosts = memory.MemoryHosts(
            [make_host(n) for n in range(4)]
            + [make_host(n, 'spare') for n in (8, 9)]
        )
        self.hosts.on_end = self._end_worker
        self.lender = lending.Lender(
            self.leader.scheduler,
            self.leader.term,
            self.fleet.clock,
            self.hosts,
            'node',
            harness.BOUNDS,
            harness.InlineExecutor(),
            self.orders(),
        )

    def orders(self, former=()):
        """Return HostOrders of the leader's term."""
        return host_orders.HostOrders(
            harness.FlushingWriter(self.leader),
            self.leader.term,
            self.fleet.clock,
            harness.BOUNDS.lease_ms,
            former,
        )

    def _end_worker(self, host):
        if host.worker_id:
            worker = self.fleet.workers.pop(host.worker_id)
            self.fleet.client.crash(worker.address)

    def step(self, evacuated=frozenset()):
        self.leader.run_cycle()
        self.lender.step(self.fleet.cfg, dict(self.hosts.hosts), evacuated)

    def moves(self):
        """Return the (host, pool) of all moves."""
        return [(duty[1], duty[2]) for duty in self.hosts.accepted_orders]


@pytest.fixture
def lent():
    return Lending()


class TestBorrowing:
    def test_waiting_tasks_bring_spare_hosts(self, lent):
        lent.fleet.submit(harness.make_step(60, 4000))
        lent.step()
        assert sorted(lent.moves()) == [('host-8', 'main'), ('host-9', 'main')]

    # Hosts on their way count, or each step would ask for them again.
    def test_moving_hosts_are_not_asked_for_again(self, lent):
        lent.fleet.submit(harness.make_step(60, 4000))
        for _ in range(3):
            lent.step()
        assert len(lent.moves()) == 2

    def test_zone_out_of_service_lends_nothing(self, lent):
        lent.fleet.submit(harness.make_step(60, 4000))
        lent.step(frozenset({'zone-a'}))
        assert not lent.moves()

    # A refusal of one host must not keep the others.
    def test_busy_host_is_passed_over(self, lent):
        host = lent.hosts.hosts['host-8']
        lent.hosts.hosts['host-8'] = make_host(8, 'spare')
        accepted = lent.hosts.move

        def move(host_id, pool, node_name, token):
            if host_id == host.host_id:
                return False
            return accepted(host_id, pool, node_name, token)

        lent.hosts.move = move
        lent.fleet.submit(harness.make_step(60, 4000))
        lent.step()
        assert lent.moves() == [('host-9', 'main')]

    # Waiting until the tasks of a peak pile up brings its hosts too late.
    def test_arriving_jobs_bring_hosts_before_tasks_wait(self, lent):
        for _ in range(4):
            lent.fleet.submit(harness.make_step(8, 1000, estimate_ms=2000))
        lent.leader.sync_intake()
        lent.lender.step(lent.fleet.cfg, dict(lent.hosts.hosts), frozenset())
        loads = lent.leader.scheduler.pool_loads()
        each = 8 * 1000 * 2000 // 500
        assert loads['main'].arriving_milli == (4 - 2) * each
        assert sorted(lent.moves()) == [('host-8', 'main'), ('host-9', 'main')]


class TestGivingBack:
    def give_back(self, lent):
        for _ in range(8):
            lent.leader.advance(500)
            lent.step()

    def test_unneeded_hosts_return(self, lent):
        self.give_back(lent)
        moved = [host for host, pool in lent.moves() if pool == 'spare']
        base = lending.base_workers(6, lent.fleet.cfg)
        assert len(moved) == 4 - base

    # A move ends all that runs on the host.
    def test_running_tasks_keep_their_host(self, lent):
        lent.fleet.submit(harness.make_step(4, 7000))
        self.give_back(lent)
        assert not lent.moves()

    def test_lasting_tasks_move_within_their_budget(self, lent):
        lent.fleet.submit(
            harness.make_step(
                4, 1000, lasting=True, may_be_away=1, max_per_worker=2
            )
        )
        lent.step()
        for _ in range(30):
            lent.leader.advance(250)
            away = 4 - sum(
                1
                for number in range(4)
                if lent.fleet.sim(number).up
                for run in lent.fleet.sim(number).runs.values()
            )
            assert away <= 1
            for number in range(4):
                for run in lent.fleet.sim(number).runs.values():
                    run.percent = 100
            lent.step()
        moved = [host for host, pool in lent.moves() if pool == 'spare']
        assert moved


class TestWantedWorkers:
    def test_load_sets_the_number(self):
        load = state.PoolLoad(lasting_milli=8000, short_milli=24_000)
        assert lending.wanted_workers(load, 0, ROOM) >= 4

    def test_memory_sets_the_number(self):
        load = state.PoolLoad(memory_mb=5 * 64_000)
        assert lending.wanted_workers(load, 0, ROOM) >= 5

    def test_spread_sets_the_number(self):
        load = state.PoolLoad(spread=6)
        assert lending.wanted_workers(load, 0, ROOM) >= 6

    # A task of a step that fills all workers could not move before upkeep.
    def test_upkeep_needs_one_more(self):
        load = state.PoolLoad(spread=6, due=2)
        assert lending.wanted_workers(load, 0, ROOM) >= 7

    def test_small_sites_keep_two(self):
        cfg = queues.Config(1, [], [queues.Pool('main')], [])
        assert lending.base_workers(1, cfg) >= lending.MIN_WORKERS

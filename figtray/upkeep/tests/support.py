"""A site with a leader and hosts, for tests of upkeep."""

from figtray.fleet import memory_hosts
from figtray.fleet import model as fleet_model
from figtray.jobs import model
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import leaders
from figtray.upkeep import context
from figtray.upkeep import host_orders
from figtray.upkeep import rebalancer

HOST_CAPACITY = model.Resources(8000, 64_000)


def make_host(number, pool='main'):
    """Return a fleet Host that is up; only those of main have a worker."""
    return fleet_model.Host(
        f'host-{number}',
        pool,
        fleet_model.HostState.UP,
        'zone-a',
        ('a', 'r1'),
        HOST_CAPACITY,
        f'worker-{number}' if pool == 'main' else '',
    )


def cordoned_workers(leader):
    """Return the ids of the workers that a leader has cordoned."""
    return {
        worker_state.worker.worker_id
        for worker_state in leader.scheduler.worker_states()
        if worker_state.cordon_reason
    }


class Site:
    """A leader with four workers and two spare hosts."""

    def __init__(self):
        self.fleet = harness.Fleet(4)
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()
        self.hosts = memory_hosts.MemoryHosts(
            [make_host(n) for n in range(4)]
            + [make_host(n, 'spare') for n in (8, 9)]
        )
        self.hosts.on_worker_end = self._end_worker
        self.context = context.TermContext(
            self.leader.scheduler,
            self.leader.writer,
            self.leader.term,
            self.fleet.clock,
            self.hosts,
            'node',
            harness.BOUNDS,
            self.orders(),
        )
        self.rebalancer = rebalancer.PoolRebalancer(
            self.context, harness.InlineExecutor()
        )

    def orders(self, former_host_ids=()):
        """Return HostOrders of the leader's term."""
        return host_orders.HostOrders(
            leaders.FlushingWriter(self.leader),
            self.leader.term,
            self.fleet.clock,
            harness.BOUNDS.lease_ms,
            former_host_ids,
        )

    def _end_worker(self, host):
        if host.worker_id:
            worker = self.fleet.workers.pop(host.worker_id)
            self.fleet.client.crash(worker.address)

    def reconcile(self, evacuated_zones=frozenset()):
        self.leader.run_cycle()
        self.rebalancer.reconcile(
            self.fleet.cfg, dict(self.hosts.hosts), evacuated_zones
        )

    def cordoned(self):
        """Return the ids of the workers that are cordoned."""
        return cordoned_workers(self.leader)

    def cordon_surplus(self, move):
        """Cordon the surplus workers, and return their ids.

        Args:
            move: called in place of the platform's move of a host.
        """
        move_host, self.hosts.move = self.hosts.move, move
        for _ in range(5):
            self.leader.advance(500)
            self.reconcile()
        self.hosts.move = move_host
        assert self.cordoned()
        return self.cordoned()

    def moves(self):
        """Return the (host, pool) of all moves."""
        return [(order[1], order[2]) for order in self.hosts.accepted_orders]

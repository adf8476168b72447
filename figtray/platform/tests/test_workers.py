"""Tests of the clients of workers and hosts, over HTTP."""

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import memory
from figtray.fleet import messages
from figtray.fleet import model as fleet
from figtray.platform import hosts as host_client
from figtray.platform import standin
from figtray.platform import standin_server
from figtray.platform import workers as worker_client
from figtray import verdict


class Site:
    """One simulated worker over HTTP and its client."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = memory.MemoryWorkers(self.clock)
        self.server = standin_server.Server('127.0.0.1:0', None)
        made = memory.make_worker(1)
        self.worker = fleet.Worker(
            made.worker_id,
            made.born_ms,
            self.server.address,
            made.pool,
            made.zone,
            made.labels,
            made.capacity,
        )
        self.server.service = standin.WorkersService(self.memory, self.worker)
        self.sim = self.memory.add(self.worker)
        self.server.start()
        self.client = worker_client.PlatformWorkers(self.clock)

    def start(self, run=1, epoch=1, task='j.0.0.0'):
        order = messages.StartOrder(task, run, 'p', epoch, 5000, 'c', 't')
        return self.client.start(self.worker, order, 5000)

    def report(self, acknowledged=0, epoch=1):
        return self.client.report(
            self.worker, epoch, acknowledged, 5000, 0, 5000
        )


@pytest.fixture
def site():
    site = Site()
    yield site
    site.client.close()
    site.server.stop()


class TestOrders:
    def test_start_and_end(self, site):
        assert isinstance(site.start(), messages.Started)
        report = site.report()
        assert [(r.task, r.run, r.checkpoint) for r in report.running] == [
            ('j.0.0.0', 1, 'c')
        ]
        site.sim.end('j.0.0.0', messages.EndReason.DONE)
        report = site.report()
        assert [(e.number, e.end) for e in report.ended] == [
            (1, messages.EndReason.DONE)
        ]
        assert not site.report(acknowledged=1).ended

    def test_refusals_are_not_run(self, site):
        site.start(run=5)
        site.client.stop(site.worker, 'j.0.0.0', 5, 1, 5000)
        outcome = site.start(run=5)
        assert outcome.reason == verdict.RefusalReason.STALE_RUN

    def test_fence(self, site):
        site.report(epoch=7)
        with pytest.raises(errors.StaleEpoch):
            site.start(epoch=6)
        with pytest.raises(errors.StaleEpoch):
            site.report(epoch=6)

    # An order for one worker must not be executed by its successor.
    def test_other_life(self, site):
        site.server.service.worker = memory.make_worker(2)
        with pytest.raises(errors.IncarnationMismatch):
            site.start()

    def test_lost_reply_is_not_a_refusal(self, site):
        site.memory.choose_fault = lambda *_: 'lost'
        with pytest.raises(errors.ReplyLost):
            site.start()
        assert site.sim.runs

    def test_nothing_listens(self, site):
        site.server.stop()
        with pytest.raises(errors.CallNotSent) as info:
            site.start()
        assert info.value.refused

    def test_pace(self, site):
        site.start()
        site.client.pace(site.worker, 'j.0.0.0', 1, 25, 1, 5000)
        assert site.sim.runs['j.0.0.0'].pace == 25


class TestHosts:
    @pytest.fixture
    def hosts(self):
        backing = memory.MemoryHosts(
            [
                fleet.Host(f'h{n:03}', 'main', fleet.HostState.UP, 'z')
                for n in range(standin.PAGE_ITEMS + 5)
            ]
        )
        server = standin_server.Server(
            '127.0.0.1:0', standin.HostsService(backing)
        )
        server.start()
        yield backing, host_client.PlatformHosts(server.address)
        server.stop()

    def test_all_pages_are_read(self, hosts):
        backing, client = hosts
        assert set(client.list_hosts()) == set(backing.hosts.values())

    def test_duties_carry_holder_and_token(self, hosts):
        backing, client = hosts
        assert client.move('h001', 'spare', 'node', 7)
        assert client.begin_upkeep('h002', 3, 'node', 7)
        assert not client.begin_upkeep('h002', 3, 'node', 7)
        assert backing.accepted_orders == [
            ('move', 'h001', 'spare', 'node', 7),
            ('upkeep', 'h002', 3, 'node', 7),
        ]

    def test_outage(self, hosts):
        backing, client = hosts
        backing.down = True
        with pytest.raises(errors.HostListUnavailable):
            client.list_hosts()

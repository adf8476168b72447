"""Tests of the clients of workers and of the host service, over HTTP."""

import dataclasses

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import memory
from figtray.fleet import memory_hosts
from figtray.fleet import messages
from figtray.fleet import model as fleet
from figtray.platform import hosts as host_client
from figtray.platform import standin_server
from figtray.platform import standin_services
from figtray.platform import workers as worker_client
from figtray import verdict


class Rig:
    """One simulated worker over HTTP and its client."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.memory = memory.MemoryWorkers(self.clock)
        self.server = standin_server.Server('127.0.0.1:0', None)
        template = memory.make_worker(1)
        self.worker = fleet.Worker(
            template.worker_id,
            template.born_ms,
            self.server.address,
            template.pool,
            template.zone,
            template.labels,
            template.capacity,
        )
        self.server.service = standin_services.WorkerService(
            self.memory, self.worker
        )
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
def rig():
    rig = Rig()
    yield rig
    rig.client.close()
    rig.server.stop()


class TestOrders:
    def test_start_and_end(self, rig):
        assert isinstance(rig.start(), messages.Started)
        report = rig.report()
        assert [(r.task, r.run, r.checkpoint) for r in report.running] == [
            ('j.0.0.0', 1, 'c')
        ]
        rig.sim.end('j.0.0.0', messages.EndReason.DONE)
        report = rig.report()
        assert [(e.number, e.end) for e in report.ended] == [
            (1, messages.EndReason.DONE)
        ]
        assert not rig.report(acknowledged=1).ended

    # A worker that has more ends gives no sign of it but a full list.
    @pytest.mark.parametrize('count', [499, 500, 501])
    def test_full_list_of_ends_is_taken_for_all_of_them(self, rig, count):
        for number in range(count):
            rig.start(task=f'j.0.0.{number}')
            rig.sim.end(f'j.0.0.{number}', messages.EndReason.DONE)
        assert rig.report().more_ends == (count >= 500)
        assert rig.report(acknowledged=500).lists_all_runs

    def test_start_of_a_stopped_run_is_refused(self, rig):
        rig.start(run=5)
        rig.client.stop(rig.worker, 'j.0.0.0', 5, 1, 5000)
        outcome = rig.start(run=5)
        assert outcome.reason == verdict.RefusalReason.STALE_RUN

    def test_stale_epoch_is_rejected(self, rig):
        rig.report(epoch=7)
        with pytest.raises(errors.StaleEpoch):
            rig.start(epoch=6)
        with pytest.raises(errors.StaleEpoch):
            rig.report(epoch=6)

    # An order must not be executed by a worker that was started later at the
    # same address.
    def test_other_incarnation(self, rig):
        rig.server.service.worker = memory.make_worker(2)
        with pytest.raises(errors.IncarnationMismatch):
            rig.start()

    def test_lost_reply_is_not_a_refusal(self, rig):
        rig.memory.choose_fault = lambda *_: 'lost'
        with pytest.raises(errors.ReplyLost):
            rig.start()
        assert rig.sim.runs

    def test_refused_connection(self, rig):
        rig.server.stop()
        with pytest.raises(errors.CallNotSent) as info:
            rig.start()
        assert info.value.refused

    # A session that got an undeclared error wrote a traceback each 200 ms, and
    # counted no failed report.
    @pytest.mark.parametrize(
        'address',
        ['', ':80', '127.0.0.1', '127.0.0.1:99999', '.:80', 'a b:80', '\0:80'],
    )
    def test_odd_address_raises_an_undeclared_error(self, rig, address):
        rig.worker = dataclasses.replace(rig.worker, address=address)
        for call in (rig.start, rig.report):
            with pytest.raises(errors.CallNotSent) as info:
                call()
            assert not info.value.refused

    @pytest.mark.parametrize('worker_id', ['a\r\nb: c', '\u0142', '\udc80'])
    def test_odd_id_raises_an_undeclared_error(self, rig, worker_id):
        rig.worker = dataclasses.replace(rig.worker, worker_id=worker_id)
        for call in (rig.start, rig.report):
            with pytest.raises(errors.CallNotSent):
                call()

    def test_pace(self, rig):
        rig.start()
        rig.client.pace(rig.worker, 'j.0.0.0', 1, 25, 1, 5000)
        assert rig.sim.runs['j.0.0.0'].pace == 25


class TestHosts:
    @pytest.fixture
    def hosts(self):
        backing = memory_hosts.MemoryHosts(
            [
                fleet.Host(f'h{n:03}', 'main', fleet.HostState.UP, 'z')
                for n in range(standin_services.PAGE_ITEMS + 5)
            ]
        )
        server = standin_server.Server(
            '127.0.0.1:0', standin_services.HostService(backing)
        )
        server.start()
        yield backing, host_client.PlatformHosts(server.address)
        server.stop()

    def test_all_pages_are_read(self, hosts):
        backing, client = hosts
        assert set(client.list_hosts()) == set(backing.hosts.values())

    def test_orders_carry_node_name_and_epoch(self, hosts):
        backing, client = hosts
        valid_until_ms = clock_lib.SystemClock().now_ms() + 60_000
        sender = messages.OrderSender('node', 7, valid_until_ms)
        assert client.move('h001', 'spare', sender)
        assert client.begin_upkeep('h002', 3, sender)
        assert not client.begin_upkeep('h002', 3, sender)
        assert backing.accepted_orders == [
            ('move', 'h001', 'spare', 'node', 7),
            ('upkeep', 'h002', 3, 'node', 7),
        ]

    def test_stale_epoch_is_taken_for_a_busy_host(self, hosts):
        backing, client = hosts
        backing.highest_epochs = {'h001': 8}
        valid_until_ms = clock_lib.SystemClock().now_ms() + 60_000
        sender = messages.OrderSender('node', 7, valid_until_ms)
        with pytest.raises(errors.StaleEpoch):
            client.move('h001', 'spare', sender)

    def test_outage(self, hosts):
        backing, client = hosts
        backing.down = True
        with pytest.raises(errors.HostListUnavailable):
            client.list_hosts()

"""Tests of the platform's services when their replies are odd."""

import dataclasses

import logbook
import pytest

from figtray import clock as clock_lib
from figtray import connections
from figtray import errors
from figtray.fleet import memory
from figtray.fleet import messages
from figtray.fleet import model as fleet
from figtray.platform import adviser
from figtray.platform import hosts
from figtray.platform import standin_server
from figtray.platform.tests import canned as canned_service
from figtray.platform import workers

GOOD = b'{"machine":"good","pool":"main","state":"up"}'
ODD_MACHINES = {
    'state': b'{"machine":"odd","pool":"main","state":"odd"}',
    'type': b'{"machine":"odd","pool":5,"state":"up"}',
    'no-pool': b'{"machine":"odd","state":"up"}',
    'amount': GOOD.replace(b'good', b'odd')[:-1] + b',"capacity":{"cpu":-1}}',
    'large': b'%b,"capacity":{"mem_mb":1%b}}'
    % (GOOD.replace(b'good', b'odd')[:-1], b'0' * 400),
}
UNREADABLE = {
    'empty': b'',
    'list': b'[]',
    'deep': canned_service.DEEP,
    'text': b'\xff',
    'digits': b'1' * 5000,
}


@pytest.fixture
def canned():
    service = canned_service.CannedService()
    server = standin_server.Server('127.0.0.1:0', service)
    server.start()
    service.address = server.address
    yield service
    server.stop()


@pytest.fixture
def host_client(canned):
    return hosts.PlatformHosts(canned.address, clock_lib.ManualClock())


def make_page(*machines):
    return b'{"machines":[%b]}' % b','.join(machines)


class TestHosts:
    # No host was known any more: no move, no upkeep, no end of a worker.
    @pytest.mark.parametrize('odd', ODD_MACHINES)
    def test_odd_machine_costs_the_list(self, canned, host_client, odd):
        canned.body = make_page(ODD_MACHINES[odd], GOOD)
        first, second = host_client.list_hosts()
        # A host that is missing ends its worker.
        assert (first.host_id, first.state) == ('odd', fleet.HostState.UNKNOWN)
        assert (second.host_id, second.state) == ('good', fleet.HostState.UP)

    # It may be any of those that the list lacks, so none of them has left.
    @pytest.mark.parametrize('odd', [b'{}', b'null', b'{"machine":3}'])
    def test_machine_without_an_id_removes_others(
        self, canned, host_client, odd
    ):
        other = GOOD.replace(b'good', b'other')
        canned.body = make_page(GOOD, other)
        host_client.list_hosts()
        for _ in range(2):
            canned.body = make_page(odd, GOOD)
            states = {h.host_id: h.state for h in host_client.list_hosts()}
            assert states == {
                'good': fleet.HostState.UP,
                'other': fleet.HostState.UNKNOWN,
            }
        canned.body = make_page(GOOD)
        assert len(host_client.list_hosts()) == 1

    @pytest.mark.parametrize('odd', UNREADABLE)
    def test_unreadable_page_is_unexpected(self, canned, host_client, odd):
        canned.body = UNREADABLE[odd]
        with pytest.raises(errors.HostListUnavailable) as caught:
            host_client.list_hosts()
        assert len(str(caught.value)) < 400

    # The thread that acts on hosts never came back.
    def test_pages_never_end(self, canned, host_client, monkeypatch):
        monkeypatch.setattr(hosts, 'MAX_PAGES', 5)
        canned.body = b'{"next_token":"again"}'
        with pytest.raises(errors.HostListUnavailable):
            host_client.list_hosts()


class TestHostOrders:
    SENDER = messages.OrderSender('node', 3, valid_until_ms=2_000_000)
    ORDERS = {
        'move': lambda client, by: client.move('good', 'main', by),
        'upkeep': lambda client, by: client.begin_upkeep('good', 1, by),
    }

    # The leader took it for a host that is busy, and went on to order with
    # its token for as long as its lease in the store lasted.
    @pytest.mark.parametrize('order', ORDERS)
    def test_refused_token_is_taken_for_a_busy_host(
        self, canned, host_client, order
    ):
        canned.status, canned.body = 409, b'{"reason":"fence"}'
        with pytest.raises(errors.StaleEpoch):
            self.ORDERS[order](host_client, self.SENDER)

    # Guards against a term that ends because a host is busy or leaves.
    @pytest.mark.parametrize('order', ORDERS)
    @pytest.mark.parametrize(
        'status, body',
        [
            (409, b'{"reason":"busy"}'),
            (409, b'{"reason":"wave"}'),
            (400, b'{"reason":"fence"}'),
            *((409, body) for body in UNREADABLE.values()),
        ],
    )
    def test_busy_host_is_taken_for_a_refused_token(
        self, canned, host_client, order, status, body
    ):
        canned.status, canned.body = status, body
        assert not self.ORDERS[order](host_client, self.SENDER)

    # The process was paused while it connected; by then another leader had
    # given orders.
    @pytest.mark.parametrize('order', ORDERS)
    def test_order_is_sent_after_the_end_of_its_term(
        self, canned, host_client, order, monkeypatch
    ):
        clock = clock_lib.ManualClock(self.SENDER.valid_until_ms - 1000)
        host_client = hosts.PlatformHosts(canned.address, clock)
        open_connection = connections.Connection.open

        def open_and_pause(conn, deadline_ms):
            open_connection(conn, deadline_ms)
            clock.advance(1000)

        monkeypatch.setattr(connections.Connection, 'open', open_and_pause)
        with pytest.raises(errors.CallNotSent):
            self.ORDERS[order](host_client, self.SENDER)
        assert not canned.calls


class TestAdviser:
    @pytest.fixture
    def client(self, canned):
        return adviser.PlatformAdviser(canned.address, clock_lib.ManualClock())

    @pytest.mark.parametrize('odd', [b'3', b'["a"]', b'["a",4]', b'null'])
    def test_odd_row_costs_the_others(self, canned, client, odd):
        canned.body = b'{"good":[%b,["w","t"]],"valid_ms":9}' % odd
        advice = client.advise('step', ['w'], 5000)
        assert (advice.tickets, advice.valid_ms) == ({'w': 't'}, 9)

    @pytest.mark.parametrize(
        'body',
        [
            *UNREADABLE.values(),
            b'{"valid_ms":-1}',
            b'{"valid_ms":1' + b'0' * 400 + b'}',
            b'{"x":' + canned_service.DEEP + b'}',
        ],
    )
    def test_unreadable_reply_is_unexpected(self, canned, client, body):
        canned.body = body
        with pytest.raises(errors.ReplyLost) as caught:
            client.advise('step', ['w'], 5000)
        assert len(str(caught.value)) < 400


class TestWorkers:
    @pytest.fixture
    def report(self, canned):
        """Function that returns the Report of a body."""
        client = workers.PlatformWorkers(clock_lib.ManualClock())
        worker = dataclasses.replace(
            memory.make_worker(1), address=canned.address
        )

        def report(body):
            canned.body = body
            return client.report(worker, 1, 0, None, 0, 5000)

        yield report
        client.close()

    def make(self, running=b'', ended=b''):
        return b'{"born":1,"clock_ms":5,"running":[%b],"ended":[%b]}' % (
            running,
            ended,
        )

    # The worker was silent for as long as it listed the row, so its lease
    # ended, and all that ran there.
    @pytest.mark.parametrize(
        'rest',
        [b',3', b',"c","x"', b',"c",-1', b',"c",1e300', b',"c",1,null'],
    )
    def test_odd_figure_costs_the_report(self, report, rest):
        found = report(self.make(b'["a",1%b],["b",2]' % rest))
        assert [(r.task, r.run) for r in found.running] == [('a', 1), ('b', 2)]
        assert found.running[0].percent == 0
        assert not found.unreadable

    @pytest.mark.parametrize(
        'row',
        [b'3', b'null', b'[]', b'["a"]', b'["a","x"]', b'[1,2]', b'["a",-1]']
        + [b'["a",1%b]' % (b'0' * 30)],
    )
    def test_odd_row_costs_the_report(self, report, row):
        found = report(self.make(row + b',["b",2]'))
        assert [run.task for run in found.running] == ['b']
        assert found.unreadable == 1

    # Ends that follow were never seen.
    @pytest.mark.parametrize(
        ('row', 'last_end'),
        [
            (b'[7,"a",1,"odd",""]', 7),
            (b'[7,"a"]', 7),
            (b'[7,"a",1%b,"done"]' % (b'0' * 30), 7),
            (b'[7]', 7),
            (b'["7","a",1,"done"]', 2),
            (b'[1%b,"a",1,"done"]' % (b'0' * 30), 2),
            (b'[4611686018427387904,"a",1,"done",""]', 2),
            (b'[4611686018427387904]', 2),
            (b'null', 2),
        ],
    )
    def test_odd_end_costs_the_report(self, report, row, last_end):
        good = b'[2,"b",1,"done",""],[1,"c",1,"done",""]'
        found = report(self.make(b'', good + b',' + row))
        assert [end.number for end in found.ended] == [1, 2]
        assert found.last_end == last_end

    # A checkpoint of 1.1 MB made the record of its job too large for the
    # store, so no record of the term was stored any more.
    @pytest.mark.parametrize('more', [0, 1])
    def test_long_checkpoint_is_recorded(self, report, more):
        checkpoint = b'c' * (workers.MAX_CHECKPOINT_CHARS + more)
        found = report(
            self.make(
                b'["a",1,"%b",50],["b",2,"x"]' % checkpoint,
                b'[1,"c",1,"stopped","%b"],[2,"d",1,"stopped","x"]'
                % checkpoint,
            )
        )
        kept = [] if more else [checkpoint.decode()]
        assert [run.task for run in found.running] == ['a', 'b']
        assert found.running[0].checkpoint == ''.join(kept)
        assert [end.checkpoint for end in found.ended] == [*kept, 'x']
        assert found.last_end == 2
        assert not found.unreadable

    # Without `born`, a worker looked as if another incarnation had answered,
    # and its tasks started a second time elsewhere.
    @pytest.mark.parametrize(
        'body',
        [
            *UNREADABLE.values(),
            b'{}',
            b'{"clock_ms":5}',
            b'{"born":1}',
            b'{"born":1,"clock_ms":1' + b'0' * 300 + b'}',
            b'{"born":"x","clock_ms":5}',
            b'{"born":1,"clock_ms":5,"x":' + canned_service.DEEP + b'}',
            b'{"born":1,"clock_ms":5,"running":['
            + b'0,' * workers.MAX_ROWS
            + b'0]}',
            b'{"born":1,"clock_ms":5}' + b' ' * workers.MAX_REPORT_BYTES,
        ],
    )
    def test_unreadable_report_is_unexpected(self, report, body):
        with pytest.raises(errors.ReplyLost) as caught:
            report(body)
        assert len(str(caught.value)) < 400

    # The log grew with each report.
    def test_odd_row_is_named_in_each_report(self, report):
        with logbook.TestHandler() as handler:
            for number in range(5):
                report(self.make(b'["a%d",-1],3' % number))
        assert len(handler.records) == 1

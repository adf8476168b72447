"""Tests of the platform's services when their replies are odd."""

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import model as fleet
from figtray.platform import adviser
from figtray.platform import hosts
from figtray.platform import standin_server
from figtray.platform.tests import canned as canned_service

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

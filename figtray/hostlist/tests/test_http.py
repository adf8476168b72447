"""Tests of the HTTP client of the host list and of its stand-in."""

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.hostlist import http as hostlist_http
from figtray.hostlist.tests import contract
from figtray.standins import hosts as standin
from figtray.tests import calls
from figtray.tests import scripted


class TestHttpHostList(contract.HostListContract):
    """Runs the contract of the HostList against the stand-in."""

    @pytest.fixture
    def hosts(self):
        self.clock = clock_lib.ManualClock()
        self.server = standin.start('127.0.0.1:0', self.clock)
        address = self.server.address
        yield hostlist_http.HttpHostList(address, 10_000, self.clock)
        self.server.stop()

    def call(self, path, **fields):
        return calls.post(self.server.address, path, fields)

    def put(self, statuses):
        items = [
            {**vars(status), 'presence': status.presence.value}
            for status in statuses
        ]
        self.call('/hosts', hosts=items)

    def set_down(self, down):
        self.call('/faults', down=down)

    def test_lag(self, hosts):
        """Guards against a stand-in that hides the lag of the real list."""
        self.call('/faults', lag_ms=1000)
        self.put(contract.HOSTS)
        self.clock.advance(2000)
        self.call('/hosts', remove=['host-1'])
        self.clock.advance(999)
        assert [item.host for item in hosts.list_hosts()] == [
            'host-1',
            'host-2',
        ]
        self.clock.advance(1)
        (left,) = hosts.list_hosts()
        assert (left.host, left.age_ms) == ('host-2', 1000)

    def test_entry_without_renewal_disappears(self, hosts):
        """Guards against a dead host that stays listed."""
        self.call('/hosts', hosts=[{'host': 'h', 'ttl_ms': 1000}])
        self.clock.advance(999)
        assert hosts.list_hosts()[0].age_ms == 999
        self.clock.advance(1)
        assert hosts.list_hosts() == []

    def test_bad_post_changes_nothing(self, hosts):
        """Guards against a half-applied list."""
        status, _ = self.call('/hosts', hosts=[{'host': 'h'}, {}])
        assert status == 400
        assert hosts.list_hosts() == []

    @pytest.mark.parametrize(
        'answer',
        [
            b'',
            scripted.response(500, b'{"hosts": []}'),
            scripted.response(200, b'{"hosts": [{}]}'),
            scripted.response(200, b'{"hosts": []}', length=99),
            b'HTTP/1.1 200 x\r\n\r\n{"hosts": []}',
        ],
    )
    def test_broken_answers(self, hosts, answer):
        """Guards against a broken list that removes hosts."""
        server = scripted.ScriptedServer(lambda sock, _: sock.sendall(answer))
        broken = hostlist_http.HttpHostList(server.address, 10_000, self.clock)
        with pytest.raises(errors.HostListUnavailable):
            broken.list_hosts()
        server.stop()

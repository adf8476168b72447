"""Tests of the client of the etcd gateway."""

import base64
import json

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.standins import kv
from figtray.store import base
from figtray.store import etcd
from figtray.store.tests import contract
from figtray.tests import scripted

PUT = [base.Put('/a', b'1')]


@pytest.fixture
def clock():
    return clock_lib.ManualClock()


@pytest.fixture
def scripts():
    servers = []

    def start(answer):
        servers.append(scripted.ScriptedServer(answer))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def refusing():
    with scripted.refusing_address() as address:
        yield address


def rejection(status, code):
    body = json.dumps({'code': code, 'message': 'x'}).encode()
    return scripted.response(status, body)


class TestEtcdStore(contract.StoreContract):
    """Runs the contract of the Store against the stand-in."""

    @pytest.fixture
    def rig(self, monkeypatch, clock):
        monkeypatch.setattr(etcd, 'WATCH_TICK_S', 0.01)
        server = kv.start('127.0.0.1:0', clock)
        store = etcd.EtcdStore([server.address], 10_000, clock)
        yield contract.Rig(store, server.service.store, clock)
        store.close()
        server.stop()

    def test_lease_is_rounded_up(self, rig):
        """Guards against a lease that ends before the time asked for."""
        assert rig.store.keep_alive(rig.store.grant_lease(1001)) == 2000

    def test_close_ends_watches(self, rig):
        """Guards against a thread that waits for ever after a close."""
        assert next(self.watch) is None
        rig.store.close()
        with pytest.raises(errors.StoreUnavailable):
            self.changes(1)


class TestWriteOutcome:
    """Guards against wrong claims on whether a write took effect."""

    @pytest.mark.parametrize(
        'answer, expected',
        [
            (b'', errors.WriteUncertain),
            (b'HTTP/1.1 200 x\r\n', errors.WriteUncertain),
            (b'garbage\r\n\r\n', errors.WriteUncertain),
            (scripted.response(200, b'{', length=9), errors.WriteUncertain),
            (scripted.response(200, b'[]'), errors.WriteUncertain),
            (scripted.response(200, b'{}'), errors.WriteUncertain),
            (scripted.response(502, b'proxy'), errors.WriteUncertain),
            (rejection(503, 14), errors.WriteUncertain),
            (rejection(500, 2), errors.WriteUncertain),
            (rejection(400, 3), errors.StoreUnavailable),
            (rejection(401, 16), errors.StoreUnavailable),
        ],
    )
    def test_after_the_send(self, scripts, clock, answer, expected):
        first = scripts(lambda sock, _: sock.sendall(answer))
        other = scripts(lambda sock, _: sock.sendall(answer))
        store = etcd.EtcdStore([first.address, other.address], 10_000, clock)
        with pytest.raises(expected):
            store.txn([], PUT)
        # The second endpoint could execute the write once more.
        assert (len(first.requests), len(other.requests)) == (1, 0)

    def test_refused_connection_is_certain(self, clock, refusing):
        store = etcd.EtcdStore([refusing], 10_000, clock)
        with pytest.raises(errors.StoreUnavailable):
            store.txn([], PUT)

    def test_time_limit_covers_the_whole_reply(self, scripts, clock):
        """Guards against a peer that holds a caller with single bytes."""

        def answer(sock, _):
            clock.advance(10_001)
            sock.sendall(b'H')
            return sock.recv(1)

        store = etcd.EtcdStore([scripts(answer).address], 10_000, clock)
        with pytest.raises(errors.WriteUncertain):
            store.txn([], PUT)


class TestEndpoints:
    """Guards against an outage of one endpoint that stops the client."""

    @pytest.fixture
    def server(self, clock):
        server = kv.start('127.0.0.1:0', clock)
        yield server
        server.stop()

    def test_refused_connection_goes_to_the_next(
        self, server, clock, refusing
    ):
        addresses = [refusing, server.address]
        store = etcd.EtcdStore(addresses, 10_000, clock)
        assert store.txn([], PUT).succeeded
        assert store.get('/a').value == b'1'

    def test_read_without_reply_goes_to_the_next(self, server, clock, scripts):
        broken = scripts(lambda sock, _: None)
        addresses = [broken.address, server.address]
        store = etcd.EtcdStore(addresses, 10_000, clock)
        assert store.get('/a') is None
        assert store.get('/a') is None
        assert len(broken.requests) == 1

    def test_closed_idle_connection_is_replaced(self, server, clock):
        store = etcd.EtcdStore([server.address], 10_000, clock)
        assert store.get('/a') is None
        server.close_connections()
        (idle,) = store._idle[server.address]
        scripted.wait_until(lambda: idle.pending() is not None)
        assert store.txn([], PUT).succeeded

    def test_response_that_closes_is_read(self, scripts, clock):
        body = json.dumps({'header': {'revision': '7'}}).encode()
        answer = scripted.response(200, body, [('Connection', 'close')])
        server = scripts(lambda sock, _: sock.sendall(answer))
        store = etcd.EtcdStore([server.address], 10_000, clock)
        assert store.range('/').revision == 7


class TestPrefixRange:
    """Guards against keys outside a prefix, or missing ones."""

    def test_ranges(self):
        assert etcd.prefix_range('/a/') == (b'/a/', b'/a0')
        assert etcd.prefix_range('') == (b'\0', b'\0')
        assert base64.b64decode(etcd.encode('é')) == 'é'.encode()

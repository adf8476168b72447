"""Tests of the TCP proxies."""

import contextlib
import socket
import threading
import time

import pytest

from figtray import connections
from figtray.soak import proxies

TIMEOUT_S = 10
STALL_TIMEOUT_S = 0.2


@pytest.fixture
def echo():
    """Address of a server that echoes what it receives."""
    server = socket.create_server(('127.0.0.1', 0))

    def serve():
        while True:
            try:
                conn, _ = server.accept()
            except OSError:
                return
            threading.Thread(
                target=serve_connection, args=(conn,), daemon=True
            ).start()

    def serve_connection(conn):
        try:
            while chunk := conn.recv(100):
                conn.sendall(chunk)
        except OSError:
            pass  # the proxy resets connections
        conn.close()

    threading.Thread(target=serve, daemon=True).start()
    yield '%s:%d' % server.getsockname()
    server.shutdown(socket.SHUT_RDWR)
    server.close()


@pytest.fixture
def proxy(echo):
    proxy = proxies.TcpProxy(echo)
    yield proxy
    proxy.close()


@pytest.fixture
def connect(proxy):
    opened = []

    def open_connection():
        sock = socket.create_connection(
            connections.parse_address(proxy.address), TIMEOUT_S
        )
        opened.append(sock)
        return sock

    yield open_connection
    for sock in opened:
        sock.close()


def request_byte(sock, timeout_s=TIMEOUT_S):
    """Send a byte and return the response; None after a timeout."""
    sock.settimeout(timeout_s)
    try:
        sock.sendall(b'x')
        return sock.recv(1)
    except TimeoutError:
        return None


class TestTcpProxy:
    """Guards against faults that are not injected or do not end."""

    def test_forwards_bytes(self, connect):
        assert request_byte(connect()) == b'x'

    @pytest.mark.parametrize('direction', list(proxies.Direction))
    def test_direction_is_stalled_until_healed(
        self, proxy, connect, direction
    ):
        sock = connect()
        proxy.stall(direction)
        assert request_byte(sock, STALL_TIMEOUT_S) is None
        assert request_byte(connect(), STALL_TIMEOUT_S) is None
        proxy.heal()
        sock.settimeout(TIMEOUT_S)
        assert sock.recv(1) == b'x'

    def test_blackholed_connections_do_not_heal(self, proxy, connect):
        sock = connect()
        assert request_byte(sock) == b'x'
        proxy.blackhole()
        assert request_byte(sock, STALL_TIMEOUT_S) is None
        assert request_byte(connect()) == b'x'
        proxy.heal()
        assert request_byte(sock, STALL_TIMEOUT_S) is None

    def test_silence_does_not_heal(self, proxy, connect):
        sock = connect()
        assert request_byte(sock) == b'x'
        proxy.fall_silent()
        assert request_byte(sock, STALL_TIMEOUT_S) is None
        proxy.heal()
        assert request_byte(sock, STALL_TIMEOUT_S) is None
        assert request_byte(connect(), STALL_TIMEOUT_S) is None

    def test_reset_connections(self, proxy, connect):
        sock = connect()
        assert request_byte(sock) == b'x'
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
        assert request_byte(connect()) == b'x'

    # The reset may arrive before connect() has returned.
    def test_upstream_refuses_connections(self):
        # Bound without listen(): the port refuses connections, and the proxy
        # can't be given the same port.
        with socket.socket() as upstream:
            upstream.bind(('127.0.0.1', 0))
            address = '%s:%d' % upstream.getsockname()
            with contextlib.closing(proxies.TcpProxy(address)) as proxy:
                with pytest.raises(ConnectionResetError):
                    with socket.create_connection(
                        connections.parse_address(proxy.address), TIMEOUT_S
                    ) as sock:
                        sock.recv(1)


class TestCutRequests:
    """Guards against missed and false reports of requests that are cut off."""

    @pytest.fixture
    def cut(self):
        return threading.Event()

    @pytest.fixture
    def proxy(self, cut):
        """Proxy of a listening socket, its attribute `server`."""
        with socket.create_server(('127.0.0.1', 0)) as server:
            server.settimeout(TIMEOUT_S)
            address = '%s:%d' % server.getsockname()
            with contextlib.closing(
                proxies.TcpProxy(address, cut.set)
            ) as proxy:
                proxy.server = server
                yield proxy

    @pytest.fixture
    def client(self, connect):
        return connect()

    @pytest.fixture
    def conn(self, proxy, client):
        """Connection of the server, which has received a request."""
        client.sendall(b'x')
        conn, _ = proxy.server.accept()
        with conn:
            assert conn.recv(1) == b'x'
            yield conn

    @staticmethod
    def pass_slack():
        time.sleep(proxies.CUT_SLACK_S + 0.1)

    def test_server_ends_a_connection_without_a_response(self, conn, cut):
        self.pass_slack()
        conn.close()
        assert cut.wait(TIMEOUT_S)

    def test_server_resets_a_connection_without_a_response(self, conn, cut):
        self.pass_slack()
        conn.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, proxies.LINGER_RESET
        )
        conn.close()
        assert cut.wait(TIMEOUT_S)

    def test_second_request_is_cut_off(self, client, conn, cut):
        conn.sendall(b'y')
        assert client.recv(1) == b'y'
        client.sendall(b'x')
        assert conn.recv(1) == b'x'
        self.pass_slack()
        conn.close()
        assert cut.wait(TIMEOUT_S)

    # The server may not have read the request when it ended the connection.
    def test_connection_ends_within_the_slack(self, conn, cut):
        conn.close()
        assert not cut.wait(STALL_TIMEOUT_S)

    def test_request_is_answered(self, client, conn, cut):
        conn.sendall(b'y')
        assert client.recv(1) == b'y'
        self.pass_slack()
        conn.close()
        assert not cut.wait(STALL_TIMEOUT_S)

    def test_client_closes_first(self, client, conn, cut):
        self.pass_slack()
        client.close()
        assert conn.recv(1) == b''
        conn.close()
        assert not cut.wait(STALL_TIMEOUT_S)

    def test_proxy_resets_the_connection(self, proxy, conn, cut):
        self.pass_slack()
        proxy.reset()
        assert not cut.wait(STALL_TIMEOUT_S)

"""Tests of the proxies."""

import socket
import threading

import pytest

from figtray import connections
from figtray.soak import links

LIMIT_S = 10
SHORT_S = 0.2


@pytest.fixture
def echo():
    """An address that returns what it gets."""
    server = socket.create_server(('127.0.0.1', 0))

    def serve():
        while True:
            try:
                conn, _ = server.accept()
            except OSError:
                return
            threading.Thread(target=answer, args=(conn,), daemon=True).start()

    def answer(conn):
        try:
            while block := conn.recv(100):
                conn.sendall(block)
        except OSError:
            pass  # the proxy resets connections
        conn.close()

    threading.Thread(target=serve, daemon=True).start()
    yield '%s:%d' % server.getsockname()
    server.shutdown(socket.SHUT_RDWR)
    server.close()


@pytest.fixture
def link(echo):
    link = links.Link(echo)
    yield link
    link.close()


@pytest.fixture
def connect(link):
    opened = []

    def open_connection():
        sock = socket.create_connection(
            connections.parse_address(link.address), LIMIT_S
        )
        opened.append(sock)
        return sock

    yield open_connection
    for sock in opened:
        sock.close()


def ask(sock, timeout_s=LIMIT_S):
    """Send a byte; returns the answer, None for silence."""
    sock.settimeout(timeout_s)
    try:
        sock.sendall(b'x')
        return sock.recv(1)
    except TimeoutError:
        return None


class TestLink:
    """Guards against faults that do not happen, or do not end."""

    def test_passes_bytes(self, connect):
        assert ask(connect()) == b'x'

    @pytest.mark.parametrize('direction', list(links.Direction))
    def test_one_direction_is_held_until_healed(
        self, link, connect, direction
    ):
        sock = connect()
        link.hold(direction)
        assert ask(sock, SHORT_S) is None
        assert ask(connect(), SHORT_S) is None
        link.heal()
        sock.settimeout(LIMIT_S)
        assert sock.recv(1) == b'x'

    def test_silent_connections_stay_silent(self, link, connect):
        sock = connect()
        assert ask(sock) == b'x'
        link.silence()
        assert ask(sock, SHORT_S) is None
        assert ask(connect()) == b'x'
        link.heal()
        assert ask(sock, SHORT_S) is None

    def test_reset(self, link, connect):
        sock = connect()
        assert ask(sock) == b'x'
        link.reset()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
        assert ask(connect()) == b'x'

    def test_nobody_listens(self):
        with socket.create_server(('127.0.0.1', 0)) as server:
            address = '%s:%d' % server.getsockname()
        link = links.Link(address)
        with socket.create_connection(
            connections.parse_address(link.address), LIMIT_S
        ) as sock:
            with pytest.raises(ConnectionResetError):
                sock.recv(1)
        link.close()

"""Tests of the HTTP client of a service."""

import socket
import threading
import tracemalloc

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.platform import http_client

WAIT_S = 10
TIMEOUT_MS = 100
REPLY_BYTES = 96_000
# Most memory that reading a reply may take, in sizes of its largest body.
REPLY_COPIES = 4


class SilentServer:
    """Server that takes one request and answers nothing, or the same bytes.

    Attributes:
        reply: the bytes.
        end: what it has seen at the end of the connection: the exception, or
            b'' if the client has ended it.
    """

    def __init__(self, reply=b''):
        self.reply = reply
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.address = '%s:%d' % self._socket.getsockname()
        self.end = None
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        conn, _ = self._socket.accept()
        conn.settimeout(WAIT_S)
        conn.sendall(self.reply)
        try:
            while data := conn.recv(65536):
                pass
            self.end = data
        except OSError as exc:
            self.end = exc
        conn.close()

    def wait(self):
        self._thread.join(WAIT_S)
        self._socket.close()


class TestRequestThatIsGivenUp:
    # A former leader's order for a host was held up by a cut, and arrived
    # after one of the next leader.
    def test_bytes_arrive_after_the_call_has_failed(self):
        server = SilentServer()
        client = http_client.HttpClient(
            server.address, clock_lib.SystemClock()
        )
        with pytest.raises(errors.ReplyLost):
            client.call('POST', '/api/machine-move', TIMEOUT_MS, b'{}')
        server.wait()
        assert isinstance(server.end, ConnectionResetError)


class TestReplyOfAnySize:
    # Guards against a service whose answer takes the memory of its caller.
    @pytest.mark.parametrize(
        'header',
        [
            b'Content-Length: 2000',
            b'Content-Length: 20000000000000',
            b'Transfer-Encoding: chunked',
            b'Connection: close',
        ],
    )
    def test_reply_is_too_large(self, header):
        chunk = b'%x\r\n%s\r\n' % (2000, b'x' * 2000)
        server = SilentServer(
            b'HTTP/1.1 200 OK\r\n%s\r\n\r\n%s0\r\n\r\n' % (header, chunk)
        )
        client = http_client.HttpClient(
            server.address, clock_lib.SystemClock(), max_reply_bytes=1000
        )
        with pytest.raises(errors.ReplyLost, match='over 1000 bytes'):
            client.call('GET', '/', WAIT_S * 1000)
        server.wait()
        assert server.end is not None


class TestReplyInSmallChunks:
    """A service within its limits, but for the form of what it sends."""

    @pytest.fixture
    def read(self):
        """Return a function that reads a reply, and tells its memory."""

        def read(reply):
            server = SilentServer(reply)
            client = http_client.HttpClient(
                server.address, clock_lib.SystemClock(), REPLY_BYTES
            )
            tracemalloc.start()
            try:
                body = client.call('GET', '/', WAIT_S * 1000).body
                return body, tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
                client.close()
                server.wait()

        return read

    # Guards against a reply within its limit whose chunks take many times as
    # much memory as their bytes.
    @pytest.mark.parametrize('size', [REPLY_BYTES, 1000, 64, 2, 1])
    def test_memory(self, read, size):
        chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
        body, peak_bytes = read(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            + chunk * (REPLY_BYTES // size)
            + b'0\r\n\r\n'
        )
        assert len(body) == REPLY_BYTES
        assert peak_bytes < REPLY_COPIES * REPLY_BYTES

    # Guards against a reply that never ends: by its trailer, or by its
    # interim responses.
    @pytest.mark.parametrize(
        'reply',
        [
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n'
            + b'X: y\r\n' * REPLY_BYTES,
            b'HTTP/1.1 100 Continue\r\n\r\n' * REPLY_BYTES,
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'1;x=y\r\nx\r\n'.replace(b'y', b'y' * 1000) * 1000,
        ],
        ids=['trailer', 'interim', 'extensions'],
    )
    def test_without_end(self, reply):
        server = SilentServer(reply)
        client = http_client.HttpClient(
            server.address, clock_lib.SystemClock(), REPLY_BYTES
        )
        with pytest.raises(errors.ReplyLost, match='over'):
            client.call('GET', '/', WAIT_S * 1000)
        server.wait()

"""Tests of whose turn it is at a listener, beside a crowd.

A turn is one read of a connection. Turns are counted, not timed.
"""

import contextlib
import socket
import threading

import pytest

from figtray import channels
from figtray import connections
from figtray.ingress import limits as limits_lib
from figtray import listener
from figtray.tests import test_listener

LIMIT_S = 60
# Most turns of others for which a request waits that arrives later.
MOST_TURNS = 32
BODY_BYTES = 200_000
MAX_BODY_BYTES = 256_000
ORDINARY = b'GET /ordinary HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nHost: x\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'


def chunks(size):
    chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
    return chunk * (BODY_BYTES // size)


WHOLE = POST + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
# Heads, and bodies that stop just before their end.
CROWDS = {
    'whole': (WHOLE, b'x' * (BODY_BYTES - 1)),
    'one chunk': (CHUNKED, chunks(BODY_BYTES)[:-2]),
    'chunks of 1000 bytes': (CHUNKED, chunks(1000)),
    'chunks of 7 bytes': (CHUNKED, chunks(7)),
    'chunks of 1 byte': (CHUNKED, chunks(1)),
}


class Turns:
    """Counts reads of a crowd, and holds up the listener at one of them.

    Attributes:
        count: number of reads.
        ordinary_at: that number when the ordinary request is read.
    """

    def __init__(self):
        self.held = threading.Event()
        self.resume = threading.Event()
        self.count = 0
        self.ordinary_at = None
        self._hold = False

    def hold_next(self):
        """Hold up the listener at the next read, until `resume` is set."""
        self._hold = True

    def note(self, data):
        """Note that data was read, which is parsed next."""
        if data.startswith(ORDINARY):
            self.ordinary_at = self.count
            return
        self.count += 1
        if self._hold:
            self._hold = False
            self.held.set()
            self.resume.wait(LIMIT_S)


class TestTurns:
    @pytest.fixture
    def turns(self, monkeypatch):
        turns = Turns()
        receive = channels.Channel.received

        def note_and_receive(channel, data):
            turns.note(data)
            return receive(channel, data)

        monkeypatch.setattr(channels.Channel, 'received', note_and_receive)
        yield turns
        turns.resume.set()

    @pytest.fixture
    def server(self, turns):
        def app(environ, start_response):
            return listener.json_response(start_response, 200, '')

        server = listener.Listener(
            '127.0.0.1:0',
            app,
            limits=limits_lib.Limits(1 << 30, 1000),
            max_body_bytes=MAX_BODY_BYTES,
        )
        server.start()
        yield server
        server.close(0)

    # Guards against a request that waits for the longer, the more others
    # there are.
    @pytest.mark.parametrize('count', [40, 160])
    @pytest.mark.parametrize('crowd', CROWDS.values(), ids=CROWDS)
    def test_ordinary_request(self, server, turns, crowd, count):
        head, body = crowd
        address = connections.parse_address(server.address)
        with contextlib.ExitStack() as stack:
            stack.callback(turns.resume.set)
            sockets = [
                stack.enter_context(socket.create_connection(address, LIMIT_S))
                for _ in range(count)
            ]
            for sock in sockets:
                sock.sendall(head)
            test_listener.wait_until(lambda: turns.count == count)
            turns.hold_next()
            for sock in sockets:
                sock.setblocking(False)
                # What the kernel takes, which is more than a turn.
                sock.send(body)
            assert turns.held.wait(LIMIT_S)
            before = turns.count
            last = stack.enter_context(
                socket.create_connection(address, LIMIT_S)
            )
            last.sendall(ORDINARY)
            turns.resume.set()
            assert b' 200 ' in last.recv(1000)
        assert turns.ordinary_at - before <= MOST_TURNS

"""Link of a given speed to a service with canned replies, for tests."""

import socket

from figtray import connections

# The network passes on as much of a response at a time.
CHUNK_BYTES = 16_384


class SlowLink:
    """Takes the place of socket.create_connection(); lets its time pass.

    Args:
        clock: the ManualClock that shows the time of the transfers.
        answer: called with the path of each GET; returns the body.
        bytes_per_ms: speed of the link.

    Attributes:
        requests: the paths of all requests, in order.
        stalls_after: number of bytes after which nothing arrives; None: all
            of each response arrives.
    """

    def __init__(self, clock, answer, bytes_per_ms):
        self.clock = clock
        self.answer = answer
        self.bytes_per_ms = bytes_per_ms
        self.requests = []
        self.stalls_after = None

    def install(self, monkeypatch):
        """Let all connections go over this link."""
        monkeypatch.setattr(
            connections.socket,
            'create_connection',
            lambda address, timeout: _SlowSocket(self),
        )
        monkeypatch.setattr(connections, 'has_input', lambda sock: False)


class _SlowSocket:
    """The part of a socket that connections.Connection uses."""

    def __init__(self, link):
        self._link = link
        self._request = b''
        self._response = b''
        self._received = 0
        self._timeout_ms = None

    def setsockopt(self, *_):
        pass

    def settimeout(self, timeout_s):
        self._timeout_ms = timeout_s * 1000

    def send(self, data):
        self._request += bytes(data)
        if self._request.endswith(b'\r\n\r\n'):
            path = self._request.split()[1].decode()
            self._request = b''
            self._link.requests.append(path)
            body = self._link.answer(path)
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            self._response = head.encode() + body
            self._received = 0
        return len(data)

    def recv_into(self, buffer):
        link = self._link
        chunk = self._response[: min(len(buffer), CHUNK_BYTES)]
        takes_ms = len(chunk) / link.bytes_per_ms
        is_stalled = (
            link.stalls_after is not None
            and self._received >= link.stalls_after
        )
        if is_stalled or not chunk or takes_ms > self._timeout_ms:
            link.clock.advance(int(self._timeout_ms))
            raise socket.timeout('timed out')
        link.clock.advance(int(takes_ms))
        buffer[: len(chunk)] = chunk
        self._response = self._response[len(chunk) :]
        self._received += len(chunk)
        return len(chunk)

    def close(self):
        pass

"""Client connections over HTTP/1.1 with one time limit for a whole call."""

import http.client
import io
import select
import socket

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3


def parse_address(address):
    """Split an address into host and port.

    Args:
        address: text of the form `host:port`.

    Returns:
        (host, port number).

    Raises:
        ValueError: the text has another form.
    """
    host, separator, port = address.rpartition(':')
    if not separator or not host or not port.isdecimal():
        raise ValueError(f'{address!r} is not of the form host:port')
    if int(port) > 65535:
        raise ValueError(f'{address!r} has a port above 65535')
    return host, int(port)


def readable(sock):
    """Tell whether a socket has input, an end or an error right now."""
    # select() fails for descriptors above 1023.
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class _File(io.BufferedReader):
    """Buffered stream that notes input after the end of a response."""

    def close(self):
        if not self.closed:
            self.raw.paused = True
            self.raw.sock.surplus |= bool(self.peek(1))
        super().close()


class _Reader(io.RawIOBase):
    """Raw stream that reads from a socket until the connection's limit."""

    def __init__(self, sock):
        super().__init__()
        self.sock = sock
        self.paused = False

    def readable(self):
        return True

    def readinto(self, buffer):
        return None if self.paused else self.sock.receive_into(buffer)

    def close(self):
        if not self.closed:
            super().close()
            self.sock.close()


class _LimitedSocket:
    """The part of a socket that http.client uses, with a time limit.

    The time-out of a socket bounds one system call only. A peer that sends
    single bytes could hold a caller for longer, so each call gets what is
    left of the limit.
    """

    def __init__(self, sock, clock):
        self._sock = sock
        self._clock = clock
        # http.client closes the connection of a last response before it
        # reads the response through its file.
        self._users = 1
        self.limit_ms = None
        self.sent_bytes = 0
        self.surplus = False

    def sendall(self, data):
        view = memoryview(data)
        while view:
            self._set_timeout()
            count = self._sock.send(view)
            self.sent_bytes += count
            view = view[count:]

    def receive_into(self, buffer):
        self._set_timeout()
        return self._sock.recv_into(buffer)

    def makefile(self, mode):
        self._users += 1
        return _File(_Reader(self))

    def close(self):
        self._users -= 1
        if self._users == 0:
            self._sock.close()

    def peek(self):
        """Return None, b'' (closed by the peer) or a byte."""
        if self.surplus:
            return b'?'
        if not readable(self._sock):
            return None
        try:
            self._sock.setblocking(False)
            return self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return b''

    def _set_timeout(self):
        if self.limit_ms is None:
            self._sock.settimeout(None)
            return
        left_ms = self.limit_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise TimeoutError('timed out')
        self._sock.settimeout(left_ms / 1000)


class Connection(http.client.HTTPConnection):
    """Connection that tells whether a byte of the request was sent."""

    # A lost connection must never be reopened silently within a request.
    auto_open = 0

    def __init__(self, address, clock):
        super().__init__(*parse_address(address))
        self.address = address
        self._channel = None
        self._clock = clock

    def open(self, limit_ms):
        """Connect.

        Args:
            limit_ms: local time in milliseconds at which to give up.

        Raises:
            OSError: there is no connection.
        """
        left_ms = limit_ms - self._clock.now_ms()
        if left_ms <= 0:
            raise TimeoutError('timed out')
        sock = socket.create_connection((self.host, self.port), left_ms / 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        self.sock = self._channel = _LimitedSocket(sock, self._clock)
        self.begin_request(limit_ms)

    @property
    def sent_bytes(self):
        """Bytes of the present request that the kernel accepted."""
        return self._channel.sent_bytes if self._channel else 0

    def begin_request(self, limit_ms):
        """Begin a request that must be complete at a local time.

        Args:
            limit_ms: local time in milliseconds; None = no limit.
        """
        self._channel.limit_ms = limit_ms
        self._channel.sent_bytes = 0

    def peek(self):
        """Look for unread input without waiting.

        Returns:
            None if there is none, b'' if the peer closed the connection, or
            one byte.
        """
        return self.sock.peek() if self.sock else b''

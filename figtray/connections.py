"""HTTP/1.1 client connections with one deadline for a whole request."""

import contextlib
import http.client
import io
import ipaddress
import math
import select
import socket
import struct

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
# What a peer may send before the body of a response, in all of its heads, and
# with what comes of the body in the same reads.
HEAD_BYTES = 64 * 1024


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


def check_ip_address(address):
    """Check that an address can be called without a name lookup.

    A lookup has no time limit of ours, so it could hold up its caller.

    Args:
        address: text of the form `host:port`.

    Raises:
        ValueError: the host is no IP address, or the port is out of range.
    """
    host, port = parse_address(address)
    ipaddress.ip_address(host)
    if not port:
        raise ValueError(f'{address!r} has port 0')


def has_input(sock):
    """Return whether a socket has input, end of stream or an error now."""
    # select() fails for descriptors above 1023.
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class _ResponseFile(io.BufferedReader):
    """Buffered stream that detects input after the end of a response."""

    def close(self):
        if not self.closed:
            # peek() must only look at the buffer, as a read could block.
            self.raw.read_paused = True
            self.raw.sock.has_surplus |= bool(self.peek(1))
        super().close()


class _SocketReader(io.RawIOBase):
    """Raw stream that reads from a _DeadlineSocket."""

    def __init__(self, sock):
        super().__init__()
        self.sock = sock
        self.read_paused = False

    def readable(self):
        return True

    def readinto(self, buffer):
        return None if self.read_paused else self.sock.receive_into(buffer)

    def close(self):
        if not self.closed:
            super().close()
            self.sock.close()


class _DeadlineSocket:
    """The part of a socket that http.client uses, with a deadline.

    A socket's time-out applies to each system call separately, so a peer
    that sends single bytes could delay a request for longer. Therefore
    each system call gets the time that remains until the deadline.
    """

    def __init__(self, sock, clock):
        self._sock = sock
        self._clock = clock
        self._stall_ms = 0
        self._latest_ms = None
        self._send_by_ms = None
        self._head_left = HEAD_BYTES
        # The connection and each response file hold a reference: when a
        # response ends the connection, http.client closes the connection
        # before the body is read through the response file.
        self._references = 1
        self.deadline_ms = None
        self.sent_bytes = 0
        self.has_surplus = False

    def sendall(self, data):
        view = memoryview(data)
        while view:
            self._check_send_time()
            self._set_timeout()
            count = self._sock.send(view)
            self.sent_bytes += count
            view = view[count:]

    def set_limits(self, deadline_ms, stall_ms, latest_ms, send_by_ms):
        """Set the time limits of a request; see Connection.begin_request()."""
        self.deadline_ms = deadline_ms
        self._stall_ms = stall_ms
        self._latest_ms = latest_ms
        self._send_by_ms = send_by_ms
        self._head_left = HEAD_BYTES

    def end_head(self):
        """Note that what comes next is the body of a response."""
        self._head_left = math.inf

    def receive_into(self, buffer):
        self._set_timeout()
        count = self._sock.recv_into(buffer)
        self._head_left -= count
        if self._head_left < 0:
            raise http.client.HTTPException(
                f'over {HEAD_BYTES} bytes before the body'
            )
        if count and self._stall_ms:
            # A large response on a narrow link arrives, only slowly.
            until_ms = self._clock.now_ms() + self._stall_ms
            self.deadline_ms = max(
                self.deadline_ms, min(until_ms, self._latest_ms)
            )
        return count

    def makefile(self, mode):
        self._references += 1
        return _ResponseFile(_SocketReader(self))

    def close(self):
        self._references -= 1
        if self._references == 0:
            self._sock.close()

    def reset(self):
        """Let the connection be reset, not ended, as it is closed."""
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )

    def peek(self):
        """Return None, b'' (closed by the peer) or one byte of input."""
        if self.has_surplus:
            # Stands for input that the response file read and discarded.
            return b'?'
        if not has_input(self._sock):
            return None
        try:
            self._sock.setblocking(False)
            return self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return b''

    def _check_send_time(self):
        if (
            self._send_by_ms is not None
            and self._clock.now_ms() >= self._send_by_ms
        ):
            raise TimeoutError('too late to be sent')

    def _set_timeout(self):
        if self.deadline_ms is None:
            self._sock.settimeout(None)
            return
        remaining_ms = self.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise TimeoutError('timed out')
        self._sock.settimeout(remaining_ms / 1000)


class Connection(http.client.HTTPConnection):
    """Connection with a deadline and a count of sent bytes per request."""

    # http.client must not silently reopen a connection that was lost within a
    # request.
    auto_open = 0

    def __init__(self, address, clock):
        super().__init__(*parse_address(address))
        self.address = address
        self._deadline_socket = None
        self._clock = clock

    def open(self, deadline_ms):
        """Connect.

        Args:
            deadline_ms: local time in milliseconds at which to give up.

        Raises:
            OSError: the connection could not be established in time.
        """
        remaining_ms = deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            raise TimeoutError('timed out')
        sock = socket.create_connection(
            (self.host, self.port), remaining_ms / 1000
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        self.sock = self._deadline_socket = _DeadlineSocket(sock, self._clock)
        self.begin_request(deadline_ms)

    @property
    def sent_bytes(self):
        """Bytes of the current request that the kernel has accepted."""
        return self._deadline_socket.sent_bytes if self._deadline_socket else 0

    def abort(self):
        """Close the connection, and discard what the peer has not received.

        Otherwise the kernel would send a request that was given up once the
        network passes it on, up to minutes later.
        """
        if self._deadline_socket is not None:
            with contextlib.suppress(OSError):
                self._deadline_socket.reset()
        self.close()

    def begin_request(
        self, deadline_ms, stall_ms=0, latest_ms=None, send_by_ms=None
    ):
        """Set the deadline of the next request and reset `sent_bytes`.

        Args:
            deadline_ms: local time in milliseconds; None = no deadline.
            stall_ms: time by which each part of the response that arrives
                extends the deadline; 0 = it does not.
            latest_ms: local time beyond which it is not extended.
            send_by_ms: local time from which on nothing of the request is
                sent, as its sender may lose its right to it; None = no limit.
        """
        self._deadline_socket.set_limits(
            deadline_ms, stall_ms, latest_ms, send_by_ms
        )
        self._deadline_socket.sent_bytes = 0

    def end_head(self):
        """Note that the head of the response has been read."""
        self._deadline_socket.end_head()

    def peek(self):
        """Check for unread input without waiting for it.

        Returns:
            None if there is none, b'' if the peer closed the connection, or
            one byte.
        """
        return self.sock.peek() if self.sock else b''

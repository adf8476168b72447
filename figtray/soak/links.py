"""Loopback TCP proxies whose connections can be made to misbehave."""

import contextlib
import enum
import socket
import struct
import threading

from figtray import connections

BLOCK_BYTES = 65_536
CONNECT_S = 2.0
# A zero linger time makes close() send a reset.
RESET = struct.pack('ii', 1, 0)


class Direction(enum.Enum):
    """Direction of the bytes of a connection."""

    FORTH = 'forth'
    BACK = 'back'


class _Pair:
    """One accepted connection and its counterpart."""

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.held = {Direction.FORTH: False, Direction.BACK: False}

    def close(self, reset=False):
        for sock in (self.near, self.far):
            # The other end may have closed it already.
            with contextlib.suppress(OSError):
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                # Wakes the thread that reads, which keeps the socket open;
                # without a word to the other end if it is to be reset.
                sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
            sock.close()


class Link:
    """Forwards one loopback port to an address.

    Args:
        upstream: `host:port`.
    """

    def __init__(self, upstream):
        self._upstream = connections.parse_address(upstream)
        self._cond = threading.Condition()
        self._pairs = set()
        self._held = set()
        self._delay_s = 0.0
        self._closed = False
        self._socket = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '%s:%d' % self._socket.getsockname()
        threading.Thread(
            target=self._accept, name=f'link {self.address}', daemon=True
        ).start()

    def hold(self, *directions):
        """Let no bytes through in some directions, on any connection."""
        with self._cond:
            self._held = set(directions)

    def delay(self, delay_ms):
        """Delay each block of bytes."""
        with self._cond:
            self._delay_s = delay_ms / 1000

    def silence(self):
        """Hold the open connections for good; new ones work."""
        with self._cond:
            for pair in self._pairs:
                for direction in Direction:
                    pair.held[direction] = True

    def reset(self):
        """Reset the open connections."""
        for pair in self._take_pairs():
            pair.close(reset=True)

    def heal(self):
        """Let everything through, but for silenced connections."""
        with self._cond:
            self._held = set()
            self._delay_s = 0.0
            self._cond.notify_all()

    def close(self):
        """Close the port and all connections."""
        with self._cond:
            self._closed = True
            self._cond.notify_all()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        for pair in self._take_pairs():
            pair.close()

    def _take_pairs(self):
        with self._cond:
            pairs, self._pairs = self._pairs, set()
            self._cond.notify_all()
        return pairs

    def _accept(self):
        while True:
            try:
                near, _ = self._socket.accept()
            except OSError:
                return  # the link was closed
            threading.Thread(
                target=self._join, args=(near,), daemon=True
            ).start()

    def _join(self, near):
        try:
            far = socket.create_connection(self._upstream, CONNECT_S)
        except OSError:
            _Pair(near, near).close(reset=True)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = _Pair(near, far)
        with self._cond:
            if self._closed:
                pair.close()
                return
            self._pairs.add(pair)
        threading.Thread(
            target=self._pump,
            args=(pair, far, near, Direction.BACK),
            daemon=True,
        ).start()
        self._pump(pair, near, far, Direction.FORTH)

    def _pump(self, pair, source, target, direction):
        with contextlib.suppress(OSError):
            while block := source.recv(BLOCK_BYTES):
                if not self._may_pass(pair, direction):
                    return
                target.sendall(block)
            with self._cond:
                if pair not in self._pairs:
                    return  # the end of a stream would forestall the reset
                # A half-closed connection still returns its answer.
                target.shutdown(socket.SHUT_WR)
            if direction is Direction.FORTH:
                return
        with self._cond:
            self._pairs.discard(pair)
        pair.close()

    def _may_pass(self, pair, direction):
        """Wait until bytes may pass; False if the connection is over."""
        with self._cond:
            if self._delay_s:
                self._cond.wait_for(
                    lambda: pair not in self._pairs, self._delay_s
                )
            self._cond.wait_for(
                lambda: pair not in self._pairs
                or not (pair.held[direction] or direction in self._held)
            )
            return pair in self._pairs

"""Clients that keep no limits, and what a process holds for them."""

import contextlib
import pathlib
import selectors
import socket
import threading
import time

from figtray import connections

LIMIT_S = 90
SAMPLE_S = 0.05
# Number of equal samples after which nothing moves any longer.
EQUAL_SAMPLES = 10
# Connections that come at once.
WAVE = 100
PIECE_BYTES = 64 * 1024
# Field of the receive queue in the lines of /proc/net/tcp.
QUEUES_FIELD = 4


class Process:
    """Memory and descriptors of another process, from /proc."""

    def __init__(self, pid):
        self._path = pathlib.Path('/proc', str(pid))

    def peak_mb(self):
        """Return the most resident memory that it had, in MB."""
        status = (self._path / 'status').read_text()
        [line] = [
            line for line in status.splitlines() if line.startswith('VmHWM:')
        ]
        return int(line.split()[1]) / 1024

    def open_descriptors(self):
        """Return the number of its open descriptors."""
        return sum(1 for _ in (self._path / 'fd').iterdir())


class Crowd:
    """Connections that send bytes, read nothing and stay open.

    Args:
        address: `host:port` of the listener.
        payloads: the bytes that each connection sends.
        process: the Process that listens.
        pieces: number of pieces in which they are sent; the next ones follow
            once the listener has got the former ones of all.
    """

    def __init__(self, address, payloads, process, pieces=1):
        self._address = connections.parse_address(address)
        self._process = process
        self._selector = selectors.DefaultSelector()
        self._open_sockets = set()
        self._unconnected = set()
        self._unsent_bytes = 0
        self.most_descriptors = 0
        self._payloads = payloads
        self._pieces = pieces
        self._payload_of = {}
        self.came = threading.Event()

    def press(self, stop):
        """Send until an Event is set; a new connection for each closed one.

        `came` is set once every connection has been made.
        """
        for number, payload in enumerate(self._payloads, 1):
            self._connect(payload)
            if number % WAVE == 0:
                self._send()
        self.came.set()
        while not stop.is_set():
            self._send()
            for _ in range(len(self._payloads) - len(self._payload_of)):
                self._connect(self._payloads[0])

    def settle(self):
        """Send until neither the crowd nor the listener moves any longer."""
        for number, payload in enumerate(self._payloads, 1):
            self._connect(payload)
            # The kernel forgets connections beyond the listener's backlog.
            if number % WAVE == 0:
                self._move()
        self._move()
        for number in range(1, self._pieces):
            for sock, payload in self._payload_of.items():
                self._register(sock, self._piece(payload, number))
            self._move()

    def close(self):
        """Close all connections."""
        for sock in self._open_sockets:
            sock.close()
        self._selector.close()

    def _move(self):
        deadline_s = time.monotonic() + LIMIT_S
        earlier, equal = None, 0
        while equal < EQUAL_SAMPLES:
            assert time.monotonic() < deadline_s
            self._send()
            self.most_descriptors = max(
                self.most_descriptors, self._process.open_descriptors()
            )
            sample = (
                len(self._selector.get_map()),
                self._unsent_bytes,
                _unread_bytes(self._address[1]),
            )
            moved = self._unconnected or sample != earlier
            equal = 0 if moved else equal + 1
            earlier = sample

    def _connect(self, payload):
        sock = socket.socket()
        self._open_sockets.add(sock)
        self._unconnected.add(sock)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self._address)
        self._payload_of[sock] = payload
        self._register(sock, self._piece(payload, 0))

    def _piece(self, payload, number):
        size = -(-len(payload) // self._pieces)
        return payload[number * size : (number + 1) * size]

    def _register(self, sock, data):
        # One that the listener doesn't read from has more to send.
        if sock in self._selector.get_map():
            return
        self._unsent_bytes += len(data)
        self._selector.register(sock, selectors.EVENT_WRITE, memoryview(data))

    def _send(self):
        ends_s = time.monotonic() + SAMPLE_S
        while (left_s := ends_s - time.monotonic()) > 0:
            # Without sockets, select() returns at once.
            if not self._selector.get_map():
                time.sleep(left_s)
            for key, _ in self._selector.select(left_s):
                self._send_piece(key.fileobj, key.data)

    def _send_piece(self, sock, view):
        self._unconnected.discard(sock)
        try:
            count = sock.send(view[:PIECE_BYTES])
        except OSError:
            # The listener has closed the connection.
            self._unsent_bytes -= len(view)
            self._selector.unregister(sock)
            del self._payload_of[sock]
            self._open_sockets.discard(sock)
            sock.close()
            return
        self._unsent_bytes -= count
        if count < len(view):
            self._selector.modify(sock, selectors.EVENT_WRITE, view[count:])
        else:
            self._selector.unregister(sock)


def _unread_bytes(port):
    """Return the bytes that wait to be read at a local port, in all.

    Connections that wait to be accepted count as a byte each.
    """
    lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
    return sum(
        int(fields[QUEUES_FIELD].partition(':')[2], 16)
        for fields in (line.split() for line in lines)
        if int(fields[1].partition(':')[2], 16) == port
    )

"""Loopback TCP proxies that inject network faults."""

import contextlib
import enum
import socket
import struct
import threading
import time

from figtray import connections

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0
# A request that is cut off so soon may not have been read; loss_slack_ms.
CUT_SLACK_S = 0.2
# SO_LINGER with a time of zero makes close() send a reset.
LINGER_RESET = struct.pack('ii', 1, 0)


class Direction(enum.Enum):
    """Direction of the bytes of a proxied connection."""

    UPSTREAM = 'upstream'
    DOWNSTREAM = 'downstream'


class _Connection:
    """Proxied connection: the sockets to the client and to the server."""

    def __init__(self, client_sock, server_sock):
        self.client_sock = client_sock
        self.server_sock = server_sock
        # When bytes of a request without a response were last forwarded.
        self.asked_s = None
        self.blackholed = {
            Direction.UPSTREAM: False,
            Direction.DOWNSTREAM: False,
        }

    def close(self, reset=False):
        for sock in (self.client_sock, self.server_sock):
            # The peer may have closed the connection already.
            with contextlib.suppress(OSError):
                if reset:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                    )
                # A thread blocked in recv() keeps the socket open; shutdown()
                # wakes it. SHUT_RD sends the peer no FIN before a reset.
                sock.shutdown(socket.SHUT_RD if reset else socket.SHUT_RDWR)
            sock.close()


class TcpProxy:
    """Forwards connections from a loopback port to an address.

    Args:
        upstream: address of the server, as `host:port`.
        on_cut: called without arguments when the server ends a connection
            whose client awaits a response.
    """

    def __init__(self, upstream, on_cut=lambda: None):
        self._upstream = connections.parse_address(upstream)
        self._on_cut = on_cut
        self._cond = threading.Condition()
        self._conns = set()
        self._stalled_directions = set()
        self._delay_s = 0.0
        self._silent = False
        self._closed = False
        self._socket = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '%s:%d' % self._socket.getsockname()
        threading.Thread(
            target=self._accept_connections,
            name=f'proxy {self.address}',
            daemon=True,
        ).start()

    def stall(self, *directions):
        """Withhold the bytes of all connections in some directions.

        They are forwarded after heal().
        """
        with self._cond:
            self._stalled_directions = set(directions)

    def delay(self, delay_ms):
        """Delay each chunk of bytes by a time in milliseconds."""
        with self._cond:
            self._delay_s = delay_ms / 1000

    def blackhole(self):
        """Forward no more bytes of the open connections, even after heal().

        New connections work.
        """
        with self._cond:
            for conn in self._conns:
                for direction in Direction:
                    conn.blackholed[direction] = True

    def fall_silent(self):
        """Forward no more bytes of any connection, even after heal()."""
        with self._cond:
            self._silent = True

    def reset(self):
        """Reset the open connections."""
        for conn in self._remove_connections():
            conn.close(reset=True)

    def heal(self):
        """End all stalls and delays; blackholed connections stay so."""
        with self._cond:
            self._stalled_directions = set()
            self._delay_s = 0.0
            self._cond.notify_all()

    def close(self):
        """Close the listening port and all connections."""
        with self._cond:
            self._closed = True
            self._cond.notify_all()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        for conn in self._remove_connections():
            conn.close()

    def _remove_connections(self):
        with self._cond:
            conns, self._conns = self._conns, set()
            self._cond.notify_all()
        return conns

    def _accept_connections(self):
        while True:
            try:
                client_sock, _ = self._socket.accept()
            except OSError:
                return  # the proxy was closed
            threading.Thread(
                target=self._handle_connection,
                args=(client_sock,),
                daemon=True,
            ).start()

    def _handle_connection(self, client_sock):
        try:
            server_sock = socket.create_connection(
                self._upstream, CONNECT_TIMEOUT_S
            )
        except OSError:
            # There is no server socket; closing one socket twice is harmless.
            _Connection(client_sock, client_sock).close(reset=True)
            return
        server_sock.settimeout(None)
        for sock in (client_sock, server_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = _Connection(client_sock, server_sock)
        with self._cond:
            if self._closed:
                conn.close()
                return
            self._conns.add(conn)
        threading.Thread(
            target=self._forward,
            args=(conn, server_sock, client_sock, Direction.DOWNSTREAM),
            daemon=True,
        ).start()
        self._forward(conn, client_sock, server_sock, Direction.UPSTREAM)

    def _forward(self, conn, source, target, direction):
        is_request = direction is Direction.UPSTREAM
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                if not self._wait_to_forward(conn, direction):
                    return
                conn.asked_s = time.monotonic() if is_request else None
                target.sendall(chunk)
            with self._cond:
                if conn not in self._conns:
                    return  # a FIN would reach the peer before the reset
                # The server may still respond on a half-closed connection.
                if is_request:
                    conn.asked_s = None
                target.shutdown(socket.SHUT_WR)
            if is_request:
                return
        with self._cond:
            is_open = conn in self._conns
            self._conns.discard(conn)
        conn.close()
        if is_open and not is_request and conn.asked_s is not None:
            if time.monotonic() > conn.asked_s + CUT_SLACK_S:
                self._on_cut()

    def _wait_to_forward(self, conn, direction):
        """Wait until a chunk may be forwarded.

        Returns:
            False if the connection was closed instead.
        """
        with self._cond:
            if self._delay_s:
                self._cond.wait_for(
                    lambda: conn not in self._conns, self._delay_s
                )
            self._cond.wait_for(
                lambda: conn not in self._conns
                or not (
                    self._silent
                    or conn.blackholed[direction]
                    or direction in self._stalled_directions
                )
            )
            return conn in self._conns


def take_away(proxies, worker):
    """Take away and return the proxy of a fleet Worker that has ended.

    Args:
        proxies: mapping of what is proxied to a list of TcpProxy.
        worker: the Worker.
    """
    proxy = next(p for p in proxies['worker'] if p.address == worker.address)
    proxies['worker'].remove(proxy)
    proxies['ended worker'].append(proxy)
    return proxy

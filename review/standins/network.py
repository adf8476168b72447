"""Links of a node: TCP proxies on loopback that can be cut and healed."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65_536


class Link:
    """Forwards connections of one node to one address.

    While it is cut, bytes are held up; they arrive once it has healed, also
    if their sender has closed the connection by then. A connection that is
    opened while the link is cut reaches nobody, then or later.

    Args:
        upstream: address of the server, as `host:port`.
        on_sent: called with the bytes that the node has sent, before they
            are forwarded.
    """

    def __init__(self, upstream, on_sent=lambda data: None):
        host, _, port = upstream.rpartition(':')
        self._upstream = host, int(port)
        self._on_sent = on_sent
        self._open = threading.Event()
        self._open.set()
        self._socket = socket.create_server(('127.0.0.1', 0), backlog=128)
        self.address = '%s:%d' % self._socket.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    def _accept(self):
        while True:
            client, _ = self._socket.accept()
            if not self._open.is_set():
                threading.Thread(
                    target=_swallow, args=(client,), daemon=True
                ).start()
                continue
            try:
                server = socket.create_connection(self._upstream, 2)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            for sock in (client, server):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, target, on_sent in (
                (client, server, self._on_sent),
                (server, client, lambda data: None),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(source, target, on_sent),
                    daemon=True,
                ).start()

    def _forward(self, source, target, on_sent):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                on_sent(data)
                self._open.wait()
                target.sendall(data)
        self._open.wait()
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_WR)


def _swallow(sock):
    """Read what is sent on a connection that reaches nobody."""
    with contextlib.suppress(OSError):
        while sock.recv(CHUNK_BYTES):
            pass
    sock.close()

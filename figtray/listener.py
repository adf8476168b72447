"""HTTP listener: a waitress server in its own thread, stopped gracefully."""

import http.client
import socket
import threading

import msgspec
from waitress import channel as waitress_channel
from waitress import server as waitress_server
from waitress import task as waitress_task

from figtray import clock as clock_lib
from figtray import errors
from figtray.settings import types

BACKLOG = 128
POLL_MS = 20
STOP_TIMEOUT_MS = 5000
# The hosts are diskless, so waitress must keep bodies in memory and never in
# temporary files.
NO_OVERFLOW_BYTES = 1 << 30


class _Task(waitress_task.WSGITask):
    """Request whose response closes the connection during a stop."""

    def build_response_header(self):
        if self.channel.server.stopping:
            self.request.headers['CONNECTION'] = 'close'
        return super().build_response_header()


class _Channel(waitress_channel.HTTPChannel):
    task_class = _Task


class Listener:
    """Serves a WSGI application on one address.

    The constructor binds the socket, so that a program fails before it
    starts any work; start() begins to serve requests.

    Args:
        listen: `IP:port`; port 0 takes any free port.
        app: the WSGI application.
        threads: number of requests that are processed at once.
        max_connections: limit of open connections; more wait in the
            backlog.
        max_header_bytes: limit of the header of a request.
        max_body_bytes: limit of the body of a request.
        channel_timeout_ms: idle time after which a connection is closed.

    Raises:
        ListenFailed: the address is in use or not of this host.
    """

    def __init__(
        self,
        listen,
        app,
        threads=2,
        max_connections=32,
        max_header_bytes=16 * 1024,
        max_body_bytes=16 * 1024,
        channel_timeout_ms=60_000,
    ):
        self._socket = _bind(listen)
        host, port = self._socket.getsockname()[:2]
        self.address = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
        self._server = waitress_server.create_server(
            app,
            _start=False,
            sockets=[self._socket],
            threads=threads,
            # waitress also counts its listening socket and its trigger.
            connection_limit=max_connections + 2,
            max_request_header_size=max_header_bytes,
            max_request_body_size=max_body_bytes,
            channel_timeout=max(channel_timeout_ms // 1000, 1),
            backlog=BACKLOG,
            inbuf_overflow=NO_OVERFLOW_BYTES,
            outbuf_overflow=NO_OVERFLOW_BYTES,
            asyncore_use_poll=True,
            expose_tracebacks=False,
            ident='figtray',
        )
        self._server.channel_class = _Channel
        self._server.stopping = False
        self._thread = threading.Thread(
            target=self._server.run,
            name=f'listener {self.address}',
            daemon=True,
        )

    def start(self):
        """Start to accept connections and serve requests."""
        self._server.accept_connections()
        self._thread.start()

    def busy_connections(self):
        """Return the number of connections with a request in progress.

        This includes requests that are received in part and responses that
        are not sent completely.
        """
        return sum(
            1
            for channel in list(self._server.active_channels.values())
            if _is_busy(channel)
        )

    def stop_accepting(self):
        """Refuse new connections and close open ones after a response.

        The next response on each open connection tells the client to close
        it, so that no request is sent on a connection that close() closes.
        Call this after the load balancer has seen that the process is not
        ready.
        """
        self._server.stopping = True
        done = threading.Event()

        def stop_listening():
            try:
                self._stop_listening()
            finally:
                done.set()

        if self._thread.is_alive():
            self._server.trigger.pull_trigger(stop_listening)
            done.wait(STOP_TIMEOUT_MS / 1000)

    def close(self, timeout_ms=STOP_TIMEOUT_MS, clock=None):
        """Wait for the requests in progress, then close all connections.

        Args:
            timeout_ms: longest wait for the requests in progress.
            clock: the Clock; the system clock by default.

        Returns:
            The number of requests that were aborted.
        """
        clock = clock or clock_lib.SystemClock()
        if not self._thread.is_alive():
            self._server.close()
            self._server.task_dispatcher.shutdown(timeout=1)
            return 0
        self.stop_accepting()
        deadline_ms = clock.now_ms() + timeout_ms
        never_set = threading.Event()
        while self.busy_connections() and clock.now_ms() < deadline_ms:
            clock.wait(never_set, POLL_MS)
        cut_off = self.busy_connections()
        self._server.trigger.pull_trigger(self._close_all)
        self._thread.join(STOP_TIMEOUT_MS / 1000)
        self._server.task_dispatcher.shutdown(timeout=1)
        return cut_off

    def _stop_listening(self):
        # Closing the socket resets the connections in its backlog, which may
        # carry requests, so they are accepted first.
        if not self._server.accepting:
            return
        while True:
            before = len(self._server.active_channels)
            self._server.handle_accept()
            if len(self._server.active_channels) == before:
                break
        self._server.accepting = False
        self._server.del_channel()
        self._socket.close()

    def _close_all(self):
        for channel in list(self._server.active_channels.values()):
            channel.handle_close()
        self._server.trigger.close()


def json_response(start_response, status, data, headers=()):
    """Answer a WSGI request with JSON.

    Args:
        start_response: callable of the WSGI server.
        status: HTTP status code.
        data: any value that to_json() encodes.
        headers: more (name, value) pairs.

    Returns:
        The body for the WSGI server.
    """
    return response(
        start_response, status, to_json(data), 'application/json', headers
    )


def to_json(data):
    """Encode data as JSON; values of unknown types are written as text."""
    return msgspec.json.encode(data, enc_hook=str)


def response(start_response, status, body, content_type, headers=()):
    """Answer a WSGI request; see json_response().

    Args:
        start_response: callable of the WSGI server.
        status: HTTP status code.
        body: bytes.
        content_type: value of Content-Type.
        headers: more (name, value) pairs.

    Returns:
        The body for the WSGI server.
    """
    # http.client has no phrase for statuses that are not standard.
    phrase = http.client.responses.get(status, 'Unknown')
    start_response(
        f'{int(status)} {phrase}',
        [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return [body]


def _is_busy(channel):
    return bool(
        channel.requests
        or channel.request is not None
        or channel.total_outbufs_len
    )


def _bind(listen):
    try:
        host, port = types.split_address(listen)
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
    except (OSError, ValueError) as exc:
        raise errors.ListenFailed(address=listen, detail=exc) from exc
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        # With SO_REUSEADDR, bind() succeeds although another process is
        # bound to the address; listen() fails once that process listens.
        sock.listen(BACKLOG)
    except OSError as exc:
        sock.close()
        raise errors.ListenFailed(address=listen, detail=exc.strerror) from exc
    return sock

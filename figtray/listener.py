"""HTTP listener: a waitress server in its own thread, stopped gracefully."""

import http.client
import socket
import threading

import msgspec
from waitress import server as waitress_server
from waitress import task as waitress_task

from figtray import channels
from figtray import clock as clock_lib
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.ingress import budget as budgets
from figtray.ingress import limits as limits_lib
from figtray.ingress import refusal_lines
from figtray.ingress import turns as turns_lib
from figtray import parsers
from figtray import rounds
from figtray.settings import types

BACKLOG = 128
POLL_MS = 20
STOP_TIMEOUT_MS = 5000
SWEEP_INTERVAL_S = 1
# Bytes that the kernel keeps of a connection that isn't read, at most about
# twice as many.
KERNEL_BUFFER_BYTES = 16 * 1024
# The hosts are diskless, so waitress must keep bodies in memory and never in
# temporary files.
NO_OVERFLOW_BYTES = 1 << 30


class Listener:
    """Serves a WSGI application on one address.

    The constructor binds the socket, so that a program fails before it
    starts any work; start() begins to serve requests.

    Args:
        listen: `IP:port`; port 0 takes any free port.
        app: the WSGI application.
        threads: number of requests that are processed at once.
        limits: the ingress Limits of what callers may hold; by default
            those of a listener for probes or metrics.
        max_header_bytes: limit of the header of a request.
        max_body_bytes: limit of the body of a request.
        channel_timeout_ms: idle time after which a connection is closed.
        reserve_threads: number of further threads for requests that aren't
            submissions, while all others are taken.
        read_request_limits: returns the RequestLimits that operators have
            configured, once a second; None = there are none.

    Raises:
        ListenFailed: the address is in use or not of this host.
    """

    def __init__(
        self,
        listen,
        app,
        threads=2,
        limits=limits_lib.RESERVE,
        max_header_bytes=16 * 1024,
        max_body_bytes=16 * 1024,
        channel_timeout_ms=60_000,
        reserve_threads=0,
        read_request_limits=None,
    ):
        self._socket = _bind(listen)
        host, port = self._socket.getsockname()[:2]
        self.address = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
        channel_map = {}
        self._server = waitress_server.create_server(
            app,
            map=channel_map,
            _start=False,
            sockets=[self._socket],
            threads=threads,
            # The budget closes a connection for each one beyond its limit.
            # waitress also counts its listening socket and its trigger.
            connection_limit=limits.most_connections + 4,
            recv_bytes=parsers.RECEIVE_BYTES,
            cleanup_interval=SWEEP_INTERVAL_S,
            # Those of waitress are the smallest sizes that it refuses.
            max_request_header_size=max_header_bytes + 1,
            max_request_body_size=max_body_bytes + 1,
            channel_timeout=max(channel_timeout_ms // 1000, 1),
            backlog=BACKLOG,
            inbuf_overflow=NO_OVERFLOW_BYTES,
            outbuf_overflow=NO_OVERFLOW_BYTES,
            expose_tracebacks=False,
            ident='figtray',
        )
        self._read_request_limits = read_request_limits
        self._own_limits = limits_lib.RequestLimits(
            max_header_bytes,
            max_body_bytes,
            limits_lib.GRACE_MS,
            channel_timeout_ms,
        )
        self._header_ms = limits_lib.GRACE_MS
        self._clock = clock_lib.SystemClock()
        self._lines = refusal_lines.RefusalLines()
        self.budget = budgets.Budget(limits, self._log_refusal)
        self._server.channel_class = channels.Channel
        self._server.stopping = False
        self._server.budget = self.budget
        self._server.clock = self._clock
        self._server.turns = turns_lib.Turns()
        self._server.channels = {}
        self._server.opened = 0
        self._close_idle = self._server.maintenance
        self._server.maintenance = self._close_slow
        self._reserve = waitress_task.ThreadedTaskDispatcher()
        self._reserve.set_thread_count(reserve_threads)
        if reserve_threads:
            self._server.add_task = self._add_task
        self._thread = threading.Thread(
            target=rounds.Rounds(
                self._server, channel_map, self._server.turns, self._clock
            ).run,
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
            self._shut_down_threads()
            return 0
        self.stop_accepting()
        deadline_ms = clock.now_ms() + timeout_ms
        never_set = threading.Event()
        while self.busy_connections() and clock.now_ms() < deadline_ms:
            clock.wait(never_set, POLL_MS)
        cut_off = self.busy_connections()
        self._server.trigger.pull_trigger(self._close_all)
        self._thread.join(STOP_TIMEOUT_MS / 1000)
        self._shut_down_threads()
        return cut_off

    def state(self):
        """Return the State of the budget."""
        return self.budget.state(self._clock.now_ms())

    def _add_task(self, channel):
        """Give a request to a thread; some are kept for reads and cancels."""
        dispatcher = self._server.task_dispatcher
        command = getattr(channel.requests[0], 'command', '')
        if dispatcher.queue and command != 'POST':
            dispatcher = self._reserve
        dispatcher.add_task(channel)

    def _close_slow(self, now_s):
        if self._read_request_limits is not None:
            self._apply(self._read_request_limits())
        self._close_idle(now_s)
        now_ms = self._clock.now_ms()
        self._server.turns.forget(now_ms)
        for claim in self.budget.overdue(now_ms, self._header_ms):
            channel = self._server.channels.get(claim)
            if channel is not None:
                channel.refuse()

    def _apply(self, configured):
        limits = limits_lib.in_force(self._own_limits, configured)
        adj = self._server.adj
        adj.max_request_header_size = limits.max_header_bytes + 1
        adj.max_request_body_size = limits.max_body_bytes + 1
        adj.channel_timeout = limits.idle_timeout_ms / 1000
        self._header_ms = limits.header_timeout_ms

    def _log_refusal(self, reason, claim):
        count = self._lines.note(reason, self._clock.now_ms())
        if count:
            log.emit(
                catalogue.CALLERS_REFUSED,
                listener=self.address,
                reason=reason.value,
                count=count,
                address=claim.address,
                phase=claim.phase.value,
                held_bytes=self.state().held_bytes,
            )

    def _shut_down_threads(self):
        self._server.task_dispatcher.shutdown(timeout=1)
        self._reserve.shutdown(timeout=1)

    def _stop_listening(self):
        # Closing the socket resets the connections in its backlog, which may
        # carry requests, so they are accepted first.
        if not self._server.accepting:
            return
        while True:
            before = self._server.opened
            self._server.handle_accept()
            if self._server.opened == before:
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
        # Connections inherit it.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES
        )
        sock.bind((host, port))
        # With SO_REUSEADDR, bind() succeeds although another process is
        # bound to the address; listen() fails once that process listens.
        sock.listen(BACKLOG)
    except OSError as exc:
        sock.close()
        raise errors.ListenFailed(address=listen, detail=exc.strerror) from exc
    return sock

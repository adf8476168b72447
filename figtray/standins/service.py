"""HTTP server that the stand-ins share."""

import contextlib
import http.server
import json
import queue
import signal
import socket
import socketserver
import sys
import threading

import typer

import figtray
from figtray import connections

# Several hundred clients may reconnect at the same moment after an outage.
BACKLOG = 512
DRAIN_MS = 5000
MAX_BODY_BYTES = 64 * 1024 * 1024


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection; the service of the server answers its requests.

    The buffered output makes header and body leave in one segment.
    """

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_GET(self):
        length = self.headers.get('Content-Length', '0')
        if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
            self.reply_json(400, {'error': 'bad Content-Length'})
            self.close_connection = True
            return
        body = self.rfile.read(int(length))
        if len(body) < int(length):
            self.close_connection = True
            return
        with self.server.busy():
            self.server.service.handle(self, body)
            self.wfile.flush()

    do_POST = do_GET
    do_DELETE = do_GET

    def reply(self, status, body=b'', headers=(), cut=0):
        """Send a whole response.

        Args:
            status: HTTP status.
            body: bytes.
            headers: pairs of name and value.
            cut: number of bytes of the body to hold back; the connection
                is closed then.
        """
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body[: len(body) - cut])
        if cut:
            self.close_connection = True

    def reply_json(self, status, value):
        """Send a JSON response."""
        self.reply(
            status,
            json.dumps(value).encode(),
            (('Content-Type', 'application/json'),),
        )

    def begin_stream(self):
        """Start a chunked response of JSON lines."""
        self.send_response_only(200)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        self.wfile.flush()

    def send_line(self, value):
        """Send one JSON line of a chunked response."""
        line = json.dumps(value).encode() + b'\n'
        self.wfile.write(b'%x\r\n%s\r\n' % (len(line), line))
        self.wfile.flush()

    def end_stream(self):
        """Send the end of a chunked response."""
        self.wfile.write(b'0\r\n\r\n')

    def drop(self):
        """Close the connection without a response."""
        self.close_connection = True

    def log_message(self, *args):
        """Write no access log; the services count their calls."""


class Server(http.server.ThreadingHTTPServer):
    """Threaded server of one service on one address.

    Args:
        address: `host:port`; port 0 takes a free one.
        service: object with handle(handler, body).
        max_connections: further connections are closed at once; None = no
            bound.
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG

    def __init__(self, address, service, max_connections=None):
        self.service = service
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._open = set()
        self._answered = threading.Condition()
        self._busy = 0
        self._thread = None
        super().__init__(connections.parse_address(address), Handler)

    @property
    def address(self):
        """Address in use, `host:port`."""
        return f'{self.server_address[0]}:{self.server_address[1]}'

    def server_bind(self):
        # The inherited method looks the host name up, which may block.
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = self.server_address[:2]

    def verify_request(self, request, client_address):
        with self._lock:
            limit = self._max_connections
            if limit is not None and len(self._open) >= limit:
                return False
            self._open.add(request)
            return True

    def shutdown_request(self, request):
        with self._lock:
            self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore broken connections; clients may go at any moment."""

    def connections(self):
        """Return the sockets of the open connections."""
        with self._lock:
            return set(self._open)

    def close_connections(self, keep=None):
        """Break all connections but one."""
        for sock in self.connections():
            if sock is not keep:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # the client was faster

    @contextlib.contextmanager
    def busy(self):
        """Count a request while it is answered."""
        with self._answered:
            self._busy += 1
        try:
            yield
        finally:
            with self._answered:
                self._busy -= 1
                self._answered.notify_all()

    def drain(self, timeout_ms=DRAIN_MS):
        """Wait until the responses that are being written have been sent."""
        with self._answered:
            self._answered.wait_for(lambda: not self._busy, timeout_ms / 1000)

    def start(self):
        """Serve in a thread of its own."""
        self._thread = threading.Thread(
            target=self.serve_forever,
            kwargs={'poll_interval': 0.1},
            name=f'standin-{self.address}',
            daemon=True,
        )
        self._thread.start()

    def stop(self):
        """Stop listening and break all connections."""
        if self._thread:
            self.shutdown()
            self._thread.join()
        self.server_close()
        self.close_connections()


_signals = queue.SimpleQueue()


def _install_stop_handlers():
    # A handler interrupts the main thread anywhere; SimpleQueue.put() is
    # safe there, while Event.set() can deadlock with Event.wait().
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda signum, _: _signals.put(signum))


def wait_for_signal():
    """Wait for SIGTERM or SIGINT, which run_program() catches."""
    _signals.get()


def show_version(value):
    """Print the version and exit, as the callback of --version."""
    if value:
        typer.echo(figtray.__version__)
        raise typer.Exit()


def start_or_exit(start, *args):
    """Start a server, or exit with status 2 or 3 and a clear message.

    Args:
        start: function that returns the running server.
        args: its arguments.

    Returns:
        What the function returns.
    """
    try:
        return start(*args)
    except ValueError as exc:
        typer.echo(f'error: {exc}', err=True)
        raise typer.Exit(2)
    except OSError as exc:
        typer.echo(f'error: cannot listen: {exc}', err=True)
        raise typer.Exit(3)


def run_program(function):
    """Run a typer program with one command."""
    # Before the port is announced: whoever reads it may stop the program.
    _install_stop_handlers()
    # The port announcement must reach a pipe at once.
    sys.stdout.reconfigure(line_buffering=True)
    app = typer.Typer(add_completion=False)
    app.command()(function)
    app()

"""HTTP server and signal handling of the stand-in programs."""

import http.server
import json
import queue
import signal
import socket
import socketserver
import sys
import threading

import typer

from figtray import connections

# Several hundred clients may reconnect at once after an outage.
BACKLOG = 512
MAX_BODY_BYTES = 64 * 1024 * 1024


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection, whose requests the server's service answers.

    The output is buffered so that header and body leave in one segment.
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
        self.server.service.handle(self, body)
        self.wfile.flush()

    do_POST = do_GET
    do_DELETE = do_GET

    def reply(self, status, body=b'', headers=()):
        """Send a complete response.

        Args:
            status: HTTP status.
            body: bytes.
            headers: (name, value) pairs.
        """
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def reply_json(self, status, value):
        """Send a JSON response."""
        self.reply(
            status,
            json.dumps(value).encode(),
            (('Content-Type', 'application/json'),),
        )

    def drop(self):
        """Close the connection without a response, as if it were lost."""
        self.close_connection = True

    def log_message(self, *args):
        """Write no access log."""


class Server(http.server.ThreadingHTTPServer):
    """Threaded server of one service on one address.

    Args:
        address: `host:port`; port 0 stands for any free port.
        service: object with handle(handler, body).
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG

    def __init__(self, address, service):
        self.service = service
        self._lock = threading.Lock()
        self._open_sockets = set()
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
            self._open_sockets.add(request)
            return True

    def shutdown_request(self, request):
        with self._lock:
            self._open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Report an error, but for those of connections.

        Clients may close them at any time.
        """
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)

    def connections(self):
        """Return the sockets of the open connections."""
        with self._lock:
            return set(self._open_sockets)

    def close_connections(self, keep=None):
        """Shut down all connections but one.

        Args:
            keep: socket of the connection that stays open, or None.
        """
        for sock in self.connections():
            if sock is not keep:
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # the client has closed it

    def start(self):
        """Serve in a separate thread."""
        self._thread = threading.Thread(
            target=self.serve_forever,
            kwargs={'poll_interval': 0.1},
            name=f'standin-{self.address}',
            daemon=True,
        )
        self._thread.start()

    def stop(self):
        """Stop listening and shut down all connections."""
        if self._thread:
            self.shutdown()
            self._thread.join()
        self.server_close()
        self.close_connections()


_signals = queue.SimpleQueue()


def _install_stop_handlers():
    # A signal handler may interrupt the main thread at any place.
    # SimpleQueue.put() is reentrant; Event.set() can deadlock with
    # Event.wait().
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda signum, _: _signals.put(signum))


def wait_for_signal():
    """Wait for SIGTERM or SIGINT; run_program() installs the handlers."""
    _signals.get()


def run_program(function):
    """Run a typer program with one command."""
    # Before the program announces that it is ready: whoever reads that may
    # send a signal at once.
    _install_stop_handlers()
    # The announcement must not stay in a buffer if stdout is a pipe.
    sys.stdout.reconfigure(line_buffering=True)
    app = typer.Typer(add_completion=False)
    app.command()(function)
    app()

"""TCP server that plays a fixed script, for tests of the clients."""

import contextlib
import socket
import threading
import time

LIMIT_S = 30


class ScriptedServer:
    """Hands each whole request to a function that answers on the socket.

    Args:
        answer: function of (socket, request bytes); the connection closes
            when it returns a false value.
    """

    def __init__(self, answer):
        self._answer = answer
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '%s:%d' % self._listener.getsockname()
        self.requests = []
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def stop(self):
        """Stop listening; the open connections end with their scripts."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock = self._listener.accept()[0]
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        # A client that gives up may reset the connection.
        with sock, contextlib.suppress(ConnectionError):
            while True:
                request = self._read(sock)
                if not request:
                    return
                self.requests.append(request)
                if not self._answer(sock, request):
                    return

    @staticmethod
    def _read(sock):
        data = b''
        while True:
            head, end, body = data.partition(b'\r\n\r\n')
            if end:
                length = 0
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        length = int(line.partition(b':')[2])
                if len(body) >= length:
                    return data
            more = sock.recv(65536)
            if not more:
                return b''
            data += more


def wait_until(condition):
    """Wait for a condition that another thread or the kernel brings about.

    Raises:
        TimeoutError: the condition did not hold within LIMIT_S.
    """
    end_s = time.monotonic() + LIMIT_S
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError('the condition did not come to hold')
        time.sleep(0.001)


@contextlib.contextmanager
def refusing_address():
    """Yield an address that refuses connections."""
    # A port that is bound without a listener can't be taken by others.
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        yield '%s:%d' % sock.getsockname()


def response(status, body=b'', headers=(), length=None):
    """Return the bytes of a response.

    Args:
        status: HTTP status.
        body: bytes.
        headers: pairs of name and value.
        length: Content-Length; None = length of the body.
    """
    lines = [f'HTTP/1.1 {status} x']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body) if length is None else length}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body

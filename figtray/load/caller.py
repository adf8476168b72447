"""Caller of the entries' HTTP API with one connection per entry."""

import dataclasses
import http.client
import json

from figtray import connections
from figtray.settings import types

PROBLEM_TYPE = 'application/problem+json'
# Added to the wait for an answer, which the entry gives at the deadline.
ANSWER_MARGIN_MS = 2000
# Longer than the 1 s after which the kernel repeats a lost SYN.
CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete HTTP response."""

    status: int
    headers: dict
    body: bytes

    @property
    def problem(self):
        """Return the problem document of a refusal, or None."""
        if self.headers.get('content-type', '').startswith(PROBLEM_TYPE):
            try:
                document = json.loads(self.body)
            except ValueError:
                return None
            return document if isinstance(document, dict) else None
        return None


class NotConnected(Exception):
    """No entry accepted a connection, so nothing was sent."""


class Broken(Exception):
    """The connection failed after something may have been sent."""


class Caller:
    """Sends requests to the entries; for one thread."""

    def __init__(self, entries):
        """Create a caller without connections.

        Args:
            entries: addresses of the entries.
        """
        self._entries = entries
        self._conns = {}

    def call(self, first, method, path, headers, body=None, timeout_ms=1000):
        """Send a request and read the whole response.

        An entry that accepts no connection is passed over for the next one,
        as a load balancer does; nothing has been sent to it.

        Args:
            first: index of the entry to try first.
            method: HTTP method.
            path: path with the query.
            headers: mapping of header fields.
            body: bytes, or None.
            timeout_ms: longest wait for the response.

        Returns:
            (the Answer, index of the entry, number of entries passed over).

        Raises:
            NotConnected: no entry accepted a connection.
            Broken: no complete response arrived.
        """
        for passed in range(len(self._entries)):
            index = (first + passed) % len(self._entries)
            conn = self._connect(index)
            if conn is None:
                continue
            try:
                conn.sock.settimeout((timeout_ms + ANSWER_MARGIN_MS) / 1000)
                conn.request(method, path, body, headers)
                resp = conn.getresponse()
                data = resp.read(MAX_ANSWER_BYTES)
                fields = {k.lower(): v for k, v in resp.getheaders()}
                # A response that is not read to its end leaves bytes that
                # would be taken for the next response.
                if resp.will_close or not resp.isclosed():
                    self._drop(index)
                return Answer(resp.status, fields, data), index, passed
            except (OSError, http.client.HTTPException) as exc:
                self._drop(index)
                raise Broken(f'{type(exc).__name__}: {exc}') from exc
        raise NotConnected

    def close(self):
        """Close all connections."""
        for index in list(self._conns):
            self._drop(index)

    def _connect(self, index):
        conn = self._conns.get(index)
        if conn is not None:
            # A connection that is readable while idle was closed by the
            # entry, or holds bytes that answer no request.
            if not connections.readable(conn.sock):
                return conn
            self._drop(index)
        host, port = types.split_address(self._entries[index])
        conn = http.client.HTTPConnection(
            host, port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            conn.connect()
        except OSError:
            conn.close()
            return None
        self._conns[index] = conn
        return conn

    def _drop(self, index):
        conn = self._conns.pop(index, None)
        if conn is not None:
            conn.close()

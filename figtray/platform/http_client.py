"""HTTP client of one service of the platform, with a connection pool."""

import dataclasses
import http.client
import threading

from figtray import chunks
from figtray import connections
from figtray import errors
from figtray.events import catalogue
from figtray.events import log

MAX_IDLE_CONNECTIONS = 8
# Servers close idle connections; one that was idle for longer is not reused.
MAX_IDLE_MS = 10_000
# Longest time of a call whose response keeps arriving.
MAX_TRANSFER_MS = 20_000

# Largest body of a response; those of this system's services are far smaller.
MAX_REPLY_BYTES = 8 << 20

# Bytes of a body in chunks that are decoded at once.
READ_BYTES = 8192

# An odd address or header raises ValueError, UnicodeError or InvalidURL.
_CALL_ERRORS = (OSError, http.client.HTTPException, ValueError)


class _ReplyTooLargeError(http.client.HTTPException):
    """A response whose body is larger than its service may send."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """A response that was received completely.

    Attributes:
        status: its HTTP status.
        body: its body.
        unchecked: whether it came on another connection than the one that was
            checked before; see HttpClient.call().
    """

    status: int
    body: bytes
    unchecked: bool = False


class HttpClient:
    """Client of one address; safe for use by several threads.

    A connection reaches one process: if that ends, so does the connection. A
    caller that has to know which process it calls checks each new one.

    Args:
        address: `host:port`.
        clock: the Clock.
        max_reply_bytes: largest body of a response. A larger one closes its
            connection and counts as lost.
    """

    def __init__(self, address, clock, max_reply_bytes=MAX_REPLY_BYTES):
        self.address = address
        self._max_reply_bytes = max_reply_bytes
        self._clock = clock
        self._lock = threading.Lock()
        self._idle = []
        self._closed = False

    def call(
        self,
        method,
        path,
        timeout_ms,
        body=None,
        headers=(),
        stall_ms=0,
        send_by_ms=None,
        check=None,
        is_expected=None,
    ):
        """Make one call.

        Args:
            method: HTTP method.
            path: path and query.
            timeout_ms: longest time of the whole call in milliseconds, and
                of a check before it.
            body: JSON bytes, or None.
            headers: mapping or pairs of additional headers.
            stall_ms: once the response arrives, the call goes on until none
                of it has come for so long, and MAX_TRANSFER_MS at most; 0 =
                timeout_ms is the limit of the whole call.
            send_by_ms: local time from which on nothing of the call is sent;
                None = no limit of its own. A service that has received a
                part of a call only does not execute it.
            check: called before this call on a new connection, with a
                function that makes a call there and takes method, path, body
                and headers; raises an error if another process answers. None
                = there is nothing to check. If the service closes the
                connection after that, the call is made on the next one.
            is_expected: returns whether a Reply came from the expected
                process, so that its connection may be used again; None = any
                may be.

        Returns:
            A Reply, whatever its status is.

        Raises:
            CallNotSent: the call did not reach the service.
            ReplyLost: the call may have been executed.
        """
        began_ms = self._clock.now_ms()
        deadline_ms = began_ms + timeout_ms
        conn, is_new = self._acquire(deadline_ms)
        unchecked = False
        if is_new and check is not None:
            conn, unchecked = self._check(conn, check, deadline_ms)
            # Else a slow service might answer the check alone in time.
            deadline_ms = self._clock.now_ms() + timeout_ms
        conn.begin_request(
            deadline_ms, stall_ms, began_ms + MAX_TRANSFER_MS, send_by_ms
        )
        try:
            reply, will_close = self._exchange(
                conn, method, path, body, headers
            )
        except _CALL_ERRORS as exc:
            was_sent = conn.sent_bytes > 0
            conn.abort()
            if was_sent:
                raise errors.ReplyLost(
                    address=self.address,
                    detail=describe(exc),
                    unchecked=unchecked,
                    closed=isinstance(exc, ConnectionError),
                ) from exc
            raise errors.CallNotSent(
                address=self.address, detail=describe(exc)
            ) from exc
        if will_close or not (is_expected is None or is_expected(reply)):
            conn.close()
        else:
            self._release(conn)
        return dataclasses.replace(reply, unchecked=unchecked)

    def _check(self, conn, check, deadline_ms):
        """Check a new connection.

        Returns:
            (the connection to use, whether it is another one).
        """
        ends = []

        def exchange(method, path, body, headers):
            conn.begin_request(deadline_ms)
            reply, will_close = self._exchange(
                conn, method, path, body, headers
            )
            ends.append(will_close)
            return reply

        try:
            check(exchange)
        except _CALL_ERRORS as exc:
            conn.abort()
            raise errors.CallNotSent(
                address=self.address, detail=describe(exc)
            ) from exc
        except errors.FigtrayError:
            conn.abort()
            raise
        if not any(ends):
            return conn, False
        conn.close()
        return self._open(deadline_ms), True

    def close(self):
        """Close all idle connections; later calls keep none open."""
        with self._lock:
            self._closed = True
        self.drop_idle()

    def drop_idle(self):
        """Close all idle connections, as their peer may be unreachable."""
        with self._lock:
            idle, self._idle = self._idle, []
        for _, conn in idle:
            conn.close()

    def _exchange(self, conn, method, path, body, headers):
        """Make a call; return its Reply, and whether the connection ends."""
        all_headers = dict(headers)
        if body is not None:
            all_headers['Content-Type'] = 'application/json'
        conn.request(method, path, body, all_headers)
        response = conn.getresponse()
        conn.end_head()
        reply = Reply(response.status, self._read(response))
        return reply, response.will_close

    def _read(self, response):
        limit = self._max_reply_bytes
        if response.chunked:
            data = _read_chunks(response, limit)
            length = len(data)
        elif response.length is None:
            data = response.read(limit + 1)
            length = len(data)
        else:
            length = response.length
            # Reading a part would not notice a truncated body.
            data = response.read() if length <= limit else b''
        if length > limit:
            log.emit(
                catalogue.REPLY_TOO_LARGE,
                address=self.address,
                limit_bytes=limit,
            )
            raise _ReplyTooLargeError(f'over {limit} bytes')
        return data

    def _acquire(self, deadline_ms):
        """Return a connection, and whether it is new."""
        now_ms = self._clock.now_ms()
        while True:
            with self._lock:
                if not self._idle:
                    break
                idle_since_ms, conn = self._idle.pop()
            # Unread input or a close by the peer makes a connection unusable.
            if now_ms - idle_since_ms > MAX_IDLE_MS or conn.peek() is not None:
                conn.close()
                continue
            return conn, False
        return self._open(deadline_ms), True

    def _open(self, deadline_ms):
        try:
            conn = connections.Connection(self.address, self._clock)
            conn.open(deadline_ms)
        except _CALL_ERRORS as exc:
            raise errors.CallNotSent(
                address=self.address,
                detail=describe(exc),
                refused=isinstance(exc, ConnectionRefusedError),
            ) from exc
        return conn

    def _release(self, conn):
        with self._lock:
            keep = not self._closed and len(self._idle) < MAX_IDLE_CONNECTIONS
            if keep:
                self._idle.append((self._clock.now_ms(), conn))
        if not keep:
            conn.close()


def _read_chunks(response, limit):
    """Return a body in chunks; more than `limit` bytes if it is longer.

    http.client would keep an object for each chunk.
    """
    decoder = chunks.Decoder()
    body = bytearray()
    while not decoder.completed and len(body) <= limit:
        data = response.fp.read1(READ_BYTES)
        if not data:
            raise http.client.IncompleteRead(bytes(body))
        try:
            part, consumed = decoder.feed(data)
        except errors.BadChunks as exc:
            raise http.client.HTTPException(str(exc)) from exc
        body += part
        # Bytes behind the end, so the next response could be any.
        response.will_close |= consumed < len(data)
    response.close()
    return bytes(body)


def describe(exc):
    """Return an exception's message, or its type if it has none."""
    return str(exc) or type(exc).__name__

"""Connections of a listener, which hold no more than its budget grants."""

import contextlib
import time

from waitress import channel as waitress_channel
from waitress import task as waitress_task
from waitress import wasyncore

from figtray.ingress import budget as budgets
from figtray.ingress import costs
from figtray.ingress import turns
from figtray import parsers

RETRY_AFTER_S = 1
# Name in a WSGI environment of the function that takes room for the parsed
# form of a body; it returns whether there was any.
TAKE_ROOM = 'figtray.take_room'
_REFUSAL_BODY = b'{"error":"no room for this request"}'
_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Content-Type: application/json\r\n'
    b'Content-Length: %d\r\n'
    b'Retry-After: %d\r\n'
    b'Connection: close\r\n\r\n%s'
    % (len(_REFUSAL_BODY), RETRY_AFTER_S, _REFUSAL_BODY)
)


class _Task(waitress_task.WSGITask):
    """Request whose response may close the connection, as in a stop."""

    def get_environment(self):
        environ = super().get_environment()
        environ[TAKE_ROOM] = self.channel.take_room
        return environ

    def build_response_header(self):
        if self.channel.server.stopping or self.channel.is_last():
            self.request.headers['CONNECTION'] = 'close'
        return super().build_response_header()


class Channel(waitress_channel.HTTPChannel):
    """Connection that takes room for what it reads before it reads it.

    The thread of the listener moves the claim from phase to phase. A thread
    that serves a request only takes room for a parsed body, or closes the
    claim of a connection that has ended.
    """

    task_class = _Task
    parser_class = parsers.RequestParser

    def __init__(self, server, sock, addr, adj, map=None):
        self.claim = budgets.Claim(addr[0])
        # Bytes of the next request that came with those of this one.
        self.surplus = b''
        # Work of the turn in progress.
        self._work = 0
        super().__init__(server, sock, addr, adj, map)
        server.opened += 1
        server.channels[self.claim] = self
        self._close_all(server.budget.open(self.claim, self._now_ms()))

    def readable(self):
        try:
            self._advance()
        except Exception:
            # The loop guards the other handlers, but not this one.
            self.handle_error()
        return self.connected and super().readable()

    def _advance(self):
        """Begin the next phase, as the threads of tasks leave it to us."""
        claim = self.claim
        if claim.phase is budgets.Phase.SERVED and not self.requests:
            self._begin(budgets.Phase.ANSWERED, self.total_outbufs_len)
            if self.claim.is_last:
                self.close_when_flushed = True
        if claim.phase is budgets.Phase.ANSWERED and not (
            self.total_outbufs_len
        ):
            self._begin(budgets.Phase.IDLE, 0)

    def take_turn(self, flags):
        """Do what the socket is ready for.

        Args:
            flags: events of poll().
        """
        self._work = 0
        wasyncore.readwrite(self, flags)
        # Now its key is known, too.
        self.server.turns.note(self.claim, self._work, self._now_ms())

    def handle_read(self):
        if self.surplus:
            data, self.surplus = self.surplus, b''
            self._read(lambda: data)
        else:
            self._read(lambda: self.recv(parsers.RECEIVE_BYTES))

    def received(self, data):
        if self.request is None:
            self.request = self.parser_class(self.adj)
        request = self.request
        lines = request.header_lines
        request.count_lines(data)
        lines = request.header_lines - lines
        self._work = len(data) + turns.LINE_WORK * lines
        # Before the header is parsed, and the request handed to a thread.
        if not self._prepare():
            return
        super().received(data)
        if not self.connected:
            return
        if request.completed and request.empty:
            # Only empty lines; more may have come with them.
            with self.requests_lock:
                request = self.request or next(iter(self.requests), None)
        if request is None or request.is_blank():
            self.request = None
            self._begin(budgets.Phase.IDLE, 0)
            return
        if request.headers_finished and not self.claim.has_header:
            self.server.budget.end_header(
                self.claim, request.headers.get('AUTHORIZATION', '')
            )
        if request.completed:
            self.surplus = request.surplus
            self._begin(budgets.Phase.SERVED, None)
        elif request.headers_finished:
            self._prepare()

    def send(self, data, do_close=True):
        count = super().send(data, do_close=do_close)
        self.server.budget.move(self.claim, count, self._now_ms())
        return count

    def service(self):
        try:
            super().service()
        except Exception:
            # The connection has no further request, whatever has failed.
            with self.requests_lock:
                self.requests.clear()
            self.will_close = True
            self.server.pull_trigger()
            raise
        finally:
            if not self.connected:
                self._forget()

    def handle_close(self):
        super().handle_close()
        self.server.channels.pop(self.claim, None)
        self._forget()

    def is_last(self):
        """Return whether the connection is needed for another caller."""
        return self.claim.is_last

    def take_room(self, body):
        """Take room for the parsed form of a body; tell whether there was."""
        needed = costs.body_bytes(len(body)) + costs.parsed_bytes(body)
        return self._take(needed - self.claim.held_bytes, closes=False)

    def refuse(self):
        """Close the connection; answer 503 first unless it is a submission.

        A submission may be a repetition of one that was stored, so nothing is
        said of it; its caller sends it again.
        """
        if not self.connected:
            return
        request = self.request
        if (
            self.claim.phase is budgets.Phase.ARRIVING
            and request is not None
            and not request.may_store()
        ):
            with contextlib.suppress(OSError):
                self.socket.send(_REFUSAL)
        self.handle_close()

    def _read(self, read):
        if self.claim.phase is budgets.Phase.IDLE:
            self._begin(budgets.Phase.ARRIVING, 0)
        if not self._prepare():
            return
        try:
            data = read()
        except BlockingIOError:
            # The event was for a connection that had this descriptor before.
            if self.request is None:
                self._begin(budgets.Phase.IDLE, 0)
            return
        except OSError:
            self.handle_close()
            return
        if not data:
            self.connected = False
            return
        self.last_activity = time.time()
        self.server.budget.move(self.claim, len(data), self._now_ms())
        self.received(data)

    def _prepare(self):
        """Take room for the next read, or refuse the request."""
        needed = (
            self.request.needed_bytes()
            if self.request
            else parsers.FIRST_BYTES
        )
        has_room = self._take(needed - self.claim.held_bytes)
        if not has_room:
            self.refuse()
        return has_room

    def _take(self, wanted_bytes, closes=True):
        reason, victims = self.server.budget.take(
            self.claim, wanted_bytes, self._now_ms(), closes
        )
        self._close_all(victims)
        return reason is None

    def _begin(self, phase, held_bytes):
        self.server.budget.begin(self.claim, phase, held_bytes, self._now_ms())

    def _close_all(self, claims):
        for claim in claims:
            channel = self.server.channels.get(claim)
            if channel is not None:
                channel.refuse()

    def _forget(self):
        # A task still uses the request of a connection that was closed.
        if not self.requests:
            self.server.budget.close(self.claim)

    def _now_ms(self):
        return self.server.clock.now_ms()

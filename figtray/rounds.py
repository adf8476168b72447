"""Loop of a listener: short rounds, in which few connections have a turn."""

import select

from waitress import wasyncore

from figtray.events import log
from figtray.ingress import turns as turns_lib

POLL_MS = 1000
# The other side has closed or reset the connection for both directions.
GONE = select.POLLERR | select.POLLHUP | select.POLLNVAL


class Rounds:
    """Lets the sockets of a listener do what they have to do.

    A round takes new connections and gives few turns to open ones. The
    others wait for the next one, which also sees who came meanwhile.

    Args:
        server: the waitress server, whose channels are channels.Channel.
        sockets: its sockets by descriptor.
        turns: the Turns.
        clock: the Clock.
    """

    def __init__(self, server, sockets, turns, clock):
        self._server = server
        self._sockets = sockets
        self._turns = turns
        self._clock = clock

    def run(self):
        """Serve until all sockets are closed."""
        while self._sockets:
            self._run_round()

    def _run_round(self):
        waiting = {}
        accepts = False
        for fd, flags in self._poll(waiting):
            sock = self._sockets.get(fd)
            if sock is self._server:
                accepts = True
            elif sock is self._server.trigger:
                wasyncore.readwrite(sock, flags)
            elif sock is not None and flags & GONE:
                # What it has sent is of no use, and its room is.
                wasyncore.readwrite(sock, flags & GONE)
            elif sock is not None:
                waiting[sock] = flags
        self._take_turns(waiting)
        # Their turn comes after a look at what others have given back.
        if accepts:
            self._accept()

    def _take_turns(self, waiting):
        """Let some of the channels do what their events ask for."""
        events = {
            channel.claim: (channel, flags)
            for channel, flags in waiting.items()
        }
        for claim in self._turns.next(events, self._clock.now_ms()):
            channel, flags = events[claim]
            # The turn of another one may have closed it.
            if channel.connected:
                channel.take_turn(flags)

    def _poll(self, waiting):
        """Return the descriptors with events.

        Args:
            waiting: dict to which channels are added that hold bytes of
                their next request already.
        """
        poll = select.poll()
        for fd, sock in list(self._sockets.items()):
            flags = 0
            if sock.readable():
                flags |= select.POLLIN | select.POLLPRI
                if getattr(sock, 'surplus', b''):
                    waiting[sock] = select.POLLIN
            if sock.writable() and not sock.accepting:
                flags |= select.POLLOUT
            if flags:
                poll.register(fd, flags)
        return poll.poll(0 if waiting else POLL_MS)

    def _accept(self):
        for _ in range(turns_lib.ROUND_ACCEPTS):
            opened = self._server.opened
            if self._server.readable():
                self._accept_one()
            if self._server.opened == opened:
                break

    def _accept_one(self):
        try:
            self._server.handle_accept()
        except Exception as exc:
            # Others must still be able to connect.
            log.emit_exception('accept', exc)

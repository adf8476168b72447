"""Calls from one process to one peer over pynng."""

import threading

import pynng

from figtray import codec
from figtray import errors

MAX_MESSAGE_BYTES = 64 << 20
SEND_TIMEOUT_MS = 500
# The link repeats calls itself, so the socket must not.
NO_RESEND_MS = 0x7FFFFFFF


class Link:
    """Serial calls to one peer.

    Every call has a sequence number, and the peer handles a number once. A
    call that is repeated after a lost reply therefore returns the stored
    reply and has no second effect.
    """

    def __init__(self, peer, address, sender, run_id, channel='control'):
        self.peer = peer
        self._address = f'tcp://{address}'
        self._sender = sender
        self._incarnation = f'{run_id}/{channel}'
        self._lock = threading.Lock()
        self._sequence = 0
        self._socket = None

    def call(self, message, timeout_ms, attempts=1):
        """Send a message and wait for the reply.

        Args:
            message: instance of a registered message type.
            timeout_ms: longest wait for each attempt in milliseconds.
            attempts: how often the same call is sent.

        Returns:
            The reply message.

        Raises:
            PeerUnavailable: no reply came; the peer may have handled the
                message.
            CodecError: the peer sent something else than a message.
        """
        if not self._lock.acquire(timeout=timeout_ms / 1000):
            raise errors.PeerUnavailable(
                peer=self.peer, detail='link busy', sent=False
            )
        sent = False
        try:
            self._sequence += 1
            data = codec.encode(
                self._sender, self._incarnation, self._sequence, message
            )
            for attempt in range(attempts):
                try:
                    self._connect()
                    sent = True
                    return codec.decode(self._exchange(data, timeout_ms))[1]
                except pynng.NNGException as exc:
                    self._drop()
                    if attempt + 1 == attempts:
                        raise errors.PeerUnavailable(
                            peer=self.peer, detail=str(exc), sent=sent
                        ) from exc
        finally:
            self._lock.release()

    def close(self):
        """Close the connection; a later call opens a new one."""
        with self._lock:
            self._drop()

    def _connect(self):
        if self._socket is None:
            self._socket = pynng.Req0(
                send_timeout=SEND_TIMEOUT_MS,
                recv_max_size=MAX_MESSAGE_BYTES,
                resend_time=NO_RESEND_MS,
            )
            self._socket.dial(self._address, block=True)

    def _exchange(self, data, timeout_ms):
        self._socket.recv_timeout = timeout_ms
        self._socket.send(data)
        return self._socket.recv()

    def _drop(self):
        # A connection on which anything timed out may be half-open, so the
        # next call starts with a new one.
        if self._socket is not None:
            self._socket.close()
            self._socket = None

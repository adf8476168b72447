"""Receives the calls of other processes over pynng."""

import collections
import concurrent.futures
import threading

import pynng

from figtray import codec
from figtray import errors
from figtray.peers import link as link_lib

CONTEXTS = 4
# A serving task looks for the stop this often. Closing a context from
# another thread while it receives has crashed a process once.
STOP_POLL_MS = 2_000
MAX_SENDERS = 512


class _SenderState:
    """Last call of one sender incarnation and its reply."""

    def __init__(self):
        self.lock = threading.Lock()
        self.sequence = 0
        self.reply = b''


class Deduplicator:
    """Handles each call of a sender once and repeats the stored reply."""

    def __init__(self, name, run_id, handler):
        self._name = name
        self._run_id = run_id
        self._handler = handler
        self._lock = threading.Lock()
        self._senders = collections.OrderedDict()

    def handle(self, data):
        """Handle one received call.

        Args:
            data: the encoded message.

        Returns:
            The encoded reply, or None if the call is older than the last
            one of its sender or can't be decoded.
        """
        try:
            envelope, message = codec.decode(data)
        except errors.CodecError:
            return None
        state = self._state((envelope.sender, envelope.incarnation))
        with state.lock:
            if envelope.sequence < state.sequence:
                return None
            if envelope.sequence == state.sequence:
                return state.reply
            reply = self._handler(envelope, message)
            state.reply = codec.encode(
                self._name, self._run_id, envelope.sequence, reply
            )
            state.sequence = envelope.sequence
            return state.reply

    def _state(self, sender):
        with self._lock:
            state = self._senders.setdefault(sender, _SenderState())
            self._senders.move_to_end(sender)
            if len(self._senders) > MAX_SENDERS:
                self._senders.popitem(last=False)
            return state


class PeerServer:
    """Listens for calls; each context is served by a task of its own."""

    def __init__(self, name, run_id, address, handler, on_error):
        self._deduplicator = Deduplicator(name, run_id, handler)
        self._address = f'tcp://{address}'
        self._on_error = on_error
        self._socket = None
        self._stop = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            CONTEXTS, thread_name_prefix='peer-server'
        )

    def start(self):
        """Open the listener.

        Raises:
            OSError: the address can't be bound.
        """
        self._socket = pynng.Rep0(
            recv_max_size=link_lib.MAX_MESSAGE_BYTES,
            recv_timeout=STOP_POLL_MS,
        )
        try:
            self._socket.listen(self._address)
        except pynng.NNGException as exc:
            raise OSError(f'{self._address}: {exc}') from exc
        for _ in range(CONTEXTS):
            self._executor.submit(self._serve, self._socket.new_context())

    def close(self):
        """Close the listener and wait for its tasks."""
        self._stop.set()
        self._executor.shutdown(wait=True)
        if self._socket is not None:
            self._socket.close()

    def _serve(self, context):
        """Answer calls on one context; a task of the executor."""
        with context:
            while not self._stop.is_set():
                self._answer_next(context)

    def _answer_next(self, context):
        try:
            data = context.recv()
        except pynng.Timeout:
            return
        except pynng.NNGException as exc:
            self._on_error(exc)
            self._stop.wait(STOP_POLL_MS / 1000)
            return
        try:
            reply = self._deduplicator.handle(data)
        except Exception as exc:
            # One faulty call must not end the task that serves all later
            # ones.
            self._on_error(exc)
            return
        if reply is None:
            return
        try:
            context.send(reply)
        except pynng.NNGException:
            return

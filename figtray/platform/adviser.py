"""Client of the platform's adviser, which approves workers for steps."""

import typing

import msgspec

from figtray import clock as clock_lib
from figtray import decoding
from figtray import errors
from figtray.events import unreadable
from figtray.fleet import base
from figtray.fleet import messages
from figtray.platform import http_client

MAX_VALID_MS = 10**9


class _Reply(msgspec.Struct, frozen=True):
    good: tuple[msgspec.Raw, ...] = ()  # (worker id, its ticket)
    valid_ms: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_VALID_MS)] = 0


_reply_decoder = msgspec.json.Decoder(_Reply)
_row_decoder = msgspec.json.Decoder(tuple[str, str])


class PlatformAdviser(base.Adviser):
    """Client of the adviser.

    Args:
        address: `host:port` of the service.
        clock: the Clock.
    """

    def __init__(self, address, clock=None):
        clock = clock or clock_lib.SystemClock()
        self._client = http_client.HttpClient(address, clock)
        self._unreadable = unreadable.UnreadableLog(clock)

    def advise(self, step, worker_ids, timeout_ms):
        reply = self._client.call(
            'POST',
            '/api/advise',
            timeout_ms,
            msgspec.json.encode({'step': step, 'workers': worker_ids}),
        )
        if reply.status != 200:
            raise errors.CallNotSent(
                address=self._client.address, detail=f'status {reply.status}'
            )
        try:
            decoded = decoding.decode('reply', _reply_decoder, reply.body)
        except errors.UnreadableMessage as exc:
            raise errors.ReplyLost(
                address=self._client.address, detail=f'malformed: {exc}'
            ) from exc
        rows = (
            self._unreadable.read(
                'advice',
                lambda data: decoding.decode('row', _row_decoder, data),
                row,
            )
            for row in decoded.good
        )
        return messages.Advice(
            dict(row for row in rows if row is not None), decoded.valid_ms
        )

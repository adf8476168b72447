"""Client of the platform's adviser, which approves workers for steps."""

import msgspec

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import base
from figtray.fleet import messages
from figtray.platform import http_client


class _Reply(msgspec.Struct, frozen=True):
    good: tuple[tuple[str, str], ...] = ()  # (worker id, its ticket)
    valid_ms: int = 0


class PlatformAdviser(base.Adviser):
    """Client of the adviser.

    Args:
        address: `host:port` of the service.
        clock: the Clock.
    """

    def __init__(self, address, clock=None):
        self._client = http_client.HttpClient(
            address, clock or clock_lib.SystemClock()
        )

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
            decoded = msgspec.json.decode(reply.body, type=_Reply)
        except msgspec.MsgspecError as exc:
            raise errors.ReplyLost(
                address=self._client.address, detail=f'malformed reply: {exc}'
            ) from exc
        return messages.Advice(dict(decoded.good), decoded.valid_ms)

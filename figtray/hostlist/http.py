"""Client of the platform's host list over HTTP."""

import contextlib
import http.client
import json

from figtray import connections
from figtray import errors
from figtray.hostlist import base

MAX_LIST_BYTES = 64 * 1024 * 1024


def parse_hosts(data):
    """Parse the JSON of the host list.

    Args:
        data: bytes.

    Returns:
        List of HostStatus.

    Raises:
        ValueError: the data is no host list.
    """
    try:
        return [
            base.HostStatus(
                host=str(item['host']),
                presence=base.HostPresence(item['presence']),
                boot_id=str(item['boot_id']),
                running=int(item['running']),
                age_ms=int(item['age_ms']),
            )
            for item in json.loads(data)['hosts']
        ]
    except (TypeError, LookupError, AttributeError) as exc:
        raise ValueError(f'malformed host list: {exc!r}')


class HttpHostList(base.HostList):
    """Reads the list over a new connection for each call.

    Args:
        address: `host:port`.
        timeout_ms: longest wait for the whole list in milliseconds.
        clock: clock.Clock.
    """

    def __init__(self, address, timeout_ms, clock):
        self._address = address
        self._timeout_ms = timeout_ms
        self._clock = clock

    def list_hosts(self):
        try:
            conn = connections.Connection(self._address, self._clock)
            with contextlib.closing(conn):
                conn.open(self._clock.now_ms() + self._timeout_ms)
                conn.request('GET', '/hosts', headers={'Connection': 'close'})
                resp = conn.getresponse()
                if resp.status != 200:
                    raise ValueError(f'status {resp.status}')
                if resp.length is None or resp.length > MAX_LIST_BYTES:
                    raise ValueError('no or too large a Content-Length')
                return parse_hosts(resp.read())
        except (OSError, http.client.HTTPException, ValueError) as exc:
            raise errors.HostListUnavailable(
                detail=f'{self._address}: {exc or repr(exc)}'
            )

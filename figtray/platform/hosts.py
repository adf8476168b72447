"""Client of the platform's host service: list, moves and upkeeps."""

import urllib.parse

import msgspec

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import base
from figtray.fleet import model as fleet
from figtray.platform import documents
from figtray.platform import http_client

CALL_TIMEOUT_MS = 2000
HOLDER_HEADER = 'X-Figtray-Holder'
TOKEN_HEADER = 'X-Figtray-Fencing-Token'


class _Machine(msgspec.Struct, frozen=True):
    """A host in the platform's JSON."""

    machine: str
    pool: str
    state: fleet.HostState
    zone: str = ''
    labels: tuple[str, ...] = ()
    capacity: documents.Amounts = documents.Amounts()
    id: str | None = None  # the worker's id, not the host's


class _Page(msgspec.Struct, frozen=True):
    machines: tuple[_Machine, ...] = ()
    next_token: str | int | None = None


class PlatformHosts(base.HostClient):
    """Client of the platform's host service.

    Args:
        address: `host:port` of the service.
        clock: the Clock.
    """

    def __init__(self, address, clock=None):
        self._client = http_client.HttpClient(
            address, clock or clock_lib.SystemClock()
        )

    def list_hosts(self):
        hosts, page_token = [], None
        while True:
            path = '/api/machines'
            if page_token:
                query = urllib.parse.urlencode({'page_token': page_token})
                path = f'{path}?{query}'
            page = self._read_page(path)
            hosts += [_build_host(machine) for machine in page.machines]
            page_token = page.next_token
            if not page_token:
                return tuple(hosts)

    def move(self, host_id, pool, node_name, epoch):
        body = {'machine': host_id, 'pool': pool}
        return self._send_order('/api/machine-move', body, node_name, epoch)

    def begin_upkeep(self, host_id, wave, node_name, epoch):
        body = {'machine': host_id, 'wave': wave}
        return self._send_order('/api/machine-upkeep', body, node_name, epoch)

    def _read_page(self, path):
        try:
            reply = self._client.call('GET', path, CALL_TIMEOUT_MS)
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            raise errors.HostListUnavailable(detail=str(exc)) from exc
        if reply.status != 200:
            raise errors.HostListUnavailable(detail=f'status {reply.status}')
        try:
            return msgspec.json.decode(reply.body, type=_Page)
        except msgspec.MsgspecError as exc:
            raise errors.HostListUnavailable(detail=str(exc)) from exc

    def _send_order(self, path, body, node_name, epoch):
        reply = self._client.call(
            'POST',
            path,
            CALL_TIMEOUT_MS,
            msgspec.json.encode(body),
            {HOLDER_HEADER: node_name, TOKEN_HEADER: str(epoch)},
        )
        return reply.status == 200


def _build_host(machine):
    return fleet.Host(
        host_id=machine.machine,
        pool=machine.pool,
        state=machine.state,
        zone=machine.zone,
        labels=machine.labels,
        capacity=machine.capacity.to_resources(),
        worker_id=machine.id or '',
    )

"""Client of the platform's host service: list, moves and upkeeps."""

import urllib.parse

import msgspec

from figtray import clock as clock_lib
from figtray import decoding
from figtray import errors
from figtray.events import unreadable
from figtray.fleet import base
from figtray.fleet import model as fleet
from figtray.jobs import limits
from figtray.platform import documents
from figtray.platform import http_client

CALL_TIMEOUT_MS = 2000
# Of one list; more than any site has.
MAX_PAGES = 1000
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
    machines: tuple[msgspec.Raw, ...] = ()
    next_token: str | int | None = None


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ''


class _MachineId(msgspec.Struct, frozen=True):
    """What can be told of a host that is odd otherwise."""

    machine: str


_machine_decoder = msgspec.json.Decoder(_Machine)
_machine_id_decoder = msgspec.json.Decoder(_MachineId)
_page_decoder = msgspec.json.Decoder(_Page)
_refusal_decoder = msgspec.json.Decoder(_Refusal)


class PlatformHosts(base.HostClient):
    """Client of the platform's host service.

    Args:
        address: `host:port` of the service.
        clock: the Clock.
    """

    def __init__(self, address, clock=None):
        clock = clock or clock_lib.SystemClock()
        self._client = http_client.HttpClient(address, clock)
        self._unreadable = unreadable.UnreadableLog(clock)
        # Ids of the hosts in the last list.
        self._last_ids = frozenset()

    def list_hosts(self):
        hosts, page_token = [], None
        for _ in range(MAX_PAGES):
            path = '/api/machines'
            if page_token:
                query = urllib.parse.urlencode({'page_token': page_token})
                path = f'{path}?{query}'
            page = self._read_page(path)
            hosts += [self._build_host(row) for row in page.machines]
            page_token = page.next_token
            if not page_token:
                return self._complete(hosts)
        raise errors.HostListUnavailable(detail='its pages do not end')

    def move(self, host_id, pool, sender):
        body = {'machine': host_id, 'pool': pool}
        return self._send_order('/api/machine-move', body, sender)

    def begin_upkeep(self, host_id, wave, sender):
        body = {'machine': host_id, 'wave': wave}
        return self._send_order('/api/machine-upkeep', body, sender)

    def _read_page(self, path):
        try:
            reply = self._client.call('GET', path, CALL_TIMEOUT_MS)
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            raise errors.HostListUnavailable(detail=str(exc)) from exc
        if reply.status != 200:
            raise errors.HostListUnavailable(detail=f'status {reply.status}')
        try:
            return decoding.decode('page', _page_decoder, reply.body)
        except errors.UnreadableMessage as exc:
            raise errors.HostListUnavailable(detail=str(exc)) from exc

    def _build_host(self, row):
        """Return the Host of a row of the list.

        A row that is odd must not look as if the host had left the list,
        which would end its worker: only the host's state is unknown. None if
        its id is unreadable as well.
        """
        try:
            return _build_host(decoding.decode('host', _machine_decoder, row))
        except errors.UnreadableMessage as exc:
            host_id = _read_id(row)
            self._unreadable.note(f'host {host_id}', exc)
        return _unknown_host(host_id) if host_id else None

    def _complete(self, hosts):
        """Return a whole list of hosts.

        Args:
            hosts: the Hosts; None for each one without an id, which may be
                any that the list lacks.
        """
        found = [host for host in hosts if host is not None]
        if len(found) < len(hosts):
            ids = {host.host_id for host in found}
            found += [_unknown_host(i) for i in self._last_ids - ids]
        self._last_ids = frozenset(host.host_id for host in found)
        return tuple(found)

    def _send_order(self, path, body, sender):
        """Send an order for a host and return whether it was accepted.

        Raises:
            StaleEpoch: the service has seen a later epoch for this host.
        """
        reply = self._client.call(
            'POST',
            path,
            CALL_TIMEOUT_MS,
            msgspec.json.encode(body),
            {
                HOLDER_HEADER: sender.node_name,
                TOKEN_HEADER: str(sender.epoch),
            },
            send_by_ms=sender.valid_until_ms,
        )
        if reply.status == 409 and self._read_reason(body, reply) == 'fence':
            raise errors.StaleEpoch(
                detail=f'{body["machine"]} has had an order with a later epoch'
            )
        return reply.status == 200

    def _read_reason(self, body, reply):
        """Return the reason of a refusal; empty if it is unreadable."""
        try:
            refusal = decoding.decode('refusal', _refusal_decoder, reply.body)
            return refusal.reason
        except errors.UnreadableMessage as exc:
            self._unreadable.note(f'refusal for host {body["machine"]}', exc)
            return ''


def _build_host(machine):
    capacity = machine.capacity.to_resources()
    if limits.are_amounts_odd(capacity):
        raise decoding.unreadable('host', 'its capacity is out of range')
    return fleet.Host(
        host_id=machine.machine,
        pool=machine.pool,
        state=machine.state,
        zone=machine.zone,
        labels=machine.labels,
        capacity=capacity,
        worker_id=machine.id or '',
    )


def _unknown_host(host_id):
    return fleet.Host(host_id, '', fleet.HostState.UNKNOWN, '')


def _read_id(row):
    """Return the id of an odd host; empty if it is unreadable as well."""
    try:
        return decoding.decode('host', _machine_id_decoder, row).machine
    except errors.UnreadableMessage:
        return ''

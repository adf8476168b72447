"""Client of the platform's key-value store."""

import typing
import urllib.parse

import msgspec

from figtray import clock as clock_lib
from figtray import decoding
from figtray import errors
from figtray.events import unreadable
from figtray.platform import http_client
from figtray.store import base

CALL_TIMEOUT_MS = 1200
WATCH_TIMEOUT_MARGIN_MS = 800
# Longest pause in a response whose size has no bound of ours: all keys of a
# prefix, or all changes below it. A configuration of 1 MB takes a link of
# 5 Mbit/s over 2 s.
STALL_MS = 1200
MAX_TXN_ENTRIES = 32
# A read whose connection breaks within this time is retried once.
READ_RETRY_WINDOW_MS = 300
# A page has about 1 MB; a watch may have all changes of its history.
MAX_REPLY_BYTES = 32 << 20


_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Item(msgspec.Struct, frozen=True):
    """A key in the platform's JSON; `deleted` marks a deletion."""

    key: str
    value: bytes = b''
    # Revision of the last change, not a version of the value's format.
    revision: _Number = 0
    create_rev: _Number = 0
    lease: _Number = 0
    deleted: bool = False

    def to_key_value(self):
        """Return the store interface's KeyValue."""
        return base.KeyValue(
            key=self.key,
            value=self.value,
            mod_revision=self.revision,
            create_revision=self.create_rev,
            lease=self.lease,
            deleted=self.deleted,
        )


class _Page(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False
    as_of: _Number = 0


class _Changes(msgspec.Struct, frozen=True):
    events: tuple[msgspec.Raw, ...] = ()
    as_of: _Number = 0


class _TxnReply(msgspec.Struct, frozen=True):
    revision: _Number = 0
    items: tuple[msgspec.Raw, ...] = ()


class _LeaseReply(msgspec.Struct, frozen=True):
    lease: _Number = 0
    ttl_ms: _Number = 0


class _Key(msgspec.Struct, frozen=True):
    """What can be told of an item that is odd otherwise."""

    key: str


_item_decoder = msgspec.json.Decoder(Item)
_key_decoder = msgspec.json.Decoder(_Key)
_page_decoder = msgspec.json.Decoder(_Page)
_changes_decoder = msgspec.json.Decoder(_Changes)
_txn_decoder = msgspec.json.Decoder(_TxnReply)
_lease_decoder = msgspec.json.Decoder(_LeaseReply)


class PlatformStore(base.Store):
    """Client of the platform's key-value store over HTTP.

    Args:
        address: `host:port` of the store.
        clock: the Clock.
        call_ms: longest time of a call in milliseconds.
    """

    def __init__(self, address, clock=None, call_ms=CALL_TIMEOUT_MS):
        self.clock = clock or clock_lib.SystemClock()
        self._call_ms = call_ms
        self._address = address
        self._client = http_client.HttpClient(
            address, self.clock, MAX_REPLY_BYTES
        )
        self._unreadable = unreadable.UnreadableLog(self.clock)

    def get(self, key, timeout_ms=None):
        query = urllib.parse.urlencode({'key': key})
        status, body = self._read(f'/api/kv-key?{query}', timeout_ms)
        if status == 404:
            return None
        found = next(self._key_values([body]), None)
        if found is None:
            raise errors.StoreUnavailable(detail='unreadable reply')
        return found

    def range(self, prefix):
        items, revision = [], 0
        for page in self.pages(prefix):
            items += page.items
            revision = page.revision
        return base.RangeResult(tuple(items), revision)

    def pages(self, prefix):
        revision, after = 0, ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            path = f'/api/kv-range?{urllib.parse.urlencode(query)}'
            _, body = self._read(path, stall_ms=STALL_MS)
            page = _decode(_page_decoder, body)
            # The pages are not one snapshot: a watch from the revision of
            # the first page yields what changed while the others were read.
            revision = revision or page.as_of
            found = tuple(self._key_values(page.items))
            yield base.RangeResult(found, revision)
            if not page.has_more:
                return
            if not found or found[-1].key <= after:
                raise errors.StoreUnavailable(detail='its pages do not end')
            after = found[-1].key

    def txn(self, compares, puts=(), deletes=(), timeout_ms=None):
        if len(compares) + len(puts) + len(deletes) > MAX_TXN_ENTRIES:
            raise errors.StoreUnavailable(
                detail='a transaction has too many entries'
            )
        body = {
            'precondition': [
                {'key': item.key, 'revision': item.value} for item in compares
            ],
            'writes': [
                {'key': put.key, 'value': put.value}
                | ({'lease': put.lease} if put.lease else {})
                for put in puts
            ],
            'deletes': list(deletes),
        }
        status, data = self._write('/api/kv-txn', body, timeout_ms)
        if status == 404:
            lease_id = next((put.lease for put in puts if put.lease), 0)
            raise errors.LeaseLost(lease_id=lease_id)
        reply = _decode(_txn_decoder, data, uncertain=status == 200)
        if status == 200:
            return base.TxnResult(True, reply.revision)
        # Without one of them, the leader could take its key for gone.
        items = [_decode(_item_decoder, item) for item in reply.items]
        current = tuple(
            item.to_key_value()
            for item in items
            if item.revision and not item.deleted
        )
        return base.TxnResult(False, 0, current)

    def grant_lease(self, ttl_ms):
        try:
            status, data = self._write('/api/kv-lease', {'ttl_ms': ttl_ms})
        except errors.WriteUncertain as exc:
            # A lease whose id is unknown has no keys and expires by itself.
            raise errors.StoreUnavailable(detail=str(exc)) from exc
        return _decode(_lease_decoder, data).lease

    def keep_alive(self, lease_id):
        try:
            status, data = self._write(f'/api/kv-keep/{lease_id}')
        except errors.WriteUncertain as exc:
            raise errors.StoreUnavailable(detail=str(exc)) from exc
        if status == 404:
            return 0
        return _decode(_lease_decoder, data).ttl_ms

    def revoke(self, lease_id):
        try:
            self._request('DELETE', f'/api/kv-lease-end/{lease_id}')
        except errors.WriteUncertain as exc:
            raise errors.StoreUnavailable(detail=str(exc)) from exc

    def watch(self, prefix, start_revision, stop, wait_ms=base.WATCH_WAIT_MS):
        # A client of its own, so that the long poll occupies no connection of
        # the other calls.
        client = http_client.HttpClient(
            self._address, self.clock, MAX_REPLY_BYTES
        )
        after = start_revision - 1
        wait_ms = wait_ms or base.WATCH_WAIT_MS
        try:
            while not stop.is_set():
                changes = self._poll_changes(client, prefix, after, wait_ms)
                after = max(after, changes.as_of)
                yield from self._key_values(changes.events)
                yield None
        finally:
            client.close()

    def close(self):
        self._client.close()

    def _poll_changes(self, client, prefix, after, wait_ms):
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'wait_ms': wait_ms}
        )
        try:
            reply = client.call(
                'GET',
                f'/api/kv-watch?{query}',
                wait_ms + WATCH_TIMEOUT_MARGIN_MS,
                stall_ms=STALL_MS,
            )
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            raise errors.StoreUnavailable(detail=str(exc)) from exc
        if reply.status == 410:
            raise errors.HistoryCompacted(revision=after)
        if reply.status != 200:
            raise errors.StoreUnavailable(detail=f'status {reply.status}')
        return _decode(_changes_decoder, reply.body)

    def _key_values(self, rows):
        """Yield the KeyValues of a reply; odd items are logged.

        One whose key is known gets an empty value, which no reader takes for
        a record: without the item, a reader would take it for absent.

        Args:
            rows: the msgspec.Raw of each item.
        """
        for row in rows:
            try:
                yield decoding.decode(
                    'item', _item_decoder, row
                ).to_key_value()
                continue
            except errors.UnreadableMessage as exc:
                key = _read_key(row)
                self._unreadable.note(key or 'item without a key', exc)
            if key:
                yield base.KeyValue(key, b'', 0)

    def _read(self, path, timeout_ms=None, stall_ms=0):
        """Send a GET; retry once if the connection breaks early."""
        began_ms = self.clock.now_ms()
        limits = {'timeout_ms': timeout_ms, 'stall_ms': stall_ms}
        try:
            return self._request('GET', path, **limits)
        except errors.WriteUncertain as exc:
            if self.clock.now_ms() - began_ms > READ_RETRY_WINDOW_MS:
                raise errors.StoreUnavailable(detail=str(exc)) from exc
        try:
            return self._request('GET', path, **limits)
        except errors.WriteUncertain as exc:
            raise errors.StoreUnavailable(detail=str(exc)) from exc

    def _write(self, path, body=None, timeout_ms=None):
        data = msgspec.json.encode(body) if body is not None else None
        return self._request('POST', path, data, timeout_ms)

    def _request(self, method, path, body=None, timeout_ms=None, stall_ms=0):
        """Send one request.

        Raises:
            StoreUnavailable: the store did not get the request, or replied
                with an error.
            WriteUncertain: the reply was lost, also that of a read.
            WriteForbidden: the store does not allow the write.
        """
        limit_ms = min(timeout_ms or self._call_ms, self._call_ms)
        try:
            reply = self._client.call(
                method, path, limit_ms, body, stall_ms=stall_ms
            )
        except errors.CallNotSent as exc:
            raise errors.StoreUnavailable(detail=str(exc)) from exc
        except errors.ReplyLost as exc:
            # Other idle connections to the store may be dead as well.
            self._client.drop_idle()
            raise errors.WriteUncertain(detail=str(exc)) from exc
        if reply.status in (429, 503):
            raise errors.StoreUnavailable(detail=f'status {reply.status}')
        if reply.status == 403:
            raise errors.WriteForbidden(detail=f'{reply.body[:200]}')
        if reply.status not in (200, 204, 404, 412):
            raise errors.StoreUnavailable(
                detail=f'unexpected status {reply.status}: {reply.body[:200]}'
            )
        return reply.status, reply.body


def _read_key(row):
    """Return the key of an odd item; empty if it is unreadable as well."""
    try:
        return decoding.decode('item', _key_decoder, row).key
    except errors.UnreadableMessage:
        return ''


def _decode(decoder, data, uncertain=False):
    try:
        return decoding.decode('reply', decoder, data)
    except errors.UnreadableMessage as exc:
        error = errors.WriteUncertain if uncertain else errors.StoreUnavailable
        raise error(detail=f'unreadable: {exc}') from exc

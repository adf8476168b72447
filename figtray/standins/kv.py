"""Stand-in for the key-value service: a subset of the etcd JSON gateway."""

import json
import sys
import threading
import time

import typer

from figtray import clock as clock_lib
from figtray import connections
from figtray import errors
from figtray.standins import service
from figtray.store import base
from figtray.store import etcd
from figtray.store import memory

EXPIRY_INTERVAL_S = 0.1
WATCH_WAIT_MS = 500

# HTTP status and gRPC code of the errors.
INVALID = (400, 3)
LEASE_NOT_FOUND = (404, 5)


class _Rejected(Exception):
    def __init__(self, kind, message):
        super().__init__(message)
        self.status, self.code = kind


def _field(value, name, default=None):
    """Read a field by its name in snake_case or camelCase."""
    head, *rest = name.split('_')
    camel = head + ''.join(word.capitalize() for word in rest)
    return value.get(name, value.get(camel, default))


def _key(value):
    return etcd.decode(_field(value, 'key', '')).decode()


def _kv_json(item):
    reply = {
        'key': etcd.encode(item.key),
        'mod_revision': str(item.mod_revision),
    }
    if not item.deleted:
        reply['create_revision'] = str(item.create_revision)
        reply['value'] = etcd.encode(item.value)
    if item.lease:
        reply['lease'] = str(item.lease)
    return reply


def _prefix(request):
    """Return (key, None) or (None, prefix) of a range request."""
    key = etcd.decode(_field(request, 'key', ''))
    end = etcd.decode(_field(request, 'range_end', ''))
    if not end:
        return key.decode(), None
    if (key, end) == (b'\0', b'\0'):
        return None, ''
    prefix = key.decode()
    if etcd.prefix_range(prefix)[1] != end:
        raise _Rejected(INVALID, 'only prefix ranges are supported')
    return None, prefix


class KvService:
    """Answers the gateway's calls and the fault calls over a MemoryStore."""

    def __init__(self, clock=None):
        self.store = memory.MemoryStore(clock or clock_lib.SystemClock())
        self._lock = threading.Lock()
        self._delay_ms = 0
        self._dumps = {}
        self._watches = 0
        self._routes = {
            '/v3/kv/range': self._range,
            '/v3/kv/txn': self._txn,
            '/v3/lease/grant': self._grant,
            '/v3/lease/keepalive': self._keep_alive,
            '/v3/lease/revoke': self._revoke,
            '/v3/kv/lease/revoke': self._revoke,
            '/faults': self._faults,
            '/stats': self._stats,
            '/dump': self._dump,
            '/restore': self._restore,
        }

    def handle(self, handler, body):
        """Answer one request."""
        path = handler.path.partition('?')[0]
        if path.startswith('/v3/') and self._delay_ms:
            time.sleep(self._delay_ms / 1000)
        try:
            request = json.loads(body or b'{}')
            if not isinstance(request, dict):
                raise _Rejected(INVALID, 'the body is no object')
            if path == '/v3/watch':
                self._watch(handler, request)
                return
            if path not in self._routes:
                raise _Rejected((404, 12), f'no such path: {path}')
            reply = self._routes[path](request)
        except _Rejected as exc:
            self._reject(handler, exc)
        except errors.LeaseLost:
            message = 'etcdserver: requested lease not found'
            self._reject(handler, _Rejected(LEASE_NOT_FOUND, message))
        except memory.InvalidTxn as exc:
            self._reject(handler, _Rejected(INVALID, str(exc)))
        except (errors.StoreUnavailable, errors.WriteUncertain):
            handler.drop()
        except (ValueError, TypeError, LookupError, AttributeError) as exc:
            self._reject(handler, _Rejected(INVALID, f'{exc!r}'))
        else:
            handler.reply_json(200, reply)

    @staticmethod
    def _reject(handler, exc):
        reply = {'error': str(exc), 'message': str(exc), 'code': exc.code}
        handler.reply_json(exc.status, reply)

    def _header(self, revision=None):
        if revision is None:
            revision = self.store.revision
        return {'cluster_id': '1', 'revision': str(revision)}

    def _range(self, request):
        key, prefix = _prefix(request)
        if prefix is None:
            result, revision = self.store.get_at(key)
            items = [result] if result else []
        else:
            result = self.store.range(prefix)
            items, revision = result.items, result.revision
        reply = {'header': self._header(revision)}
        if items:
            reply['kvs'] = [_kv_json(item) for item in items]
            reply['count'] = str(len(items))
        return reply

    def _txn(self, request):
        if _field(request, 'failure'):
            raise _Rejected(INVALID, 'failure branches are not supported')
        compares = [
            self._compare(item) for item in _field(request, 'compare', ())
        ]
        puts = []
        deletes = []
        for operation in _field(request, 'success', ()):
            put = _field(operation, 'request_put')
            delete = _field(operation, 'request_delete_range')
            if put:
                value = etcd.decode(_field(put, 'value', ''))
                lease = int(_field(put, 'lease', 0))
                puts.append(base.Put(_key(put), value, lease))
            elif delete and not _field(delete, 'range_end'):
                deletes.append(_key(delete))
            else:
                raise _Rejected(INVALID, 'operation is not supported')
        result = self.store.txn(compares, puts, deletes)
        reply = {'header': self._header(result.revision)}
        if result.succeeded:
            reply['succeeded'] = True
        return reply

    @staticmethod
    def _compare(item):
        target = _field(item, 'target', 'VERSION')
        fields = {'MOD': 'mod_revision', 'CREATE': 'create_revision'}
        if _field(item, 'result', 'EQUAL') != 'EQUAL' or target not in fields:
            raise _Rejected(INVALID, 'comparison is not supported')
        field = fields[target]
        return base.Compare(_key(item), field, int(_field(item, field, 0)))

    def _grant(self, request):
        ttl_s = int(request.get('TTL', 0))
        if ttl_s <= 0:
            raise _Rejected(INVALID, 'TTL must be positive')
        lease_id = self.store.grant_lease(ttl_s * 1000)
        return {
            'header': self._header(),
            'ID': str(lease_id),
            'TTL': str(ttl_s),
        }

    def _keep_alive(self, request):
        lease_id = int(request.get('ID', 0))
        ttl_ms = self.store.keep_alive(lease_id)
        result = {'header': self._header(), 'ID': str(lease_id)}
        if ttl_ms:
            result['TTL'] = str(ttl_ms // 1000)
        return {'result': result}

    def _revoke(self, request):
        self.store.revoke(int(request.get('ID', 0)))
        return {'header': self._header()}

    def _watch(self, handler, request):
        create = _field(request, 'create_request')
        key, prefix = _prefix(create)
        if prefix is None:
            raise _Rejected(INVALID, 'only prefix watches are supported')
        start = int(_field(create, 'start_revision', 0))
        start = start or self.store.revision + 1
        origin = self.store.begin_watch()
        handler.begin_stream()
        handler.close_connection = True
        handler.send_line(
            {'result': {'header': self._header(), 'created': True}}
        )
        with self._lock:
            self._watches += 1
        try:
            self._stream(handler, prefix, start, origin)
        except memory.Compacted as exc:
            result = {
                'header': self._header(),
                'canceled': True,
                'compact_revision': str(exc.fields['revision']),
            }
            handler.send_line({'result': result})
            handler.end_stream()
        except errors.StoreUnavailable:
            pass  # the connection is closed without an end of the stream
        finally:
            with self._lock:
                self._watches -= 1

    def _stream(self, handler, prefix, start, origin):
        """Send changes until the client closes or the store breaks."""
        while not connections.readable(handler.connection):
            items, start = self.store.changes_since(
                prefix, start, WATCH_WAIT_MS, origin
            )
            if not items:
                continue
            events = [
                {
                    'kv': _kv_json(item),
                    **({'type': 'DELETE'} if item.deleted else {}),
                }
                for item in items
            ]
            handler.send_line(
                {'result': {'header': self._header(), 'events': events}}
            )

    def _faults(self, request):
        store = self.store
        self._delay_ms = int(request.get('delay_ms', self._delay_ms))
        store.lose_next_reply = int(
            request.get('lose_next_reply', store.lose_next_reply)
        )
        if 'down' in request:
            store.set_down(bool(request['down']))
        return {
            'down': store.down,
            'delay_ms': self._delay_ms,
            'lose_next_reply': store.lose_next_reply,
        }

    def _stats(self, request):
        return {
            'calls': self.store.call_counts(),
            'watches': self._watches,
            'revision': self.store.revision,
        }

    def _dump(self, request):
        state = self.store.dump()
        with self._lock:
            name = str(request.get('name', len(self._dumps) + 1))
            self._dumps[name] = state
        items, revision, leases = state
        return {
            'name': name,
            'state': {
                'revision': revision,
                'kvs': [_kv_json(item) for item in items.values()],
                'leases': {str(key): value for key, value in leases.items()},
            },
        }

    def _restore(self, request):
        if 'state' in request:
            state = self._parse_state(request['state'])
        else:
            name = str(request.get('name'))
            if name not in self._dumps:
                raise _Rejected((404, 5), f'no dump named {name!r}')
            state = self._dumps[name]
        self.store.restore(state)
        return {'revision': self.store.revision}

    @staticmethod
    def _parse_state(state):
        items = {
            item.key: item
            for item in map(etcd.key_value, _field(state, 'kvs', ()))
        }
        leases = _field(state, 'leases', {})
        return (
            items,
            int(_field(state, 'revision')),
            {int(key): int(value) for key, value in leases.items()},
        )


def start(listen, clock=None):
    """Start a server.

    Args:
        listen: address, `host:port`; port 0 takes a free one.
        clock: clock.Clock of the leases.

    Returns:
        The running service.Server; its `service` is the KvService.

    Raises:
        OSError: the address can't be used.
    """
    kv = KvService(clock)
    server = service.Server(listen, kv)
    server.start()
    return server


def _expire(store):
    while True:
        time.sleep(EXPIRY_INTERVAL_S)
        store.expire_leases()


def run(
    listen: str = typer.Option('127.0.0.1:2379', help='Address, host:port.'),
    version: bool = typer.Option(
        False,
        '--version',
        callback=service.show_version,
        is_eager=True,
        help='Show the version and exit.',
    ),
):
    """Serve a subset of the etcd v3 JSON gateway from memory."""
    server = service.start_or_exit(start, listen)
    threading.Thread(
        target=_expire, args=(server.service.store,), daemon=True
    ).start()
    typer.echo(f'listening on {server.address}')
    service.wait_for_signal()
    server.stop()


def main():
    """Run the program."""
    service.run_program(run)


if __name__ == '__main__':
    sys.exit(main())

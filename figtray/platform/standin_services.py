"""Stand-ins for the platform's store, workers and host service over HTTP."""

import base64
import json
import urllib.parse

from figtray import errors
from figtray.fleet import messages
from figtray.platform import standin_server
from figtray.store import base
from figtray.store import memory
from figtray import verdict

# Smaller than the platform's pages, so that tests read several.
PAGE_ITEMS = 100
MAX_WATCH_MS = 30_000

_REASON_CODES = {
    verdict.RefusalReason.STALE_RUN: 'old',
    verdict.RefusalReason.LATE: 'late',
    verdict.RefusalReason.NO_CAPACITY: 'room',
    verdict.RefusalReason.TICKET: 'ticket',
}


class StoreService:
    """Serves a MemoryStore with the platform's HTTP interface.

    Args:
        store: the MemoryStore.
    """

    def __init__(self, store):
        self.store = store

    def handle(self, handler, body):
        """Answer one request."""
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        data = json.loads(body) if body else {}
        name, _, lease_id = url.path.removeprefix('/api/').partition('/')
        try:
            call = {
                'kv-key': lambda: self._get(query),
                'kv-range': lambda: self._range(query),
                'kv-watch': lambda: self._watch(query),
                'kv-txn': lambda: self._txn(data),
                'kv-lease': lambda: self._grant_lease(data),
                'kv-keep': lambda: self._renew_lease(int(lease_id)),
                'kv-lease-end': lambda: self._end_lease(int(lease_id)),
            }[name]
            status, reply = call()
        except KeyError:
            status, reply = 400, {'error': 'no such call'}
        except memory.Compacted:
            status, reply = 410, {}
        except errors.LeaseLost:
            status, reply = 404, {}
        except memory.InvalidTxn as exc:
            status, reply = 400, {'error': str(exc)}
        except errors.StoreUnavailable:
            status, reply = 503, {}
        except errors.WriteUncertain:
            handler.drop()
            return
        handler.reply_json(status, reply)

    def _get(self, query):
        item, revision = self.store.get_with_revision(query['key'])
        if item is None:
            return 404, {}
        return 200, _encode_item(item) | {'as_of': revision}

    def _range(self, query):
        found = self.store.range(query.get('prefix', ''))
        items = [i for i in found.items if i.key > query.get('after', '')]
        return 200, {
            'items': [_encode_item(item) for item in items[:PAGE_ITEMS]],
            'has_more': len(items) > PAGE_ITEMS,
            'as_of': found.revision,
        }

    def _watch(self, query):
        after = int(query['after'])
        wait_ms = min(int(query['wait_ms']), MAX_WATCH_MS)
        items, next_revision = self.store.wait_for_changes(
            query.get('prefix', ''), after + 1, wait_ms
        )
        return 200, {
            'events': [_encode_item(item) for item in items],
            'as_of': next_revision - 1,
        }

    def _txn(self, data):
        compares = [
            base.Compare(row['key'], 'mod_revision', row['revision'])
            for row in data.get('precondition', [])
        ]
        puts = [
            base.Put(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
            )
            for row in data.get('writes', [])
        ]
        deletes = data.get('deletes', [])
        result = self.store.txn(compares, puts, deletes)
        if result.succeeded:
            return 200, {'revision': result.revision}
        return 412, {'items': [_encode_item(item) for item in result.current]}

    def _grant_lease(self, data):
        ttl_ms = data['ttl_ms']
        return 200, {'lease': self.store.grant_lease(ttl_ms), 'ttl_ms': ttl_ms}

    def _renew_lease(self, lease_id):
        ttl_ms = self.store.keep_alive(lease_id)
        return (200, {'ttl_ms': ttl_ms}) if ttl_ms else (404, {})

    def _end_lease(self, lease_id):
        self.store.revoke(lease_id)
        return 200, {}


class WorkerService:
    """Serves one simulated worker of a MemoryWorkers over HTTP.

    Args:
        workers: the MemoryWorkers.
        worker: the fleet Worker at this address.
    """

    def __init__(self, workers, worker):
        self.workers = workers
        self.worker = worker

    def handle(self, handler, body):
        """Answer one request."""
        data = json.loads(body) if body else {}
        expected_id = handler.headers.get('X-Figtray-Expect-Instance')
        if expected_id not in (None, self.worker.worker_id):
            handler.reply_json(421, {})
            return
        sim = self.workers.sims[self.worker.address]
        try:
            status, reply = {
                '/api/run-start': self._start,
                '/api/run-stop': self._stop,
                '/api/hold': self._hold,
                '/api/pace': self._pace,
            }[handler.path](data)
        except KeyError:
            status, reply = 400, {'error': 'no such call'}
        except errors.StaleEpoch:
            status, reply = 409, {'reason': 'fence'}
        except errors.CallNotSent:
            status, reply = 503, {}
        except errors.ReplyLost:
            handler.drop()
            return
        reply.setdefault('clock_ms', sim.clock_ms())
        handler.reply_json(status, reply)

    def _start(self, data):
        order = messages.StartOrder(
            data['task'],
            data['run'],
            data['spec'],
            data['fence'],
            data['deadline_ms'],
            data.get('last_checkpoint', ''),
            data.get('ticket', ''),
        )
        outcome = self.workers.start(self.worker, order, 0)
        if isinstance(outcome, verdict.NotRun):
            return 409, {'reason': _REASON_CODES[outcome.reason]}
        return 200, {'clock_ms': outcome.clock_ms}

    def _stop(self, data):
        self.workers.stop(
            self.worker, data['task'], data['run'], data['fence'], 0
        )
        return 200, {}

    def _hold(self, data):
        sim = self.workers.sims[self.worker.address]
        acknowledged = data['ack_cursor']
        self.workers.wait_for(
            lambda: any(e.number > acknowledged for e in sim.ended),
            data.get('wait_ms', 0),
        )
        if self.workers.sims[self.worker.address] is not sim:
            # The request has ended with its process.
            raise errors.ReplyLost(
                address=self.worker.address, detail='the worker has crashed'
            )
        report = self.workers.report(
            self.worker,
            data['fence'],
            acknowledged,
            data.get('deadline_ms'),
            0,
            0,
        )
        return 200, {
            'born': report.born_ms,
            'clock_ms': report.clock_ms,
            'running': [
                [r.task, r.run, r.checkpoint, r.percent, r.load]
                for r in report.running
            ],
            'ended': [
                [e.number, e.task, e.run, e.end.value, e.checkpoint]
                for e in report.ended
            ],
        }

    def _pace(self, data):
        self.workers.pace(
            self.worker,
            data['task'],
            data['run'],
            data['percent'],
            data['fence'],
            0,
        )
        return 200, {}


class HostService:
    """Serves MemoryHosts with the platform's HTTP interface.

    Args:
        hosts: the MemoryHosts.
    """

    def __init__(self, hosts):
        self.hosts = hosts

    def handle(self, handler, body):
        """Answer one request."""
        url = urllib.parse.urlsplit(handler.path)
        try:
            if url.path == '/api/machines':
                query = dict(urllib.parse.parse_qsl(url.query))
                handler.reply_json(200, self._list(query))
                return
            accepted = self._execute_order(
                url.path, json.loads(body), handler.headers
            )
        except (errors.CallNotSent, errors.HostListUnavailable):
            handler.reply_json(503, {})
            return
        except errors.ReplyLost:
            handler.drop()
            return
        except errors.StaleEpoch:
            handler.reply_json(409, {'reason': 'fence'})
            return
        reply = {} if accepted else {'reason': 'busy'}
        handler.reply_json(200 if accepted else 409, reply)

    def _list(self, query):
        hosts = sorted(self.hosts.list_hosts(), key=lambda h: h.host_id)
        start = int(query.get('page_token', 0))
        page = hosts[start : start + PAGE_ITEMS]
        next_start = start + PAGE_ITEMS
        return {
            'machines': [_encode_machine(host) for host in page],
            'next_token': str(next_start) if next_start < len(hosts) else None,
        }

    def _execute_order(self, path, data, headers):
        sender = messages.OrderSender(
            headers['X-Figtray-Holder'],
            int(headers['X-Figtray-Fencing-Token']),
            valid_until_ms=0,
        )
        if path == '/api/machine-move':
            return self.hosts.move(data['machine'], data['pool'], sender)
        return self.hosts.begin_upkeep(data['machine'], data['wave'], sender)


def encode_worker_entry(worker, sequence=1):
    """Return the store entry that a worker writes for itself.

    Args:
        worker: the fleet Worker.
        sequence: number of the heartbeat.
    """
    return json.dumps(
        {
            'service': worker.pool,
            'address': worker.address,
            'zone': worker.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if worker.draining else 'ready',
            'cold_remaining_ms': 0,
            'capacity': _encode_amounts(worker.capacity),
            'labels': list(worker.labels),
            'sequence': sequence,
            'born': worker.born_ms,
            'machine': worker.host_id,
        }
    ).encode()


def start_store_server(address, store):
    """Serve a MemoryStore and return the running Server."""
    server = standin_server.Server(address, StoreService(store))
    server.start()
    return server


def _encode_item(item):
    reply = {'key': item.key, 'revision': item.mod_revision}
    if item.deleted:
        return reply | {'deleted': True}
    return reply | {
        'value': base64.b64encode(item.value).decode(),
        'create_rev': item.create_revision,
        'lease': item.lease,
    }


def _encode_machine(host):
    return {
        'machine': host.host_id,
        'pool': host.pool,
        'state': host.state.value,
        'zone': host.zone,
        'labels': list(host.labels),
        'capacity': _encode_amounts(host.capacity),
        'id': host.worker_id or None,
    }


def _encode_amounts(resources):
    return {
        'cpu': resources.cpu_milli,
        'mem_mb': resources.memory_mb,
        'gpu': resources.gpus,
    }

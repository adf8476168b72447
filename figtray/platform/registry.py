"""Operators' resources, kept in the platform's documents."""

import copy

import msgspec

from figtray.configuration import keys
from figtray.configuration import registry
from figtray.configuration import resources
from figtray import errors
from figtray.platform import documents
from figtray.store import base

COMMIT_ATTEMPTS = 5

# Fields of the platform's documents that hold those of our resources.
_ROUTE_FIELDS = {
    'host': 'host',
    'prefix': 'prefix',
    'pool': 'service',
    'open': 'public',
    'priority': 'priority',
    'attempts': 'attempts',
    'stretch': 'stretch',
    'slack_ms': 'target_latency_ms',
    'timeout_ms': 'timeout_ms',
    'advice': 'advice',
}
_SERVICE_FIELDS = {'spare': 'spare', 'rejects_overload': 'rejects_overload'}
_LIMIT_FIELDS = {'cpu_milli': 'cpu', 'memory_mb': 'mem_mb', 'gpus': 'gpu'}
_LISTS = {
    resources.Kind.QUEUE: 'routes',
    resources.Kind.POOL: 'services',
    resources.Kind.TEAM: 'tenants',
}


class PlatformRegistry(registry.Registry):
    """Resources in the platform's documents.

    Fields of the documents that no resource has are kept as they are.

    Args:
        store: the Store.
    """

    def __init__(self, store):
        self._store = store

    def read(self):
        return self._read()[0]

    def commit(self, build):
        for _ in range(COMMIT_ATTEMPTS):
            snapshot, stored = self._read()
            items = tuple(build(snapshot))
            snapshot.with_changes(items)
            generation = self._write(snapshot, stored, items)
            if generation:
                return generation, items
        raise errors.StoreUnavailable(detail='other operators change it too')

    def _read(self):
        """Return the Snapshot and the stored documents by key."""
        result = self._store.range(documents.OPERATOR_PREFIX)
        stored = {item.key: item for item in result.items}
        items = list(_read_config(_config(stored)))
        for key, item in stored.items():
            if key.startswith(documents.EVACUATE_PREFIX):
                name = key.removeprefix(documents.EVACUATE_PREFIX)
                items.append(_zone(name, False))
            elif key.startswith(documents.WAVE_PREFIX):
                items.append(_read_wave(item))
        zones = {
            worker.zone
            for worker in self._workers()
            if documents.EVACUATE_PREFIX + worker.zone not in stored
        }
        items += [_zone(name, True) for name in zones]
        return registry.Snapshot(result.revision, items), stored

    def _workers(self):
        for item in self._store.range(documents.WORKER_PREFIX).items:
            try:
                yield documents.decode_worker(item.key, item.value, None)
            except errors.UnreadableMessage:
                continue  # logged by the nodes; names no zone

    def _write(self, snapshot, stored, items):
        """Write the documents that Resources change.

        Returns:
            The generation, or 0 if another operator was quicker.
        """
        puts, deletes = [], []
        config_items = [item for item in items if item.kind in _IN_CONFIG]
        if config_items:
            config = copy.deepcopy(_config(stored))
            for item in config_items:
                _change_config(config, item)
            config['version'] = config.get('version', 0) + 1
            puts.append(
                base.Put(documents.CONFIG_KEY, msgspec.json.encode(config))
            )
        for item in items:
            if item.kind is resources.Kind.ZONE:
                key = documents.EVACUATE_PREFIX + item.name
                if item.spec is None or item.spec.in_service:
                    deletes.append(key)
                else:
                    puts.append(base.Put(key, b'{}'))
            elif item.kind is resources.Kind.WAVE:
                key = documents.WAVE_PREFIX + item.name
                if item.spec is None:
                    deletes.append(key)
                else:
                    puts.append(base.Put(key, _encode_wave(item)))
        return self._transact(snapshot, stored, puts, deletes)

    def _transact(self, snapshot, stored, puts, deletes):
        deletes = [key for key in deletes if key in stored]
        if not puts and not deletes:
            return snapshot.generation
        touched = [put.key for put in puts] + deletes
        compares = [
            base.Compare(
                key,
                'mod_revision',
                stored[key].mod_revision if key in stored else 0,
            )
            for key in touched
        ]
        result = self._store.txn(compares, puts, deletes)
        return result.revision if result.succeeded else 0


_IN_CONFIG = frozenset({*_LISTS, resources.Kind.KEY})


def _config(stored):
    item = stored.get(documents.CONFIG_KEY)
    if item is None:
        return {}
    try:
        return msgspec.json.decode(item.value, type=dict)
    except msgspec.MsgspecError as exc:
        # It must not be replaced by one that has lost what it held.
        raise errors.StoreUnavailable(
            detail=f'the configuration is unreadable: {exc}'
        ) from exc


def _zone(name, in_service):
    return registry.Resource(
        resources.Kind.ZONE, name, resources.Zone(in_service=in_service)
    )


def _read_wave(item):
    wave = documents.decode_wave(item.value)
    return registry.Resource(
        resources.Kind.WAVE,
        item.key.removeprefix(documents.WAVE_PREFIX),
        resources.Wave(wave.host_ids, wave.duration_ms, wave.max_down),
    )


def _encode_wave(item):
    return msgspec.json.encode(
        {
            'wave': int(item.name),
            'machines': item.spec.hosts,
            'duration_s': item.spec.duration_ms / 1000,
            'maximum': item.spec.max_down,
        }
    )


def _read_config(config):
    """Yield the Resources of a configuration."""
    for kind, field in _LISTS.items():
        for entry in config.get(field, ()):
            yield registry.Resource(
                kind, entry['name'], _read_spec(kind, entry)
            )
    for team in config.get('tenants', ()):
        for key in team.get('api_keys', ()):
            yield registry.Resource(
                resources.Kind.KEY,
                keys.parse_key_id(key),
                resources.Key(team=team['name']),
            )


def _read_spec(kind, entry):
    match kind:
        case resources.Kind.QUEUE:
            return _pick(resources.Queue, entry, _ROUTE_FIELDS)
        case resources.Kind.POOL:
            return _pick(resources.Pool, entry, _SERVICE_FIELDS)
    # Zero, here as there, stands for no limit.
    limit = _pick(resources.Team, entry.get('maximum', {}), _LIMIT_FIELDS)
    return msgspec.structs.replace(limit, weight=entry.get('weight', 1))


def _pick(spec_type, entry, fields):
    found = {
        ours: entry[theirs]
        for ours, theirs in fields.items()
        if entry.get(theirs) is not None
    }
    return msgspec.convert(found, spec_type, strict=False)


def _change_config(config, item):
    if item.kind is resources.Kind.KEY:
        _change_key(config, item)
        return
    entries = config.setdefault(_LISTS[item.kind], [])
    entry = next((e for e in entries if e['name'] == item.name), None)
    if item.spec is None:
        entries.remove(entry)
        return
    if entry is None:
        entry = {'name': item.name}
        entries.append(entry)
    data = resources.encode_spec(item.spec)
    match item.kind:
        case resources.Kind.QUEUE:
            entry.update(_rename(data, _ROUTE_FIELDS))
        case resources.Kind.POOL:
            entry.update(_rename(data, _SERVICE_FIELDS))
        case resources.Kind.TEAM:
            entry['weight'] = item.spec.weight
            entry['maximum'] = _rename(data, _LIMIT_FIELDS)
            entry.setdefault('api_keys', [])


def _rename(data, fields):
    return {
        theirs: data[ours]
        for ours, theirs in fields.items()
        if data[ours] is not None
    }


def _change_key(config, item):
    for team in config.get('tenants', ()):
        present = team.setdefault('api_keys', [])
        kept = [key for key in present if keys.parse_key_id(key) != item.name]
        if item.spec is not None and team['name'] == item.spec.team:
            kept.append(item.secret)
        team['api_keys'] = kept

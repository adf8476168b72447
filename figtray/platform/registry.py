"""Registry of the operators' resources in the platform's documents."""

import copy

import msgspec

from figtray import clock as clock_lib
from figtray.configuration import keys
from figtray.configuration import registry
from figtray.configuration import resources
from figtray import decoding
from figtray import errors
from figtray.events import unreadable
from figtray.platform import documents
from figtray.store import base

COMMIT_ATTEMPTS = 5

# Fields of a queue, pool or team, mapped to those of the configuration.
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
# Kinds of resources, mapped to the fields that list them.
_LIST_FIELDS = {
    resources.Kind.QUEUE: 'routes',
    resources.Kind.POOL: 'services',
    resources.Kind.TEAM: 'tenants',
}


class PlatformRegistry(registry.Registry):
    """Reads and changes resources in the platform's documents.

    Fields of the documents that belong to no resource are preserved.

    Args:
        store: the Store.
    """

    def __init__(self, store):
        self._store = store
        self._unreadable = unreadable.UnreadableLog(clock_lib.SystemClock())

    def read(self):
        return self._read()[0]

    def commit(self, build):
        for _ in range(COMMIT_ATTEMPTS):
            snapshot, stored = self._read()
            changes = tuple(build(snapshot))
            # Raises if a reference would be broken.
            snapshot.with_changes(changes)
            generation = self._write(snapshot, stored, changes)
            if generation:
                return generation, changes
        raise errors.StoreUnavailable(detail='other operators change it too')

    def _read(self):
        """Return the Snapshot and the stored documents by key."""
        result = self._store.range(documents.OPERATOR_PREFIX)
        stored = {item.key: item for item in result.items}
        found = list(_build_resources(_decode_config(stored)))
        for key, item in stored.items():
            if key.startswith(documents.EVACUATE_PREFIX):
                name = key.removeprefix(documents.EVACUATE_PREFIX)
                found.append(_build_zone(name, False))
            elif key.startswith(documents.WAVE_PREFIX):
                found += self._build_waves(item)
        # A zone in service has no document; its workers' entries name it.
        zones = {
            worker.zone
            for worker in self._read_workers()
            if documents.EVACUATE_PREFIX + worker.zone not in stored
        }
        found += [_build_zone(name, True) for name in zones]
        return registry.Snapshot(result.revision, found), stored

    def _build_waves(self, item):
        """Yield the Resource of a wave; none if it is unreadable."""
        try:
            yield _build_wave(item)
        except errors.UnreadableMessage as exc:
            self._unreadable.note(item.key, exc)

    def _read_workers(self):
        for item in self._store.range(documents.WORKER_PREFIX).items:
            try:
                yield documents.decode_worker(item.key, item.value, None)
            except errors.UnreadableMessage:
                continue  # the nodes log it; its zone is unknown

    def _write(self, snapshot, stored, changes):
        """Write the documents that hold changed Resources.

        Returns:
            The generation; 0 if another operator changed a document first.
        """
        puts, deletes = [], []
        config_changes = [
            change for change in changes if change.kind in _CONFIG_KINDS
        ]
        if config_changes:
            config = copy.deepcopy(_decode_config(stored))
            for change in config_changes:
                _apply_to_config(config, change)
            config['version'] = config.get('version', 0) + 1
            puts.append(
                base.Put(documents.CONFIG_KEY, msgspec.json.encode(config))
            )
        for change in changes:
            if change.kind is resources.Kind.ZONE:
                key = documents.EVACUATE_PREFIX + change.name
                if change.spec is None or change.spec.in_service:
                    deletes.append(key)
                else:
                    puts.append(base.Put(key, b'{}'))
            elif change.kind is resources.Kind.WAVE:
                key = documents.WAVE_PREFIX + change.name
                if change.spec is None:
                    deletes.append(key)
                else:
                    _check_wave(stored.get(key))
                    puts.append(base.Put(key, _encode_wave(change)))
        return self._commit_txn(snapshot, stored, puts, deletes)

    def _commit_txn(self, snapshot, stored, puts, deletes):
        deletes = [key for key in deletes if key in stored]
        if not puts and not deletes:
            return snapshot.generation
        changed_keys = [put.key for put in puts] + deletes
        compares = [
            base.Compare(
                key,
                'mod_revision',
                stored[key].mod_revision if key in stored else 0,
            )
            for key in changed_keys
        ]
        result = self._store.txn(compares, puts, deletes)
        return result.revision if result.succeeded else 0


_config_decoder = msgspec.json.Decoder(dict)
_CONFIG_KINDS = frozenset({*_LIST_FIELDS, resources.Kind.KEY})


def _decode_config(stored):
    item = stored.get(documents.CONFIG_KEY)
    if item is None:
        return {}
    try:
        documents.decode_config(item.value)
        return decoding.decode('configuration', _config_decoder, item.value)
    except errors.UnreadableMessage as exc:
        # Writing a new configuration would lose what this one holds.
        raise errors.StoreUnavailable(
            detail=f'the configuration is unreadable: {exc}'
        ) from exc


def _build_zone(name, in_service):
    return registry.Resource(
        resources.Kind.ZONE, name, resources.Zone(in_service=in_service)
    )


def _build_wave(item):
    wave = documents.decode_wave(item.value)
    return registry.Resource(
        resources.Kind.WAVE,
        item.key.removeprefix(documents.WAVE_PREFIX),
        resources.Wave(wave.host_ids, wave.duration_ms, wave.max_down),
    )


def _check_wave(item):
    """Raise StoreUnavailable if a change would write over an odd wave."""
    if item is None:
        return
    try:
        documents.decode_wave(item.value)
    except errors.UnreadableMessage as exc:
        raise errors.StoreUnavailable(
            detail=f'{item.key} is unreadable: {exc}'
        ) from exc


def _encode_wave(change):
    return msgspec.json.encode(
        {
            'wave': int(change.name),
            'machines': change.spec.hosts,
            'duration_s': change.spec.duration_ms / 1000,
            'maximum': change.spec.max_down,
        }
    )


def _build_resources(config):
    """Yield the Resources of a configuration document."""
    for kind, field in _LIST_FIELDS.items():
        for entry in config.get(field, ()):
            try:
                spec = _build_spec(kind, entry)
            except msgspec.ValidationError as exc:
                raise errors.StoreUnavailable(
                    detail=f'{kind.value} {entry["name"]} is unreadable: {exc}'
                ) from exc
            yield registry.Resource(kind, entry['name'], spec)
    for team in config.get('tenants', ()):
        for key in team.get('api_keys', ()):
            yield registry.Resource(
                resources.Kind.KEY,
                keys.parse_key_id(key),
                resources.Key(team=team['name']),
            )


def _build_spec(kind, entry):
    match kind:
        case resources.Kind.QUEUE:
            return _convert_fields(resources.Queue, entry, _ROUTE_FIELDS)
        case resources.Kind.POOL:
            return _convert_fields(resources.Pool, entry, _SERVICE_FIELDS)
    # Zero means no limit in the document and in the resource.
    team = _convert_fields(
        resources.Team, entry.get('maximum', {}), _LIMIT_FIELDS
    )
    return msgspec.structs.replace(team, weight=entry.get('weight', 1))


def _convert_fields(spec_type, entry, fields):
    found = {
        field: entry[document_field]
        for field, document_field in fields.items()
        if entry.get(document_field) is not None
    }
    return msgspec.convert(found, spec_type, strict=False)


def _apply_to_config(config, change):
    if change.kind is resources.Kind.KEY:
        _apply_key(config, change)
        return
    entries = config.setdefault(_LIST_FIELDS[change.kind], [])
    entry = next((e for e in entries if e['name'] == change.name), None)
    if change.spec is None:
        entries.remove(entry)
        return
    if entry is None:
        entry = {'name': change.name}
        entries.append(entry)
    data = resources.encode_spec(change.spec)
    match change.kind:
        case resources.Kind.QUEUE:
            entry.update(_to_document(data, _ROUTE_FIELDS))
        case resources.Kind.POOL:
            entry.update(_to_document(data, _SERVICE_FIELDS))
        case resources.Kind.TEAM:
            entry['weight'] = change.spec.weight
            entry['maximum'] = _to_document(data, _LIMIT_FIELDS)
            entry.setdefault('api_keys', [])


def _to_document(data, fields):
    return {
        document_field: data[field]
        for field, document_field in fields.items()
        if data[field] is not None
    }


def _apply_key(config, change):
    """Replace or remove an API key in the lists of all teams."""
    for team in config.get('tenants', ()):
        present = team.setdefault('api_keys', [])
        kept = [
            key for key in present if keys.parse_key_id(key) != change.name
        ]
        if change.spec is not None and team['name'] == change.spec.team:
            kept.append(change.secret)
        team['api_keys'] = kept

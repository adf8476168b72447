"""Edits that operators ask for and the items that they result in."""

import contextlib
import dataclasses

import msgspec

from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray import errors

# The store accepts a bounded number of operations in one transaction (128
# by default in etcd); a change also writes its head and its log entry.
MAX_EDITS = 100

# Fields of a host that keep their values when a specification omits them:
# the controller writes them while operators edit the rest.
KEPT_HOST_FIELDS = ('state', 'maintained_at_s')


@dataclasses.dataclass(frozen=True)
class Put:
    """Create a resource (expected version 0) or replace it."""

    kind: resources.Kind
    name: str
    spec: dict
    expected: int


@dataclasses.dataclass(frozen=True)
class Remove:
    """Delete a resource of an expected version."""

    kind: resources.Kind
    name: str
    expected: int


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Withdraw a key, whatever its version."""

    name: str
    kind: resources.Kind = resources.Kind.KEY


@dataclasses.dataclass(frozen=True)
class SetInService:
    """Take a zone out of service or back into it, whatever its version."""

    name: str
    in_service: bool
    kind: resources.Kind = resources.Kind.ZONE


def check(edits, max_edits=MAX_EDITS):
    """Check what does not depend on the configuration.

    Args:
        edits: the edits of one change.
        max_edits: largest number of edits.

    Raises:
        ValidationFailed: a name or specification is not allowed, or a
            resource occurs twice.
    """
    if len(edits) > max_edits:
        raise errors.ValidationFailed(
            field='resources', value=len(edits), allowed=f'up to {max_edits}'
        )
    seen = set()
    for edit in edits:
        with _naming(edit):
            resources.check_name(edit.kind, edit.name)
            if isinstance(edit, Put):
                resources.decode_spec(edit.kind, edit.spec)
        if (edit.kind, edit.name) in seen:
            raise errors.ValidationFailed(
                field='resources',
                value=f'{edit.kind.value}/{edit.name}',
                allowed='each resource once',
            )
        seen.add((edit.kind, edit.name))


def build(snapshot, edits):
    """Apply edits to a configuration.

    Args:
        snapshot: the current Snapshot.
        edits: the edits of one change.

    Returns:
        Tuple of the new Items.

    Raises:
        VersionConflict: a resource has another version than expected.
        ResourceNotFound: a resource to change does not exist.
        ValidationFailed: operators may not make this edit.
    """
    return tuple(_new_item(snapshot, edit) for edit in edits)


def is_result(edits, items):
    """Tell whether items can be the result of edits.

    A change id that is used again for other edits must not be answered
    with the outcome of the first ones.

    Args:
        edits: the edits of a request.
        items: Items of the stored change with the request's change id.
    """
    by_key = {(item.kind, item.name): item for item in items}
    return len(by_key) == len(edits) and all(
        _is_result(edit, by_key.get((edit.kind.value, edit.name)))
        for edit in edits
    )


def _is_result(edit, item):
    if item is None:
        return False
    match edit:
        case Remove():
            return item.deleted
        case Withdraw():
            return not item.deleted and item.spec['withdrawn']
        case SetInService():
            return (
                not item.deleted and item.spec['in_service'] == edit.in_service
            )
        case Put() if item.deleted:
            return False
        case Put():
            kept = _kept(edit, item.spec)
            spec = resources.decode_spec(edit.kind, {**edit.spec, **kept})
            return snapshot_lib.spec_data(spec) == item.spec


@contextlib.contextmanager
def _naming(edit):
    """Add the resource to a ValidationFailed of one of several edits."""
    try:
        yield
    except errors.ValidationFailed as exc:
        exc.fields['resource'] = f'{edit.kind.value}/{edit.name}'
        raise


def _new_item(snapshot, edit):
    with _naming(edit):
        spec = _new_spec(snapshot, edit)
    return snapshot_lib.Item(
        edit.kind.value, edit.name, snapshot.generation + 1, spec
    )


def _new_spec(snapshot, edit):
    current = snapshot.spec(edit.kind, edit.name)
    match edit:
        case Put():
            _check_version(snapshot, edit)
            return snapshot_lib.spec_data(_replaced(edit, current))
        case Remove():
            _check_version(snapshot, edit)
            return None
        case Withdraw() if current is not None:
            spec = msgspec.structs.replace(current, withdrawn=True)
            return snapshot_lib.spec_data(spec)
        case SetInService() if current is not None:
            spec = msgspec.structs.replace(current, in_service=edit.in_service)
            return snapshot_lib.spec_data(spec)
    raise errors.ResourceNotFound(kind=edit.kind.value, name=edit.name)


def _check_version(snapshot, edit):
    item = snapshot.item(edit.kind, edit.name)
    is_live = item is not None and not item.deleted
    version = item.version if is_live else 0
    if version != edit.expected:
        raise errors.VersionConflict(
            kind=edit.kind.value,
            name=edit.name,
            current=version,
            expected=edit.expected,
            item=item if is_live else None,
        )


def _replaced(edit, current):
    data = edit.spec
    if current is not None:
        data = {**data, **_kept(edit, snapshot_lib.spec_data(current))}
    spec = resources.decode_spec(edit.kind, data)
    match spec:
        case resources.Host():
            _check_host(spec, current)
        case resources.Key() if current is not None:
            _check_key(spec, current)
    return spec


def _kept(edit, current):
    if edit.kind is not resources.Kind.HOST:
        return {}
    return {
        field: current[field]
        for field in KEPT_HOST_FIELDS
        if field not in edit.spec
    }


def _check_host(spec, current):
    if current is None:
        _require(
            'state',
            spec.state,
            spec.state is resources.HostState.SERVING,
            'serving for a new host; the controller changes it',
        )
        return
    _require(
        'state',
        spec.state,
        spec.state is current.state,
        f'{current.state.value}; only the controller changes it',
    )
    _require(
        'pool',
        spec.pool,
        spec.pool == current.pool
        or current.state is resources.HostState.RELEASED,
        f'{current.pool} while the host is {current.state.value}; '
        'set wanted_pool to move it',
    )


def _check_key(spec, current):
    _require('team', spec.team, spec.team == current.team, current.team)
    _require(
        'hash', spec.hash, spec.hash == current.hash, 'the hash of this key'
    )
    _require(
        'withdrawn',
        spec.withdrawn,
        spec.withdrawn or not current.withdrawn,
        'true; a withdrawn key stays withdrawn',
    )


def _require(field, value, is_allowed, allowed):
    if not is_allowed:
        value = getattr(value, 'value', value)
        raise errors.ValidationFailed(
            field=field, value=value, allowed=allowed
        )

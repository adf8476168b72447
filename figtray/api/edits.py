"""Edits that operators ask for and the items that they result in."""

import contextlib
import dataclasses

import msgspec

from figtray.configuration import keys
from figtray.configuration import registry
from figtray.configuration import resources
from figtray import errors

MAX_EDITS = 100
# A transaction of the store holds 32 entries; each zone and each wave takes
# two of them, all other resources together two.
MAX_ZONES_AND_WAVES = 15


_KEPT_APART = frozenset({resources.Kind.ZONE, resources.Kind.WAVE})


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
class Grant:
    """Create a key, whose id is `name`, for a team."""

    name: str
    team: str
    kind: resources.Kind = resources.Kind.KEY


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """Remove a key, so that it stops working."""

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
    apart = [edit for edit in edits if edit.kind in _KEPT_APART]
    if len(apart) > MAX_ZONES_AND_WAVES:
        raise errors.ValidationFailed(
            field='resources',
            value=len(apart),
            allowed=f'up to {MAX_ZONES_AND_WAVES} zones and waves',
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

    An edit that finds what it asks for changes nothing, so a repetition
    after a lost reply is harmless.

    Args:
        snapshot: the current registry.Snapshot.
        edits: the edits of one change.

    Returns:
        Tuple of the new registry.Resources.

    Raises:
        VersionConflict: a resource has another version than expected.
        ResourceNotFound: a resource to change does not exist.
        ValidationFailed: operators may not make this edit.
    """
    items = []
    for edit in edits:
        with _naming(edit):
            items.append(_new_item(snapshot, edit))
    return tuple(items)


@contextlib.contextmanager
def _naming(edit):
    """Add the resource to a ValidationFailed of one of several edits."""
    try:
        yield
    except errors.ValidationFailed as exc:
        exc.fields['resource'] = f'{edit.kind.value}/{edit.name}'
        raise


def _new_item(snapshot, edit):
    current = snapshot.item(edit.kind, edit.name)
    match edit:
        case Put():
            spec = resources.decode_spec(edit.kind, edit.spec)
            if edit.kind is resources.Kind.KEY:
                raise errors.ValidationFailed(
                    field='kind', value='keys', allowed='to be granted'
                )
            item = registry.Resource(edit.kind, edit.name, spec)
            if current is None or current.version != item.version:
                _check_version(edit, current)
            return item
        case Remove():
            if current is None:
                raise _not_found(edit)
            _check_version(edit, current)
            return registry.Resource(edit.kind, edit.name, None)
        case Grant():
            if current is not None:
                raise errors.SecretNotRepeatable(key=edit.name)
            return registry.Resource(
                edit.kind,
                edit.name,
                resources.Key(team=edit.team),
                keys.generate(edit.name),
            )
        case Withdraw() if current is not None:
            return registry.Resource(edit.kind, edit.name, None)
        case SetInService() if current is not None:
            spec = msgspec.structs.replace(
                current.spec, in_service=edit.in_service
            )
            return registry.Resource(edit.kind, edit.name, spec)
    raise _not_found(edit)


def _not_found(edit):
    return errors.ResourceNotFound(kind=edit.kind.value, name=edit.name)


def _check_version(edit, current):
    version = current.version if current else 0
    if version != edit.expected:
        raise errors.VersionConflict(
            kind=edit.kind.value,
            name=edit.name,
            current=version,
            expected=edit.expected,
            item=current,
        )

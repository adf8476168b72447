"""Edits of resources that operators request."""

import contextlib
import dataclasses

import msgspec

from figtray.configuration import keys
from figtray.configuration import registry
from figtray.configuration import resources
from figtray import errors

MAX_EDITS = 100
# A store transaction holds 32 entries: two for each zone and each wave, and
# two for all other resources, which share one document.
MAX_ZONES_AND_WAVES = 15


_SEPARATELY_STORED = frozenset({resources.Kind.ZONE, resources.Kind.WAVE})


@dataclasses.dataclass(frozen=True)
class Put:
    """Create a resource (expected version 0) or replace one."""

    kind: resources.Kind
    name: str
    spec: dict
    expected_version: int


@dataclasses.dataclass(frozen=True)
class Delete:
    """Delete a resource that has the expected version."""

    kind: resources.Kind
    name: str
    expected_version: int


@dataclasses.dataclass(frozen=True)
class CreateKey:
    """Create a key for a team; `name` is the id of the key."""

    name: str
    team: str
    kind: resources.Kind = resources.Kind.KEY


@dataclasses.dataclass(frozen=True)
class WithdrawKey:
    """Delete a key of any version, so that calls with it are rejected."""

    name: str
    kind: resources.Kind = resources.Kind.KEY


@dataclasses.dataclass(frozen=True)
class SetZoneInService:
    """Take a zone of any version out of service, or return it to service."""

    name: str
    in_service: bool
    kind: resources.Kind = resources.Kind.ZONE


def validate(edits, max_edits=MAX_EDITS):
    """Check everything that does not depend on the current configuration.

    Args:
        edits: the edits of one change.
        max_edits: largest number of edits.

    Raises:
        ValidationFailed: there are too many edits, a name or specification
            is not allowed, or a resource occurs twice.
    """
    if len(edits) > max_edits:
        raise errors.ValidationFailed(
            field='resources', value=len(edits), allowed=f'up to {max_edits}'
        )
    separate = [edit for edit in edits if edit.kind in _SEPARATELY_STORED]
    if len(separate) > MAX_ZONES_AND_WAVES:
        raise errors.ValidationFailed(
            field='resources',
            value=len(separate),
            allowed=f'up to {MAX_ZONES_AND_WAVES} zones and waves',
        )
    checked = set()
    for edit in edits:
        with _add_resource_to_error(edit):
            resources.check_name(edit.kind, edit.name)
            if isinstance(edit, Put):
                resources.decode_spec(edit.kind, edit.spec)
        if (edit.kind, edit.name) in checked:
            raise errors.ValidationFailed(
                field='resources',
                value=f'{edit.kind.value}/{edit.name}',
                allowed='each resource once',
            )
        checked.add((edit.kind, edit.name))


def build_resources(snapshot, edits):
    """Return the resources that result from edits of a configuration.

    A Put whose resource already has the requested content is accepted
    whatever version it expects, and SetZoneInService expects none. Repeating
    either leaves the configuration as it is, so a retry after a lost reply is
    safe.

    Args:
        snapshot: the current registry.Snapshot.
        edits: the edits of one change.

    Returns:
        Tuple of registry.Resources; the spec of a deleted one is None.

    Raises:
        VersionConflict: a resource does not have the expected version.
        ResourceNotFound: a resource to change does not exist.
        SecretNotRepeatable: a key to create already exists.
        ValidationFailed: operators may not make this edit.
    """
    items = []
    for edit in edits:
        with _add_resource_to_error(edit):
            items.append(_edited_resource(snapshot, edit))
    return tuple(items)


@contextlib.contextmanager
def _add_resource_to_error(edit):
    """Add the edited resource to a ValidationFailed.

    A change may hold edits of several resources.
    """
    try:
        yield
    except errors.ValidationFailed as exc:
        exc.fields['resource'] = f'{edit.kind.value}/{edit.name}'
        raise


def _edited_resource(snapshot, edit):
    current = snapshot.item(edit.kind, edit.name)
    match edit:
        case Put():
            spec = resources.decode_spec(edit.kind, edit.spec)
            if edit.kind is resources.Kind.KEY:
                raise errors.ValidationFailed(
                    field='kind', value='keys', allowed='to be granted'
                )
            item = registry.Resource(edit.kind, edit.name, spec)
            # A version is a hash of the content.
            if current is None or current.version != item.version:
                _check_version(edit, current)
            return item
        case Delete():
            if current is None:
                raise _not_found(edit)
            _check_version(edit, current)
            return registry.Resource(edit.kind, edit.name, None)
        case CreateKey():
            if current is not None:
                raise errors.SecretNotRepeatable(key=edit.name)
            return registry.Resource(
                edit.kind,
                edit.name,
                resources.Key(team=edit.team),
                keys.generate(edit.name),
            )
        case WithdrawKey() if current is not None:
            return registry.Resource(edit.kind, edit.name, None)
        case SetZoneInService() if current is not None:
            spec = msgspec.structs.replace(
                current.spec, in_service=edit.in_service
            )
            return registry.Resource(edit.kind, edit.name, spec)
    raise _not_found(edit)


def _not_found(edit):
    return errors.ResourceNotFound(kind=edit.kind.value, name=edit.name)


def _check_version(edit, current):
    version = current.version if current else 0
    if version != edit.expected_version:
        raise errors.VersionConflict(
            kind=edit.kind.value,
            name=edit.name,
            current=version,
            expected=edit.expected_version,
            item=current,
        )

"""Resources of the operators and the interface of their storage."""

import dataclasses
import hashlib

import msgspec

from figtray.configuration import resources
from figtray import errors

# JSON readers that use floating point represent integers of this size exactly.
VERSION_BYTES = 6


@dataclasses.dataclass(frozen=True)
class Resource:
    """A resource; a spec of None marks a deletion.

    Attributes:
        kind: the resources.Kind.
        name: its name.
        spec: its specification, or None.
        secret: the key that callers present; empty unless it is new.
    """

    kind: resources.Kind
    name: str
    spec: msgspec.Struct | None
    secret: str = dataclasses.field(default='', repr=False)

    @property
    def version(self):
        """Return a number derived from the content; 0 for a deletion."""
        if self.spec is None:
            return 0
        data = msgspec.json.encode(self.spec, order='sorted')
        digest = hashlib.sha256(data).digest()[:VERSION_BYTES]
        return int.from_bytes(digest, 'big') or 1

    def document(self):
        """Return the resource as operators see it."""
        return {
            'kind': self.kind.value,
            'name': self.name,
            'version': self.version,
            'spec': self.spec and resources.encode_spec(self.spec),
        }


class Snapshot:
    """All resources as of one generation.

    Args:
        generation: revision of the store at which they were read.
        items: the Resources.
    """

    def __init__(self, generation, items):
        self.generation = generation
        self._items = {(item.kind, item.name): item for item in items}

    def item(self, kind, name):
        """Return a Resource, or None if it does not exist."""
        return self._items.get((kind, name))

    def names(self, kind):
        """Return the sorted names of the resources of a kind."""
        return sorted(name for k, name in self._items if k is kind)

    def with_changes(self, items):
        """Return the Snapshot that a change would result in.

        Args:
            items: the Resources that the change writes or deletes.

        Raises:
            ValidationFailed: a resource refers to one that doesn't exist.
            ResourceInUse: a resource refers to a deleted one.
        """
        merged = dict(self._items)
        for item in items:
            merged[item.kind, item.name] = item
            if item.spec is None:
                del merged[item.kind, item.name]
        after = Snapshot(self.generation, merged.values())
        after.check_references(items)
        return after

    def check_references(self, changed):
        """Check the references from and to changed Resources."""
        for item in changed:
            if item.spec is None:
                self._check_unused(item)
                continue
            for field, kind, name in resources.references(item.spec):
                if (kind, name) not in self._items:
                    raise errors.ValidationFailed(
                        field=field,
                        value=name,
                        allowed=f'one of the {kind.value}',
                    )

    def _check_unused(self, deleted):
        for item in self._items.values():
            for _, kind, name in resources.references(item.spec):
                if (kind, name) == (deleted.kind, deleted.name):
                    raise errors.ResourceInUse(
                        kind=kind.value,
                        name=name,
                        referrer=f'{item.kind.value}/{item.name}',
                    )


class Registry:
    """Storage of the operators' resources."""

    def read(self):
        """Return the current Snapshot.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        raise NotImplementedError

    def commit(self, build):
        """Change resources atomically.

        Args:
            build: called with the current Snapshot, once for each attempt;
                returns the Resources to write and raises if the change is
                refused.

        Returns:
            (generation of the change, the Resources).

        Raises:
            StoreUnavailable: nothing was changed.
            WriteForbidden: the store does not permit this process to
                change resources.
            WriteUncertain: the change may have been made.
        """
        raise NotImplementedError

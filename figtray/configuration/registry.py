"""Interface of the place where the operators' resources are kept."""

import dataclasses
import hashlib

import msgspec

from figtray.configuration import resources
from figtray import errors

# Bits of a version, so that JSON readers keep it exact.
VERSION_BYTES = 6


@dataclasses.dataclass(frozen=True)
class Resource:
    """One resource; a spec of None is a deletion.

    Attributes:
        kind: the resources.Kind.
        name: its name.
        spec: its specification, or None.
        secret: what callers present, of a new key.
    """

    kind: resources.Kind
    name: str
    spec: msgspec.Struct | None
    secret: str = dataclasses.field(default='', repr=False)

    @property
    def version(self):
        """Number that stands for the content; 0 for a deletion."""
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
        generation: revision of the store.
        items: the Resources.
    """

    def __init__(self, generation, items):
        self.generation = generation
        self._items = {(item.kind, item.name): item for item in items}

    def item(self, kind, name):
        """Return the Resource of a resource, or None."""
        return self._items.get((kind, name))

    def names(self, kind):
        """Return the sorted names of a kind."""
        return sorted(name for k, name in self._items if k is kind)

    def with_changes(self, items):
        """Return the Snapshot after a change that is not made.

        Raises:
            ValidationFailed: a resource refers to one that doesn't exist.
            ResourceInUse: a deleted resource is referred to.
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
        """Check the references of, and to, changed Resources."""
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
    """Where the operators' resources are kept."""

    def read(self):
        """Return the Snapshot of now.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        raise NotImplementedError

    def commit(self, build):
        """Change resources; all changes are made, or none.

        Args:
            build: called with the present Snapshot, once for each attempt;
                returns the Resources to write and raises if the change is
                refused.

        Returns:
            (generation of the change, the Resources).

        Raises:
            StoreUnavailable: nothing was changed.
            WriteForbidden: the store lets nobody here change resources.
            WriteUncertain: the change may have been made.
        """
        raise NotImplementedError

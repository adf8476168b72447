"""Configuration at one generation, and the changes between generations."""

import collections.abc
import hashlib
import types

import msgspec

from figtray.configuration import resources

CHECKSUM_BYTES = 8
HISTORY_LENGTH = 512


class Item(msgspec.Struct, frozen=True):
    """One resource; a deleted one stays as a tombstone without a spec."""

    kind: str
    name: str
    version: int
    spec: dict | None = None

    @property
    def deleted(self):
        """True for a tombstone."""
        return self.spec is None


class Change(msgspec.Struct, frozen=True):
    """Step from one generation to the next.

    The checksum covers the parent's checksum, so two histories that differ
    anywhere differ in every later checksum.
    """

    generation: int
    change_id: str
    parent_checksum: str
    checksum: str
    items: tuple[Item, ...]


class Mark(msgspec.Struct, frozen=True):
    """A generation with its checksum."""

    generation: int
    checksum: str


def initial_checksum(deployment):
    """Return the checksum of the empty configuration of a deployment."""
    return _digest('', deployment)


def make_change(deployment, parent, change_id, items):
    """Build the change that follows a mark.

    Args:
        deployment: name of the deployment.
        parent: Mark of the generation before.
        change_id: unique id, by which a lost reply is resolved.
        items: the new state of the changed resources.

    Returns:
        The Change.
    """
    generation = parent.generation + 1
    items = tuple(items)
    checksum = _digest(
        parent.checksum, deployment, str(generation), change_id, *items
    )
    return Change(generation, change_id, parent.checksum, checksum, items)


def _digest(*parts):
    digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
    for part in parts:
        data = msgspec.json.encode(part, order='deterministic')
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    return digest.hexdigest()


class Snapshot:
    """Immutable configuration with typed views of its live resources."""

    def __init__(self, deployment, mark, items, history, change_ids=()):
        self.deployment = deployment
        self.mark = mark
        self.history = history
        # The ids of the marks in `history`; '' where an id is not known.
        unknown = len(history) - len(change_ids)
        self.change_ids = ('',) * unknown + tuple(change_ids)
        self._items = items
        self._specs = {kind: {} for kind in resources.Kind}
        for item in items.values():
            self._index(item)

    @classmethod
    def empty(cls, deployment):
        """Return generation 0 of a deployment."""
        mark = Mark(0, initial_checksum(deployment))
        return cls(deployment, mark, {}, (mark,))

    @property
    def generation(self):
        """Number of changes made so far."""
        return self.mark.generation

    @property
    def items(self):
        """All items, tombstones included."""
        return self._items.values()

    def item(self, kind, name):
        """Return an item or tombstone, or None if it never existed."""
        return self._items.get((kind.value, name))

    def specs(self, kind):
        """Return the live specifications of a kind by name, read-only."""
        return types.MappingProxyType(self._specs[kind])

    def spec(self, kind, name):
        """Return one live specification, or None."""
        return self._specs[kind].get(name)

    @property
    def policy(self):
        """The deployment-wide policy, or its default."""
        spec = self.spec(resources.Kind.POLICY, resources.POLICY_NAME)
        return spec or resources.Policy()

    def apply(self, change):
        """Return the snapshot after a change.

        The caller has checked that the change follows this snapshot.
        """
        result = Snapshot.__new__(Snapshot)
        result.deployment = self.deployment
        result.mark = Mark(change.generation, change.checksum)
        result.history = (*self.history, result.mark)[-HISTORY_LENGTH:]
        change_ids = (*self.change_ids, change.change_id)
        result.change_ids = change_ids[-HISTORY_LENGTH:]
        result._items = dict(self._items)
        result._specs = dict(self._specs)
        for kind in {resources.Kind(item.kind) for item in change.items}:
            result._specs[kind] = dict(self._specs[kind])
        for item in change.items:
            result._items[(item.kind, item.name)] = item
            result._index(item)
        return result

    def contains(self, mark):
        """Tell whether this history passed through a mark.

        Returns:
            True or False, or None if the mark is older than the history
            that is kept.
        """
        if mark.generation < self.history[0].generation:
            return None
        return mark in self.history

    def find_change(self, change_id):
        """Return the generation that a change id made.

        Returns:
            The generation, or None if the id is not in the history that is
            kept.
        """
        for mark, known in zip(
            reversed(self.history), reversed(self.change_ids)
        ):
            if known == change_id:
                return mark.generation
        return None

    def follows(self, older):
        """Tell whether this configuration continues an older one.

        When the older one precedes the history that is kept, its items
        decide: those that were not changed later have to be the same.
        """
        is_contained = self.contains(older.mark)
        if is_contained is not None:
            return is_contained
        return self.deployment == older.deployment and all(
            self._continues(item, older.generation) for item in older.items
        )

    def _continues(self, item, generation):
        current = self._items.get((item.kind, item.name))
        if current is None:
            return False
        if item.version > generation:
            # A restoration that was broken off wrote newer items only.
            return current.version >= item.version
        return current.version > generation or current == item

    def _index(self, item):
        kind = resources.Kind(item.kind)
        if item.deleted:
            self._specs[kind].pop(item.name, None)
            return
        spec_type = resources.SPEC_TYPES[kind]
        self._specs[kind][item.name] = msgspec.convert(item.spec, spec_type)


class SnapshotData(msgspec.Struct, frozen=True):
    """Form of a snapshot that crosses a process boundary."""

    deployment: str
    mark: Mark
    items: tuple[Item, ...]
    history: tuple[Mark, ...]
    change_ids: tuple[str, ...] = ()


def to_data(snapshot):
    """Return the SnapshotData of a snapshot."""
    return SnapshotData(
        snapshot.deployment,
        snapshot.mark,
        tuple(snapshot.items),
        tuple(snapshot.history),
        tuple(snapshot.change_ids),
    )


def from_data(data):
    """Return the Snapshot of a SnapshotData."""
    items = {(item.kind, item.name): item for item in data.items}
    return Snapshot(
        data.deployment, data.mark, items, data.history, data.change_ids
    )


def spec_data(spec):
    """Return the plain data of a specification.

    The data is the same as after a way through the store, with lists in
    place of tuples, so that items of both origins compare equal.
    """
    data = msgspec.json.decode(msgspec.json.encode(spec))
    assert isinstance(data, collections.abc.Mapping)
    return data

"""Form in which the store keeps the configuration."""

import msgspec

from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray import errors
from figtray.store import base as store_base

LOG_LENGTH = 512
# A transaction of the store holds a bounded number of operations.
ITEMS_PER_TXN = 100


class Head(msgspec.Struct, frozen=True):
    """Newest generation in the store, with the marks before it."""

    deployment: str
    generation: int
    change_id: str
    checksum: str
    history: tuple[snapshot_lib.Mark, ...] = ()
    change_ids: tuple[str, ...] = ()


class Archive:
    """Reads and writes the configuration of one deployment in the store."""

    def __init__(self, store, deployment):
        self._store = store
        self._deployment = deployment
        self.prefix = f'/figtray/{deployment}/cfg/'
        self.head_key = self.prefix + 'head'

    def log_key(self, generation):
        """Return the key of a change."""
        return f'{self.prefix}log/{generation:012d}'

    def item_key(self, item):
        """Return the key of a resource."""
        return f'{self.prefix}item/{item.kind}/{item.name}'

    def read_head(self):
        """Read the head.

        Returns:
            (Head or None, modification revision of its key).

        Raises:
            StoreUnavailable: the store did not answer.
        """
        item = self._store.get(self.head_key)
        if item is None:
            return None, 0
        return msgspec.json.decode(item.value, type=Head), item.mod_revision

    def read_change(self, generation):
        """Read one change.

        Returns:
            The Change, or None if it is not in the store.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        item = self._store.get(self.log_key(generation))
        if item is None:
            return None
        return msgspec.json.decode(item.value, type=snapshot_lib.Change)

    def read_snapshot(self):
        """Read the whole configuration as of one revision.

        Returns:
            (Snapshot, store revision at which it was read).

        Raises:
            StoreUnavailable: the store did not answer.
        """
        result = self._store.range(self.prefix)
        head = None
        items = {}
        item_prefix = self.prefix + 'item/'
        for entry in result.items:
            if entry.key == self.head_key:
                head = msgspec.json.decode(entry.value, type=Head)
            elif entry.key.startswith(item_prefix):
                item = msgspec.json.decode(entry.value, type=snapshot_lib.Item)
                items[(item.kind, item.name)] = item
        if head is None:
            empty = snapshot_lib.Snapshot.empty(self._deployment)
            return empty, result.revision
        mark = snapshot_lib.Mark(head.generation, head.checksum)
        history = head.history or (mark,)
        snapshot = snapshot_lib.Snapshot(
            head.deployment, mark, items, history, head.change_ids
        )
        return snapshot, result.revision

    def write_change(self, before, change, head_revision, guards=()):
        """Write a change in one transaction.

        Args:
            before: Snapshot that the change follows.
            change: the Change.
            head_revision: modification revision of the head key that the
                change was built on.
            guards: further Compare conditions, such as a fencing token.

        Returns:
            True if the store holds the change, False if a condition failed.

        Raises:
            StoreUnavailable: the change is not in the store.
            WriteUncertain: the change may be in the store.
        """
        after = before.apply(change)
        puts = [
            self._put_head(after, change.change_id),
            self._put(self.log_key(change.generation), change),
            *(self._put(self.item_key(item), item) for item in change.items),
        ]
        expired = change.generation - LOG_LENGTH
        deletes = [self.log_key(expired)] if expired > 0 else []
        compares = [
            store_base.Compare(self.head_key, 'mod_revision', head_revision),
            # A store that comes back with an older state counts its
            # revisions again, so a delayed write could find its head
            # revision on another change of this generation.
            store_base.Compare(
                self.log_key(change.generation), 'mod_revision', 0
            ),
            *guards,
        ]
        return self._store.txn(compares, puts, deletes).succeeded

    def restore(self, snapshot, head_revision, changes=(), guards=()):
        """Write a whole snapshot over an older state of the store.

        The items go first and the head next, so that a reader never sees
        the new generation with old items. The log follows last: a log entry
        above the head would block the next change.

        Args:
            snapshot: the Snapshot to write.
            head_revision: modification revision of the head key.
            changes: the Change objects that the store lacks, if known.
            guards: further Compare conditions.

        Returns:
            True if done, False if another process changed the head.

        Raises:
            StoreUnavailable: the restoration is not complete.
            WriteUncertain: the restoration may not be complete.
        """
        head_guard = store_base.Compare(
            self.head_key, 'mod_revision', head_revision
        )
        compares = [head_guard, *guards]
        items = [
            self._put(self.item_key(item), item) for item in snapshot.items
        ]
        if not self._put_all(compares, items):
            return False
        head = self._put_head(snapshot, snapshot.change_ids[-1])
        result = self._store.txn(compares, [head])
        if not result.succeeded:
            return False
        # One transaction wrote the head, so its revision is the store's.
        head_guard = store_base.Compare(
            self.head_key, 'mod_revision', result.revision
        )
        log = [
            self._put(self.log_key(change.generation), change)
            for change in changes
        ]
        self._put_all([head_guard, *guards], log)
        return True

    def _put_all(self, compares, puts):
        for start in range(0, len(puts), ITEMS_PER_TXN):
            chunk = puts[start : start + ITEMS_PER_TXN]
            if not self._store.txn(compares, chunk).succeeded:
                return False
        return True

    def _put_head(self, snapshot, change_id):
        head = Head(
            deployment=snapshot.deployment,
            generation=snapshot.generation,
            change_id=change_id,
            checksum=snapshot.mark.checksum,
            history=tuple(snapshot.history),
            change_ids=tuple(snapshot.change_ids),
        )
        return self._put(self.head_key, head)

    @staticmethod
    def _put(key, value):
        return store_base.Put(key, msgspec.json.encode(value))


def check_items(snapshot, items):
    """Check references and deletions of the changed items.

    Args:
        snapshot: configuration before the change.
        items: the changed Items.

    Raises:
        ValidationFailed: a resource refers to one that does not exist.
        ResourceInUse: a deleted resource is still referred to.
    """
    changed = {(item.kind, item.name): item for item in items}

    def exists(kind, name):
        item = changed.get((kind.value, name)) or snapshot.item(kind, name)
        return item is not None and not item.deleted

    for item in items:
        if item.deleted:
            continue
        kind = resources.Kind(item.kind)
        spec = resources.decode_spec(kind, item.spec)
        for field, target_kind, target in resources.references(kind, spec):
            if not exists(target_kind, target):
                raise errors.ValidationFailed(
                    field=field,
                    value=target,
                    allowed=f'the name of one of {target_kind.value}',
                )
    _check_deletions(snapshot, changed)


def _check_deletions(snapshot, changed):
    deleted = {key for key, item in changed.items() if item.deleted}
    if not deleted:
        return
    for item in snapshot.items:
        current = changed.get((item.kind, item.name), item)
        if current.deleted:
            continue
        kind = resources.Kind(current.kind)
        spec = resources.decode_spec(kind, current.spec)
        for _, target_kind, target in resources.references(kind, spec):
            if (target_kind.value, target) in deleted:
                raise errors.ResourceInUse(
                    kind=target_kind.value,
                    name=target,
                    referrer=f'{current.kind}/{current.name}',
                )

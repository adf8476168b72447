"""Writes configuration changes and tells when they are in force."""

import concurrent.futures
import dataclasses
import uuid

from figtray.configuration import archive as archive_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray import errors

ATTEMPTS = 5


@dataclasses.dataclass(frozen=True)
class Committed:
    """An accepted change and the slots that confirmed it."""

    change: snapshot_lib.Change
    accepted_ms: int
    confirmed: frozenset


class EntryGroup:
    """What the writer needs of the entries, all slots at once."""

    slots = ()

    def marks(self):
        """Ask every slot for its configuration.

        Returns:
            Mapping of slot to Mark, for the slots that answered in time and
            are synchronised.
        """
        raise NotImplementedError

    def fetch(self, slot):
        """Read the whole configuration of a slot.

        Returns:
            A Snapshot.

        Raises:
            PeerUnavailable: the slot did not answer.
        """
        raise NotImplementedError

    def push(self, change):
        """Send a change to every slot.

        Returns:
            The set of slots that hold the change now.
        """
        raise NotImplementedError


def majority(total):
    """Return how many of a number of slots are a majority."""
    return total // 2 + 1


class Writer:
    """Makes changes durable, then accepted by a majority of the entries."""

    def __init__(self, store, deployment, entries, clock):
        self._deployment = deployment
        self._archive = archive_lib.Archive(store, deployment)
        self._entries = entries
        self._clock = clock
        self._last_read = None

    def read(self):
        """Read the newest configuration of store and entries.

        The store is brought up to date first if it holds an older state
        than the entries.

        Returns:
            (Snapshot, modification revision of the head key).

        Raises:
            StoreUnavailable: the store did not answer.
            WriteUncertain: the reply of a restoring write was lost.
            NoMajority: too few entries answered.
            StoreDiverged: the store holds another history.
        """
        marks = self._entries.marks()
        needed = majority(len(self._entries.slots))
        if len(marks) < needed:
            raise errors.NoMajority(
                reached=len(marks),
                total=len(self._entries.slots),
                needed=needed,
            )
        slot = max(marks, key=lambda name: marks[name].generation)
        newest = marks[slot]
        current, head_revision = self._read_store()
        if current.deployment != self._deployment:
            raise errors.StoreDiverged(
                store_generation=current.generation,
                entry_generation=newest.generation,
            )
        if current.generation < newest.generation:
            return self._restore(slot, current, head_revision)
        if current.contains(newest) is False:
            raise errors.StoreDiverged(
                store_generation=current.generation,
                entry_generation=newest.generation,
            )
        return current, head_revision

    def _read_store(self):
        """Read the store, the items only if the head has changed."""
        head, head_revision = self._archive.read_head()
        last = self._last_read
        if (
            last is not None
            and head is not None
            and last.mark == snapshot_lib.Mark(head.generation, head.checksum)
            and last.deployment == head.deployment
        ):
            return last, head_revision
        current, _ = self._archive.read_snapshot()
        self._last_read = current
        return current, head_revision

    def commit(self, build, change_id=None, guards=()):
        """Make a change and wait until a majority holds it.

        Args:
            build: function of the current Snapshot that returns the Items
                to write, or raises to give up.
            change_id: unique id; the same id may be used to retry.
            guards: further Compare conditions of the transaction.

        Returns:
            A Committed.

        Raises:
            StoreUnavailable: nothing was changed.
            NoMajority: nothing was changed; too few entries answered.
            WriteUncertain: the change may be made; retry with the same id.
            NotAccepted: the change is stored, but not confirmed by a
                majority; retry with the same id.
            FencedOut: a guard failed.
        """
        change_id = change_id or uuid.uuid4().hex
        for _ in range(ATTEMPTS):
            before, head_revision = self.read()
            change = self._find(before, change_id)
            if change is None:
                change = snapshot_lib.make_change(
                    self._deployment, before.mark, change_id, build(before)
                )
                archive_lib.check_items(before, change.items)
                if not self._write(before, change, head_revision, guards):
                    continue
            return self._accept(change)
        raise errors.FencedOut(detail='the head or the role changed')

    def _restore(self, slot, current, head_revision):
        snapshot = self._entries.fetch(slot)
        if snapshot.contains(current.mark) is False:
            raise errors.StoreDiverged(
                store_generation=current.generation,
                entry_generation=snapshot.generation,
            )
        self._archive.restore(snapshot, head_revision)
        _, head_revision = self._archive.read_head()
        current, _ = self._archive.read_snapshot()
        if current.mark != snapshot.mark:
            raise errors.StoreUnavailable(detail='restoring was overtaken')
        return current, head_revision

    def _find(self, snapshot, change_id):
        """Return a change of the recent log that has this id, or None."""
        for mark in reversed(snapshot.history[-ATTEMPTS:]):
            change = self._archive.read_change(mark.generation)
            if change is not None and change.change_id == change_id:
                return change
        return None

    def _write(self, before, change, head_revision, guards):
        try:
            return self._archive.write_change(
                before, change, head_revision, guards
            )
        except errors.WriteUncertain:
            stored = self._archive.read_change(change.generation)
            if stored is None:
                # A delayed write could still take effect: the next attempt
                # compares the same head revision, so only one can succeed.
                return False
            return stored.change_id == change.change_id

    def _accept(self, change):
        needed = majority(len(self._entries.slots))
        confirmed = frozenset(self._entries.push(change))
        if len(confirmed) < needed:
            confirmed |= frozenset(self._entries.push(change))
        if len(confirmed) < needed:
            raise errors.NotAccepted(
                generation=change.generation,
                change_id=change.change_id,
                confirmed=len(confirmed),
                total=len(self._entries.slots),
            )
        return Committed(change, self._clock.now_ms(), confirmed)


class ReplicaGroup(EntryGroup):
    """Entries of the same process, for tests and tools."""

    def __init__(self, replicas, reachable=None):
        self.replicas = replicas
        self.slots = tuple(replicas)
        self.reachable = set(replicas) if reachable is None else reachable

    def marks(self):
        return {
            slot: self.replicas[slot].snapshot.mark
            for slot in self.slots
            if slot in self.reachable
        }

    def fetch(self, slot):
        if slot not in self.reachable:
            raise errors.PeerUnavailable(peer=slot, detail='unreachable')
        return self.replicas[slot].snapshot

    def push(self, change):
        return {
            slot
            for slot in self.slots
            if slot in self.reachable
            and self.replicas[slot].apply(change)
            in (replica_lib.Outcome.APPLIED, replica_lib.Outcome.KNOWN)
        }


def in_parallel(executor, function, items, timeout_ms):
    """Call a function for each item at once.

    Args:
        executor: a concurrent.futures executor.
        function: called with one item.
        items: the items.
        timeout_ms: longest wait for all in milliseconds.

    Yields:
        (item, result) of each call that returned in time without an error
        of figtray.
    """
    futs = {executor.submit(function, item): item for item in items}
    try:
        for fut in concurrent.futures.as_completed(futs, timeout_ms / 1000):
            if isinstance(fut.exception(), errors.FigtrayError):
                continue
            yield futs[fut], fut.result()
    except concurrent.futures.TimeoutError:
        for fut in futs:
            fut.cancel()

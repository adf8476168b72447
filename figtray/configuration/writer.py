"""Writes configuration changes and tells when they are in force."""

import concurrent.futures
import dataclasses
import uuid

from figtray import clock as clock_lib
from figtray.configuration import archive as archive_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray import errors

ATTEMPTS = 5
# Earlier changes that are read one by one: those that are sent again to
# entries that lag behind, and those since the last read of the store.
# Entries that lag further catch up from each other.
MAX_STEPS = 32
# A round of calls waits this much longer for the others once a majority has
# answered: a frozen entry must not delay a change by its timeout.
GRACE_MS = 100

# Errors after which the change of this attempt was not made.
_NOT_MADE = (
    errors.StoreUnavailable,
    errors.NoMajority,
    errors.StoreDiverged,
    errors.PeerUnavailable,
)


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

    def changes(self, slot, generation):
        """Read the changes of a slot after a generation.

        Returns:
            Tuple of Change, oldest first, or None if the slot does not
            keep them or did not answer.
        """
        return None


def majority(total):
    """Return how many of a number of slots are a majority."""
    return total // 2 + 1


def newest_safe(entries, marks, base):
    """Find the newest configuration that holds every accepted change.

    Each slot follows one history and never goes back, and an accepted
    change is held by a majority. So if more slots than a minority have
    marks of one history, no change outside of it can have been accepted:
    slots that are elsewhere followed a change that was lost with an older
    state of the store.

    Args:
        entries: the EntryGroup.
        marks: mapping of slot to Mark, as of EntryGroup.marks().
        base: the Snapshot to prefer unless an entry has one that continues
            it.

    Returns:
        (Snapshot, slot that it was fetched from, or None for `base`), or
        None if no history is safe.

    Raises:
        PeerUnavailable: a slot that is ahead did not answer.
    """
    total = len(entries.slots)
    needed = total - majority(total) + 1
    ahead = {
        mark: slot
        for slot, mark in marks.items()
        if mark.generation > base.generation
    }
    elsewhere = None
    for mark in sorted(ahead, key=lambda mark: -mark.generation):
        snapshot = _fetch(entries, ahead[mark], base)
        if _support(snapshot, marks) < needed:
            continue
        if snapshot.follows(base):
            return snapshot, ahead[mark]
        # Two histories are safe if neither has an accepted change beyond
        # their common part.
        elsewhere = elsewhere or (snapshot, ahead[mark])
    if _support(base, marks) >= needed:
        return base, None
    return elsewhere


def _fetch(entries, slot, base):
    """Read a slot's configuration, by its changes after `base` if possible."""
    snapshot = base
    for change in entries.changes(slot, base.generation) or ():
        if change.parent_checksum != snapshot.mark.checksum:
            break
        snapshot = snapshot.apply(change)
    else:
        if snapshot is not base:
            return snapshot
    return entries.fetch(slot)


def _support(snapshot, marks):
    return sum(snapshot.contains(mark) is True for mark in marks.values())


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
            NoMajority: too few entries answered.
            PeerUnavailable: an entry with a newer state did not answer.
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
        current, head_revision = self._read_store()
        found = None
        if current.deployment == self._deployment:
            found = newest_safe(self._entries, marks, current)
        if found is None or not found[0].follows(current):
            raise errors.StoreDiverged(
                store_generation=current.generation,
                entry_generation=max(
                    mark.generation for mark in marks.values()
                ),
            )
        snapshot, slot = found
        if slot is None:
            return current, head_revision
        return self._restore(snapshot, marks, current, head_revision)

    def _read_store(self):
        """Read the store, the items only if they can't be derived."""
        head, head_revision = self._archive.read_head()
        current = head and self._follow_log(head)
        if current is None:
            current, _ = self._archive.read_snapshot()
        self._last_read = current
        return current, head_revision

    def _follow_log(self, head):
        """Apply the changes since the last read.

        Returns:
            The Snapshot of the head, or None if it can't be reached.
        """
        current = self._last_read
        if current is None or current.deployment != head.deployment:
            return None
        first = current.generation + 1
        if not 0 <= head.generation - current.generation <= MAX_STEPS:
            return None
        for generation in range(first, head.generation + 1):
            change = self._archive.read_change(generation)
            if (
                change is None
                or change.parent_checksum != current.mark.checksum
            ):
                return None
            current = current.apply(change)
        mark = snapshot_lib.Mark(head.generation, head.checksum)
        return current if current.mark == mark else None

    def commit(self, build, change_id=None, guards=()):
        """Make a change and wait until a majority holds it.

        Args:
            build: function of the current Snapshot that returns the Items
                to write, or raises to give up.
            change_id: unique id; the same id may be used to retry, within
                the last snapshot.HISTORY_LENGTH changes.
            guards: further Compare conditions of the transaction.

        Returns:
            A Committed.

        Raises:
            StoreUnavailable: nothing was changed.
            NoMajority: nothing was changed; too few entries answered.
            PeerUnavailable: nothing was changed; an entry with a newer
                state did not answer.
            StoreDiverged: nothing was changed; the store holds another
                history than the entries.
            WriteUncertain: the change may be made; retry with the same id.
            NotAccepted: the change is stored, but not confirmed by a
                majority; retry with the same id.
            AlreadyChanged: this id made a change whose content is no longer
                kept.
            FencedOut: nothing was changed; a guard failed, or other
                writers were faster in every attempt.
        """
        change_id = change_id or uuid.uuid4().hex
        uncertain = None
        for _ in range(ATTEMPTS):
            try:
                before, head_revision = self.read()
                generation = before.find_change(change_id)
                if generation is not None:
                    return self._repeat(before, change_id, generation)
                change = snapshot_lib.make_change(
                    self._deployment, before.mark, change_id, build(before)
                )
                archive_lib.check_items(before, change.items)
                if self._archive.write_change(
                    before, change, head_revision, guards
                ):
                    return self._accept(change)
            except errors.WriteUncertain as exc:
                # The write may still arrive. It compares the same head
                # revision as the next attempt, so only one can succeed, and
                # the next attempt finds the change if it was made.
                uncertain = exc
            except _NOT_MADE as exc:
                if uncertain is None:
                    raise
                raise errors.WriteUncertain(
                    detail=f'{uncertain} Then: {exc}'
                ) from exc
        if uncertain is not None:
            raise uncertain
        raise errors.FencedOut(detail='the head or the role changed')

    def _restore(self, snapshot, marks, current, head_revision):
        kept = (
            self._entries.changes(slot, current.generation)
            for slot, mark in marks.items()
            if mark == snapshot.mark
        )
        changes = next((found for found in kept if found), ())
        try:
            self._archive.restore(
                snapshot,
                head_revision,
                [
                    change
                    for change in changes
                    if change.generation <= snapshot.generation
                ],
            )
        except errors.WriteUncertain:
            # The state that is read below decides.
            pass
        current, head_revision = self._read_store()
        if current.mark != snapshot.mark:
            raise errors.StoreUnavailable(detail='restoring was overtaken')
        return current, head_revision

    def _repeat(self, before, change_id, generation):
        """Accept a change that an earlier call stored."""
        try:
            change = self._archive.read_change(generation)
        except errors.StoreUnavailable as exc:
            raise errors.WriteUncertain(detail=str(exc)) from exc
        if change is not None and change.change_id == change_id:
            return self._accept(change)
        # The store was restored by an entry that had no log of it.
        confirmed = [
            mark
            for mark in self._entries.marks().values()
            if mark.generation >= generation and before.contains(mark)
        ]
        self._check_accepted(generation, change_id, confirmed)
        raise errors.AlreadyChanged(change_id=change_id, generation=generation)

    def _accept(self, change):
        needed = majority(len(self._entries.slots))
        confirmed = frozenset(self._entries.push(change))
        if len(confirmed) < needed:
            self._resend_before(change)
            # Not added to the first round: an entry that restarted in
            # between has lost the change.
            confirmed = frozenset(self._entries.push(change))
        self._check_accepted(change.generation, change.change_id, confirmed)
        return Committed(change, self._clock.now_ms(), confirmed)

    def _resend_before(self, change):
        """Send the changes that entries lack before a stored change.

        Without this, one change that was stored and reached no entry would
        leave a gap that refuses all later ones.
        """
        generations = [
            mark.generation for mark in self._entries.marks().values()
        ]
        first = max(
            min(generations, default=change.generation) + 1,
            change.generation - MAX_STEPS,
        )
        try:
            for generation in range(first, change.generation):
                earlier = self._archive.read_change(generation)
                if earlier is not None:
                    self._entries.push(earlier)
        except errors.StoreUnavailable:
            # The change is stored; whether it is accepted is decided by the
            # entries alone.
            return

    def _check_accepted(self, generation, change_id, confirmed):
        if len(confirmed) < majority(len(self._entries.slots)):
            raise errors.NotAccepted(
                generation=generation,
                change_id=change_id,
                confirmed=len(confirmed),
                total=len(self._entries.slots),
            )


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

    def changes(self, slot, generation):
        if slot not in self.reachable:
            return None
        return self.replicas[slot].changes_after(generation)

    def push(self, change):
        return {
            slot
            for slot in self.slots
            if slot in self.reachable
            and self.replicas[slot].apply(change)
            in (replica_lib.Outcome.APPLIED, replica_lib.Outcome.KNOWN)
        }


def in_parallel(
    executor, function, items, timeout_ms, enough=None, counts=bool
):
    """Call a function for each item at once.

    Args:
        executor: a concurrent.futures executor.
        function: called with one item.
        items: the items.
        timeout_ms: longest wait for all in milliseconds.
        enough: number of results after which the others get only GRACE_MS;
            they go on, but their results are not returned.
        counts: function of a result that tells whether it counts towards
            `enough`.

    Yields:
        (item, result) of each call that returned in time without an error
        of figtray.
    """
    clock = clock_lib.SystemClock()
    deadline_ms = clock.now_ms() + timeout_ms
    futs = {executor.submit(function, item): item for item in items}
    waiting = set(futs)
    left = enough
    while waiting and (left_ms := deadline_ms - clock.now_ms()) > 0:
        done, waiting = concurrent.futures.wait(
            waiting, left_ms / 1000, concurrent.futures.FIRST_COMPLETED
        )
        for fut in done:
            if isinstance(fut.exception(), errors.FigtrayError):
                continue
            yield futs[fut], fut.result()
            if left and counts(fut.result()):
                left -= 1
                if left == 0:
                    grace_end_ms = clock.now_ms() + GRACE_MS
                    deadline_ms = min(deadline_ms, grace_end_ms)
    if enough is None:
        for fut in waiting:
            fut.cancel()

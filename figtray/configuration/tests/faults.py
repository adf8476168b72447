"""Store and entries with faults, for the tests of the configuration."""

from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer as writer_lib
from figtray import errors
from figtray.store import memory

DEPLOYMENT = 'test'
SLOTS = ('entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5')


class FaultyStore(memory.MemoryStore):
    """Store whose next write can be delayed, and with hooks before calls.

    `before` maps a call to a function that runs once before that call.
    """

    def __init__(self, clock=None):
        super().__init__(clock)
        self.hold_next = False
        self.before = {}
        self._held = []

    def get(self, key):
        self._run_hook('get')
        return super().get(key)

    def range(self, prefix):
        self._run_hook('range')
        return super().range(prefix)

    def txn(self, compares, puts=(), deletes=()):
        self._run_hook('txn')
        if self.hold_next and not self.down:
            self.hold_next = False
            self._held.append((compares, puts, deletes))
            raise errors.WriteUncertain(detail='injected delay')
        return super().txn(compares, puts, deletes)

    def deliver_held(self):
        """Let the delayed writes arrive."""
        held, self._held = self._held, []
        for compares, puts, deletes in held:
            try:
                super().txn(compares, puts, deletes)
            except errors.FigtrayError:
                # Nobody waits for the reply of a delayed write.
                continue

    def empty(self):
        """Lose all keys, as after an operator's deletion."""
        with self._cond:
            self._items.clear()

    def count_from(self, revision):
        """Go on counting from an older revision, as a restored store does."""
        with self._cond:
            self.revision = revision

    def _run_hook(self, call):
        hook = self.before.pop(call, None)
        if hook:
            hook()


class SlotGroup(writer_lib.ReplicaGroup):
    """Entries that restart without state and synchronise from peers."""

    def __init__(self, slots=SLOTS):
        replicas = {slot: replica_lib.Replica(DEPLOYMENT) for slot in slots}
        super().__init__(replicas)
        self.synchronised = set(slots)

    def marks(self):
        return {
            slot: mark
            for slot, mark in super().marks().items()
            if slot in self.synchronised
        }

    def restart(self, slot):
        """Lose the state of a slot."""
        self.replicas[slot] = replica_lib.Replica(DEPLOYMENT)
        self.synchronised.discard(slot)

    def synchronise(self, slot):
        """Follow the newest configuration of a majority of the slots.

        Returns:
            True if the slot is synchronised.
        """
        marks = self.marks()
        needed = writer_lib.majority(len(self.slots))
        if slot not in self.reachable or len(marks) < needed:
            return slot in self.synchronised
        base = snapshot_lib.Snapshot.empty(DEPLOYMENT)
        found = writer_lib.newest_safe(self, marks, base)
        if found is None:
            return slot in self.synchronised
        outcome = self.replicas[slot].adopt(found[0])
        if outcome is not replica_lib.Outcome.DIVERGED:
            self.synchronised.add(slot)
        return slot in self.synchronised


def team_item(snapshot, name, limit=1):
    """Return the item of a team that follows a snapshot."""
    spec = {'limit': limit, 'weight': 1}
    return snapshot_lib.Item(
        resources.Kind.TEAM.value, name, snapshot.generation + 1, spec
    )


def set_team(name, limit=1):
    """Return a build function that sets the limit of a team."""
    return lambda before: (team_item(before, name, limit),)


def make_changes(snapshot, count, prefix='c'):
    """Return (changes, snapshot after them)."""
    changes = []
    for number in range(count):
        change = snapshot_lib.make_change(
            snapshot.deployment,
            snapshot.mark,
            f'{prefix}{number}',
            [team_item(snapshot, f'{prefix}{number % 7}', number)],
        )
        changes.append(change)
        snapshot = snapshot.apply(change)
    return changes, snapshot

"""An entry's replica of the configuration, which never goes back."""

import collections
import enum
import threading

from figtray.configuration import snapshot as snapshot_lib

RECENT_CHANGES = 512


class Outcome(enum.Enum):
    """What became of a change or snapshot that was offered to a replica."""

    APPLIED = 'applied'
    KNOWN = 'known'
    GAP = 'gap'
    DIVERGED = 'diverged'


class Replica:
    """Newest known configuration of a deployment.

    Listeners are called with (old snapshot, new snapshot), in the order of
    the generations and one at a time, before the new snapshot is visible.
    A listener can therefore narrow a right (a lower limit) before any
    reader acts on the new configuration.
    """

    def __init__(self, deployment, checksums=True):
        self._lock = threading.RLock()
        self._checksums = checksums
        self._snapshot = snapshot_lib.Snapshot.empty(deployment)
        self._recent = collections.deque(maxlen=RECENT_CHANGES)
        self._listeners = []

    @property
    def snapshot(self):
        """The current Snapshot; safe to read without a lock."""
        return self._snapshot

    def subscribe(self, listener):
        """Call a listener with every later step."""
        with self._lock:
            self._listeners.append(listener)

    def apply(self, change):
        """Take over one change if it follows the current generation.

        Args:
            change: the snapshot.Change.

        Returns:
            The Outcome; GAP if changes in between are missing.
        """
        with self._lock:
            current = self._snapshot
            mark = snapshot_lib.Mark(change.generation, change.checksum)
            if change.generation <= current.generation:
                return self._compare(current, mark)
            if change.generation > current.generation + 1:
                return Outcome.GAP
            if (
                self._checksums
                and change.parent_checksum != current.mark.checksum
            ):
                return Outcome.DIVERGED
            self._replace(current.apply(change))
            self._recent.append(change)
            return Outcome.APPLIED

    def adopt(self, snapshot):
        """Take over a whole snapshot if it continues this history.

        Args:
            snapshot: the snapshot.Snapshot.

        Returns:
            The Outcome.
        """
        with self._lock:
            current = self._snapshot
            if snapshot.deployment != current.deployment:
                return Outcome.DIVERGED
            if snapshot.generation <= current.generation:
                return self._compare(current, snapshot.mark)
            if self._checksums and not snapshot.follows(current):
                return Outcome.DIVERGED
            self._replace(snapshot)
            self._recent.clear()
            return Outcome.APPLIED

    def changes_after(self, generation):
        """Return the changes that follow a generation, oldest first.

        Returns:
            Tuple of Change, or None if they are no longer kept.
        """
        with self._lock:
            if generation >= self._snapshot.generation:
                return ()
            changes = tuple(
                change
                for change in self._recent
                if change.generation > generation
            )
            if changes and changes[0].generation == generation + 1:
                return changes
            return None

    def _compare(self, current, mark):
        if not self._checksums:
            return Outcome.KNOWN
        if current.contains(mark) is False:
            return Outcome.DIVERGED
        return Outcome.KNOWN

    def _replace(self, snapshot):
        old = self._snapshot
        for listener in self._listeners:
            listener(old, snapshot)
        self._snapshot = snapshot

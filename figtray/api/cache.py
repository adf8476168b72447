"""Local copy of the newest configuration, for reads."""

import dataclasses
import threading

from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer as writer_lib
from figtray import errors

# Reads of several operators share one round of calls to the entries.
MAX_AGE_MS = 1000


@dataclasses.dataclass(frozen=True)
class View:
    """The configuration that a read shows.

    `marks` are those of the entries that answered; `age_ms` is the time
    since the entries or the store confirmed the snapshot as the newest.
    """

    snapshot: snapshot_lib.Snapshot
    marks: dict
    age_ms: int


class Cache:
    """Newest snapshot known to a majority of the entries, or the store."""

    def __init__(self, deployment, entries, archive, clock):
        self._deployment = deployment
        self._entries = entries
        self._archive = archive
        self._clock = clock
        self._lock = threading.Lock()
        self._replica = replica_lib.Replica(deployment)
        self._marks = {}
        self._asked_ms = None
        self._problem = ''
        self._checked_ms = None

    def view(self, max_age_ms=MAX_AGE_MS):
        """Return the configuration, asking the entries if it is too old.

        Args:
            max_age_ms: largest age that needs no new question.

        Returns:
            A View; older than asked for if nothing answered.

        Raises:
            StoreUnavailable: nothing answered since the start.
        """
        with self._lock:
            now_ms = self._clock.now_ms()
            # A failed question counts as well: reads during an outage must
            # not wait for one timeout each.
            if self._asked_ms is None or now_ms - self._asked_ms >= max_age_ms:
                self._refresh(now_ms)
            if self._checked_ms is None:
                raise errors.StoreUnavailable(detail=self._problem)
            return View(
                self._replica.snapshot,
                dict(self._marks),
                self._clock.now_ms() - self._checked_ms,
            )

    def learn(self, change):
        """Take over an accepted change of this process at once."""
        with self._lock:
            self._replica.apply(change)

    def _refresh(self, now_ms):
        self._asked_ms = now_ms
        self._marks = self._entries.marks()
        needed = writer_lib.majority(len(self._entries.slots))
        try:
            if len(self._marks) >= needed:
                self._follow_entries()
            else:
                self._replica.adopt(self._archive.read_snapshot()[0])
            self._checked_ms = now_ms
        except (errors.StoreUnavailable, errors.PeerUnavailable) as exc:
            self._problem = str(exc)

    def _follow_entries(self):
        found = writer_lib.newest_safe(
            self._entries, self._marks, self._replica.snapshot
        )
        if found is None:
            raise errors.PeerUnavailable(
                peer='entries', detail='they follow different histories'
            )
        snapshot, slot = found
        if slot is None:
            return
        if self._replica.adopt(snapshot) is replica_lib.Outcome.DIVERGED:
            # The entries decide. This copy followed a change of the store
            # that they never accepted.
            self._replica = replica_lib.Replica(self._deployment)
            self._replica.adopt(snapshot)

"""How far the leases on workers reach, as recorded in the store."""

import dataclasses
import threading

import msgspec

from figtray import decoding
from figtray.leadership import term as terms
from figtray.scheduling import leases

RENEW_INTERVAL_MS = 1000
# Reachable workers report within this time; their ends are not known before.
MIN_ADOPTION_MS = 3000
# Most incarnations in one record; the others count as extended.
MAX_UNEXTENDED = 30


class Unextended(msgspec.Struct, frozen=True, array_like=True):
    """Incarnation on which the leader of a record has extended no lease.

    Attributes:
        worker_id: id of the worker.
        born_ms: Unix time in milliseconds of the start of its incarnation.
        revision: revision of the record that bounds its last lease.
    """

    worker_id: str
    born_ms: int
    revision: int


class LeasesRecord(msgspec.Struct, frozen=True):
    """Stored under terms.LEASES_KEY while the leader extends leases.

    Attributes:
        unextended: the Unextended ones.
        horizon_ms: how far leases reach after its request; 0 in a record of
            an earlier release, or while its leases may last.
    """

    unextended: tuple[Unextended, ...] = ()
    horizon_ms: int = 0


_decoder = msgspec.json.Decoder(LeasesRecord)


def decode(data):
    """Return the LeasesRecord of stored bytes.

    Raises:
        UnreadableMessage: the bytes are no such record.
    """
    return decoding.decode('leader-leases', _decoder, data)


class LeaseHorizon:
    """Bounds the leases of one term by a record that all nodes follow.

    No lease reaches further than the horizon after the request of the last
    record that is stored. So a node that saw the record arrive knows when all
    leases have ended, however long the store was down since.

    The record names the incarnations that have not reported in this term, so
    that the next leader counts their leases from an earlier record. They get
    no lease until one without them is stored.

    Args:
        writer: the Writer of the term.
        clock: the Clock.
        bounds: the time limits of the settings; see platform.settings.
        lock: the RLock of the scheduler.
        list_unextended: returns the Unextended ones; called with the lock.
    """

    def __init__(
        self, writer, clock, bounds, lock=None, list_unextended=tuple
    ):
        self._writer = writer
        self._clock = clock
        self._horizon_ms = leases.horizon_ms(bounds)
        self._lock = lock or threading.RLock()
        self._list_unextended = list_unextended
        # Those in the record that is stored, and in those requested since.
        self._unextended = frozenset()
        self._requested_unextended = frozenset()
        self._until_ms = 0
        # Sequence number of the write that is queued or under way, or None.
        self._pending = None
        # Local time before the last request of a write.
        self._requested_ms = None
        # Local time until which longer leases of earlier terms may last.
        self._longer_until_ms = None

    def renew_if_due(self):
        """Queue a write of the record each RENEW_INTERVAL_MS.

        One is also due when a worker has reported that the last one names.
        """
        with self._lock:
            self._settle()
            now_ms = self._clock.now_ms()
            is_due = (
                self._requested_ms is None
                or now_ms - self._requested_ms >= RENEW_INTERVAL_MS
                or bool(self._unextended)
                and not self._unextended.issubset(self._list_unextended())
            )
            if is_due and self._pending is None:
                self._pending = self._writer.enqueue(
                    terms.LEASES_KEY, self._encode, urgent=True
                )

    def note_longer_leases(self, until_ms):
        """Record that leases of earlier terms may be longer than ours.

        Until a local time, the record has no horizon, so that a next leader
        takes it for one of another release as well.
        """
        with self._lock:
            self._longer_until_ms = until_ms

    def remaining_ms(self, now_ms, incarnation=None):
        """Return how long a lease may last from now on; 0 if it may not.

        Args:
            now_ms: local time.
            incarnation: the Incarnation, or None for any that has reported.
        """
        with self._lock:
            self._settle()
            if incarnation is not None and self._is_named(incarnation):
                return 0
            return max(0, self._until_ms - now_ms)

    def _is_named(self, incarnation):
        return any(
            (item.worker_id, item.born_ms) == incarnation[:2]
            for item in self._unextended
        )

    def _settle(self):
        if self._pending is not None and self._writer.is_written(
            self._pending, terms.LEASES_KEY
        ):
            self._until_ms = self._requested_ms + self._horizon_ms
            self._unextended = self._requested_unextended
            self._pending = None

    def _encode(self):
        """Return the record, directly before a request to write it."""
        with self._lock:
            self._requested_ms = self._clock.now_ms()
            unextended = ()
            # Before the first record is stored, no worker may have reported.
            if self._until_ms:
                unextended = tuple(self._list_unextended())[:MAX_UNEXTENDED]
            self._requested_unextended = frozenset(unextended)
            # A request without a reply may have been carried out.
            self._unextended |= self._requested_unextended
            horizon_ms = self._horizon_ms
            if (
                self._longer_until_ms is not None
                and self._requested_ms < self._longer_until_ms
            ):
                horizon_ms = 0
        return msgspec.json.encode(LeasesRecord(unextended, horizon_ms))


@dataclasses.dataclass(frozen=True)
class EarlierLeases:
    """End of the leases on an incarnation that no recent leader extended.

    Attributes:
        until_ms: local time at which they have ended.
        revision: revision of the record that bounds them.
    """

    until_ms: int
    revision: int


def earlier_leases(term, record, bounds):
    """Return the EarlierLeases of the incarnations that a record names.

    Args:
        term: the Term of the new leader.
        record: the LeasesRecord of the last leader.
        bounds: the time limits of the settings.

    Returns:
        A mapping of worker id and start time to them.
    """
    return {
        (item.worker_id, item.born_ms): EarlierLeases(
            earlier_leases_end_ms(term, item.revision, bounds), item.revision
        )
        for item in record.unextended
    }


def earlier_leases_end_ms(term, revision, bounds):
    """Return the local time at which the leases of earlier terms have ended.

    Args:
        term: the Term of the new leader.
        revision: revision of the record that bounds the leases, as it is
            after the start of the term; None if there is none.
        bounds: the time limits of the settings.
    """
    longest_ms = term.began_ms + leases.longest_lease_ms(bounds)
    # What is seen with a later revision was stored after the record.
    seen_ms = next(
        (
            seen.at_ms
            for seen in term.leases_seen
            if revision is not None and seen.revision >= revision
        ),
        None,
    )
    if seen_ms is None:
        return longest_ms
    ended_ms = seen_ms + leases.longest_horizon_ms(bounds)
    return min(longest_ms, max(ended_ms, term.began_ms + MIN_ADOPTION_MS))

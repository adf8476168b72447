"""Idempotency keys that this entry owns and has seen."""

import collections
import dataclasses
import enum
import threading


class Claim(enum.Enum):
    """What to do with a request that carries an idempotency key."""

    FIRST = 'first'
    REPEATED = 'repeated'
    OTHER_BODY = 'other-body'
    UNCERTAIN = 'uncertain'
    FULL = 'full'
    CLOSED = 'closed'


@dataclasses.dataclass
class _Record:
    digest: str
    claimed_ms: int
    task: object


class KeyRecords:
    """Memory of keys for a retention time.

    After a start the keys of the slot's former run are unknown until the
    retention time has passed or the former run has handed them over.
    Until then an unknown key may belong to a request that has run. The same
    holds until this run is on record: its successor must know of it.
    """

    def __init__(self, retention_ms, max_records, clock):
        self._retention_ms = retention_ms
        self._max_records = max_records
        self._clock = clock
        self._lock = threading.Lock()
        self._records = collections.OrderedDict()
        self._complete_ms = clock.now_ms() + retention_ms
        self._recorded = False
        self._closed = False

    @property
    def complete(self):
        """True if an unknown key is certainly new."""
        return self._recorded and self._clock.now_ms() >= self._complete_ms

    def recorded(self, first_run):
        """Note that the store names this run as the slot's last one.

        Args:
            first_run: True if the slot never had a run before.
        """
        with self._lock:
            self._recorded = True
            if first_run:
                self._complete_ms = self._clock.now_ms()

    def claim(self, owner_key, digest, make_task):
        """Claim a key for a request, or find the request that has it.

        Args:
            owner_key: team and key.
            digest: digest of queue and body.
            make_task: function that returns the new task, or None if there
                is no room for it.

        Returns:
            (Claim, task or None).
        """
        with self._lock:
            self._expire()
            record = self._records.get(owner_key)
            if record is not None:
                if record.digest != digest:
                    return Claim.OTHER_BODY, None
                return Claim.REPEATED, record.task
            if not self.complete:
                return Claim.UNCERTAIN, None
            if self._closed:
                return Claim.CLOSED, None
            if len(self._records) >= self._max_records:
                return Claim.FULL, None
            task = make_task()
            if task is None:
                return Claim.FULL, None
            self._records[owner_key] = _Record(
                digest, self._clock.now_ms(), task
            )
            return Claim.FIRST, task

    def forget(self, owner_key, task):
        """Drop a key whose task certainly did not run.

        Args:
            owner_key: team and key.
            task: the task; a later task of the same key is kept.
        """
        with self._lock:
            record = self._records.get(owner_key)
            if record is not None and record.task is task:
                del self._records[owner_key]

    def close(self):
        """Take no further key, so that an export stays complete.

        Returns:
            (records, uncertain_ms): (owner key, digest, age in ms, task) of
            each record, and the time in ms for which an unknown key may
            still belong to a request that has run.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            self._closed = True
            self._expire()
            uncertain_ms = self._retention_ms
            if self._recorded:
                uncertain_ms = max(0, self._complete_ms - now_ms)
            return [
                (key, record.digest, now_ms - record.claimed_ms, record.task)
                for key, record in self._records.items()
            ], uncertain_ms

    def take_over(self, records, uncertain_ms=0):
        """Add the records that the slot's former run handed over.

        Args:
            records: iterable of (owner key, digest, age in ms, task).
            uncertain_ms: what close() returned in the former run.
        """
        now_ms = self._clock.now_ms()
        with self._lock:
            for owner_key, digest, age_ms, task in records:
                self._records.setdefault(
                    owner_key, _Record(digest, now_ms - age_ms, task)
                )
            self._records = collections.OrderedDict(
                sorted(
                    self._records.items(),
                    key=lambda entry: entry[1].claimed_ms,
                )
            )
            self._complete_ms = now_ms + uncertain_ms

    def _expire(self):
        oldest_ms = self._clock.now_ms() - self._retention_ms
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.claimed_ms >= oldest_ms:
                return
            del self._records[key]

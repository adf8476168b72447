"""Writer of the leader's records: group commit, fenced by its term."""

import collections
import heapq
import itertools
import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.events import unreadable
from figtray.leadership import term as terms
from figtray.store import base

# Writes that are queued within this time share a transaction.
BATCH_DELAY_MS = 25
RETRY_MS = 150
# A transaction holds 32 entries: one condition on the term, and a condition
# and a write for each key.
KEYS_PER_TXN = 15
# Limit of the store on a value (platform.value_bytes of the settings).
MAX_RECORD_BYTES = 1024 * 1024


class Writer:
    """Writes records during one term, each key with its newest value.

    Each write is conditional on the revision that it replaces. So a write
    whose reply was lost and that is executed late can't undo a later one.

    Args:
        store: the Store.
        term: the Term.
        clock: the Clock.

    Attributes:
        on_written: called without arguments after each stored batch, in the
            thread that writes.
    """

    def __init__(self, store, term, clock):
        self.on_written = lambda: None
        self._store = store
        self._term = term
        self._clock = clock
        self._cond = threading.Condition()
        # Those who wait for all writes up to a number, as a heap of the
        # number, a tie-breaker and an Event. Each is woken once: to wake all
        # of them by each write costs more the more there are.
        self._waiters = []
        self._waiter_numbers = itertools.count()
        # Sequence number and encode() of each queued key. The urgent ones go
        # first, so that no start and no lease waits for a backlog.
        self._urgent = collections.OrderedDict()
        self._pending = collections.OrderedDict()
        self._batch = None
        # Lowest sequence number of each key whose record was left out.
        self._left_out = {}
        self._last_sequence = 0
        self._revisions = {}
        # Keys that vanish with the lease of the term.
        self._leased_keys = set()
        self._last_revision = term.epoch
        self._failing = False
        self._unreadable = unreadable.UnreadableLog(clock)

    def set_revision(self, key, revision):
        """Set the revision of a key that was read from the store."""
        with self._cond:
            self._revisions[key] = revision

    def bind_to_lease(self, key):
        """Let a key vanish when the lease of the term ends."""
        with self._cond:
            self._leased_keys.add(key)

    def enqueue(self, key, encode, urgent=False):
        """Queue a write of a key.

        If a write of the key is queued already, that one is kept, with its
        encode.

        Args:
            key: the key.
            encode: called at the time of the write; returns the bytes, or
                None to delete the key.
            urgent: whether it goes before all records that are not.

        Returns:
            Sequence number for wait().
        """
        with self._cond:
            self._last_sequence += 1
            if key in self._urgent:
                return self._last_sequence
            queued = self._urgent if urgent else self._pending
            if key in queued:
                return self._last_sequence
            was_empty = not self._count_queued()
            queued[key] = self._pending.pop(key, (self._last_sequence, encode))
            if was_empty:
                self._cond.notify_all()
            return self._last_sequence

    def last_sequence(self):
        """Return the sequence number of the last call of enqueue()."""
        with self._cond:
            return self._last_sequence

    def last_revision(self):
        """Return the revision of the last batch that is stored.

        It is at least the epoch of this term, and less than that of each
        later one, as each batch is conditional on the term.
        """
        with self._cond:
            return self._last_revision

    def is_written(self, sequence, key=None):
        """Return whether all writes up to a sequence number are stored.

        Args:
            sequence: the sequence number.
            key: the only key to look at; None for all but those left out,
                see _encode().
        """
        with self._cond:
            return self._written_sequence(key) >= sequence

    def wait(self, sequence, timeout_ms, key=None):
        """Wait until all writes up to a sequence number are stored.

        Args:
            sequence: the sequence number.
            timeout_ms: longest wait in milliseconds.
            key: the only key to look at; None for all but those left out,
                see _encode().

        Returns:
            True if they are stored.
        """
        if key is None:
            return self._wait_for_all(sequence, timeout_ms)
        with self._cond:
            return self._cond.wait_for(
                lambda: self._written_sequence(key) >= sequence,
                timeout_ms / 1000,
            )

    def _wait_for_all(self, sequence, timeout_ms):
        """Wait for the writes of all keys; see wait()."""
        with self._cond:
            if self._written_sequence(None) >= sequence:
                return True
            if timeout_ms <= 0:
                return False
            written = threading.Event()
            number = next(self._waiter_numbers)
            waiter = (sequence, number, written)
            heapq.heappush(self._waiters, waiter)
        if written.wait(timeout_ms / 1000):
            return True
        with self._cond:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
                heapq.heapify(self._waiters)
            return self._written_sequence(None) >= sequence

    def _wake_waiters(self):
        """Wake those whose writes are stored."""
        if not self._waiters:
            return
        written = self._written_sequence(None)
        while self._waiters and self._waiters[0][0] <= written:
            heapq.heappop(self._waiters)[2].set()

    def run(self):
        """Write batches until the term has ended."""
        while not self._term.ended.is_set():
            with self._cond:
                self._cond.wait_for(
                    self._count_queued, terms.RENEW_INTERVAL_MS / 1000
                )
                if not self._count_queued():
                    continue
                is_full = self._count_queued() >= KEYS_PER_TXN
            if not is_full:
                self._clock.wait(self._term.ended, BATCH_DELAY_MS)
            self.flush()

    def has_pending(self):
        """Return whether a write is queued or under way."""
        with self._cond:
            return bool(self._count_queued() or self._batch)

    def flush(self):
        """Write one batch; retry until it is stored or the term ends."""
        while not self._term.ended.is_set() and not self.flush_once():
            self._clock.wait(self._term.ended, RETRY_MS)

    def flush_once(self):
        """Try once to write the batch under way, or else the next one.

        Returns:
            True if it is written or nothing is queued.
        """
        with self._cond:
            if self._batch is None:
                if not self._count_queued():
                    return True
                self._batch = list(
                    itertools.islice(self._take_queued(), KEYS_PER_TXN)
                )
            batch = self._batch
        values = dict(self._encode(batch))
        if values and not self._write(values):
            return False
        with self._cond:
            for key, sequence, _ in batch:
                if key in values:
                    self._left_out.pop(key, None)
                else:
                    self._left_out.setdefault(key, sequence)
            self._batch = None
            self._wake_waiters()
            self._cond.notify_all()
        self.on_written()
        return True

    def _encode(self, batch):
        """Yield the keys and values of a batch.

        A record that can't be encoded, or is too large for the store, is left
        out: a batch that never ends would hold up all others. Its key counts
        as not stored until a later write of it is stored.
        """
        for key, _, encode in batch:
            with self._unreadable.skip_on_error(key):
                value = encode()
                if value is not None and len(value) > MAX_RECORD_BYTES:
                    raise ValueError(
                        f'too large for the store: {len(value)} bytes'
                    )
                yield key, value

    def _count_queued(self):
        return len(self._urgent) + len(self._pending)

    def _take_queued(self):
        """Yield and remove (key, sequence number, encode), urgent first."""
        for queued in (self._urgent, self._pending):
            while queued:
                key, entry = queued.popitem(last=False)
                yield key, *entry

    def _written_sequence(self, key):
        """Return the number up to which a key, or all if None, is stored."""
        return min(self._unwritten(key), default=self._last_sequence + 1) - 1

    def _unwritten(self, key):
        """Yield the lowest sequence numbers that are not stored yet."""
        if key in self._left_out:
            yield self._left_out[key]
        for batch_key, sequence, _ in self._batch or ():
            if key in (None, batch_key):
                yield sequence
        for queued_key, (sequence, _) in self._urgent.items():
            if key in (None, queued_key):
                yield sequence
        # In the order of their numbers.
        first = next(iter(self._pending), None) if key is None else key
        if first in self._pending:
            yield self._pending[first][0]

    def _lease_of(self, key):
        return self._term.lease_id if key in self._leased_keys else 0

    def _write(self, values):
        compares = [
            base.Compare(terms.LEADER_KEY, 'mod_revision', self._term.epoch)
        ]
        compares += [
            base.Compare(key, 'mod_revision', self._revisions.get(key, 0))
            for key in values
        ]
        puts = [
            base.Put(k, v, self._lease_of(k))
            for k, v in values.items()
            if v is not None
        ]
        deletes = [k for k, v in values.items() if v is None]
        try:
            result = self._store.txn(compares, puts, deletes)
        except errors.LeaseLost:
            self._term.end('its lease has ended')
            return False
        except (errors.StoreUnavailable, errors.WriteUncertain) as exc:
            if not self._failing:
                self._failing = True
                log.emit(
                    catalogue.WRITES_FAIL, records=len(values), detail=str(exc)
                )
            return False
        if self._failing:
            self._failing = False
            log.emit(catalogue.WRITES_SUCCEED)
        current = {item.key: item.mod_revision for item in result.current}
        with self._cond:
            if result.succeeded:
                self._last_revision = max(self._last_revision, result.revision)
                for key in values:
                    self._revisions[key] = result.revision
                for key in deletes:
                    # Absent counts as 0, and the keys of jobs are never used
                    # again.
                    del self._revisions[key]
                return True
            for key in values:
                self._revisions[key] = current.get(key, 0)
        if current.get(terms.LEADER_KEY) != self._term.epoch:
            self._term.end('another leader was elected')
        return False

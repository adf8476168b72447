"""In-memory store with injected faults, for tests and the stand-in."""

import threading

from figtray import clock as clock_lib
from figtray import errors
from figtray.store import base

# Number of changes that are kept for watches.
HISTORY_LENGTH = 10_000
# Wait of a watch whose `wait_ms` is 0 or None.
WATCH_WAIT_MS = base.WATCH_WAIT_MS
# Limit of the platform's store on conditions, puts and deletes together.
MAX_TXN_ENTRIES = 32


class Compacted(errors.StoreUnavailable):
    """The changes that a watch asks for have been compacted.

    The stand-in answers it with a status that the platform's client raises
    as HistoryCompacted.
    """

    msg_fmt = 'Changes before revision {revision} have been compacted.'


class InvalidTxn(errors.StoreUnavailable):
    """The store rejected a transaction that it can never execute."""

    msg_fmt = 'The store rejected the transaction: {detail}'


class MemoryStore(base.Store):
    """Key-value service in memory.

    Attributes:
        revision: revision of the last change.
        down: whether all calls fail, as in an outage; set_down() also wakes
            the watches.
        replies_to_lose: number of transactions that are still to be
            executed without a reply.

    Args:
        clock: the Clock of the leases; None = that of the system.
    """

    def __init__(self, clock=None):
        self._clock = clock or clock_lib.SystemClock()
        self._cond = threading.Condition()
        # KeyValues by key.
        self._items = {}
        # KeyValues of the last changes, oldest first.
        self._history = []
        # Last revision whose changes are no longer kept.
        self._compacted_revision = 1
        # (time to live, local time of the end) in ms, by lease id.
        self._leases = {}
        self._next_lease = 1
        self.revision = 1
        # Changed by restore(), so that the watches before it break.
        self._history_id = 0
        self.down = False
        self.replies_to_lose = 0

    def get(self, key, timeout_ms=None):
        return self.get_with_revision(key)[0]

    def get_with_revision(self, key):
        """Read one key and the store's revision.

        Args:
            key: the key.

        Returns:
            (KeyValue or None, revision).

        Raises:
            StoreUnavailable: the store is down.
        """
        with self._cond:
            self._begin_call()
            return self._items.get(key), self.revision

    def range(self, prefix):
        with self._cond:
            self._begin_call()
            items = tuple(
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(prefix)
            )
            return base.RangeResult(items=items, revision=self.revision)

    def txn(self, compares, puts=(), deletes=(), timeout_ms=None):
        with self._cond:
            self._begin_call()
            keys = [put.key for put in puts] + list(deletes)
            if len(set(keys)) < len(keys):
                raise InvalidTxn(detail='duplicate key')
            if len(keys) + len(compares) > MAX_TXN_ENTRIES:
                raise InvalidTxn(detail='too many entries')
            succeeded = all(self._condition_holds(item) for item in compares)
            if succeeded:
                for put in puts:
                    if put.lease and put.lease not in self._leases:
                        raise errors.LeaseLost(lease_id=put.lease)
                self._write(puts, deletes)
            if self.replies_to_lose:
                self.replies_to_lose -= 1
                raise errors.WriteUncertain(detail='injected')
            current = ()
            if not succeeded:
                current = tuple(
                    self._items[item.key]
                    for item in compares
                    if item.key in self._items
                )
            return base.TxnResult(succeeded, self.revision, current)

    def grant_lease(self, ttl_ms):
        with self._cond:
            self._begin_call()
            lease_id = self._next_lease
            self._next_lease += 1
            self._leases[lease_id] = (ttl_ms, self._clock.now_ms() + ttl_ms)
            return lease_id

    def keep_alive(self, lease_id):
        with self._cond:
            self._begin_call()
            if lease_id not in self._leases:
                return 0
            ttl_ms = self._leases[lease_id][0]
            self._leases[lease_id] = (ttl_ms, self._clock.now_ms() + ttl_ms)
            return ttl_ms

    def revoke(self, lease_id):
        with self._cond:
            self._begin_call()
            self._end_lease(lease_id)

    def watch(self, prefix, start_revision, stop, wait_ms=base.WATCH_WAIT_MS):
        next_revision = start_revision
        history_id = self.begin_watch()
        while not stop.is_set():
            items, next_revision = self.wait_for_changes(
                prefix, next_revision, wait_ms or WATCH_WAIT_MS, history_id
            )
            yield from items
            yield None

    def begin_watch(self):
        """Start a watch.

        Returns:
            The id of the present history, for wait_for_changes().

        Raises:
            StoreUnavailable: the store is down.
        """
        with self._cond:
            self._begin_call()
            return self._history_id

    def wait_for_changes(
        self, prefix, start_revision, wait_ms, history_id=None
    ):
        """Wait for changes below a prefix.

        Args:
            prefix: common start of the keys.
            start_revision: first revision whose changes are returned.
            wait_ms: longest wait in milliseconds.
            history_id: result of begin_watch(); None = the present history.

        Returns:
            The KeyValue items, oldest first, and the next start revision.

        Raises:
            StoreUnavailable: the store is down, or an older state was
                restored since the watch began.
            Compacted: the changes are no longer kept.
        """
        with self._cond:
            if history_id is None:
                history_id = self._history_id
            self._end_expired_leases()
            changed = self._cond.wait_for(
                lambda: self.down
                or self._history_id != history_id
                or self.revision >= start_revision,
                wait_ms / 1000,
            )
            if self.down:
                raise errors.StoreUnavailable(detail='injected outage')
            if self._history_id != history_id:
                raise errors.StoreUnavailable(
                    detail='an older state was restored'
                )
            if not changed:
                return [], start_revision
            if start_revision <= self._compacted_revision:
                # A watch from revision 1 misses nothing while only revision
                # 1, the empty store, counts as compacted.
                if start_revision > 1 or self._compacted_revision > 1:
                    raise Compacted(revision=self._compacted_revision + 1)
            items = [
                item
                for item in self._history
                if item.mod_revision >= start_revision
                and item.key.startswith(prefix)
            ]
            return items, self.revision + 1

    def set_down(self, down):
        """Switch an outage on or off."""
        with self._cond:
            self.down = down
            self._cond.notify_all()

    def peek(self, key):
        """Return a KeyValue or None, also while the store is down."""
        with self._cond:
            return self._items.get(key)

    def remove(self, keys):
        """Delete keys, also while the store is down, as if they expired."""
        with self._cond:
            self._write((), keys)

    def compact_history(self):
        """Drop all past changes; a watch that asks for them fails."""
        with self._cond:
            self._history = []
            self._compacted_revision = self.revision

    def dump(self):
        """Return the state, for a later restore()."""
        with self._cond:
            leases = {
                lease_id: ttl_ms
                for lease_id, (ttl_ms, _) in self._leases.items()
            }
            return dict(self._items), self.revision, leases

    def restore(self, state):
        """Return to an older state, like a store restored from a backup.

        Watches break. The leases of the older state start again with their
        full time to live; lease ids granted since are not reused.
        """
        with self._cond:
            items, revision, leases = state
            self._items, self.revision = dict(items), revision
            now_ms = self._clock.now_ms()
            self._leases = {
                lease_id: (ttl_ms, now_ms + ttl_ms)
                for lease_id, ttl_ms in leases.items()
            }
            self._next_lease = max([self._next_lease - 1, *leases]) + 1
            self._history = []
            self._compacted_revision = revision
            self._history_id += 1
            self._cond.notify_all()

    def expire_leases(self):
        """End the leases whose time is over, as any other call does."""
        with self._cond:
            self._end_expired_leases()

    def _begin_call(self):
        if self.down:
            raise errors.StoreUnavailable(detail='injected outage')
        self._end_expired_leases()

    def _end_expired_leases(self):
        now_ms = self._clock.now_ms()
        for lease_id, (_, end_ms) in list(self._leases.items()):
            if end_ms <= now_ms:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        self._leases.pop(lease_id, None)
        keys = [k for k, v in self._items.items() if v.lease == lease_id]
        if keys and lease_id:
            self._write((), keys)

    def _condition_holds(self, compare):
        item = self._items.get(compare.key)
        current = getattr(item, compare.field) if item else 0
        return current == compare.value

    def _write(self, puts, deletes):
        deletes = [key for key in deletes if key in self._items]
        if not puts and not deletes:
            return
        self.revision += 1
        for put in puts:
            old = self._items.get(put.key)
            item = base.KeyValue(
                key=put.key,
                value=put.value,
                mod_revision=self.revision,
                create_revision=old.create_revision if old else self.revision,
                lease=put.lease,
            )
            self._items[put.key] = item
            self._history.append(item)
        for key in deletes:
            del self._items[key]
            self._history.append(
                base.KeyValue(key, b'', self.revision, deleted=True)
            )
        self._trim_history()
        self._cond.notify_all()

    def _trim_history(self):
        surplus = len(self._history) - HISTORY_LENGTH
        if surplus > 0:
            self._compacted_revision = self._history[surplus - 1].mod_revision
            del self._history[:surplus]

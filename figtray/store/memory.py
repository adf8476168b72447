"""In-memory key-value service with faults, for tests and the stand-in."""

import threading

from figtray import clock as clock_lib
from figtray import errors
from figtray.store import base

HISTORY_LENGTH = 10_000


class MemoryStore(base.Store):
    """Key-value service in memory.

    The attributes `down` and `lose_next_reply` switch faults on.
    """

    def __init__(self, clock=None):
        self._clock = clock or clock_lib.SystemClock()
        self._cond = threading.Condition()
        self._items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1
        self.revision = 1
        self.calls = {}
        self.down = False
        self.lose_next_reply = False

    def get(self, key):
        with self._cond:
            self._enter('get')
            return self._items.get(key)

    def range(self, prefix):
        with self._cond:
            self._enter('range')
            items = tuple(
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(prefix)
            )
            return base.RangeResult(items=items, revision=self.revision)

    def txn(self, compares, puts=(), deletes=()):
        with self._cond:
            self._enter('txn')
            succeeded = all(self._holds(item) for item in compares)
            if succeeded and (puts or deletes):
                self._write(puts, deletes)
            if self.lose_next_reply:
                self.lose_next_reply = False
                raise errors.WriteUncertain(detail='injected')
            return base.TxnResult(succeeded, self.revision)

    def grant_lease(self, ttl_ms):
        with self._cond:
            self._enter('grant_lease')
            lease_id = self._next_lease
            self._next_lease += 1
            self._leases[lease_id] = (ttl_ms, self._clock.now_ms() + ttl_ms)
            return lease_id

    def keep_alive(self, lease_id):
        with self._cond:
            self._enter('keep_alive')
            if lease_id not in self._leases:
                return 0
            ttl_ms = self._leases[lease_id][0]
            self._leases[lease_id] = (ttl_ms, self._clock.now_ms() + ttl_ms)
            return ttl_ms

    def revoke(self, lease_id):
        with self._cond:
            self._enter('revoke')
            self._end_lease(lease_id)

    def watch(self, prefix, start_revision, stop):
        next_revision = start_revision
        with self._cond:
            self._enter('watch')
        while not stop.is_set():
            items, next_revision = self.changes_since(
                prefix, next_revision, 1000
            )
            yield from items
            yield None

    def changes_since(self, prefix, start_revision, wait_ms):
        """Wait for changes below a prefix.

        Args:
            prefix: common start of the keys.
            start_revision: first revision of interest.
            wait_ms: longest wait in milliseconds.

        Returns:
            The KeyValue items, oldest first, and the next start revision.

        Raises:
            StoreUnavailable: the store is down.
        """
        with self._cond:
            changed = self._cond.wait_for(
                lambda: self.down or self.revision >= start_revision,
                wait_ms / 1000,
            )
            if self.down:
                raise errors.StoreUnavailable(detail='injected outage')
            if not changed:
                return [], start_revision
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

    def dump(self):
        """Return the state, for a later restore()."""
        with self._cond:
            return dict(self._items), self.revision

    def restore(self, state):
        """Return to an older state, as a store from a backup would."""
        with self._cond:
            self._items, self.revision = dict(state[0]), state[1]
            self._history = []
            self._cond.notify_all()

    def expire_leases(self):
        """End the leases whose time has passed."""
        with self._cond:
            self._expire()

    def _enter(self, call):
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.down:
            raise errors.StoreUnavailable(detail='injected outage')
        self._expire()

    def _expire(self):
        now_ms = self._clock.now_ms()
        for lease_id, (_, end_ms) in list(self._leases.items()):
            if end_ms <= now_ms:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        self._leases.pop(lease_id, None)
        keys = [k for k, v in self._items.items() if v.lease == lease_id]
        if keys and lease_id:
            self._write((), keys)

    def _holds(self, compare):
        item = self._items.get(compare.key)
        current = getattr(item, compare.field) if item else 0
        return current == compare.value

    def _write(self, puts, deletes):
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
            if self._items.pop(key, None) is None:
                continue
            self._history.append(
                base.KeyValue(key, b'', self.revision, deleted=True)
            )
        del self._history[:-HISTORY_LENGTH]
        self._cond.notify_all()

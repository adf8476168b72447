"""Campaign of an entry for the leadership."""

import random
import threading

import msgspec

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.leadership import term as terms
from figtray.store import base
from figtray.store import prefix_watcher

# A longer wait costs fewer calls; a change of the key ends it at once.
WATCH_WAIT_MS = 4000
RETRY_MS = 300
# The wait for a stop ends at once when it comes, and looks at the end of the
# term this often.
STOP_POLL_MS = 2000
# Spreads the campaigns of entries that see the key vanish together.
JITTER_MS = 120


class LeaderElector:
    """Wins, keeps and hands over the leadership.

    Args:
        store: the Store.
        clock: the Clock.
        record: the LeaderRecord of this process.
        lead: called with (term) in this thread while this process leads; it
            returns soon after the event `term.ended` is set.
        preference_ms: wait before a campaign; smaller on larger hosts.
    """

    def __init__(self, store, clock, record, lead, preference_ms=0):
        self._store = store
        self._clock = clock
        self._record = record
        self._lead = lead
        self._preference_ms = preference_ms
        self._vacant = threading.Event()
        self._last_leader = ''
        self._watcher = prefix_watcher.PrefixWatcher(
            store,
            terms.LEADER_KEY,
            clock,
            self._reset,
            self._change,
            wait_ms=WATCH_WAIT_MS,
        )

    def run(self, stop):
        """Campaign until a threading.Event is set."""
        watcher = threading.Thread(
            target=self._watcher.run,
            args=(stop,),
            name='leader watch',
            daemon=True,
        )
        watcher.start()
        while not stop.is_set():
            if not self._vacant.wait(RETRY_MS / 1000):
                continue
            if stop.is_set():
                return
            wait_ms = self._preference_ms + random.random() * JITTER_MS
            self._clock.wait(stop, wait_ms)
            if not self._vacant.is_set() or stop.is_set():
                continue
            term = self._try_to_win()
            if term is None:
                self._clock.wait(stop, RETRY_MS)
                continue
            self._serve(term, stop)

    def _reset(self, items):
        item = next((i for i in items if i.key == terms.LEADER_KEY), None)
        self._set(item)

    def _change(self, item):
        if item.key == terms.LEADER_KEY:
            self._set(None if item.deleted else item)

    def _set(self, item):
        if item is None:
            self._vacant.set()
            return
        self._vacant.clear()
        record = _read(item)
        node = record.node if record else 'unknown'
        if node != self._last_leader:
            self._last_leader = node
            log.emit(
                catalogue.LEADER_SEEN, leader=node, epoch=item.mod_revision
            )
        if self._is_former_self(record):
            self._end_former(item)

    def _is_former_self(self, record):
        """Tell whether a record was written by an earlier run of this node.

        A node runs one process, so the earlier one is gone.
        """
        return (
            record is not None
            and record.node == self._record.node
            and record.address == self._record.address
            and record.incarnation != self._record.incarnation
        )

    def _end_former(self, item):
        log.emit(catalogue.FORMER_LEASE_ENDED, epoch=item.mod_revision)
        try:
            self._store.revoke(item.lease)
        except errors.StoreUnavailable as exc:
            log.emit(
                catalogue.LEASE_CALL_FAILED, call='revoke', detail=str(exc)
            )

    def _try_to_win(self):
        asked_ms = self._clock.now_ms()
        try:
            lease_id = self._store.grant_lease(terms.LEASE_TTL_MS)
        except errors.StoreUnavailable as exc:
            log.emit(
                catalogue.LEASE_CALL_FAILED, call='grant', detail=str(exc)
            )
            return None
        compare = base.Compare(terms.LEADER_KEY, 'mod_revision', 0)
        put = base.Put(
            terms.LEADER_KEY, msgspec.json.encode(self._record), lease_id
        )
        try:
            result = self._store.txn([compare], [put])
            epoch = result.revision if result.succeeded else 0
        except errors.WriteUncertain as exc:
            log.emit(catalogue.LEASE_CALL_FAILED, call='win', detail=str(exc))
            epoch = self._own_epoch(lease_id)
        except errors.StoreUnavailable as exc:
            log.emit(catalogue.LEASE_CALL_FAILED, call='win', detail=str(exc))
            epoch = 0
        if not epoch:
            self._give_up(lease_id)
            return None
        return terms.Term(epoch, lease_id, self._clock, asked_ms)

    def _own_epoch(self, lease_id):
        """Return the epoch if a win without a reply took effect, or 0."""
        try:
            item = self._store.get(terms.LEADER_KEY)
        except errors.StoreUnavailable:
            return 0
        if item is not None and item.lease == lease_id:
            return item.mod_revision
        return 0

    def _give_up(self, lease_id):
        # Ends the lease, so that a win that is executed late fails.
        try:
            self._store.revoke(lease_id)
        except errors.StoreUnavailable as exc:
            log.emit(
                catalogue.LEASE_CALL_FAILED, call='revoke', detail=str(exc)
            )

    def _resign(self, term):
        """Remove the key, which the end of a lease may do only later."""
        compare = base.Compare(terms.LEADER_KEY, 'mod_revision', term.epoch)
        try:
            self._store.txn([compare], (), [terms.LEADER_KEY])
        except (errors.StoreUnavailable, errors.WriteUncertain) as exc:
            log.emit(
                catalogue.LEASE_CALL_FAILED, call='resign', detail=str(exc)
            )

    def _serve(self, term, stop):
        log.emit(catalogue.LEADER_WON, epoch=term.epoch)
        self._vacant.clear()
        for target, name in (
            (lambda: self._renew(term), 'renewal'),
            (lambda: self._end_at_stop(term, stop), 'hand-over'),
        ):
            threading.Thread(target=target, name=name, daemon=True).start()
        try:
            self._lead(term)
        except Exception as exc:
            log.emit_exception('leading', exc)
            term.end(f'{type(exc).__name__}: {exc}')
        finally:
            term.end('the work of the leader ended')
            log.emit(
                catalogue.LEADER_ENDED, epoch=term.epoch, reason=term.reason
            )
            self._resign(term)
            self._give_up(term.lease_id)

    def _end_at_stop(self, term, stop):
        """End the term as soon as the process is told to stop."""
        while not term.ended.is_set():
            if stop.wait(STOP_POLL_MS / 1000):
                term.end('this process stops')

    def _renew(self, term):
        while not self._clock.wait(term.ended, terms.RENEW_INTERVAL_MS):
            asked_ms = self._clock.now_ms()
            try:
                ttl_ms = self._store.keep_alive(term.lease_id)
            except errors.StoreUnavailable as exc:
                log.emit(
                    catalogue.LEASE_CALL_FAILED, call='renew', detail=str(exc)
                )
                continue
            if not ttl_ms:
                term.end('the lease has ended')
                return
            term.record_renewal(asked_ms, min(ttl_ms, terms.LEASE_TTL_MS))


def _read(item):
    try:
        return terms.decode(item.value)
    except msgspec.MsgspecError as exc:
        log.emit(catalogue.RECORD_UNREADABLE, record=item.key, detail=str(exc))
        return None

"""Election of the leader by a key that is bound to a lease."""

import random
import threading

import msgspec

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.events import unreadable
from figtray.leadership import term as terms
from figtray import release
from figtray.store import base
from figtray.store import prefix_watcher
from figtray import threads

# Longest wait of one watch call. The record of leases ends it each second
# while there is a leader, so a longer wait would save no calls, and a call
# that hangs in an outage hides its end.
WATCH_WAIT_MS = 2500
RETRY_MS = 300
# Interval at which the wait for a stop checks whether the term has ended. A
# stop ends the wait at once.
STOP_POLL_MS = 2000
# Spreads the attempts of nodes that see the key disappear at the same time.
MAX_JITTER_MS = 120
# Records of leases whose times are kept. Those before them are older than any
# lease that may last.
MAX_LEASES_SEEN = 20


class LeaderElector:
    """Acquires, renews and releases the leadership.

    Args:
        store: the Store.
        clock: the Clock.
        record: the LeaderRecord of this process.
        lead: called with (term) in the thread of run() while this process
            leads; it returns soon after the event `term.ended` is set.
        acquire_delay_ms: wait before an attempt to become the leader; shorter
            on larger hosts, which are preferred.
    """

    def __init__(self, store, clock, record, lead, acquire_delay_ms=0):
        self._store = store
        self._clock = clock
        self._record = record
        self._lead = lead
        self._acquire_delay_ms = acquire_delay_ms
        self._vacant = threading.Event()
        # Local time since which the key is vacant, as far as it was seen.
        self._vacant_ms = clock.now_ms()
        self._last_leader = ''
        # The latest LeasesSeen, the oldest first.
        self._leases_seen = ()
        self._unreadable = unreadable.UnreadableLog(clock)
        self._watcher = prefix_watcher.PrefixWatcher(
            store,
            terms.LEADER_KEY,
            clock,
            self._reset_leader,
            self._apply_change,
            wait_ms=WATCH_WAIT_MS,
        )

    def run(self, stop):
        """Take part in elections until a threading.Event is set."""
        threads.spawn(
            lambda: self._watcher.run(stop), 'leader watch', stop, self._clock
        )
        threads.run_guarded(
            lambda: self._campaign(stop), 'campaign', stop, self._clock
        )

    def _campaign(self, stop):
        while not stop.is_set():
            if not self._vacant.wait(RETRY_MS / 1000):
                continue
            if stop.is_set():
                return
            wait_ms = self._acquire_delay_ms + random.random() * MAX_JITTER_MS
            self._clock.wait(stop, wait_ms)
            if not self._vacant.is_set() or stop.is_set():
                continue
            term = self._try_acquire()
            if term is None:
                self._clock.wait(stop, RETRY_MS)
                continue
            self._run_term(term, stop)

    def _reset_leader(self, items):
        item = next((i for i in items if i.key == terms.LEADER_KEY), None)
        self._update_leader(item)
        for item in items:
            if item.key == terms.LEASES_KEY:
                self._note_leases(item)

    def _apply_change(self, item):
        if item.key == terms.LEADER_KEY:
            self._update_leader(None if item.deleted else item)
        elif item.key == terms.LEASES_KEY:
            self._note_leases(item)

    def _note_leases(self, item):
        """Record when this node first saw this record of leases."""
        seen = self._leases_seen
        if seen and seen[-1].revision >= item.mod_revision:
            return
        newest = terms.LeasesSeen(item.mod_revision, self._clock.now_ms())
        self._leases_seen = (*seen, newest)[-MAX_LEASES_SEEN:]

    def _update_leader(self, item):
        if item is None:
            if not self._vacant.is_set():
                self._vacant_ms = self._clock.now_ms()
                log.emit(
                    catalogue.LEADER_VACANT,
                    leader=self._last_leader,
                    unconfirmed_ms=self._watcher.staleness_ms(),
                )
            self._vacant.set()
            return
        self._vacant.clear()
        record = self._unreadable.read(item.key, terms.decode, item.value)
        node = record.node if record else 'unknown'
        if node != self._last_leader:
            self._last_leader = node
            log.emit(
                catalogue.LEADER_SEEN, leader=node, epoch=item.mod_revision
            )
        if self._is_former_incarnation(record):
            self._revoke_former_lease(item)

    def _is_former_incarnation(self, record):
        """Return whether an earlier incarnation of this node wrote a record.

        A node runs one process at a time, so the earlier one has ended.
        """
        return (
            record is not None
            and record.node == self._record.node
            and record.address == self._record.address
            and record.incarnation != self._record.incarnation
        )

    def _revoke_former_lease(self, item):
        log.emit(catalogue.FORMER_LEASE_ENDED, epoch=item.mod_revision)
        try:
            self._store.revoke(item.lease)
        except errors.StoreUnavailable as exc:
            log.emit(
                catalogue.LEASE_CALL_FAILED, call='revoke', detail=str(exc)
            )

    def _try_acquire(self):
        """Return the Term if this node has become the leader, else None."""
        requested_ms = self._clock.now_ms()
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
            epoch = self._read_own_epoch(lease_id)
        except errors.StoreUnavailable as exc:
            log.emit(catalogue.LEASE_CALL_FAILED, call='win', detail=str(exc))
            epoch = 0
        if not epoch:
            self._revoke_lease(lease_id)
            return None
        return terms.Term(
            epoch, lease_id, self._clock, requested_ms, self._leases_seen
        )

    def _read_own_epoch(self, lease_id):
        """Return the epoch if the write without a reply took effect, or 0."""
        try:
            item = self._store.get(terms.LEADER_KEY)
        except errors.StoreUnavailable:
            return 0
        if item is not None and item.lease == lease_id:
            return item.mod_revision
        return 0

    def _revoke_lease(self, lease_id):
        # Without its lease, a write of the key that is executed late fails.
        try:
            self._store.revoke(lease_id)
        except errors.StoreUnavailable as exc:
            log.emit(
                catalogue.LEASE_CALL_FAILED, call='revoke', detail=str(exc)
            )

    def _resign(self, term):
        """Delete the key at once, not only when its lease ends."""
        compare = base.Compare(terms.LEADER_KEY, 'mod_revision', term.epoch)
        try:
            self._store.txn([compare], (), [terms.LEADER_KEY])
        except (errors.StoreUnavailable, errors.WriteUncertain) as exc:
            log.emit(
                catalogue.LEASE_CALL_FAILED, call='resign', detail=str(exc)
            )

    def _run_term(self, term, stop):
        """Lead for a term, and give the lease back at its end."""
        log.emit(
            catalogue.LEADER_WON,
            epoch=term.epoch,
            vacant_ms=self._clock.now_ms() - self._vacant_ms,
            sources=release.sources_digest(),
        )
        for target, name in (
            (lambda: self._renew_lease(term), 'renewal'),
            (lambda: self._end_term_at_stop(term, stop), 'hand-over'),
        ):
            threads.spawn(target, name, term.ended, self._clock)
        try:
            self._lead(term)
        except Exception as exc:
            log.emit_exception('leading', exc)
            term.end(f'{type(exc).__name__}: {exc}')
        finally:
            term.end('lead() returned before the end of the term')
            log.emit(
                catalogue.LEADER_ENDED, epoch=term.epoch, reason=term.reason
            )
            self._resign(term)
            self._revoke_lease(term.lease_id)

    def _end_term_at_stop(self, term, stop):
        """End the term at a stop of the process; return when it has ended."""
        while not term.ended.is_set():
            if stop.wait(STOP_POLL_MS / 1000):
                term.end('this process is stopping')

    def _renew_lease(self, term):
        """Renew the lease every RENEW_INTERVAL_MS until the term ends."""
        while not self._clock.wait(term.ended, terms.RENEW_INTERVAL_MS):
            requested_ms = self._clock.now_ms()
            try:
                ttl_ms = self._store.keep_alive(term.lease_id)
            except errors.StoreUnavailable as exc:
                log.emit(
                    catalogue.LEASE_CALL_FAILED, call='renew', detail=str(exc)
                )
                continue
            if not ttl_ms:
                term.end('the lease has expired or was revoked')
                return
            term.record_renewal(requested_ms, min(ttl_ms, terms.LEASE_TTL_MS))

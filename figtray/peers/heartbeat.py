"""Heartbeats of an entry to each peer, and synchronisation at the start."""

import threading

from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer
from figtray import errors
from figtray.peers import messages
from figtray.peers import serving

CALL_TIMEOUT_MS = 800
FETCH_TIMEOUT_MS = 2_000
# Former runs of a slot that are remembered.
KNOWN_RUNS = 8


class Synchroniser:
    """Decides when a started entry holds the accepted configuration."""

    def __init__(self, slots, replica, right, clock):
        # This entry does not count: it may itself have confirmed a change
        # before it was restarted, and the others that did so are one less
        # than a majority.
        self._needed = min(writer.majority(len(slots)), len(slots) - 1)
        self._replica = replica
        self._right = right
        self._clock = clock
        self._contacts = {}
        self._store_read = False
        self._lock = threading.Lock()

    def heard(self, slot, reply, sent_ms):
        """Record the state of another slot."""
        with self._lock:
            self._contacts[slot] = (reply, sent_ms)
        self.check()

    def store_read(self):
        """Record that the replica has taken over the store's state."""
        self._store_read = True
        self.check()

    def check(self):
        """Mark the entry as synchronised if a rule allows it."""
        if self._right.synchronised:
            return
        oldest_ms = self._clock.now_ms() - serving.FRESHNESS_MS
        with self._lock:
            recent = [
                reply
                for reply, sent_ms in self._contacts.values()
                if sent_ms >= oldest_ms
            ]
        generation = self._replica.snapshot.generation
        full = [reply for reply in recent if reply.synchronised]
        by_peers = len(full) >= max(1, self._needed) and all(
            reply.mark.generation <= generation for reply in full
        )
        by_store = (
            self._store_read
            and len(recent) >= self._needed
            and all(reply.mark.generation <= generation for reply in recent)
        )
        if by_peers or by_store:
            self._right.set_synchronised()


class HeartbeatTask:
    """Heartbeats to one peer, one call after another."""

    def __init__(
        self,
        link,
        replica,
        right,
        synchroniser,
        register,
        describe,
        clock,
        listener,
    ):
        """Set up.

        Args:
            link: Link to the peer.
            replica: configuration Replica of this entry.
            right: ServingRight of this entry.
            synchroniser: Synchroniser of this entry.
            register: PeerRegister of this entry.
            describe: function that returns the Heartbeat to send.
            clock: a Clock.
            listener: object with the methods fenced(epoch), superseded(),
                diverged(slot, mark), peer_lost(slot, exc) and
                peer_back(slot).
        """
        self._link = link
        self._replica = replica
        self._right = right
        self._synchroniser = synchroniser
        self._register = register
        self._describe = describe
        self._clock = clock
        self._listener = listener
        self._reachable = True
        self._wake = threading.Event()

    def wake(self):
        """Send the next heartbeat at once."""
        self._wake.set()

    def run(self, stop, interval_ms):
        """Send heartbeats until the process stops.

        Args:
            stop: threading.Event.
            interval_ms: time between heartbeats in milliseconds.
        """
        while not stop.is_set():
            started_ms = self._clock.now_ms()
            self.beat()
            left_ms = interval_ms - (self._clock.now_ms() - started_ms)
            self._clock.wait(self._wake, left_ms)
            self._wake.clear()

    def beat(self):
        """Send one heartbeat and act on the reply."""
        sent_ms = self._clock.now_ms()
        try:
            message = self._describe()
            reply = self._link.call(message, CALL_TIMEOUT_MS)
            self._handle(reply, message.epoch, sent_ms)
        except (errors.PeerUnavailable, errors.CodecError) as exc:
            if self._reachable:
                self._reachable = False
                self._listener.peer_lost(self._link.peer, exc)
            return
        if not self._reachable:
            self._reachable = True
            self._listener.peer_back(self._link.peer)

    def _handle(self, reply, epoch, sent_ms):
        if reply.superseded:
            self._listener.superseded()
            return
        self._register.raise_floor(reply.floor)
        if 0 < epoch < reply.floor:
            self._listener.fenced(reply.floor)
            return
        slot = self._link.peer
        if reply.mark.generation > self._replica.snapshot.generation:
            self._catch_up()
        current = self._replica.snapshot
        if current.contains(reply.mark) is False:
            if reply.mark.generation <= current.generation:
                self._listener.diverged(slot, reply.mark)
            return
        self._synchroniser.heard(slot, reply, sent_ms)
        if reply.synchronised:
            self._right.confirm(slot, sent_ms, epoch)

    def _catch_up(self):
        """Fetch the changes that this replica lacks from the peer."""
        after = self._replica.snapshot.generation
        reply = self._link.call(messages.FetchChanges(after), FETCH_TIMEOUT_MS)
        if reply.snapshot is not None:
            self._replica.adopt(snapshot_lib.from_data(reply.snapshot))
            return
        for change in reply.changes:
            outcome = self._replica.apply(change)
            if outcome in (
                replica_lib.Outcome.GAP,
                replica_lib.Outcome.DIVERGED,
            ):
                return


def answer_fetch(replica, after):
    """Build the reply to FetchChanges.

    Args:
        replica: the Replica.
        after: newest generation that the asker holds.

    Returns:
        A messages.ChangesReply.
    """
    changes = replica.changes_after(after)
    if changes is None:
        return messages.ChangesReply(
            snapshot=snapshot_lib.to_data(replica.snapshot)
        )
    return messages.ChangesReply(changes=changes)


class PeerRegister:
    """What this entry knows of the processes behind the other slots."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._runs = {}
        self._retired = set()
        self._former = {}
        self._floor = 0
        self._last = {}

    @property
    def floor(self):
        """Epoch below which all allotments are void."""
        return self._floor

    def raise_floor(self, floor):
        """Learn of a floor; it never goes down."""
        with self._lock:
            self._floor = max(self._floor, floor)

    def heard(self, slot, run_id, heartbeat):
        """Record a heartbeat and decide whether it may be confirmed.

        A slot has one process at a time: a new run retires the former one,
        which may be paused and come back.

        Returns:
            True if the sender was replaced by a newer run.
        """
        with self._lock:
            if run_id in self._retired:
                return True
            former = self._runs.get(slot)
            if former not in (None, run_id):
                self._retired.add(former)
                former_runs = self._former.setdefault(slot, [])
                former_runs.append(former)
                del former_runs[:-KNOWN_RUNS]
            self._runs[slot] = run_id
            self._last[slot] = (heartbeat, self._clock.now_ms())
            return False

    def run_of(self, slot):
        """Return the run id of a slot's process, '' if it is unknown."""
        with self._lock:
            return self._runs.get(slot, '')

    def runs_before(self, slot, run_id):
        """Return the known runs of a slot other than one."""
        with self._lock:
            runs = [*self._former.get(slot, ()), self._runs.get(slot)]
        return tuple(run for run in runs if run not in (None, run_id))

    def silent_ms(self, slot):
        """Return the time since a slot was heard, None if it never was."""
        now_ms = self._clock.now_ms()
        with self._lock:
            if slot not in self._last:
                return None
            return now_ms - self._last[slot][1]

    def peers(self):
        """Return the last Heartbeat and its age in ms by slot."""
        now_ms = self._clock.now_ms()
        with self._lock:
            return {
                slot: (heartbeat, now_ms - heard_ms)
                for slot, (heartbeat, heard_ms) in self._last.items()
            }

"""Calls from the API or the controller to all entries at once."""

import collections
import concurrent.futures
import threading

from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer
from figtray import errors
from figtray.limits import recount
from figtray.peers import link as link_lib
from figtray.peers import messages

# Calls to one slot at a time, of those that wait for a majority only. The
# second one waits for the link while the first one times out.
MAX_PENDING = 2


class PeerGroup(writer.EntryGroup, recount.EntryCalls):
    """The entries, each behind a link of its own."""

    def __init__(self, addresses, sender, run_id, timeout_ms):
        """Set up.

        Args:
            addresses: mapping of slot to peer address.
            sender: name of this process.
            run_id: id of this run of the process.
            timeout_ms: longest wait for the entries in milliseconds.
        """
        self.slots = tuple(addresses)
        self._timeout_ms = timeout_ms
        self._links = {
            slot: link_lib.Link(slot, address, sender, run_id)
            for slot, address in addresses.items()
        }
        self._pending = collections.Counter()
        self._pending_lock = threading.Lock()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            (MAX_PENDING + 1) * len(addresses),
            thread_name_prefix='peer-group',
        )

    def status(self):
        """Return the StatusReply of each slot that answered."""
        return dict(self._call_all(messages.StatusRequest()))

    def marks(self):
        replies = self._call_majority(
            messages.StatusRequest(brief=True),
            lambda reply: reply.synchronised,
        )
        return {
            slot: reply.mark for slot, reply in replies if reply.synchronised
        }

    def fetch(self, slot):
        reply = self._links[slot].call(
            messages.FetchSnapshot(), self._timeout_ms
        )
        return snapshot_lib.from_data(reply.snapshot)

    def changes(self, slot, generation):
        try:
            reply = self._links[slot].call(
                messages.FetchChanges(generation), self._timeout_ms
            )
        except errors.PeerUnavailable:
            return None
        return reply.changes if reply.snapshot is None else None

    def push(self, change):
        replies = self._call_majority(
            messages.ChangePush(change), lambda reply: reply.holds
        )
        return {slot for slot, reply in replies if reply.holds}

    def push_to(self, slot, changes):
        """Send missed changes to one slot.

        Returns:
            True if the slot holds all of them now.

        Raises:
            PeerUnavailable: the slot did not answer.
        """
        return all(
            self._links[slot]
            .call(messages.ChangePush(change), self._timeout_ms)
            .holds
            for change in changes
        )

    def join(self, epoch, floor):
        return dict(self._call_all(messages.EpochJoin(epoch, floor)))

    def fence(self, floor):
        return {
            slot
            for slot, reply in self._call_all(messages.Fence(floor))
            if reply.done
        }

    def grant(self, slot, grant):
        try:
            return self._links[slot].call(grant, self._timeout_ms).done
        except errors.PeerUnavailable:
            # A lost grant is found missing by the next recount.
            return False

    def close(self):
        """Close all links."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        for link in self._links.values():
            link.close()

    def _call_all(self, message):
        def call(slot):
            return self._links[slot].call(message, self._timeout_ms)

        return writer.in_parallel(
            self._executor, call, self.slots, self._timeout_ms
        )

    def _call_majority(self, message, counts):
        """Call all slots, but wait only briefly after a majority."""

        def call(slot):
            try:
                return self._links[slot].call(message, self._timeout_ms)
            finally:
                self._count(slot, -1)

        slots = [slot for slot in self.slots if self._count(slot, 1)]
        return writer.in_parallel(
            self._executor,
            call,
            slots,
            self._timeout_ms,
            enough=writer.majority(len(self.slots)),
            counts=counts,
        )

    def _count(self, slot, change):
        """Count a call that begins or ends.

        Returns:
            False if the slot has too many calls already; a frozen entry
            must not use up the threads.
        """
        with self._pending_lock:
            if change > 0 and self._pending[slot] >= MAX_PENDING:
                return False
            self._pending[slot] += change
            return True

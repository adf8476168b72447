"""Calls from the API or the controller to all entries at once."""

import concurrent.futures

from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer
from figtray import errors
from figtray.limits import recount
from figtray.peers import link as link_lib
from figtray.peers import messages


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
        # Two calls for each slot: a frozen entry must not delay the calls
        # of the next round to the others.
        self._executor = concurrent.futures.ThreadPoolExecutor(
            2 * len(addresses), thread_name_prefix='peer-group'
        )

    def status(self):
        """Return the StatusReply of each slot that answered."""
        return dict(self._call_all(messages.StatusRequest()))

    def marks(self):
        return {
            slot: reply.mark
            for slot, reply in self._call_all(messages.StatusRequest())
            if reply.synchronised
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
        return {
            slot
            for slot, reply in self._call_all(messages.ChangePush(change))
            if reply.holds
        }

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

"""Memory of the hosts in use; the smallest of them may lead next."""

import random

import msgspec

from figtray import decoding
from figtray import errors
from figtray.events import unreadable
from figtray.jobs import room
from figtray.store import base

PREFIX = 'host-memory/'
# A node that ends without a word is in use for so long.
LEASE_TTL_MS = 600_000
RENEW_INTERVAL_MS = 240_000
RETRY_MS = 5000
# Nodes that start together don't announce their hosts together.
MAX_DELAY_MS = 2000
# All nodes that run have announced their hosts after so long, if the store
# answers; until then a leader counts the smallest one that is supported.
KNOWN_AFTER_MS = 5000


class HostMemory(msgspec.Struct, frozen=True):
    """Record of a node.

    Attributes:
        memory_mb: memory of its host in MB; 0 = not known.
    """

    memory_mb: int


_decoder = msgspec.json.Decoder(HostMemory)


class Announcer:
    """Keeps the record of a node in the store while it runs.

    Args:
        store: the Store.
        clock: the Clock.
        node: name of the node.
        memory_mb: memory of its host in MB; 0 = not known.
    """

    def __init__(self, store, clock, node, memory_mb):
        self._store = store
        self._clock = clock
        self._key = PREFIX + node
        self._value = msgspec.json.encode(HostMemory(memory_mb))
        self._lease = 0

    def run(self, stop):
        """Write the record, then renew its lease until an Event is set."""
        wait_ms = random.random() * MAX_DELAY_MS
        while not self._clock.wait(stop, wait_ms):
            wait_ms = RENEW_INTERVAL_MS
            if not self.announce():
                wait_ms = RETRY_MS * (0.5 + random.random())
        if self._lease:
            self._end()

    def announce(self):
        """Write the record, or renew it; return whether that succeeded."""
        try:
            if not self._lease or not self._store.keep_alive(self._lease):
                self._lease = self._store.grant_lease(LEASE_TTL_MS)
                put = base.Put(self._key, self._value, self._lease)
                self._store.txn((), [put])
        except errors.LeaseLost:
            self._lease = 0
            return False
        except errors.FigtrayError:
            return False
        return True

    def _end(self):
        try:
            self._store.revoke(self._lease)
        except errors.FigtrayError:
            # It ends by itself.
            pass


def smallest_room(store, clock, own_mb):
    """Return the room.Room of the smallest host in use.

    Args:
        store: the Store.
        clock: the Clock.
        own_mb: memory of the host of the caller.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    log = unreadable.UnreadableLog(clock)
    found = (
        log.read(item.key, _decode, item.value)
        for item in store.range(PREFIX).items
    )
    sizes = [record.memory_mb for record in found if record is not None]
    return min(
        (room.of_host(memory_mb) for memory_mb in [own_mb, *sizes]),
        key=lambda host_room: host_room.job_bytes,
    )


def _decode(data):
    return decoding.decode('host memory', _decoder, data)

"""Term of a leader and the time until which it may give orders."""

import dataclasses
import threading

import msgspec

from figtray import decoding

LEADER_KEY = 'leader'
# Written by the leader while it extends leases; see scheduling.lease_horizon.
LEASES_KEY = 'leader-leases'
LEASE_TTL_MS = 2000
RENEW_INTERVAL_MS = 500
# The store may end a lease this much before its TTL ends by the local clock.
EXPIRY_MARGIN_MS = 300


class LeaderRecord(msgspec.Struct, frozen=True):
    """Stored under LEADER_KEY by the leader, bound to its lease.

    Attributes:
        node: name of the node.
        incarnation: id of the incarnation of the node's process.
        address: `host:port` that callers of this node use.
    """

    node: str
    incarnation: str
    address: str = ''


_decoder = msgspec.json.Decoder(LeaderRecord)


def decode(data):
    """Return the LeaderRecord of stored bytes.

    Raises:
        UnreadableMessage: the bytes are no such record.
    """
    return decoding.decode('leader', _decoder, data)


@dataclasses.dataclass(frozen=True)
class LeasesSeen:
    """A record under LEASES_KEY that this node has seen.

    Attributes:
        revision: revision of the record.
        at_ms: local time at which it was seen, after it was written.
    """

    revision: int
    at_ms: int


class Term:
    """Right to schedule, from the election to the loss of the lease.

    Args:
        epoch: number of the term, higher than those of all earlier terms.
        lease_id: id of the lease in the store.
        clock: the Clock.
        requested_ms: local time, read before the lease was requested.
        leases_seen: the latest LeasesSeen of this node, the oldest first.

    Attributes:
        ended: threading.Event that is set when the term ends.
        reason: why the term has ended; empty before.
        began_ms: local time at which the term began.
        on_end: called without arguments when the term has ended.
    """

    def __init__(self, epoch, lease_id, clock, requested_ms, leases_seen=()):
        self.epoch = epoch
        self.lease_id = lease_id
        self.leases_seen = tuple(leases_seen)
        self.ended = threading.Event()
        self.on_end = lambda: None
        self.reason = ''
        self.began_ms = clock.now_ms()
        self._clock = clock
        self._valid_until_ms = requested_ms + LEASE_TTL_MS - EXPIRY_MARGIN_MS

    def valid(self):
        """Return whether no other node can be the leader now."""
        return (
            not self.ended.is_set()
            and self._clock.now_ms() < self._valid_until_ms
        )

    @property
    def valid_until_ms(self):
        """Local time from which on another node may be the leader."""
        return self._valid_until_ms

    def record_renewal(self, requested_ms, ttl_ms):
        """Extend the validity of the term after a renewal of its lease.

        Args:
            requested_ms: local time, read before the renewal was requested.
            ttl_ms: TTL that the store has granted.
        """
        self._valid_until_ms = max(
            self._valid_until_ms, requested_ms + ttl_ms - EXPIRY_MARGIN_MS
        )

    def end(self, reason):
        """End the term; the first reason is kept."""
        if not self.ended.is_set():
            self.reason = reason
            self.ended.set()
            self.on_end()

"""One term of a leader and the time until which it may give orders."""

import threading

import msgspec

LEADER_KEY = 'leader'
LEASE_TTL_MS = 2000
RENEW_INTERVAL_MS = 500
# The store may end a lease this much before its time on our clock.
MARGIN_MS = 300


class LeaderRecord(msgspec.Struct, frozen=True):
    """Stored under LEADER_KEY by the leader, bound to its lease.

    Attributes:
        node: name of the entry host.
        incarnation: id of the process's run.
        address: `host:port` that callers of this node use.
    """

    node: str
    incarnation: str
    address: str = ''


def decode(data):
    """Return the LeaderRecord of stored bytes.

    Raises:
        msgspec.MsgspecError: the bytes are no such record.
    """
    return msgspec.json.decode(data, type=LeaderRecord)


class Term:
    """Right to schedule, from winning the key until its lease is gone.

    Args:
        epoch: number of the term, above those of all earlier terms.
        lease_id: the store lease.
        clock: the Clock.
        granted_ms: local time before the lease was last renewed.
    """

    def __init__(self, epoch, lease_id, clock, granted_ms):
        self.epoch = epoch
        self.lease_id = lease_id
        self.ended = threading.Event()
        self.reason = ''
        self.began_ms = clock.now_ms()
        self._clock = clock
        self._valid_until_ms = granted_ms + LEASE_TTL_MS - MARGIN_MS

    def valid(self):
        """Tell whether no other leader can exist now."""
        return (
            not self.ended.is_set()
            and self._clock.now_ms() < self._valid_until_ms
        )

    def record_renewal(self, asked_ms, ttl_ms):
        """Note a renewal that was asked for at a local time."""
        self._valid_until_ms = max(
            self._valid_until_ms, asked_ms + ttl_ms - MARGIN_MS
        )

    def end(self, reason):
        """End the term; the first reason is kept."""
        if not self.ended.is_set():
            self.reason = reason
            self.ended.set()

"""Stored record of the hosts that a leader has given orders for."""

import msgspec

from figtray import decoding
from figtray.events import catalogue
from figtray.events import log

ORDERS_KEY = 'host-orders'
# Longest wait for the record of an order; an order without one is not sent.
RECORD_TIMEOUT_MS = 500
# A host stays in the record for lease_ms and this margin after its last order.
RETENTION_MARGIN_MS = 1000


class HostOrdersRecord(msgspec.Struct, frozen=True):
    """Stored ids of the hosts with recent orders."""

    host_ids: tuple[str, ...] = ()


_decoder = msgspec.json.Decoder(HostOrdersRecord)


def decode(data):
    """Return the HostOrdersRecord of stored bytes.

    Raises:
        UnreadableMessage: the bytes are no such record.
    """
    return decoding.decode('host orders', _decoder, data)


class HostOrders:
    """Keeps the orders of two leaders for one host `lease_ms` apart.

    The platform doesn't check the epoch of an order for a host. A leader
    therefore records a host before it sends an order for it. The next leader
    may give orders for unrecorded hosts at once, and for recorded ones once
    `lease_ms` have passed since the start of its own term.

    Args:
        writer: the Writer.
        term: the Term.
        clock: the Clock.
        lease_ms: least time between orders of two leaders for one host.
        former_host_ids: ids of the hosts that earlier leaders recorded; None
            if they are unknown, so that orders for all hosts wait.
    """

    def __init__(self, writer, term, clock, lease_ms, former_host_ids=()):
        self._writer = writer
        self._term = term
        self._clock = clock
        self._lease_ms = lease_ms
        self._former_expiry_ms = term.began_ms + lease_ms
        self._are_formers_known = former_host_ids is not None
        self._former_host_ids = frozenset(former_host_ids or ())
        # Local time of the latest order for each host. The start of the term
        # stands for the unknown times of earlier leaders' orders.
        self._order_times_ms = dict.fromkeys(
            self._former_host_ids, term.began_ms
        )
        # Whether a record of this pass was not stored in time.
        self._is_stopped = False

    def begin_pass(self):
        """Allow orders again; called before each pass over the hosts."""
        self._is_stopped = False

    def can_record(self):
        """Return whether this pass may still give orders.

        It may until a record is not stored in time or the term ends.
        """
        return not self._is_stopped and self._term.valid()

    def former_orders_expired(self):
        """Return whether no order of an earlier leader blocks any host."""
        return self._clock.now_ms() >= self._former_expiry_ms

    def is_order_allowed(self, host_id):
        """Return whether an order for a host may be given now."""
        if self.former_orders_expired():
            return True
        return self._are_formers_known and host_id not in self._former_host_ids

    def record(self, host_ids):
        """Store the ids of hosts; called before orders for them are sent.

        Returns:
            True if they are stored. If that is not confirmed within
            RECORD_TIMEOUT_MS, False; then the orders must not be sent, and
            further calls of the pass return False at once.
        """
        if not self.can_record():
            return False
        now_ms = self._clock.now_ms()
        self._order_times_ms = self._recent_orders(now_ms) | dict.fromkeys(
            host_ids, now_ms
        )
        sequence = self._writer.enqueue(ORDERS_KEY, self._encode, urgent=True)
        stored = self._writer.wait(sequence, RECORD_TIMEOUT_MS, ORDERS_KEY)
        if not stored:
            self._is_stopped = True
            log.emit(
                catalogue.HOST_ORDERS_WAIT,
                hosts=len(host_ids),
                waited_ms=self._clock.now_ms() - now_ms,
            )
        return stored

    def drop_expired(self):
        """Record that there are no recent orders, once all are old enough.

        Else each later leader would wait for orders of long ago.
        """
        if self._order_times_ms and not self._recent_orders(
            self._clock.now_ms()
        ):
            self._order_times_ms = {}
            self._writer.enqueue(ORDERS_KEY, self._encode)

    def _recent_orders(self, now_ms):
        """Return {host id: local time} of the orders that are not expired."""
        oldest_ms = now_ms - self._lease_ms - RETENTION_MARGIN_MS
        return {
            host_id: at_ms
            for host_id, at_ms in self._order_times_ms.items()
            if at_ms >= oldest_ms
        }

    def _encode(self):
        return msgspec.json.encode(
            HostOrdersRecord(tuple(sorted(self._order_times_ms)))
        )

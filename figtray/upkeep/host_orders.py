"""Hosts that got orders lately, so that a successor leaves them alone."""

import msgspec

KEY = 'host-orders'
# Orders wait this long for their record; without it they are not given.
WRITE_MS = 500
# Kept this much longer than two holders have to be apart.
MARGIN_MS = 1000


class Record(msgspec.Struct, frozen=True):
    """Stored ids of the hosts that got orders lately."""

    host_ids: tuple[str, ...] = ()


def decode(data):
    """Return the Record of stored bytes.

    Raises:
        msgspec.MsgspecError: the bytes are no such record.
    """
    return msgspec.json.decode(data, type=Record)


class HostOrders:
    """Decides for which hosts a leader may give orders.

    The platform doesn't check who gives orders, so two holders must be
    `lease_ms` apart on each host. A host is recorded before its order is
    sent; a successor waits for the recorded hosts and has the others at
    once.

    Args:
        writer: the Writer.
        term: the Term.
        clock: the Clock.
        lease_ms: least time between the orders of two holders for a host.
        former: ids of the hosts that an earlier leader has recorded.
    """

    def __init__(self, writer, term, clock, lease_ms, former=()):
        self._writer = writer
        self._clock = clock
        self._lease_ms = lease_ms
        self._free_ms = term.began_ms + lease_ms
        self._former = frozenset(former)
        # Times of the latest orders; those of the former ones are unknown.
        self._ordered = dict.fromkeys(former, term.began_ms)

    def all_free(self):
        """Tell whether no order of an earlier leader has to be waited for."""
        return self._clock.now_ms() >= self._free_ms

    def may_order(self, host_id):
        """Tell whether an order for a host may be given."""
        return self.all_free() or host_id not in self._former

    def announce(self, host_ids):
        """Record hosts before their orders are sent.

        Returns:
            True if they are recorded.
        """
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - self._lease_ms - MARGIN_MS
        self._ordered = {
            host_id: at_ms
            for host_id, at_ms in self._ordered.items()
            if at_ms >= oldest_ms
        } | dict.fromkeys(host_ids, now_ms)
        sequence = self._writer.enqueue(KEY, self._encode)
        return self._writer.wait(sequence, WRITE_MS)

    def _encode(self):
        return msgspec.json.encode(Record(tuple(sorted(self._ordered))))

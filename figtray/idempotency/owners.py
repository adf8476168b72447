"""Choice of the slot that owns a keyed request or an ordered queue."""

import hashlib


def owner_slot(slots, owner_key):
    """Return the owner by rendezvous hashing.

    The choice depends on the configured slots only. If it followed the live
    ones, two entries with different views could both run a request.

    Args:
        slots: all configured slots.
        owner_key: bytes that name the key or the ordered queue.

    Returns:
        The slot.
    """

    def weight(slot):
        return hashlib.blake2b(
            slot.encode() + b'\0' + owner_key, digest_size=8
        ).digest()

    return max(sorted(slots), key=weight)


def request_key(team, idempotency_key):
    """Return the owner key of a request with an idempotency key."""
    return f'key\0{team}\0{idempotency_key}'.encode()


def queue_key(queue):
    """Return the owner key of an ordered queue."""
    return f'queue\0{queue}'.encode()

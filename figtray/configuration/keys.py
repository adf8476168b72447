"""Keys with which callers authenticate, and the ids that operators see."""

import hashlib
import re
import secrets

ID_DIGITS = 12
SECRET_BYTES = 32

_KEY = re.compile(rf'fk_([0-9a-f]{{{ID_DIGITS}}})_')


def _short_hash(text):
    return hashlib.sha256(text.encode()).hexdigest()[:ID_DIGITS]


def derive_key_id(change_id):
    """Derive the id of a new key from the id of the change that creates it.

    A repeated change has the same key id, which shows the repetition.
    """
    return _short_hash(change_id)


def generate(key_id):
    """Return a new random key, as callers present it.

    Args:
        key_id: id that the key contains.
    """
    return f'fk_{key_id}_{secrets.token_hex(SECRET_BYTES)}'


def parse_key_id(key):
    """Return the id of a key; for a key of another format, a short hash."""
    match = _KEY.match(key)
    return match[1] if match else _short_hash(key)

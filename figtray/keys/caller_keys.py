"""Keys that callers present, of which only a hash is kept."""

import dataclasses
import hashlib
import hmac
import re
import secrets

PREFIX = 'fk'
ID_BYTES = 8
SECRET_BYTES = 32
MAX_PRESENTED_LENGTH = len(PREFIX) + 2 + 2 * (ID_BYTES + SECRET_BYTES)
HASH_PREFIX = 'sha256:'

_PRESENTED = re.compile(
    rf'{PREFIX}_([0-9a-f]{{{2 * ID_BYTES}}})_([0-9a-f]{{{2 * SECRET_BYTES}}})'
)


@dataclasses.dataclass(frozen=True)
class GeneratedKey:
    """A new key; `presented` is shown once and never stored."""

    key_id: str
    presented: str = dataclasses.field(repr=False)
    hash: str = dataclasses.field(repr=False)


def generate():
    """Create a key with a random secret of 256 bits.

    Returns:
        A GeneratedKey.
    """
    key_id = secrets.token_hex(ID_BYTES)
    secret = secrets.token_hex(SECRET_BYTES)
    return GeneratedKey(
        key_id=key_id,
        presented=f'{PREFIX}_{key_id}_{secret}',
        hash=hash_secret(key_id, secret),
    )


def hash_secret(key_id, secret):
    """Return the stored form of a secret.

    A single SHA-256 is enough because the secret has 256 random bits; a
    slow password hash would only delay every request.
    """
    data = f'figtray-key:{key_id}:{secret}'.encode()
    return HASH_PREFIX + hashlib.sha256(data).hexdigest()


# Compared with when the key id is unknown, so that the time taken does not
# tell known and unknown ids apart. No secret is known to have this hash.
_DUMMY_HASH = HASH_PREFIX + secrets.token_hex(SECRET_BYTES)


def key_id_of(presented):
    """Return the id in a presented key that verify() has accepted."""
    return _PRESENTED.fullmatch(presented).group(1)


def verify(presented, lookup):
    """Find the team of a presented key.

    Args:
        presented: what the caller sent, of any length and characters.
        lookup: function of a key id that returns its resources.Key, or
            None if there is none.

    Returns:
        The name of the team, or None if the key is malformed, unknown,
        withdrawn or has another secret.
    """
    if len(presented) > MAX_PRESENTED_LENGTH:
        return None
    match = _PRESENTED.fullmatch(presented)
    if match is None:
        return None
    key_id, secret = match.groups()
    key = lookup(key_id)
    stored = _DUMMY_HASH if key is None else key.hash
    computed = hash_secret(key_id, secret)
    is_same = hmac.compare_digest(computed.encode(), stored.encode())
    if key is None or not is_same or key.withdrawn:
        return None
    return key.team

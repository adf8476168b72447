"""The operators' bearer credential, of which only a hash is kept."""

import hashlib
import hmac

from figtray.api import problems

SCHEME = 'Bearer '


def hash_credential(credential):
    """Return the SHA-256 of a credential in hexadecimal."""
    return hashlib.sha256(credential.encode()).hexdigest()


def check(header, credential_hash):
    """Check an Authorization header in constant time.

    Args:
        header: value of the header.
        credential_hash: as returned by hash_credential().

    Raises:
        ProblemError: 401, the credential is missing or another one.
    """
    scheme, credential = header[: len(SCHEME)], header[len(SCHEME) :]
    presented = hash_credential(credential.strip())
    is_same = hmac.compare_digest(presented, credential_hash)
    if scheme.lower() != SCHEME.lower() or not is_same:
        raise problems.ProblemError(
            401,
            'unauthorized',
            "The request needs the operators' bearer credential.",
            headers=(('WWW-Authenticate', 'Bearer realm="figtray"'),),
        )

"""Verification of the operators' bearer credential against its hash."""

import hashlib
import hmac

from figtray.api import problems

SCHEME = 'Bearer '


def hash_credential(credential):
    """Return the SHA-256 of a credential in hexadecimal."""
    return hashlib.sha256(credential.encode()).hexdigest()


def check_authorization(header, credential_hash):
    """Check an Authorization header; compares hashes in constant time.

    Args:
        header: value of the header.
        credential_hash: expected result of hash_credential().

    Raises:
        ProblemError: the credential is missing or wrong (401).
    """
    scheme, credential = header[: len(SCHEME)], header[len(SCHEME) :]
    presented = hash_credential(credential.strip())
    is_match = hmac.compare_digest(presented, credential_hash)
    if scheme.lower() != SCHEME.lower() or not is_match:
        raise problems.ProblemError(
            401,
            'unauthorized',
            "The request needs the operators' bearer credential.",
            headers=(('WWW-Authenticate', 'Bearer realm="figtray"'),),
        )

"""Identity of the running code: a digest of its sources.

The version stays the same through many commits, so it can't tell which of them
a log line or a report is of.
"""

import functools
import hashlib
import os

# Distinct for all commits, and short enough for a field of a log line.
DIGEST_LENGTH = 12
UNKNOWN = 'unknown'

_PACKAGE = os.path.dirname(os.path.abspath(__file__))
_SKIPPED_DIRECTORIES = frozenset({'tests', '__pycache__'})


@functools.cache
def sources_digest():
    """Return the digest of the sources of this package.

    Returns:
        As digest(); it is computed once.
    """
    return digest(_PACKAGE)


def digest(package):
    """Return a digest of the sources of a package, without its tests.

    Each file is digested as git does it, so that the digest of a commit can be
    computed without its files (docs/OPERATIONS.md).

    Args:
        package: path of the package's directory.

    Returns:
        Hexadecimal digits, or UNKNOWN if there are no sources or one of them
        can't be read.
    """
    try:
        lines = [
            f'{_blob_id(path)} {name}\n'.encode()
            for path, name in _sources(package, os.path.basename(package))
        ]
    except OSError:
        return UNKNOWN
    if not lines:
        return UNKNOWN
    return _sha1(b''.join(sorted(lines))).hexdigest()[:DIGEST_LENGTH]


def _sources(directory, prefix):
    """Yield path and name of each source; rglob() takes thrice the time."""
    with os.scandir(directory) as entries:
        for entry in entries:
            name = f'{prefix}/{entry.name}'
            if entry.is_dir():
                if entry.name not in _SKIPPED_DIRECTORIES:
                    yield from _sources(entry.path, name)
            elif entry.name.endswith('.py') and entry.name != 'conftest.py':
                yield entry.path, name


def _blob_id(path):
    with open(path, 'rb', buffering=0) as file:
        content = file.read()
    return _sha1(b'blob %d\0' % len(content) + content).hexdigest()


def _sha1(data):
    return hashlib.sha1(data, usedforsecurity=False)

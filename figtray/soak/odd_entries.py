"""Odd entries that another writer stores among those of the workers."""

import json

from figtray.platform import standin_entries
from figtray.platform import standin_services

DEPTH = 60_000
ADDRESS = '127.0.0.1:99999'
AMOUNT = 10**400
# No worker is born so long after another.
LATER_MS = 10**9
MAX_COUNT = 4


def make(rng, worker):
    """Return random odd entries as bytes by their keys.

    Each is like that of a good worker but for one field. One of them may be
    under the id of the good worker, until its next heartbeat.

    Args:
        rng: random.Random to use.
        worker: the good fleet Worker.
    """
    values = rng.choices(
        list(_odd_values(worker)), k=rng.randint(1, MAX_COUNT)
    )
    names = [f'odd-{number}' for number in range(len(values))]
    if rng.random() < 0.5:
        names[0] = worker.worker_id
    return {
        standin_entries.PREFIX + name: value
        for name, value in zip(names, values)
    }


def _odd_values(worker):
    """Yield the odd entries: one for each field that may be odd."""
    entry = json.loads(standin_services.encode_worker_entry(worker))
    yield b'%s,"x":%s%s}' % (
        json.dumps(entry).encode()[:-1],
        b'[' * DEPTH,
        b']' * DEPTH,
    )
    for change in (
        {'address': ADDRESS},
        {'capacity': dict.fromkeys(entry['capacity'], AMOUNT)},
        {'born': entry['born'] + LATER_MS},
    ):
        yield json.dumps(entry | change).encode()

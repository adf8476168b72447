"""Room that large jobs take before they are stored.

The leader publishes the room for them. The transaction that stores a large
job takes its size from that record, on condition that nobody else has changed
it, so all nodes together never store more than there is room for, whoever
leads by then. Small jobs don't touch the record.
"""

import dataclasses

import msgspec

from figtray import decoding
from figtray import errors
from figtray.jobs import room
from figtray.store import base

# Below records.INTAKE_PREFIX and before the jobs in the order of the keys, so
# that a view of the record has seen all jobs that were stored before it, also
# after a read by pages.
LARGE_ROOM_KEY = 'intake/allowance'
# A job that takes more is a large one, and so is one with a wider gang.
LARGE_BYTES = 32 * 1024
LARGE_GANG = 1000


class LargeRoom(msgspec.Struct, frozen=True):
    """Room for large jobs.

    Attributes:
        free_bytes: memory at a leader that they may take.
        gang_runs: members of a gang that a leader can start.
    """

    free_bytes: int
    gang_runs: int


_decoder = msgspec.json.Decoder(LargeRoom)


def encode(large_room):
    """Return the stored bytes of a LargeRoom."""
    return msgspec.json.encode(large_room)


def decode(data):
    """Return the LargeRoom of stored bytes.

    Raises:
        UnreadableMessage: the bytes are no such record.
    """
    return decoding.decode('large room', _decoder, data)


def is_large(job):
    """Return whether a model.Job takes its room before it is stored."""
    return room.bytes_of(job) > LARGE_BYTES or widest_gang(job) > LARGE_GANG


def widest_gang(job):
    """Return the largest number of members of a gang of a job."""
    return max((step.count for step in job.steps if step.gang), default=0)


@dataclasses.dataclass(frozen=True)
class Reservation:
    """What a transaction needs in addition to store a job.

    Attributes:
        refusal: why there is no room; empty if there is.
        revisions: revisions of keys that it depends on.
        puts: the Puts that take the room.
    """

    refusal: str = ''
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    puts: tuple[base.Put, ...] = ()


NOT_NEEDED = Reservation()


def reserve(job, item):
    """Return the Reservation of a large job.

    Args:
        job: the model.Job.
        item: the present KeyValue of LARGE_ROOM_KEY, or None.
    """
    if item is None:
        return Reservation('no leader has told the room for large jobs yet')
    try:
        left = decode(item.value)
    except errors.UnreadableMessage as exc:
        return Reservation(str(exc))
    size = room.bytes_of(job)
    if size > left.free_bytes:
        return Reservation(f'no room: {size} of {left.free_bytes} bytes')
    if widest_gang(job) > left.gang_runs:
        return Reservation(f'no room for a gang beyond {left.gang_runs}')
    taken = LargeRoom(left.free_bytes - size, left.gang_runs)
    return Reservation(
        revisions={LARGE_ROOM_KEY: item.mod_revision},
        puts=(base.Put(LARGE_ROOM_KEY, encode(taken)),),
    )

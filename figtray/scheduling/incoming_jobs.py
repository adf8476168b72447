"""Jobs that are read from the store, as far as there is room for them."""

import dataclasses
import heapq

from figtray.jobs import model
from figtray.jobs import records
from figtray.jobs import room
from figtray.scheduling import parked


@dataclasses.dataclass(frozen=True)
class IncomingJob:
    """A job that was read.

    Attributes:
        job_id: its id.
        spec: the model.Job.
        created: revision of the store at which it was accepted.
        stored: its records.Progress, or None.
    """

    job_id: str
    spec: model.Job
    created: int
    stored: records.Progress | None = None

    @property
    def has_started(self):
        """Whether an earlier leader has started a task of it, or it ended."""
        return (
            self.stored is not None
            and self.stored.state != records.State.QUEUED
        )

    @property
    def size(self):
        """Memory in bytes that it takes at most."""
        if self.stored is not None and self.stored.state.ended:
            return room.ENDED_JOB_BYTES
        return room.bytes_of(self.spec)


class IncomingJobs:
    """Jobs of one read; the largest that have not started are left out.

    So whatever is stored, a leader can lead, and small jobs don't wait for
    large ones. Those that have started are never left out: their runs go on.

    Args:
        room_bytes: room for them.

    Attributes:
        parked: the parked.Parked that are left out.
    """

    def __init__(self, room_bytes):
        self._left_bytes = room_bytes
        self._jobs = {}
        # (less its size, revision, id) of each job that has not started.
        self._largest = []
        self.parked = []

    def add(self, job_id, spec, created, stored):
        """Add a job; see IncomingJob."""
        job = IncomingJob(job_id, spec, created, stored)
        self._jobs[job_id] = job
        self._left_bytes -= job.size
        if not job.has_started:
            heapq.heappush(self._largest, (-job.size, -created, job_id))
        while self._left_bytes < 0 and self._largest:
            size, _, largest_id = heapq.heappop(self._largest)
            self._left_bytes -= size
            self.parked.append(_parked(self._jobs.pop(largest_id)))

    def taken(self):
        """Return the jobs that there is room for, in order of acceptance."""
        return sorted(self._jobs.values(), key=lambda job: job.created)


def _parked(job):
    return parked.Parked(
        job.size, job.created, job.job_id, job.spec.queue, job.spec.team
    )

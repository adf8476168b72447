"""Stored jobs that the leader has no room for; they wait in the store."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Parked:
    """A job that waits in the store.

    Attributes:
        size: memory in bytes that it would take.
        created: revision of the store at which it was accepted.
        job_id: its id.
        queue: name of its queue.
        team: name of its team; empty without a key.
    """

    size: int
    created: int
    job_id: str
    queue: str
    team: str


class ParkedJobs:
    """Jobs that are known by id only; the caller holds a lock."""

    def __init__(self):
        self._jobs = {}
        self._wanted = {}

    def __contains__(self, job_id):
        return job_id in self._jobs

    def __len__(self):
        return len(self._jobs)

    def add(self, job):
        """Add a Parked job."""
        self._jobs[job.job_id] = job

    def remove(self, job_id):
        """Remove a job, if it is among them."""
        self._jobs.pop(job_id, None)
        self._wanted.pop(job_id, None)

    def want(self, job_id):
        """Let a job be loaded next, whatever room there is.

        Its runs or its cancellation are known, and can't wait for room.
        """
        if job_id in self._jobs:
            self._wanted[job_id] = None

    def next_ids(self, room_bytes, most):
        """Return the ids of the jobs to load: wanted ones, then small ones.

        Args:
            room_bytes: room for those that nothing is known of.
            most: most jobs.
        """
        chosen = list(self._wanted)[:most]
        if len(chosen) == most or not self._jobs:
            return chosen
        for job in sorted(self._jobs.values()):
            if job.size > room_bytes or len(chosen) == most:
                break
            if job.job_id not in self._wanted:
                room_bytes -= job.size
                chosen.append(job.job_id)
        return chosen

    def sizes_of_teams(self):
        """Return the memory that the jobs of each team would take."""
        sizes = collections.Counter()
        for job in self._jobs.values():
            sizes[job.team] += job.size
        return sizes

    def counts(self):
        """Return the number of jobs of each queue, as a Counter."""
        return collections.Counter(job.queue for job in self._jobs.values())

"""Memory that jobs and runs take at a leader, and what a host has for it."""

import dataclasses

# Of each host: for the program, the workers, store calls and the log.
OWN_BYTES = 80 * 2**20
# Shares of the rest that jobs and runs may take; callers' requests take half
# of what is beyond the node's own work (ingress/limits.py).
JOB_SHARE = 0.3
RUN_SHARE = 0.16
LEAST_ROOM_BYTES = 8 * 2**20
# A host that doesn't state its memory counts as one of this size.
DEFAULT_MEMORY_MB = 256
# The smallest host that is supported.
LEAST_MEMORY_MB = 200
# What a job takes as a whole, until its records are removed.
JOB_BYTES = 4096
# What is kept of a job that has ended.
ENDED_JOB_BYTES = 2048
# Each step, with its stored progress and its expected times.
STEP_BYTES = 1408
# Each step that a step awaits.
AWAITED_BYTES = 128
# Bit masks of the tasks that wait and that are done.
TASK_BITS = 4
# Most steps of a timed job in open occurrences; each has its state again.
MAX_OPEN_STEPS = 1000
OPEN_STEP_BYTES = 640
# A run with its task, its orders, and its rows in reports.
RUN_BYTES = 3072
# One team may take this share of the room for runs.
TEAM_SHARE = 0.75


@dataclasses.dataclass(frozen=True)
class Room:
    """Room of a leader.

    Attributes:
        job_bytes: for accepted jobs, until their records are removed.
        runs: number of runs at a time.
    """

    job_bytes: int
    runs: int

    @property
    def team_runs(self):
        """Number of runs of one team at a time."""
        return int(TEAM_SHARE * self.runs)


def of_host(memory_mb):
    """Return the Room of a leader on a host.

    Args:
        memory_mb: memory of the host in MB; 0 = not known.
    """
    total = (memory_mb or DEFAULT_MEMORY_MB) * 2**20
    rest = total - OWN_BYTES
    return Room(
        max(LEAST_ROOM_BYTES, int(JOB_SHARE * rest)),
        max(LEAST_ROOM_BYTES, int(RUN_SHARE * rest)) // RUN_BYTES,
    )


def before_hosts_are_known(own):
    """Return the Room to count on while the other hosts are not known.

    Args:
        own: the Room of the leader's host; None for no limit.
    """
    if own is None:
        return None
    least = of_host(LEAST_MEMORY_MB)
    return min(own, least, key=lambda room: room.job_bytes)


def bytes_of(job):
    """Return the most memory that a model.Job takes at a leader.

    What is not started costs its leader no more than a count, so the number
    of tasks hardly matters.
    """
    steps = len(job.steps)
    tasks = sum(step.count for step in job.steps)
    awaited = sum(len(step.after) for step in job.steps)
    size = (
        JOB_BYTES
        + 2 * len(job.payload)
        + STEP_BYTES * steps
        + AWAITED_BYTES * awaited
        + TASK_BITS * tasks // 8
    )
    if job.repeats:
        size += OPEN_STEP_BYTES * min(
            job.repeats * steps, max(MAX_OPEN_STEPS, steps)
        )
    return size

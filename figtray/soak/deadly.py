"""Jobs whose tasks crash each worker that starts them, and their budget."""

import collections

from figtray.jobs import model
from figtray.platform import standin_config
from figtray.soak import callers

# Without a limit, so that its jobs don't wait for those of the busy team.
TEAM = standin_config.Team('deadly', 'deadly-key', 0)
# Tasks of the same image behave alike.
IMAGE = 'deadly'
MAX_JOBS = 3
# Time after all other faults, in which time bounds hold.
CALM_S = 10
CRASH_DELAY_MS = (50, 400)
# After as many crashes under a task its job may be shown as failed.
CRASHES_TO_FAIL = 2
# After as many, the task must not be started MAX_STARTS times more.
CRASHES_TO_STOP = 3
MAX_STARTS = 3


class DeadlyCaller(callers.Caller):
    """Caller of a number of deadly jobs, of which it has MAX_JOBS at once.

    Args:
        count: number of the jobs.
        args: those of Caller.
    """

    key = TEAM.key

    def __init__(self, count, *args):
        super().__init__(*args)
        self._left = count

    def _submit(self):
        if self._left and len(self._unfinished_jobs) < MAX_JOBS:
            self._left -= 1
            self._submit_job(_make_steps)


def _make_steps(_):
    """Return the steps of a deadly job as a caller submits them."""
    return [{**callers.STEP, 'image': IMAGE, 'count': 1}]


class CrashBudget:
    """Counts the crashes of workers under each task.

    Args:
        jobs: mapping of job id to observations.Job.
    """

    def __init__(self, jobs):
        self._jobs = jobs
        self._crashes = collections.Counter()
        self._late_starts = collections.Counter()

    def record_crash(self, task):
        """Record that a worker has crashed under a task."""
        self._crashes[task] += 1

    def is_exceeded_by(self, task):
        """Record a start by a node in touch; return whether it is too late."""
        job = self._jobs.get(model.parse_task_id(task).job_id)
        if job and job.deadly and self._crashes[task] >= CRASHES_TO_STOP:
            self._late_starts[task] += 1
        return self._late_starts[task] == MAX_STARTS

    def may_fail(self, job_id):
        """Return whether a job may be shown as failed."""
        return self._jobs[job_id].deadly and any(
            count >= CRASHES_TO_FAIL
            and model.parse_task_id(task).job_id == job_id
            for task, count in self._crashes.items()
        )

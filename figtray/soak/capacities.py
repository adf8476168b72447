"""Capacities of workers that shrink and grow, and the starts within them."""

import collections

from figtray.jobs import model
from figtray.platform import standin_site as sites

# A capacity that has shrunk counts after this time and one heartbeat.
CONTACT_MS = 3000
SHRUNK_BOUND_MS = CONTACT_MS + int(sites.HEARTBEAT_INTERVAL_S * 1000)


class CapacityHistory:
    """Tells whether the runs on a worker are within its capacity.

    Args:
        jobs: mapping of job id to observations.Job.
    """

    def __init__(self, jobs):
        self._jobs = jobs
        # By worker id, its former capacities and when they were replaced. A
        # worker that starts again under its id has what it had.
        self._former = collections.defaultdict(list)

    def record_resize(self, worker, now_ms):
        """Record that the capacity of a fleet Worker is about to change."""
        self._former[worker.worker_id].append((now_ms, worker.capacity))

    def covers(self, sim, now_ms, stable):
        """Return whether the runs on a SimWorker are within its capacity.

        Args:
            sim: the SimWorker.
            now_ms: time since the start of the soak in milliseconds.
            stable: whether nodes are in touch; otherwise any former capacity
                counts.
        """
        used = self._used_by(sim.runs)
        since_ms = now_ms - SHRUNK_BOUND_MS if stable else 0
        return sim.worker.capacity.covers(used) or any(
            until_ms >= since_ms and capacity.covers(used)
            for until_ms, capacity in self._former[sim.worker.worker_id]
        )

    def _used_by(self, tasks):
        used = model.NO_RESOURCES
        for task in tasks:
            task_id = model.parse_task_id(task)
            job = self._jobs.get(task_id.job_id)
            if job is not None:
                used += needs_of(job.steps[task_id.step])
        return used


def needs_of(step):
    """Return the Resources that a task of a submitted step needs."""
    return model.Resources(step.get('cpu', 0), step.get('mem_mb', 0))

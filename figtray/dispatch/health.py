"""Health of the workers, told apart from jobs that can never run."""

import collections
import dataclasses
import hashlib
import random
import threading

# Jobs among the consecutive failures of a worker before it is quarantined;
# a single job may be the one that is bad.
WORKER_MIN_JOBS = 2
# Consecutive failures to reach a worker before it is quarantined.
WORKER_MAX_UNREACHABLE = 2
# Part of a pool that may be quarantined at once.
MAX_QUARANTINED = 1 / 3
# A job that failed on more than this part of a pool is bad whatever the
# state of these workers, as more than that are not broken at once.
JOB_MAX_POOL_PART = 1 / 2
PROBE_FIRST_MS = 1000
PROBE_MAX_MS = 60_000
PROBE_JITTER = 0.2
# A probe without an outcome for this long no longer blocks the next one.
PROBE_TIMEOUT_MS = 120_000
# Successes after a return before the interval of the probes starts again at
# its first value; a worker that fails now and then keeps long intervals.
SUCCESSES_TO_RESET = 20
MAX_JOBS = 10_000
JOB_RETENTION_MS = 600_000


@dataclasses.dataclass(frozen=True)
class Job:
    """What fails in the same way each time it runs."""

    queue: str
    team: str
    digest: str


def make_job(queue, team, body, job_id=''):
    """Return the Job of a request.

    Args:
        queue: name of the queue.
        team: name of the team.
        body: body of the request; identifies the job if there is no id.
        job_id: id that the caller gave the job, or ''.

    Returns:
        The Job.
    """
    data = b'id:' + job_id.encode() if job_id else b'body:' + body
    return Job(queue, team, hashlib.blake2b(data, digest_size=16).hexdigest())


class _Worker:
    """Recent outcomes of one worker."""

    def __init__(self, max_failures):
        self.max_failures = max_failures
        # Jobs of the consecutive failures, oldest first.
        self.failures = collections.deque(maxlen=4 * max_failures)
        self.unreachable = 0
        self.is_quarantined = False
        self.was_quarantined = False
        self.interval_ms = PROBE_FIRST_MS
        self.probe_at_ms = 0
        self.is_probing = False
        self.successes = 0

    def is_suspect(self):
        """Tell whether the failures justify a quarantine."""
        return self.unreachable >= WORKER_MAX_UNREACHABLE or (
            len(self.failures) >= self.max_failures
            and len(set(self.failures)) >= WORKER_MIN_JOBS
        )


class _JobRecord:
    """Workers on which a job failed."""

    def __init__(self):
        self.workers = set()
        self.is_bad = False
        self.noted_ms = 0


class WorkerHealth:
    """Failure accounting of all workers and jobs; thread safe."""

    def __init__(self, clock, cfg, rng=None):
        """Create the accounting without workers.

        Args:
            clock: a Clock.
            cfg: settings with `job_max_workers`, the distinct healthy
                workers on which a job fails before it is bad, and
                `worker_max_failures`, the consecutive failures before a
                worker is quarantined.
            rng: a random.Random for the jitter of the probes.
        """
        self._clock = clock
        self._job_max_workers = cfg.job_max_workers
        self._worker_max_failures = cfg.worker_max_failures
        self._rng = rng or random.Random()
        self._lock = threading.Lock()
        self._pools = {}
        self._jobs = collections.OrderedDict()

    def configure(self, pool, hosts):
        """Set the hosts of a pool; what is known of others is forgotten.

        Args:
            pool: name of the pool.
            hosts: names of its hosts.
        """
        with self._lock:
            before = self._pools.get(pool, {})
            self._pools[pool] = {
                host: before.get(host) or _Worker(self._worker_max_failures)
                for host in hosts
            }

    def is_usable(self, pool, host):
        """Tell whether a worker may get a start, as itself or as a probe."""
        with self._lock:
            worker = self._find(pool, host)
            return worker is not None and (
                not worker.is_quarantined
                or self._clock.now_ms() >= worker.probe_at_ms
            )

    def unusable(self, pool):
        """Return the workers of a pool that may get no start now.

        One call for all workers of a pool costs a fraction of is_usable()
        for each, which counts for pools of hundreds of hosts.
        """
        with self._lock:
            workers = self._pools.get(pool, {})
            suspended = [w for w in workers.items() if w[1].is_quarantined]
            if not suspended:
                return frozenset()
            now_ms = self._clock.now_ms()
            return frozenset(
                host
                for host, worker in suspended
                if now_ms < worker.probe_at_ms
            )

    def claim(self, pool, host):
        """Note that a usable worker gets a start.

        Returns:
            True if the start is a probe. Its outcome is then reported with
            `is_probe`, or given back with release_probe(); until then the
            worker is not usable.
        """
        with self._lock:
            worker = self._find(pool, host)
            if worker is None or not worker.is_quarantined:
                return False
            worker.is_probing = True
            worker.probe_at_ms = self._clock.now_ms() + PROBE_TIMEOUT_MS
            return True

    def release_probe(self, pool, host):
        """Give back a probe that told nothing about the worker."""
        with self._lock:
            worker = self._find(pool, host)
            if worker is not None and worker.is_probing:
                worker.is_probing = False
                worker.probe_at_ms = self._clock.now_ms()

    def succeeded(self, pool, host, job=None, is_probe=False):
        """Count a task that did not fail.

        Args:
            pool: the pool of the worker.
            host: the host of the worker.
            job: the Job, or None for a probe without a task.
            is_probe: whether claim() returned True for this start.
        """
        with self._lock:
            self._jobs.pop(job, None)
            worker = self._find(pool, host)
            if worker is None:
                return
            if worker.is_quarantined and not is_probe:
                # It may have started before the worker broke.
                return
            worker.failures.clear()
            worker.unreachable = 0
            worker.is_quarantined = False
            worker.is_probing = False
            worker.successes += 1
            if worker.successes >= SUCCESSES_TO_RESET:
                worker.interval_ms = PROBE_FIRST_MS

    def failed(self, pool, host, job, is_probe=False):
        """Count a task that failed.

        Args:
            pool: the pool of the worker.
            host: the host of the worker.
            job: the Job.
            is_probe: whether claim() returned True for this start.

        Returns:
            True if the job is bad; then it is failed to the caller.
        """
        with self._lock:
            worker = self._find(pool, host)
            record = self._record(job)
            if worker is not None:
                worker.unreachable = 0
                if not record.is_bad:
                    record.workers.add((pool, host))
                    worker.failures.append(job)
                    self._judge_job(job, record, pool)
                self._judge_worker(pool, worker, is_probe)
            return record.is_bad

    def unreachable(self, pool, host, is_probe=False):
        """Count a start that the worker never received or never answered."""
        with self._lock:
            worker = self._find(pool, host)
            if worker is not None:
                worker.unreachable += 1
                self._judge_worker(pool, worker, is_probe)

    def is_bad_job(self, job):
        """Tell whether a job failed on enough healthy workers."""
        with self._lock:
            record = self._jobs.get(job)
            if record is None:
                return False
            age_ms = self._clock.now_ms() - record.noted_ms
            return record.is_bad and age_ms < JOB_RETENTION_MS

    def quarantined(self, pool):
        """Return the sorted names of a pool's quarantined hosts."""
        with self._lock:
            return sorted(
                host
                for host, worker in self._pools.get(pool, {}).items()
                if worker.is_quarantined
            )

    def _find(self, pool, host):
        return self._pools.get(pool, {}).get(host)

    def _record(self, job):
        now_ms = self._clock.now_ms()
        record = self._jobs.get(job)
        if record and now_ms - record.noted_ms >= JOB_RETENTION_MS:
            record = None
        if record is None:
            record = self._jobs[job] = _JobRecord()
            if len(self._jobs) > MAX_JOBS:
                self._jobs.popitem(last=False)
        if not record.is_bad:
            record.noted_ms = now_ms
        self._jobs.move_to_end(job)
        return record

    def _judge_job(self, job, record, pool):
        """Mark a job as bad if enough workers bear witness against it.

        A worker on which other jobs fail as well is no witness. When a job
        is bad, its failures are taken off all workers, and those that were
        quarantined on its account return.
        """
        failing = [
            worker
            for worker in (self._find(*place) for place in record.workers)
            if worker is not None
        ]
        witnesses = sum(
            not worker.is_quarantined and set(worker.failures) <= {job}
            for worker in failing
        )
        part = len(failing) / max(1, len(self._pools[pool]))
        if witnesses < self._job_max_workers and (
            part <= JOB_MAX_POOL_PART or len(failing) < self._job_max_workers
        ):
            return
        record.is_bad = True
        for worker in failing:
            kept = [other for other in worker.failures if other != job]
            worker.failures.clear()
            worker.failures.extend(kept)
            if worker.is_quarantined and not worker.is_suspect():
                worker.is_quarantined = False
                worker.is_probing = False

    def _judge_worker(self, pool, worker, is_probe):
        """Quarantine a suspect worker, or lengthen the interval of one."""
        if worker.is_quarantined:
            if is_probe:
                worker.interval_ms = min(PROBE_MAX_MS, 2 * worker.interval_ms)
                self._schedule_probe(worker)
            return
        if not worker.is_suspect():
            return
        workers = self._pools[pool].values()
        count = sum(other.is_quarantined for other in workers)
        if count + 1 > len(workers) * MAX_QUARANTINED:
            return
        worker.is_quarantined = True
        if worker.was_quarantined and worker.successes < SUCCESSES_TO_RESET:
            worker.interval_ms = min(PROBE_MAX_MS, 2 * worker.interval_ms)
        worker.was_quarantined = True
        self._schedule_probe(worker)

    def _schedule_probe(self, worker):
        jitter = self._rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
        delay_ms = int(worker.interval_ms * jitter)
        worker.probe_at_ms = self._clock.now_ms() + delay_ms
        worker.is_probing = False
        worker.successes = 0

"""Health of the workers, told apart from jobs that can never run."""

import collections
import dataclasses
import enum
import hashlib
import threading

# Distinct healthy workers on which a job fails before it is a bad job.
JOB_MAX_WORKERS = 3
# Consecutive task failures, of at least WORKER_MIN_JOBS jobs, before a
# worker is quarantined.
WORKER_MAX_FAILURES = 5
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


class Admission(enum.Enum):
    """Whether a worker may get a start now."""

    YES = 'yes'
    # One start, whose outcome is reported with `is_probe`.
    PROBE = 'probe'
    NO = 'no'


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

    def __init__(self, pool):
        self.pool = pool
        # Jobs of the consecutive failures, oldest first.
        self.failures = collections.deque(maxlen=4 * WORKER_MAX_FAILURES)
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
            len(self.failures) >= WORKER_MAX_FAILURES
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

    def __init__(self, clock, rng):
        """Create the accounting without workers.

        Args:
            clock: a Clock.
            rng: a random.Random for the jitter of the probes.
        """
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._workers = {}
        self._pools = {}
        self._jobs = collections.OrderedDict()

    def configure(self, pool, workers):
        """Set the workers of a pool; the others of the pool are forgotten.

        Args:
            pool: name of the pool.
            workers: their addresses.
        """
        with self._lock:
            wanted = set(workers)
            for address in self._pools.get(pool, set()) - wanted:
                if self._workers[address].pool == pool:
                    del self._workers[address]
            self._pools[pool] = wanted
            for address in wanted:
                worker = self._workers.setdefault(address, _Worker(pool))
                if worker.pool != pool:
                    self._pools[worker.pool].discard(address)
                    worker.pool = pool

    def admit(self, address):
        """Tell whether a worker may get a start, and claim a due probe."""
        with self._lock:
            worker = self._workers.get(address)
            if worker is None:
                return Admission.NO
            if not worker.is_quarantined:
                return Admission.YES
            now_ms = self._clock.now_ms()
            if now_ms < worker.probe_at_ms:
                return Admission.NO
            worker.is_probing = True
            worker.probe_at_ms = now_ms + PROBE_TIMEOUT_MS
            return Admission.PROBE

    def release_probe(self, address):
        """Give back a probe that was claimed but not used."""
        with self._lock:
            worker = self._workers.get(address)
            if worker is not None and worker.is_probing:
                worker.is_probing = False
                worker.probe_at_ms = self._clock.now_ms()

    def succeeded(self, address, job, is_probe=False):
        """Count a task that did not fail.

        Args:
            address: the worker.
            job: the Job, or None for a probe without a task.
            is_probe: whether admit() returned PROBE for this start.
        """
        with self._lock:
            if job is not None:
                self._jobs.pop(job, None)
            worker = self._workers.get(address)
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

    def failed(self, address, job, is_probe=False):
        """Count a task that failed.

        Args:
            address: the worker.
            job: the Job.
            is_probe: whether admit() returned PROBE for this start.

        Returns:
            True if the job is bad; then it is failed to the caller.
        """
        with self._lock:
            worker = self._workers.get(address)
            record = self._record(job)
            if worker is not None:
                worker.unreachable = 0
                if not record.is_bad:
                    record.workers.add(address)
                    worker.failures.append(job)
                    self._judge_job(job, record, worker.pool)
                self._judge_worker(worker, is_probe)
            return record.is_bad

    def unreachable(self, address, is_probe=False):
        """Count a start that the worker certainly never received."""
        with self._lock:
            worker = self._workers.get(address)
            if worker is not None:
                worker.unreachable += 1
                self._judge_worker(worker, is_probe)

    def is_bad_job(self, job):
        """Tell whether a job failed on enough healthy workers."""
        with self._lock:
            record = self._jobs.get(job)
            if record is None:
                return False
            age_ms = self._clock.now_ms() - record.noted_ms
            return record.is_bad and age_ms < JOB_RETENTION_MS

    def failures(self, address):
        """Return the consecutive failures of a worker, to rank workers."""
        with self._lock:
            worker = self._workers.get(address)
            if worker is None:
                return 0
            return len(worker.failures) + worker.unreachable

    def quarantined(self, pool):
        """Return the sorted addresses of a pool's quarantined workers."""
        with self._lock:
            return sorted(
                address
                for address in self._pools.get(pool, ())
                if self._workers[address].is_quarantined
            )

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
        witnesses = sum(
            1
            for address in record.workers
            if address in self._workers
            and not self._workers[address].is_quarantined
            and set(self._workers[address].failures) <= {job}
        )
        part = len(record.workers) / max(1, len(self._pools.get(pool, ())))
        if witnesses < JOB_MAX_WORKERS and (
            part <= JOB_MAX_POOL_PART or len(record.workers) < JOB_MAX_WORKERS
        ):
            return
        record.is_bad = True
        for address in record.workers:
            worker = self._workers.get(address)
            if worker is None:
                continue
            kept = [other for other in worker.failures if other != job]
            worker.failures.clear()
            worker.failures.extend(kept)
            if worker.is_quarantined and not worker.is_suspect():
                worker.is_quarantined = False
                worker.is_probing = False

    def _judge_worker(self, worker, is_probe):
        """Quarantine a suspect worker, or lengthen the interval of one."""
        if worker.is_quarantined:
            if is_probe:
                worker.interval_ms = min(PROBE_MAX_MS, 2 * worker.interval_ms)
                self._schedule_probe(worker)
            return
        if not worker.is_suspect():
            return
        pool = self._pools[worker.pool]
        count = sum(self._workers[other].is_quarantined for other in pool)
        if count + 1 > len(pool) * MAX_QUARANTINED:
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

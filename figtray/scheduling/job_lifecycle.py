"""Life cycle of jobs, from their acceptance to their removal."""

import math

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import large_jobs
from figtray.jobs import records
from figtray.jobs import room
from figtray.scheduling import arrivals
from figtray.scheduling import job_ends
from figtray.scheduling import openings
from figtray.scheduling import state

# Most occurrences of a job that one plan opens; the lock is held meanwhile.
MAX_OPENED_OCCURRENCES = 100
# Late reports on a job that has ended find its tasks for so long.
COMPACTION_DELAY_MS = 10_000
# Least time between two lines on parked jobs.
PARKED_LOG_INTERVAL_MS = 1000
# Most parked jobs that are read from the store one after another.
MAX_LOADED_AT_ONCE = 100


class JobLifecycle(job_ends.JobEnds):
    """Adds, parks, cancels and forgets jobs."""

    def add_job(self, job_id, spec, created, stored=None):
        """Add an accepted job; a known or removed one is ignored.

        Args:
            job_id: id of the job.
            spec: the model.Job.
            created: revision of the store at which it was accepted.
            stored: its records.Progress, or None.
        """
        with self.lock:
            if job_id in self._jobs or job_id in self._removed_jobs:
                return
            now_ms = self._clock.now_ms()
            queue_cfg = self._cfg.queues.get(spec.queue) if self._cfg else None
            job = state.JobState(job_id, spec, created, queue_cfg)
            age_ms = max(0, self._clock.wall_ms() - spec.accepted_ms)
            job.arrived_ms = now_ms - age_ms
            self._jobs[job_id] = job
            self._parked.remove(job_id)
            if stored is not None:
                job.restore(stored)
            if job.state.ended:
                job.compact()
                self._count_held(job, room.ENDED_JOB_BYTES)
                return
            self._count_held(job, room.bytes_of(spec))
            self._expect_times(job)
            team = self._cfg.teams.get(spec.team) if self._cfg else None
            if team is not None:
                job.excess_ms = self._arrival_meter.excess_ms(
                    team.name, team.weight, spec.accepted_ms
                )
            if queue_cfg is not None and age_ms < arrivals.WORK_WINDOW_MS:
                self._work_meter.add(queue_cfg, spec.steps, now_ms, spec.team)
            if spec.repeats:
                self._timed_jobs.add(job_id)
                self._open_due_occurrences(job, now_ms)
            else:
                self._open_occurrence(job, 0, now_ms)
                self._end_if_over(job)
            log.emit(
                catalogue.JOB_SEEN,
                job_id=job_id,
                queue=spec.queue,
                team=spec.team,
                tasks=sum(step.count for step in spec.steps),
                created=created,
                age_ms=age_ms,
                expected_ms=int(max(c.typical_ms for c in job.remaining)),
                excess_ms=int(job.excess_ms),
            )
        self.changed.set()

    def drop_job(self, job_id):
        """Forget a job that could not be added as a whole."""
        with self.lock:
            self._pop_job(job_id)
            self._timed_jobs.discard(job_id)
            self._wide_jobs.discard(job_id)
            for name, step in list(self._open_steps.items()):
                if step.job.job_id == job_id:
                    del self._open_steps[name]

    def job_room_left(self):
        """Return the memory in bytes that is left for jobs."""
        with self.lock:
            if self._room is None:
                return math.inf
            return self._room.job_bytes - self._held_bytes

    def park(self, job):
        """Leave a parked.Parked job in the store; there is no room for it."""
        with self.lock:
            if job.job_id in self._jobs or job.job_id in self._removed_jobs:
                return
            self._parked.add(job)
            now_ms = self._clock.now_ms()
            if now_ms - self._parked_logged_ms >= PARKED_LOG_INTERVAL_MS:
                self._parked_logged_ms = now_ms
                log.emit(
                    catalogue.JOB_PARKED,
                    job_id=job.job_id,
                    team=job.team,
                    size=job.size,
                    held=self._held_bytes,
                    parked=len(self._parked),
                )

    def forget_parked(self, job_id):
        """Forget a parked job that is no longer stored, or unreadable."""
        with self.lock:
            self._parked.remove(job_id)

    def parked_to_load(self):
        """Return the ids of the parked jobs to read from the store now."""
        with self.lock:
            return self._parked.next_ids(
                self.job_room_left(), MAX_LOADED_AT_ONCE
            )

    def knows_job(self, job_id):
        """Return whether a job is known, parked ones included."""
        with self.lock:
            return job_id in self._jobs or job_id in self._parked

    def _count_held(self, job, size):
        """Count the memory that a job takes from now on at most."""
        before = job.held_bytes
        self._held_bytes += size - before
        self._held_of_team[job.spec.team] += size - before
        self._held_large_bytes += _large_part(size) - _large_part(before)
        job.held_bytes = size

    def _pop_job(self, job_id):
        job = self._jobs.pop(job_id, None)
        if job is not None:
            self._count_held(job, 0)

    def _compact_ended(self):
        """Keep little of the jobs that have ended and have no runs."""
        before_ms = self._clock.wall_ms() - COMPACTION_DELAY_MS
        for job in self._jobs.values():
            if 0 < job.ended_ms < before_ms:
                self._compact(job)

    def compact_if_ended(self, job_id):
        """Keep little of a job if it has ended and has no runs."""
        with self.lock:
            job = self._jobs.get(job_id)
            if job is not None and job.ended:
                self._compact(job)

    def _compact(self, job):
        if job.held_bytes > room.ENDED_JOB_BYTES and not any(job.runs()):
            job.compact()
            self._count_held(job, room.ENDED_JOB_BYTES)

    def spec_of(self, job_id):
        """Return the model.Job with an id, or None."""
        with self.lock:
            job = self._jobs.get(job_id)
            return job and job.spec

    def cancel(self, job_id, cancelled_ms):
        """Cancel a job and stop its runs.

        Args:
            job_id: id of the job; of an unknown job, only the time of the
                cancellation is kept, for expired_jobs().
            cancelled_ms: Unix time in milliseconds of the cancellation.
        """
        with self.lock:
            job = self._jobs.get(job_id)
            self._parked.want(job_id)
            if job is None and job_id not in self._removed_jobs:
                self._early_cancellations[job_id] = cancelled_ms
            if job is None or job.ended:
                return
            job.cancelled = True
            log.emit(
                catalogue.JOB_CANCELLED,
                job_id=job_id,
                runs=sum(1 for _ in job.runs()),
                age_ms=max(0, self._clock.wall_ms() - cancelled_ms),
            )
            self._end_job(job, records.State.CANCELLED)
        self.changed.set()

    def expired_jobs(self, retention_ms):
        """Return the ids of jobs whose records can be removed.

        These are jobs that ended, and unknown jobs that were cancelled,
        longer ago than the retention time.

        Args:
            retention_ms: retention time in milliseconds.
        """
        with self.lock:
            self._compact_ended()
            before_ms = self._clock.wall_ms() - retention_ms
            ids = [
                job_id
                for job_id, job in self._jobs.items()
                if 0 < job.ended_ms < before_ms and not any(job.runs())
            ]
            ids += [
                job_id
                for job_id, at_ms in self._early_cancellations.items()
                if at_ms < before_ms and job_id not in self._jobs
            ]
            for job_id, at_ms in list(self._removed_jobs.items()):
                if at_ms < before_ms:
                    del self._removed_jobs[job_id]
            return ids

    def forget_jobs(self, job_ids):
        """Forget jobs whose records in the store were removed."""
        with self.lock:
            for job_id in job_ids:
                # A lagging view of the store may show the job once more.
                self._removed_jobs[job_id] = self._clock.wall_ms()
                self._pop_job(job_id)
                self._parked.remove(job_id)
                self._early_cancellations.pop(job_id, None)

    def waiting_jobs(self):
        """Return the records.WaitingJobs of all queues."""
        with self.lock:
            counts, held = {}, {}
            for job in self._jobs.values():
                if not job.started and not job.ended and not job.spec.repeats:
                    queue = self._present_queue(job.spec)
                    counts[queue] = counts.get(queue, 0) + 1
            for step in self._open_steps.values():
                if step.waiting and step.held_reason is not None:
                    reasons = held.setdefault(step.job.spec.queue, {})
                    reason = step.held_reason.value
                    reasons[reason] = reasons.get(reason, 0) + len(
                        step.waiting
                    )
            for queue, count in self._parked.counts().items():
                counts[queue] = counts.get(queue, 0) + count
            return records.WaitingJobs(counts, held)

    def _present_queue(self, spec):
        """Return the name of the queue under which callers find a job."""
        return spec.queue

    def _open_due_occurrences(self, job, now_ms):
        """Open occurrences of a timed job that are due.

        At most MAX_OPENED_OCCURRENCES are opened, or of a job of an earlier
        term as many as may be open at a time.

        Returns:
            Local time in milliseconds at which the next occurrence is due,
            or None if all are open.
        """
        limit = MAX_OPENED_OCCURRENCES
        if job.created < self._term.epoch:
            limit = openings.MAX_OPEN_STEPS
        opened, next_ms = self._open_due(job, now_ms, limit)
        if next_ms is None:
            self._timed_jobs.discard(job.job_id)
        if opened:
            self._end_if_over(job)
        return next_ms


def _large_part(size):
    return size if size > large_jobs.LARGE_BYTES else 0

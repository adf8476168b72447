"""Life cycle of jobs, from their acceptance to their removal."""

import math

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import large_jobs
from figtray.jobs import records
from figtray.jobs import room
from figtray.scheduling import arrivals
from figtray.scheduling import crash_evidence
from figtray.scheduling import crashes
from figtray.scheduling import lessons
from figtray.scheduling import state
from figtray.scheduling import trial_limits

# A worker is avoided for a while after this many failed runs in a row, if they
# belong to at least this many jobs.
FAILURES_TO_AVOID = 4
FAILED_JOBS_TO_AVOID = 2
FAILING_BACKOFF_MS = 4000
# Most occurrences of a job that one plan opens; the lock is held meanwhile.
MAX_OPENED_OCCURRENCES = 100
# Most steps in the open occurrences of a job; one occurrence may have more.
MAX_OPEN_STEPS = room.MAX_OPEN_STEPS
# Most open steps of a job with waiting tasks, as each plan looks at them.
MAX_WAITING_STEPS = 64
# Late reports on a job that has ended find its tasks for so long.
COMPACTION_DELAY_MS = 10_000
# Least time between two lines on parked jobs.
PARKED_LOG_INTERVAL_MS = 1000
# Most parked jobs that are read from the store one after another.
MAX_LOADED_AT_ONCE = 100
# Longest time between two looks for room for further occurrences.
FULL_RETRY_MS = 1000


class JobLifecycle(lessons.Lessons):
    """Opens the occurrences and steps of jobs, and completes or fails them."""

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
            limit = MAX_OPEN_STEPS
        opened, next_ms = self._open_due(job, now_ms, limit)
        if next_ms is None:
            self._timed_jobs.discard(job.job_id)
        if opened:
            self._end_if_over(job)
        return next_ms

    def _open_due(self, job, now_ms, limit):
        """Open at most a number of due occurrences.

        Returns:
            (number of those opened, local time in milliseconds at which the
            next one is due, or None if all are open).
        """
        opened = 0
        wall_ms = self._clock.wall_ms()
        most = max(1, MAX_OPEN_STEPS // len(job.spec.steps))
        while (number := job.find_next()) is not None:
            start_ms = job.spec.start_ms + number * job.spec.interval_ms
            if start_ms > wall_ms:
                return opened, now_ms + start_ms - wall_ms
            if len(job.occurrences) >= most:
                return opened, now_ms + FULL_RETRY_MS
            if opened == limit:
                return opened, now_ms
            self._open_occurrence(job, number, now_ms)
            opened += 1
        return opened, None

    def _open_reported(self, job, number):
        if (
            job.ended
            or number >= max(1, job.spec.repeats)
            or job.has_ended(number)
            # This term has started none that it has not opened.
            or job.created >= self._term.epoch
        ):
            return None
        return self._open_occurrence(job, number, self._clock.now_ms())

    def _open_occurrence(self, job, number, now_ms):
        occurrence = state.Occurrence(job, number)
        job.occurrences[number] = occurrence
        if job.stored is not None:
            _restore(occurrence, job)
            self._note_unsure_placements(occurrence)
        job.ready_steps.extend(occurrence.find_ready())
        self._open_ready_steps(job, now_ms)
        return occurrence

    def _note_unsure_placements(self, occurrence):
        """Record which restored placements an earlier leader was unsure of."""
        for step in occurrence.steps:
            for task in step.tasks.known():
                if task.placement is not None and task.placement.unsure:
                    self._restarts.note_unsure(
                        task.placement, self._term.began_ms
                    )

    def _end_if_over(self, job):
        """Complete or fail a job whose occurrences were opened, if due.

        The cost grows with the number of its occurrences.
        """
        self._complete_if_done(job)
        self._fail_exhausted(job)

    def _open_ready_steps(self, job, now_ms):
        """Open ready steps of a job, as long as few of them wait.

        Each plan looks at all open steps with waiting tasks.
        """
        waiting = 0
        if len(job.open_steps) + len(job.ready_steps) > MAX_WAITING_STEPS:
            waiting = sum(1 for step in job.open_steps if step.waiting)
        while job.ready_steps and waiting < MAX_WAITING_STEPS:
            step = job.ready_steps.pop(0)
            if step.remaining:
                self._open_step(step, now_ms)
                waiting += bool(step.waiting)
        if job.ready_steps:
            self._wide_jobs.add(job.job_id)
        else:
            self._wide_jobs.discard(job.job_id)

    def _open_step(self, step, now_ms):
        step.open = True
        step.ready_ms = now_ms
        step.occurrence.later_milli -= (
            step.spec.needs.cpu_milli * step.remaining
        )
        self._open_steps[step.name] = step
        step.job.open_steps[step] = None
        step.waiting.add_untouched()
        ready = [t for t in step.tasks.known() if t.run is None]
        for task in ready:
            task.ready_ms = now_ms
            task.trial_wait_offset_ms = trial_limits.earlier_wait_ms(task)
        step.waiting.put_first(sorted(ready, key=lambda task: task.index))

    def _complete_if_done(self, job):
        if job.ended or not job.has_all_occurrences():
            return
        if all(item.done() for item in job.occurrences.values()):
            log.emit(
                catalogue.JOB_COMPLETED,
                job_id=job.job_id,
                age_ms=self._clock.now_ms() - job.arrived_ms,
                objective_ms=job.due_ms - job.arrived_ms,
            )
            self._end_job(job, records.State.COMPLETED)

    def _end_job(self, job, final_state):
        job.state = final_state
        job.ended_ms = self._clock.wall_ms()
        self._timed_jobs.discard(job.job_id)
        self._wide_jobs.discard(job.job_id)
        job.ready_steps.clear()
        job.open_steps.clear()
        for run in list(job.runs()):
            self.stop(run, f'its job is {final_state.value}')
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                step.waiting.clear()
                self._open_steps.pop(step.name, None)
        self._store_progress(job)

    def _complete_task(self, worker_state, task):
        worker_state.failures = 0
        worker_state.failed_jobs.clear()
        step = task.step
        members = step.tasks if step.spec.gang else [task]
        for member in members:
            if not member.done:
                step.tasks.set_done(member)
                member.checkpoint = ''
                step.remaining -= 1
                if not step.open:
                    step.occurrence.later_milli -= step.spec.needs.cpu_milli
                if member in step.waiting:
                    step.waiting.remove(member)
        if step.remaining == 0:
            self._open_steps.pop(step.name, None)
            step.job.open_steps.pop(step, None)
            step.job.ready_steps.extend(step.occurrence.note_done(step))
            self._open_ready_steps(step.job, self._clock.now_ms())
            self._complete_if_done(step.job)
        # A done task needs no further run.
        for member in members:
            if member.run is not None and not step.spec.gang:
                self.stop(member.run, 'its task is done')
            step.tasks.drop_if_over(member)
        self._end_occurrence_if_over(step)

    def _record_failure(self, worker_state, task, number):
        job = task.step.job
        worker_state.failures += 1
        worker_state.failed_jobs.add(job.job_id)
        if (
            worker_state.failures >= FAILURES_TO_AVOID
            and len(worker_state.failed_jobs) >= FAILED_JOBS_TO_AVOID
        ):
            worker_state.avoid_until_ms = (
                self._clock.now_ms() + FAILING_BACKOFF_MS
            )
            log.emit(
                catalogue.WORKER_AVOIDED,
                worker=worker_state.worker.worker_id,
                failures=worker_state.failures,
                jobs=len(worker_state.failed_jobs),
            )
        if task.done or job.ended or number in task.failed_runs:
            return
        task.failed_runs.append(number)
        self._fail_if_exhausted(task)

    def _fail_if_exhausted(self, task):
        """Fail the job of a task that has failed as often as it may.

        The limit is not known while the configuration lacks the queue, so it
        is also checked when the queue or stored failures become known.
        """
        job = task.step.job
        if job.ended or job.queue is None or not task.failed_runs:
            return
        if len(task.failed_runs) >= job.queue.attempts:
            log.emit(
                catalogue.JOB_FAILED,
                job_id=job.job_id,
                task=task.name,
                failures=len(task.failed_runs),
                runs=task.failed_runs,
                attempts=job.queue.attempts,
            )
            self._end_job(job, records.State.FAILED)

    def _fail_exhausted(self, job):
        for occurrence in list(job.occurrences.values()):
            for step in occurrence.steps:
                for task in step.tasks.known():
                    self._fail_if_exhausted(task)
                    self._give_up_if_guilty(task)

    def _give_up_if_guilty(self, task):
        """Fail the job of a task that certainly crashes its workers.

        A job with tasks that last goes on: its tasks on other workers would
        end with it, more of them than may be away.
        """
        job = task.step.job
        if job.ended or task.done or not crashes.is_contested(task):
            return
        if job.lasts:
            log.emit(
                catalogue.TASK_PAUSED,
                job_id=job.job_id,
                task=task.name,
                crashes=task.crashes.count,
                alone=task.crashes.alone,
                pause_ms=crashes.GUILTY_PAUSE_MS,
                evidence=crash_evidence.describe(task.crashes.evidence),
            )
            return
        if not crashes.is_guilty(task):
            log.emit(
                catalogue.TASK_CONTESTED,
                job_id=job.job_id,
                task=task.name,
                crashes=task.crashes.count,
                alone=task.crashes.alone,
                pause_ms=crashes.GUILTY_PAUSE_MS,
                least_up_ms=crashes.least_up_ms(task),
                evidence=crash_evidence.describe(task.crashes.evidence),
            )
            return
        for row in task.crashes.evidence:
            self._crashed_hosts.excuse(row.host_id)
        log.emit(
            catalogue.TASK_GIVEN_UP,
            job_id=job.job_id,
            task=task.name,
            crashes=task.crashes.count,
            alone=task.crashes.alone,
            runs=task.crashes.runs,
            evidence=crash_evidence.describe(task.crashes.evidence),
        )
        self._end_job(job, records.State.FAILED)


def _large_part(size):
    return size if size > large_jobs.LARGE_BYTES else 0


def _restore(occurrence, job):
    """Apply the stored progress of a JobState to an occurrence."""
    stored = job.stored
    for step in occurrence.steps:
        mask = stored.done.get(f'{occurrence.number}.{step.number}', 0)
        step.remaining -= step.tasks.restore_done(mask)
    for key in job.stored_keys(occurrence.number):
        task = _find_stored(occurrence, key)
        if task is not None and not task.done:
            task.failed_runs = list(stored.failures.get(key, ()))
            task.checkpoint = stored.checkpoints.get(key, '')
            task.placement = stored.placements.get(key)
            task.crashes = stored.crashes.get(key, records.NO_CRASHES)


def _find_stored(occurrence, key):
    """Return the TaskState of a key of the stored progress, or None."""
    number, step_number, index = map(int, key.split('.'))
    # Other spellings of a number name no task.
    if key != f'{number}.{step_number}.{index}':
        return None
    if step_number >= len(occurrence.steps):
        return None
    tasks = occurrence.steps[step_number].tasks
    return tasks[index] if index < len(tasks) else None

"""Ends of jobs and of their tasks."""

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records
from figtray.scheduling import crash_evidence
from figtray.scheduling import crashes
from figtray.scheduling import openings

# A worker is avoided for a while after this many failed runs in a row, if they
# belong to at least this many jobs.
FAILURES_TO_AVOID = 4
FAILED_JOBS_TO_AVOID = 2
FAILING_BACKOFF_MS = 4000


class JobEnds(openings.Openings):
    """Completes or fails jobs as their tasks are done, fail or crash."""

    def _end_if_over(self, job):
        """Complete or fail a job whose occurrences were opened, if due.

        The cost grows with the number of its occurrences.
        """
        self._complete_if_done(job)
        self._fail_exhausted(job)

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

"""What runs teach about the next ones, and what jobs are expected to take."""

import msgspec

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records
from figtray.scheduling import scheduler_base
from figtray.workload import run_times


class Lessons(scheduler_base.SchedulerBase):
    """Feeds the RunTimes with finished runs, and applies them to jobs."""

    def _expect_times(self, job):
        """Set what an added job is expected to take, and when it is due."""
        spec = job.spec
        self._run_times.pass_time(self._clock.now_ms())
        job.times = list(
            self._run_times.of_steps(spec.queue, spec.team, spec.steps)
        )
        job.remaining = run_times.remaining(spec.steps, job.times)
        self._set_due(job)

    def _set_due(self, job):
        stretch = job.queue.stretch if job.queue else 1
        slack_ms = job.queue.slack_ms if job.queue else 0
        chains = run_times.remaining(job.spec.steps, job.times)
        longest_ms = max(chain.typical_ms for chain in chains)
        job.due_ms = job.arrived_ms + int(stretch * longest_ms + slack_ms)

    def _learn_run(self, run, now_ms):
        """Learn from a run that is done; call it before _detach().

        Once all tasks of the step have been counted, its longest run time is
        learned as well.
        """
        step = run.task.step
        if run.task.done or not _circumstances(run).teaches:
            return
        members = step.tasks if step.spec.gang else [run.task]
        sent = [t.run.sent_ms for t in members if t.run is not None]
        if None in sent:
            return
        ran_ms = max(1, now_ms - max(sent))
        step.sound_runs += len(members)
        step.longest_ran_ms = max(step.longest_ran_ms, ran_ms)
        step.far_runs += any(_is_far(t) for t in members)
        if len(members) == 1 < step.spec.count:
            self._observe(step, 1, ran_ms, _is_far(run.task), now_ms)
        if step.sound_runs >= step.spec.count:
            self._learn_step(step, now_ms)

    def _learn_step(self, step, now_ms):
        job, ran_ms = step.job, step.longest_ran_ms
        self._observe(step, step.spec.count, ran_ms, step.far_runs, now_ms)
        if not step.spec.estimate_ms:
            return
        if self._metrics is not None:
            expected_ms = job.times[step.number].typical_ms
            self._metrics.record_run_time_ratio(
                job.spec.queue, 100 * ran_ms / expected_ms
            )
        if not job.spec.repeats and not step.far_runs:
            # The objective depends on the real work.
            job.times[step.number] = run_times.measured(ran_ms)
            self._set_due(job)

    def _observe(self, step, count, ran_ms, is_far, now_ms):
        """Teach the RunTimes the longest run time of some tasks."""
        spec, estimate_ms = step.job.spec, step.spec.estimate_ms
        self._run_times.observe(
            run_times.kind_of(
                spec.queue, spec.team, estimate_ms, count, not is_far
            ),
            estimate_ms,
            ran_ms,
            now_ms,
            count / step.spec.count,
        )

    def load_run_times(self, record):
        """Take over the run_times.StoredRunTimes of the last leader."""
        with self.lock:
            self._run_times.load(record, self._clock.now_ms())
            self._log_run_times('read', record)

    def store_run_times(self):
        """Queue a write of the run times if they have changed by much."""
        with self.lock:
            record = self._run_times.to_store(self._clock.now_ms())
            if record is None:
                return
            self._log_run_times('stored', record)
        self._writer.enqueue(
            records.RUN_TIMES_KEY, lambda: msgspec.json.encode(record)
        )

    def _log_run_times(self, how, record):
        log.emit(
            catalogue.RUN_TIMES_LEARNED,
            how=how,
            kinds=len(record.kinds),
            percents=run_times.describe(record),
        )


def _circumstances(run):
    """Return the run_times.Circumstances of a run that is done."""
    task, worker_state = run.task, run.worker_state
    return run_times.Circumstances(
        lasting=task.step.spec.lasting,
        filling=task.step.spec.fills,
        adopted=run.adopted or run.handed_over or run.sent_ms is None,
        resumed=run.resumed,
        suspect=bool(task.failed_runs) or task.crashes != records.NO_CRASHES,
        bad_worker=(
            max(worker_state.avoid_until_ms, worker_state.answered_again_ms)
            > run.ordered_ms
            or worker_state.trial is not None
        ),
    )


def _is_far(task):
    """Return whether the run of a task is away from the rack of its data."""
    step, rack = task.step, task.step.spec.data_rack
    if task.run is None:
        return False
    if rack and task.run.worker_state.worker.rack != rack:
        return True
    return step.spec.same_rack and any(
        other.run is not None
        and other.run.worker_state.worker.rack
        != task.run.worker_state.worker.rack
        for other in step.tasks.known()
    )

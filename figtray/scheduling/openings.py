"""Opening of the occurrences and steps of jobs."""

from figtray.jobs import records
from figtray.jobs import room
from figtray.scheduling import lessons
from figtray.scheduling import state
from figtray.scheduling import trial_limits

# Most steps in the open occurrences of a job; one occurrence may have more.
MAX_OPEN_STEPS = room.MAX_OPEN_STEPS
# Most open steps of a job with waiting tasks, as each plan looks at them.
MAX_WAITING_STEPS = 64
# Longest time between two looks for room for further occurrences.
FULL_RETRY_MS = 1000


class Openings(lessons.Lessons):
    """Opens the occurrences of jobs, and their steps as they get ready."""

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

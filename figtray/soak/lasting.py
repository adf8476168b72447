"""Lasting jobs of the soak: their callers, runs and the promise to run."""

import collections

from figtray.fleet import messages
from figtray.jobs import model
from figtray.platform import standin_config
from figtray.soak import callers
from figtray.soak import capacities
from figtray.soak import crash_loops
from figtray.soak import deadly

TEAM = standin_config.Team('lasting', 'lasting-key', 8000)
TASK_MILLI = 100
MAX_JOBS = 3
# Of each round of a caller that has MAX_JOBS jobs; a round takes 0.2 s.
CANCEL_PROBABILITY = 0.02
# A run fails after a random time with this mean.
MEAN_FAILURE_MS = 20_000
# A task that has room must not be without a run for this time.
WAIT_BOUND_MS = 3000
# The wait of a task counts from this time after its last run, in which the
# lease of a run whose worker is cut off expires.
RESTART_GRACE_MS = 6000
# The promise holds after this time without a fault: WAIT_BOUND_MS and the
# 4 s before.
CALM_MS = WAIT_BOUND_MS + 4000
MAX_TEAM_SHARE = 0.5


class LastingCaller(callers.Caller):
    """Caller of a few lasting jobs, some of which it cancels."""

    key = TEAM.key

    def _submit(self):
        if len(self._unfinished_jobs) < MAX_JOBS:
            self._submit_job(_make_steps)
        elif self._rng.random() < CANCEL_PROBABILITY:
            self._cancel(self._rng.choice(self._unfinished_jobs))


def _make_steps(rng):
    """Return the steps of a random lasting job as a caller submits them."""
    step = {**callers.STEP, 'cpu': TASK_MILLI, 'count': rng.randint(2, 5)}
    step['long_running'] = True
    if rng.random() < 0.5:
        step['max_per_server'] = rng.randint(2, 3)
    return [step]


def choose_end(rng, run_ms, jobs, task):
    """Return how long a run takes in milliseconds, and how it ends.

    That is an EndReason, or None if it crashes its worker.

    Args:
        rng: random.Random to use.
        run_ms: (shortest, longest) time of runs of jobs that neither last nor
            are slow.
        jobs: mapping of job id to observations.Job.
        task: name of the task; if it lasts, its runs may only fail.
    """
    job = jobs.get(model.parse_task_id(task).job_id)
    if job is not None and job.lasting:
        delay_ms = rng.expovariate(1 / MEAN_FAILURE_MS)
        return delay_ms, messages.EndReason.FAILED
    if job is not None and job.deadly:
        return rng.uniform(*deadly.CRASH_DELAY_MS), None
    if job is not None and job.slow:
        run_ms = crash_loops.SLOW_RUN_MS
    return rng.uniform(*run_ms), messages.EndReason.DONE


class WaitingTasks:
    """Finds lasting tasks that do not run although there is room for them.

    Args:
        jobs: mapping of job id to observations.Job.
        running_by_task: mapping of task name to its runs by incarnation.
    """

    def __init__(self, jobs, running_by_task):
        self._jobs = jobs
        self._running_by_task = running_by_task
        self._last_end_ms = {}
        # By task, the first of the latest checks in a row that all found
        # room for it but no run of it.
        self._idle_since_ms = {}
        self._reported = set()

    def record_end(self, task, now_ms):
        """Record the end of a run of a task."""
        self._last_end_ms[task] = now_ms

    def check(self, now_ms, workers, calm):
        """Return the tasks that have newly waited for longer than allowed.

        Args:
            now_ms: time since the start of the soak in milliseconds.
            workers: fleet Workers on which tasks may be started.
            calm: whether there was no fault in the last CALM_MS.
        """
        idle_since_ms, overdue = {}, []
        has_room = self._make_room_check(workers)
        for task, job in self._waiting():
            if not has_room(task, job):
                continue
            idle_ms = self._idle_since_ms.get(task, now_ms)
            idle_since_ms[task] = idle_ms
            wait_ms = now_ms - max(idle_ms, self._counts_from_ms(task, job))
            if calm and wait_ms >= WAIT_BOUND_MS:
                overdue.append(task)
        added = [task for task in overdue if task not in self._reported]
        self._idle_since_ms = idle_since_ms
        self._reported = (self._reported & set(idle_since_ms)) | set(overdue)
        return added

    def all_run(self):
        """Return whether all tasks that should run do."""
        return not any(self._waiting())

    def not_restarted(self, now_ms):
        """Return the tasks that wait too long, with or without room."""
        return [
            task
            for task, job in self._waiting()
            if now_ms - self._counts_from_ms(task, job) >= WAIT_BOUND_MS
        ]

    def _counts_from_ms(self, task, job):
        if task in self._last_end_ms:
            return self._last_end_ms[task] + RESTART_GRACE_MS
        return job.accepted_ms

    def _waiting(self):
        """Yield (task, Job) of accepted jobs that nobody tried to cancel."""
        for job_id, job in self._jobs.items():
            if not (job.lasting and job.is_owed):
                continue
            for number, step in enumerate(job.steps):
                for index in range(step['count']):
                    task = str(model.TaskId(job_id, 0, number, index))
                    if not self._running_by_task.get(task):
                        yield task, job

    def _make_room_check(self, workers):
        """Return a function that tells whether a task has room.

        There is room if the team is under MAX_TEAM_SHARE of its limit and a
        worker has free resources, and too few tasks of the step.

        Args:
            workers: fleet Workers on which tasks may be started.
        """
        team_milli = 0
        used = collections.defaultdict(model.Resources)
        step_counts = collections.Counter()
        for task, runs in self._running_by_task.items():
            task_id = model.parse_task_id(task)
            job = self._jobs.get(task_id.job_id)
            for incarnation in runs if job else ():
                needs = capacities.needs_of(job.steps[task_id.step])
                team_milli += job.lasting * needs.cpu_milli
                used[incarnation] += needs
                step_counts[incarnation, task_id.job_id, task_id.step] += 1

        def has_room(task, job):
            task_id = model.parse_task_id(task)
            step = job.steps[task_id.step]
            max_count = step.get('max_per_server') or step['count']
            for worker in workers:
                key = worker.incarnation, task_id.job_id, task_id.step
                needs = used[worker.incarnation] + capacities.needs_of(step)
                if worker.capacity.covers(needs):
                    if step_counts[key] < max_count:
                        return team_milli < TEAM.limit_milli * MAX_TEAM_SHARE
            return False

        return has_room

"""Trials of tasks that may crash their workers."""

import dataclasses

from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import crashes
from figtray.scheduling import placement
from figtray.scheduling import run_ages
from figtray.scheduling import tasks
from figtray.scheduling import trial_limits
from figtray.scheduling import trial_waits

# Shares of the workers of a pool that may hold trials at a time: the first
# one if the next trial is on a worker with runs, the second if it has none.
BUSY_SHARE = 0.34
IDLE_SHARE = 0.75
# Least age of the other runs on a worker as a trial starts there. A younger
# one may still crash it, and the task on trial would be blamed.
QUIET_MS = run_ages.SETTLED_MS
# Longest time for which a task on trial awaits that its worker has no other
# runs that end.
EMPTY_WAIT_MS = 300
TRIAL_RETRY_MS = trial_waits.TRIAL_RETRY_MS
# Time after which a task that awaits a trial gets the next worker for one,
# before the tasks of queues that otherwise go first.
MAX_TURN_WAIT_MS = 2000


@dataclasses.dataclass(frozen=True)
class Trial:
    """Trial of a task; nothing else starts on its worker meanwhile.

    Attributes:
        task: the TaskState.
    """

    task: tasks.TaskState


class Trials(trial_waits.TrialWaits):
    """Chooses the workers of tasks on trial, and keeps others away."""

    def _release_trials(self, pools):
        """Free the workers whose trials will not go on, or keep others.

        Args:
            pools: mapping of pool to its candidate WorkerStates.
        """
        now_ms = self._clock.now_ms()
        self._held_pools = self._pools_held_by_trials(pools, now_ms)
        for worker_state in self._worker_states.values():
            if worker_state.trial is None:
                continue
            task = worker_state.trial.task
            is_held = worker_state.worker.pool in self._held_pools
            if task.run is not None and task.run.worker_state is worker_state:
                if _is_one_of_several(task.run) or (
                    is_held and _is_long(task.run, now_ms)
                ):
                    _end_untried(worker_state)
                continue
            if (
                task.run is not None
                or (is_held and not task.step.spec.lasting)
                or task not in task.step.waiting
                or worker_state.worker.draining
                or not placement.is_usable(worker_state, now_ms)
            ):
                worker_state.trial = None

    def _keep_workers_for_overdue(self, pools, now_ms):
        """Keep workers free for the tasks that have awaited a trial for long.

        The lasting ones come first, then the oldest.

        Args:
            pools: mapping of pool to its candidate WorkerStates.
            now_ms: local time.
        """
        # Those tasks start without a trial, so no further one begins first.
        full_pools = set(self._held_pools)
        for task in sorted(
            self._overdue_suspects(now_ms),
            key=lambda task: (
                not task.step.spec.lasting,
                -trial_limits.waited_ms(task, now_ms),
            ),
        ):
            pool = task.step.job.queue.pool
            worker_states = pools.get(pool, ())
            if pool in full_pools or self._find_reserved(task, worker_states):
                continue
            if self._reserve(
                task, worker_states, now_ms
            ) is None and _trial_count(worker_states) >= _most_trials(
                worker_states, BUSY_SHARE
            ):
                full_pools.add(pool)

    def _overdue_suspects(self, now_ms):
        """Return the single tasks that have awaited a trial for long."""
        return [
            task
            for step in self._open_steps.values()
            if step.job.queue is not None
            and not step.spec.gang
            and step.waiting.is_first(crashes.is_suspect)
            # The planner puts the suspects of a step first.
            for task in step.waiting.suspects(crashes.is_suspect)
            if trial_limits.waited_ms(task, now_ms) >= MAX_TURN_WAIT_MS
            and not crashes.is_paused(task, now_ms)
            and trial_limits.is_trial_needed(task, now_ms)
            and self._quota.allows(
                self._cfg.teams.get(step.job.spec.team), step.spec.needs
            )
        ]

    def _trial_worker(self, task, worker_states, now_ms):
        """Return the WorkerState on which a task can be tried now, or None.

        A worker is kept free of other starts for it until it is quiet.
        """
        worker_state = self._find_reserved(task, worker_states)
        if worker_state is not None and not placement.has_room(
            task.step, worker_state, now_ms
        ):
            # Its runs may never end, and another may have room by now.
            worker_state.trial = None
            worker_state = None
        if worker_state is None:
            worker_state = self._reserve(task, worker_states, now_ms)
        if worker_state is None:
            return None
        if not placement.has_room(task.step, worker_state, now_ms):
            return None
        if not _is_quiet(worker_state, task, now_ms):
            return None
        return worker_state

    def _find_reserved(self, task, worker_states):
        """Return the WorkerState that is kept free for a task, or None."""
        for worker_state in worker_states:
            trial = worker_state.trial
            if trial is not None and trial.task is task:
                return worker_state
        return None

    def _release_reserved(self, task, worker_states):
        """Free the worker that is kept free for a task, if there is one."""
        worker_state = self._find_reserved(task, worker_states)
        if worker_state is not None:
            worker_state.trial = None

    def _reserve(self, task, worker_states, now_ms):
        """Keep a worker free for a task.

        That is one with room for it, if there is one, and with few runs.

        Returns:
            Its WorkerState; None if no worker suits or too many hold trials.
        """
        if (
            task.step.job.queue.pool in self._held_pools
            and not task.step.spec.lasting
        ):
            return None
        best = min(
            (
                worker_state
                for worker_state in worker_states
                if worker_state.trial is None
                and placement.suits(task.step, worker_state, now_ms)
                and crashes.may_start_on(task, worker_state, now_ms)
                and self._is_approved(task.step, worker_state)
            ),
            key=lambda worker_state: (
                not placement.has_room(task.step, worker_state, now_ms),
                *_run_counts(worker_state),
            ),
            default=None,
        )
        if best is None:
            return None
        share = BUSY_SHARE if best.runs else IDLE_SHARE
        if _trial_count(worker_states) >= _most_trials(worker_states, share):
            return None
        best.trial = Trial(task)
        return best

    def _is_approved(self, step, worker_state):
        """Return whether the adviser lets a step use a worker."""
        if step.job.queue.advice is None:
            return True
        return step.advice is not None and bool(
            step.advice.ticket(worker_state, self._clock.now_ms())
        )

    def _log_trial(self, run):
        """Log that a run on trial is about to start."""
        log.emit(
            catalogue.TRIAL_STARTED,
            task=run.task.name,
            run=run.number,
            worker=run.worker_state.worker.worker_id,
            crashes=run.task.crashes.count,
            others=len(run.worker_state.runs) - 1,
        )


def most_suspected(tasks, now_ms):
    """Return the task with the most crashes of those that need a trial.

    Args:
        tasks: the TaskStates.
        now_ms: local time.

    Returns:
        A TaskState; None if none of them needs a trial.
    """
    return max(
        (task for task in tasks if trial_limits.is_trial_needed(task, now_ms)),
        key=lambda task: task.crashes.count,
        default=None,
    )


def _trial_count(worker_states):
    return sum(1 for w in worker_states if w.trial is not None)


def _most_trials(worker_states, share):
    """Return how many workers of a pool may hold trials at a time.

    One is left for other starts, unless it is the only one.
    """
    count = len(worker_states)
    return max(1, min(share * count, count - 1))


def _is_long(run, now_ms):
    """Return whether a trial has gone on for long enough if others wait.

    One that an earlier leader began has gone on for an unknown time before.
    """
    trial_ms = (
        run_ages.SETTLED_MS if run.adopted else trial_limits.LONG_TRIAL_MS
    )
    return run_ages.has_gone_on(run, trial_ms, now_ms)


def _is_one_of_several(run):
    """Return whether an earlier leader started several suspects together.

    Then none of them was on trial.
    """
    return run.adopted and any(
        other is not run
        and other.adopted
        and trial_limits.is_tried_each_time(other.task)
        for other in run.worker_state.runs.values()
    )


def _end_untried(worker_state):
    """End a trial before it shows whether a task crashes its worker."""
    worker_state.trial = None
    for run in worker_state.runs.values():
        if trial_limits.is_trial_preferred(run.task):
            run.untried = True


def _is_quiet(worker_state, task, now_ms):
    """Return whether a worker can be used for a trial now.

    Its runs would be lost with it, so those that end soon are awaited for a
    while.
    """
    awaits_ends = now_ms - task.ready_ms < EMPTY_WAIT_MS
    return all(
        run_ages.has_gone_on(run, QUIET_MS, now_ms)
        and (run.task.step.spec.lasting or not awaits_ends)
        for run in worker_state.runs.values()
    )


def _run_counts(worker_state):
    """Return the numbers of lasting runs and of all runs on a worker."""
    lasting = sum(
        1 for run in worker_state.runs.values() if run.task.step.spec.lasting
    )
    return lasting, len(worker_state.runs)

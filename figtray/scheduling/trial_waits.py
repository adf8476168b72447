"""Waits of tasks for their trials, and for those of others."""

import itertools

from figtray.jobs import model
from figtray.scheduling import adoption
from figtray.scheduling import crashes
from figtray.scheduling import placement
from figtray.scheduling import trial_limits

# Longest time between two plans while suspects wait.
TRIAL_RETRY_MS = 100


class TrialWaits(adoption.Adoption):
    """Bounds the waits for trials."""

    # Pools in which tasks wait only for the trials of others; no trial begins.
    _held_pools = frozenset()
    # Local time of the last plan.
    _planned_ms = 0

    def _stop_waits_without_room(self, pools, now_ms):
        """Take the time without room from the waits for required trials.

        A worker that rests counts as room, so that the waits for its rest and
        for trials don't add up.

        Args:
            pools: mapping of pool to its candidate WorkerStates.
            now_ms: local time.
        """
        passed_ms = now_ms - self._planned_ms
        self._planned_ms = now_ms
        for step in self._open_steps.values():
            if not step.waiting.is_first(crashes.is_suspect):
                continue
            tasks = [
                task
                # The planner puts the suspects of a step first.
                for task in step.waiting.suspects(crashes.is_suspect)
                if trial_limits.is_trial_preferred(task)
            ]
            if not tasks or step.job.queue is None:
                continue
            worker_states = pools.get(step.job.queue.pool, ())
            if any(
                not w.cordon_reason
                and placement.has_room_after_rest(step, w, now_ms)
                for w in worker_states
            ):
                continue
            for task in tasks:
                task.trial_wait_offset_ms -= min(
                    passed_ms, now_ms - task.ready_ms
                )

    def _pools_held_by_trials(self, pools, now_ms):
        """Return the pools in which tasks wait only for others' trials.

        Args:
            pools: mapping of pool to its candidate WorkerStates.
            now_ms: local time.
        """
        if not self._is_trial_awaited():
            return frozenset()
        waiting = [
            step
            for step in self._open_steps.values()
            if step.waiting and step.job.queue is not None
        ]
        suspected = {
            step.job.queue.pool
            for step in waiting
            if step.waiting.is_first(crashes.is_suspect)
        }
        # In the other pools, nobody has a trial or may begin one.
        free = {
            pool: _is_mostly_free(worker_states)
            for pool, worker_states in pools.items()
            if pool in suspected
            or any(w.trial is not None for w in worker_states)
        }
        return {
            pool
            for step in waiting
            if (pool := step.job.queue.pool) in free
            and self._is_held_by_trials(step, pools[pool], free[pool], now_ms)
        }

    def _is_held_by_trials(self, step, worker_states, is_free, now_ms):
        """Return whether tasks of a step wait only for others' trials.

        Args:
            step: the StepState.
            worker_states: the WorkerStates of its pool.
            is_free: whether most of the pool is free.
            now_ms: local time.
        """
        suspects = list(step.waiting.suspects(crashes.is_suspect))
        if step.spec.lasting:
            return any(
                trial_limits.is_held_by_trials(t, now_ms) for t in suspects
            )
        # The oldest of the others follows the suspects.
        count = len(suspects) + is_free
        # What can start elsewhere has done so by now.
        return any(
            trial_limits.is_held_by_trials(task, now_ms - TRIAL_RETRY_MS)
            and self._has_worker_for(task, worker_states, now_ms)
            for task in itertools.islice(step.waiting, count)
        ) and self._quota.allows(
            self._cfg.teams.get(step.job.spec.team), step.spec.needs
        )

    def _has_worker_for(self, task, worker_states, now_ms):
        """Return whether a worker has room for a task, trials left aside."""
        return any(
            placement.has_room(task.step, worker_state, now_ms)
            and crashes.may_start_on(task, worker_state, now_ms)
            and self._is_approved(task.step, worker_state)
            for worker_state in worker_states
        )

    def _is_trial_awaited(self):
        """Return whether tasks wait for a trial or its end."""
        # The planner puts the suspects of a step first.
        return any(
            step.waiting.is_first(crashes.is_suspect)
            for step in self._open_steps.values()
        ) or (
            any(step.waiting for step in self._open_steps.values())
            and any(
                worker_state.trial is not None
                for worker_state in self._worker_states.values()
            )
        )

    def _is_approved(self, step, worker_state):
        """Return whether the adviser lets a step use a worker."""
        if step.job.queue.advice is None:
            return True
        return step.advice is not None and bool(
            step.advice.ticket(worker_state.worker.worker_id)
        )


def _is_mostly_free(worker_states):
    """Return whether under half of the capacity of a pool is in use."""
    used = capacity = model.NO_RESOURCES
    for worker_state in worker_states:
        used += worker_state.used
        capacity += worker_state.worker.capacity
    return capacity.covers(used.times(2))

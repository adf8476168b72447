"""Planner, which chooses the tasks to start and their workers."""

import enum

from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import crashes
from figtray.scheduling import placement
from figtray.scheduling import starts
from figtray.scheduling import state
from figtray.scheduling import trials
from figtray.scheduling import worker_orders

# Planning is suspended while the term or the configuration may be outdated.
SUSPENDED_RETRY_MS = 50
# Longest time between two plans while workers of earlier terms are awaited.
ADOPTION_RETRY_MS = 100
# Estimates are rough: a job counts as late only if it would miss its due time
# even if its critical path took only this part of the estimated time.
ESTIMATE_OPTIMISM = 0.8
# A result is of little use after the job's objective, and of none after this
# multiple of it.
TOO_LATE_FACTOR = 3


class Lateness(enum.IntEnum):
    """Expected lateness of a job; steps of less late jobs start first."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Planner(starts.Starts):
    """Chooses the tasks to start and their workers."""

    def plan(self):
        """Start all tasks that can start now.

        Returns:
            Local time in milliseconds by which to plan again.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            next_ms = now_ms + 1000
            if (
                self._cfg is None
                or not self._term.valid()
                or not self._is_config_fresh()
            ):
                return now_ms + SUSPENDED_RETRY_MS
            for job_id in list(self._timed_jobs):
                with self._failure_log.skip_on_error(f'job {job_id}'):
                    start_ms = self._open_due_occurrences(
                        self._jobs[job_id], now_ms
                    )
                    if start_ms is not None:
                        next_ms = min(next_ms, start_ms)
            pools = self._candidates_by_pool()
            self._stop_waits_without_room(pools, now_ms)
            self._release_trials(pools)
            if self._is_adopting(now_ms):
                next_ms = min(next_ms, now_ms + ADOPTION_RETRY_MS)
                with self._hold_uncertain_tasks():
                    self._start_steps(pools, now_ms)
            else:
                self._start_steps(pools, now_ms)
            self._release_trials(pools)
            if self._is_trial_awaited():
                next_ms = min(next_ms, now_ms + trials.TRIAL_RETRY_MS)
            return min(
                [next_ms]
                + [
                    worker_state.avoid_until_ms
                    for worker_state in self._worker_states.values()
                    if worker_state.avoid_until_ms > now_ms
                ]
            )

    def _start_steps(self, pools, now_ms):
        """Start what can start of all steps, most urgent first."""
        self._keep_workers_for_overdue(pools, now_ms)
        for step in self._steps_by_urgency(now_ms):
            worker_states = pools.get(step.job.queue.pool)
            if not worker_states:
                step.held_reason = state.HeldReason.NO_WORKERS
                continue
            try:
                step.held_reason = self._start_step(
                    step, worker_states, now_ms
                )
            except Exception as exc:
                self._failure_log.note(f'step {step.name}', exc)
                self._restore_waiting(step, now_ms)

    def _restore_waiting(self, step, now_ms):
        """Let the tasks wait that a failed start took out of the queue."""
        for task in step.tasks:
            if not task.done and task.run is None and task not in step.waiting:
                step.waiting.append(task)
        if self._is_adopting(now_ms):
            # They are held, and return to the queue after this plan.
            self._take_uncertain_tasks(step, now_ms)

    def _candidates_by_pool(self):
        """Return the candidate WorkerStates of each pool.

        placement.fits() decides for each step which of them can be used.
        """
        pools = {}
        for worker_state in self._worker_states.values():
            worker = worker_state.worker
            if (
                worker_state.has_reported
                and worker_state.on_roster
                and worker_state.listed
                and not worker_state.gone
                and not worker.draining
                and worker.zone not in self._evacuated_zones
            ):
                pools.setdefault(worker.pool, []).append(worker_state)
        return pools

    def _steps_by_urgency(self, now_ms):
        """Return the open steps with waiting tasks, most urgent first."""
        ranked = []
        for step in self._open_steps.values():
            if step.waiting and step.job.queue is not None:
                with self._failure_log.skip_on_error(f'step {step.name}'):
                    ranked.append((self._urgency(step, now_ms), step))
        return [step for _, step in sorted(ranked, key=lambda item: item[0])]

    def _urgency(self, step, now_ms):
        job = step.job
        return (
            job.queue.priority,
            not step.spec.lasting,
            job.over_rate and not step.spec.lasting,
            self._lateness(step, now_ms),
            job.due_ms,
            job.created,
        )

    def _lateness(self, step, now_ms):
        """Return the Lateness of a step's job if the step starts now.

        Jobs that can still be on time go first. If the earliest due time
        always went first, a backlog of late jobs would make all later jobs
        late as well.
        """
        job = step.job
        if step.spec.lasting:
            return Lateness.ON_TIME
        remaining_ms = (
            step.critical_path_ms
            * self._work_meter.estimate_factor(job.spec.queue)
        )
        ends_ms = now_ms + ESTIMATE_OPTIMISM * remaining_ms
        if ends_ms <= job.due_ms:
            return Lateness.ON_TIME
        objective_ms = job.due_ms - job.arrived_ms
        if ends_ms <= job.arrived_ms + TOO_LATE_FACTOR * objective_ms:
            return Lateness.LATE
        return Lateness.TOO_LATE

    def _start_step(self, step, worker_states, now_ms):
        """Start as many waiting tasks of a step as can start now.

        Returns:
            The HeldReason of the tasks that still wait, or None.
        """
        job = step.job
        team = self._cfg.teams.get(job.spec.team)
        if step.spec.gang:
            reason = self._start_gang(step, worker_states, team, now_ms)
            if reason is None:
                _note_started(step.tasks)
            return reason
        suspects = [t for t in step.waiting if crashes.is_suspect(t)]
        for task in suspects:
            step.waiting.remove(task)
        reason = self._start_each(step, worker_states, team, now_ms)
        left = [
            task
            for task in suspects
            if not self._start_suspect(task, worker_states, team, now_ms)
        ]
        step.waiting.extendleft(reversed(left))
        return state.HeldReason.TRIAL if left else reason

    def _start_each(self, step, worker_states, team, now_ms):
        """Start as many waiting tasks as can start; see _start_step()."""
        while step.waiting:
            if not self._quota.allows(team, step.spec.needs):
                return state.HeldReason.TEAM_LIMIT
            worker_state = self._choose(step, worker_states, now_ms)
            if worker_state is None:
                return state.HeldReason.NO_ROOM
            task = step.waiting.popleft()
            self._start(
                task, worker_state, self._next_run_number(task), now_ms
            )
        return None

    def _start_suspect(self, task, worker_states, team, now_ms):
        """Start a suspect if it can start; return whether it does."""
        if crashes.is_paused(task, now_ms) or not self._quota.allows(
            team, task.step.spec.needs
        ):
            self._release_reserved(task, worker_states)
            return False
        worker_state = self._worker_for_suspect(task, worker_states, now_ms)
        if worker_state is None:
            return False
        self._start(task, worker_state, self._next_run_number(task), now_ms)
        _note_started([task])
        return True

    def _worker_for_suspect(self, task, worker_states, now_ms):
        """Return the WorkerState on which a suspect can start now, or None."""
        is_needed = crashes.is_trial_needed(task, now_ms)
        if is_needed or crashes.is_trial_preferred(task):
            worker_state = self._trial_worker(task, worker_states, now_ms)
            if worker_state is not None:
                return worker_state
        if not is_needed:
            self._release_reserved(task, worker_states)
        # This also asks for advice on the workers that lack it.
        worker_state = self._choose(
            task.step,
            worker_states,
            now_ms,
            crashes.must_start_apart(task, now_ms),
        )
        return None if is_needed else worker_state

    def next_advice_request(self):
        """Return a step to ask the adviser about.

        The candidates of the step stay the same until record_advice().

        Returns:
            (StepState, StepAdvice), or (None, None) if no step needs advice.
        """
        with self.lock:
            for step in self._open_steps.values():
                if step.advice is not None and step.advice.candidates:
                    if step.waiting:
                        step.advice.request_pending = True
                        return step, step.advice
            return None, None

    def record_advice(self, step, advice, answer, asked_ids, asked_ms):
        """Record the adviser's answer on a step, and plan again.

        Args:
            step: the StepState.
            advice: its StepAdvice.
            answer: the Advice, or None if the adviser did not answer.
            asked_ids: ids of the workers in the request.
            asked_ms: local time before the request was sent.
        """
        with self.lock:
            advice.request_pending = False
            advice.candidates = ()
            if answer is not None:
                advice.record(answer, asked_ids, asked_ms)
                log.emit(
                    catalogue.ADVICE_LEARNED,
                    step=step.name,
                    asked=len(asked_ids),
                    approved=len(answer.tickets),
                )
        self.changed.set()

    def _choose(self, step, worker_states, now_ms, apart=False):
        if step.job.queue.advice is None:
            return placement.choose(step, worker_states, now_ms, apart)
        if step.advice is None:
            step.advice = worker_orders.StepAdvice()
        return step.advice.choose(step, worker_states, now_ms, apart)


def _note_started(tasks):
    """Note whether tasks have just started without the trial they need."""
    if not any(
        crashes.run_on_trial(t.run.worker_state) is t.run for t in tasks
    ):
        for task in tasks:
            task.run.untried = crashes.is_trial_preferred(task)
    for task in tasks:
        task.trial_wait_offset_ms = 0

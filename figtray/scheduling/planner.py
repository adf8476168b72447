"""Planner, which chooses the tasks to start and their workers."""

from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import crashes
from figtray.scheduling import placement
from figtray.scheduling import starts
from figtray.scheduling import state
from figtray.scheduling import suspect_runs
from figtray.scheduling import trial_limits
from figtray.scheduling import trials
from figtray.workload import order

# Planning is suspended while the term or the configuration may be outdated.
SUSPENDED_RETRY_MS = 50
# Longest time between two plans while workers of earlier terms are awaited.
ADOPTION_RETRY_MS = 100


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
            for job_id in list(self._wide_jobs):
                self._open_ready_steps(self._jobs[job_id], now_ms)
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
            return min([next_ms, *self._ends_of_pauses(now_ms)])

    def _ends_of_pauses(self, now_ms):
        """Yield when workers and steps may be used again after refusals."""
        for worker_state in self._worker_states.values():
            for until_ms in (
                worker_state.avoid_until_ms,
                worker_state.rest_until_ms,
            ):
                if until_ms > now_ms:
                    yield until_ms
        for step in self._open_steps.values():
            if step.waiting and step.refusals is not None:
                end_ms = step.refusals.next_end_ms(now_ms)
                if end_ms is not None:
                    yield end_ms

    def _start_steps(self, pools, now_ms):
        """Start what can start of all steps, most urgent first."""
        self._keep_workers_for_overdue(pools, now_ms)
        self._steps_ahead_left = starts.MAX_STEPS_AHEAD
        for urgency, step in self._steps_by_urgency(
            now_ms, self._steps_that_fit(pools)
        ):
            worker_states = pools[step.job.queue.pool]
            waiting = len(step.waiting)
            try:
                step.held_reason = self._start_step(
                    step, worker_states, now_ms
                )
            except Exception as exc:
                self._failure_log.note(f'step {step.name}', exc)
                self._restore_waiting(step, now_ms)
            self._late_share.note_start(
                urgency,
                (waiting - len(step.waiting))
                * step.spec.needs.cpu_milli
                * step.job.times[step.number].typical_ms,
            )

    def _restore_waiting(self, step, now_ms):
        """Let the tasks wait that a failed start took out of the queue."""
        for task in step.tasks.known():
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
                pool = pools.setdefault(worker.pool, placement.Candidates())
                pool.append(worker_state)
        return pools

    def _steps_that_fit(self, pools):
        """Yield the open steps with waiting tasks that some worker can hold.

        The others cost a plan no more than this look.

        Args:
            pools: mapping of pool to its candidate WorkerStates.
        """
        largest = {
            pool: placement.largest_capacity(worker_states)
            for pool, worker_states in pools.items()
        }
        for step in self._open_steps.values():
            if not step.waiting or step.job.queue is None:
                continue
            capacity = largest.get(step.job.queue.pool)
            step.fits_nowhere = False
            if capacity is None:
                step.held_reason = state.HeldReason.NO_WORKERS
            elif _fits_nowhere(step, capacity):
                step.fits_nowhere = True
                step.held_reason = state.HeldReason.NO_ROOM
            else:
                yield step

    def _steps_by_urgency(self, now_ms, steps=None):
        """Return the steps with waiting tasks, most urgent first.

        Args:
            now_ms: local time.
            steps: the StepStates; None for all open ones.

        Returns:
            Iterator of pairs of order.Urgency and StepState.
        """
        ranked = []
        for step in self._open_steps.values() if steps is None else steps:
            if step.waiting and step.job.queue is not None:
                with self._failure_log.skip_on_error(f'step {step.name}'):
                    ranked.append((self._urgency(step, now_ms), step))
        return self._late_share.arrange(ranked)

    def _urgency(self, step, now_ms):
        job = step.job
        return order.urgency(
            order.Candidate(
                pool=job.queue.pool,
                priority=job.queue.priority,
                lasting=step.spec.lasting,
                excess_ms=job.excess_ms,
                arrived_ms=job.arrived_ms,
                due_ms=job.due_ms,
                created=job.created,
                remaining=job.remaining[step.number],
                # The planner puts the suspects of a step first.
                suspect=step.waiting.is_first(crashes.is_suspect),
            ),
            now_ms,
        )

    def _start_step(self, step, worker_states, now_ms):
        """Start as many waiting tasks of a step as can start now.

        Returns:
            The HeldReason of the tasks that still wait, or None.
        """
        job = step.job
        team = self._cfg.teams.get(job.spec.team)
        if (
            step.refusals is not None
            and now_ms < step.refusals.step_paused_until_ms
        ):
            return state.HeldReason.REFUSED
        if step.spec.gang:
            reason = self._start_gang(step, worker_states, team, now_ms)
            if reason is None:
                _note_started(step.tasks)
            return reason
        suspects = step.waiting.take(crashes.is_suspect)
        reason = self._start_each(step, worker_states, team, now_ms)
        left = [
            task
            for task in suspects
            if not self._start_suspect(task, worker_states, team, now_ms)
        ]
        step.waiting.put_first(left)
        return state.HeldReason.TRIAL if left else reason

    def _start_each(self, step, worker_states, team, now_ms):
        """Start as many waiting tasks as can start; see _start_step()."""
        while step.waiting:
            if _awaits_answer(step):
                return state.HeldReason.REFUSED
            if not self._quota.allows(team, step.spec.needs):
                return state.HeldReason.TEAM_LIMIT
            if not self._run_room.allows(step.job.spec.team):
                return state.HeldReason.LEADER_ROOM
            worker_state = self._choose(step, worker_states, now_ms)
            if worker_state is None:
                return self._hold_without_room(step, worker_states, now_ms)
            task = step.waiting.popleft()
            self._start(
                task, worker_state, self._next_run_number(task), now_ms
            )
        return None

    def _start_suspect(self, task, worker_states, team, now_ms):
        """Start a suspect if it can start; return whether it does."""
        if (
            crashes.is_paused(task, now_ms)
            or not self._quota.allows(team, task.step.spec.needs)
            or not self._run_room.allows(task.step.job.spec.team)
        ):
            self._release_reserved(task, worker_states)
            return False
        worker_state = self._worker_for_suspect(task, worker_states, now_ms)
        # The ticket of a worker may lapse while it is kept free.
        if worker_state is None or not self._is_approved(
            task.step, worker_state
        ):
            return False
        self._start(task, worker_state, self._next_run_number(task), now_ms)
        _note_started([task])
        return True

    def _worker_for_suspect(self, task, worker_states, now_ms):
        """Return the WorkerState on which a suspect can start now, or None."""
        is_needed = trial_limits.is_trial_needed(task, now_ms)
        if is_needed or trial_limits.is_trial_preferred(task):
            self._want_trial_advice(task, worker_states, now_ms)
            worker_state = self._trial_worker(task, worker_states, now_ms)
            if worker_state is not None or is_needed:
                return worker_state
        self._release_reserved(task, worker_states)
        return self._choose(
            task.step,
            crashes.proven_workers([task], worker_states, now_ms),
            now_ms,
            trial_limits.must_start_apart(task, now_ms),
        )

    def _want_trial_advice(self, task, worker_states, now_ms):
        """Let the adviser be asked about workers for a trial.

        They are kept free for it before they have room.
        """
        step = task.step
        advice = self._advice(step)
        if advice is None:
            return
        reserved = self._find_reserved(task, worker_states)
        usable = [reserved] if reserved else worker_states
        usable = [w for w in usable if placement.suits(step, w, now_ms)]
        if not advice.approved(usable, now_ms):
            advice.want(usable, now_ms)

    def next_advice_request(self):
        """Return the step that has waited longest for a call of the adviser.

        The candidates of the step stay the same until record_advice().

        Returns:
            (StepState, StepAdvice), or (None, None) if no step needs advice.
        """
        with self.lock:
            step = min(
                filter(_wants_advice, self._open_steps.values()),
                key=lambda step: step.advice.wanted_since_ms,
                default=None,
            )
            if step is None:
                return None, None
            step.advice.note_request()
            return step, step.advice

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
            if answer is None:
                advice.record_failure()
            else:
                advice.record(answer, asked_ms, self._clock.now_ms())
                log.emit(
                    catalogue.ADVICE_LEARNED,
                    step=step.name,
                    asked=len(asked_ids),
                    approved=len(answer.tickets),
                )
        self.changed.set()

    def _choose(self, step, worker_states, now_ms, apart=False):
        """Return the best worker for a task; ask for advice if needed."""
        advice = self._advice(step)
        if advice is None:
            return placement.choose(step, worker_states, now_ms, apart)
        return advice.choose(step, worker_states, now_ms, apart)

    def _hold_without_room(self, step, worker_states, now_ms):
        """Return the HeldReason of a step that no worker can start now."""
        if step.advice is not None and step.advice.is_room_unapproved:
            return state.HeldReason.ADVICE
        self._ask_ahead(step, worker_states, now_ms)
        return state.HeldReason.NO_ROOM


def _fits_nowhere(step, capacity):
    """Return whether no worker can hold a task of a step.

    Workers may be kept free for a suspect, and are given back in its turn.

    Args:
        step: the StepState.
        capacity: the largest amount of each resource of a worker.
    """
    return not (
        capacity.covers(state.occupied(step.spec))
        or step.waiting.is_first(crashes.is_suspect)
    )


def _awaits_answer(step):
    """Return whether one start shows first whether others are refused."""
    return (
        step.refusals is not None
        and step.refusals.is_step_refused
        and any(
            task.run is not None and task.run.phase == state.Phase.STARTING
            for task in step.tasks.known()
        )
    )


def _wants_advice(step):
    return (
        step.job.queue.advice is not None
        and step.advice is not None
        and bool(step.advice.candidates)
        and bool(step.waiting)
    )


def _note_started(tasks):
    """Note whether tasks have just started without the trial they need."""
    if not any(
        suspect_runs.run_on_trial(t.run.worker_state) is t.run for t in tasks
    ):
        for task in tasks:
            task.run.untried = trial_limits.is_trial_preferred(task)
    for task in tasks:
        task.trial_wait_offset_ms = 0

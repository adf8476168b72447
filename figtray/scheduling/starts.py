"""Starts of single tasks on their workers, and of gangs as a whole."""

import collections

from figtray.jobs import records
from figtray.scheduling import advice as advice_lib
from figtray.scheduling import crashes
from figtray.scheduling import placement
from figtray.scheduling import scheduler_base
from figtray.scheduling import state
from figtray.scheduling import suspect_runs
from figtray.scheduling import trials

# The adviser is asked ahead about full workers for so many steps of each plan,
# the most urgent ones, until so many workers have tickets.
MAX_STEPS_AHEAD = 4
ENOUGH_TICKETS = 10


class Starts(trials.Trials):
    """Starts tasks on the workers that the planner has chosen, and gangs."""

    # Steps of the present plan for which it may still be asked ahead.
    _steps_ahead_left = 0

    def _start_gang(self, step, worker_states, team, now_ms):
        """Start all members of a gang together, on one rack if possible.

        On a queue with advice, each worker needs a ticket before any starts.

        Returns:
            The HeldReason of the gang, or None if it starts.
        """
        if len(step.waiting) < step.spec.count:
            return state.HeldReason.GANG_INCOMPLETE
        if not self._quota.allows(
            team, step.spec.needs.times(step.spec.count)
        ):
            return state.HeldReason.TEAM_LIMIT
        if not self._run_room.allows(step.job.spec.team, step.spec.count):
            return state.HeldReason.LEADER_ROOM
        if any(crashes.is_paused(task, now_ms) for task in step.tasks.known()):
            return state.HeldReason.TRIAL
        worker_states = crashes.proven_workers(
            step.tasks.known(), worker_states, now_ms
        )
        advice = self._advice(step)
        if advice is None:
            return self._place_gang(step, worker_states, now_ms)
        return self._start_advised_gang(step, advice, worker_states, now_ms)

    def _start_advised_gang(self, step, advice, worker_states, now_ms):
        """Start a gang on approved workers, or let the adviser be asked."""
        for worker_state in worker_states:
            trial = worker_state.trial
            # Its ticket may have lapsed while the worker was kept free.
            if trial is not None and trial.task.step is step:
                if advice.ticket(worker_state, now_ms) is None:
                    worker_state.trial = None
        approved = advice.approved(worker_states, now_ms)
        reason = self._place_gang(step, approved, now_ms)
        if reason is None:
            return None
        wanted = self._gang_candidates(step, worker_states, now_ms)
        if not wanted:
            self._ask_ahead(step, worker_states, now_ms)
            return reason
        advice.want(wanted, now_ms, _gang_call_size(step))
        return state.HeldReason.ADVICE

    def _ask_ahead(self, step, worker_states, now_ms):
        """Let the adviser be asked about workers that have no room yet.

        If it were asked only once they have, less urgent tasks would take the
        room meanwhile.
        """
        advice = self._advice(step)
        if advice is None or not self._steps_ahead_left:
            return
        self._steps_ahead_left -= 1
        suitable = [
            worker_state
            for worker_state in worker_states
            if placement.suits(step, worker_state, now_ms)
        ]
        approved = advice.approved(suitable, now_ms)
        most = min(len(step.waiting), advice_lib.MAX_GANG_WORKERS)
        if len(approved) < max(ENOUGH_TICKETS, most):
            advice.want(suitable, now_ms)

    def _gang_candidates(self, step, worker_states, now_ms):
        """Return the WorkerStates that the adviser may let a gang use.

        There are none if even all of them have no room for the gang. The
        racks follow one another, as in _place_gang().
        """
        suspect = trials.most_suspected(step.tasks.known(), now_ms)
        # Workers are kept free for trials before they have room.
        can_start = placement.fits if suspect is None else placement.suits
        usable = [w for w in worker_states if can_start(step, w, now_ms)]
        if suspect is None and (
            self._assign_gang(step, usable, now_ms, None, None, False) is None
        ):
            return []
        return [w for group in placement.by_rack(step, usable) for w in group]

    def _place_gang(self, step, worker_states, now_ms):
        """Start a gang on some workers; see _start_gang()."""
        suspect = trials.most_suspected(step.tasks.known(), now_ms)
        trial_worker = None
        if suspect is not None:
            trial_worker = self._trial_worker(suspect, worker_states, now_ms)
            if trial_worker is None:
                return state.HeldReason.TRIAL
        groups = [
            (group, False)
            for group in (
                *placement.by_rack(step, worker_states),
                worker_states,
            )
        ]
        if trial_worker is not None:
            groups.append((worker_states, True))
        for group, beside in groups:
            assigned = self._assign_gang(
                step, group, now_ms, suspect, trial_worker, beside
            )
            if assigned is not None:
                self._start_members(step, assigned, now_ms)
                return None
        if trial_worker is not None:
            trial_worker.trial = None
        return state.HeldReason.NO_ROOM

    def _start_members(self, step, assigned, now_ms):
        """Start the members of a gang on the WorkerStates assigned to them.

        They get the same run number and resume from the same checkpoint.
        """
        number = max(self._next_run_number(task) for task in step.tasks)
        checkpoint = max(task.checkpoint for task in step.tasks)
        step.waiting.clear()
        for task, worker_state in zip(step.tasks, assigned):
            task.checkpoint = checkpoint
            self._start(task, worker_state, number, now_ms)

    def _assign_gang(
        self, step, worker_states, now_ms, suspect, trial_worker, beside
    ):
        """Return a WorkerState for each member of a gang.

        Args:
            step: the StepState.
            worker_states: candidate WorkerStates.
            now_ms: local time.
            suspect: the member to try on a worker of its own, or None.
            trial_worker: the WorkerState for it, or None.
            beside: whether other members may start there as well. Whichever
                of them crashes it, their job is given up.

        Returns:
            A list, or None if the workers have no room for all members.
        """
        assigned, counts = [], collections.Counter()
        if trial_worker is not None:
            counts[trial_worker.worker.incarnation] = 1
        for index in range(len(step.tasks)):
            if suspect is not None and index == suspect.index:
                assigned.append(trial_worker)
                continue
            chosen = next(
                (
                    worker_state
                    for worker_state in worker_states
                    if placement.fits_member(
                        step,
                        worker_state,
                        counts[worker_state.worker.incarnation],
                        now_ms,
                        beside and worker_state is trial_worker,
                    )
                ),
                None,
            )
            if chosen is None:
                return None
            counts[chosen.worker.incarnation] += 1
            assigned.append(chosen)
        return assigned

    def _advice(self, step):
        """Return the StepAdvice of a step; None if its queue needs none."""
        policy = step.job.queue.advice
        if policy is None:
            step.advice = None
            return None
        if step.advice is None:
            step.advice = advice_lib.StepAdvice()
        step.advice.set_policy(policy)
        return step.advice

    def _next_run_number(self, task):
        """Return the number of the next run; later terms have higher ones."""
        return (
            max(task.last_run, self._term.epoch * scheduler_base.RUNS_PER_TERM)
            + 1
        )

    def _start(self, task, worker_state, number, now_ms):
        """Create a run of a task and order its start.

        A start whose placement must be stored is ordered after the write.
        """
        step = task.step
        advice = self._advice(step)
        ticket = advice and advice.ticket(worker_state, now_ms)
        run = state.Run(task, worker_state, number, now_ms, ticket)
        run.resumed = bool(task.checkpoint)
        self._attach(run)
        if suspect_runs.run_on_trial(worker_state) is run:
            self._log_trial(run)
        if step.spec.lasting or task.crashes != records.NO_CRASHES:
            sequence = self._record_placement(run)
            self._unrecorded_runs.append((sequence, run))
        else:
            self._order_start(run)


def _gang_call_size(step):
    """Return how many workers one call of the adviser names for a gang."""
    return min(
        advice_lib.MAX_GANG_WORKERS,
        max(advice_lib.MAX_WORKERS, 2 * step.spec.count),
    )

"""Runs that a later incarnation of a worker has under the same id.

An order names the id of its worker, which a restart may keep. So an order to
an incarnation that has ended is executed by the next one.
"""

import collections
import dataclasses
import itertools

from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import job_lifecycle
from figtray.scheduling import state
from figtray.scheduling import trial_limits
from figtray.scheduling import trials
from figtray.scheduling import worker_orders
from figtray.scheduling import worker_state as worker_state_lib


class HandOver(job_lifecycle.JobLifecycle):
    """Hands runs over to later incarnations of their workers."""

    def _new_worker_state(self, worker):
        """Keep and return the WorkerState of a new incarnation.

        Its fencing token is the revision of the newest record of this term,
        so it is higher than those of incarnations that were found before. If
        nothing was stored since, it gets a higher one with the next record.
        """
        fence = self._writer.last_revision()
        worker_state = worker_state_lib.WorkerState(worker, fence)
        self._worker_states[worker.incarnation] = worker_state
        if not self._restarts.assign_fence(worker.worker_id, fence):
            worker_state.is_fence_new = False
            self._with_old_fences.append(worker_state)
        return worker_state

    def handle_written(self):
        super().handle_written()
        with self.lock:
            self._renew_fences()

    def _renew_fences(self):
        """Give higher fencing tokens to those that have none yet."""
        fence, left = self._writer.last_revision(), []
        for worker_state in self._with_old_fences:
            if worker_state.gone:
                continue
            if not self._restarts.assign_fence(
                worker_state.worker.worker_id, fence
            ):
                left.append(worker_state)
                continue
            worker_state.fence = fence
            worker_state.is_fence_new = True
            worker_state.wake.set()
        self._with_old_fences = left

    def is_refusal_own(self, worker_state, fence):
        """Return whether a fencing token of this leader explains a refusal.

        A worker that goes on may have seen that of an incarnation that an odd
        entry has named. It is its own from then on.

        Args:
            worker_state: the WorkerState that the order was for.
            fence: the fencing token of the order.
        """
        with self.lock:
            worker = worker_state.worker
            highest = self._restarts.highest_fence(worker.worker_id)
            if not worker_state.gone and highest <= fence:
                return False
            if not any(
                found.worker.worker_id == worker.worker_id
                and found.worker.born_ms > worker.born_ms
                for found in self._worker_states.values()
            ):
                worker_state.fence = max(worker_state.fence, highest)
            return True

    def _add_later(self, worker_state, born_ms):
        """Return the WorkerState of a later incarnation that has answered.

        Nothing starts there until its entry is listed.

        Args:
            worker_state: that of the incarnation that was asked.
            born_ms: start time of the incarnation that has answered.

        Returns:
            A WorkerState; None if that incarnation is an earlier one, or has
            ended as well.
        """
        worker = dataclasses.replace(
            worker_state.worker, born_ms=born_ms, draining=False
        )
        if (
            born_ms < worker_state.worker.born_ms
            or worker.incarnation in self._ended_incarnations
        ):
            return None
        for known in self._worker_states.values():
            if (known.worker.worker_id, known.worker.born_ms) == (
                worker.worker_id,
                born_ms,
            ):
                return known
        later = self._new_worker_state(worker)
        later.listed = False
        later.is_place_assumed = True
        self._without_session.append(later)
        return later

    def _raise_fence(self, worker_state, born_ms):
        """Record which fencing token another incarnation has seen.

        Args:
            worker_state: that of the incarnation that was asked.
            born_ms: start time of the incarnation that has answered.
        """
        for found in self._worker_states.values():
            worker = found.worker
            if (worker.worker_id, worker.born_ms) == (
                worker_state.worker.worker_id,
                born_ms,
            ):
                found.fence = max(found.fence, worker_state.fence)

    def _find_later(self, worker_state):
        """Return the last later incarnation that has reported, or None."""
        worker = worker_state.worker
        return max(
            (
                found
                for found in self._worker_states.values()
                if found.has_reported
                and found.worker.worker_id == worker.worker_id
                and found.worker.born_ms > worker.born_ms
            ),
            key=lambda found: found.worker.born_ms,
            default=None,
        )

    def _find_earlier(self, worker_state):
        """Return the WorkerStates of earlier incarnations under an id."""
        worker = worker_state.worker
        return [
            found
            for incarnation, found in self._worker_states.items()
            if incarnation.worker_id == worker.worker_id
            and incarnation.born_ms < worker.born_ms
        ]

    def _follows_another(self, worker_state):
        """Return whether orders for an earlier incarnation may reach it.

        Without a complete roster, any worker may have had an earlier one.
        """
        incarnation = worker_state.worker.incarnation
        now_ms = self._clock.now_ms()
        return (
            not self._is_roster_complete
            or incarnation in self._restarts.holders(now_ms)
            or self._restarts.follows_ended(incarnation, now_ms)
            or any(self._earlier_incarnations(incarnation))
        )

    def _earlier_incarnations(self, incarnation):
        """Yield the earlier incarnations under an id that may go on."""
        for found in itertools.chain(self._worker_states, self._unresolved):
            if (
                found.worker_id == incarnation.worker_id
                and found.born_ms < incarnation.born_ms
            ):
                yield found

    def _count_longest_lease(self, worker_state):
        """Count a lease that orders for an earlier one may have extended.

        None of them is executed once it has seen its own fencing token.

        Args:
            worker_state: the WorkerState of a worker that has just answered.
        """
        worker_state.extend_lease(
            worker_state.clock_ms + self._longest_worker_lease_ms
        )
        self._restarts.note_lease(
            worker_state.worker.incarnation, self._clock.now_ms()
        )

    def _note_listed_followers(self, added):
        """Count leases that later incarnations may hold, unseen.

        They are listed and have not reported, so they may run what was
        ordered of earlier ones.

        Args:
            added: the WorkerStates of new entries.
        """
        known = {*self._worker_states, *self._unresolved}
        counts = collections.Counter(found.worker_id for found in known)
        for worker_state in added:
            incarnation = worker_state.worker.incarnation
            if counts[incarnation.worker_id] == 1:
                continue
            for earlier in set(self._earlier_incarnations(incarnation)):
                # Earlier leaders gave orders until this term began.
                ordered_ms = self._term.began_ms
                if earlier not in self._unresolved:
                    ordered_ms = self._clock.now_ms()
                self._restarts.note_unseen(earlier, ordered_ms)

    def _hand_over_listed(self, earlier, later, report):
        """Hand over the runs that a later incarnation lists.

        Args:
            earlier: WorkerState of the incarnation that was to start them.
            later: WorkerState of the later one.
            report: the first Report of the later one.
        """
        listed = {
            (item.task, item.run) for item in (*report.running, *report.ended)
        }
        for run in list(earlier.runs.values()):
            if (run.task.name, run.number) in listed:
                self._hand_over(run, later, 'it is listed there')

    def _hand_over_uncertain(self, earlier, later):
        """Hand over the runs that a later incarnation may have, or get.

        Those whose starts were not confirmed are stopped there: the order
        may arrive after any report.

        Args:
            earlier: WorkerState of the incarnation that was to start them.
            later: WorkerState of the later one.
        """
        for run in list(earlier.runs.values()):
            if not _may_be_on_later(run, later):
                continue
            self._hand_over(run, later, 'its order may arrive there')
            if run.phase == state.Phase.STOPPING:
                run.confirmed_ms = None
                later.orders.put(worker_orders.Stop(run))
            elif run.confirmed_ms is None:
                self.stop(run, 'its worker has started again')

    def _hand_over(self, run, later, reason):
        earlier, task = run.worker_state, run.task
        needs = state.occupied(task.step.spec)
        del earlier.runs[task.name]
        earlier.used -= needs
        run.worker_state = later
        run.handed_over = True
        later.runs[task.name] = run
        later.used += needs
        log.emit(
            catalogue.RUN_HANDED_OVER,
            task=task.name,
            run=run.number,
            worker=later.worker.worker_id,
            earlier_born_ms=earlier.worker.born_ms,
            born_ms=later.worker.born_ms,
            lease_ms=later.counted_lease_ms(),
            reason=reason,
        )
        self._resume_trial(run)
        if task.placement is not None:
            self._record_placement(run)

    def _resume_trial(self, run):
        """Go on with the trial of a run that starts on trial only."""
        worker_state = run.worker_state
        if worker_state.trial is None and trial_limits.is_tried_each_time(
            run.task
        ):
            worker_state.trial = trials.Trial(run.task)


def _may_be_on_later(run, later):
    """Return whether a later incarnation may have a run, or still get it.

    Args:
        run: the Run, which the later incarnation has not listed.
        later: the WorkerState of the later incarnation.
    """
    if run.sent_ms is None or run.seen_ms is not None:
        return False
    # A stop that the earlier one has confirmed tells nothing of the later.
    if run.started_ms is None and not later.has_seen_fence:
        return True
    return (
        run.confirmed_ms is None
        or later.all_listed_ms is None
        or run.confirmed_ms >= later.all_listed_ms
    )

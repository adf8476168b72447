"""Tasks of earlier terms that may still run where the leader can't see it."""

import collections
import contextlib

from figtray.jobs import model
from figtray.scheduling import job_lifecycle
from figtray.scheduling import leases
from figtray.scheduling import state
from figtray.scheduling import tasks as tasks_lib


class Adoption(job_lifecycle.JobLifecycle):
    """Holds the tasks that may still run on unresolved incarnations."""

    def note_earlier_leases(self, revision, earlier):
        """Record which leases the last leader had not extended.

        Args:
            revision: revision of its last record of leases, or None.
            earlier: mapping of worker id and start time of an incarnation to
                its EarlierLeases.
        """
        with self.lock:
            self._earlier_revision = revision
            self._earlier_leases = dict(earlier)

    def note_longer_leases(self):
        """Record that leases of earlier terms may be longer than ours."""
        with self.lock:
            self._earlier_lease_ms = leases.EARLIER_RELEASE_LEASE_MS
            self.lease_horizon.note_longer_leases(
                self._term.began_ms + leases.longest_earlier_release_lease_ms()
            )

    @contextlib.contextmanager
    def _hold_uncertain_tasks(self):
        """Keep tasks that may still run out of the queues of their steps.

        They are back in the queues afterwards. Meanwhile their needs count
        towards the limits of their teams.
        """
        now_ms = self._clock.now_ms()
        held = {
            step: tasks
            for step in self._open_steps.values()
            if (tasks := self._take_uncertain_tasks(step, now_ms))
        }
        needs = self._needs_out_of_sight(held)
        for team, total in needs.items():
            self._quota.add(team, total)
        try:
            yield
        finally:
            for team, total in needs.items():
                self._quota.remove(team, total)
            for step, tasks in held.items():
                step.waiting.put_back(tasks)
                step.held_reason = (
                    step.held_reason or state.HeldReason.TAKEOVER
                )

    def _take_uncertain_tasks(self, step, now_ms):
        """Take the tasks that may still run out of the queue of a step.

        A lasting task may if its placement is unresolved, or that of another
        incarnation under the id: a run is handed over before the roster and
        its placement are stored. Other tasks have no recorded placement, so
        each of an earlier term may: a record before each of their starts
        would put the store into the path of all starts.

        Args:
            step: the StepState.
            now_ms: local time.

        Returns:
            The tasks.WaitingTasks.
        """
        taken = tasks_lib.WaitingTasks(step.tasks)
        if step.job.created >= self._term.epoch:
            return taken
        if not (step.spec.lasting and self._are_placements_known):
            if self._is_adopting(now_ms, unsure=False):
                taken = step.waiting.take_all()
        else:
            worker_ids = self._worker_ids_awaited(now_ms, False)
            unsure_ids = self._worker_ids_awaited(now_ms, True)

            def is_held(task):
                placement = task.placement
                return placement is not None and placement.worker_id in (
                    unsure_ids if placement.unsure else worker_ids
                )

            taken.extend(step.waiting.take(is_held))
        if taken:
            step.held_reason = state.HeldReason.TAKEOVER
        return taken

    def _worker_ids_awaited(self, now_ms, unsure):
        """Return the worker ids under which runs may go on, unseen.

        Args:
            now_ms: local time.
            unsure: whether runs of unsure placements are meant.
        """
        return {
            incarnation.worker_id
            for incarnation in self._unresolved | self._with_unread_ends
            if incarnation in self._with_unread_ends
            or now_ms < self._leases_end_ms(incarnation, unsure)
        }

    def _needs_out_of_sight(self, held):
        """Return what the held tasks of each team may need out of sight.

        That is no more than the unresolved incarnations can hold. They may
        hold more than they have by now, if they have shrunk. Without a
        complete roster, there may be any number of them.

        Args:
            held: mapping of StepState to its held tasks.
        """
        limit = self._largest_capacity.times(len(self._unresolved))
        needs = collections.defaultdict(lambda: model.NO_RESOURCES)
        for step, tasks in held.items():
            needs[step.job.spec.team] += step.spec.needs.times(len(tasks))
        if not self._is_roster_complete:
            return needs
        return {team: total.at_most(limit) for team, total in needs.items()}

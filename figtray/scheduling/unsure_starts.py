"""Starts that a later incarnation of the worker may have executed, unseen.

An order is sent on a connection on which the incarnation was checked. If
the worker closes that one, the order goes on a new, unchecked connection. A
later incarnation under the id that is cut off before its first report then has
a run, and a longer lease, of which nobody knows. Only the runs whose starts
may have gone there are awaited for so long.
"""

import msgspec

from figtray.scheduling import scheduler_base


class UnsureStarts(scheduler_base.SchedulerBase):
    """Keeps which runs are certainly on the incarnations of their workers."""

    def note_unchecked(self, worker_state):
        """Record that a later incarnation may have extended its lease.

        Args:
            worker_state: the WorkerState of the incarnation that was meant.
        """
        with self.lock:
            worker_state.unchecked_until_ms = (
                self._clock.now_ms() + self._restarts.longest_lease_ms
            )

    def _settle_start(self, run):
        """Record that the incarnation has the run that it was to start."""
        run.unsure = False
        task = run.task
        # A late answer may be on a run that was given up.
        if task.run is not run or task.placement is None:
            return
        if task.placement.unsure:
            task.placement = msgspec.structs.replace(
                task.placement, unsure=False
            )
            self._store_progress(task.step.job)

    def _may_go_on_unseen(self, run, now_ms):
        """Return whether a later incarnation may have a run, unseen."""
        return run.unsure and now_ms < run.worker_state.unchecked_until_ms

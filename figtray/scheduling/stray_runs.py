"""Runs that a worker reports and the leader does not track."""

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import model
from figtray.jobs import records
from figtray.scheduling import scheduler_base
from figtray.scheduling import state
from figtray.scheduling import worker_ends
from figtray.scheduling import worker_orders
from figtray.scheduling import worker_state as worker_state_lib

# Least time between two orders to stop the same stray run.
STRAY_STOP_INTERVAL_MS = 500


class Strays(worker_ends.WorkerEnds):
    """Adopts the runs of earlier leaders, and stops other stray runs."""

    def _adopt_or_stop(self, worker_state, item, now_ms):
        """Adopt or stop a run that the leader does not track on a worker.

        A run of an earlier term is adopted even if its step is not open yet.
        The earlier leader opened the step because of ends that it could not
        store; the workers still list these ends.

        Returns:
            The Run if it is adopted, else None.
        """
        task = self.find_task(item.task)
        if task is None or task.run is not None:
            self._stop_stray(worker_state, item, now_ms)
            return None
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        run = state.Run(task, worker_state, item.run, now_ms)
        run.phase = state.Phase.RUNNING
        run.confirmed_ms = now_ms
        run.sent_ms = run.started_ms = now_ms
        run.adopted = True
        run.unsure = False
        self._attach(run)
        job = task.step.job
        from_earlier_term = (
            item.run < self._term.epoch * scheduler_base.RUNS_PER_TERM
        )
        if task.done or job.ended or not from_earlier_term:
            self.stop(run, 'its task or job has ended, or it is not tracked')
            return None
        log.emit(
            catalogue.RUN_ADOPTED,
            task=item.task,
            run=item.run,
            worker=worker_state.worker.worker_id,
        )
        self._resume_trial(run)
        if not job.started:
            job.state = records.State.RUNNING
            self._store_progress(job)
        here = worker_state.placement()
        if task.step.spec.lasting and not (
            here.is_at(task.placement) and not task.placement.unsure
        ):
            self._record_placement(run)
        return run

    def _stop_stray(self, worker_state, item, now_ms):
        stray = (item.task, item.run)
        if (
            now_ms - worker_state.strays.get(stray, -STRAY_STOP_INTERVAL_MS)
            < STRAY_STOP_INTERVAL_MS
        ):
            return
        worker_state.strays[stray] = now_ms
        log.emit(
            catalogue.STRAY_RUN,
            task=item.task,
            run=item.run,
            worker=worker_state.worker.worker_id,
        )
        worker_state.orders.put(worker_orders.StopStray(item.task, item.run))

    def _stray_runs(self, worker_state, running, unreadable):
        """Return the StrayRuns of a report that has been handled.

        Args:
            worker_state: the WorkerState of the worker that reports.
            running: (task name, run number) of what runs there.
            unreadable: number of the runs that can't be read.
        """
        tasks = [
            self.find_task(name)
            for name, _ in running
            if name not in worker_state.runs
        ]
        needs = model.NO_RESOURCES
        for task in filter(None, tasks):
            needs += state.occupied(task.step.spec)
        return worker_state_lib.StrayRuns(
            len(tasks) + unreadable,
            needs,
            None in tasks or unreadable > 0,
            unreadable > 0,
        )

    def _may_hide_earlier_runs(self, worker_state):
        """Return whether a worker may have runs of earlier terms, unread.

        Their leases end with the wait for them only if they are not extended.
        """
        return (
            worker_state.stray_runs.unreadable
            and worker_state.worker.incarnation in self._unresolved
        )

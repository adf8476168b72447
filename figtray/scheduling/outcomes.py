"""Outcomes of the orders to start and to stop."""

from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages
from figtray.jobs import records
from figtray.scheduling import book
from figtray.scheduling import state
from figtray import verdict

NO_ROOM_PAUSE_MS = 150
# A single lost reply says little about a worker.
UNANSWERED_TO_AVOID = 2


class Outcomes(book.Book):
    """Outcomes of the orders to start and to stop."""

    def start_order(self, run):
        """Return the StartOrder of a run, or None if it must not start.

        Called directly before the order is sent.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            place, task = run.place, run.task
            if task.run is not run or run.phase != state.Phase.STARTING:
                return None
            worker_clock = place.worker_clock(now_ms)
            if (
                not self._term.valid()
                or not self._fresh()
                or place.over
                or place.closing
                or place.silent
                or worker_clock is None
                or place.worker.draining
                or place.worker.zone in self._evacuated
                or task.step.job.ended
            ):
                self._release(run, 'not sent')
                return None
            lease_until_ms = worker_clock + self._lease_ms
            place.lease_until_ms = max(place.lease_until_ms, lease_until_ms)
            return messages.StartOrder(
                task=task.name,
                run=run.number,
                payload=task.step.job.spec.payload,
                epoch=self._term.epoch,
                lease_until_ms=lease_until_ms,
                checkpoint=task.checkpoint,
                ticket=run.ticket,
            )

    def started(self, run):
        """Note that a worker has confirmed the start of a run."""
        with self.lock:
            now_ms = self._clock.now_ms()
            run.settled_ms = now_ms
            run.place.refusals = 0
            run.place.unanswered = 0
            if run.phase == state.Phase.STARTING:
                run.phase = state.Phase.RUNNING
            task = run.task
            job = task.step.job
            if self._metrics:
                self._metrics.record_start(
                    job.spec.team, now_ms - task.ready_ms
                )
            log.emit(
                catalogue.TASK_STARTED,
                task=task.name,
                run=run.number,
                worker=run.place.worker.worker_id,
                waited_ms=now_ms - task.ready_ms,
                resumed=bool(task.checkpoint),
            )
            if not job.started and not job.ended:
                job.state = records.State.RUNNING
                self._store_progress(job)
        run.place.wake.set()

    def refused(self, run, outcome):
        """Note that a worker has refused a start.

        Args:
            run: the Run.
            outcome: a verdict.NotRun.
        """
        with self.lock:
            place = run.place
            now_ms = self._clock.now_ms()
            log.emit(
                catalogue.START_REFUSED,
                task=run.task.name,
                run=run.number,
                worker=place.worker.worker_id,
                reason=outcome.reason.value,
                detail=outcome.detail,
            )
            if self._metrics:
                self._metrics.count_refused_start(outcome.reason.value)
            match outcome.reason:
                case verdict.RefusalReason.NO_CAPACITY:
                    place.avoid_until_ms = now_ms + NO_ROOM_PAUSE_MS
                case verdict.RefusalReason.TICKET:
                    run.task.step.advice = None
                case verdict.RefusalReason.STALE_RUN:
                    run.task.last_run += book.RUNS_PER_TERM // 64
                case (
                    verdict.RefusalReason.UNHEALTHY
                    | verdict.RefusalReason.CONNECT_FAILED
                    | verdict.RefusalReason.BAD_REQUEST
                ):
                    place.avoid_until_ms = now_ms + book.UNHEALTHY_PAUSE_MS
            self._release(run, outcome.reason.value)
        self.changed.set()

    def start_uncertain(self, run, detail):
        """Note that a start got no reply; the run is stopped to be sure."""
        with self.lock:
            log.emit(
                catalogue.START_UNCERTAIN,
                task=run.task.name,
                run=run.number,
                worker=run.place.worker.worker_id,
                detail=detail,
            )
            place = run.place
            place.unanswered += 1
            if place.unanswered >= UNANSWERED_TO_AVOID:
                place.avoid_until_ms = (
                    self._clock.now_ms() + book.UNHEALTHY_PAUSE_MS
                )
            if run.task.run is run and run.phase == state.Phase.STARTING:
                self._stop(run)

    def stopped(self, run):
        """Note that a worker has confirmed an order to stop a run."""
        with self.lock:
            run.settled_ms = self._clock.now_ms()
        run.place.wake.set()

    def stop_needed(self, run):
        """Tell whether an unanswered order to stop should be repeated."""
        with self.lock:
            return (
                run.task.run is run
                and not run.place.over
                and not self._term.ended.is_set()
            )

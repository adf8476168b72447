"""Outcomes of the orders to start and to stop runs."""

from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages
from figtray.jobs import records
from figtray import metrics
from figtray.scheduling import interruptions
from figtray.scheduling import refusals
from figtray.scheduling import scheduler_base
from figtray.scheduling import state
from figtray.scheduling import unsure_starts
from figtray import verdict

# Time for which a worker is avoided after a refusal for want of room; doubled
# by each further one in a row. Its entry shows a new capacity after a
# heartbeat.
NO_CAPACITY_BACKOFF_MS = 150
MAX_NO_CAPACITY_BACKOFF_MS = 1200
# A single lost reply may be a fault of the network; the second in a row is
# taken for one of the worker.
UNANSWERED_STARTS_TO_AVOID = 2


class Outcomes(unsure_starts.UnsureStarts, interruptions.Interruptions):
    """Records the outcomes of the orders to start and to stop runs."""

    def prepare_start(self, run):
        """Check again that a run may start, and extend the worker's lease.

        Called directly before the order is sent: since the run was planned,
        the term, the worker, its capacity, its zone or the job may have
        changed. The task of a run that must not start waits again.

        Returns:
            The StartOrder, or None if the run must not start.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            worker_state, task = run.worker_state, run.task
            if task.run is not run or run.phase != state.Phase.STARTING:
                return None
            worker_clock = worker_state.worker_clock(now_ms)
            lease_ms = self._grantable_lease_ms(worker_state, now_ms)
            if (
                not lease_ms
                or not self._is_config_fresh()
                or not self._is_start_allowed(worker_state, now_ms)
                or worker_clock is None
                or task.step.job.ended
            ):
                self._revert_start(run)
                return None
            if _lacks_ticket(run, now_ms):
                self._revert_start(run)
                # The adviser has to be asked.
                self.changed.set()
                return None
            # A start extends the lease only if reports don't: a worker that
            # has fallen silent would be awaited for longer.
            if worker_state.lease_until_ms < worker_clock + self._lease_ms / 2:
                worker_state.extend_lease(worker_clock + lease_ms)
            run.sent_ms = now_ms
            return messages.StartOrder(
                task=task.name,
                run=run.number,
                payload=task.step.job.spec.payload,
                epoch=worker_state.fence,
                lease_until_ms=min(
                    worker_state.lease_until_ms, worker_clock + lease_ms
                ),
                checkpoint=task.checkpoint,
                ticket=run.ticket.text if run.ticket else '',
            )

    def handle_started(self, run, unchecked=False):
        """Record that a worker has confirmed the start of a run.

        Args:
            run: the Run.
            unchecked: whether a later incarnation may have confirmed it.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            if unchecked:
                self.note_unchecked(run.worker_state)
            else:
                self._settle_start(run)
            run.confirmed_ms = now_ms
            if run.started_ms is None:
                run.started_ms = now_ms
            run.worker_state.refused_connections = 0
            run.worker_state.unanswered_starts = 0
            run.worker_state.room_refusals = 0
            if run.phase == state.Phase.STARTING:
                run.phase = state.Phase.RUNNING
            task = run.task
            job = task.step.job
            if task.step.refusals is not None:
                task.step.refusals.note_start(run.worker_state)
            if self._metrics:
                self._metrics.record_start(
                    job.spec.team, now_ms - task.ready_ms
                )
                if task.step.spec.lasting:
                    self._metrics.record_lasting_start(now_ms - task.ready_ms)
            self._record_takeover(metrics.TakeoverPhase.FIRST_START)
            self._run_log.log_start(task, run, now_ms - task.ready_ms)
            if not job.started and not job.ended:
                job.state = records.State.RUNNING
                self._store_progress(job)
        run.worker_state.wake.set()

    def handle_refused(self, run, outcome):
        """Record that a start was refused; the task waits again.

        Args:
            run: the Run.
            outcome: the verdict.NotRun; its reason tells whether the worker
                is avoided for a while.
        """
        with self.lock:
            worker_state = run.worker_state
            now_ms = self._clock.now_ms()
            log.emit(
                catalogue.START_REFUSED,
                task=run.task.name,
                run=run.number,
                worker=worker_state.worker.worker_id,
                reason=outcome.reason.value,
                detail=outcome.detail,
            )
            if self._metrics:
                self._metrics.count_refused_start(outcome.reason.value)
            match outcome.reason:
                case verdict.RefusalReason.NO_CAPACITY:
                    worker_state.avoid_until_ms = (
                        now_ms + _no_capacity_backoff_ms(worker_state)
                    )
                    worker_state.room_refusals += 1
                case verdict.RefusalReason.TICKET:
                    _note_refusal(run, now_ms)
                    if run.task.step.advice is not None:
                        run.task.step.advice.drop(worker_state, now_ms)
                case verdict.RefusalReason.STALE_RUN:
                    # The worker may know a higher run number, so the next
                    # start skips some numbers.
                    run.task.last_run += scheduler_base.RUNS_PER_TERM // 64
                    _note_refusal(run, now_ms)
                case verdict.RefusalReason.LATE | verdict.RefusalReason.BUSY:
                    _note_refusal(run, now_ms)
                case (
                    verdict.RefusalReason.UNHEALTHY
                    | verdict.RefusalReason.CONNECT_FAILED
                    | verdict.RefusalReason.BAD_REQUEST
                ):
                    if outcome.reason == verdict.RefusalReason.BAD_REQUEST:
                        _note_refusal(run, now_ms)
                    worker_state.avoid_until_ms = (
                        now_ms + scheduler_base.UNHEALTHY_BACKOFF_MS
                    )
            self._revert_start(run)
        self.changed.set()

    def handle_start_uncertain(self, run, detail, closed=False):
        """Stop a run whose start got no reply, as it may have started.

        If it may not be stopped now, the next report tells first whether it
        has.

        Args:
            run: the Run.
            detail: what went wrong.
            closed: whether the worker has closed the connection.
        """
        with self.lock:
            run.cut_off = closed
            log.emit(
                catalogue.START_UNCERTAIN,
                task=run.task.name,
                run=run.number,
                worker=run.worker_state.worker.worker_id,
                detail=detail,
            )
            worker_state = run.worker_state
            worker_state.unanswered_starts += 1
            if worker_state.unanswered_starts >= UNANSWERED_STARTS_TO_AVOID:
                worker_state.avoid_until_ms = (
                    self._clock.now_ms() + scheduler_base.UNHEALTHY_BACKOFF_MS
                )
            if run.task.run is not run or run.phase != state.Phase.STARTING:
                return
            if self._can_interrupt(run):
                self._stop(run)
                self._stop_gang(run)
            else:
                run.unanswered_ms = self._clock.now_ms()
                worker_state.wake.set()

    def handle_stopped(self, run):
        """Record that a worker has confirmed an order to stop a run."""
        with self.lock:
            run.confirmed_ms = self._clock.now_ms()
        run.worker_state.wake.set()

    def is_stop_pending(self, run):
        """Return whether an order to stop a run has to be sent."""
        with self.lock:
            return (
                run.task.run is run
                and not run.worker_state.gone
                and not self._term.ended.is_set()
            )

    def _is_start_allowed(self, worker_state, now_ms):
        """Return whether a worker may get the order to start a planned run.

        Its capacity may have shrunk since, below what its runs occupy.
        """
        return not (
            worker_state.gone
            or worker_state.cordon_reason
            or worker_state.unresponsive
            or not worker_state.listed
            or worker_state.avoid_until_ms > now_ms
            or worker_state.rest_until_ms > now_ms
            or worker_state.is_overloaded()
            or worker_state.worker.draining
            or worker_state.worker.zone in self._evacuated_zones
        )


def _note_refusal(run, now_ms):
    """Record a refusal that may concern the step, and may be repeated."""
    step = run.task.step
    if step.refusals is None:
        step.refusals = refusals.Refusals()
    step.refusals.note(run.worker_state, now_ms)


def _lacks_ticket(run, now_ms):
    """Return whether a worker would refuse a run for want of a ticket.

    The queue may have gained advice since the start was planned, or the order
    may have waited until the ticket lapsed.
    """
    if run.task.step.job.queue.advice is None:
        return False
    return run.ticket is None or now_ms >= run.ticket.until_ms


def _no_capacity_backoff_ms(worker_state):
    """Return for how long a worker is avoided after one more refusal."""
    return min(
        NO_CAPACITY_BACKOFF_MS << worker_state.room_refusals,
        MAX_NO_CAPACITY_BACKOFF_MS,
    )

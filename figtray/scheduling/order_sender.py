"""Sender of the orders to one incarnation of a worker."""

import contextlib

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages
from figtray.scheduling import worker_orders
from figtray import verdict

START_TIMEOUT_MS = 450
STOP_TIMEOUT_MS = 450
# Time after which an order to stop a run is repeated.
RETRY_MS = 200


class OrderSender:
    """Sends orders to one incarnation and records their outcomes.

    Args:
        worker_state: its WorkerState.
        scheduler: the Scheduler.
        pacer: the Pacer.
        client: the WorkerClient.
        term: the Term.
        clock: the Clock.
    """

    def __init__(self, worker_state, scheduler, pacer, client, term, clock):
        self._worker_state = worker_state
        self._scheduler = scheduler
        self._pacer = pacer
        self._client = client
        self._term = term
        self._clock = clock

    def execute(self, order):
        """Send one order and record its outcome."""
        try:
            self._execute(order)
        except (errors.IncarnationMismatch, errors.StaleEpoch) as exc:
            self.handle_mismatch(exc)

    def settle_failed(self, order, exc):
        """Record that an order ended by an unexpected error.

        It may have been executed, so a run that was to start is stopped.
        """
        match order:
            case worker_orders.Start(run=run):
                self._scheduler.handle_start_uncertain(run, repr(exc))
            case worker_orders.Stop():
                self._worker_state.orders.put(order)

    @contextlib.contextmanager
    def sending(self, fence):
        """Send an order, or a request for a report, with a fencing token.

        One that a later incarnation refuses has done nothing.

        Args:
            fence: the fencing token, which is returned.

        Raises:
            CallNotSent: also if this leader has used a higher token.
        """
        try:
            yield fence
        except errors.OtherIncarnation as exc:
            self._note_other_incarnation(exc)
            raise
        except errors.StaleEpoch as exc:
            if not self._scheduler.is_refusal_own(self._worker_state, fence):
                raise
            self._note_other_incarnation(exc)
            raise errors.CallNotSent(
                address=self._worker_state.worker.address, detail=str(exc)
            ) from exc

    def _note_other_incarnation(self, exc):
        worker = self._worker_state.worker
        log.emit(
            catalogue.ORDER_FOR_EARLIER,
            worker=worker.worker_id,
            born_ms=worker.born_ms,
            detail=str(exc),
        )
        self._worker_state.is_doubted = True
        self._worker_state.wake.set()

    def handle_mismatch(self, exc):
        """Apply that another incarnation or a later leader has answered."""
        match exc:
            case errors.IncarnationMismatch():
                self._scheduler.end_superseded(self._worker_state, str(exc))
            case errors.StaleEpoch():
                self._term.end(str(exc))

    def _execute(self, order):
        match order:
            case worker_orders.Start(run=run):
                self._start(run)
            case worker_orders.Stop(run=run):
                self._stop(run)
            case worker_orders.StopStray(task=task, run=number):
                self._send_stop(task, number)
            case worker_orders.Pace(run=run, percent=percent):
                self._pace(run, percent)

    def _start(self, run):
        order = self._scheduler.prepare_start(run)
        if order is None:
            return
        try:
            with self.sending(order.epoch):
                outcome = self._client.start(
                    self._worker_state.worker, order, START_TIMEOUT_MS
                )
        except errors.CallNotSent as exc:
            outcome = verdict.NotRun(
                verdict.RefusalReason.CONNECT_FAILED, str(exc)
            )
        except errors.ReplyLost as exc:
            if exc.unchecked:
                self._scheduler.note_unchecked(self._worker_state)
            outcome = verdict.MayHaveRun(str(exc), exc.closed)
        match outcome:
            case messages.Started(unchecked=unchecked):
                self._scheduler.handle_started(run, unchecked)
            case verdict.NotRun():
                self._scheduler.handle_refused(run, outcome)
            case verdict.MayHaveRun(detail=detail, closed=closed):
                self._scheduler.handle_start_uncertain(run, detail, closed)

    def _stop(self, run):
        if not self._scheduler.is_stop_pending(run):
            return
        if self._send_stop(run.task.name, run.number):
            self._scheduler.handle_stopped(run)
            return
        self._clock.wait(self._term.ended, RETRY_MS)
        self._worker_state.orders.put(worker_orders.Stop(run))

    def _send_stop(self, task, number):
        """Send an order to stop a run; return whether it was answered.

        Without an answer to the order to stop a stray run, the next report
        lists the run again, and another order is given.
        """
        try:
            with self.sending(self._worker_state.fence) as fence:
                self._client.stop(
                    self._worker_state.worker,
                    task,
                    number,
                    fence,
                    STOP_TIMEOUT_MS,
                )
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            log.emit(
                catalogue.STOP_UNANSWERED,
                task=task,
                run=number,
                worker=self._worker_state.worker.worker_id,
                detail=str(exc),
            )
            return False
        return True

    def _pace(self, run, percent):
        try:
            with self.sending(self._worker_state.fence) as fence:
                self._client.pace(
                    self._worker_state.worker,
                    run.task.name,
                    run.number,
                    percent,
                    fence,
                    STOP_TIMEOUT_MS,
                )
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            log.emit(
                catalogue.PACE_UNANSWERED,
                task=run.task.name,
                worker=self._worker_state.worker.worker_id,
                percent=percent,
                detail=str(exc),
            )
            self._pacer.invalidate(run)

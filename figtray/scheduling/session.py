"""Tasks that talk to one life of a worker: one reports, others order."""

import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages
from figtray.scheduling import orders
from figtray import verdict

ORDER_TASKS = 2
ORDER_MS = 450
STOP_MS = 450
# A report waits this long for the end of a run.
REPORT_WAIT_MS = 1200
# Shorter where tasks that serve and tasks that fill share a worker.
PACING_WAIT_MS = 500
# Shorter while lasting tasks start up, as planned work waits for them.
SETTLING_WAIT_MS = 700
REPORT_GRACE_MS = 400
RETRY_MS = 200
# A worker without runs is looked at this rarely.
IDLE_MS = 20_000
FLUSH_MS = 500
# One refused connection may come from a fault of the network.
REFUSALS_THAT_PROVE = 2
SUSPENDED_POLL_MS = 50


class Session:
    """Talks to one life of a worker until it is over or the term ends.

    Args:
        place: the WorkerState.
        scheduler: the Scheduler.
        pacer: the Pacer.
        client: the WorkerClient.
        writer: the Writer.
        term: the Term.
        clock: the Clock.
    """

    def __init__(self, place, scheduler, pacer, client, writer, term, clock):
        self._place = place
        self._scheduler = scheduler
        self._pacer = pacer
        self._client = client
        self._writer = writer
        self._term = term
        self._clock = clock
        self._threads = []

    def start(self):
        """Start the tasks."""
        name = self._place.worker.worker_id
        targets = [self._report] + [self._order] * ORDER_TASKS
        for target in targets:
            thread = threading.Thread(
                target=self._guard, args=(target,), name=name, daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def close(self):
        """Wake all tasks, so that they see the end of the term."""
        self._place.wake.set()
        for _ in range(ORDER_TASKS):
            self._place.orders.put(None)

    def _guard(self, target):
        while not self._over():
            try:
                target()
                return
            except Exception as exc:
                log.emit_exception(
                    f'session with {self._place.worker.worker_id}', exc
                )
                self._clock.wait(self._term.ended, RETRY_MS)

    def _over(self):
        return self._place.over or self._term.ended.is_set()

    # Reports.

    def _report(self):
        while not self._over():
            if not self._term.valid():
                self._clock.wait(self._term.ended, SUSPENDED_POLL_MS)
                continue
            if not self._worth_a_report():
                self._place.wake.wait(IDLE_MS / 1000)
                self._place.wake.clear()
                if not self._place.runs:
                    continue
            sequence = self.report_once()
            if sequence is None:
                self._clock.wait(self._term.ended, RETRY_MS)
            elif self._place.seen_end > self._place.acknowledged:
                seen = self._place.seen_end
                if self._writer.wait(sequence, FLUSH_MS):
                    self._scheduler.acknowledge(self._place, seen)
        self._client.disconnect(self._place.worker)

    def _worth_a_report(self):
        place = self._place
        return (
            not place.reached
            or bool(place.runs)
            or place.told_acknowledged < place.acknowledged
        )

    def report_once(self):
        """Ask the worker for one report and take it over.

        Returns:
            The Writer's mark after which the ends of the report may be
            acknowledged, or None if there is no report.
        """
        place = self._place
        acknowledged, lease_until_ms = self._scheduler.report_request(place)
        wait_ms = self._wait_ms(acknowledged)
        asked_ms = self._clock.now_ms()
        try:
            report = self._client.report(
                place.worker,
                self._term.epoch,
                acknowledged,
                lease_until_ms,
                wait_ms,
                wait_ms + REPORT_GRACE_MS,
            )
        except (errors.IncarnationMismatch, errors.StaleEpoch) as exc:
            self._note_outsider(exc)
            return None
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            self._note_failure(exc)
            return None
        place.refusals = 0
        place.told_acknowledged = acknowledged
        sequence = self._scheduler.handle_report(place, report, asked_ms)
        self._pacer.adjust(place)
        return sequence

    def _wait_ms(self, acknowledged):
        """Return how long a report may wait for the end of a run."""
        place = self._place
        if not place.reached or not place.runs:
            return 0
        if place.seen_end > acknowledged:
            return 0
        wait_ms = REPORT_WAIT_MS
        if self._pacer.concerns(place):
            wait_ms = PACING_WAIT_MS
        if self._scheduler.is_settling(place):
            wait_ms = min(wait_ms, SETTLING_WAIT_MS)
        return wait_ms

    def _note_outsider(self, exc):
        match exc:
            case errors.IncarnationMismatch():
                self._scheduler.life_over(self._place, str(exc))
            case errors.StaleEpoch():
                self._term.end(str(exc))

    def _note_failure(self, exc):
        place = self._place
        if getattr(exc, 'refused', False):
            place.refusals += 1
            if place.refusals >= REFUSALS_THAT_PROVE:
                self._scheduler.life_over(place, 'it refuses connections')
                return
        log.emit(
            catalogue.REPORT_FAILED,
            worker=place.worker.worker_id,
            runs=len(place.runs),
            detail=str(exc),
        )
        self._scheduler.report_failed(place)

    # Orders.

    def _order(self):
        while True:
            order = self._place.orders.get()
            if order is None or self._over():
                return
            self.carry_out(order)

    def carry_out(self, order):
        """Carry out one order and take over its outcome."""
        try:
            self._carry_out(order)
        except (errors.IncarnationMismatch, errors.StaleEpoch) as exc:
            self._note_outsider(exc)

    def _carry_out(self, order):
        match order:
            case orders.Start(run=run):
                self._start(run)
            case orders.Stop(run=run):
                self._stop(run)
            case orders.StopStray(task=task, run=number):
                self._stop_stray(task, number)
            case orders.Pace(run=run, percent=percent):
                self._pace(run, percent)

    def _start(self, run):
        order = self._scheduler.start_order(run)
        if order is None:
            return
        try:
            outcome = self._client.start(self._place.worker, order, ORDER_MS)
        except errors.CallNotSent as exc:
            outcome = verdict.NotRun(
                verdict.RefusalReason.CONNECT_FAILED, str(exc)
            )
        except errors.ReplyLost as exc:
            outcome = verdict.MayHaveRun(str(exc))
        match outcome:
            case messages.Started():
                self._scheduler.started(run)
            case verdict.NotRun():
                self._scheduler.refused(run, outcome)
            case verdict.MayHaveRun(detail=detail):
                self._scheduler.start_uncertain(run, detail)

    def _stop(self, run):
        if not self._scheduler.stop_needed(run):
            return
        try:
            self._client.stop(
                self._place.worker,
                run.task.name,
                run.number,
                self._term.epoch,
                STOP_MS,
            )
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            log.emit(
                catalogue.STOP_UNANSWERED,
                task=run.task.name,
                run=run.number,
                worker=self._place.worker.worker_id,
                detail=str(exc),
            )
            self._clock.wait(self._term.ended, RETRY_MS)
            self._place.orders.put(orders.Stop(run))
            return
        self._scheduler.stopped(run)

    def _stop_stray(self, task, number):
        try:
            self._client.stop(
                self._place.worker, task, number, self._term.epoch, STOP_MS
            )
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            # The next report shows the run again, if it is still there.
            log.emit(
                catalogue.STOP_UNANSWERED,
                task=task,
                run=number,
                worker=self._place.worker.worker_id,
                detail=str(exc),
            )

    def _pace(self, run, percent):
        try:
            self._client.pace(
                self._place.worker,
                run.task.name,
                run.number,
                percent,
                self._term.epoch,
                STOP_MS,
            )
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            log.emit(
                catalogue.PACE_UNANSWERED,
                task=run.task.name,
                worker=self._place.worker.worker_id,
                percent=percent,
                detail=str(exc),
            )
            self._pacer.forget(run)

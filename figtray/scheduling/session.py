"""Session with one worker, which gets its reports and sends it orders."""

import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray import on_demand
from figtray.scheduling import order_sender

# Orders that are sent to one worker at the same time.
ORDER_THREADS = 2
# Limit of the threads of a session that has no pool of others.
OWN_THREADS = ORDER_THREADS + 1
# Longest time that a worker waits for the end of a run before it reports.
REPORT_WAIT_MS = 1200
# Shorter on a worker with best-effort and latency-sensitive tasks, as the
# pacer needs recent response times.
PACING_WAIT_MS = 500
# Shorter while lasting tasks start up, as drains of other workers wait for
# them.
SETTLING_WAIT_MS = 700
# Shorter while a task is on trial, as nothing else starts on the worker.
TRIAL_WAIT_MS = 200
REPORT_GRACE_MS = 400
RETRY_MS = 200
# The clock of an idle worker is read again after this time. Its estimate may
# be late by a fiftieth of it.
MAX_CLOCK_AGE_MS = 60_000
STORE_WAIT_MS = 500
# A worker that was never reached is named in the log at this interval.
UNREACHED_LOG_INTERVAL_MS = 10_000
# Reports are suspended while the term is not certainly valid.
SUSPENDED_POLL_MS = 50


class Session:
    """Talks to one incarnation of a worker until it or the term has ended.

    It takes a thread of the pool for the reports while some are needed, and
    one or two while there are orders. An idle worker occupies none.

    Args:
        worker_state: the WorkerState.
        scheduler: the Scheduler.
        pacer: the Pacer.
        client: the WorkerClient.
        writer: the Writer.
        term: the Term.
        clock: the Clock.
        pool: the on_demand.ThreadPool; None for one of its own.
    """

    def __init__(
        self,
        worker_state,
        scheduler,
        pacer,
        client,
        writer,
        term,
        clock,
        pool=None,
    ):
        self._worker_state = worker_state
        self._scheduler = scheduler
        self._pacer = pacer
        self._client = client
        self._writer = writer
        self._term = term
        self._clock = clock
        self._sender = order_sender.OrderSender(
            worker_state, scheduler, pacer, client, term, clock
        )
        self._pool = pool
        self._has_own_pool = pool is None
        self._lock = threading.Lock()
        self._is_started = False
        self._is_reporting = False
        self._senders = 0
        # Types of the unexpected errors that are logged.
        self._logged_errors = set()
        # Local time of the last log line on a failed report.
        self._failure_logged_ms = None

    def start(self):
        """Begin to talk to the worker.

        Raises:
            RuntimeError: the system allows no further thread.
        """
        if self._is_started:
            return
        if self._pool is None:
            pool = on_demand.ThreadPool(
                self._worker_state.worker.worker_id, OWN_THREADS
            )
            pool.start(1)
            self._pool = pool
        self._is_started = True
        self._worker_state.orders.on_put = self._send
        self._worker_state.wake.on_set = self._report
        self._report()
        if not self._worker_state.orders.empty():
            self._send()

    def close(self):
        """Wake all threads, so that they notice the end of the session."""
        self._worker_state.wake.set()
        for _ in range(ORDER_THREADS):
            self._worker_state.orders.put(None)
        if self._has_own_pool and self._pool is not None:
            self._pool.close()

    def check(self):
        """Let a report be requested if one is needed; called now and then.

        What needs one wakes the session, but for the age of the worker's
        clock.
        """
        if self._is_started and self._is_report_needed():
            self._report()

    def _report(self):
        """Let a thread request reports, unless one does."""
        with self._lock:
            if self._is_reporting:
                return
            self._is_reporting = True
        self._pool.submit(self._report_while_needed)

    def _report_while_needed(self):
        self._run_guarded(self._run_reports)
        with self._lock:
            self._is_reporting = not self._is_over() and (
                self._worker_state.wake.is_set() or self._is_report_needed()
            )
            if self._is_reporting:
                self._pool.submit(self._report_while_needed)
        if self._is_over():
            self._client.disconnect(self._worker_state.worker)

    def _send(self):
        """Let one more thread send orders, if one more may."""
        with self._lock:
            if self._senders >= ORDER_THREADS:
                return
            self._senders += 1
        self._pool.submit(self._send_while_queued, urgent=True)

    def _send_while_queued(self):
        self._run_guarded(self._run_orders)
        with self._lock:
            if self._is_over() or self._worker_state.orders.empty():
                self._senders -= 1
            else:
                self._pool.submit(self._send_while_queued, urgent=True)

    def _run_guarded(self, target):
        while not self._is_over():
            try:
                target()
                return
            except Exception as exc:
                self._log_unexpected(exc)
                if target == self._run_reports:
                    # The request may have been sent.
                    self._scheduler.handle_report_failure(
                        self._worker_state, was_sent=True
                    )
                self._clock.wait(self._term.ended, RETRY_MS)

    def _log_unexpected(self, exc):
        """Log an unexpected error, unless one of its type was logged."""
        if type(exc) in self._logged_errors:
            return
        self._logged_errors.add(type(exc))
        log.emit_exception(
            f'session with {self._worker_state.worker.worker_id}', exc
        )

    def _is_over(self):
        return self._worker_state.gone or self._term.ended.is_set()

    # Reports.

    def _run_reports(self):
        while not self._is_over():
            if not self._term.valid():
                self._clock.wait(self._term.ended, SUSPENDED_POLL_MS)
                continue
            self._worker_state.wake.clear()
            if not self._is_report_needed():
                return
            sequence = self.report_once()
            if sequence is None:
                self._clock.wait(self._term.ended, RETRY_MS)
            elif self._worker_state.seen_end > self._worker_state.acknowledged:
                seen_end = self._worker_state.seen_end
                if self._writer.wait(sequence, STORE_WAIT_MS):
                    self._scheduler.acknowledge(self._worker_state, seen_end)
            if self._pool is not None and self._pool.is_short():
                return
        self._client.disconnect(self._worker_state.worker)

    def _is_report_needed(self):
        worker_state = self._worker_state
        return (
            not worker_state.has_reported
            or not worker_state.has_seen_fence
            or worker_state.unresponsive
            or worker_state.is_doubted
            or bool(worker_state.runs)
            or worker_state.stray_runs.count > 0
            or worker_state.sent_acknowledged < worker_state.acknowledged
            or self._clock.now_ms() - worker_state.clock_read_ms
            >= MAX_CLOCK_AGE_MS
        )

    def report_once(self):
        """Request one report of the worker and record it.

        Returns:
            Sequence number of the Writer that must be written before the
            ends in the report are acknowledged; None if there is no report.
        """
        worker_state = self._worker_state
        acknowledged, lease_until_ms = self._scheduler.report_request(
            worker_state
        )
        wait_ms = self._wait_ms()
        asked_ms = self._clock.now_ms()
        try:
            fence = worker_state.fence
            with self._sender.sending(fence):
                report = self._client.report(
                    worker_state.worker,
                    fence,
                    acknowledged,
                    lease_until_ms,
                    wait_ms,
                    wait_ms + REPORT_GRACE_MS,
                )
        except (errors.IncarnationMismatch, errors.StaleEpoch) as exc:
            self._sender.handle_mismatch(exc)
            return None
        except (errors.CallNotSent, errors.ReplyLost) as exc:
            self._handle_report_error(exc)
            return None
        worker_state.refused_connections = 0
        worker_state.report_error = ''
        if report.born_ms == worker_state.worker.born_ms:
            worker_state.sent_acknowledged = max(
                worker_state.sent_acknowledged, acknowledged
            )
        sequence = self._scheduler.handle_report(
            worker_state, report, asked_ms, fence
        )
        self._pacer.adjust(worker_state)
        return sequence

    def _wait_ms(self):
        """Return how long the worker may wait for an end before it reports."""
        worker_state = self._worker_state
        if (
            not worker_state.has_reported
            or not worker_state.runs
            # The end of its lease is looked at after each failed report.
            or worker_state.unresponsive
        ):
            return 0
        if worker_state.seen_end > worker_state.acknowledged:
            return 0
        wait_ms = REPORT_WAIT_MS
        if self._pacer.applies_to(worker_state):
            wait_ms = PACING_WAIT_MS
        if self._scheduler.is_settling(worker_state):
            wait_ms = min(wait_ms, SETTLING_WAIT_MS)
        if worker_state.trial is not None:
            wait_ms = min(wait_ms, TRIAL_WAIT_MS)
        return wait_ms

    def _handle_report_error(self, exc):
        worker_state = self._worker_state
        worker_state.report_error = str(exc)
        if getattr(exc, 'refused', False):
            worker_state.refused_connections += 1
        if self._is_failure_logged():
            log.emit(
                catalogue.REPORT_FAILED,
                worker=worker_state.worker.worker_id,
                runs=len(worker_state.runs),
                detail=str(exc),
            )
        was_sent = isinstance(exc, errors.ReplyLost)
        if was_sent and exc.unchecked:
            self._scheduler.note_unchecked(worker_state)
        self._scheduler.handle_report_failure(
            worker_state, was_sent, was_sent and exc.closed
        )

    def _is_failure_logged(self):
        """Return whether to log a failed report; not each of an odd entry."""
        now_ms = self._clock.now_ms()
        if (
            not self._worker_state.has_reported
            and self._failure_logged_ms is not None
            and now_ms - self._failure_logged_ms < UNREACHED_LOG_INTERVAL_MS
        ):
            return False
        self._failure_logged_ms = now_ms
        return True

    # Orders.

    def _run_orders(self):
        """Send the queued orders until there are none.

        While other workers wait for a thread, it sends one: a worker that
        does not answer would keep its threads for long.
        """
        while (order := self._worker_state.orders.take()) is not None:
            if self._is_over():
                return
            try:
                self.execute(order)
            except Exception as exc:
                self._sender.settle_failed(order, exc)
                raise
            if self._pool is not None and self._pool.is_short():
                return

    def execute(self, order):
        """Send one order and record its outcome."""
        self._sender.execute(order)

"""Finds attempts whose connection went silent."""

from figtray import errors

# Shorter attempts are left alone: most end by themselves.
QUIET_MS = 1_500
# Each entry asks a worker at most this often. 9 entries with reports of
# about 1 KB stay under 5 KB/s for a worker.
INTERVAL_MS = 2_000
REPORT_TIMEOUT_MS = 500
# Reports without the attempt before its connection is given up. One report
# may be taken between the end of a task and the arrival of its answer.
MISSES = 2


class SilenceWatch:
    """Asks workers on new connections for attempts that take long.

    An attempt that its worker does not run, or whose worker answers on no
    connection at all, will never be answered. Its connection is closed, so
    that its verdict is known early. The worker stays in use.
    """

    def __init__(self, client, running, clock):
        """Set up.

        Args:
            client: a WorkerClient.
            running: mapping of attempt id to the running attempt.
            clock: a Clock.
        """
        self._client = client
        self._running = running
        self._clock = clock
        self._misses = {}
        self.aborted = 0

    def run(self, stop):
        """Look at the running attempts until the process stops."""
        while not self._clock.wait(stop, INTERVAL_MS):
            self.check()

    def check(self):
        """Ask each worker with long attempts for its report."""
        attempts = dict(self._running)
        self._misses = {
            attempt_id: count
            for attempt_id, count in self._misses.items()
            if attempt_id in attempts
        }
        oldest_ms = self._clock.now_ms() - QUIET_MS
        by_address = {}
        for attempt_id, attempt in attempts.items():
            if attempt.sent_ms <= oldest_ms:
                by_address.setdefault(attempt.address, []).append(attempt_id)
        for address, attempt_ids in by_address.items():
            self._check_worker(address, attempt_ids)

    def _check_worker(self, address, attempt_ids):
        try:
            report = self._client.report(address, REPORT_TIMEOUT_MS)
            running = {task.attempt_id for task in report.running}
        except errors.WorkerUnavailable:
            running = frozenset()
        for attempt_id in attempt_ids:
            if attempt_id in running:
                self._misses.pop(attempt_id, None)
                continue
            misses = self._misses.get(attempt_id, 0) + 1
            self._misses[attempt_id] = misses
            if misses >= MISSES:
                self._misses.pop(attempt_id)
                self.aborted += 1
                self._client.abandon(address, attempt_id)

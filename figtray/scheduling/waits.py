"""Periodic log lines and metrics on the runs and waits of tasks."""

from figtray.scheduling import held
from figtray.scheduling import scheduler_base
from figtray.scheduling import state

# The first report follows the takeover after this time as well.
REPORT_INTERVAL_MS = 1000


class Waits(scheduler_base.SchedulerBase):
    """Reports awaited incarnations, held tasks and runs; decides nothing."""

    def run_wait_reports(self):
        """Report each REPORT_INTERVAL_MS until the term has ended."""
        try:
            while not self._clock.wait(self._term.ended, REPORT_INTERVAL_MS):
                self.report_waits()
        finally:
            with self.lock:
                self._run_log.flush()
            if self._metrics is not None:
                self._metrics.clear_waits()

    def report_waits(self):
        """Log and measure what is awaited and held now."""
        with self.lock:
            now_ms = self._clock.now_ms()
            self._run_log.flush()
            self._awaited_log.name_if_due(
                self._unresolved,
                self._worker_states,
                now_ms,
                self._leases_end_ms,
            )
            steps = [s for s in self._open_steps.values() if s.waiting]
            self._held_log.update(steps, now_ms)
            if self._metrics is not None:
                self._measure(steps, now_ms)

    def _measure(self, steps, now_ms):
        counts = {reason.label: 0 for reason in state.HeldReason}
        counts[held.UNTRIED] = 0
        longest_lasting_ms = 0
        for step in steps:
            counts[held.reason_label(step)] += len(step.waiting)
            if step.spec.lasting:
                longest_lasting_ms = max(
                    longest_lasting_ms, step.waited_ms(now_ms)
                )
        self._metrics.record_waits(
            len(self._unresolved), counts, longest_lasting_ms
        )

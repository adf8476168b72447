"""Pacer, which slows best-effort tasks beside latency-sensitive ones."""

from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import state
from figtray.scheduling import worker_orders

# Shares of their speed, in percent, at which best-effort tasks may work.
SHARES = (100, 50, 25, 0)
# Parts of its limit (`tail_limit_ms`) at which the tail response time of a
# latency-sensitive task leads to another share.
SLOW_DOWN_AT = 0.9
SPEED_UP_AT = 0.6
# Time after which the tail shows the effect of a change.
SETTLE_MS = 700
# A larger share is tried only after the tail has been low for this long.
SPEED_UP_DELAY_MS = 2500


class Pacer:
    """Chooses the share of the best-effort tasks on each worker.

    Args:
        scheduler: the Scheduler, whose lock protects the runs.
        clock: the Clock.
    """

    def __init__(self, scheduler, clock):
        self._scheduler = scheduler
        self._clock = clock
        self._changed_ms = {}
        self._low_since_ms = {}

    def applies_to(self, worker_state):
        """Return whether a worker has tasks of both kinds."""
        latency_sensitive, best_effort = self._split_runs(worker_state)
        return bool(latency_sensitive and best_effort)

    def adjust(self, worker_state):
        """Order another share after a report, if the tails need it."""
        with self._scheduler.lock:
            latency_sensitive, best_effort = self._split_runs(worker_state)
            if not best_effort:
                return
            now_ms = self._clock.now_ms()
            incarnation = worker_state.worker.incarnation
            pressure = (
                max(
                    (run.load / run.task.step.spec.tail_limit_ms)
                    for run in latency_sensitive
                )
                if latency_sensitive
                else 0
            )
            if pressure > SPEED_UP_AT:
                self._low_since_ms[incarnation] = now_ms
            since_ms = self._changed_ms.get(incarnation, -SETTLE_MS)
            if now_ms - since_ms < SETTLE_MS:
                return
            share = min(run.pace_percent for run in best_effort)
            target_share = self._target_share(
                incarnation, share, pressure, now_ms
            )
            outdated = [
                run for run in best_effort if run.pace_percent != target_share
            ]
            if not outdated:
                return
            self._changed_ms[incarnation] = now_ms
            for run in outdated:
                run.pace_percent = target_share
                worker_state.orders.put(worker_orders.Pace(run, target_share))
            log.emit(
                catalogue.FILLING_PACED,
                worker=worker_state.worker.worker_id,
                percent=target_share,
                runs=len(outdated),
                pressure=round(pressure, 2),
            )

    def invalidate(self, run):
        """Record that the last Pace order for a run may be lost."""
        with self._scheduler.lock:
            run.pace_percent = -1

    def _target_share(self, incarnation, share, pressure, now_ms):
        # The share is unknown (-1) after a Pace order that may be lost.
        if share not in SHARES:
            return SHARES[-1] if pressure > SPEED_UP_AT else SHARES[0]
        index = SHARES.index(share)
        if pressure > SLOW_DOWN_AT:
            return SHARES[min(index + 1, len(SHARES) - 1)]
        low_ms = now_ms - self._low_since_ms.get(
            incarnation, now_ms - SPEED_UP_DELAY_MS
        )
        if index and pressure <= SPEED_UP_AT and low_ms >= SPEED_UP_DELAY_MS:
            self._low_since_ms[incarnation] = now_ms
            return SHARES[index - 1]
        return share

    def _split_runs(self, worker_state):
        with self._scheduler.lock:
            latency_sensitive, best_effort = [], []
            for run in worker_state.runs.values():
                if run.phase != state.Phase.RUNNING:
                    continue
                spec = run.task.step.spec
                if spec.fills:
                    best_effort.append(run)
                elif spec.tail_limit_ms:
                    latency_sensitive.append(run)
            return latency_sensitive, best_effort

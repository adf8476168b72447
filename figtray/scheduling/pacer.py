"""Slows tasks that fill where they slow tasks that serve."""

from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import orders
from figtray.scheduling import state

# Shares in percent at which tasks that fill may work, from free to stopped.
SHARES = (100, 50, 25, 0)
# Parts of its limit at which the tail of a serving task calls for a change.
SLOW_DOWN_AT = 0.9
SPEED_UP_AT = 0.6
# A change shows in the tail after about this time.
SETTLE_MS = 700
# Speeding up is tried again only after the tail has been low for this long.
CALM_MS = 2500


class Pacer:
    """Chooses the share of the tasks that fill, worker by worker.

    Args:
        scheduler: the Scheduler, whose lock protects the runs.
        clock: the Clock.
    """

    def __init__(self, scheduler, clock):
        self._scheduler = scheduler
        self._clock = clock
        self._changed_ms = {}
        self._calm_since_ms = {}

    def concerns(self, place):
        """Tell whether serving and filling tasks share a worker."""
        serving, filling = self._split(place)
        return bool(serving and filling)

    def adjust(self, place):
        """Order other shares after a report, if they are called for."""
        with self._scheduler.lock:
            serving, filling = self._split(place)
            if not filling:
                return
            now_ms = self._clock.now_ms()
            life = place.worker.incarnation
            pressure = (
                max(
                    (run.load / run.task.step.spec.tail_limit_ms)
                    for run in serving
                )
                if serving
                else 0
            )
            if pressure > SPEED_UP_AT:
                self._calm_since_ms[life] = now_ms
            since_ms = self._changed_ms.get(life, -SETTLE_MS)
            if now_ms - since_ms < SETTLE_MS:
                return
            share = min(run.paced for run in filling)
            wanted = self._wanted(life, share, pressure, now_ms)
            late = [run for run in filling if run.paced != wanted]
            if not late:
                return
            self._changed_ms[life] = now_ms
            for run in late:
                run.paced = wanted
                place.orders.put(orders.Pace(run, wanted))
            log.emit(
                catalogue.FILLING_PACED,
                worker=place.worker.worker_id,
                percent=wanted,
                runs=len(late),
                pressure=round(pressure, 2),
            )

    def forget(self, run):
        """Note that a share may not be in force."""
        with self._scheduler.lock:
            run.paced = -1

    def _wanted(self, life, share, pressure, now_ms):
        if share not in SHARES:
            return SHARES[-1] if pressure > SPEED_UP_AT else SHARES[0]
        index = SHARES.index(share)
        if pressure > SLOW_DOWN_AT:
            return SHARES[min(index + 1, len(SHARES) - 1)]
        calm_ms = now_ms - self._calm_since_ms.get(life, now_ms - CALM_MS)
        if index and pressure <= SPEED_UP_AT and calm_ms >= CALM_MS:
            self._calm_since_ms[life] = now_ms
            return SHARES[index - 1]
        return share

    def _split(self, place):
        with self._scheduler.lock:
            serving, filling = [], []
            for run in place.runs.values():
                if run.phase != state.Phase.RUNNING:
                    continue
                spec = run.task.step.spec
                if spec.fills:
                    filling.append(run)
                elif spec.tail_limit_ms:
                    serving.append(run)
            return serving, filling

"""State of one term that the parts of the scheduler share."""

import threading

import msgspec

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import model
from figtray.jobs import records
from figtray.scheduling import arrivals
from figtray.scheduling import leases
from figtray.scheduling import orders
from figtray.scheduling import quota
from figtray.scheduling import state

# Run numbers of one term of a task; later terms begin above them.
RUNS_PER_TERM = 1 << 16
UNHEALTHY_PAUSE_MS = 1000
# The entry of a worker stays for three heartbeats after its end.
PAST_LIFE_MS = 5000


class Book:
    """State and basic steps; methods may be called from any thread.

    Args:
        term: the Term.
        clock: the Clock.
        writer: the Writer of the term.
        bounds: times that the platform promises; see platform.settings.
        fresh: returns whether the configuration is known to be recent.
        metrics: the Metrics, or None.
    """

    def __init__(self, term, clock, writer, bounds, fresh, metrics=None):
        self.lock = threading.RLock()
        self.changed = threading.Event()
        # Set when jobs and workers of earlier terms are known.
        self.loaded = threading.Event()
        # Whether hosts are on their way whose workers will be listed soon.
        self.workers_expected = False
        self._term = term
        self._clock = clock
        self._writer = writer
        self._lease_ms = leases.lease_ms(bounds)
        self._fresh = fresh
        self._metrics = metrics
        self._cfg = None
        self._evacuated = frozenset()
        self._jobs = {}
        self._open_steps = {}
        self._places = {}
        # Lives that are over, with the time until which a lagging entry of
        # them is ignored.
        self._past_lives = {}
        self._timed = set()
        self._quota = quota.Quota()
        self._arrivals = arrivals.ArrivalMeter()
        self._work = arrivals.WorkMeter()
        self._unaccounted = set()
        self._adoption_ends_ms = 0
        # Ids whose records were removed, with the time of their removal.
        self._removed = {}
        # Cancellations of jobs that never came, with their time.
        self._early_cancels = {}

    def place(self, life):
        """Return the WorkerState of a life, or None."""
        with self.lock:
            return self._places.get(life)

    def places(self):
        """Return all WorkerStates that are not over."""
        with self.lock:
            return list(self._places.values())

    def find_task(self, name):
        """Return the TaskState of a name, or None."""
        try:
            task_id = model.parse_task_id(name)
        except ValueError:
            return None
        job = self._jobs.get(task_id.job_id)
        occurrence = job and job.occurrences.get(task_id.occurrence)
        if not occurrence or task_id.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[task_id.step].tasks
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def _by_id(self, worker_id):
        for place in self._places.values():
            if place.worker.worker_id == worker_id and not place.over:
                return place
        return None

    def _attach(self, run):
        task, spec = run.task, run.task.step.spec
        task.run = run
        task.last_run = max(task.last_run, run.number)
        run.place.runs[task.name] = run
        run.place.used += state.occupied(spec)
        self._quota.add(task.step.job.spec.team, spec.needs)

    def _detach(self, run):
        task, spec = run.task, run.task.step.spec
        task.run = None
        run.place.runs.pop(task.name, None)
        run.place.used -= state.occupied(spec)
        self._quota.remove(task.step.job.spec.team, spec.needs)

    def stop(self, run, reason):
        """Stop a run; the task starts again unless its job has ended."""
        with self.lock:
            if run.task.run is not run or run.phase == state.Phase.STOPPING:
                return
            log.emit(
                catalogue.TASK_STOPPED,
                task=run.task.name,
                run=run.number,
                worker=run.place.worker.worker_id,
                reason=reason,
            )
            self._stop(run)

    def _stop(self, run):
        run.phase = state.Phase.STOPPING
        run.settled_ms = None
        run.place.orders.put(orders.Stop(run))
        run.place.wake.set()

    def _release(self, run, reason):
        """Take back a run that never started."""
        if run.task.run is run:
            self._detach(run)
            self._wait_again(run.task)

    def _lose(self, run, reason):
        """Note that a run is over without a known end."""
        task = run.task
        log.emit(
            catalogue.RUN_LOST,
            task=task.name,
            run=run.number,
            worker=run.place.worker.worker_id,
            reason=reason,
        )
        self._detach(run)
        if not task.done and not task.step.job.ended:
            self._wait_again(task)

    def _life_over(self, place, reason):
        if place.over:
            return
        place.over = True
        log.emit(
            catalogue.WORKER_GONE,
            worker=place.worker.worker_id,
            born_ms=place.worker.born_ms,
            runs=len(place.runs),
            reason=reason,
        )
        for run in list(place.runs.values()):
            self._lose(run, 'its worker has gone')
        self._places.pop(place.worker.incarnation, None)
        self._past_lives[place.worker.incarnation] = (
            self._clock.now_ms() + PAST_LIFE_MS
        )
        self._account_for(place.worker.incarnation, reason)
        place.orders.put(None)
        place.wake.set()

    def _account_for(self, life, reason):
        if life in self._unaccounted:
            self._unaccounted.discard(life)
            log.emit(
                catalogue.LIFE_ACCOUNTED,
                worker=life.worker_id,
                born_ms=life.born_ms,
                reason=reason,
                left=len(self._unaccounted),
            )
            if not self._unaccounted:
                log.emit(catalogue.WORKERS_ACCOUNTED)

    def _adopting(self, now_ms):
        return bool(self._unaccounted) and now_ms < self._adoption_ends_ms

    def _wait_again(self, task):
        task.ready_ms = self._clock.now_ms()
        if task.step.open:
            task.step.waiting.append(task)

    def _store_progress(self, job):
        self._writer.enqueue(
            records.PROGRESS_PREFIX + job.job_id, lambda: self._encode(job)
        )

    def _encode(self, job):
        with self.lock:
            return msgspec.json.encode(job.progress())

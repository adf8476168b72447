"""Promises of figtray, checked by what workers and callers see."""

import collections
import dataclasses
import threading

from figtray.fleet import memory
from figtray.fleet import messages
from figtray.jobs import model

# Bounds of the platform's settings; see platform.settings.Bounds.
CONTACT_MS = 3000
CANCEL_MS = 3000
REVOKE_MS = 5000
EVACUATE_MS = 5000
LIMIT_OVERRUN = 0.1


@dataclasses.dataclass(frozen=True)
class Violation:
    """A promise that was broken.

    Attributes:
        promise: its name.
        at_ms: time since the start of the soak.
        detail: what was seen.
    """

    promise: str
    at_ms: int
    detail: str


@dataclasses.dataclass
class Job:
    """What callers know of a job.

    Attributes:
        steps: the steps as they were submitted.
        tried: whether a submission may have arrived.
        refused: whether all submissions were refused.
        accepted_ms: time of the acceptance, or None.
        cancel_ms: time of the first cancellation, or None.
        cancelled_ms: time of its acknowledgement, or None.
        state: the state that was shown last.
    """

    steps: list
    tried: bool = False
    refused: bool = False
    accepted_ms: int | None = None
    cancel_ms: int | None = None
    cancelled_ms: int | None = None
    state: str = ''


class Oracle(memory.RunObserver):
    """Watches runs and answers; methods may be called from any thread.

    Args:
        clock: the Clock.
        limit_milli: limit of the team in thousandths of a core.
        task_milli: needs of each task.
    """

    def __init__(self, clock, limit_milli, task_milli):
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._limit_milli = limit_milli
        self._task_milli = task_milli
        self._lock = threading.RLock()
        self._running = collections.defaultdict(dict)
        # Runs of each task that ended as done, as (life, task, run).
        self._done = collections.defaultdict(set)
        self._noted = set()
        # Those of them after which the task was started again.
        self._repeated = set()
        self._last_fault_ms = -CONTACT_MS
        self._faults = 0
        self._zone_out = None
        self._withdrawn_ms = None
        self.workers = None
        self.jobs = {}
        self.violations = []
        self.starts = []

    def now_ms(self):
        """Return the time since the start of the soak."""
        return self._clock.now_ms() - self._began_ms

    # What the workers see.

    def run_started(self, sim, task, run):
        # Leases are over by the worker's clock, whether it was asked or not.
        self.workers.expire()
        with self._lock:
            now_ms = self.now_ms()
            self.starts.append(now_ms)
            self._running[task][sim.worker.incarnation] = run
            if len(self._running[task]) > 1:
                self._broken('one run at a time', f'{task} {run}')
            if task in self._noted:
                self._broken('no start after the end', f'{task} {run}')
            self._repeated |= self._done[task]
            self._check_known(task)
            self._check_limit(task)
            self._check_zone(sim, task, now_ms)

    def run_ended(self, sim, task, run, reason):
        with self._lock:
            self._running[task].pop(sim.worker.incarnation, None)
            if reason is messages.EndReason.DONE:
                self._done[task].add((sim.worker.incarnation, task, run))

    def end_acknowledged(self, sim, item):
        with self._lock:
            if item.end is not messages.EndReason.DONE:
                return
            self._noted.add(item.task)
            if (sim.worker.incarnation, item.task, item.run) in self._repeated:
                self._broken(
                    'no start after the end', f'{item.task} started again'
                )

    def _check_known(self, task):
        task_id = model.parse_task_id(task)
        job = self.jobs.get(task_id.job_id)
        if job is None or not job.tried:
            self._broken('nothing unasked', task)
            return
        for number in job.steps[task_id.step].get('after', ()):
            for index in range(job.steps[number]['count']):
                before = model.TaskId(task_id.job_id, 0, number, index)
                if not self._done[str(before)]:
                    self._broken('order of steps', f'{task} before {before}')
        cancelled_ms = job.cancelled_ms
        if cancelled_ms is not None and self._calm():
            if self.now_ms() > cancelled_ms + CANCEL_MS:
                self._broken('cancelled jobs do not start', task)

    def _check_limit(self, task):
        milli = self._task_milli * sum(
            len(lives) for lives in self._running.values()
        )
        allowed = self._limit_milli * (1 + LIMIT_OVERRUN) + self._task_milli
        if milli > allowed:
            self._broken('limit of the team', f'{milli} with {task}')

    def _check_zone(self, sim, task, now_ms):
        if self._zone_out is None or not self._calm():
            return
        zone, since_ms = self._zone_out
        if sim.worker.zone == zone and now_ms > since_ms + EVACUATE_MS:
            self._broken('no start in a zone that is out', f'{task} in {zone}')

    # What callers and operators see.

    def submitting(self, job_id, steps):
        """Note that a job is about to be submitted."""
        with self._lock:
            self.jobs.setdefault(job_id, Job(steps)).tried = True

    def submitted(self, job_id, statuses):
        """Note the statuses of all submissions of a job; 0 is no answer."""
        with self._lock:
            job = self.jobs[job_id]
            if 200 in statuses:
                job.accepted_ms = self.now_ms()
            job.refused = all(status in (429, 503) for status in statuses)

    def cancelling(self, job_id):
        """Note that a job is about to be cancelled."""
        with self._lock:
            self.jobs[job_id].cancel_ms = self.now_ms()

    def cancelled(self, job_id):
        """Note that a cancellation was acknowledged."""
        with self._lock:
            self.jobs[job_id].cancelled_ms = self.now_ms()

    def shown(self, job_id, status, state):
        """Note the answer to a caller who asked for a job."""
        with self._lock:
            job = self.jobs[job_id]
            if status == 200:
                job.state = state
            if status == 410 and job.accepted_ms is not None:
                if self._calm():
                    self._broken('accepted jobs are known', job_id)
            if state == 'completed' and not self._all_done(job_id, job):
                self._broken('completed means done', job_id)
            if state == 'cancelled' and job.cancel_ms is None:
                self._broken('cancelled only when asked', job_id)
            if state == 'failed':
                self._broken('failed only with a cause', job_id)

    def key_withdrawn(self):
        """Note that a key of the team was withdrawn."""
        with self._lock:
            self._withdrawn_ms = self.now_ms()

    def key_used(self, asked_ms, status):
        """Note the answer to a call with the withdrawn key."""
        with self._lock:
            since_ms = self._withdrawn_ms
            if since_ms is None or status != 200:
                return
            if asked_ms > since_ms + REVOKE_MS:
                self._broken('withdrawn keys do not work', f'at {asked_ms}')

    def zone_changed(self, zone):
        """Note the zone that is out of service; None = none is."""
        with self._lock:
            self._zone_out = zone and (zone, self.now_ms())

    def fault_began(self):
        """Note that a fault begins."""
        with self._lock:
            self._faults += 1

    def fault_ended(self):
        """Note that a fault has ended."""
        with self._lock:
            self._faults -= 1
            self._last_fault_ms = self.now_ms()

    def _calm(self):
        """Tell whether all nodes are in contact with everything."""
        return not self._faults and (
            self.now_ms() > self._last_fault_ms + CONTACT_MS
        )

    # The end.

    def finished(self):
        """Tell whether all accepted jobs have ended, as callers see it."""
        with self._lock:
            return all(
                job.state in ('completed', 'cancelled')
                for job in self.jobs.values()
                if job.accepted_ms is not None and job.cancel_ms is None
            )

    def check_end(self):
        """Check what must hold after all faults are over."""
        with self._lock:
            started = {
                model.parse_task_id(task).job_id for task in self._running
            }
            for job_id, job in self.jobs.items():
                if job.refused and job_id in started:
                    self._broken('refused jobs never run', job_id)
                if job.accepted_ms is None or job.cancel_ms is not None:
                    continue
                if job.state != 'completed':
                    self._broken(
                        'accepted jobs complete', f'{job_id} is {job.state!r}'
                    )

    def _all_done(self, job_id, job):
        return all(
            self._done[str(model.TaskId(job_id, 0, number, index))]
            for number, step in enumerate(job.steps)
            for index in range(step['count'])
        )

    def _broken(self, promise, detail):
        self.violations.append(Violation(promise, self.now_ms(), detail))

"""Invariants of figtray, checked on the events of workers and callers."""

import collections
import math
import threading

from figtray.fleet import memory
from figtray.fleet import messages
from figtray.jobs import model
from figtray.soak import callers
from figtray.soak import capacities
from figtray.soak import crash_loops
from figtray.soak import deadly
from figtray.soak import lasting
from figtray.soak import observations

# Time allowed after a fault for all nodes to reach all services again.
SETTLE_MS = 3000
# No task starts so long after an acknowledged cancellation; not a setting.
CANCEL_BOUND_MS = 3000
# Defaults of revoke_ms and evacuate_ms in platform.settings.Bounds.
REVOKE_BOUND_MS = 5000
EVACUATE_BOUND_MS = 5000
LIMIT_OVERRUN_FRACTION = 0.1


class InvariantChecker(memory.RunObserver):
    """Checks invariants on events of workers, callers and operators.

    The methods may be called from any thread.

    Attributes:
        workers: MemoryWorkers to observe; set before the first run starts.
        jobs: mapping of job id to observations.Job.
        violations: list of observations.Violation.
        start_times_ms: times of the starts of runs since the start of the
            soak.

    Args:
        clock: Clock to use.
        limit_milli: limit of the team of the jobs that are neither lasting
            nor deadly nor slow, in thousandths of a core.
        task_milli: need of each of its tasks in thousandths of a core.
    """

    def __init__(self, clock, limit_milli, task_milli):
        self._clock = clock
        self._start_ms = clock.now_ms()
        self._limit_milli = limit_milli
        self._task_milli = task_milli
        self._lock = threading.RLock()
        self._running_by_task = collections.defaultdict(dict)
        # By task, its runs that ended as done: (incarnation, task, run), with
        # their SimWorkers and the times of the ends on the workers' clocks.
        self._done_runs = collections.defaultdict(dict)
        self._acknowledged_tasks = set()
        # Runs that ended as done before a later start of their task, while
        # the leases of their workers held.
        self._restarted_runs = set()
        self._last_fault_ms = -SETTLE_MS
        self._active_faults = 0
        # Zone out of service, or None, since a time.
        self._zone_out_of_service = None, 0
        self._key_withdrawn_ms = math.inf
        self.workers = None
        self.jobs = {}
        self.violations = []
        self.start_times_ms = []
        self._capacities = capacities.CapacityHistory(self.jobs)
        self._crash_budget = deadly.CrashBudget(self.jobs)
        self._waiting_tasks = lasting.WaitingTasks(
            self.jobs, self._running_by_task
        )

    def now_ms(self):
        """Return the time since the start of the soak in milliseconds."""
        return self._clock.now_ms() - self._start_ms

    # Events of workers.

    def run_started(self, sim, task, run):
        with self._lock:
            self._running_by_task[task][sim.worker.incarnation] = run
        # A run ends when its lease expires by the worker's clock, but the
        # simulated workers record that only when they are called.
        self.workers.expire()
        with self._lock:
            now_ms = self.now_ms()
            self.start_times_ms.append(now_ms)
            # A worker that is cut off is up, and its runs go on.
            if len(runs := self._running_by_task[task]) > 1:
                self._record_violation('one run at a time', f'{task} {runs}')
            if task in self._acknowledged_tasks:
                self._record_violation(
                    'no start after the end', f'{task} {run}'
                )
            self._restarted_runs.update(
                key
                for key, (done_sim, done_ms) in self._done_runs[task].items()
                if not _has_lapsed_since(done_sim, done_ms)
            )
            self._check_job(task)
            self._check_team_limit(task)
            self._check_zone(sim, task, now_ms)
            stable = self._is_stable()
            if not self._capacities.covers(sim, now_ms, stable):
                self._record_violation('capacity of the worker', task)
            if stable and self._crash_budget.is_exceeded_by(task):
                self._record_violation('crashes end', f'{task} {run}')

    def run_ended(self, sim, task, run, reason):
        with self._lock:
            self._running_by_task[task].pop(sim.worker.incarnation, None)
            self._waiting_tasks.record_end(task, self.now_ms())
            if reason is None:
                self._crash_budget.record_crash(task)
            if reason is messages.EndReason.DONE:
                key = sim.worker.incarnation, task, run
                self._done_runs[task][key] = sim, sim.clock_ms()

    def end_acknowledged(self, sim, ended_run):
        with self._lock:
            if ended_run.end is not messages.EndReason.DONE:
                return
            self._acknowledged_tasks.add(ended_run.task)
            key = sim.worker.incarnation, ended_run.task, ended_run.run
            if key in self._restarted_runs:
                self._record_violation(
                    'no start after the end', f'{ended_run.task} started again'
                )

    def _check_job(self, task):
        task_id = model.parse_task_id(task)
        job = self.jobs.get(task_id.job_id)
        if job is None or not job.attempted:
            self._record_violation('nothing unasked', task)
            return
        after = job.steps[task_id.step].get('after', ())
        for predecessor in self._undone_tasks(task_id.job_id, after):
            self._record_violation(
                'order of steps', f'{task} before {predecessor}'
            )
        cancelled_ms = job.cancelled_ms
        if cancelled_ms is not None and self._is_stable():
            if self.now_ms() > cancelled_ms + CANCEL_BOUND_MS:
                self._record_violation('cancelled jobs do not start', task)

    def _check_team_limit(self, task):
        team = self._team_of(task)
        if team in (deadly.TEAM, crash_loops.TEAM):
            return
        limit_milli, task_milli = self._limit_milli, self._task_milli
        if team is lasting.TEAM:
            limit_milli = lasting.TEAM.limit_milli
            task_milli = lasting.TASK_MILLI
        milli = task_milli * sum(
            len(runs)
            for other, runs in self._running_by_task.items()
            if runs and self._team_of(other) is team
        )
        allowed = limit_milli * (1 + LIMIT_OVERRUN_FRACTION) + task_milli
        if milli > allowed:
            self._record_violation('limit of the team', f'{milli} with {task}')

    def _team_of(self, task):
        """Return the Team of a task; None if it is the site's main one."""
        job = self.jobs.get(model.parse_task_id(task).job_id)
        if job and job.lasting:
            return lasting.TEAM
        if job and job.slow:
            return crash_loops.TEAM
        return deadly.TEAM if job and job.deadly else None

    def _check_zone(self, sim, task, now_ms):
        zone, since_ms = self._zone_out_of_service
        is_late = now_ms > since_ms + EVACUATE_BOUND_MS
        if sim.worker.zone == zone and is_late and self._is_stable():
            self._record_violation(
                'no start in a zone that is out', f'{task} in {zone}'
            )

    # Events of callers and operators.

    def record_submit_attempt(self, job_id, steps):
        """Record that a caller is about to submit a job."""
        with self._lock:
            self.jobs.setdefault(job_id, observations.Job(steps)).attempted = (
                True
            )

    def record_submit_result(self, job_id, statuses):
        """Record the HTTP statuses of all submissions of a job.

        Args:
            job_id: id of the job.
            statuses: list of statuses; 0 stands for no response.
        """
        with self._lock:
            job = self.jobs[job_id]
            if 200 in statuses:
                job.accepted_ms = self.now_ms()
            job.refused = all(status in (429, 503) for status in statuses)

    def record_cancel_attempt(self, job_id):
        """Record that a caller is about to cancel a job."""
        with self._lock:
            self.jobs[job_id].cancel_ms = self.now_ms()

    def record_cancel_acknowledged(self, job_id):
        """Record that a cancellation was acknowledged."""
        with self._lock:
            self.jobs[job_id].cancelled_ms = self.now_ms()

    def check_job_response(self, job_id, status, state):
        """Check the response to a caller's request for the state of a job.

        Args:
            job_id: id of the job.
            status: HTTP status; 0 stands for no response.
            state: state in the response; empty if there is none.
        """
        with self._lock:
            job = self.jobs[job_id]
            if status == 200:
                job.state = state
            if status == 410 and job.accepted_ms is not None:
                if self._is_stable():
                    self._record_violation('accepted jobs are known', job_id)
            steps = range(len(job.steps))
            if state == 'completed' and self._undone_tasks(job_id, steps):
                self._record_violation('completed means done', job_id)
            if state == 'cancelled' and job.cancel_ms is None:
                self._record_violation('cancelled only when asked', job_id)
            if state == 'failed' and not self._crash_budget.may_fail(job_id):
                self._record_violation('failed only with a cause', job_id)

    def record_key_given(self):
        """Record that the key is about to be given to the team again."""
        with self._lock:
            self._key_withdrawn_ms = math.inf

    def record_key_withdrawn(self):
        """Record that a key of the team was withdrawn."""
        with self._lock:
            self._key_withdrawn_ms = self.now_ms()

    def check_key_response(self, asked_ms, status):
        """Check the response to a call with the key that a fault withdraws.

        Args:
            asked_ms: start of the call, in milliseconds since the start of the
                soak.
            status: HTTP status; 0 stands for no response.
        """
        with self._lock:
            is_late = asked_ms > self._key_withdrawn_ms + REVOKE_BOUND_MS
            if is_late and status == 200:
                self._record_violation(
                    'withdrawn keys do not work', f'at {asked_ms}'
                )

    def record_cut(self, name):
        """Record that a node has cut off a request without being killed."""
        with self._lock:
            self._record_violation('requests are answered', name)

    def record_zone_out(self, zone):
        """Record which zone is out of service; None if none is."""
        with self._lock:
            self._zone_out_of_service = zone, self.now_ms()

    def record_resize(self, worker):
        """Record that the capacity of a worker is about to change."""
        with self._lock:
            self._capacities.record_resize(worker, self.now_ms())

    def record_fault_begin(self):
        """Record that a fault is about to be injected."""
        with self._lock:
            self._active_faults += 1

    def record_fault_end(self):
        """Record that a fault has ended."""
        with self._lock:
            self._active_faults -= 1
            self._last_fault_ms = self.now_ms()

    def _is_stable(self):
        """Return whether no fault is active and nodes have settled since.

        Time bounds hold only while nodes can reach all services.
        """
        return not self._active_faults and (
            self.now_ms() > self._last_fault_ms + SETTLE_MS
        )

    def check_lasting_tasks(self, workers):
        """Check that the lasting tasks run for which there is room.

        Args:
            workers: fleet Workers that are up, listed and not draining.
        """
        # Of runs whose leases have expired; see run_started().
        self.workers.expire()
        with self._lock:
            now_ms = self.now_ms()
            zone, _ = self._zone_out_of_service
            usable = [worker for worker in workers if worker.zone != zone]
            calm = not self._active_faults and (
                now_ms >= self._last_fault_ms + lasting.CALM_MS
            )
            for task in self._waiting_tasks.check(now_ms, usable, calm):
                self._record_violation('lasting tasks run', task)

    # End of the soak.

    def has_recovered(self):
        """Return whether all accepted jobs have ended or last and run.

        Jobs that a caller tried to cancel are left out.
        """
        with self._lock:
            return self._waiting_tasks.all_run() and all(
                job.lasting or job.state in callers.END_STATES
                for job in self.jobs.values()
                if job.accepted_ms is not None and job.cancel_ms is None
            )

    def check_final_state(self):
        """Check the invariants that must hold once all faults have ended."""
        with self._lock:
            started = {
                model.parse_task_id(task).job_id
                for task in self._running_by_task
            }
            for job_id, job in self.jobs.items():
                if job.refused and job_id in started:
                    self._record_violation('refused jobs never run', job_id)
                completed = job.lasting or job.state == 'completed'
                if job.is_owed and not completed:
                    self._record_violation(
                        'accepted jobs complete', f'{job_id} is {job.state!r}'
                    )
            for task in self._waiting_tasks.not_restarted(self.now_ms()):
                self._record_violation(
                    'lasting tasks run', f'{task} at the end'
                )

    def _undone_tasks(self, job_id, step_numbers):
        steps = self.jobs[job_id].steps
        tasks = (
            str(model.TaskId(job_id, 0, number, index))
            for number in step_numbers
            for index in range(steps[number]['count'])
        )
        return [task for task in tasks if not self._done_runs[task]]

    def _record_violation(self, promise, detail):
        self.violations.append(
            observations.Violation(promise, self.now_ms(), detail)
        )


def _has_lapsed_since(sim, done_ms):
    """Return whether the lease on a worker has lapsed since the end of a run.

    The task may then start again: nobody can tell that the run was done if
    its worker can't be reached.

    Args:
        sim: the SimWorker.
        done_ms: time of the end on its clock.
    """
    lapse_ms = sim.last_lapse_ms()
    return lapse_ms is not None and lapse_ms >= done_ms

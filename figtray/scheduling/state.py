"""State of jobs, tasks, runs and workers, as the leader knows it."""

import collections
import dataclasses
import enum
import functools
import queue
import threading

from figtray.jobs import model
from figtray.jobs import records

DEFAULT_ESTIMATE_MS = 1000


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """Capacity and demand of one pool; all fields are written to the log.

    Attributes:
        workers: number of workers on which tasks may start.
        capacity_milli: their processor time in thousandths of a core.
        lasting_milli: processor time that running lasting tasks need.
        short_milli: processor time that other running tasks need.
        waiting_milli: processor time that waiting tasks need; these are
            ready and have no run.
        later_milli: processor time that the steps that are not open yet
            will need.
        arriving_milli: processor time that the jobs arriving now will need.
        memory_mb: memory of all running and waiting tasks.
        waiting: number of waiting tasks.
        spread: number of workers that the widest lasting step needs.
        due: number of workers whose hosts have an upkeep ahead.
    """

    workers: int = 0
    capacity_milli: int = 0
    lasting_milli: int = 0
    short_milli: int = 0
    waiting_milli: int = 0
    later_milli: int = 0
    arriving_milli: int = 0
    memory_mb: int = 0
    waiting: int = 0
    spread: int = 0
    due: int = 0


class HeldReason(enum.Enum):
    """Why ready tasks of a step are not started."""

    TAKEOVER = 'workers of the former leader are awaited'
    NO_WORKERS = 'the pool has no worker in use'
    NO_ROOM = 'no worker has room'
    TEAM_LIMIT = 'the team is at its limit'
    GANG_INCOMPLETE = 'not all members of the gang are ready'

    @functools.cached_property
    def label(self):
        """Short name for log fields and metrics; it must not change."""
        return self.name.lower().replace('_', '-')


class Phase(enum.Enum):
    """Phase of a run, as the leader knows it."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


class Run:
    """One run of a task on one worker.

    Attributes:
        task: the TaskState.
        worker_state: the WorkerState of the worker on which it runs.
        number: number of the run.
        phase: the Phase.
        ordered_ms: local time of the decision to start it.
        confirmed_ms: local time at which the worker confirmed the last
            order, or at which the run was adopted; None while an order is
            unanswered. A report that was requested later and lacks the run
            proves that the run is over.
        percent: share of its full speed at which a lasting task works.
        load: see messages.ActiveRun.
        pace_percent: share of its speed at which it was ordered to work; -1
            if the order may be lost.
        full_speed_since_ms: local time since which it works at full speed;
            None if it doesn't.
        ticket: the adviser's ticket for the worker; empty if the queue needs
            none.
    """

    __slots__ = (
        'task',
        'worker_state',
        'number',
        'phase',
        'ordered_ms',
        'confirmed_ms',
        'percent',
        'load',
        'pace_percent',
        'full_speed_since_ms',
        'ticket',
    )

    def __init__(self, task, worker_state, number, ordered_ms, ticket=''):
        self.task = task
        self.worker_state = worker_state
        self.number = number
        self.phase = Phase.STARTING
        self.ordered_ms = ordered_ms
        self.confirmed_ms = None
        self.percent = 0
        self.load = 0
        self.pace_percent = 100
        self.full_speed_since_ms = None
        self.ticket = ticket


class TaskState:
    """One task of one occurrence of a job.

    Attributes:
        placement: of a lasting task, the records.Placement of its last run;
            None if it has had none.
    """

    __slots__ = (
        'step',
        'index',
        'name',
        'done',
        'failed_runs',
        'checkpoint',
        'last_run',
        'placement',
        'run',
        'ready_ms',
    )

    def __init__(self, step, index):
        self.step = step
        self.index = index
        self.name = str(
            model.TaskId(
                step.job.job_id, step.occurrence.number, step.number, index
            )
        )
        self.done = False
        self.failed_runs = []
        self.checkpoint = ''
        self.last_run = 0
        self.placement = None
        self.run = None
        self.ready_ms = 0


class StepState:
    """One step of one occurrence of a job.

    Attributes:
        waiting: tasks that are ready and have no run, in order.
        remaining: number of tasks that are not done.
        held_reason: the HeldReason of its waiting tasks, when their start
            was last tried.
        critical_path_ms: estimated time from its start to the end of the
            job.
        open: whether the steps before it are done.
        advice: the StepAdvice, or None.
    """

    def __init__(self, job, occurrence, number, spec, critical_path_ms):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.critical_path_ms = critical_path_ms
        self.tasks = [TaskState(self, index) for index in range(spec.count)]
        self.waiting = collections.deque()
        self.remaining = spec.count
        self.open = False
        self.held_reason = None
        self.advice = None

    @property
    def name(self):
        """Name of the step in requests to the adviser."""
        return f'{self.job.job_id}.{self.occurrence.number}.{self.number}'


class Occurrence:
    """One occurrence of a job, with its steps."""

    def __init__(self, job, number):
        self.number = number
        critical_paths = critical_paths_ms(job.spec.steps)
        self.steps = [
            StepState(job, self, index, spec, critical_paths[index])
            for index, spec in enumerate(job.spec.steps)
        ]

    def done(self):
        """Return whether all tasks of all steps are done."""
        return all(step.remaining == 0 for step in self.steps)


class JobState:
    """One job that the leader knows.

    Attributes:
        spec: the model.Job.
        created: revision of the store at which it was accepted.
        queue: the queues.Queue of the latest configuration that has it.
        due_ms: local time until which it is on time.
        over_rate: whether its team exceeded its rate by submitting it.
    """

    def __init__(self, job_id, spec, created, queue_cfg):
        self.job_id = job_id
        self.spec = spec
        self.created = created
        self.queue = queue_cfg
        self.state = records.State.QUEUED
        self.occurrences = {}
        self.cancelled = False
        self.ended_ms = 0
        self.arrived_ms = 0
        self.due_ms = 0
        self.over_rate = False
        # Progress of earlier terms, restored when an occurrence is opened.
        self.stored = None

    @property
    def started(self):
        """Whether a task of it has started, or it has ended."""
        return self.state != records.State.QUEUED

    @property
    def ended(self):
        """Whether it will start no more tasks."""
        return self.state.ended or self.cancelled

    def runs(self):
        """Yield the runs of all its tasks."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for task in step.tasks:
                    if task.run is not None:
                        yield task.run

    def _stored_elsewhere(self, field):
        """Return a field of the stored Progress, less open occurrences."""
        if self.stored is None:
            return {}
        return {
            key: value
            for key, value in getattr(self.stored, field).items()
            if int(key.split('.')[0]) not in self.occurrences
        }

    def progress(self):
        """Return the records.Progress to store.

        What earlier terms have stored on occurrences that are not open in
        this term is kept.
        """
        done, failures, checkpoints, placements = (
            self._stored_elsewhere(field)
            for field in ('done', 'failures', 'checkpoints', 'placements')
        )
        for number, occurrence in self.occurrences.items():
            for step in occurrence.steps:
                mask = 0
                for task in step.tasks:
                    if task.done:
                        mask |= 1 << task.index
                        continue
                    key = f'{number}.{step.number}.{task.index}'
                    if task.failed_runs:
                        failures[key] = tuple(task.failed_runs)
                    if task.checkpoint:
                        checkpoints[key] = task.checkpoint
                    if task.placement:
                        placements[key] = task.placement
                if mask:
                    done[f'{number}.{step.number}'] = mask
        if self.state.ended:
            failures, checkpoints, placements = {}, {}, {}
        return records.Progress(
            state=self.state,
            done=done,
            failures=failures,
            checkpoints=checkpoints,
            placements=placements,
            ended_ms=self.ended_ms,
        )


class WorkerState:
    """One incarnation of a worker, with its runs.

    Attributes:
        worker: the fleet Worker.
        runs: mapping of task name to its Run.
        used: Resources that the runs occupy; see occupied().
        has_reported: whether it has reported in the present term.
        on_roster: whether the stored roster has it, so that a later leader
            knows that tasks may run on it.
        listed: whether its entry is in the store.
        unresponsive: whether the last request for a report failed; its lease
            is not extended then, so that the end of the lease is known.
        report_error: why the last request for a report failed; empty if it
            was answered.
        gone: whether this incarnation has ended.
        cordon_reasons: why no task may start on it; empty if tasks may.
        cordon_reason: the same in one string.
        upkeep_due: whether its host has an upkeep ahead.
        avoid_until_ms: local time until which no task is started on it.
        seen_end: number of the last end that was recorded.
        acknowledged: number of the last end that is stored.
        sent_acknowledged: number of the last end that the worker was asked to
            forget.
        clock_ms: the worker's clock in its last report; None before that.
        clock_read_ms: local time at which that report arrived.
        lease_until_ms: latest end of the lease, on the worker's clock, that
            the worker may have been asked for.
        requested_lease_ms: end of the lease in the request for a report that
            is under way; 0 if there is none.
        refused_connections: number of refused connections in a row.
        host_seen: whether a host list of this term has had its host.
        host_lost_since_ms: local time since which the host lists lack its
            host, or show it down without a worker; None if the last one
            doesn't.
        unanswered_starts: number of starts in a row that got no reply.
        strays: for each stray run, the local time of the last order to stop
            it.
        orders: queue of orders for the session's order threads.
        wake: wakes the session's report thread from its idle wait.
        failures: number of failed runs since a task was last done.
        failed_jobs: ids of the jobs of these runs.
    """

    def __init__(self, worker):
        self.worker = worker
        self.runs = {}
        self.used = model.NO_RESOURCES
        self.has_reported = False
        self.on_roster = False
        self.listed = True
        self.unresponsive = False
        self.report_error = ''
        self.gone = False
        self.cordon_reasons = frozenset()
        self.cordon_reason = ''
        self.upkeep_due = False
        self.avoid_until_ms = 0
        self.seen_end = 0
        self.acknowledged = 0
        self.sent_acknowledged = 0
        self.clock_ms = None
        self.clock_read_ms = None
        self.lease_until_ms = 0
        self.requested_lease_ms = 0
        self.refused_connections = 0
        self.host_seen = False
        self.host_lost_since_ms = None
        self.unanswered_starts = 0
        self.strays = {}
        self.orders = queue.SimpleQueue()
        self.wake = threading.Event()
        self.failed_jobs = set()
        self.failures = 0

    def set_cordoned(self, reason, cordoned):
        """Set whether the worker is cordoned for a reason."""
        reasons = self.cordon_reasons - {reason}
        if cordoned:
            reasons |= {reason}
        self.cordon_reasons = reasons
        self.cordon_reason = ', '.join(sorted(reasons))

    def placement(self):
        """Return the records.Placement of the runs on this incarnation."""
        return records.Placement(self.worker.worker_id, self.worker.born_ms)

    def worker_clock(self, now_ms):
        """Return an estimate of the worker's clock; None if unknown."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + now_ms - self.clock_read_ms

    def extend_lease(self, lease_until_ms):
        """Record that the worker may have been asked for a longer lease."""
        self.lease_until_ms = max(self.lease_until_ms, lease_until_ms)

    def settle_requested_lease(self, was_sent):
        """Record whether the request for a report under way was sent.

        One that was certainly not sent has not extended the lease.
        """
        if was_sent:
            self.extend_lease(self.requested_lease_ms)
        self.requested_lease_ms = 0

    def is_lease_over(self, now_ms, slowest_rate, margin_ms):
        """Return whether the lease on the worker has certainly expired.

        Args:
            now_ms: local time.
            slowest_rate: rate of the slowest possible clock of a worker.
            margin_ms: safety margin in milliseconds.
        """
        if self.clock_ms is None:
            return False
        passed_ms = (now_ms - self.clock_read_ms) * slowest_rate
        return self.clock_ms + passed_ms > self.lease_until_ms + margin_ms

    def free_resources(self):
        """Return the Resources that no run occupies."""
        return self.worker.capacity - self.used


def critical_paths_ms(steps):
    """Return the length of each step's critical path to the end of the job.

    Args:
        steps: the model.Steps; each depends on earlier ones only.

    Returns:
        List of estimated times in milliseconds.
    """
    after = [0] * len(steps)
    for number in reversed(range(len(steps))):
        after[number] += steps[number].estimate_ms or DEFAULT_ESTIMATE_MS
        for before in steps[number].after:
            after[before] = max(after[before], after[number])
    return after


def occupied(spec):
    """Return the Resources that a task of a step occupies on its host.

    A best-effort task occupies no processor time: it gets only what other
    tasks leave unused.
    """
    if spec.fills:
        return model.Resources(0, spec.needs.memory_mb, spec.needs.gpus)
    return spec.needs

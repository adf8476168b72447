"""What the leader knows of jobs, tasks, runs and workers."""

import collections
import dataclasses
import enum
import queue
import threading

from figtray.jobs import model
from figtray.jobs import records

DEFAULT_ESTIMATE_MS = 1000


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """What one pool has, does and is asked for.

    Attributes:
        workers: number of workers on which tasks may start.
        capacity_milli: their processor time in thousandths of a core.
        lasting_milli: part of it that lasting tasks occupy.
        short_milli: part of it that other tasks occupy.
        waiting_milli: needs of the tasks that are ready and have no run.
        later_milli: needs of the tasks of later steps of jobs that run.
        arriving_milli: what the jobs that arrive now will occupy.
        memory_mb: memory of all tasks that run or wait.
        waiting: number of tasks that wait.
        spread: workers that the widest lasting step needs.
        due: number of workers whose hosts will have their upkeep soon.
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
    """Why tasks of a step that are ready have no run."""

    TAKEOVER = 'workers of the former leader are awaited'
    NO_WORKERS = 'the pool has no worker in use'
    NO_ROOM = 'no worker has room'
    TEAM_LIMIT = 'the team is at its limit'
    GANG_INCOMPLETE = 'not all members of the gang are ready'


class Phase(enum.Enum):
    """Phase of a run, as far as the leader knows."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


class Run:
    """One run of a task on one worker.

    Attributes:
        task: the TaskState.
        place: the WorkerState on which it runs.
        number: number of the run.
        phase: the Phase.
        ordered_ms: local time of the decision to start it.
        settled_ms: local time after which a report that lacks this run
            proves that it is over; None while an order is unanswered.
        percent: part of its full speed at which a lasting task works.
        load: see messages.ActiveRun.
        paced: share in percent at which it was told to work.
        at_work_ms: local time since which it works at full speed; None if
            it doesn't.
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
    """One task of one occurrence of a job."""

    __slots__ = (
        'step',
        'index',
        'name',
        'done',
        'failed_runs',
        'checkpoint',
        'last_run',
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
        self.run = None
        self.ready_ms = 0


class StepState:
    """One step of one occurrence of a job.

    Attributes:
        waiting: tasks that are ready and have no run, in order.
        left: number of tasks that are not done.
        held: why its waiting tasks did not start when it was last tried.
        chain_ms: estimated time from its start to the end of the job.
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
        """Name of the step, as advice is asked for it."""
        return f'{self.job.job_id}.{self.occurrence.number}.{self.number}'


class Occurrence:
    """One run through the steps of a job."""

    def __init__(self, job, number):
        self.number = number
        critical_paths = critical_paths_ms(job.spec.steps)
        self.steps = [
            StepState(job, self, index, spec, critical_paths[index])
            for index, spec in enumerate(job.spec.steps)
        ]

    def done(self):
        """Tell whether all tasks of all steps are done."""
        return all(step.remaining == 0 for step in self.steps)


class JobState:
    """One job that the leader knows.

    Attributes:
        spec: the model.Job.
        created: revision of the store at which it was accepted.
        queue: the queues.Queue that it was last configured for.
        due_ms: local time until which it is on time.
        excess: whether its team has sent more than it is entitled to.
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
        # Progress of occurrences that were not opened yet.
        self.stored = None

    @property
    def started(self):
        """Whether a task of it has started."""
        return self.state != records.State.QUEUED

    @property
    def ended(self):
        """Whether nothing of it will run any more."""
        return self.state.ended or self.cancelled

    def runs(self):
        """Yield the runs of all its tasks."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for task in step.tasks:
                    if task.run is not None:
                        yield task.run

    def progress(self):
        """Return the records.Progress to store."""
        done, failures, checkpoints = {}, {}, {}
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
                if mask:
                    done[f'{number}.{step.number}'] = mask
        if self.state.ended:
            failures, checkpoints = {}, {}
        return records.Progress(
            state=self.state,
            done=done,
            failures=failures,
            checkpoints=checkpoints,
            ended_ms=self.ended_ms,
        )


class WorkerState:
    """One life of a worker, with what runs on it.

    Attributes:
        worker: the fleet Worker.
        runs: mapping of task name to its Run.
        used: what the runs occupy; tasks that fill occupy memory only.
        reached: whether it has answered under the present term.
        on_roster: whether a later leader would know that tasks may run
            here.
        listed: whether its entry is in the store.
        silent: whether the last report failed; no lease is extended then,
            so that its end is known.
        over: whether this life has ended.
        closing: why no task may start, as its host is wanted; or empty.
        due: whether its host will be wanted soon.
        avoid_until_ms: local time until which nothing is started on it.
        refusals: connections that were refused in a row.
        unanswered: starts in a row that got no reply.
        orders: queue of the orders that its order tasks carry out.
        wake: set when there is something to report on.
    """

    def __init__(self, worker):
        self.worker = worker
        self.runs = {}
        self.used = model.NO_RESOURCES
        self.has_reported = False
        self.on_roster = False
        self.listed = True
        self.unresponsive = False
        self.gone = False
        self.cordon_reason = ''
        self.upkeep_due = False
        self.avoid_until_ms = 0
        self.seen_end = 0
        self.acknowledged = 0
        self.sent_acknowledged = 0
        self.clock_ms = None
        self.clock_read_ms = None
        self.lease_until_ms = 0
        self.refused_connections = 0
        self.unanswered_starts = 0
        self.strays = {}
        self.orders = queue.SimpleQueue()
        self.wake = threading.Event()
        self.failed_jobs = set()
        self.failures = 0

    def worker_clock(self, now_ms):
        """Return an estimate of the worker's clock; None if unknown."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + now_ms - self.clock_read_ms

    def is_lease_over(self, now_ms, slowest_rate, margin_ms):
        """Tell whether all that was leased here must have ended.

        Args:
            now_ms: local time.
            slowest: rate of the slowest clock of a worker.
            margin_ms: safety margin in milliseconds.
        """
        if self.clock_ms is None:
            return False
        passed_ms = (now_ms - self.clock_read_ms) * slowest_rate
        return self.clock_ms + passed_ms > self.lease_until_ms + margin_ms

    def free_resources(self):
        """Return what is free."""
        return self.worker.capacity - self.used


def critical_paths_ms(steps):
    """Return, for each step, the estimated time from its start to the end.

    Args:
        steps: the model.Steps; each follows earlier ones only.
    """
    after = [0] * len(steps)
    for number in reversed(range(len(steps))):
        after[number] += steps[number].estimate_ms or DEFAULT_ESTIMATE_MS
        for before in steps[number].after:
            after[before] = max(after[before], after[number])
    return after


def occupied(spec):
    """Return what a task of a step occupies on its host.

    A task that fills gets only processor time that others leave unused.
    """
    if spec.fills:
        return model.Resources(0, spec.needs.memory_mb, spec.needs.gpus)
    return spec.needs

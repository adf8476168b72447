"""State of jobs, tasks and runs, as the leader knows it."""

import enum
import functools
import itertools

import msgspec

from figtray.jobs import model
from figtray.jobs import occurrences
from figtray.jobs import records
from figtray.scheduling import tasks


class HeldReason(enum.Enum):
    """Why ready tasks of a step are not started."""

    TAKEOVER = 'workers of the former leader are awaited'
    NO_WORKERS = 'the pool has no worker in use'
    NO_ROOM = 'no worker has room'
    REFUSED = 'workers have refused its starts'
    TEAM_LIMIT = 'the team is at its limit'
    LEADER_ROOM = 'the leader has no room for more runs'
    ADVICE = 'the adviser has approved no worker with room'
    GANG_INCOMPLETE = 'not all members of the gang are ready'
    TRIAL = 'the task may crash its worker and waits for one of its own'

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
        ticket: the advice.Ticket of the worker; None if the queue needed none
            when the start was planned.
        sent_ms: local time from which the worker may have run it; None if
            its start was not sent.
        started_ms: local time by which it had certainly started; None while
            the worker has not confirmed it.
        seen_ms: local time of the latest request for a report that showed it;
            None if none did.
        adopted: whether an earlier leader started it.
        unanswered_ms: local time at which its start had got no answer, if it
            was not stopped at once; else None.
        unsure: whether a later incarnation may have executed its start; it is
            not once its own one has confirmed or listed it.
        untried: whether it goes on without the trial that its task needs, as
            others waited.
        resumed: whether it began at a checkpoint.
        handed_over: whether it went on in a later incarnation of its worker.
        cut_off: whether its worker has closed the connection by which it was
            ordered, without an answer.
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
        'sent_ms',
        'started_ms',
        'seen_ms',
        'adopted',
        'unanswered_ms',
        'unsure',
        'untried',
        'resumed',
        'handed_over',
        'cut_off',
    )

    def __init__(self, task, worker_state, number, ordered_ms, ticket=None):
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
        self.sent_ms = None
        self.started_ms = None
        self.seen_ms = None
        self.adopted = False
        self.unanswered_ms = None
        self.unsure = True
        self.untried = False
        self.resumed = False
        self.handed_over = False
        self.cut_off = False


class StepState:
    """One step of one occurrence of a job.

    Attributes:
        tasks: the tasks.TaskTable.
        waiting: the tasks.WaitingTasks: ready and without a run, in order.
        remaining: number of tasks that are not done.
        held_reason: the HeldReason of its waiting tasks, when their start
            was last tried.
        fits_nowhere: whether no worker of its pool could hold a task then,
            however empty it is.
        sound_runs: number of tasks whose run times were learned.
        longest_ran_ms: longest of these run times.
        far_runs: number of these runs away from the rack of their data; a
            gang counts once.
        open: whether the steps before it are done and its tasks may start.
        ready_ms: local time since which it is open.
        advice: the StepAdvice, or None.
        refusals: the refusals.Refusals; None if no start was refused.
    """

    __slots__ = (
        'job',
        'occurrence',
        'number',
        'spec',
        'tasks',
        'waiting',
        'remaining',
        'open',
        'ready_ms',
        'held_reason',
        'fits_nowhere',
        'advice',
        'refusals',
        'sound_runs',
        'longest_ran_ms',
        'far_runs',
    )

    def __init__(self, job, occurrence, number, spec):
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = tasks.TaskTable(self)
        self.waiting = tasks.WaitingTasks(self.tasks)
        self.remaining = spec.count
        self.open = False
        self.ready_ms = 0
        self.held_reason = None
        self.fits_nowhere = False
        self.advice = None
        self.refusals = None
        self.sound_runs = 0
        self.longest_ran_ms = 0
        self.far_runs = 0

    @property
    def name(self):
        """Name of the step in requests to the adviser."""
        return f'{self.job.job_id}.{self.occurrence.number}.{self.number}'

    def waited_ms(self, now_ms):
        """Return the longest wait of its waiting tasks in milliseconds."""
        # A task is appended when it gets ready, so the first has waited
        # longest.
        return now_ms - self.waiting.first_ready_ms(self.ready_ms)


class Occurrence:
    """One occurrence of a job, with its steps.

    Attributes:
        number: its number.
        steps: its StepStates.
        later_milli: processor time that the tasks of the steps need that are
            not open yet, in thousandths of a core.
    """

    __slots__ = (
        'number',
        'steps',
        'later_milli',
        '_first_left',
        '_unmet',
        '_dependents',
    )

    def __init__(self, job, number):
        self.number = number
        self.steps = [
            StepState(job, self, index, spec)
            for index, spec in enumerate(job.spec.steps)
        ]
        self.later_milli = 0
        # All steps before this number are done.
        self._first_left = 0
        # Number of steps that each step awaits, and who awaits each step.
        self._unmet = {}
        self._dependents = {}

    def find_ready(self):
        """Return the StepStates that await no other; call it once."""
        for step in self.steps:
            self.later_milli += step.spec.needs.cpu_milli * step.remaining
            awaited = {
                number
                for number in step.spec.after
                if self.steps[number].remaining
            }
            if awaited:
                self._unmet[step.number] = len(awaited)
            for number in awaited:
                self._dependents.setdefault(number, []).append(step.number)
        return [
            step
            for step in self.steps
            if step.remaining and step.number not in self._unmet
        ]

    def note_done(self, step):
        """Return the StepStates that awaited only this one, now done."""
        ready = []
        for number in self._dependents.pop(step.number, ()):
            self._unmet[number] -= 1
            if not self._unmet[number]:
                del self._unmet[number]
                if self.steps[number].remaining:
                    ready.append(self.steps[number])
        return ready

    def done(self):
        """Return whether all tasks of all steps are done."""
        while (
            self._first_left < len(self.steps)
            and not self.steps[self._first_left].remaining
        ):
            self._first_left += 1
        return self._first_left == len(self.steps)


class JobState:
    """One job that the leader knows.

    Attributes:
        spec: the model.Job.
        created: revision of the store at which it was accepted.
        queue: the queues.Queue of the latest configuration that has it.
        due_ms: local time until which it is on time.
        excess_ms: by how much its team was ahead of its rate when it
            submitted it; 0 if it was within.
        times: the run_times.Expectation of each step, or its measured time.
        remaining: the run_times.Expectation of each step's longest chain to
            the end of the job, as of its arrival.
        occurrences: its open Occurrences by number.
        next_number: number of the next occurrence to open; see find_next().
        held_bytes: memory that it takes at most.
        stored: the Progress of earlier terms, restored when an occurrence is
            opened; or None.
        open_steps: its open StepStates that are not done, as keys.
        ready_steps: those whose tasks may start, but that are not open yet.
    """

    __slots__ = (
        'job_id',
        'spec',
        'created',
        'queue',
        'state',
        'occurrences',
        'next_number',
        'cancelled',
        'held_bytes',
        'ended_ms',
        'arrived_ms',
        'due_ms',
        'excess_ms',
        'times',
        'remaining',
        'stored',
        'open_steps',
        'ready_steps',
        '_stored_keys',
        '_ended_occurrences',
    )

    def __init__(self, job_id, spec, created, queue_cfg):
        self.job_id = job_id
        self.spec = spec
        self.created = created
        self.queue = queue_cfg
        self.state = records.State.QUEUED
        self.occurrences = {}
        self.next_number = 0
        self.cancelled = False
        self.held_bytes = 0
        self.ended_ms = 0
        self.arrived_ms = 0
        self.due_ms = 0
        self.excess_ms = 0
        self.times = []
        self.remaining = []
        self.stored = None
        self.open_steps = {}
        # An empty deque takes more than most jobs need.
        self.ready_steps = []
        # Keys of the stored tasks by number of the occurrence.
        self._stored_keys = None
        self._ended_occurrences = occurrences.EndedOccurrences()

    @property
    def started(self):
        """Whether a task of it has started, or it has ended."""
        return self.state != records.State.QUEUED

    @property
    def ended(self):
        """Whether it will start no more tasks."""
        return self.state.ended or self.cancelled

    @property
    def lasts(self):
        """Whether it has tasks that run until it is cancelled."""
        return any(step.lasting for step in self.spec.steps)

    def runs(self):
        """Yield the runs of all its tasks."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for task in step.tasks.known():
                    if task.run is not None:
                        yield task.run

    def has_all_occurrences(self):
        """Return whether each occurrence is open or has ended."""
        known = len(self.occurrences) + self._ended_occurrences.count
        return known >= max(1, self.spec.repeats)

    def find_next(self):
        """Return the number of the next occurrence to open; None if none is.

        Those that earlier terms have completed count as ended from now on.
        """
        while self.next_number < self.spec.repeats:
            number = self.next_number
            if number not in self.occurrences and not self.has_ended(number):
                if not self._is_stored_as_done(number):
                    return number
                self._ended_occurrences.add(number)
            self.next_number += 1
        return None

    def has_ended(self, number):
        """Return whether an occurrence with a number is over."""
        return number in self._ended_occurrences

    def end_occurrence(self, number):
        """Keep no more of an occurrence than that all its tasks are done."""
        del self.occurrences[number]
        self._ended_occurrences.add(number)

    def compact(self):
        """Forget the steps and their tasks; the job has ended."""
        self.spec = msgspec.structs.replace(self.spec, payload='', steps=())
        self.stored = None
        self.times = self.remaining = ()
        self.occurrences, self.open_steps = {}, {}
        self._stored_keys = None

    def restore(self, stored):
        """Apply the Progress that earlier terms have stored."""
        self.stored = stored
        self.state = stored.state
        self.ended_ms = stored.ended_ms
        self._ended_occurrences = occurrences.EndedOccurrences(stored.ended)

    def stored_keys(self, number):
        """Return the keys of an occurrence's tasks in the stored Progress.

        They are those under which more than their ends is stored.
        """
        if self._stored_keys is None:
            self._stored_keys = {}
            for key in dict.fromkeys(
                itertools.chain(
                    self.stored.failures,
                    self.stored.checkpoints,
                    self.stored.placements,
                    self.stored.crashes,
                )
            ):
                occurrence = int(key.split('.')[0])
                self._stored_keys.setdefault(occurrence, []).append(key)
        return self._stored_keys.get(number, ())

    def _is_stored_as_done(self, number):
        return self.stored is not None and all(
            self.stored.done.get(f'{number}.{index}', 0).bit_count()
            >= step.count
            for index, step in enumerate(self.spec.steps)
        )

    def _stored_elsewhere(self, field):
        """Return a field of the stored Progress, less known occurrences."""
        if self.stored is None:
            return {}
        return {
            key: value
            for key, value in getattr(self.stored, field).items()
            if (number := int(key.split('.')[0])) not in self.occurrences
            and number not in self._ended_occurrences
        }

    def progress(self):
        """Return the records.Progress to store.

        What earlier terms have stored on occurrences that are not open in
        this term is kept.
        """
        done, failures, checkpoints, placements, crashes = (
            self._stored_elsewhere(field)
            for field in (
                'done',
                'failures',
                'checkpoints',
                'placements',
                'crashes',
            )
        )
        for number, occurrence in self.occurrences.items():
            for step in occurrence.steps:
                for task in step.tasks.known():
                    if task.done:
                        continue
                    key = f'{number}.{step.number}.{task.index}'
                    if task.failed_runs:
                        failures[key] = tuple(task.failed_runs)
                    if task.checkpoint:
                        checkpoints[key] = task.checkpoint
                    if task.placement:
                        placements[key] = task.placement
                    if task.crashes != records.NO_CRASHES:
                        crashes[key] = task.crashes
                if mask := step.tasks.done_mask:
                    done[f'{number}.{step.number}'] = mask
        if self.state.ended:
            failures, checkpoints, placements, crashes = {}, {}, {}, {}
        return records.Progress(
            state=self.state,
            done=done,
            failures=failures,
            checkpoints=checkpoints,
            placements=placements,
            crashes=crashes,
            ended_ms=self.ended_ms,
            ended=self._ended_occurrences.ranges,
            owner=records.Caller(
                self.spec.team,
                self.spec.queue,
                self.spec.host,
                self.spec.prefix,
            ),
        )


def occupied(spec):
    """Return the Resources that a task of a step occupies on its host.

    A best-effort task occupies no processor time: it gets only what other
    tasks leave unused.
    """
    if spec.fills:
        return model.Resources(0, spec.needs.memory_mb, spec.needs.gpus)
    return spec.needs

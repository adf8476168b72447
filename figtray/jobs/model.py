"""Jobs, steps and tasks, and the resources that they need."""

import typing

import msgspec

# Of the figures of operators; larger ones are not exact as floats.
MAX_FIGURE = 10**12

_Number = typing.Annotated[int, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]
_Figure = typing.Annotated[float, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """Capacity of a host, or needs of tasks.

    Attributes:
        cpu_milli: processor time in thousandths of a core.
        memory_mb: memory in megabytes.
        gpus: number of GPUs.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other):
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other):
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def at_most(self, other):
        """Return the smaller amount of each resource."""
        return Resources(
            min(self.cpu_milli, other.cpu_milli),
            min(self.memory_mb, other.memory_mb),
            min(self.gpus, other.gpus),
        )

    def at_least(self, other):
        """Return the larger amount of each resource."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def times(self, count):
        """Return the needs of a number of equal tasks."""
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.gpus * count
        )

    def covers(self, other):
        """Return whether another amount is no larger in any resource."""
        return (
            other.cpu_milli <= self.cpu_milli
            and other.memory_mb <= self.memory_mb
            and other.gpus <= self.gpus
        )


NO_RESOURCES = Resources()


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job: a number of equal tasks.

    Attributes:
        count: number of tasks.
        needs: resources that each task occupies on its host.
        estimate_ms: declared run time of a task, which is often wrong.
        after: numbers of the steps whose tasks must all be done first.
        checkpoints: whether tasks can resume from a checkpoint.
        gang: whether the tasks can only work when all of them run.
        same_rack: whether the gang is slower when it spans racks.
        label: label that the worker must have; empty = none.
        data_rack: rack of the data; tasks are slower elsewhere.
        max_per_worker: most tasks of this step on one worker; 0 = no limit.
        copies: whether several runs of a task may work at the same time.
        lasting: whether tasks run until the job is cancelled.
        image: name of the image that the tasks run.
        tail_limit_ms: limit of the tail response time of a latency-sensitive
            task; 0 = the task has none.
        fills: whether the tasks are best-effort: they get only processor time
            that other tasks leave unused.
        may_be_away: most tasks of a lasting step that may be unavailable at
            the same time because of moves and upkeeps; 0 = no limit.
    """

    count: int
    needs: Resources = NO_RESOURCES
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ''
    tail_limit_ms: int = 0
    fills: bool = False
    may_be_away: int = 0


class QueuePolicy(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a configuration says of the work of a queue; see queues.Queue.

    Attributes:
        version: version of the configuration.
        advice: decide_ms, each_ms and valid_ms of its AdvicePolicy, or None.
    """

    version: int
    pool: str
    priority: _Number = 0
    attempts: _Number = 1
    stretch: _Figure = 1.0
    slack_ms: _Number = 0
    advice: tuple[_Number, _Number, _Number] | None = None


class TeamPolicy(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a configuration says of the work of a team; see queues.Team.

    Attributes:
        version: version of the configuration.
    """

    version: int
    weight: _Figure = 1.0
    limit: Resources = NO_RESOURCES


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted; it never changes afterwards.

    Attributes:
        queue: name of the queue.
        team: name of the team whose key was sent; empty on open queues.
        payload: text that is passed to each task.
        steps: the Steps, in the order of their numbers.
        repeats: number of occurrences of a timed job; 0 = run once, now.
        start_ms: Unix time in milliseconds of the first occurrence.
        interval_ms: time between the occurrences.
        accepted_ms: Unix time in milliseconds of the acceptance.
        host: `Host` header of the queue's callers at the acceptance; empty
            in records of earlier releases, as the prefix is.
        prefix: prefix of its URL paths.
        queue_policy: the QueuePolicy at the acceptance; None in records of
            earlier releases.
        team_policy: the TeamPolicy; None also without a team.
    """

    queue: str
    team: str
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    start_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0
    host: str = ''
    prefix: str = ''
    queue_policy: QueuePolicy | None = None
    team_policy: TeamPolicy | None = None


class TaskId(typing.NamedTuple):
    """Id of one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_id(text):
    """Parse the name of a task.

    Args:
        text: `JOB.OCCURRENCE.STEP.INDEX`.

    Returns:
        A TaskId.

    Raises:
        ValueError: the text is not the name of a task.
    """
    job_id, *numbers = text.split('.')
    # Other spellings of a number would give a task several names.
    if not all(n.isascii() and n.isdecimal() for n in numbers):
        raise ValueError(f'{text[:100]!r} is not the name of a task')
    occurrence, step, index = numbers
    task_id = TaskId(job_id, int(occurrence), int(step), int(index))
    if str(task_id) != text:
        raise ValueError(f'{text[:100]!r} is not the name of a task')
    return task_id

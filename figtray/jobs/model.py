"""Jobs, steps and tasks as the rest of figtray sees them."""

import typing

import msgspec


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """An amount of what a host has, or of what a task needs."""

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

    def times(self, count):
        """Return this amount for a number of equal tasks."""
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.gpus * count
        )

    def covers(self, other):
        """Tell whether another amount is no larger in any kind."""
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
        needs: what each task occupies on its host.
        estimate_ms: declared run time of a task; often wrong.
        after: numbers of the steps whose tasks must all be done before.
        checkpoints: whether tasks can resume from a checkpoint.
        gang: whether the tasks only work when all are present.
        same_rack: whether a gang is slower across racks.
        label: label that the worker must have; empty = any.
        data_rack: rack of the data; tasks are slower elsewhere.
        max_per_worker: most tasks of this step on one worker; 0 = any.
        copies: whether several runs of a task may be at work at once.
        lasting: whether tasks run until the job is cancelled.
        image: name of what the tasks run.
        tail_limit_ms: bound of the response times of a serving task.
        fills: whether the tasks take only processor time left by others.
        may_be_away: tasks of a lasting step that planned work may interrupt
            at the same time; 0 = the step is not protected.
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


class Job(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as it was accepted; it never changes.

    Attributes:
        queue: name of the queue.
        team: name of the team whose key came with it; empty on open queues.
        payload: text that is handed to each task.
        steps: the steps.
        repeats: number of occurrences of a timed job; 0 = run once, now.
        start_ms: Unix time in milliseconds of the first occurrence.
        interval_ms: time between the occurrences.
        accepted_ms: Unix time in milliseconds of the acceptance.
    """

    queue: str
    team: str
    payload: str
    steps: tuple[Step, ...]
    repeats: int = 0
    start_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0


class TaskId(typing.NamedTuple):
    """Name of one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_id(text):
    """Read the name of a task.

    Args:
        text: `JOB.OCCURRENCE.STEP.INDEX`.

    Returns:
        A TaskId.

    Raises:
        ValueError: the text has another form.
    """
    job_id, occurrence, step, index = text.split('.')
    return TaskId(job_id, int(occurrence), int(step), int(index))

"""Tasks of a step; those that nothing has happened to are counts alone."""

import collections

from figtray.jobs import model
from figtray.jobs import records

# Tasks that wait again after a run hold state. From this number on they go
# before those that have not run, so that it does not grow with the step.
MAX_RETURNED = 100


class TaskState:
    """One task of one occurrence of a job.

    Attributes:
        step: its StepState.
        index: its number in the step.
        name: its TaskId as a string.
        done: whether it is done; a lasting task never is.
        failed_runs: numbers of the runs that have failed.
        checkpoint: where its next run resumes; empty = at the start.
        last_run: highest number of a run so far.
        placement: of a lasting task, a suspect, or one whose worker refuses
            or has closed connections, the records.Placement of the run that
            may go on; None if there is none.
        crashes: the records.Crashes since it was cleared.
        run: its Run; None if it has none.
        ready_ms: local time since which it is ready to start.
        trial_wait_offset_ms: what to add to the time since then for its wait
            for a trial: the wait under earlier leaders, less the time without
            room for it.
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
        'crashes',
        'run',
        'ready_ms',
        'trial_wait_offset_ms',
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
        self.crashes = records.NO_CRASHES
        self.run = None
        self.ready_ms = step.ready_ms
        self.trial_wait_offset_ms = 0


class TaskTable:
    """Tasks of a step by index.

    A task has a TaskState from the first time that it is asked for until it
    is done and has no run. The others are counted by the step.

    Args:
        step: the StepState.
    """

    __slots__ = ('_step', '_known', '_done')

    def __init__(self, step):
        self._step = step
        self._known = {}
        # Bit mask of the tasks that are done.
        self._done = 0

    def __len__(self):
        return self._step.spec.count

    def __getitem__(self, index):
        task = self._known.get(index)
        if task is not None:
            return task
        if not 0 <= index < len(self):
            raise IndexError(index)
        task = TaskState(self._step, index)
        task.done = bool(self._done >> index & 1)
        if not task.done:
            self._known[index] = task
        return task

    def find(self, index):
        """Return the TaskState of a task, or None if it has none."""
        return self._known.get(index)

    def __iter__(self):
        return (self[index] for index in range(len(self)))

    def has_known(self):
        """Return whether any task has a TaskState."""
        return bool(self._known)

    def known(self):
        """Return the tasks that have a TaskState, as a list."""
        return list(self._known.values())

    @property
    def done_mask(self):
        """Bit mask of the tasks that are done."""
        return self._done

    def restore_done(self, mask):
        """Record that the tasks of a bit mask were done in earlier terms.

        Returns:
            Number of these tasks.
        """
        self._done = mask & self._all()
        return self._done.bit_count()

    def set_done(self, task):
        """Record that a task is done."""
        task.done = True
        self._done |= 1 << task.index

    def keep(self, task):
        """Keep the TaskState of a task that has got a run."""
        self._known[task.index] = task

    def drop_if_over(self, task):
        """Forget the TaskState of a task that is done and has no run."""
        if task.done and task.run is None:
            self._known.pop(task.index, None)

    def untouched_mask(self):
        """Return the bit mask of the tasks without a TaskState, not done."""
        mask = self._all() & ~self._done
        for index in self._known:
            mask &= ~(1 << index)
        return mask

    def _all(self):
        return (1 << len(self)) - 1


class WaitingTasks:
    """Ready tasks of a step, in the order in which they start.

    Those without a TaskState are a bit mask, and start in the order of their
    numbers, before the ones that wait again; see MAX_RETURNED.

    Args:
        table: the TaskTable of the step.
    """

    __slots__ = ('_table', '_first', '_untouched', '_returned')

    def __init__(self, table):
        self._table = table
        # An empty deque takes more room than all else of the step.
        self._first = None
        self._untouched = 0
        self._returned = None

    def __len__(self):
        return (
            len(self._first or ())
            + self._untouched.bit_count()
            + len(self._returned or ())
        )

    def __bool__(self):
        return bool(self._first or self._untouched or self._returned)

    def __iter__(self):
        yield from list(self._first or ())
        yield from (self._table[index] for index in _bits(self._untouched))
        yield from list(self._returned or ())

    def __getitem__(self, number):
        for position, task in enumerate(self):
            if position == number:
                return task
        raise IndexError(number)

    def __contains__(self, task):
        return bool(
            self._untouched >> task.index & 1
            or task in (self._first or ())
            or task in (self._returned or ())
        )

    def add_untouched(self):
        """Add all tasks without a TaskState that are not done."""
        self._untouched |= self._table.untouched_mask()

    def append(self, task):
        """Add a task that goes after the others."""
        if self._returned is None:
            self._returned = collections.deque()
        self._returned.append(task)

    def extend(self, tasks):
        """Add tasks that go after the others."""
        for task in tasks:
            self.append(task)

    def put_first(self, tasks):
        """Add tasks that go before the others, in their order."""
        if not tasks:
            return
        if self._first is None:
            self._first = collections.deque()
        self._first.extendleft(reversed(tasks))

    def popleft(self):
        """Remove and return the task that goes first.

        Raises:
            IndexError: there is none.
        """
        if self._first:
            return self._first.popleft()
        returned = self._returned
        if self._untouched and len(returned or ()) < MAX_RETURNED:
            index = _lowest(self._untouched)
            self._untouched &= ~(1 << index)
            return self._table[index]
        if not returned:
            raise IndexError('no task waits')
        return returned.popleft()

    def remove(self, task):
        """Remove a task.

        Raises:
            ValueError: it is not among them.
        """
        bit = 1 << task.index
        if self._untouched & bit:
            self._untouched &= ~bit
        elif task in (self._first or ()):
            self._first.remove(task)
        elif self._returned is not None:
            self._returned.remove(task)
        else:
            raise ValueError(f'{task.name} does not wait')

    def clear(self):
        """Remove all tasks."""
        self._first = self._returned = None
        self._untouched = 0

    def take(self, is_taken):
        """Remove and return the tasks with a TaskState for which it holds.

        Args:
            is_taken: called with a TaskState.
        """
        if not (self._first or self._returned or self._table.has_known()):
            return []
        taken = [task for task in self._known() if is_taken(task)]
        for task in taken:
            self.remove(task)
        return taken

    def take_all(self):
        """Remove all tasks; return them as WaitingTasks."""
        taken = WaitingTasks(self._table)
        taken._first, taken._returned = self._first, self._returned
        taken._untouched = self._untouched
        self.clear()
        return taken

    def put_back(self, taken):
        """Add the WaitingTasks that take_all() has returned."""
        self.put_first(list(taken._first or ()))
        self._untouched |= taken._untouched
        self.extend(taken._returned or ())

    def suspects(self, is_suspect):
        """Yield the tasks before the first one that is no suspect.

        Args:
            is_suspect: called with a TaskState; a task without one is none.
        """
        for task in self._in_order():
            if task is None or not is_suspect(task):
                return
            yield task

    def is_first(self, is_suspect):
        """Return whether the first task is a suspect; see suspects()."""
        if self._first:
            task = self._first[0]
        elif self._untouched:
            task = self._table.find(_lowest(self._untouched))
        elif self._returned:
            task = self._returned[0]
        else:
            return False
        return task is not None and is_suspect(task)

    def first_ready_ms(self, untouched_ms):
        """Return since when the first task is ready, in local time.

        Args:
            untouched_ms: that of the tasks without a TaskState.
        """
        if self._first:
            return self._first[0].ready_ms
        if self._untouched:
            return untouched_ms
        return self._returned[0].ready_ms

    def _in_order(self):
        """Yield the tasks; None for one without a TaskState."""
        yield from list(self._first or ())
        yield from map(self._table.find, _bits(self._untouched))
        yield from list(self._returned or ())

    def _known(self):
        yield from list(self._first or ())
        if self._untouched:
            known = [
                task
                for task in self._table.known()
                if self._untouched >> task.index & 1
            ]
            yield from sorted(known, key=lambda task: task.index)
        yield from list(self._returned or ())


def _bits(mask):
    """Yield the numbers of the bits that are set, in ascending order."""
    while mask:
        number = _lowest(mask)
        yield number
        mask &= ~(1 << number)


def _lowest(mask):
    """Return the number of the lowest bit that is set."""
    return (mask & -mask).bit_length() - 1

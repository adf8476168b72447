"""Requests that this entry has accepted, and their outcomes."""

import collections
import concurrent.futures
import dataclasses
import hashlib
import threading
import uuid

from figtray import verdict as verdict_lib


@dataclasses.dataclass(frozen=True)
class TaskRequest:
    """What a caller asked for; times are readings of the local clock."""

    queue: str
    pool: str
    team: str
    key_id: str
    body: bytes
    received_ms: int
    deadline_ms: int
    urgent: bool = False
    idempotent: bool = False
    idempotency_key: str = ''
    job: str = ''

    @property
    def digest(self):
        """Digest by which a repeated key with another body is found."""
        return hashlib.blake2b(
            self.queue.encode() + b'\0' + self.body, digest_size=16
        ).hexdigest()


class Task:
    """One accepted request; `fut` holds its Verdict when it is done."""

    def __init__(self, task_id, req):
        self.task_id = task_id
        self.req = req
        self.fut = concurrent.futures.Future()
        self.attempts = 0
        self.started_ms = None
        self.failed_hosts = ()
        # Verdict of the last attempt that ran or may have: from then on no
        # refusal may say that the request did not run.
        self.has_run = None
        # Slot and task id of the owner, for a request that was forwarded.
        self.owner = None
        self._lock = threading.Lock()

    @property
    def done(self):
        """True once the outcome is set."""
        return self.fut.done()

    def finish(self, verdict):
        """Set the outcome; only the first one counts.

        Args:
            verdict: the Verdict. NotRun is replaced by the verdict of an
                earlier attempt that ran or may have.

        Returns:
            True if this call set it.
        """
        if isinstance(verdict, verdict_lib.NotRun) and self.has_run:
            verdict = self.has_run
        with self._lock:
            if self.fut.done():
                return False
            self.fut.set_result(verdict)
            return True


class TaskTable:
    """Bounded memory of tasks: all open ones and recent outcomes."""

    def __init__(self, slot, max_tasks, retention_ms, clock):
        self._slot = slot
        self._max_tasks = max_tasks
        self._retention_ms = retention_ms
        self._clock = clock
        self._tasks = {}
        self._done = collections.deque()
        self._lock = threading.Lock()

    def __len__(self):
        return len(self._tasks)

    def add(self, req):
        """Record a new task.

        Returns:
            The Task, or None if the table is full of open tasks.
        """
        task = Task(f'{self._slot}.{uuid.uuid4().hex}', req)
        with self._lock:
            self._expire()
            while len(self._tasks) >= self._max_tasks and self._done:
                self._tasks.pop(self._done.popleft()[1], None)
            if len(self._tasks) >= self._max_tasks:
                return None
            self._tasks[task.task_id] = task
        task.fut.add_done_callback(lambda _: self._finished(task.task_id))
        return task

    def get(self, task_id):
        """Return a task, or None if it is unknown or forgotten."""
        with self._lock:
            self._expire()
            return self._tasks.get(task_id)

    def open_count(self):
        """Return how many tasks have no outcome yet."""
        with self._lock:
            return len(self._tasks) - len(self._done)

    def open_tasks(self):
        """Return the tasks without an outcome."""
        with self._lock:
            tasks = list(self._tasks.values())
        return [task for task in tasks if not task.done]

    def _finished(self, task_id):
        with self._lock:
            self._done.append((self._clock.now_ms(), task_id))

    def _expire(self):
        oldest_ms = self._clock.now_ms() - self._retention_ms
        while self._done and self._done[0][0] < oldest_ms:
            self._tasks.pop(self._done.popleft()[1], None)


def slot_of(task_id):
    """Return the slot that holds a task, or '' for a malformed id."""
    slot, dot, _ = task_id.partition('.')
    return slot if dot else ''

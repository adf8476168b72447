"""Interface of a worker."""

import dataclasses

from figtray import errors

# Reports may show the tasks that ran up to this long ago. With a lag of
# 1,500 ms and no allowance for it, a permit was released while its task ran.
REPORT_LAG_MS = 2_000


@dataclasses.dataclass(frozen=True)
class TaskStart:
    """Request to start one attempt of a task.

    `lease_ms` is the longest run time; the worker stops the task after it.
    """

    task_id: str
    attempt_id: str
    team: str
    queue: str
    incarnation: str
    lease_ms: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class RunningTask:
    """One task that a worker runs now."""

    task_id: str
    attempt_id: str
    team: str
    incarnation: str
    lease_left_ms: int


@dataclasses.dataclass(frozen=True)
class WorkerReport:
    """What a worker says of itself; `clock_ms` is its own clock."""

    host: str
    boot_id: str
    clock_ms: int
    slots: int
    leaving: bool
    running: tuple


@dataclasses.dataclass(frozen=True)
class WaitingStart:
    """A start that was sent and has no answer yet."""

    task_id: str
    attempt_id: str
    waiting_ms: int


class WorkerClient:
    """Starts tasks on workers and asks for their reports.

    `foreign_answers` counts answers to other attempts, `late_answers` those
    that came when nobody waited for them any more.
    """

    def __init__(self):
        self.foreign_answers = 0
        self.late_answers = 0
        self._timeouts = {}

    def start(self, address, start, timeout_ms, check):
        """Start an attempt and wait for its answer.

        The client connects first and calls `check` last, directly before
        the request is sent. It maps the returned expiry onto the worker's
        clock (`Start-By`), so that the worker refuses a start that a paused
        process sends too late.

        Args:
            address: IP number and port of the worker.
            start: the TaskStart.
            timeout_ms: longest wait for the whole answer in milliseconds.
            check: called without arguments; returns the local time in
                milliseconds at which the right to start ends, or a
                verdict.NotRun that forbids the start.

        Returns:
            A Verdict; no exception tells the outcome.
        """
        raise NotImplementedError

    def report(self, address, timeout_ms):
        """Read the report of a worker over a new connection.

        Args:
            address: IP number and port of the worker.
            timeout_ms: longest wait in milliseconds.

        Returns:
            A WorkerReport.

        Raises:
            WorkerUnavailable: no whole report came in time.
        """
        raise NotImplementedError

    def stop(self, address, task_id, timeout_ms):
        """Ask a worker to stop a task; an unknown task is ignored.

        Args:
            address: IP number and port of the worker.
            task_id: the task.
            timeout_ms: longest wait in milliseconds.

        Raises:
            WorkerUnavailable: the worker did not confirm.
        """
        raise NotImplementedError

    def probe(self, address, timeout_ms):
        """Tell whether a worker answers over a new connection.

        If it does, its silent connections were half-open: the count of
        time-outs starts anew.

        Args:
            address: IP number and port of the worker.
            timeout_ms: longest wait in milliseconds.

        Returns:
            True if the worker answered.
        """
        try:
            self.report(address, timeout_ms)
        except errors.WorkerUnavailable:
            return False
        self._clear_timeouts(address)
        return True

    def timeouts(self, address):
        """Return the starts in succession that got no answer in time."""
        return self._timeouts.get(address, 0)

    def waiting(self, address):
        """Return the WaitingStart items of a worker, in the order sent."""
        raise NotImplementedError

    def abandon(self, address, attempt_id):
        """Close the connection on which an attempt waits for its answer.

        The start returns MayHaveRun; an unknown attempt is ignored.

        Args:
            address: IP number and port of the worker.
            attempt_id: the attempt.
        """
        raise NotImplementedError

    def close(self):
        """Close all connections."""

    def _note_timeout(self, address):
        self._timeouts[address] = self._timeouts.get(address, 0) + 1

    def _clear_timeouts(self, address):
        self._timeouts.pop(address, None)

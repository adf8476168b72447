"""In-memory workers with faults, for tests and the stand-in."""

import collections
import dataclasses
import threading
import zlib

from figtray import errors
from figtray import verdict
from figtray.workers import base

# A repeated start of an ended task is recognised for this long.
ENDED_RETENTION_MS = 600_000
MAX_ENDED = 100_000
LOG_LENGTH = 200_000
LOG_BODY_BYTES = 128
OFFSET_RANGE_MS = 1_000_000_000

REFUSALS = {
    'busy': verdict.RefusalReason.BUSY,
    'leaving': verdict.RefusalReason.LEAVING,
    'late': verdict.RefusalReason.START_EXPIRED,
    'lease': verdict.RefusalReason.START_EXPIRED,
}
DUPLICATE = 'duplicate'


def refusal_verdict(word):
    """Map a worker's refusal of a start to a verdict.

    Args:
        word: value of the Start-Refused header.

    Returns:
        NotRun, or MayHaveRun for a duplicate and for unknown words.
    """
    if word in REFUSALS:
        return verdict.NotRun(REFUSALS[word], f'worker refused: {word}')
    reason = verdict.UncertainReason.BROKEN_ANSWER
    if word == DUPLICATE:
        reason = verdict.UncertainReason.FOREIGN_ANSWER
    return verdict.MayHaveRun(reason, f'worker refused: {word}')


class Execution:
    """One task that a worker runs."""

    def __init__(self, start, lease_end_ms):
        self.start = start
        self.lease_end_ms = lease_end_ms
        self.stopped = threading.Event()
        self.outcome = None


class MemoryWorker:
    """State of one worker: slots, leases, duplicates and the log.

    Args:
        host: name of the host.
        slots: number of tasks that run at once.
        clock: clock.Clock; the worker's own clock has an offset to it that
            depends on the host and the boot.
        zone: name of the zone, for the log.
    """

    def __init__(self, host, slots, clock, zone=''):
        self.host = host
        self.zone = zone
        self.slots = slots
        self.leaving = False
        self.refuse = None
        self.fail_all = False
        self.report_lag_ms = 0
        self._clock = clock
        self._cond = threading.Condition()  # re-entrant: stop() calls end()
        self._boots = 0
        self._log = collections.deque(maxlen=LOG_LENGTH)
        self._logged = 0
        self._reports = collections.deque()
        self._boot()

    def clock_ms(self):
        """Return the worker's own clock."""
        return self._clock.now_ms() + self._offset_ms

    def begin(self, start, start_by_ms):
        """Admit a start or refuse it.

        Args:
            start: the TaskStart.
            start_by_ms: reading of the worker's clock.

        Returns:
            The Execution, or the word of the refusal.
        """
        with self._cond:
            self._expire()
            now_ms = self.clock_ms()
            self._forget(now_ms)
            refusal = self.refuse
            if start.task_id in self._running or start.task_id in self._ended:
                refusal = DUPLICATE
            elif self.leaving:
                refusal = 'leaving'
            elif start_by_ms is None or now_ms >= start_by_ms:
                refusal = 'late'
            elif start.lease_ms <= 0:
                refusal = 'lease'
            elif len(self._running) >= self.slots:
                refusal = 'busy'
            if refusal:
                self._record('refused', start, refusal)
                return refusal
            execution = Execution(start, now_ms + start.lease_ms)
            self._running[start.task_id] = execution
            self._record('start', start, '')
            self._note_report()
            return execution

    def end(self, execution, outcome):
        """End a task; the first outcome counts.

        Args:
            execution: the Execution.
            outcome: text for the log, such as a status.

        Returns:
            The outcome that counts.
        """
        with self._cond:
            task_id = execution.start.task_id
            if self._running.get(task_id) is execution:
                del self._running[task_id]
                execution.outcome = outcome
                self._ended[task_id] = self.clock_ms()
                self._record('end', execution.start, outcome)
                self._note_report()
                self._cond.notify_all()
            execution.stopped.set()
            return execution.outcome

    def stop(self, task_id):
        """Stop a task; an unknown one is ignored."""
        with self._cond:
            execution = self._running.get(task_id)
            if execution:
                self.end(execution, 'stopped')

    def expire(self):
        """End the tasks whose leases have ended."""
        with self._cond:
            self._expire()

    def restart(self):
        """Lose all tasks and begin a new boot with another clock."""
        with self._cond:
            for execution in list(self._running.values()):
                self.end(execution, 'killed')
            self._boot()

    def wait_idle(self, timeout_ms):
        """Wait until no task runs.

        Returns:
            True if no task runs.
        """
        with self._cond:
            return self._cond.wait_for(
                lambda: not self._running, timeout_ms / 1000
            )

    def report(self):
        """Return the WorkerReport, with the running tasks of a past time."""
        with self._cond:
            self._expire()
            now_ms = self.clock_ms()
            self._note_report()
            view_ms = now_ms - self.report_lag_ms
            while len(self._reports) > 1 and self._reports[1][0] <= view_ms:
                self._reports.popleft()
            running = tuple(
                base.RunningTask(
                    item.start.task_id,
                    item.start.attempt_id,
                    item.start.team,
                    item.start.incarnation,
                    max(item.lease_end_ms - now_ms, 0),
                )
                for item in self._reports[0][1]
            )
            return base.WorkerReport(
                host=self.host,
                boot_id=self.boot_id,
                clock_ms=now_ms,
                slots=self.slots,
                leaving=self.leaving,
                running=running,
            )

    def set_report_lag(self, lag_ms):
        """Let reports show the running tasks of a past time."""
        with self._cond:
            self.report_lag_ms = lag_ms
            self._note_report()

    def running_count(self):
        """Return the number of running tasks."""
        with self._cond:
            return len(self._running)

    def log(self, since=0):
        """Return the log entries from a number on.

        Args:
            since: number of the first entry, as in `number`.

        Returns:
            List of dictionaries, oldest first.
        """
        with self._cond:
            return [item for item in self._log if item['number'] >= since]

    def _boot(self):
        self._boots += 1
        # A restarted process must not look like the boot before it.
        now_ms = self._clock.now_ms()
        self.boot_id = f'{self.host}-{now_ms:x}-{self._boots}'
        seed = zlib.crc32(self.boot_id.encode())
        self._offset_ms = seed % OFFSET_RANGE_MS
        self._running = {}
        self._ended = {}
        self._reports.clear()
        self._note_report()

    def _expire(self):
        now_ms = self.clock_ms()
        for execution in list(self._running.values()):
            if execution.lease_end_ms <= now_ms:
                self.end(execution, 'lease')

    def _forget(self, now_ms):
        while self._ended:
            task_id, ended_ms = next(iter(self._ended.items()))
            young = now_ms - ended_ms < ENDED_RETENTION_MS
            if young and len(self._ended) <= MAX_ENDED:
                return
            del self._ended[task_id]

    def _note_report(self):
        """Keep the list of running tasks for reports with a lag."""
        now_ms = self.clock_ms()
        view = tuple(self._running.values())
        if not self.report_lag_ms:
            self._reports.clear()
        self._reports.append((now_ms, view))

    def _record(self, event, start, outcome):
        self._log.append(
            {
                'number': self._logged,
                'event': event,
                'outcome': outcome,
                'clock_ms': self.clock_ms(),
                # Same for all processes of one machine, for test oracles.
                'machine_ms': self._clock.now_ms(),
                'host': self.host,
                'zone': self.zone,
                'boot_id': self.boot_id,
                'task_id': start.task_id,
                'attempt_id': start.attempt_id,
                'team': start.team,
                'queue': start.queue,
                'incarnation': start.incarnation,
                'lease_ms': start.lease_ms,
                # Tells which request an attempt belongs to, for oracles.
                'body': start.body[:LOG_BODY_BYTES].decode('latin-1'),
            }
        )
        self._logged += 1


@dataclasses.dataclass
class Faults:
    """Faults of the way to one worker; numbers count answers."""

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    delay_sends: int = 0
    swap_answers: int = 0
    truncate_answers: int = 0

    def take(self, name):
        """Use a counted fault up once.

        Returns:
            True if the fault applies.
        """
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0


class MemoryWorkerClient(base.WorkerClient):
    """Client of workers in the same process.

    A task answers at once with its own body, or, if its address is in
    `held`, when the test calls finish().
    """

    def __init__(self, clock):
        super().__init__()
        self._clock = clock
        self._cond = threading.Condition()
        self._workers = {}
        self._faults = {}
        self._answers = {}
        self._waiting = {}
        self.held = set()
        # Starts whose connection broke after the send, for deliver().
        self.in_transit = []

    def add(self, address, worker):
        """Make a MemoryWorker reachable at an address."""
        self._workers[address] = worker
        self._faults[address] = Faults()

    def faults(self, address):
        """Return the Faults of an address, to be changed by a test."""
        return self._faults[address]

    def finish(self, attempt_id, status=200, body=b''):
        """Let a held attempt answer."""
        with self._cond:
            self._answers[attempt_id] = (status, body)
            self._cond.notify_all()

    def start(self, address, start, timeout_ms, check):
        worker = self._workers.get(address)
        faults = self._faults.get(address)
        if worker is None or faults.down:
            return verdict.NotRun(
                verdict.RefusalReason.CONNECT_FAILED, 'connection refused'
            )
        sample_ms, now_ms = worker.clock_ms(), self._clock.now_ms()
        self._before_check(start)
        allowed = check()
        if isinstance(allowed, verdict.NotRun):
            return allowed
        if allowed <= self._clock.now_ms():
            return verdict.NotRun(verdict.RefusalReason.START_EXPIRED)
        self._before_send(start)
        start_by_ms = sample_ms + allowed - now_ms
        if faults.take('delay_sends'):
            self.in_transit.append((worker, start, start_by_ms))
            reason = verdict.UncertainReason.CONNECTION_LOST
            return verdict.MayHaveRun(reason)
        execution = worker.begin(start, start_by_ms)
        if isinstance(execution, str):
            return refusal_verdict(execution)
        status, body = 200, start.body
        if address in self.held:
            status, body = self._wait(address, start)
        status = 500 if worker.fail_all else status
        if status:
            worker.end(execution, str(status))
        return self._outcome(address, status, body)

    def deliver(self):
        """Let the starts of broken connections reach their workers."""
        arriving, self.in_transit = self.in_transit, []
        for worker, start, start_by_ms in arriving:
            worker.begin(start, start_by_ms)

    def report(self, address, timeout_ms):
        worker = self._workers.get(address)
        if worker is None or self._faults[address].down:
            raise errors.WorkerUnavailable(
                address=address, detail='connection refused'
            )
        return worker.report()

    def stop(self, address, task_id, timeout_ms):
        self.report(address, timeout_ms)
        self._workers[address].stop(task_id)

    def waiting(self, address):
        with self._cond:
            return [
                item for at, item in self._waiting.values() if at == address
            ]

    def abandon(self, address, attempt_id):
        with self._cond:
            if attempt_id in self._waiting:
                self.finish(attempt_id, 0)

    def _before_check(self, start):
        """Run between the connection and the check; for subclasses."""

    def _before_send(self, start):
        """Run between the check and the send; for subclasses."""

    def _wait(self, address, start):
        with self._cond:
            item = base.WaitingStart(start.task_id, start.attempt_id, 0)
            self._waiting[start.attempt_id] = (address, item)
            self._cond.wait_for(lambda: start.attempt_id in self._answers)
            del self._waiting[start.attempt_id]
            return self._answers.pop(start.attempt_id)

    def _outcome(self, address, status, body):
        faults = self._faults[address]
        reason = verdict.UncertainReason
        with self._cond:
            if not status or faults.take('lose_answers'):
                return verdict.MayHaveRun(reason.CONNECTION_LOST)
            if faults.silent:
                self._note_timeout(address)
                return verdict.MayHaveRun(reason.TIMEOUT)
            if faults.take('swap_answers'):
                self.foreign_answers += 1
                return verdict.MayHaveRun(reason.FOREIGN_ANSWER)
            if faults.take('truncate_answers'):
                return verdict.MayHaveRun(reason.BROKEN_ANSWER)
            self._clear_timeouts(address)
        return verdict.Answered(status, body)

"""In-memory workers with faults, for tests and the stand-in site."""

import contextlib
import dataclasses
import threading

from figtray import errors
from figtray.fleet import base
from figtray.fleet import messages
from figtray.fleet import model
from figtray.jobs import model as jobs
from figtray import verdict

HOLD_MAX_MS = 6000
# Ends in one report; a worker keeps the others for later reports.
MAX_REPORTED_ENDS = 500


@dataclasses.dataclass
class SimRun:
    """A run on a simulated worker.

    Attributes:
        task: name of its task.
        run: its number.
        started_ms: start of the run on the worker's clock.
        checkpoint: where a later run could resume.
        percent: reported share of its full speed.
        load: reported load; see messages.ActiveRun.
        pace: limit of its speed in percent, as set by the last pace order.
    """

    task: str
    run: int
    started_ms: int
    checkpoint: str = ''
    percent: float = 0
    load: float = 0
    pace: int = 100


class RunObserver:
    """Receives the starts and ends of runs when they happen on workers."""

    def run_started(self, sim, task, run):
        """Called when a run has started on a SimWorker."""

    def run_ended(self, sim, task, run, reason):
        """Called when a run has ended; `reason` is None for a crash."""

    def end_acknowledged(self, sim, ended_run):
        """Called when an EndedRun was acknowledged."""


class SimWorker:
    """One incarnation of a simulated worker; its clock may run slow.

    Args:
        worker: its fleet Worker.
        clock: the Clock of the test.
        clock_rate: rate of the worker's own clock; below 1 it is slow.
        hold_max_ms: longest lease.
        observer: the RunObserver, or None.

    Attributes:
        epoch: highest epoch that it has seen.
        runs: mapping of task name to its SimRun.
        ended: EndedRuns that are not acknowledged yet.
        highest_runs: mapping of task name to the highest number of a run
            that has ended or was stopped.
        next_end_number: number of its next EndedRun.
        lease_until_ms: end of the lease of all runs on the worker's clock.
        up: whether this incarnation goes on.
        starts: (task name, run number) of all starts.
    """

    def __init__(
        self,
        worker,
        clock,
        clock_rate=1.0,
        hold_max_ms=HOLD_MAX_MS,
        observer=None,
    ):
        self.worker = worker
        self._observer = observer or RunObserver()
        self.epoch = 0
        self.runs = {}
        self.ended = []
        self.highest_runs = {}
        self.lease_until_ms = 0
        self._former_lapse_ms = None
        self.up = True
        self.next_end_number = 1
        self.hold_max_ms = hold_max_ms
        self.starts = []
        self._clock = clock
        self._clock_rate = clock_rate
        self._started_ms = clock.now_ms()

    def clock_ms(self):
        """Return the time of the worker's own clock in milliseconds."""
        return int(
            (self._clock.now_ms() - self._started_ms) * self._clock_rate
        )

    def expire(self):
        """End all runs if the lease has expired."""
        if self.runs and self.clock_ms() > self.lease_until_ms:
            for task in list(self.runs):
                self.end(task, messages.EndReason.LEASE_EXPIRED)

    def end(self, task, reason, checkpoint=''):
        """End a run.

        Args:
            task: name of the task.
            reason: a messages.EndReason.
            checkpoint: where a later run could resume.
        """
        run = self.runs.pop(task)
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), run.run)
        self.ended.append(
            messages.EndedRun(
                self.next_end_number,
                task,
                run.run,
                reason,
                checkpoint or run.checkpoint,
            )
        )
        self.next_end_number += 1
        self._observer.run_ended(self, task, run.run, reason)

    def crash(self):
        """End this incarnation and all its runs."""
        self.up = False
        runs, self.runs = self.runs, {}
        for run in runs.values():
            self._observer.run_ended(self, run.task, run.run, None)

    def check_epoch(self, epoch):
        """Refuse an order of an earlier leader, else store its epoch.

        Raises:
            StaleEpoch: the worker has seen a later epoch.
        """
        if epoch < self.epoch:
            raise errors.StaleEpoch(
                detail=f'{self.worker.worker_id} has seen a later epoch'
            )
        self.epoch = epoch

    def last_lapse_ms(self):
        """Return when a lease last lapsed on its clock; None if none has."""
        if self.clock_ms() > self.lease_until_ms:
            return self.lease_until_ms
        return self._former_lapse_ms

    def extend_lease(self, lease_until_ms):
        """Extend the lease of all runs, to hold_max_ms from now at most."""
        if lease_until_ms is not None:
            self._former_lapse_ms = self.last_lapse_ms()
            max_until_ms = self.clock_ms() + self.hold_max_ms
            self.lease_until_ms = max(
                self.lease_until_ms, min(lease_until_ms, max_until_ms)
            )

    def start(self, order):
        """Execute a start order; see base.WorkerClient."""
        self.expire()
        self.check_epoch(order.epoch)
        if order.lease_until_ms < self.clock_ms():
            return verdict.NotRun(verdict.RefusalReason.LATE)
        current = self.runs.get(order.task)
        if current is not None and current.run == order.run:
            self.extend_lease(order.lease_until_ms)
            return messages.Started(self.clock_ms())
        self.extend_lease(order.lease_until_ms)
        if current or order.run <= self.highest_runs.get(order.task, 0):
            return verdict.NotRun(verdict.RefusalReason.STALE_RUN)
        self.runs[order.task] = SimRun(
            order.task, order.run, self.clock_ms(), order.checkpoint
        )
        self.starts.append((order.task, order.run))
        self._observer.run_started(self, order.task, order.run)
        return messages.Started(self.clock_ms())

    def stop(self, task, run, epoch):
        """Execute a stop order; a start of the run is refused from now on."""
        self.expire()
        self.check_epoch(epoch)
        current = self.runs.get(task)
        if current is not None and current.run <= run:
            self.end(task, messages.EndReason.STOPPED)
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), run)

    def report(self, epoch, acknowledged, lease_until_ms):
        """Renew the lease, drop acknowledged ends and return a Report."""
        self.expire()
        self.check_epoch(epoch)
        self.extend_lease(lease_until_ms)
        for ended_run in self.ended:
            if ended_run.number <= acknowledged:
                self._observer.end_acknowledged(self, ended_run)
        self.ended = [e for e in self.ended if e.number > acknowledged]
        return messages.Report(
            self.worker.born_ms,
            self.clock_ms(),
            tuple(
                messages.ActiveRun(
                    r.task, r.run, r.checkpoint, r.percent, r.load
                )
                for r in self.runs.values()
            ),
            tuple(self.ended[:MAX_REPORTED_ENDS]),
            more_ends=len(self.ended) >= MAX_REPORTED_ENDS,
        )


class MemoryWorkers(base.WorkerClient):
    """Simulated workers; a WorkerClient that calls them directly.

    Attributes:
        sims: the SimWorkers by address.
        late_orders: orders that are executed by execute_late_orders().
        choose_fault: called with (kind of order, worker) for each order;
            returns `ok`, `not sent`, `lost` (executed without a reply),
            `late` (executed by execute_late_orders(), without a reply), or a
            function that gets one without arguments and has to call it once,
            from another thread: that executes the order, and there is no
            reply until then and none after.

    Args:
        clock: the Clock.
        observer: the RunObserver of all workers, or None.
    """

    def __init__(self, clock, observer=None):
        self._clock = clock
        self._observer = observer
        self._lock = threading.RLock()
        self._changed = threading.Condition(self._lock)
        self.sims = {}
        self.late_orders = []
        self.choose_fault = lambda kind, worker: 'ok'

    def add(self, worker, clock_rate=1.0, hold_max_ms=HOLD_MAX_MS):
        """Start an incarnation of a worker; it replaces one at its address.

        Returns:
            Its SimWorker.
        """
        with self._lock:
            sim = SimWorker(
                worker, self._clock, clock_rate, hold_max_ms, self._observer
            )
            self.sims[worker.address] = sim
            return sim

    def crash(self, address):
        """Crash the worker at an address."""
        with self._lock:
            self.sims[address].crash()

    def finish(self, worker, task, run, reason):
        """End a run, unless it has ended."""
        with self._lock:
            sim = self.sims[worker.address]
            current = sim.runs.get(task)
            # A later incarnation may have the run, too.
            if sim.worker.incarnation != worker.incarnation:
                return
            if current is not None and current.run == run:
                sim.end(task, reason)
                self._changed.notify_all()

    def wait_for(self, condition, timeout_ms):
        """Wait until a condition on the workers holds.

        Args:
            condition: called without arguments.
            timeout_ms: longest wait in milliseconds.
        """
        with self._changed:
            self._changed.wait_for(condition, timeout_ms / 1000)

    def expire(self):
        """End the runs whose leases have expired."""
        with self._lock:
            for sim in list(self.sims.values()):
                sim.expire()

    def start(self, worker, order, timeout_ms):
        return self._call(
            'start', worker, lambda sim: _start(sim, worker, order)
        )

    def stop(self, worker, task, run, epoch, timeout_ms):
        self._call('stop', worker, lambda sim: sim.stop(task, run, epoch))

    def report(
        self, worker, epoch, acknowledged, lease_until_ms, wait_ms, timeout_ms
    ):
        return self._call(
            'report',
            worker,
            lambda sim: sim.report(epoch, acknowledged, lease_until_ms),
        )

    def pace(self, worker, task, run, percent, epoch, timeout_ms):
        def set_pace(sim):
            sim.check_epoch(epoch)
            current = sim.runs.get(task)
            if current is not None and current.run == run:
                current.pace = percent

        self._call('pace', worker, set_pace)

    def execute_late_orders(self):
        """Execute the delayed orders.

        A later incarnation at the address also executes them if it has the
        id of the worker.
        """
        with self._lock:
            orders, self.late_orders = self.late_orders, []
            for worker, action in orders:
                self._execute_late(worker, action)

    def _execute_late(self, worker, action):
        sim = self.sims.get(worker.address)
        if sim is None or not sim.up:
            return
        if sim.worker.worker_id == worker.worker_id:
            with contextlib.suppress(errors.StaleEpoch):
                action(sim)

    def _defer(self, defer, worker, action):
        """Wait without an answer until a deferred order was executed."""
        executed = threading.Event()

        def execute():
            with self._lock:
                self._execute_late(worker, action)
                self._changed.notify_all()
            executed.set()

        defer(execute)
        executed.wait()
        raise errors.ReplyLost(address=worker.address, detail='injected')

    def _call(self, kind, worker, action):
        with self._lock:
            fault = self.choose_fault(kind, worker)
            if not callable(fault):
                return self._execute(fault, worker, action)
        return self._defer(fault, worker, action)

    def _execute(self, fault, worker, action):
        sim = self.sims.get(worker.address)
        if fault == 'not sent':
            raise errors.CallNotSent(address=worker.address, detail='injected')
        if fault == 'late':
            self.late_orders.append((worker, action))
            raise errors.ReplyLost(address=worker.address, detail='injected')
        if sim is None or not sim.up:
            raise errors.CallNotSent(
                address=worker.address, detail='refused', refused=True
            )
        if sim.worker.worker_id != worker.worker_id:
            raise errors.IncarnationMismatch(
                worker_id=worker.worker_id, address=worker.address
            )
        result = action(sim)
        self._changed.notify_all()
        if fault == 'lost':
            raise errors.ReplyLost(
                address=worker.address, detail='injected', unchecked=True
            )
        return result


def _start(sim, worker, order):
    """Execute a start; mark the answer of another incarnation unchecked."""
    outcome = sim.start(order)
    if isinstance(outcome, messages.Started):
        is_other = sim.worker.born_ms != worker.born_ms
        return dataclasses.replace(outcome, unchecked=is_other)
    return outcome


def make_worker(
    number, pool='main', zone='zone-a', born_ms=1, cpu_milli=8000, rack='r1'
):
    """Return a fleet Worker for tests."""
    return model.Worker(
        worker_id=f'worker-{number}',
        born_ms=born_ms,
        address=f'10.0.0.{number}:80',
        pool=pool,
        zone=zone,
        labels=('a', rack),
        capacity=jobs.Resources(cpu_milli, 64_000, 0),
        host_id=f'host-{number}',
    )

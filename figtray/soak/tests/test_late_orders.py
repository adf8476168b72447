"""Tests of orders that get no answer and are carried out late."""

import dataclasses
import queue
import threading

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.fleet import memory
from figtray.fleet import messages
from figtray.soak import faults
from figtray.soak import late_orders

TIMEOUT_S = 10
TASK = 'task'
LEASE_MS = 6000


class Timer:
    """Stands in for a threading.Timer; its time has come when joined."""

    delays_s = []

    def __init__(self, delay_s, action):
        self.delays_s.append(delay_s)
        self._action = action

    def start(self):
        pass

    def join(self):
        self._action()


class Worker:
    """A simulated worker; it may start again under its id."""

    def __init__(self):
        self.workers = memory.MemoryWorkers(clock_lib.ManualClock())
        self.worker = memory.make_worker(0)
        self.workers.add(self.worker)
        self.deferred = queue.SimpleQueue()
        self.lost = queue.SimpleQueue()

    @property
    def sim(self):
        return self.workers.sims[self.worker.address]

    def restart(self):
        self.workers.crash(self.worker.address)
        self.workers.add(dataclasses.replace(self.worker, born_ms=2))

    def delay(self, call):
        """Make a call that gets no answer; return what executes it."""
        self.workers.choose_fault = lambda *_: self.deferred.put
        thread = threading.Thread(target=self._lose, args=(call,))
        thread.daemon = True
        thread.start()
        execute = self.deferred.get(timeout=TIMEOUT_S)
        self.workers.choose_fault = lambda *_: 'ok'
        return execute

    def _lose(self, call):
        try:
            call()
        except errors.ReplyLost as exc:
            self.lost.put(exc)

    def start(self):
        order = messages.StartOrder(TASK, 1, 'p', 1, LEASE_MS)
        return self.workers.start(self.worker, order, 0)

    def stop(self):
        self.workers.stop(self.worker, TASK, 1, 1, 0)

    def report(self, lease_until_ms=None):
        return self.workers.report(self.worker, 1, 0, lease_until_ms, 0, 0)


@pytest.fixture
def worker():
    return Worker()


class TestDeferredOrders:
    """Guards against late orders that are answered, or that block others."""

    # A later incarnation knows nothing of a stop that came first.
    @pytest.mark.parametrize('has_restarted', [False, True])
    def test_start_is_executed_after_newer_calls(self, worker, has_restarted):
        execute = worker.delay(worker.start)
        worker.stop()
        assert not worker.report().running
        if has_restarted:
            worker.restart()
        assert worker.lost.empty()
        execute()
        assert worker.lost.get(timeout=TIMEOUT_S)
        running = [(item.task, item.run) for item in worker.report().running]
        assert running == ([(TASK, 1)] if has_restarted else [])

    def test_request_extends_the_lease_of_a_later_incarnation(self, worker):
        execute = worker.delay(lambda: worker.report(LEASE_MS))
        worker.restart()
        assert not worker.sim.lease_until_ms
        execute()
        assert worker.sim.lease_until_ms == LEASE_MS

    def test_worker_is_down_or_another(self, worker):
        execute = worker.delay(worker.start)
        worker.workers.crash(worker.worker.address)
        execute()
        execute = worker.delay(worker.start)
        worker.workers.add(
            dataclasses.replace(worker.worker, worker_id='another')
        )
        execute()
        assert not worker.sim.starts

    # A run that an earlier incarnation had ended in place of it.
    def test_end_of_a_run_of_an_earlier_incarnation(self, worker):
        worker.start()
        worker.restart()
        worker.start()
        worker.workers.finish(worker.worker, TASK, 1, messages.EndReason.DONE)
        assert TASK in worker.sim.runs


class TestDelays:
    """Guards against delays out of range, and orders that are forgotten."""

    def make(self, worker, monkeypatch, for_s):
        monkeypatch.setattr(threading, 'Timer', Timer)
        monkeypatch.setattr(Timer, 'delays_s', [])
        kind = faults.FaultKind.ORDERS_DELAYED
        begin, end = late_orders.make_delayed(
            worker.workers, faults.Fault(0, for_s, kind, 1, False)
        )
        begin()
        return end

    def choose(self, worker, kind):
        found = [
            worker.workers.choose_fault(kind, worker.worker)
            for _ in range(200)
        ]
        return [item for item in found if item != 'ok']

    @pytest.mark.parametrize('kind', ['start', 'report'])
    def test_half_of_the_orders_are_executed_in_the_fault(
        self, worker, monkeypatch, kind
    ):
        end = self.make(worker, monkeypatch, for_s=14)
        found = self.choose(worker, kind)
        assert 60 < len(found) < 140
        executed = []
        for defer in found:
            defer(lambda: executed.append(True))
        shortest_s, longest_s = late_orders.DELAY_S
        assert all(shortest_s <= s <= longest_s for s in Timer.delays_s)
        end()
        assert len(executed) == len(found)
        assert not self.choose(worker, kind)

    def test_other_orders_are_not_delayed(self, worker, monkeypatch):
        self.make(worker, monkeypatch, for_s=14)
        assert not self.choose(worker, 'stop')
        assert not self.choose(worker, 'pace')

    def test_fault_is_too_short(self, worker, monkeypatch):
        self.make(worker, monkeypatch, for_s=late_orders.DELAY_S[0])
        assert not self.choose(worker, 'start')

"""Tests of the in-memory workers."""

import pytest

from figtray import clock as clock_lib
from figtray.workers import base
from figtray.workers import memory
from figtray.workers.tests import contract


def task(task_id, lease_ms=1000):
    return base.TaskStart(
        task_id, f'{task_id}-a', 'north', 'quotes', 'i1', lease_ms, b''
    )


@pytest.fixture
def clock():
    return clock_lib.ManualClock()


@pytest.fixture
def worker(clock):
    return memory.MemoryWorker('host-1', 2, clock, 'zone-1')


class TestMemoryWorkerClient(contract.WorkerContract):
    """Runs the contract of the WorkerClient."""

    @pytest.fixture
    def rig(self, clock, worker):
        client = memory.MemoryWorkerClient(clock)
        client.add(contract.ADDRESS, worker)
        names = {
            'lose_answer': 'lose_answers',
            'swap': 'swap_answers',
            'truncate': 'truncate_answers',
        }

        def fault(name):
            faults = client.faults(contract.ADDRESS)
            setattr(faults, names.get(name, name), 1)

        return contract.Rig(
            client,
            contract.ADDRESS,
            worker,
            clock,
            fault,
            lambda: client.held.add(contract.ADDRESS),
        )


class TestMemoryWorker:
    """Guards against a fake that admits what a worker refuses."""

    def begin(self, worker, item):
        return worker.begin(item, worker.clock_ms() + 1)

    def test_slots(self, worker):
        first = self.begin(worker, task('t1'))
        self.begin(worker, task('t2'))
        assert self.begin(worker, task('t3')) == 'busy'
        worker.end(first, '200')
        assert self.begin(worker, task('t3')).start.task_id == 't3'

    def test_lease_ends_a_task(self, worker, clock):
        execution = self.begin(worker, task('t1'))
        clock.advance(1000)
        assert not worker.report().running
        assert worker.end(execution, '200') == 'lease'
        assert self.begin(worker, task('t2', 0)) == 'lease'

    def test_duplicates_are_known_after_the_end(self, worker, clock):
        worker.end(self.begin(worker, task('t1')), '200')
        clock.advance(memory.ENDED_RETENTION_MS - 1)
        assert self.begin(worker, task('t1')) == 'duplicate'
        clock.advance(1)
        assert not isinstance(self.begin(worker, task('t1')), str)

    def test_late_start(self, worker):
        now_ms = worker.clock_ms()
        assert worker.begin(task('t1'), now_ms) == 'late'
        assert worker.begin(task('t1'), None) == 'late'

    def test_restart_loses_tasks_and_clock(self, worker):
        before = worker.report()
        execution = self.begin(worker, task('t1'))
        worker.restart()
        assert execution.stopped.is_set()
        assert worker.report().boot_id != before.boot_id
        assert worker.report().clock_ms != before.clock_ms

    def test_report_lag(self, worker, clock):
        worker.set_report_lag(1000)
        self.begin(worker, task('t1', 5000))
        clock.advance(999)
        assert worker.report().running == ()
        clock.advance(1)
        assert len(worker.report().running) == 1

    def test_log_is_numbered(self, worker):
        worker.end(self.begin(worker, task('t1')), '200')
        assert [item['event'] for item in worker.log()] == ['start', 'end']
        (last,) = worker.log(since=1)
        assert (last['outcome'], last['zone']) == ('200', 'zone-1')

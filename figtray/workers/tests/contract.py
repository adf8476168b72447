"""Behaviour that every WorkerClient has."""

import concurrent.futures
import dataclasses
import threading

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray import verdict
from figtray.workers import base
from figtray.workers import memory

REFUSED = verdict.RefusalReason
UNCERTAIN = verdict.UncertainReason
ADDRESS = '127.0.0.1:1'


@dataclasses.dataclass
class Rig:
    """A client, the worker behind it, and its faults.

    `fault(name)` switches a fault on: lose_answer, swap, truncate, down, or
    silent. `hold()` makes the next tasks run until they are stopped.
    """

    client: base.WorkerClient
    address: str
    worker: memory.MemoryWorker
    clock: clock_lib.ManualClock
    fault: object
    hold: object

    def start(
        self, task='t1', attempt='a1', check=None, timeout_ms=60_000, **fields
    ):
        """Start a task; by default the right to start ends in 1 s."""
        values = {
            'team': 'north',
            'queue': 'quotes',
            'incarnation': 'i1',
            'lease_ms': 60_000,
            'body': b'payload',
        }
        start = base.TaskStart(task, attempt, **{**values, **fields})
        check = check or (lambda: self.clock.now_ms() + 1000)
        return self.client.start(self.address, start, timeout_ms, check)

    def starts(self):
        """Return the attempts that the worker started."""
        log = self.worker.log()
        return [i['attempt_id'] for i in log if i['event'] == 'start']


class WorkerContract:
    """Tests of a WorkerClient; a subclass provides the fixture `rig`."""

    def test_answer(self, rig):
        """Guards against lost bodies and repeated starts."""
        answer = rig.start()
        assert (answer.status, answer.body) == (200, b'payload')
        assert rig.start('t2', 'a2', body=b'').body == b''
        assert rig.starts() == ['a1', 'a2']

    def test_failed_task_is_answered(self, rig):
        """Guards against a task failure that is taken for a lost start."""
        rig.worker.fail_all = True
        assert rig.start().status == 500

    @pytest.mark.parametrize(
        'word, reason',
        [
            ('busy', REFUSED.BUSY),
            ('leaving', REFUSED.LEAVING),
            ('late', REFUSED.START_EXPIRED),
            ('lease', REFUSED.START_EXPIRED),
        ],
    )
    def test_refusals_are_not_run(self, rig, word, reason):
        """Guards against a refused request that is not tried elsewhere."""
        rig.worker.refuse = word
        answer = rig.start()
        assert isinstance(answer, verdict.NotRun)
        assert answer.reason == reason
        assert rig.starts() == []

    def test_duplicate_may_have_run(self, rig):
        """Guards against a second run of a task that already reached it."""
        rig.start()
        assert isinstance(rig.start('t1', 'a2'), verdict.MayHaveRun)
        rig.worker.refuse = 'unheard-of'
        assert isinstance(rig.start('t2', 'a3'), verdict.MayHaveRun)
        assert rig.starts() == ['a1']

    def test_check_forbids(self, rig):
        """Guards against a start without the right to start."""
        refusal = verdict.NotRun(REFUSED.NO_SERVING_RIGHT)
        assert rig.start(check=lambda: refusal) is refusal
        expired = rig.start(check=rig.clock.now_ms)
        assert expired.reason == REFUSED.START_EXPIRED
        assert rig.worker.log() == []

    def test_pause_before_the_send(self, rig):
        """Guards against a start by a process that was paused too long."""
        begin = rig.worker.begin

        def begin_later(start, start_by_ms):
            rig.clock.advance(1000)
            return begin(start, start_by_ms)

        rig.worker.begin = begin_later
        assert rig.start().reason == REFUSED.START_EXPIRED
        assert rig.starts() == []

    @pytest.mark.parametrize(
        'name, reason',
        [
            ('lose_answer', UNCERTAIN.CONNECTION_LOST),
            ('swap', UNCERTAIN.FOREIGN_ANSWER),
            ('truncate', UNCERTAIN.BROKEN_ANSWER),
            ('silent', UNCERTAIN.TIMEOUT),
        ],
    )
    def test_bad_answers_may_have_run(self, rig, name, reason):
        """Guards against a caller that gets another request's answer."""
        rig.start('t0', 'a0')
        rig.fault(name)
        # The manual clock stands still: the time limit ends only the wait for
        # an answer that never comes.
        answer = rig.start(timeout_ms=200 if name == 'silent' else 60_000)
        assert isinstance(answer, verdict.MayHaveRun)
        assert answer.reason == reason
        assert rig.client.foreign_answers == (name == 'swap')
        assert rig.client.timeouts(rig.address) == (name == 'silent')

    def test_down(self, rig):
        """Guards against an unreachable worker that delays a retry."""
        rig.fault('down')
        assert rig.start().reason == REFUSED.CONNECT_FAILED
        with pytest.raises(errors.WorkerUnavailable):
            rig.client.report(rig.address, 60_000)
        with pytest.raises(errors.WorkerUnavailable):
            rig.client.stop(rig.address, 't1', 60_000)
        assert not rig.client.probe(rig.address, 60_000)

    def test_held_task(self, rig):
        """Guards against running tasks that can't be seen or ended."""
        rig.hold()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            begun = self.signal_begin(rig.worker)
            outcome = pool.submit(rig.start)
            assert begun.wait(30)
            rig.clock.advance(100)
            (waiting,) = rig.client.waiting(rig.address)
            assert (waiting.task_id, waiting.attempt_id) == ('t1', 'a1')
            report = rig.client.report(rig.address, 60_000)
            task = base.RunningTask('t1', 'a1', 'north', 'i1', 59_900)
            assert report.running == (task,)
            rig.client.abandon(rig.address, 'a1')
            rig.client.abandon(rig.address, 'unknown')
            answer = outcome.result(30)
            assert answer.reason == UNCERTAIN.CONNECTION_LOST
        assert not rig.client.waiting(rig.address)
        assert rig.worker.report().running
        rig.client.stop(rig.address, 't1', 60_000)
        rig.client.stop(rig.address, 'unknown', 60_000)
        assert not rig.worker.report().running

    @staticmethod
    def signal_begin(worker):
        """Return an event that is set when the worker admits a task."""
        begun = threading.Event()
        begin = worker.begin

        def begin_and_tell(start, start_by_ms):
            execution = begin(start, start_by_ms)
            begun.set()
            return execution

        worker.begin = begin_and_tell
        return begun

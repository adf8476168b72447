"""Tests of the background tasks."""

import threading

from figtray import clock as clock_lib
from figtray.entry import background


class TestBackgroundTasks:
    """Guards against a task that is gone after one unexpected exception."""

    def make(self):
        stop = threading.Event()
        clock = clock_lib.ManualClock()
        return stop, background.BackgroundTasks(clock, stop)

    def test_failed_task_is_run_again(self):
        _, tasks = self.make()
        calls = []

        def fail_twice():
            calls.append(1)
            if len(calls) < 3:
                raise RuntimeError('fault')

        tasks.run('task', fail_twice)
        assert len(calls) == 3

    def test_stop_ends_a_task_that_goes_on_failing(self):
        stop, tasks = self.make()
        calls = []

        def fail():
            calls.append(1)
            if len(calls) == 2:
                stop.set()
            raise RuntimeError('fault')

        tasks.spawn('task', fail)
        tasks.join(10_000)
        assert len(calls) == 2

"""Background tasks of a process, each in a thread of its own."""

import threading

from figtray.events import log

# Wait before a task is run again that ended with an unexpected exception.
RESTART_MS = 500


class BackgroundTasks:
    """Runs tasks until the process stops.

    A task that fails is logged and run again: one faulty call must not end
    dispatch or heartbeats for the rest of the process's life.
    """

    def __init__(self, clock, stop):
        """Set up.

        Args:
            clock: a Clock.
            stop: threading.Event that ends the tasks.
        """
        self._clock = clock
        self._stop = stop
        self._threads = []

    def spawn(self, name, function, *args):
        """Run a function in a thread until it returns.

        Args:
            name: name of the task, for the log.
            function: called with `args`.
            args: positional arguments.
        """
        thread = threading.Thread(
            target=self.run, args=(name, function, *args), name=name
        )
        thread.daemon = True
        thread.start()
        self._threads.append(thread)

    def run(self, name, function, *args):
        """Run a function until it returns; see spawn()."""
        while True:
            try:
                function(*args)
                return
            except Exception as exc:
                log.emit_exception(name, exc)
            if self._clock.wait(self._stop, RESTART_MS):
                return

    def join(self, timeout_ms):
        """Wait for the tasks to end.

        Args:
            timeout_ms: longest wait for each task in milliseconds.
        """
        for thread in self._threads:
            thread.join(timeout_ms / 1000)

"""Threads that are started as there is work for them."""

import collections
import threading

from figtray.events import log

# A thread without work ends after this time.
IDLE_S = 4
# Wait after the system has allowed no further thread.
RETRY_S = 0.2


class ThreadPool:
    """Runs jobs at once, in as many threads as there are jobs under way.

    A thread that waits for an answer holds up no other job, and the number of
    threads follows the work in hand. Whoever hands in a job may hold locks, so
    a thread of its own starts the others.

    Args:
        name: name of the threads.
        most_threads: limit of their number.
    """

    def __init__(self, name, most_threads):
        self._name = name
        self._most_threads = most_threads
        self._least_threads = 0
        self._is_growing = False
        self._lock = threading.Lock()
        self._has_jobs = threading.Condition(self._lock)
        self._is_short = threading.Condition(self._lock)
        self._urgent_jobs = collections.deque()
        self._jobs = collections.deque()
        self._count = 0
        self._idle = 0
        self._closed = False

    def start(self, least_threads):
        """Start the threads that stay until close(); may be tried again.

        Args:
            least_threads: their number.

        Raises:
            RuntimeError: the system allows no further thread.
        """
        if not self._is_growing:
            self._start_thread(self._grow)
            self._is_growing = True
        while self._least_threads < least_threads:
            self._start_thread(self._run)
            with self._lock:
                self._count += 1
                self._least_threads += 1

    def close(self):
        """Let the threads end once the jobs are run."""
        with self._lock:
            self._closed = True
            self._has_jobs.notify_all()
            self._is_short.notify_all()

    def submit(self, job, urgent=False):
        """Let a thread call a function; its errors are logged.

        Args:
            job: the function, which is called without arguments.
            urgent: whether it goes before the others that wait.
        """
        with self._lock:
            (self._urgent_jobs if urgent else self._jobs).append(job)
            self._has_jobs.notify()
            if self._needs_threads():
                self._is_short.notify()

    def is_short(self):
        """Return whether jobs wait for a thread.

        A job that goes on for long should then end and be handed in again.
        """
        with self._lock:
            return self._count_waiting() > self._idle

    def _count_waiting(self):
        return len(self._urgent_jobs) + len(self._jobs)

    def _needs_threads(self):
        return (
            self._count_waiting() > self._idle
            and self._count < self._most_threads
        )

    def _start_thread(self, target):
        threading.Thread(target=target, name=self._name, daemon=True).start()

    def _grow(self):
        while True:
            with self._lock:
                self._is_short.wait_for(
                    lambda: self._closed or self._needs_threads()
                )
                if self._closed:
                    return
                self._count += 1
            try:
                self._start_thread(self._run)
            except RuntimeError:
                # The threads that run take over the jobs meanwhile.
                with self._lock:
                    self._count -= 1
                    self._is_short.wait(RETRY_S)

    def _run(self):
        while (job := self._next_job()) is not None:
            try:
                job()
            except Exception as exc:
                log.emit_exception(self._name, exc)

    def _next_job(self):
        """Return the next job; None if this thread has to end."""
        with self._lock:
            self._idle += 1
            while not self._count_waiting() and not self._closed:
                if (
                    not self._has_jobs.wait(IDLE_S)
                    and not self._count_waiting()
                    and self._count > self._least_threads
                ):
                    break
            self._idle -= 1
            for jobs in (self._urgent_jobs, self._jobs):
                if jobs:
                    return jobs.popleft()
            self._count -= 1
            return None

"""Threads that an unexpected error doesn't end."""

import threading

from figtray.events import log

RETRY_MS = 300


def spawn(target, name, stop, clock):
    """Run a function in a daemon thread; return the thread.

    An unexpected error is logged, and the function is called again.

    Args:
        target: the function; it returns at a stop.
        name: name of the thread.
        stop: threading.Event after which it is not called again.
        clock: the Clock.
    """
    thread = threading.Thread(
        target=run_guarded,
        args=(target, name, stop, clock),
        name=name,
        daemon=True,
    )
    thread.start()
    return thread


def run_guarded(target, name, stop, clock):
    """Call a function until it returns; see spawn()."""
    while not stop.is_set():
        try:
            return target()
        except Exception as exc:
            log.emit_exception(name, exc)
            clock.wait(stop, RETRY_MS)

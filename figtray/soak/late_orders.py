"""Orders that get no answer and are carried out late."""

import functools
import random
import threading
import time

KINDS = ('start', 'report')
DELAYED_SHARE = 0.5
DELAY_S = (2.0, 12.0)


def make_late(workers, fault):
    """Return actions that begin and end a fault of late orders.

    A third of the workers execute starts and stops at the end of the fault.

    Args:
        workers: MemoryWorkers that get the orders.
        fault: the Fault.
    """

    def choose(kind, worker):
        number = sum(worker.worker_id.encode()) + fault.choice
        is_late = kind in ('start', 'stop') and number % 3 == 0
        return 'late' if is_late else 'ok'

    def end():
        workers.choose_fault = lambda kind, worker: 'ok'
        workers.execute_late_orders()

    return functools.partial(setattr, workers, 'choose_fault', choose), end


def make_delayed(workers, fault):
    """Return actions that begin and end a fault of delayed orders.

    Each start and each request for a report is delayed on its own, so that
    newer calls, also to a later incarnation of the worker, come first.

    Args:
        workers: MemoryWorkers that get the orders.
        fault: the Fault; all orders are executed in its duration.
    """
    rng, timers = random.Random(fault.choice), []
    end_s = time.monotonic() + fault.for_s

    def choose(kind, worker):
        is_delayed = kind in KINDS and rng.random() < DELAYED_SHARE
        delay_s = rng.uniform(*DELAY_S)
        if not is_delayed or time.monotonic() + delay_s > end_s:
            return 'ok'

        def defer(execute):
            timers.append(threading.Timer(delay_s, execute))
            timers[-1].start()

        return defer

    def end():
        workers.choose_fault = lambda kind, worker: 'ok'
        for timer in timers:
            timer.join()

    return functools.partial(setattr, workers, 'choose_fault', choose), end

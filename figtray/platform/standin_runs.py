"""Ends of the runs on the workers of the stand-in site."""

import threading

from figtray.fleet import memory as fleet_memory


class RunFinisher(fleet_memory.RunObserver):
    """Ends each run, or crashes its worker, some time after its start.

    Attributes:
        workers: the MemoryWorkers.
        crash: called with the fleet Worker that crashes.

    Args:
        choose_end: called with the name of a task; returns how long its run
            takes in milliseconds, and its messages.EndReason, or None if its
            worker crashes then.
        observer: the RunObserver to which all calls are passed on.
    """

    def __init__(self, choose_end, observer):
        self._choose_end = choose_end
        self._observer = observer
        self.workers = None
        self.crash = None

    def run_started(self, sim, task, run):
        delay_ms, reason = self._choose_end(task)
        timer = threading.Timer(
            delay_ms / 1000, self._end, (sim, task, run, reason)
        )
        timer.daemon = True
        timer.start()
        self._observer.run_started(sim, task, run)

    def _end(self, sim, task, run, reason):
        if reason is not None:
            self.workers.finish(sim.worker, task, run, reason)
            return
        current = sim.runs.get(task)
        if current is not None and current.run == run:
            self.crash(sim.worker)

    def run_ended(self, sim, task, run, reason):
        self._observer.run_ended(sim, task, run, reason)

    def end_acknowledged(self, sim, ended_run):
        self._observer.end_acknowledged(sim, ended_run)

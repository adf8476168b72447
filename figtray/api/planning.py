"""Previews capacity plans for operators."""

import threading
import time

from figtray.capacity import demand as demand_lib
from figtray.capacity import model
from figtray.capacity import observer as observer_lib
from figtray.capacity import preview
from figtray import errors
from figtray.workers import base as workers_base


class UnaskedWorkers(workers_base.WorkerClient):
    """Stands for workers that are not asked.

    A worker's connections are all used by the entries and the controller,
    so a preview relies on the host list alone.
    """

    def report(self, address, timeout_ms):
        raise errors.WorkerUnavailable(address=address, detail='not asked')


class Planner:
    """Planner callback of the application."""

    def __init__(
        self,
        host_list,
        entries,
        read_demand,
        clock,
        executor,
        wall_s=time.time,
    ):
        """Set up.

        Args:
            host_list: the HostList.
            entries: the EntryGroup.
            read_demand: function that returns the demand.PoolLoad of each
                pool.
            clock: the Clock.
            executor: a concurrent.futures executor.
            wall_s: function that returns seconds since the epoch.
        """
        self._observer = observer_lib.Observer(
            host_list, UnaskedWorkers(), entries, clock, executor
        )
        self._read_demand = read_demand
        self._clock = clock
        self._wall_s = wall_s
        self._tracker = demand_lib.DemandTracker()
        # The observer remembers what it saw and serves one caller at a time.
        self._lock = threading.Lock()

    def __call__(self, snapshot, items):
        """Preview the plan after a change.

        Args:
            snapshot: the current Snapshot.
            items: the changed Items; may be empty.

        Returns:
            A preview.Preview.

        Raises:
            HostListUnavailable: the host list did not answer.
        """
        with self._lock:
            thresholds = model.make_thresholds(snapshot.policy)
            demand = self._tracker.update(
                self._read_demand(),
                self._clock.now_ms(),
                thresholds.interval_ms,
            )
            observation = self._observer.observe(
                snapshot, demand, int(self._wall_s())
            )
        return preview.preview(snapshot, items, observation)

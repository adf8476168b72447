"""Entries that the workers of the stand-in site write into its store."""

from figtray.platform import standin_services
from figtray.store import base

PREFIX = 'servers/'


class WorkerEntries:
    """Writes and deletes entries of workers, as their heartbeats do.

    Args:
        store: the MemoryStore.
        clock: the Clock.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        # Ids of ended workers and the time in milliseconds from which the
        # next heartbeat deletes their entries.
        self._ends_ms = {}

    def end(self, worker, after_ms=0):
        """Let a heartbeat after a time delete the entry of a worker."""
        self._ends_ms[worker.worker_id] = self._clock.now_ms() + after_ms

    def write(self, workers, sequence):
        """Write the entries of workers, and delete those of ended ones.

        Args:
            workers: view of the fleet Workers that go on; it is read after
                the ended ones are known, as further workers may end.
            sequence: number of the heartbeat.
        """
        ended_worker_ids = self._ended_worker_ids()
        self._store.txn(
            [],
            [
                base.Put(
                    PREFIX + worker.worker_id,
                    standin_services.encode_worker_entry(worker, sequence),
                )
                for worker in list(workers)
            ],
            [PREFIX + worker_id for worker_id in ended_worker_ids],
        )
        for worker_id in ended_worker_ids:
            del self._ends_ms[worker_id]

    def expire(self):
        """Delete the entries of ended workers, also while the store is down.

        The platform's store does so at times, as the entries have leases.
        """
        self._store.remove(
            [PREFIX + worker_id for worker_id in self._ended_worker_ids()]
        )

    def _ended_worker_ids(self):
        """Return the ids of the ended workers whose entries are overdue."""
        now_ms = self._clock.now_ms()
        return [
            worker_id
            for worker_id, end_ms in list(self._ends_ms.items())
            if end_ms <= now_ms
        ]

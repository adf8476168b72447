"""Load of pools, and workers that are emptied for their hosts."""

import collections

from figtray.scheduling import book
from figtray.scheduling import state


class Emptying(book.Book):
    """Load of pools, and workers that are emptied for their hosts."""

    def pool_loads(self):
        """Return the PoolLoad of each pool that has work or workers."""
        with self.lock:
            sums = {}
            for place in self._places.values():
                worker = place.worker
                entry = sums.setdefault(worker.pool, collections.Counter())
                entry['due'] += place.due
                if (
                    not place.listed
                    or place.closing
                    or worker.draining
                    or worker.zone in self._evacuated
                ):
                    continue
                entry['workers'] += 1
                entry['capacity_milli'] += worker.capacity.cpu_milli
            for job in self._jobs.values():
                if not job.ended and job.queue is not None:
                    entry = sums.setdefault(
                        job.queue.pool, collections.Counter()
                    )
                    _add_load(entry, job)
            now_ms = self._clock.now_ms()
            for pool, entry in sums.items():
                entry['arriving_milli'] = int(
                    self._work.needed_milli(pool, now_ms)
                )
            return {
                pool: state.PoolLoad(**entry) for pool, entry in sums.items()
            }

    def set_upkeep_due(self, worker_ids):
        """Note the workers whose hosts will have their upkeep soon."""
        with self.lock:
            for place in self._places.values():
                place.due = place.worker.worker_id in worker_ids

    def cordon_worker(self, worker_id, reason):
        """Start nothing more on a worker, as its host is wanted."""
        with self.lock:
            place = self._by_id(worker_id)
            if place is not None:
                place.closing = reason

    def uncordon_worker(self, worker_id, reason):
        """Start tasks on a worker again if it was closed for a reason."""
        with self.lock:
            place = self._by_id(worker_id)
            if place is not None and place.closing == reason:
                place.closing = ''
        self.changed.set()

    def is_schedulable(self, worker_id):
        """Tell whether tasks may start on a worker, as far as is known."""
        with self.lock:
            place = self._by_id(worker_id)
            return place is not None and not (
                place.closing or place.worker.draining
            )

    def has_worker_reported(self, worker_id):
        """Tell whether a worker is listed and has reported."""
        with self.lock:
            place = self._by_id(worker_id)
            return place is not None and place.reached

    def drain_cost(self, worker_id):
        """Return a key that orders workers by the harm of emptying them."""
        with self.lock:
            place = self._by_id(worker_id)
            if place is None:
                return False, 0, 0
            busy = any(
                step.waiting
                and step.job.queue is not None
                and step.job.queue.pool == place.worker.pool
                for step in self._open_steps.values()
            )
            lasting = sum(
                1 for run in place.runs.values() if run.task.step.spec.lasting
            )
            return busy, lasting, len(place.runs)

    def drain_worker(self, worker_id):
        """Stop the lasting tasks of a worker as far as they may be away.

        Returns:
            True if nothing runs there.
        """
        with self.lock:
            place = self._by_id(worker_id)
            if place is None:
                return self.loaded.is_set() and not any(
                    life.worker_id == worker_id for life in self._unaccounted
                )
            if not place.runs:
                return True
            for run in list(place.runs.values()):
                step = run.task.step
                if (
                    step.spec.lasting
                    and run.phase == state.Phase.RUNNING
                    and self._may_interrupt(run)
                ):
                    self.stop(run, f'its host is wanted: {place.closing}')
            return False

    def has_lasting_tasks(self, worker_id):
        """Tell whether tasks run there that must not be cut off."""
        with self.lock:
            place = self._by_id(worker_id)
            return place is not None and any(
                run.task.step.spec.lasting for run in place.runs.values()
            )

    def _may_interrupt(self, run):
        """Tell whether planned work may interrupt a lasting task now."""
        step = run.task.step
        if not step.spec.may_be_away:
            return True
        away = sum(
            1
            for task in step.tasks
            if task.run is not run and not _at_work(task.run)
        )
        return away < step.spec.may_be_away


def _add_load(entry, job):
    """Add what a job occupies and asks for to the sums of its pool."""
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            if not step.left:
                continue
            spec = step.spec
            milli = spec.needs.cpu_milli
            if not step.open:
                entry['later_milli'] += milli * step.left
                continue
            running = step.left - len(step.waiting)
            kind = 'lasting_milli' if spec.lasting else 'short_milli'
            entry[kind] += milli * running
            entry['waiting_milli'] += milli * len(step.waiting)
            entry['waiting'] += len(step.waiting)
            entry['memory_mb'] += spec.needs.memory_mb * step.left
            if spec.lasting and spec.max_per_worker:
                workers = -(-spec.count // spec.max_per_worker)
                entry['spread'] = max(entry['spread'], workers)


def _at_work(run):
    return (
        run is not None
        and run.phase == state.Phase.RUNNING
        and run.at_work_ms is not None
        and not run.place.silent
        and run.place.listed
    )

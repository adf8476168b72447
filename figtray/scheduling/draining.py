"""Draining of workers whose hosts are needed, and load of pools."""

import collections

from figtray.scheduling import interruptions
from figtray.scheduling import placement
from figtray.scheduling import pool_load
from figtray.scheduling import state

# Why a task may wait that a cordoned worker could run.
_ROOM_REASONS = (state.HeldReason.NO_ROOM, state.HeldReason.TRIAL)
# What it costs to drain a worker without runs, while no tasks wait.
NO_DRAIN_COST = False, 0, 0


class Draining(interruptions.Interruptions):
    """Measures the load of pools, and cordons and drains workers."""

    def pool_loads(self):
        """Return the PoolLoad of each pool that has work or workers."""
        with self.lock:
            sums = {}
            for worker_state in self._worker_states.values():
                worker = worker_state.worker
                if not worker_state.listed and not worker_state.runs:
                    continue
                # One that nobody else has seen may be an entry alone.
                if not worker_state.has_reported and not worker_state.on_host:
                    continue
                entry = sums.setdefault(worker.pool, collections.Counter())
                entry['due'] += worker_state.upkeep_due
                if (
                    not worker_state.listed
                    or worker_state.cordon_reason
                    or worker.draining
                    or worker.zone in self._evacuated_zones
                ):
                    continue
                entry['workers'] += 1
                entry['reachable'] += not worker_state.unresponsive
                entry['capacity_milli'] += worker.capacity.cpu_milli
                entry['capacity_mb'] += worker.capacity.memory_mb
            for job in self._jobs.values():
                if not job.ended and job.queue is not None:
                    entry = sums.setdefault(
                        job.queue.pool, collections.Counter()
                    )
                    _add_load(entry, job)
            now_ms = self._clock.now_ms()
            for pool, entry in sums.items():
                entry['arriving_milli'] = int(
                    self._work_meter.needed_milli(pool, now_ms)
                )
            return {
                pool: pool_load.PoolLoad(
                    **entry, outlook=self._work_meter.outlook(pool, now_ms)
                )
                for pool, entry in sums.items()
            }

    def set_upkeep_due(self, worker_ids):
        """Set the workers whose hosts have an upkeep ahead."""
        with self.lock:
            for worker_state in self._worker_states.values():
                worker_state.upkeep_due = (
                    worker_state.worker.worker_id in worker_ids
                )

    def set_cordoned(self, reason, worker_ids):
        """Cordon exactly these workers for a reason, at once.

        No more tasks start on them. All other workers lose the reason, and
        are uncordoned if they have no other one.

        Args:
            reason: why their hosts are needed; each owner of cordons has its
                own reason.
            worker_ids: set of the ids of the workers.
        """
        cleared = False
        with self.lock:
            for worker_state in self._worker_states.values():
                wanted = worker_state.worker.worker_id in worker_ids
                if wanted != (reason in worker_state.cordon_reasons):
                    worker_state.set_cordoned(reason, wanted)
                    cleared |= not wanted
        if cleared:
            self.changed.set()

    def is_schedulable(self, worker_id):
        """Return whether tasks can start on a worker that has room.

        An incarnation of an earlier term without an entry, or one that has
        not reported, gets no tasks and can't be drained.
        """
        return bool(self.schedulable_ids({worker_id}))

    def has_worker_reported(self, worker_id):
        """Return whether a worker is known and has reported in this term."""
        with self.lock:
            worker_state = self._find_worker(worker_id)
            return worker_state is not None and worker_state.has_reported

    def schedulable_ids(self, worker_ids):
        """Return those of a set of workers for which is_schedulable() holds.

        It looks at each worker once, whatever their number.
        """
        with self.lock:
            found = self._find_workers(worker_ids)
            return {i for i, state in found.items() if _is_schedulable(state)}

    def drain_costs(self, worker_ids):
        """Return keys that sort workers by the cost of draining them.

        Args:
            worker_ids: set of the ids of the workers.

        Returns:
            Mapping of id to (whether tasks wait in the pool of the worker,
            number of its lasting tasks, number of its runs). That of an
            unknown worker is NO_DRAIN_COST.
        """
        with self.lock:
            busy_pools = {
                step.job.queue.pool
                for step in self._open_steps.values()
                if step.waiting and step.job.queue is not None
            }
            costs = dict.fromkeys(worker_ids, NO_DRAIN_COST)
            for worker_id, found in self._find_workers(worker_ids).items():
                lasting = sum(
                    1
                    for run in found.runs.values()
                    if run.task.step.spec.lasting
                )
                is_busy = found.worker.pool in busy_pools
                costs[worker_id] = is_busy, lasting, len(found.runs)
            return costs

    def drain_worker(self, worker_id):
        """Stop lasting tasks of a cordoned worker; others run to their ends.

        No more tasks of a step are stopped than may be unavailable at once
        (`may_be_away`).

        Returns:
            True if the worker has no runs. An unresolved incarnation may
            have some. An unknown worker has none once all jobs and workers
            are loaded, unless one of its incarnations is unresolved.
        """
        with self.lock:
            worker_state = self._find_worker(worker_id)
            if worker_state is None:
                return self.loaded.is_set() and not any(
                    incarnation.worker_id == worker_id
                    for incarnation in self._unresolved
                )
            if not worker_state.runs:
                return worker_state.worker.incarnation not in self._unresolved
            for run in list(worker_state.runs.values()):
                step = run.task.step
                if (
                    step.spec.lasting
                    and run.phase == state.Phase.RUNNING
                    and self._can_interrupt(run)
                ):
                    self.stop(
                        run,
                        f'its host is needed: {worker_state.cordon_reason}',
                    )
            return False

    def can_lasting_tasks_leave(self, worker_ids):
        """Return whether the lasting tasks of workers have room elsewhere.

        Args:
            worker_ids: ids of workers of one pool.
        """
        with self.lock:
            states = list(self._worker_states.values())
            leaving = [s for s in states if s.worker.worker_id in worker_ids]
            steps = [
                run.task.step
                for worker_state in leaving
                for run in worker_state.runs.values()
                if run.task.step.spec.lasting
            ]
            if not steps:
                return True
            pools = {worker_state.worker.pool for worker_state in leaving}
            others = [
                worker_state
                for worker_state in states
                if worker_state.worker.pool in pools
                and worker_state.worker.worker_id not in worker_ids
                and self._is_in_use(worker_state)
            ]
            return _have_room(others, steps, self._clock.now_ms())

    def _is_in_use(self, worker_state):
        """Return whether tasks can start on a worker, but for a cordon."""
        return (
            worker_state.listed
            and worker_state.has_reported
            and not worker_state.worker.draining
            and worker_state.worker.zone not in self._evacuated_zones
        )

    def has_lasting_tasks(self, worker_id):
        """Return whether lasting tasks run on a worker."""
        with self.lock:
            worker_state = self._find_worker(worker_id)
            return worker_state is not None and any(
                run.task.step.spec.lasting
                for run in worker_state.runs.values()
            )

    def holds_up_lasting_task(self, worker_id, waited_ms):
        """Return whether a lasting task could start but for a cordon.

        Args:
            worker_id: id of the cordoned worker.
            waited_ms: least time for which the task has waited for room, in
                milliseconds.
        """
        with self.lock:
            worker_state = self._find_worker(worker_id)
            if worker_state is None or not self._is_in_use(worker_state):
                return False
            now_ms = self._clock.now_ms()
            return any(
                step.spec.lasting
                and step.held_reason in _ROOM_REASONS
                and step.waited_ms(now_ms) >= waited_ms
                and placement.has_room_uncordoned(step, worker_state, now_ms)
                for step in self._open_steps.values()
                if step.waiting
                and step.job.queue is not None
                and step.job.queue.pool == worker_state.worker.pool
            )


def _is_schedulable(worker_state):
    return (
        worker_state.listed
        and worker_state.has_reported
        and not worker_state.cordon_reason
        and not worker_state.worker.draining
    )


def _add_load(entry, job):
    """Add what a job occupies and needs to the sums of its pool."""
    for occurrence in job.occurrences.values():
        entry['later_milli'] += occurrence.later_milli
    for step in job.open_steps:
        spec = step.spec
        milli = spec.needs.cpu_milli
        waiting = len(step.waiting)
        running = step.remaining - waiting
        kind = 'lasting_milli' if spec.lasting else 'short_milli'
        entry[kind] += milli * running
        entry['waiting_milli'] += milli * waiting
        entry['waiting'] += waiting
        entry['memory_mb'] += spec.needs.memory_mb * step.remaining
        if spec.lasting and spec.max_per_worker:
            workers = -(-spec.count // spec.max_per_worker)
            entry['spread'] = max(entry['spread'], workers)


def _have_room(worker_states, steps, now_ms):
    """Return whether workers have room for one more task of each step.

    Args:
        worker_states: the WorkerStates.
        steps: StepStates, one entry for each task.
        now_ms: local time.
    """
    free = {
        worker_state: worker_state.free_resources()
        for worker_state in worker_states
    }
    placed = collections.Counter()
    for step in sorted(
        steps, key=lambda step: step.spec.needs.cpu_milli, reverse=True
    ):
        needs = state.occupied(step.spec)
        for worker_state in worker_states:
            more = placed[worker_state, step]
            if free[worker_state].covers(needs) and placement.has_room(
                step, worker_state, now_ms, more
            ):
                free[worker_state] -= needs
                placed[worker_state, step] += 1
                break
        else:
            return False
    return True

"""What the leader knows of its room, for the decision on admission."""

import collections

from figtray.scheduling import scheduler_base
from figtray.scheduling import state
from figtray.workload import admission
from figtray.workload import order

# Arrivals within this time make the rate of a team.
RATE_WINDOW_MS = 2000


class Room(scheduler_base.SchedulerBase):
    """Measures the waiting work, the room for it, and the arrivals."""

    # Numbers of assessments in a row that found room short, by queue. Only the
    # thread that assesses uses these two.
    _short_rounds = collections.Counter()
    # The last QueueStates by queue.
    _queue_states = {}

    def assess_room(self):
        """Return the admission.QueueStates, and the wait for the leader.

        Only queues whose room has been short for some time are among them.
        """
        with self.lock:
            if self._cfg is None or self._is_adopting(self._clock.now_ms()):
                return {}, 0
            leader_wait_ms = self._leader_wait_ms()
            loads = self._queue_loads()
        short = admission.assess(loads, leader_wait_ms, self._queue_states)
        self._short_rounds = collections.Counter(
            {name: self._short_rounds[name] + 1 for name in short}
        )
        rounds = admission.rounds_needed(leader_wait_ms)
        self._queue_states = {
            name: queue_state
            for name, queue_state in short.items()
            if name in self._queue_states or self._short_rounds[name] >= rounds
        }
        return self._queue_states, leader_wait_ms

    def _leader_wait_ms(self):
        """Return the age of the oldest start that is not sent.

        Those that wait for a record of where they may run are not counted: if
        the store does not answer, there are no submissions either.
        """
        unrecorded = {id(run) for _, run in self._unrecorded_runs}
        oldest_ms = min(
            (
                run.ordered_ms
                for worker_state in self._worker_states.values()
                if not worker_state.unresponsive
                for run in worker_state.runs.values()
                if run.phase == state.Phase.STARTING
                and run.sent_ms is None
                and not run.adopted
                and id(run) not in unrecorded
            ),
            default=None,
        )
        return self._clock.now_ms() - oldest_ms if oldest_ms is not None else 0

    def _queue_loads(self):
        """Return the admission.QueueLoad of each queue with waiting work."""
        work, paths = collections.Counter(), {}
        for step in self._open_steps.values():
            if not _awaits_room(step):
                continue
            with self._failure_log.skip_on_error(f'step {step.name}'):
                queue = step.job.queue
                work[queue.pool] += self._waiting_work(step)
                paths.setdefault(queue.name, []).append(
                    step.job.remaining[step.number].typical_ms
                )
        rooms = self._pool_rooms()
        teams = self._team_loads()
        loads = {}
        for name, found in paths.items():
            queue = self._cfg.queues.get(name)
            # A pool without workers gets some.
            if queue is None or not rooms[queue.pool]:
                continue
            path_ms = sum(found) / len(found)
            objective_ms = queue.stretch * path_ms + queue.slack_ms
            loads[name] = admission.QueueLoad(
                wait_ms=work[queue.pool] / rooms[queue.pool],
                useful_ms=order.TOO_LATE_FACTOR * objective_ms - path_ms,
                teams=teams,
            )
        return loads

    def _waiting_work(self, step):
        """Return what the waiting tasks of a step need, in milli-core ms."""
        job = step.job
        task_ms = self._run_times.of_task(
            job.queue.name, job.spec.team, step.spec
        ).mean_ms
        needs = state.occupied(step.spec).cpu_milli
        return len(step.waiting) * needs * task_ms

    def _pool_rooms(self):
        """Return the processor time of each pool that lasting tasks leave."""
        rooms = collections.Counter()
        for worker_state in self._worker_states.values():
            if not worker_state.has_reported or worker_state.unresponsive:
                continue
            lasting = sum(
                state.occupied(run.task.step.spec).cpu_milli
                for run in worker_state.runs.values()
                if run.task.step.spec.lasting
            )
            worker = worker_state.worker
            rooms[worker.pool] += max(0, worker.capacity.cpu_milli - lasting)
        return rooms

    def _team_loads(self):
        """Return the admission.TeamLoad of each team with arrivals."""
        since_ms = self._clock.now_ms() - RATE_WINDOW_MS
        counts = collections.Counter()
        for job in self._jobs.values():
            if job.arrived_ms >= since_ms:
                counts[job.spec.team] += 1 / self._admitted_share(job)
        return {
            team: admission.TeamLoad(
                1000 * count / RATE_WINDOW_MS, self._cfg.teams[team].weight
            )
            for team, count in counts.items()
            if team in self._cfg.teams
        }

    def _admitted_share(self, job):
        """Return the share of such jobs that is admitted.

        Only those that were admitted are known.
        """
        queue_state = self._queue_states.get(job.spec.queue)
        if queue_state is None:
            return 1
        return queue_state.shares.get(job.spec.team, queue_state.others)


def _awaits_room(step):
    """Return whether more room would let waiting tasks of a step start."""
    return (
        bool(step.waiting)
        and step.job.queue is not None
        and not step.spec.lasting
        and not step.fits_nowhere
        and step.held_reason in (None, state.HeldReason.NO_ROOM)
    )

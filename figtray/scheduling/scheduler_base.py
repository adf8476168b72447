"""Base class of the scheduler's parts, with the state of one term."""

import collections
import math
import threading

import msgspec

from figtray.blame import hosts
from figtray.events import catalogue
from figtray.events import log
from figtray.events import unreadable
from figtray.jobs import model
from figtray.jobs import records
from figtray.jobs import room as rooms
from figtray import metrics as metrics_lib
from figtray.scheduling import arrivals
from figtray.scheduling import awaited
from figtray.scheduling import held
from figtray.scheduling import lease_horizon
from figtray.scheduling import leases
from figtray.scheduling import parked
from figtray.scheduling import quota
from figtray.scheduling import restarts
from figtray.scheduling import run_log
from figtray.scheduling import run_room
from figtray.scheduling import state
from figtray.scheduling import worker_orders
from figtray.workload import order
from figtray.workload import run_times

# Run numbers that a task can use up in one term; the next term starts above.
RUNS_PER_TERM = 1 << 16
# Time for which a worker is avoided after a failed start or the end of its
# lease.
UNHEALTHY_BACKOFF_MS = 1000
# A worker's entry stays in the store for three heartbeats after its end.
ENDED_INCARNATION_TTL_MS = 5000


class SchedulerBase:
    """State and operations that the scheduler's parts share.

    The methods may be called from any thread.

    Args:
        term: the Term.
        clock: the Clock.
        writer: the Writer of the term.
        bounds: the time limits of the settings; see platform.settings.
        is_config_fresh: returns whether the configuration is certainly recent.
        metrics: the Metrics, or None.
        room: the room.Room of the host; None for no limit.
    """

    def __init__(
        self,
        term,
        clock,
        writer,
        bounds,
        is_config_fresh,
        metrics=None,
        room=None,
    ):
        self.lock = threading.RLock()
        self.changed = threading.Event()
        # Set once the jobs and workers of earlier terms are loaded.
        self.loaded = threading.Event()
        # Whether workers of moved hosts will be listed soon.
        self.workers_expected = False
        self._term = term
        self._clock = clock
        self._writer = writer
        writer.on_written = self.handle_written
        self._lease_ms = leases.lease_ms(bounds)
        # Length of the leases that earlier leaders requested, at most.
        self._earlier_lease_ms = self._lease_ms
        # Length of the leases that workers grant, at most.
        self._longest_worker_lease_ms = bounds.hold_max_ms
        self.lease_horizon = lease_horizon.LeaseHorizon(
            writer, clock, bounds, self.lock, self._list_unextended
        )
        self._restarts = restarts.Restarts(bounds)
        self._crashed_hosts = hosts.Hosts()
        # WorkerStates whose fencing tokens an earlier incarnation has, too.
        self._with_old_fences = []
        self._is_config_fresh = is_config_fresh
        self._metrics = metrics
        # Parts of the takeover of this term that are over.
        self._takeover_phases = set()
        # The queues.Config; None before the first.
        self._cfg = None
        self._evacuated_zones = frozenset()
        # JobStates by id.
        self._jobs = {}
        # Open StepStates by name.
        self._open_steps = {}
        # WorkerStates by incarnation.
        self._worker_states = {}
        # WorkerStates that sync_workers() has not returned yet.
        self._without_session = []
        # Ended incarnations. Their entries stay in the store for a while and
        # are ignored until the local time given here.
        self._ended_incarnations = {}
        # Ids of the jobs that open occurrences at set times.
        self._timed_jobs = set()
        # Ids of the jobs with ready steps that are not open yet.
        self._wide_jobs = set()
        self._quota = quota.Quota()
        self._run_room = run_room.RunRoom(room)
        self._room = room
        self._smallest_room = rooms.before_hosts_are_known(room)
        # Memory that the known jobs take at most, in all, of the large ones,
        # and of each team.
        self._held_bytes = 0
        self._held_large_bytes = 0
        self._held_of_team = collections.Counter()
        # Revision and LargeRoom of its record; None if there is none to read.
        self._large_room = None
        self._parked = parked.ParkedJobs()
        self._parked_logged_ms = -math.inf
        self._late_share = order.LateShare()
        self._arrival_meter = arrivals.ArrivalMeter()
        self._run_times = run_times.RunTimes()
        self._work_meter = arrivals.WorkMeter(self._run_times)
        # Incarnations of earlier terms whose runs are not known yet.
        self._unresolved = set()
        # Incarnations that have reported to this leader, with ends of earlier
        # terms left that they have not listed yet.
        self._with_unread_ends = set()
        # Whether no other incarnation may run tasks of earlier terms.
        self._is_roster_complete = True
        self._adoption_until_ms = 0
        # The EarlierLeases of those that the last leader had not extended.
        self._earlier_leases = {}
        # Revision of the last record of leases of earlier terms, or None.
        self._earlier_revision = None
        # Whether the leaders before this term recorded all Placements.
        self._are_placements_known = False
        # The Roster that was read, or encoded for the last write.
        self._last_roster = None
        # Workers that have reported and that no stored roster names yet, as
        # pairs of the Writer's sequence number to wait for and WorkerState.
        self._enrolled = []
        # Most of each resource that a worker or a host was seen to have.
        self._largest_capacity = model.NO_RESOURCES
        # Runs of lasting tasks and suspects whose Placements are not stored
        # yet, with the sequence numbers of the Writer to wait for, in
        # ascending order.
        self._unrecorded_runs = []
        # Names the entries that say other than their workers.
        self._odd_entries = unreadable.UnreadableLog(clock)
        self._awaited_log = awaited.AwaitedLog()
        self._held_log = held.HeldLog()
        self._run_log = run_log.RunLog()
        self._failure_log = unreadable.UnreadableLog(clock)
        # Ids of jobs whose records were removed, with the Unix time of the
        # removal.
        self._removed_jobs = {}
        # Ids of unknown jobs that were cancelled, with the Unix time of the
        # cancellation.
        self._early_cancellations = {}

    def _note_capacity(self, capacity):
        """Record the capacity of a worker or a host."""
        self._largest_capacity = self._largest_capacity.at_least(capacity)

    def worker_state(self, incarnation):
        """Return the WorkerState of an incarnation, or None."""
        with self.lock:
            return self._worker_states.get(incarnation)

    def worker_states(self):
        """Return the WorkerStates of all incarnations that have not ended."""
        with self.lock:
            return list(self._worker_states.values())

    def find_task(self, name):
        """Return the TaskState with a name, or None."""
        try:
            task_id = model.parse_task_id(name)
        except ValueError:
            return None
        job = self._jobs.get(task_id.job_id)
        if job is None:
            return None
        occurrence = job.occurrences.get(
            task_id.occurrence
        ) or self._open_reported(job, task_id.occurrence)
        if occurrence is None or task_id.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[task_id.step].tasks
        return tasks[task_id.index] if task_id.index < len(tasks) else None

    def _open_reported(self, job, number):
        """Open an occurrence of which a worker reports a task.

        Returns:
            The Occurrence, or None if it is over or can't have begun.
        """
        return None

    def _find_worker(self, worker_id):
        """Return the WorkerState with a worker id, or None.

        If entries name several incarnations, it is one with runs, or else
        one that has answered.
        """
        return self._find_workers({worker_id}).get(worker_id)

    def _find_workers(self, worker_ids):
        """Return the WorkerStates of workers by id; see _find_worker()."""
        found = {}
        for worker_state in self._worker_states.values():
            worker_id = worker_state.worker.worker_id
            if worker_id not in worker_ids or worker_state.gone:
                continue
            other = found.get(worker_id)
            if other is None or _rank(worker_state) > _rank(other):
                found[worker_id] = worker_state
        return found

    def _grantable_lease_ms(self, worker_state, now_ms):
        """Return for how long a lease may be granted; 0 if it may not.

        Args:
            worker_state: the WorkerState.
            now_ms: local time, read before the validity of the term.
        """
        if not self._term.valid():
            return 0
        return min(
            self._lease_ms,
            self.lease_horizon.remaining_ms(
                now_ms, worker_state.worker.incarnation
            ),
        )

    def _attach(self, run):
        """Record that a run may exist on its worker."""
        task, spec = run.task, run.task.step.spec
        task.run = run
        task.step.tasks.keep(task)
        task.last_run = max(task.last_run, run.number)
        run.worker_state.runs[task.name] = run
        run.worker_state.used += state.occupied(spec)
        self._quota.add(task.step.job.spec.team, spec.needs)
        self._run_room.add(task.step.job.spec.team)

    def _detach(self, run):
        """Record that a run is certainly over, or has never started."""
        task, spec = run.task, run.task.step.spec
        task.run = None
        run.worker_state.runs.pop(task.name, None)
        trial = run.worker_state.trial
        if trial is not None and trial.task is task:
            run.worker_state.trial = None
        run.worker_state.used -= state.occupied(spec)
        self._quota.remove(task.step.job.spec.team, spec.needs)
        self._run_room.remove(task.step.job.spec.team)
        if task.placement is not None:
            task.placement = None
            if not task.step.job.ended:
                self._store_progress(task.step.job)
        task.step.tasks.drop_if_over(task)
        self._end_occurrence_if_over(task.step)

    def _end_occurrence_if_over(self, step):
        """Forget the occurrence of a step of a timed job if it is over."""
        job, occurrence = step.job, step.occurrence
        if (
            job.spec.repeats
            and occurrence.done()
            and occurrence.number in job.occurrences
            and not any(s.tasks.known() for s in occurrence.steps)
        ):
            job.end_occurrence(occurrence.number)

    def stop(self, run, reason):
        """Stop a run.

        Its task waits again afterwards, unless it is done or its job has
        ended.
        """
        with self.lock:
            if run.task.run is not run or run.phase == state.Phase.STOPPING:
                return
            log.emit(
                catalogue.TASK_STOPPED,
                task=run.task.name,
                run=run.number,
                worker=run.worker_state.worker.worker_id,
                reason=reason,
            )
            self._stop(run)

    def _stop(self, run):
        run.phase = state.Phase.STOPPING
        run.confirmed_ms = None
        run.worker_state.orders.put(worker_orders.Stop(run))
        run.worker_state.wake.set()

    def _revert_start(self, run):
        """Remove a run that never started; its task waits again."""
        if run.task.run is run:
            self._detach(run)
            self._requeue(run.task)
            self._stop_gang(run)

    def _stop_gang(self, run):
        """Stop the other members of a gang, one of which did not start.

        They would only wait for it and occupy their workers.
        """
        if run.task.step.spec.gang:
            for task in run.task.step.tasks.known():
                if task.run is not None:
                    self.stop(task.run, 'a member of its gang did not start')

    def _mark_lost(self, run, reason):
        """Record that a run is over without a known end."""
        task = run.task
        log.emit(
            catalogue.RUN_LOST,
            task=task.name,
            run=run.number,
            worker=run.worker_state.worker.worker_id,
            reason=reason,
        )
        self._detach(run)
        self._requeue(task)

    def set_loaded(self):
        """Record that the jobs and workers of earlier terms are loaded."""
        with self.lock:
            self._record_takeover(metrics_lib.TakeoverPhase.LOADED)
        self.loaded.set()

    def _record_takeover(self, phase):
        """Measure a part of the takeover; only the first time counts."""
        if self._metrics is None or phase in self._takeover_phases:
            return
        self._takeover_phases.add(phase)
        self._metrics.record_takeover(
            phase, self._clock.now_ms() - self._term.began_ms
        )

    def _is_adopting(self, now_ms, unsure=True):
        """Return whether runs of earlier terms may still be unknown.

        Args:
            now_ms: local time.
            unsure: whether those of unsure placements count; see
                _leases_end_ms().
        """
        if self._with_unread_ends:
            return True
        if not self._is_roster_complete and now_ms < self._adoption_until_ms:
            return True
        return any(
            now_ms < self._leases_end_ms(incarnation, unsure)
            for incarnation in self._unresolved
        )

    def _leases_end_ms(self, incarnation, unsure=False):
        """Return the local time at which an unresolved one has no lease.

        Args:
            incarnation: the Incarnation.
            unsure: whether the lease of a later one counts that may have
                executed the starts of unsure placements.
        """
        earlier = self._earlier_leases.get(incarnation[:2])
        return max(
            earlier.until_ms if earlier else self._adoption_until_ms,
            self._restarts.lease_until_ms(incarnation),
            self._restarts.unsure_until_ms(incarnation) if unsure else 0,
        )

    def _list_unextended(self):
        """Return the Unextended incarnations; see lease_horizon."""
        if self._earlier_revision is None:
            return []
        return [
            lease_horizon.Unextended(
                incarnation.worker_id,
                incarnation.born_ms,
                earlier.revision if earlier else self._earlier_revision,
            )
            for incarnation in sorted(self._unresolved)
            for earlier in [self._earlier_leases.get(incarnation[:2])]
        ]

    def _record_placement(self, run):
        """Queue a write of where a lasting task or a suspect may run.

        A later leader then holds the lasting task only if it can't tell
        whether this run goes on, not because of any other worker. It counts
        a crash of the worker that happens while nobody leads.

        Returns:
            The sequence number of the write.
        """
        earlier = run.task.placement
        placement = run.worker_state.placement(run.unsure)
        if not run.adopted:
            start_ms = run.sent_ms or self._clock.now_ms()
            placement = msgspec.structs.replace(
                placement,
                up_ms=run.worker_state.up_ms(start_ms),
                at_ms=self._wall_ms(start_ms),
            )
        elif placement.is_at(earlier):
            placement = msgspec.structs.replace(
                placement, up_ms=earlier.up_ms, at_ms=earlier.at_ms
            )
        run.task.placement = placement
        return self._store_progress(run.task.step.job, urgent=True)

    def _wall_ms(self, local_ms):
        """Return the Unix time in milliseconds at a local time."""
        return self._clock.wall_ms() - (self._clock.now_ms() - local_ms)

    def handle_written(self):
        """Apply that a batch of records is stored."""
        self.release_recorded_starts()

    def release_recorded_starts(self):
        """Order the starts of the runs whose placement is stored."""
        with self.lock:
            left = []
            for sequence, run in self._unrecorded_runs:
                if self._writer.is_written(
                    sequence, _progress_key(run.task.step.job)
                ):
                    self._order_start(run)
                else:
                    left.append((sequence, run))
            self._unrecorded_runs = left

    def _order_start(self, run):
        run.worker_state.orders.put(worker_orders.Start(run))
        run.worker_state.wake.set()

    def _requeue(self, task):
        """Let a task without a run wait again if it is still needed."""
        if task.done or task.step.job.ended:
            return
        task.ready_ms = self._clock.now_ms()
        if task.step.open:
            task.step.waiting.append(task)

    def _store_progress(self, job, urgent=False):
        """Queue a write of a job's progress; returns its sequence number."""
        return self._writer.enqueue(
            _progress_key(job), lambda: self._encode(job), urgent
        )

    def _encode(self, job):
        with self.lock:
            return msgspec.json.encode(job.progress())


def _rank(worker_state):
    """Return a key that ranks incarnations under one id."""
    return (
        bool(worker_state.runs),
        worker_state.has_reported,
        worker_state.worker.born_ms,
    )


def _progress_key(job):
    return records.PROGRESS_PREFIX + job.job_id

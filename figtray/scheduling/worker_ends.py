"""Ends of workers, and what they show about the tasks there."""

import dataclasses
import itertools

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records
from figtray import metrics
from figtray.scheduling import crash_evidence
from figtray.scheduling import crashes
from figtray.scheduling import ends
from figtray.scheduling import hand_over
from figtray.scheduling import run_ages
from figtray.scheduling import scheduler_base
from figtray.scheduling import suspect_runs
from figtray.scheduling import trial_limits


class WorkerEnds(hand_over.HandOver):
    """Records the ends of workers and suspects the tasks that crash them."""

    def _end_incarnation(self, worker_state, end, later=None):
        """Record that an incarnation has ended, and with it its runs.

        Args:
            worker_state: its WorkerState.
            end: the ends.End.
            later: WorkerState of a later incarnation under its id, which
                gets the runs that it may have been ordered to start; None if
                there is none.
        """
        if worker_state.gone:
            return
        worker_state.gone = True
        worker = worker_state.worker
        log.emit(
            catalogue.WORKER_GONE,
            worker=worker.worker_id,
            born_ms=worker.born_ms,
            runs=len(worker_state.runs),
            kind=end.kind.value,
            reason=end.reason,
        )
        if self._metrics:
            self._metrics.count_worker_end(end.kind.value)
        suspects = ()
        if end.kind == ends.Kind.CRASHED:
            self._note_host_crash(worker_state)
            suspects = self._suspect_runs(worker_state)
        if later is not None:
            self._hand_over_uncertain(worker_state, later)
        for run in list(worker_state.runs.values()):
            self._mark_lost(run, 'its worker is gone')
        for task in suspects:
            self._give_up_if_guilty(task)
        self._worker_states.pop(worker.incarnation, None)
        now_ms = self._clock.now_ms()
        self._ended_incarnations[worker.incarnation] = (
            now_ms + scheduler_base.ENDED_INCARNATION_TTL_MS
        )
        if end.kind != ends.Kind.REASSIGNED:
            self._restarts.note_end(
                worker.incarnation, worker_state.fence, now_ms
            )
        self._resolve_incarnation(worker.incarnation, end.reason, end.kind)
        self._end_unread(worker.incarnation)
        worker_state.orders.put(None)
        worker_state.wake.set()

    def _note_host_crash(self, worker_state):
        """Record that a worker has crashed; the next one there may rest."""
        host_id = worker_state.host_key
        self._crashed_hosts.note_crash(
            host_id, self._clock.now_ms(), worker_state.clock_read_ms
        )
        if not self._crashed_hosts.rest_ms(host_id, self._clock.now_ms()):
            return
        for other in self._worker_states.values():
            if other.up_since_ms is not None and other.host_key == host_id:
                self._rest(other)

    def _note_up_since(self, worker_state):
        """Record since when a worker that has just reported has been up.

        The time of day of its host may differ, so the end of the worker
        before it counts as well.
        """
        now_ms, host_id = self._clock.now_ms(), worker_state.host_key
        up_ms = max(0, self._clock.wall_ms() - worker_state.worker.born_ms)
        most_ms = self._crashed_hosts.most_up_ms(host_id, now_ms)
        if most_ms is not None:
            up_ms = min(up_ms, most_ms)
        worker_state.up_since_ms = now_ms - up_ms

    def _rest(self, worker_state):
        """Start nothing for a while on a host that crashes again and again.

        Its next crash then costs no task anything, and speaks against none.

        Args:
            worker_state: the WorkerState, which has reported.
        """
        now_ms, host_id = self._clock.now_ms(), worker_state.host_key
        rest_ms = self._crashed_hosts.rest_ms(host_id, now_ms)
        left_ms = rest_ms - worker_state.up_ms(now_ms)
        if worker_state.gone or left_ms <= 0:
            return
        worker_state.rest_until_ms = now_ms + left_ms
        log.emit(
            catalogue.WORKER_RESTS,
            worker=worker_state.worker.worker_id,
            host=host_id,
            crashes=self._crashed_hosts.crashes_in_row(host_id, now_ms),
            left_ms=left_ms,
        )

    def _resolve_incarnation(self, incarnation, reason, kind=None):
        """Record that the runs on an incarnation are known or over.

        Args:
            incarnation: the Incarnation.
            reason: what the leader has seen.
            kind: the ends.Kind of its end; None if it goes on.
        """
        if incarnation not in self._unresolved:
            return
        self._unresolved.discard(incarnation)
        log.emit(
            catalogue.LIFE_ACCOUNTED,
            worker=incarnation.worker_id,
            born_ms=incarnation.born_ms,
            reason=reason,
            left=len(self._unresolved),
        )
        self._note_if_accounted()
        if kind in (ends.Kind.CRASHED, ends.Kind.UNKNOWN):
            self._suspect_placed(incarnation, kind)

    def _end_unread(self, incarnation):
        """Record that no ends of earlier terms are unread there."""
        if incarnation in self._with_unread_ends:
            self._with_unread_ends.discard(incarnation)
            self._note_if_accounted()

    def _note_if_accounted(self):
        """Log and measure that no runs of earlier terms are awaited."""
        if (
            not self._unresolved
            and not self._with_unread_ends
            and self._is_roster_complete
        ):
            self._awaited_log.log_all_accounted()
            self._record_takeover(metrics.TakeoverPhase.ACCOUNTED)

    def _end_followed_by(self, worker_state):
        """End the earlier incarnations that a first report proves gone."""
        worker = worker_state.worker
        for found in itertools.chain(self._worker_states, self._unresolved):
            if found.born_ms < worker.born_ms and (
                found.worker_id == worker.worker_id
                or found.address == worker.address
                or found.host_id == worker.host_id
            ):
                self._end_followed()
                return

    def _end_followed(self):
        """End the incarnations that a later one has followed.

        An entry alone proves nothing, as another writer may have put it
        there: the later one must have reported under its start time. Its host
        is known only from the host list.
        """
        latest = _latest_births(self._worker_states.values())
        reason = 'a later incarnation has reported'
        for incarnation in [*self._worker_states, *self._unresolved]:
            worker_state = self._worker_states.get(incarnation)
            if not latest.follow(incarnation, not _may_answer(worker_state)):
                continue
            if worker_state is not None:
                self._end_incarnation(
                    worker_state,
                    ends.of_process(worker_state, reason),
                    self._find_later(worker_state),
                )
            else:
                self._resolve_incarnation(
                    incarnation, reason, ends.Kind.UNKNOWN
                )

    def _suspect_runs(self, worker_state):
        """Suspect the runs of a crashed worker; return their tasks."""
        late_runs = suspect_runs.late_runs(worker_state)
        runs = suspect_runs.suspects(worker_state)
        for run in {*late_runs, *runs}:
            if run_ages.is_unlike_earlier(run):
                run.task.crashes = records.NO_CRASHES
        for run in late_runs:
            run.task.crashes = run.task.crashes.add_late(run.number)
        alone = suspect_runs.run_on_trial(worker_state) in runs or (
            suspect_runs.is_alone_untried(runs)
        )
        for run in runs:
            task = run.task
            if alone:
                self._count_late(task)
            # Long trials are more often hit by a crash that is chance.
            is_early = alone and not run_ages.was_seen_late(run)
            task.crashes = task.crashes.add(
                run.number, is_early
            ).note_evidence(self._evidence_of(run, is_early))
            crash_evidence.log_suspected(run)
        for run in late_runs:
            run.task.crashes = run.task.crashes.note_evidence(
                self._evidence_of(run, False)
            )
        # Late crashes beside other runs show no guilt; the next trial does.
        shown = [
            run.task
            for run in runs
            if alone or len(runs) == 1 or not run_ages.is_late(run)
        ]
        for run in dict.fromkeys((*late_runs, *runs)):
            run.task.trial_wait_offset_ms = 0
            if crashes.is_guilty_untried(run):
                self._count_late(run.task)
                shown.append(run.task)
            run_ages.note_age(run)
            self._store_crashes(run.task)
        return shown

    def _evidence_of(self, run, alone):
        return crash_evidence.evidence_of(
            run,
            alone,
            self._crashed_hosts,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )

    def _count_late(self, task):
        """Suspect a task of its late crashes as well."""
        for number in task.crashes.late:
            task.crashes = task.crashes.add(number, False)

    def _record_suspects(self, worker_state, only_fresh=False):
        """Record the tasks that may have crashed a worker.

        It refuses connections, or has closed one. If this leader does not see
        its end, the next one counts the crash.

        Args:
            worker_state: its WorkerState.
            only_fresh: whether to leave out the runs that had gone on for a
                while: a fault of the network may close many connections.
        """
        for run in suspect_runs.suspects(worker_state):
            task = run.task
            if only_fresh and run_ages.is_late(run):
                continue
            if task.placement is None and not task.step.job.ended:
                self._record_placement(run)

    def _suspect_placed(self, incarnation, kind):
        """Suspect the tasks that were placed on a crashed worker.

        It crashed, or ended in an unknown way, while nobody led. Recorded are
        only lasting tasks, suspects, and what _record_suspects() found.

        Args:
            incarnation: its Incarnation.
            kind: the ends.Kind of its end.
        """
        placement = records.Placement(
            incarnation.worker_id, incarnation.born_ms
        )
        for task in self._unfinished_tasks():
            if (
                not placement.is_at(task.placement)
                or task.run is not None
                or (
                    task.step.spec.lasting
                    and task.crashes == records.NO_CRASHES
                )
            ):
                continue
            # The number of the run is unknown; no run has this one.
            number = self._term.epoch * scheduler_base.RUNS_PER_TERM
            alone = (
                kind == ends.Kind.CRASHED
                and task.crashes.count >= trial_limits.CRASHES_TO_REQUIRE_TRIAL
            )
            row = crash_evidence.evidence_of_placed(
                number,
                task.placement,
                incarnation.host_id or incarnation.address,
                kind,
                self._clock.wall_ms(),
            )
            task.crashes = task.crashes.note_evidence(row)
            task.placement = None
            if task.crashes.late and not task.crashes.count:
                task.crashes = task.crashes.add_late(number)
                self._store_progress(task.step.job)
                continue
            task.crashes = task.crashes.add(number, alone)
            self._store_progress(task.step.job)
            log.emit(
                catalogue.TASK_SUSPECTED,
                task=task.name,
                run=0,
                worker=incarnation.worker_id,
                crashes=task.crashes.count,
                alone=task.crashes.alone,
                after_ms=None,
                evidence=crash_evidence.describe([row]),
            )
            self._give_up_if_guilty(task)

    def _unfinished_tasks(self):
        """Return the tasks of all ready steps that are not done.

        Those that nothing has happened to are left out.
        """
        unopened = (
            self._jobs[job_id].ready_steps for job_id in self._wide_jobs
        )
        steps = itertools.chain(self._open_steps.values(), *unopened)
        return [
            task
            for step in steps
            for task in step.tasks.known()
            if not task.done
        ]

    def _note_running(self, run, asked_ms):
        """End the trial of a run, or clear its task, if it went on.

        Args:
            run: the Run.
            asked_ms: local time at which it certainly went on.
        """
        run.seen_ms = asked_ms
        task, worker_state = run.task, run.worker_state
        if task.crashes == records.NO_CRASHES:
            return
        if not trial_limits.is_trial_over(run, asked_ms):
            return
        if suspect_runs.run_on_trial(worker_state) is run:
            worker_state.trial = None
            log.emit(
                catalogue.TRIAL_PASSED,
                task=task.name,
                run=run.number,
                worker=worker_state.worker.worker_id,
            )
            self.changed.set()
        if trial_limits.is_cleared(run, asked_ms):
            self._clear(task, 'it goes on')

    def _clear(self, task, reason):
        """Record that a task did not cause the crashes so far."""
        if task.crashes == records.NO_CRASHES:
            return
        if task.crashes.count:
            log.emit(
                catalogue.TASK_CLEARED,
                task=task.name,
                crashes=task.crashes.count,
                reason=reason,
            )
        task.crashes = records.NO_CRASHES
        self._store_crashes(task)

    def _store_crashes(self, task):
        if not task.step.job.ended:
            self._store_progress(task.step.job)


@dataclasses.dataclass
class _Births:
    """Latest start of a worker that has reported, by what it occupies.

    No two incarnations of workers have the same id, address or host at the
    same time. A report proves the id and the address of a worker, but not its
    host.
    """

    ids: dict[str, int] = dataclasses.field(default_factory=dict)
    addresses: dict[str, int] = dataclasses.field(default_factory=dict)
    hosts: dict[str, int] = dataclasses.field(default_factory=dict)

    def follow(self, incarnation, with_host):
        """Return whether a later one has what an incarnation had.

        Args:
            incarnation: the Incarnation.
            with_host: whether its host counts.
        """
        born_ms = incarnation.born_ms
        return (
            self.ids.get(incarnation.worker_id, 0) > born_ms
            or self.addresses.get(incarnation.address, 0) > born_ms
            or bool(incarnation.host_id)
            and with_host
            and self.hosts.get(incarnation.host_id, 0) > born_ms
        )


def _latest_births(worker_states):
    """Return the _Births of the WorkerStates that have reported."""
    births = _Births()
    ids, addresses, hosts = births.ids, births.addresses, births.hosts
    for worker_state in worker_states:
        if not worker_state.has_reported:
            continue
        worker = worker_state.worker
        born_ms = worker.born_ms
        if ids.get(worker.worker_id, 0) < born_ms:
            ids[worker.worker_id] = born_ms
        if addresses.get(worker.address, 0) < born_ms:
            addresses[worker.address] = born_ms
        if worker_state.on_host and hosts.get(worker.host_id, 0) < born_ms:
            hosts[worker.host_id] = born_ms
    return births


def _may_answer(worker_state):
    """Return whether no request has failed since the last answer."""
    return worker_state is not None and not worker_state.unresponsive

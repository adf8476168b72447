"""Suspicion of the tasks under which workers crashed, and its end."""

import itertools

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records
from figtray.scheduling import crash_evidence
from figtray.scheduling import crashes
from figtray.scheduling import ends
from figtray.scheduling import hand_over
from figtray.scheduling import run_ages
from figtray.scheduling import scheduler_base
from figtray.scheduling import suspect_runs
from figtray.scheduling import trial_limits


class TaskSuspects(hand_over.HandOver):
    """Suspects the tasks that may have crashed workers, and clears them."""

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

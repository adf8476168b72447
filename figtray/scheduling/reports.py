"""Reports of workers, with their runs, ends of runs and leases."""

import itertools

from figtray import decoding
from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages
from figtray.scheduling import ends
from figtray.scheduling import enrolment
from figtray.scheduling import leases
from figtray.scheduling import scheduler_base
from figtray.scheduling import state
from figtray.scheduling import stray_runs
from figtray.scheduling import unsure_starts

# An end whose number is further than this above the last one seen is odd.
MAX_END_NUMBER_STEP = 10**6


class Reports(
    stray_runs.Strays, enrolment.Enrolment, unsure_starts.UnsureStarts
):
    """Records the reports of workers and extends their leases."""

    def report_request(self, worker_state):
        """Return the values that the next request for a report contains.

        Returns:
            (number of the last end that the worker may forget, see
            WorkerState.next_acknowledged(); end of the lease on the worker's
            clock in milliseconds). The latter is None, which leaves the lease
            as it is, if the worker's clock is unknown, its last report failed,
            leases may not be extended now, or runs of earlier terms may be
            among those that can't be read.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            worker_clock = worker_state.worker_clock(now_ms)
            lease_ms = self._grantable_lease_ms(worker_state, now_ms)
            acknowledged = worker_state.next_acknowledged()
            if (
                worker_clock is None
                or worker_state.unresponsive
                or not lease_ms
                or self._may_hide_earlier_runs(worker_state)
            ):
                return acknowledged, None
            worker_state.requested_lease_ms = worker_clock + lease_ms
            return acknowledged, worker_state.requested_lease_ms

    def handle_report(self, worker_state, report, asked_ms, fence=None):
        """Record what a worker reports.

        Args:
            worker_state: its WorkerState.
            report: the Report.
            asked_ms: local time before the report was requested; a run that
                is missing from the report is lost only if the worker had
                confirmed its last order before.
            fence: the fencing token of the request; None for that of the
                incarnation that reports.

        Returns:
            Sequence number of the Writer that must be written before the
            ends in the report are acknowledged; None if it is to be requested
            again, as it names jobs that are still to be read from the store.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            if worker_state.gone:
                return 0
            if report.born_ms != worker_state.worker.born_ms:
                return self._handle_other_incarnation(
                    worker_state, report, asked_ms
                )
            if self._names_parked_jobs(report):
                return None
            if report.lists_all_runs:
                worker_state.all_listed_ms = asked_ms
            # Before its first report resolves anything.
            self._note_unread_ends(worker_state, report.more_ends)
            is_first = self._note_answer(worker_state, report, now_ms)
            worker_state.has_seen_fence |= (
                worker_state.is_fence_new
                and fence in (None, worker_state.fence)
            )
            if is_first:
                for earlier in self._find_earlier(worker_state):
                    self._hand_over_listed(earlier, worker_state, report)
                self._end_followed_by(worker_state)
                if worker_state.gone:
                    return 0
                self._note_up_since(worker_state)
                self._rest(worker_state)
                self._enrol(worker_state)
                self._note_capacity(worker_state.worker.capacity)
            reported = {(item.task, item.run) for item in report.running}
            max_number = _max_end_number(worker_state)
            ends_in_range = [
                item for item in report.ended if item.number <= max_number
            ]
            if (
                len(ends_in_range) < len(report.ended)
                or report.last_end > max_number
            ):
                self._note_odd_end(worker_state)
            ended = {(item.task, item.run) for item in ends_in_range}
            for item in report.running:
                if (item.task, item.run) not in ended:
                    self._handle_running(worker_state, item, now_ms)
            for item in ends_in_range:
                if item.number > worker_state.seen_end:
                    self._handle_end(worker_state, item, now_ms)
                    worker_state.seen_end = item.number
            # Ends that can't be read are acknowledged as well, or they would
            # hold up those that follow; their runs are lost.
            if report.last_end <= max_number:
                worker_state.seen_end = max(
                    worker_state.seen_end, report.last_end
                )
            self._check_tracked(
                worker_state, reported, asked_ms, report.lists_all_runs
            )
            worker_state.stray_runs = self._stray_runs(
                worker_state, reported - ended, report.unreadable
            )
            if not report.unreadable:
                self._resolve_incarnation(
                    worker_state.worker.incarnation, 'it reports'
                )
            self.lease_horizon.renew_if_due()
            sequence = self._writer.last_sequence()
        self.changed.set()
        return sequence

    def _handle_other_incarnation(self, worker_state, report, asked_ms):
        """Record a report of another incarnation under the worker's id.

        A later one may have executed orders that were meant for this one.

        Args:
            worker_state: the WorkerState of the incarnation that was asked.
            report: the Report of the other one.
            asked_ms: see handle_report().

        Returns:
            See handle_report().
        """
        self._raise_fence(worker_state, report.born_ms)
        later = self._add_later(worker_state, report.born_ms)
        end = ends.of_process(
            worker_state, 'another incarnation reports', answered=True
        )
        if later is None:
            self._end_incarnation(worker_state, end)
            return 0
        later.clock_ms = report.clock_ms
        if report.lists_all_runs:
            later.all_listed_ms = asked_ms
        self._count_longest_lease(later)
        self._hand_over_listed(worker_state, later, report)
        self._end_incarnation(worker_state, end, later)
        return self.handle_report(later, report, asked_ms, worker_state.fence)

    def _note_odd_end(self, worker_state):
        self._odd_entries.note(
            f'ends of {worker_state.worker.worker_id}',
            decoding.unreadable('ended', 'its number is out of range'),
        )

    def _note_unread_ends(self, worker_state, more_ends):
        """Record whether ends of earlier terms may be unread on a worker.

        That is so from a first report with more ends than it lists until
        they have been read, or the worker or its lease has ended.
        """
        if more_ends and self._is_adopting(self._clock.now_ms()):
            self._with_unread_ends.add(worker_state.worker.incarnation)
        elif not more_ends:
            self._end_unread(worker_state.worker.incarnation)

    def is_settling(self, worker_state):
        """Return whether a worker has runs that are starting or stopping.

        A lasting task counts as starting until it works at full speed.
        """
        with self.lock:
            return any(
                run.phase != state.Phase.RUNNING
                or (
                    run.task.step.spec.lasting
                    and run.full_speed_since_ms is None
                )
                for run in worker_state.runs.values()
            )

    def acknowledge(self, worker_state, number):
        """Record that all ends up to a number are stored."""
        with self.lock:
            worker_state.acknowledged = max(worker_state.acknowledged, number)

    def handle_report_failure(self, worker_state, was_sent, closed=False):
        """Record that a request for a report failed.

        The worker's runs are lost once its lease has certainly expired.

        Args:
            worker_state: its WorkerState.
            was_sent: whether the worker may have received the request.
            closed: whether the worker has closed the connection.
        """
        with self.lock:
            worker_state.settle_requested_lease(was_sent)
            worker_state.unresponsive = True
            if worker_state.silent_since_ms is None:
                worker_state.silent_since_ms = self._clock.now_ms()
                self._end_followed()
            if worker_state.gone:
                return
            if worker_state.refused_connections:
                self._record_suspects(worker_state)
            elif closed:
                self._record_suspects(worker_state, only_fresh=True)
            if self._is_lease_over(worker_state):
                self._note_unread_ends(worker_state, False)
                if not worker_state.runs:
                    return
                now_ms = self._clock.now_ms()
                for run in list(worker_state.runs.values()):
                    if self._may_go_on_unseen(run, now_ms):
                        continue
                    self._mark_lost(run, 'the lease of its worker has expired')
                worker_state.avoid_until_ms = (
                    self._clock.now_ms() + scheduler_base.UNHEALTHY_BACKOFF_MS
                )
                self.changed.set()

    def _is_lease_over(self, worker_state):
        """Return whether no run of a worker can go on, nor one after it."""
        now_ms = self._clock.now_ms()
        incarnation = worker_state.worker.incarnation
        return worker_state.is_lease_over(
            now_ms, leases.SLOWEST_CLOCK_RATE, leases.LEASE_MARGIN_MS
        ) and now_ms >= self._restarts.unseen_until_ms(incarnation)

    def _note_answer(self, worker_state, report, now_ms):
        """Record that a worker answers, and what its clock shows.

        Returns:
            Whether this is its first report in the term.
        """
        worker_state.settle_requested_lease(was_sent=True)
        worker_state.clock_ms = report.clock_ms
        worker_state.clock_read_ms = now_ms
        worker_state.unresponsive = False
        worker_state.is_doubted = False
        worker_state.unchecked_until_ms = 0
        self._restarts.forget_unseen(worker_state.worker.incarnation)
        if worker_state.silent_since_ms is not None:
            worker_state.answered_again_ms = now_ms
        worker_state.silent_since_ms = None
        is_first = not worker_state.has_reported
        if is_first:
            worker_state.has_reported = True
            worker_state.follows_another = self._follows_another(worker_state)
            # An earlier leader may have extended the lease this far.
            worker_state.extend_lease(report.clock_ms + self._earlier_lease_ms)
        if worker_state.follows_another and not worker_state.has_seen_fence:
            self._count_longest_lease(worker_state)
        if not is_first:
            return False
        log.emit(
            catalogue.WORKER_REACHED,
            worker=worker_state.worker.worker_id,
            born_ms=worker_state.worker.born_ms,
            clock_ms=report.clock_ms,
            lease_ms=worker_state.counted_lease_ms(),
            running=len(report.running),
            ended=len(report.ended),
        )
        return True

    def _check_tracked(self, worker_state, reported, asked_ms, is_complete):
        """Find the lost runs of a worker, and note that the others go on.

        Args:
            worker_state: its WorkerState.
            reported: (task name, run number) of what it reports as running.
            asked_ms: see handle_report().
            is_complete: whether no other run is there.
        """
        for run in list(worker_state.runs.values()):
            if (run.task.name, run.number) in reported:
                self._note_running(run, asked_ms)
            elif (
                run.phase == state.Phase.STARTING
                and run.unanswered_ms is not None
                and run.unanswered_ms < asked_ms
            ):
                # Its start may still be executed late.
                self._stop(run)
                self._stop_gang(run)
            # Equal times tell nothing about the order of the two.
            elif (
                is_complete
                and run.confirmed_ms is not None
                and run.confirmed_ms < asked_ms
            ):
                self._mark_lost(run, 'absent from a report')

    def _handle_running(self, worker_state, item, now_ms):
        run = worker_state.runs.get(item.task)
        if run is None or run.number != item.run:
            run = self._adopt_or_stop(worker_state, item, now_ms)
            if run is None:
                return
        if run.started_ms is None:
            run.started_ms = now_ms
        if run.unsure:
            self._settle_start(run)
        run.percent = item.percent
        run.load = item.load
        if item.checkpoint:
            run.task.checkpoint = item.checkpoint
        if run.phase == state.Phase.STARTING and run.confirmed_ms is None:
            run.phase = state.Phase.RUNNING
        if item.percent >= 100:
            if run.full_speed_since_ms is None:
                run.full_speed_since_ms = now_ms
        else:
            run.full_speed_since_ms = None

    def _names_parked_jobs(self, report):
        """Return whether a report names parked jobs; they are loaded next.

        Their runs would be stopped, and their ends be passed over.
        """
        if not self._parked:
            return False
        job_ids = {
            item.task.partition('.')[0]
            for item in itertools.chain(report.running, report.ended)
        }
        named = [job_id for job_id in job_ids if job_id in self._parked]
        for job_id in named:
            self._parked.want(job_id)
        return bool(named)

    def _handle_end(self, worker_state, item, now_ms):
        task = self.find_task(item.task)
        run = worker_state.runs.get(item.task)
        tracked = run is not None and run.number == item.run
        duration_ms = now_ms - run.ordered_ms if tracked else 0
        if task is None:
            return
        job = task.step.job
        self._run_log.log_end(
            task, worker_state.worker.worker_id, item, duration_ms, tracked
        )
        if tracked:
            if item.end == messages.EndReason.DONE:
                self._learn_run(run, now_ms)
            self._detach(run)
            if self._metrics:
                self._metrics.record_run(
                    job.spec.team, item.end.value, duration_ms
                )
        if item.checkpoint and not task.done:
            task.checkpoint = item.checkpoint
        if item.end in (messages.EndReason.DONE, messages.EndReason.FAILED):
            self._clear(task, 'its worker reports its end')
        spec = task.step.spec
        if item.end == messages.EndReason.DONE and not spec.lasting:
            self._complete_task(worker_state, task)
        elif item.end == messages.EndReason.FAILED and not spec.lasting:
            self._record_failure(worker_state, task, item.run)
        if tracked and task.run is None:
            self._requeue(task)
        if not spec.lasting and not job.state.ended:
            self._store_progress(job)


def _max_end_number(worker_state):
    """Return the highest number that an end in the next report may have.

    Before its first end in a term, the leader doesn't know how many a worker
    has had.
    """
    if not worker_state.seen_end:
        return messages.MAX_END_NUMBER
    return worker_state.seen_end + MAX_END_NUMBER_STEP

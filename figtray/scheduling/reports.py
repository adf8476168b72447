"""Reports of workers: runs, ends and leases."""

from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages
from figtray.jobs import records
from figtray.scheduling import book
from figtray.scheduling import leases
from figtray.scheduling import orders
from figtray.scheduling import progression
from figtray.scheduling import state

# An unanswered order to stop is repeated after this time.
REPEAT_STOP_MS = 500


class Reports(progression.Progression):
    """Reports of workers: runs, ends and leases."""

    def report_request(self, place):
        """Return what the next report asks for.

        Returns:
            (number of the last end that may be forgotten, end of the lease
            on the worker's clock or None).
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            worker_clock = place.worker_clock(now_ms)
            if worker_clock is None or place.silent:
                return place.acknowledged, None
            lease_until_ms = worker_clock + self._lease_ms
            place.lease_until_ms = max(place.lease_until_ms, lease_until_ms)
            return place.acknowledged, lease_until_ms

    def handle_report(self, place, report, asked_ms):
        """Take over what a worker reports.

        Args:
            place: its WorkerState.
            report: the Report.
            asked_ms: local time before it was asked for.

        Returns:
            The Writer's mark to wait for before the ends are acknowledged.
        """
        with self.lock:
            now_ms = self._clock.now_ms()
            if place.over:
                return 0
            if report.born_ms != place.worker.born_ms:
                self._life_over(place, 'another life reports')
                return 0
            place.clock_ms = report.clock_ms
            place.clock_at_ms = now_ms
            place.silent = False
            if not place.reached:
                place.reached = True
                # Leases of an earlier leader may end this late.
                place.lease_until_ms = max(
                    place.lease_until_ms,
                    report.clock_ms + self._lease_ms,
                )
                log.emit(
                    catalogue.WORKER_REACHED,
                    worker=place.worker.worker_id,
                    running=len(report.running),
                    ended=len(report.ended),
                )
            present = set()
            ended = set()
            for item in report.ended:
                ended.add((item.task, item.run))
            for item in report.running:
                present.add((item.task, item.run))
                if (item.task, item.run) not in ended:
                    self._note_running(place, item, now_ms)
            for item in report.ended:
                if item.number > place.seen_end:
                    self._note_end(place, item, now_ms)
                    place.seen_end = item.number
            for run in list(place.runs.values()):
                if (
                    run.settled_ms is not None
                    and run.settled_ms <= asked_ms
                    and (run.task.name, run.number) not in present
                ):
                    self._lose(run, 'absent from a report')
            self._account_for(place.worker.incarnation, 'it reports')
            sequence = self._writer.last_sequence()
        self.changed.set()
        return sequence

    def is_settling(self, place):
        """Tell whether runs of a worker are about to change their state."""
        with self.lock:
            return any(
                run.phase != state.Phase.RUNNING
                or (run.task.step.spec.lasting and run.at_work_ms is None)
                for run in place.runs.values()
            )

    def acknowledge(self, place, number):
        """Note that all ends up to a number are stored."""
        with self.lock:
            place.acknowledged = max(place.acknowledged, number)

    def report_failed(self, place):
        """Note that a worker does not report; its lease may be over."""
        with self.lock:
            place.silent = True
            if place.over or not place.runs:
                return
            if place.lease_certainly_over(
                self._clock.now_ms(),
                leases.SLOWEST_CLOCK,
                leases.LEASE_MARGIN_MS,
            ):
                for run in list(place.runs.values()):
                    self._lose(run, 'its lease has ended')
                place.avoid_until_ms = (
                    self._clock.now_ms() + book.UNHEALTHY_PAUSE_MS
                )
                self.changed.set()

    def _note_running(self, place, item, now_ms):
        run = place.runs.get(item.task)
        if run is None or run.number != item.run:
            self._note_stray(place, item, now_ms)
            return
        run.percent = item.percent
        run.load = item.load
        if item.checkpoint:
            run.task.checkpoint = item.checkpoint
        if run.phase == state.Phase.STARTING and run.settled_ms is None:
            run.phase = state.Phase.RUNNING
        if item.percent >= 100:
            if run.at_work_ms is None:
                run.at_work_ms = now_ms
        else:
            run.at_work_ms = None

    def _note_stray(self, place, item, now_ms):
        """Adopt or stop a run that is not known to be on a worker.

        The step of an adopted run may not be open here yet: the leader that
        started it had read ends that are stored nowhere, and that their
        workers list again.
        """
        task = self.find_task(item.task)
        if task is None or task.run is not None:
            self._stop_stray(place, item, now_ms)
            return
        if task in task.step.waiting:
            task.step.waiting.remove(task)
        run = state.Run(task, place, item.run, now_ms)
        run.phase = state.Phase.RUNNING
        run.settled_ms = now_ms
        self._attach(run)
        job = task.step.job
        from_earlier_term = item.run < self._term.epoch * book.RUNS_PER_TERM
        if task.done or job.ended or not from_earlier_term:
            self.stop(run, 'it should not run')
            return
        log.emit(
            catalogue.RUN_ADOPTED,
            task=item.task,
            run=item.run,
            worker=place.worker.worker_id,
        )
        self._note_running(place, item, now_ms)
        if not job.started:
            job.state = records.State.RUNNING
            self._store_progress(job)

    def _stop_stray(self, place, item, now_ms):
        stray = (item.task, item.run)
        if now_ms - place.strays.get(stray, -REPEAT_STOP_MS) < REPEAT_STOP_MS:
            return
        place.strays[stray] = now_ms
        log.emit(
            catalogue.STRAY_RUN,
            task=item.task,
            run=item.run,
            worker=place.worker.worker_id,
        )
        place.orders.put(orders.StopStray(item.task, item.run))

    def _note_end(self, place, item, now_ms):
        task = self.find_task(item.task)
        run = place.runs.get(item.task)
        ours = run is not None and run.number == item.run
        duration_ms = now_ms - run.ordered_ms if ours else 0
        if task is None:
            return
        job = task.step.job
        log.emit(
            catalogue.RUN_ENDED,
            task=item.task,
            run=item.run,
            worker=place.worker.worker_id,
            end=item.end.value,
            duration_ms=duration_ms,
            known=ours,
        )
        if ours:
            self._detach(run)
            if self._metrics:
                self._metrics.record_run(
                    job.spec.team, item.end.value, duration_ms
                )
        if item.checkpoint and not task.done:
            task.checkpoint = item.checkpoint
        spec = task.step.spec
        if item.end == messages.EndReason.DONE and not spec.lasting:
            if ours and not spec.gang:
                self._work.learn(job.spec.queue, spec.estimate_ms, duration_ms)
            self._note_done(place, task)
        elif item.end == messages.EndReason.FAILED and not spec.lasting:
            self._note_failed(place, task, item.run)
        if ours and task.run is None and not task.done and not job.ended:
            self._wait_again(task)
        if not spec.lasting and not job.state.ended:
            self._store_progress(job)

"""Leader service, which schedules during one term."""

import threading

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.events import unreadable
from figtray.jobs import admission as admissions
from figtray.jobs import host_memory
from figtray.jobs import large_jobs
from figtray.jobs import records
from figtray.jobs import room
from figtray.leadership import term as terms
from figtray import on_demand
from figtray.scheduling import intake_view
from figtray.scheduling import lease_horizon
from figtray.scheduling import leases
from figtray.scheduling import pacer as pacers
from figtray.scheduling import retention
from figtray.scheduling import roster as rosters
from figtray.scheduling import scheduler as schedulers
from figtray.scheduling import session
from figtray.scheduling import stored_records
from figtray.scheduling import writer as writers
from figtray.store import base

# Changes within this time are planned together.
PLAN_DELAY_MS = 12
MIN_PLAN_MS = 20
WORKERS_POLL_MS = 500
# Shorter while workers of moved hosts will be listed soon.
EXPECTED_WORKERS_POLL_MS = 150
COUNTS_INTERVAL_MS = 1000
ADMISSION_INTERVAL_MS = 500
RETRY_MS = 200
# After an outage of the store, expired entries of workers are back within
# this time.
ENTRY_RECOVERY_MS = 2500
# Records of ended jobs are kept this much longer than the platform requires,
# so that a repeated submission still finds them.
RETENTION_MARGIN_MS = 60_000
RETENTION_POLL_MS = 5000
PARKED_POLL_MS = 500
HOSTS_POLL_MS = 10_000
# Teams that a log line names.
MAX_LOGGED_TEAMS = 10
# Least time limit of a call of the adviser.
ADVICE_TIMEOUT_MS = 2500
ADVICE_POLL_MS = 10
# Least and most threads that call the workers. A worker that does not
# answer occupies up to three of them.
LEAST_CALL_THREADS = 4
MOST_CALL_THREADS = 2000


class LeaderService:
    """Schedules during a term.

    Args:
        store: the Store.
        clock: the Clock.
        view: the OperatorView.
        list_workers: returns the fleet Workers of the store.
        client: the WorkerClient.
        adviser: the Adviser, or None.
        run_host_controller: called with (scheduler, writer, term) in a
            thread of its own; manages the hosts until the term ends.
        bounds: the time limits of the platform's settings.
        metrics: the Metrics, or None.
        memory_mb: memory of the host in MB, 0 if it is not known; None for
            no limit of what the leader holds.
    """

    def __init__(
        self,
        store,
        clock,
        view,
        list_workers,
        client,
        adviser,
        run_host_controller,
        bounds,
        metrics=None,
        memory_mb=None,
    ):
        self.store = store
        self.clock = clock
        self.view = view
        self.list_workers = list_workers
        self.client = client
        self.adviser = adviser
        self.run_host_controller = run_host_controller
        self.bounds = bounds
        self.metrics = metrics
        self.memory_mb = memory_mb
        self.room = None if memory_mb is None else room.of_host(memory_mb)
        self.unreadable = unreadable.UnreadableLog(clock)

    def lead(self, term):
        """Schedule until the term has ended."""
        _LeaderTerm(self, term).run()


class _LeaderTerm:
    """State and threads of the leader during one term."""

    def __init__(self, service, term):
        self._service = service
        self._term = term
        self._store = service.store
        self._clock = service.clock
        self._writer = writers.Writer(self._store, term, self._clock)
        self._scheduler = schedulers.Scheduler(
            term,
            self._clock,
            self._writer,
            service.bounds,
            service.view.is_fresh,
            service.metrics,
            service.room,
        )
        self._intake = intake_view.IntakeView(
            self._store,
            self._clock,
            term,
            stored_records.IntakeReader(self._scheduler, service.unreadable),
        )
        # Otherwise the planner sleeps on, and the leader keeps its key.
        term.on_end = lambda: self._scheduler.changed.set()
        self._pacer = pacers.Pacer(self._scheduler, self._clock)
        self._sessions = {}
        # The admission.Record that was published last.
        self._admission = admissions.NOTHING_SHORT
        self._call_threads = on_demand.ThreadPool('calls', MOST_CALL_THREADS)
        # WorkerStates whose sessions could not start.
        self._unstarted = []
        # Local time at which the leases of earlier terms have ended; None
        # until the record of them is read.
        self._earlier_leases_until_ms = None
        self._list_failed_ms = None
        self._list_failing = False

    def run(self):
        self._start_thread(self._writer.run, 'writer')
        # Started before the state is loaded, as the host list resolves the
        # incarnations of earlier terms.
        self._start_thread(
            lambda: self._service.run_host_controller(
                self._scheduler, self._writer, self._term
            ),
            'host duties',
        )
        try:
            if self._start_calls() and self._load():
                self._schedule()
        finally:
            self._term.end('the planner ended')
            for worker_session in self._sessions.values():
                worker_session.close()
            self._call_threads.close()
            self._scheduler.changed.set()

    def _schedule(self):
        """Plan until the term has ended; all earlier state is loaded."""
        self._scheduler.set_loaded()
        self._view.subscribe(self._scheduler.changed.set)
        if self._service.metrics is not None:
            self._service.metrics.observe_view_age(
                records.INTAKE_PREFIX, self._intake.age_ms
            )
        threads = [
            (self._intake.run, 'intake watch'),
            (self._intake.run_checks, 'intake age'),
            (self._poll_workers, 'worker list'),
            (self._publish_counts, 'counts'),
            (self._publish_admission, 'admission'),
            (self._remove_expired, 'retention'),
            (self._load_parked, 'parked jobs'),
            (self._scheduler.run_wait_reports, 'waits'),
        ]
        if self._service.memory_mb is not None:
            threads.append((self._watch_hosts, 'host memory'))
        if self._service.adviser is not None:
            threads.append((self._ask_advice, 'advice'))
        for target, name in threads:
            self._start_thread(target, name)
        try:
            self._plan()
        finally:
            self._view.unsubscribe(self._scheduler.changed.set)
            if self._service.metrics is not None:
                self._service.metrics.observe_view_age(
                    records.INTAKE_PREFIX, None
                )

    def _start_thread(self, target, name):
        thread = threading.Thread(
            target=self._run_guarded,
            args=(target, name),
            name=name,
            daemon=True,
        )
        thread.start()

    def _run_guarded(self, target, name):
        while not self._term.ended.is_set():
            try:
                target()
            except Exception as exc:
                log.emit_exception(name, exc)
                self._clock.wait(self._term.ended, RETRY_MS)

    def _start_calls(self):
        """Start the threads that call the workers.

        Nothing is planned without them: no order could be sent.
        """
        while not self._term.ended.is_set():
            try:
                self._call_threads.start(LEAST_CALL_THREADS)
                return True
            except RuntimeError as exc:
                self._service.unreadable.note('calls', exc)
                self._clock.wait(self._term.ended, RETRY_MS)
        return False

    # Takeover from earlier leaders.

    def _load(self):
        while not self._term.ended.is_set():
            try:
                self._load_once()
                return True
            except errors.StoreUnavailable as exc:
                log.emit(catalogue.TAKEOVER_FAILED, detail=str(exc))
                self._clock.wait(self._term.ended, RETRY_MS)
        return False

    def _load_once(self):
        began_ms = self._clock.now_ms()
        self._read_config()
        progress = stored_records.load_progress(
            self._store, self._writer, self._service.unreadable
        )
        stored_records.load_knowledge(
            self._store,
            self._writer,
            self._scheduler,
            self._service.unreadable,
        )
        roster = self._load_roster()
        count = self._intake.load(progress)
        self._update_workers()
        log.emit(
            catalogue.TAKEN_OVER,
            epoch=self._term.epoch,
            jobs=count,
            workers=len(self._sessions),
            roster=len(roster.lives),
            duration_ms=self._clock.now_ms() - began_ms,
        )

    def _read_config(self):
        cfg = self._view.config()
        if cfg is not None:
            self._scheduler.configure(cfg, self._view.evacuated_zones())

    @property
    def _view(self):
        return self._service.view

    def _load_roster(self):
        """Begin the adoption of earlier runs; return the stored Roster."""
        item = self._store.get(rosters.ROSTER_KEY)
        if item is None:
            return rosters.Roster()
        self._writer.set_revision(item.key, item.mod_revision)
        roster = self._service.unreadable.read(
            item.key, rosters.decode, item.value
        )
        if roster is None:
            # Any worker may run tasks of earlier terms.
            roster = rosters.UNKNOWN
        # A takeover that is tried again finds the record of this term.
        if self._earlier_leases_until_ms is None:
            self._earlier_leases_until_ms = self._load_earlier_leases()
        self._scheduler.begin_adoption(roster, self._earlier_leases_until_ms)
        return roster

    def _load_earlier_leases(self):
        """Return the local time at which all earlier leases have ended."""
        bounds = self._service.bounds
        item = self._store.get(terms.LEASES_KEY)
        if item is None:
            return lease_horizon.earlier_leases_end_ms(
                self._term, None, bounds
            )
        self._writer.set_revision(item.key, item.mod_revision)
        record = self._service.unreadable.read(
            item.key, lease_horizon.decode, item.value
        )
        if record is None or record.horizon_ms != leases.horizon_ms(bounds):
            # Another release, or one with other settings, has stored it.
            self._scheduler.note_longer_leases()
            return (
                self._term.began_ms + leases.longest_earlier_release_lease_ms()
            )
        self._scheduler.note_earlier_leases(
            item.mod_revision,
            lease_horizon.earlier_leases(self._term, record, bounds),
        )
        return lease_horizon.earlier_leases_end_ms(
            self._term, item.mod_revision, bounds
        )

    # Updates from the store.

    def _poll_workers(self):
        while not self._clock.wait(self._term.ended, self._poll_interval_ms()):
            try:
                self._update_workers()
            except errors.StoreUnavailable as exc:
                if not self._list_failing:
                    log.emit(
                        catalogue.STORE_UNAVAILABLE,
                        prefix='workers',
                        detail=str(exc),
                    )
                self._list_failing = True
                self._list_failed_ms = self._clock.now_ms()

    def _poll_interval_ms(self):
        if self._scheduler.workers_expected:
            return EXPECTED_WORKERS_POLL_MS
        return WORKERS_POLL_MS

    def _update_workers(self):
        # Leases last while the workers can't be listed.
        self._scheduler.lease_horizon.renew_if_due()
        workers = self._service.list_workers()
        now_ms = self._clock.now_ms()
        self._list_failing = False
        trust_absence = (
            self._list_failed_ms is None
            or now_ms - self._list_failed_ms > ENTRY_RECOVERY_MS
        )
        added = self._scheduler.sync_workers(workers, trust_absence)
        self._start_sessions([*self._unstarted, *added])
        self._scheduler.update_roster()
        for incarnation in list(self._sessions):
            if self._scheduler.worker_state(incarnation) is None:
                self._sessions.pop(incarnation).close()
        for worker_session in self._sessions.values():
            worker_session.check()

    def _start_sessions(self, worker_states):
        """Start the sessions; one that fails is tried at the next poll."""
        self._unstarted = []
        for worker_state in worker_states:
            if worker_state.gone:
                continue
            try:
                self._start_session(worker_state)
            except Exception as exc:
                self._unstarted.append(worker_state)
                self._service.unreadable.note(
                    f'session with {worker_state.worker.worker_id}', exc
                )

    def _start_session(self, worker_state):
        incarnation = worker_state.worker.incarnation
        if incarnation not in self._sessions:
            self._sessions[incarnation] = session.Session(
                worker_state,
                self._scheduler,
                self._pacer,
                self._service.client,
                self._writer,
                self._term,
                self._clock,
                self._call_threads,
            )
        self._sessions[incarnation].start()

    # Periodic work.

    def _plan(self):
        while not self._term.ended.is_set():
            try:
                self._read_config()
                next_ms = self._scheduler.plan()
            except Exception as exc:
                # Runs go on and end without a plan, so the term goes on.
                self._service.unreadable.note('plan', exc)
                next_ms = self._clock.now_ms() + RETRY_MS
            wait_ms = max(MIN_PLAN_MS, next_ms - self._clock.now_ms())
            if self._scheduler.changed.wait(wait_ms / 1000):
                self._clock.wait(self._term.ended, PLAN_DELAY_MS)
                self._scheduler.changed.clear()

    def _publish_counts(self):
        published = None
        while not self._clock.wait(self._term.ended, COUNTS_INTERVAL_MS):
            self._scheduler.store_run_times()
            waiting = self._scheduler.waiting_jobs()
            if waiting != published:
                published = waiting
                # Callers read it most while many records wait, so it goes
                # before them.
                self._writer.enqueue(
                    records.WAITING_KEY,
                    lambda: records.encode(published),
                    urgent=True,
                )

    def _publish_admission(self):
        """Publish which jobs are admitted, while room is short."""
        key = admissions.ADMISSION_KEY
        self._writer.bind_to_lease(key)
        while not self._clock.wait(self._term.ended, ADMISSION_INTERVAL_MS):
            self._publish_large_room()
            states, leader_wait_ms = self._assess_room()
            shortage = self._scheduler.find_shortage()
            record = admissions.Record(
                states, shortage.is_full, shortage.full_teams
            )
            if record == self._admission:
                continue
            self._admission = record
            log.emit(
                catalogue.ROOM_SHORT,
                queues=[
                    f'{name}: {queue.wait_s} s, {queue.others} {queue.shares}'
                    for name, queue in sorted(states.items())
                ],
                leader_wait_ms=leader_wait_ms,
                memory_full=shortage.is_full,
                full_teams=list(shortage.full_teams[:MAX_LOGGED_TEAMS]),
            )
            self._writer.enqueue(
                key,
                lambda: admissions.encode(*self._admission.fields),
                urgent=True,
            )

    def _publish_large_room(self):
        """Publish the room for large jobs, if it has changed.

        A node that has taken room meanwhile goes first: the view shows its
        job, and the next round counts it.
        """
        found = self._scheduler.large_room_to_store()
        if found is None:
            return
        large_room, revision = found
        key = large_jobs.LARGE_ROOM_KEY
        compares = [
            base.Compare(terms.LEADER_KEY, 'mod_revision', self._term.epoch),
            base.Compare(key, 'mod_revision', revision),
        ]
        try:
            self._store.txn(
                compares, [base.Put(key, large_jobs.encode(large_room))]
            )
        except errors.FigtrayError:
            # The next round tries again, by what the view shows.
            return

    def _watch_hosts(self):
        """Follow the memory of the hosts in use."""
        wait_ms = host_memory.KNOWN_AFTER_MS
        while not self._clock.wait(self._term.ended, wait_ms):
            wait_ms = HOSTS_POLL_MS
            try:
                self._scheduler.set_smallest_room(
                    host_memory.smallest_room(
                        self._store, self._clock, self._service.memory_mb
                    )
                )
            except errors.StoreUnavailable:
                # What was known last still holds.
                continue

    def _assess_room(self):
        """Return the QueueStates and the leader's wait in milliseconds.

        After an error there are none.
        """
        try:
            return self._scheduler.assess_room()
        except Exception as exc:
            # Nothing is refused by an outdated record.
            self._service.unreadable.note('admission', exc)
            return {}, 0

    def _remove_expired(self):
        """Remove the records of jobs that ended long ago."""
        retention_ms = (
            int(self._service.bounds.status_s * 1000) + RETENTION_MARGIN_MS
        )
        while not self._clock.wait(self._term.ended, RETENTION_POLL_MS):
            expired_jobs = self._scheduler.expired_jobs(retention_ms)
            if expired_jobs:
                retention.remove_jobs(
                    self._scheduler, self._writer, expired_jobs
                )

    def _load_parked(self):
        """Read the jobs that had no room, once there is room."""
        while not self._clock.wait(self._term.ended, PARKED_POLL_MS):
            for job_id in self._scheduler.parked_to_load():
                try:
                    self._intake.reader.load_parked(self._store, job_id)
                except errors.StoreUnavailable:
                    # It is parked still, and read by the next poll.
                    break

    def _ask_advice(self):
        while not self._clock.wait(self._term.ended, ADVICE_POLL_MS):
            step, advice = self._scheduler.next_advice_request()
            if step is None:
                continue
            asked_ids = advice.candidates
            timeout_ms = max(ADVICE_TIMEOUT_MS, advice.longest_call_ms)
            asked_ms = self._clock.now_ms()
            answer = None
            try:
                answer = self._service.adviser.advise(
                    step.name, asked_ids, timeout_ms
                )
            except (errors.CallNotSent, errors.ReplyLost) as exc:
                log.emit(
                    catalogue.ADVICE_FAILED, step=step.name, detail=str(exc)
                )
                self._clock.wait(self._term.ended, RETRY_MS)
            finally:
                # After an unexpected error as well, so that others go next.
                self._scheduler.record_advice(
                    step, advice, answer, asked_ids, asked_ms
                )

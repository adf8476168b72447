"""Leader that tests drive step by step, without threads."""

from figtray import errors
from figtray.events import unreadable
from figtray.jobs import records
from figtray.leadership import term as terms
from figtray.platform import settings
from figtray.scheduling import lease_horizon
from figtray.scheduling import pacer as pacers
from figtray.scheduling import roster as rosters
from figtray.scheduling import scheduler as schedulers
from figtray.scheduling import session
from figtray.scheduling import stored_records
from figtray.scheduling import writer as writers

BOUNDS = settings.Bounds()
# An order that gets no answer is queued again, without end in a test.
ORDERS_PER_CYCLE = 100


class FlushingWriter:
    """Writer of a Leader whose wait() writes all that is queued."""

    def __init__(self, leader):
        self._leader = leader

    def set_revision(self, key, revision):
        self._leader.writer.set_revision(key, revision)

    def enqueue(self, key, encode, urgent=False):
        return self._leader.writer.enqueue(key, encode, urgent)

    def wait(self, sequence, timeout_ms, key=None):
        self._leader.flush()
        return self._leader.writer.wait(sequence, 0, key)


class View:
    """Configuration and zones out of service, as a test sets them."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.zones = frozenset()

    def config(self):
        return self._fleet.cfg

    def evacuated_zones(self):
        return self.zones

    def is_fresh(self):
        return True


class Leader:
    """Leader of one term, without threads."""

    def __init__(self, fleet, term, make_reader=None):
        self.fleet = fleet
        self.term = term
        self.reader = None
        self.view = View(fleet)
        self.writer = writers.Writer(fleet.store, term, fleet.clock)
        self.scheduler = schedulers.Scheduler(
            term,
            fleet.clock,
            self.writer,
            fleet.bounds,
            self.view.is_fresh,
            fleet.metrics,
            fleet.room,
        )
        self.pacer = pacers.Pacer(self.scheduler, fleet.clock)
        self._sessions = {}
        self._seen = 0
        if make_reader is not None:
            self.reader = make_reader(self)
        self._load()

    def _load(self):
        fleet = self.fleet
        self.scheduler.configure(fleet.cfg, self.view.evacuated_zones())
        stored_records.load_knowledge(
            fleet.store,
            self.writer,
            self.scheduler,
            unreadable.UnreadableLog(fleet.clock),
        )
        progress = {}
        for item in fleet.store.range(records.PROGRESS_PREFIX).items:
            self.writer.set_revision(item.key, item.mod_revision)
            job_id = item.key.removeprefix(records.PROGRESS_PREFIX)
            progress[job_id] = records.decode_progress(item.value)
        roster = fleet.store.get(rosters.ROSTER_KEY)
        if roster is not None:
            self.writer.set_revision(roster.key, roster.mod_revision)
            leases_item = fleet.store.get(terms.LEASES_KEY)
            if leases_item is not None:
                self.writer.set_revision(
                    leases_item.key, leases_item.mod_revision
                )
                self.scheduler.note_earlier_leases(
                    leases_item.mod_revision,
                    lease_horizon.earlier_leases(
                        self.term,
                        lease_horizon.decode(leases_item.value),
                        fleet.bounds,
                    ),
                )
            self.scheduler.begin_adoption(
                rosters.decode(roster.value),
                lease_horizon.earlier_leases_end_ms(
                    self.term,
                    leases_item and leases_item.mod_revision,
                    fleet.bounds,
                ),
            )
        self.sync_intake(progress)
        self.sync_workers()
        self.scheduler.set_loaded()

    def sync_intake(self, progress=None):
        """Apply new jobs and cancellations."""
        if self.reader is not None:
            items = self.fleet.store.range(records.INTAKE_PREFIX).items
            self.reader.add(items, progress)
            return
        for item in self.fleet.store.range(records.INTAKE_PREFIX).items:
            if item.key.startswith(records.JOB_PREFIX):
                job_id = item.key.removeprefix(records.JOB_PREFIX)
                self.scheduler.add_job(
                    job_id,
                    records.decode_job(item.value),
                    item.create_revision,
                    (progress or {}).get(job_id),
                )
        for item in self.fleet.store.range(records.CANCEL_PREFIX).items:
            job_id = item.key.removeprefix(records.CANCEL_PREFIX)
            self.scheduler.cancel(job_id, 0)

    def sync_workers(self):
        """Apply the list of workers and write the roster."""
        for worker_state in self.scheduler.sync_workers(
            self.fleet.workers.values(), True
        ):
            self._sessions[worker_state.worker.incarnation] = session.Session(
                worker_state,
                self.scheduler,
                self.pacer,
                self.fleet.client,
                self.writer,
                self.term,
                self.fleet.clock,
            )
        self.scheduler.lease_horizon.renew_if_due()
        self.scheduler.update_roster()
        self.flush()

    def flush(self):
        """Write all that is queued, unless the store fails."""
        for _ in range(20):
            if self.term.ended.is_set():
                return
            write_pending = self.writer.has_pending()
            if not write_pending:
                return
            try:
                self.writer.flush_once()
            except errors.FigtrayError:
                return

    def report(self, number):
        """Let one worker report, and store the ends in its report."""
        worker_state = self.worker_state(number)
        if worker_state is not None:
            self._report(worker_state)

    def _report(self, worker_state):
        if worker_state.gone or self.term.ended.is_set():
            return
        worker_session = self._sessions.get(worker_state.worker.incarnation)
        # One that has answered for an earlier one has none before the next
        # sync_workers().
        if worker_session is None:
            return
        sequence = worker_session.report_once()
        self.flush()
        if sequence is not None and self.writer.wait(sequence, 0):
            self.scheduler.acknowledge(worker_state, worker_state.seen_end)

    def deliver_orders(self, number, limit=ORDERS_PER_CYCLE):
        """Send the orders that are queued for one worker."""
        worker_state = self.worker_state(number)
        if worker_state is not None:
            self._deliver_orders(worker_state, limit)

    def _deliver_orders(self, worker_state, limit=ORDERS_PER_CYCLE):
        worker_session = self._sessions.get(worker_state.worker.incarnation)
        if worker_session is None:
            return
        for _ in range(limit):
            if worker_state.orders.empty():
                return
            order = worker_state.orders.get()
            if order is None or self.term.ended.is_set():
                return
            worker_session.execute(order)

    def worker_state(self, number):
        """Return the WorkerState of a worker, or None."""
        for worker_state in self.scheduler.worker_states():
            if worker_state.worker.worker_id == f'worker-{number}':
                return worker_state
        return None

    def report_all(self):
        """Let all workers that the scheduler knows report, listed or not."""
        for worker_state in self.scheduler.worker_states():
            self._report(worker_state)

    def run_cycle(self):
        """Plan once, send all orders, let all workers report, and write."""
        try:
            self.sync_intake()
        except errors.StoreUnavailable:
            pass  # without a watch the leader goes on with what it knows
        self.scheduler.plan()
        # Starts of lasting tasks are ordered once their placement is stored.
        self.flush()
        for worker_state in self.scheduler.worker_states():
            self._deliver_orders(worker_state)
            self._report(worker_state)
        self.scheduler.reconcile_hosts(self.fleet.hosts)
        self.flush()

    def advance(self, ms):
        """Advance the clock while the leader renews its lease."""
        while ms > 0:
            passed = min(ms, terms.RENEW_INTERVAL_MS)
            ms -= passed
            self.fleet.clock.advance(passed)
            asked_ms = self.fleet.clock.now_ms()
            ttl_ms = self.fleet.store.keep_alive(self.term.lease_id)
            if ttl_ms:
                self.term.record_renewal(asked_ms, ttl_ms)

    def state(self, job_id):
        """Return the stored State of a job as callers see it."""
        return self.fleet.intake.state(job_id)

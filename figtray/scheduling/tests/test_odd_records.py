"""Tests of takeovers that find records which no leader wrote like that."""

import pytest

from figtray.events import catalogue
from figtray.jobs import model
from figtray.jobs import records
from figtray.leadership import term as terms
from figtray.scheduling import roster as rosters
from figtray.scheduling import service
from figtray.scheduling import session
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import leaders
from figtray.scheduling.tests import takeovers
from figtray.store import base

DEEP = b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}'
ODD_ID = 'f' * 16


class Term:
    """A product's leader, without threads.

    Args:
        fleet: the harness.Fleet.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.term = fleet.begin_term()
        self.leader = service._LeaderTerm(
            service.LeaderService(
                fleet.store,
                fleet.clock,
                leaders.View(fleet),
                lambda: list(fleet.workers.values()),
                fleet.client,
                None,
                None,
                harness.BOUNDS,
            ),
            self.term,
        )
        self.scheduler = self.leader._scheduler
        self.leader._writer.wait = self._flush
        self.leader._load_once()
        self.scheduler.set_loaded()

    def _flush(self, sequence, timeout_ms):
        for _ in range(20):
            if not self.leader._writer.has_pending():
                return True
            self.leader._writer.flush_once()
        return False

    def read_intake(self):
        """Apply a full read of the watch of the intake."""
        self.leader._intake_reader.add(
            self.fleet.store.range(records.INTAKE_PREFIX).items
        )

    def play(self, ms):
        """Let the leader work for a while; no task may run twice at a time."""
        for _ in range(ms // takeovers.CYCLE_MS):
            self.fleet.clock.advance(takeovers.CYCLE_MS)
            self.term.record_renewal(
                self.fleet.clock.now_ms(), terms.LEASE_TTL_MS
            )
            self.fleet.store.keep_alive(self.term.lease_id)
            self.fleet.client.expire()
            self.leader._update_workers()
            self.scheduler.plan()
            self._flush(0, 0)
            for worker_session in list(self.leader._sessions.values()):
                self._let_report(worker_session)
            found = takeovers.running(self.fleet)
            assert all(len(runs) == 1 for runs in found.values()), found

    def _let_report(self, worker_session):
        worker_state = worker_session._worker_state
        while not worker_state.orders.empty():
            order = worker_state.orders.get()
            if order is not None:
                worker_session.execute(order)
        worker_session.report_once()
        self._flush(0, 0)
        self.scheduler.acknowledge(worker_state, worker_state.seen_end)


@pytest.fixture(autouse=True)
def _without_threads(monkeypatch):
    monkeypatch.setattr(session.Session, 'start', lambda self: None)


def named(handler):
    """Return the names of the records that were logged as unreadable."""
    return [
        fields['record']
        for fields in harness.logged(handler, catalogue.RECORD_UNREADABLE)
    ]


class TestTakeover:
    # Each term ended at once, and nothing ran.
    @pytest.mark.parametrize(
        'key',
        [
            records.JOB_PREFIX + ODD_ID,
            records.CANCEL_PREFIX + ODD_ID,
            records.PROGRESS_PREFIX + ODD_ID,
            records.INTAKE_PREFIX + 'odd/' + ODD_ID,
            records.WAITING_KEY,
            terms.LEASES_KEY,
        ],
    )
    def test_unreadable_record_ends_the_term(self, fleet, handler, key):
        fleet.submit(harness.make_step(2))
        fleet.store.txn([], [base.Put(key, DEEP)])
        for _ in range(2):
            term = Term(fleet)
            term.read_intake()
            term.play(2 * takeovers.CYCLE_MS)
        assert len(takeovers.running(fleet)) == 2

    # Each term ended at once, or the planner failed in each round.
    @pytest.mark.parametrize(
        ('job_id', 'steps', 'more'),
        [
            (ODD_ID, (model.Step(1, after=(5,)),), {}),
            (ODD_ID, (), {}),
            (ODD_ID, (model.Step(0),), {}),
            (ODD_ID, (model.Step(1),), {'repeats': 2, 'start_ms': 10**400}),
            ('a.b', (model.Step(1),), {}),
            ('', (model.Step(1),), {}),
        ],
        ids=['after', 'no-steps', 'count', 'start', 'id', 'no-id'],
    )
    def test_odd_job_ends_the_term(self, fleet, handler, job_id, steps, more):
        fleet.submit(harness.make_step(2))
        job = model.Job('q', 't', 'p', steps, **more)
        key = records.JOB_PREFIX + job_id
        fleet.store.txn([], [base.Put(key, records.encode(job))])
        for _ in range(2):
            term = Term(fleet)
            term.read_intake()
            term.play(2 * takeovers.CYCLE_MS)
        assert len(takeovers.running(fleet)) == 2
        # One line of each process.
        assert named(handler) == [key] * 2

    # The log grew with each term and each full read.
    def test_unreadable_record_is_named_at_each_read(self, fleet, handler):
        key = records.JOB_PREFIX + ODD_ID
        fleet.store.txn([], [base.Put(key, DEEP)])
        term = Term(fleet)
        for _ in range(5):
            term.read_intake()
        assert named(handler) == [key]


class TestUnreadableProgress:
    @pytest.fixture
    def job_id(self, fleet):
        """Id of a job of two tasks; the first is done, the other runs."""
        job_id = fleet.submit(harness.make_step(2))
        term = Term(fleet)
        term.play(2 * takeovers.CYCLE_MS)
        harness.finish(fleet, f'{job_id}.0.0.0')
        term.play(2 * takeovers.CYCLE_MS)
        key = records.PROGRESS_PREFIX + job_id
        assert records.decode_progress(fleet.store.get(key).value).done
        fleet.store.txn([], [base.Put(key, DEEP)])
        return job_id

    # Its tasks began anew, also those that were done.
    def test_done_task_runs_again(self, fleet, job_id):
        other_id = fleet.submit(harness.make_step())
        for _ in range(2):
            term = Term(fleet)
            term.play(takeovers.LONGEST_LEASE_MS)
            # The watch of the intake reads all jobs again.
            term.read_intake()
            term.play(takeovers.START_MS)
        assert list(takeovers.running(fleet)) == [f'{other_id}.0.0.0']
        item = fleet.store.get(records.PROGRESS_PREFIX + job_id)
        assert item.value == DEEP

    # Otherwise its records stay for good.
    def test_cancelled_job_is_never_removed(self, fleet, job_id):
        fleet.intake.cancel(job_id, 't')
        term = Term(fleet)
        fleet.clock.advance(2000)
        assert term.scheduler.expired_jobs(1000) == [job_id]


class TestUnreadableRoster:
    # A task started a second time, as its worker was not asked or awaited.
    @pytest.mark.parametrize('lasting', [True, False])
    @pytest.mark.parametrize('terms_after', [1, 2])
    def test_task_on_an_unlisted_worker_runs_twice(
        self, fleet, lasting, terms_after
    ):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        Term(fleet).play(3 * takeovers.CYCLE_MS)
        task = f'{job_id}.0.0.0'
        number = takeovers.place(fleet, task)
        takeovers.silence(fleet, number, listed=False)
        fleet.store.txn([], [base.Put(rosters.ROSTER_KEY, DEEP)])
        new_id = None
        for _ in range(terms_after):
            term = Term(fleet)
            # Tasks of this term start at once, so its roster is written.
            new_id = fleet.submit(harness.make_step(lasting=True))
            term.read_intake()
            term.play(takeovers.START_MS)
            assert f'{new_id}.0.0.0' in takeovers.running(fleet)
        term.play(takeovers.LONGEST_LEASE_MS + takeovers.START_MS)
        assert takeovers.place(fleet, task) != number
        stored = rosters.decode(fleet.store.get(rosters.ROSTER_KEY).value)
        assert stored.complete


class TestOddProgress:
    # The writer failed at this record in each round, so no record of any job
    # was stored any more, and no end was acknowledged.
    @pytest.mark.parametrize(
        'progress',
        [
            records.Progress(checkpoints={'x': 'c'}),
            records.Progress(done={'': 1}),
            records.Progress(done={'0.0': -1}),
        ],
        ids=['key', 'no-key', 'mask'],
    )
    def test_odd_key_ends_all_writes(self, fleet, progress):
        job_id = fleet.submit(harness.make_step(2))
        key = records.PROGRESS_PREFIX + job_id
        data = records.encode(progress)
        fleet.store.txn([], [base.Put(key, data)])
        other_id = fleet.submit(harness.make_step())
        term = Term(fleet)
        term.play(2 * takeovers.CYCLE_MS)
        harness.finish(fleet, f'{other_id}.0.0.0')
        term.play(2 * takeovers.CYCLE_MS)
        assert fleet.intake.state(other_id) == records.State.COMPLETED
        assert fleet.store.get(key).value == data

"""Tests of takeovers that find records which no leader wrote like that."""

import dataclasses

import pytest

from figtray.events import catalogue
from figtray.fleet import messages
from figtray.jobs import model
from figtray.jobs import records
from figtray.leadership import term as terms
from figtray.scheduling import roster as rosters
from figtray.scheduling import scheduler as schedulers
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
        self.leader._intake.reader.add(
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


class TestUnforeseenErrors:
    @pytest.fixture
    def odd_id(self, fleet):
        """Id of a job under which a part of the leader fails."""
        odd_id = fleet.submit(harness.make_step())
        fleet.submit(harness.make_step(2))
        return odd_id

    def check(self, fleet, handler, term, odd_id):
        """Check that the other job runs, and that the log names one error."""
        term.read_intake()
        term.play(5 * takeovers.CYCLE_MS)
        assert len(takeovers.running(fleet)) == 2
        assert f'{odd_id}.0.0.0' not in takeovers.running(fleet)
        lines = harness.logged(handler, catalogue.UNEXPECTED_EXCEPTION)
        assert len(lines) == 1
        assert odd_id in lines[0]['where']

    # Each takeover failed, and the watch of the intake with it.
    @pytest.mark.parametrize(
        'part', ['_open_ready_steps', '_complete_if_done', '_fail_exhausted']
    )
    def test_job_that_cannot_be_added_ends_the_term(
        self, fleet, handler, monkeypatch, odd_id, part
    ):
        run_part = getattr(schedulers.Scheduler, part)

        def fail(scheduler, target, *args):
            job = getattr(target, 'steps', None)
            job = job[0].job if job else target
            if job.job_id == odd_id:
                raise OverflowError('odd')
            return run_part(scheduler, target, *args)

        monkeypatch.setattr(schedulers.Scheduler, part, fail)
        self.check(fleet, handler, Term(fleet), odd_id)

    # The term ended with the first plan.
    @pytest.mark.parametrize('part', ['_start_step', '_urgency'])
    def test_step_that_cannot_start_ends_the_term(
        self, fleet, handler, monkeypatch, odd_id, part
    ):
        run_part = getattr(schedulers.Scheduler, part)

        def fail(scheduler, step, *args):
            if step.job.job_id == odd_id:
                step.waiting.popleft()
                step.waiting.append(step.tasks[0])
                raise OverflowError('odd')
            return run_part(scheduler, step, *args)

        monkeypatch.setattr(schedulers.Scheduler, part, fail)
        self.check(fleet, handler, Term(fleet), odd_id)

    # A task that was taken out of its queue never started.
    def test_step_that_failed_once_loses_tasks(
        self, fleet, monkeypatch, odd_id
    ):
        start_step = schedulers.Scheduler._start_step
        failed = []

        def fail_once(scheduler, step, *args):
            if step.job.job_id == odd_id and not failed:
                failed.append(step.waiting.popleft())
                raise OverflowError('odd')
            return start_step(scheduler, step, *args)

        monkeypatch.setattr(schedulers.Scheduler, '_start_step', fail_once)
        Term(fleet).play(3 * takeovers.CYCLE_MS)
        assert failed
        assert len(takeovers.running(fleet)) == 3

    # A held task came into its queue twice, and ran twice.
    def test_step_that_failed_once_starts_held_tasks(self, fleet, monkeypatch):
        step = harness.make_step(2, lasting=True, max_per_worker=1)
        job_id = fleet.submit(step)
        Term(fleet).play(3 * takeovers.CYCLE_MS)
        first, second = f'{job_id}.0.0.0', f'{job_id}.0.0.1'
        number, other = (takeovers.place(fleet, t) for t in (first, second))
        takeovers.silence(fleet, number)
        fleet.client.crash(f'10.0.0.{other}:80')
        fleet.add_worker(other, born_ms=2)
        start_step = schedulers.Scheduler._start_step
        failed = []

        def fail_once(scheduler, step, *args):
            if not failed:
                failed.append(step.waiting.popleft())
                raise OverflowError('odd')
            return start_step(scheduler, step, *args)

        monkeypatch.setattr(schedulers.Scheduler, '_start_step', fail_once)
        term = Term(fleet)
        term.play(takeovers.START_MS)
        [task] = failed
        assert task.name == second
        assert takeovers.place(fleet, first) == number
        assert second in takeovers.running(fleet)
        term.play(takeovers.LONGEST_LEASE_MS)
        assert takeovers.place(fleet, first) != number

    # The term ended, and each that followed.
    def test_plan_that_fails_ends_the_term(self, fleet, monkeypatch):
        term = Term(fleet)
        plans = []

        def fail():
            plans.append(term.term.ended.is_set())
            if len(plans) == 5:
                term.term.end('the test is over')
            raise OverflowError('odd')

        monkeypatch.setattr(term.scheduler, 'plan', fail)
        monkeypatch.setattr(term.scheduler.changed, 'wait', lambda _: False)
        term.leader._plan()
        assert plans == [False] * 5
        assert term.term.reason == 'the test is over'

    # The writer failed at this record in each round.
    def test_record_that_cannot_be_encoded_holds_up_others(
        self, fleet, handler
    ):
        term = Term(fleet)

        def fail():
            raise OverflowError('odd')

        term.leader._writer.enqueue('odd', fail)
        sequence = term.leader._writer.enqueue('good', lambda: b'1')
        assert term._flush(0, 0)
        assert term.leader._writer.is_written(sequence)
        assert fleet.store.get('good').value == b'1'
        [line] = harness.logged(handler, catalogue.UNEXPECTED_EXCEPTION)
        assert line['where'] == 'record odd'


class TestOddReports:
    @pytest.fixture
    def hide(self, fleet):
        """Function that makes the runs of a worker unreadable."""
        make_report = fleet.client.report

        def hide(number):
            def report(worker, *args):
                found = make_report(worker, *args)
                if worker.worker_id != f'worker-{number}':
                    return found
                return dataclasses.replace(
                    found, running=(), unreadable=len(found.running)
                )

            fleet.client.report = report

        return hide

    # A run that is not seen was lost, and its task started a second time.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_unread_run_is_lost(self, fleet, leader, hide, lasting):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        number = takeovers.place(fleet, f'{job_id}.0.0.0')
        hide(number)
        takeovers.play(leader, 2 * takeovers.LONGEST_LEASE_MS)
        assert takeovers.place(fleet, f'{job_id}.0.0.0') == number
        # What it runs is unknown, so nothing else starts there.
        fleet.submit(harness.make_step(20))
        takeovers.play(leader, takeovers.START_MS)
        assert len(fleet.sim(number).runs) == 1
        assert len(takeovers.running(fleet)) > 10

    # Its worker counted as known, so its tasks started a second time.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_unread_run_of_an_earlier_term_runs_twice(
        self, fleet, leader, hide, lasting
    ):
        job_id = fleet.submit(harness.make_step(lasting=lasting))
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        task = f'{job_id}.0.0.0'
        [(_, run)] = takeovers.running(fleet)[task]
        hide(takeovers.place(fleet, task))
        leader = fleet.elect_leader()
        takeovers.play(leader, takeovers.LONGEST_LEASE_MS // 2)
        assert takeovers.running(fleet)[task][0][1] == run
        # Its lease was not extended, so the task starts anew after it.
        takeovers.play(leader, takeovers.LONGEST_LEASE_MS)
        assert takeovers.running(fleet)[task][0][1] > run

    # Ends that follow were never seen, as the worker lists 500 at a time.
    def test_unread_end_is_never_acknowledged(self, fleet, leader):
        fleet.submit(harness.make_step())
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        worker_state = leader.worker_state(0)
        report = fleet.client.report(worker_state.worker, 9, 0, None, 0, 0)
        leader.scheduler.handle_report(
            worker_state, dataclasses.replace(report, last_end=5), 0
        )
        assert worker_state.seen_end == 5

    @pytest.fixture
    def report_end(self, leader):
        """Function that reports an end, readable or not, with a number."""
        worker_state = leader.worker_state(0)

        def report_end(number, readable=True):
            end = messages.EndedRun(
                number, 'x.0.0.0', 1, messages.EndReason.DONE
            )
            report = messages.Report(
                worker_state.worker.born_ms,
                1,
                ended=(end,) if readable else (),
                last_end=number,
            )
            leader.scheduler.handle_report(worker_state, report, 0)
            return worker_state.seen_end

        return report_end

    # All ends that followed were ignored, so done tasks ran again.
    @pytest.mark.parametrize('readable', [True, False])
    @pytest.mark.parametrize(
        ('seen', 'odd'), [(0, 2**62), (5, 2**62), (5, 1_000_006)]
    )
    def test_odd_number_hides_later_ends(
        self, report_end, handler, readable, seen, odd
    ):
        report_end(seen)
        for _ in range(3):
            assert report_end(odd, readable) == seen
        assert len(named(handler)) == 1
        assert report_end(seen + 1) == seen + 1

    def test_end_with_an_odd_number_counts(self, fleet, leader):
        job_id = fleet.submit(harness.make_step())
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        number = takeovers.place(fleet, f'{job_id}.0.0.0')
        fleet.sim(number).next_end_number = 2**62
        harness.finish(fleet, f'{job_id}.0.0.0')
        takeovers.play(leader, takeovers.CYCLE_MS)
        assert leader.worker_state(number).seen_end == 0
        assert leader.state(job_id) == records.State.RUNNING

    # A new leader knows no end of a worker that has had many; they must not
    # look odd to it.
    @pytest.mark.parametrize('readable', [True, False])
    def test_ends_of_an_old_worker_look_odd(
        self, report_end, handler, readable
    ):
        assert report_end(50_000_000, readable) == 50_000_000
        assert report_end(51_000_000, readable) == 51_000_000
        assert not named(handler)

    # It was taken for another task.
    @pytest.mark.parametrize(
        'name',
        [
            '{}.0.0.-1',
            '{}.0.0.1_0',
            '{}.0.0.01',
            '{}.0.0.\u0661',
            '{}.0.0',
            '.',
            '',
        ],
    )
    def test_odd_name_finds_a_task(self, fleet, leader, name):
        job_id = fleet.submit(harness.make_step(20))
        leader.sync_intake()
        assert leader.scheduler.find_task(name.format(job_id)) is None


class TestOddClock:
    # The lease that was asked for by an odd reading counted for the rest of
    # the term, so a silent worker kept its task.
    @pytest.mark.parametrize('ahead_ms', [10**6, 10**14])
    def test_lasting_task_waits_without_end_after_one_reading(self, ahead_ms):
        fleet = harness.Fleet(2)
        leader = fleet.elect_leader()
        leader.report_all()
        task = f'{fleet.submit(harness.make_step(1, lasting=True))}.0.0.0'
        takeovers.play(leader, takeovers.START_MS)
        number = takeovers.place(fleet, task)
        report = fleet.client.report

        def report_ahead(worker, *args):
            found = report(worker, *args)
            if worker.worker_id != f'worker-{number}':
                return found
            return dataclasses.replace(
                found, clock_ms=found.clock_ms + ahead_ms
            )

        fleet.client.report = report_ahead
        takeovers.play(leader, 2 * takeovers.CYCLE_MS)
        fleet.client.report = report
        takeovers.play(leader, 2000)
        takeovers.silence(fleet, number)
        takeovers.play(leader, 2 * takeovers.LONGEST_LEASE_MS)
        assert takeovers.place(fleet, task) != number

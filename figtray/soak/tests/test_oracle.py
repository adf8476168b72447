"""Tests of the oracle: each promise that it checks, broken."""

import pytest

from figtray import clock as clock_lib
from figtray.fleet import memory
from figtray.fleet import messages
from figtray.soak import oracle as oracle_lib

STEPS = [{'count': 2}, {'count': 1, 'after': [0]}]
JOB = 'a' * 16


class Watched:
    """Two workers that an oracle watches."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.oracle = oracle_lib.Oracle(self.clock, 2000, 1000)
        self.workers = memory.MemoryWorkers(self.clock, self.oracle)
        self.oracle.workers = self.workers
        self.sims = [
            self.workers.add(memory.make_worker(0)),
            self.workers.add(memory.make_worker(1, zone='zone-b')),
        ]
        self.oracle.submitting(JOB, STEPS)
        # Past the first seconds, in which nothing counts as calm.
        self.clock.advance(oracle_lib.CONTACT_MS + 1)

    def start(self, number, task, run=1):
        sim = self.sims[number]
        order = messages.StartOrder(task, run, 'p', 1, sim.clock_ms() + 5000)
        return sim.start(order)

    def broken(self):
        return [item.promise for item in self.oracle.violations]


@pytest.fixture
def watched():
    return Watched()


class TestRuns:
    def test_what_is_allowed(self, watched):
        watched.start(0, f'{JOB}.0.0.0')
        watched.start(1, f'{JOB}.0.0.1')
        for number in (0, 1):
            watched.sims[number].end(
                f'{JOB}.0.0.{number}', messages.EndReason.DONE
            )
        watched.start(0, f'{JOB}.0.1.0')
        assert not watched.broken()

    def test_two_runs_at_a_time(self, watched):
        watched.start(0, f'{JOB}.0.0.0')
        watched.start(1, f'{JOB}.0.0.0', 2)
        assert watched.broken() == ['one run at a time']

    def test_lapsed_run_is_over(self, watched):
        watched.start(0, f'{JOB}.0.0.0')
        watched.clock.advance(5001)
        watched.start(1, f'{JOB}.0.0.0', 2)
        assert not watched.broken()

    def test_start_after_a_noted_end(self, watched):
        task = f'{JOB}.0.0.0'
        watched.start(0, task)
        watched.sims[0].end(task, messages.EndReason.DONE)
        watched.sims[0].report(1, 1, None)
        watched.start(1, task, 2)
        assert watched.broken() == ['no start after the end']

    def test_end_that_is_noted_after_the_next_start(self, watched):
        task = f'{JOB}.0.0.0'
        watched.start(0, task)
        watched.sims[0].end(task, messages.EndReason.DONE)
        watched.start(1, task, 2)
        assert not watched.broken()
        watched.sims[0].report(1, 1, None)
        assert watched.broken() == ['no start after the end']

    # An end that is lost with its worker was never noted.
    def test_start_after_a_lost_end(self, watched):
        task = f'{JOB}.0.0.0'
        watched.start(0, task)
        watched.sims[0].end(task, messages.EndReason.DONE)
        watched.workers.crash(watched.sims[0].worker.address)
        watched.start(1, task, 2)
        watched.sims[1].end(task, messages.EndReason.DONE)
        watched.sims[1].report(1, 1, None)
        assert not watched.broken()

    def test_order_of_steps(self, watched):
        watched.start(0, f'{JOB}.0.1.0')
        assert set(watched.broken()) == {'order of steps'}

    def test_limit(self, watched):
        for number in range(4):
            job_id = f'{number:016x}'
            watched.oracle.submitting(job_id, [{'count': 1}])
            watched.start(0, f'{job_id}.0.0.0')
        assert watched.broken() == ['limit of the team']

    def test_unasked_start(self, watched):
        watched.start(0, f'{"b" * 16}.0.0.0')
        assert watched.broken() == ['nothing unasked']

    def test_start_after_the_cancellation(self, watched):
        watched.oracle.cancelling(JOB)
        watched.oracle.cancelled(JOB)
        watched.clock.advance(oracle_lib.CANCEL_MS + 1)
        watched.start(0, f'{JOB}.0.0.0')
        assert watched.broken() == ['cancelled jobs do not start']

    def test_start_in_a_zone_that_is_out(self, watched):
        watched.oracle.zone_changed('zone-b')
        watched.clock.advance(oracle_lib.EVACUATE_MS + 1)
        watched.start(0, f'{JOB}.0.0.0')
        assert not watched.broken()
        watched.start(1, f'{JOB}.0.0.1')
        assert watched.broken() == ['no start in a zone that is out']

    # What is bounded in time holds only for nodes in contact.
    def test_faults_suspend_the_bounds(self, watched):
        watched.oracle.zone_changed('zone-b')
        watched.clock.advance(oracle_lib.EVACUATE_MS + 1)
        watched.oracle.fault_began()
        watched.oracle.fault_ended()
        watched.start(1, f'{JOB}.0.0.1')
        assert not watched.broken()


class TestAnswers:
    def test_refused_job_that_ran(self, watched):
        watched.oracle.submitted(JOB, [503, 429])
        watched.start(0, f'{JOB}.0.0.0')
        watched.oracle.check_end()
        assert watched.broken() == ['refused jobs never run']

    def test_uncertain_job_may_run(self, watched):
        watched.oracle.submitted(JOB, [503, 504])
        watched.start(0, f'{JOB}.0.0.0')
        watched.oracle.check_end()
        assert not watched.broken()

    def test_accepted_job_that_never_ended(self, watched):
        watched.oracle.submitted(JOB, [0, 200])
        assert not watched.oracle.finished()
        watched.oracle.check_end()
        assert watched.broken() == ['accepted jobs complete']

    def test_accepted_job_is_unknown(self, watched):
        watched.oracle.submitted(JOB, [200])
        watched.oracle.shown(JOB, 410, '')
        assert watched.broken() == ['accepted jobs are known']

    @pytest.mark.parametrize(
        ('state', 'promise'),
        [
            ('completed', 'completed means done'),
            ('cancelled', 'cancelled only when asked'),
            ('failed', 'failed only with a cause'),
        ],
    )
    def test_wrong_state(self, watched, state, promise):
        watched.oracle.shown(JOB, 200, state)
        assert watched.broken() == [promise]

    def test_withdrawn_key_that_works(self, watched):
        watched.oracle.key_withdrawn()
        asked_ms = watched.oracle.now_ms()
        watched.oracle.key_used(asked_ms + oracle_lib.REVOKE_MS, 200)
        watched.oracle.key_used(asked_ms + oracle_lib.REVOKE_MS + 1, 401)
        assert not watched.broken()
        watched.oracle.key_used(asked_ms + oracle_lib.REVOKE_MS + 1, 200)
        assert watched.broken() == ['withdrawn keys do not work']

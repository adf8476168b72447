"""Tests of the threads that talk to one worker."""

import threading
import time

import pytest

from figtray.fleet import messages
from figtray.scheduling import reports
from figtray.scheduling.tests import harness

WAIT_S = 10


def wait_for(condition):
    """Wait until a condition holds; return whether it does."""
    until = time.monotonic() + WAIT_S
    while not condition() and time.monotonic() < until:
        threading.Event().wait(0.01)
    return condition()


class TestReportThread:
    # A worker forgets an end once it is acknowledged. If the end were not
    # stored by then, a crash of the leader would lose it.
    @pytest.mark.parametrize('stored', [False, True])
    def test_ends_are_acknowledged_when_stored(self, stored):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step(2))
        leader.run_cycle()
        worker_state = leader.worker_state(0)
        fleet.sim(0).end(f'{job_id}.0.0.0', messages.EndReason.DONE)
        leader.writer.wait = lambda sequence, timeout_ms: stored
        [session] = leader._sessions.values()
        thread = threading.Thread(target=session._run_reports, daemon=True)
        thread.start()
        assert wait_for(lambda: worker_state.seen_end == 1)
        if stored:
            assert wait_for(lambda: not fleet.sim(0).ended)
        leader.term.end('test')
        session.close()
        thread.join(WAIT_S)
        assert not thread.is_alive()
        assert worker_state.acknowledged == (1 if stored else 0)
        assert bool(fleet.sim(0).ended) is not stored

    # No task starts on a worker whose last report failed. Without runs it
    # was not asked again, so it got none for the rest of the term.
    @pytest.mark.parametrize('how', ['lease over', 'start not sent'])
    def test_unresponsive_worker_is_not_asked_again(self, how):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        leader.report_all()
        fleet.submit(harness.make_step(lasting=True))
        worker_state = leader.worker_state(0)
        if how == 'lease over':
            leader.run_cycle()
            assert worker_state.runs
            fleet.client.choose_fault = lambda *_: 'not sent'
            for _ in range(20):
                leader.advance(500)
                leader.report(0)
        else:
            leader.sync_intake()
            leader.scheduler.plan()
            leader.flush()
            fleet.client.choose_fault = lambda *_: 'not sent'
            leader.report(0)
            leader.deliver_orders(0)
        assert not worker_state.runs
        assert worker_state.unresponsive
        fleet.client.choose_fault = lambda *_: 'ok'
        [session] = leader._sessions.values()
        session.start()

        def starts_again():
            leader.advance(100)
            leader.scheduler.plan()
            leader.flush()
            return worker_state.runs

        try:
            assert wait_for(starts_again)
        finally:
            leader.term.end('test')
            session.close()

    # A worker without tracked runs was not asked again after an order to
    # stop a stray run that was not sent.
    def test_stray_run_goes_on_on_an_idle_worker(self):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        sim = fleet.sim(0)
        sim.start(messages.StartOrder(f'{"f" * 16}.0.0.0', 1, 'p', 0, 5000))
        fleet.client.choose_fault = lambda kind, _: (
            'not sent' if kind == 'stop' else 'ok'
        )
        leader.report(0)
        leader.deliver_orders(0)
        assert sim.runs
        fleet.client.choose_fault = lambda *_: 'ok'
        # Long enough for another order, and within the lease of the run.
        leader.advance(reports.STRAY_STOP_INTERVAL_MS)
        [session] = leader._sessions.values()
        session.start()
        try:
            assert wait_for(lambda: not sim.runs)
        finally:
            leader.term.end('test')
            session.close()

    def test_threads_end_with_the_term(self):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        leader.report_all()
        [session] = leader._sessions.values()
        session.start()
        leader.term.end('test')
        session.close()
        for thread in session._threads:
            thread.join(WAIT_S)
            assert not thread.is_alive()

"""Tests of the time until the tasks of a silent worker start elsewhere."""

import pytest

from figtray.scheduling import leases
from figtray.scheduling.tests import harness

CYCLE_MS = 100
# Time for a report that fails, a retry and a start after the lease is over.
START_MS = 700
LONGEST_LEASE_MS = leases.longest_lease_ms(harness.BOUNDS)


@pytest.fixture
def fleet():
    return harness.Fleet(2, rate=leases.SLOWEST_CLOCK_RATE)


def start_lasting_task(fleet, leader):
    """Start a lasting task; returns its name."""
    job_id = fleet.submit(harness.make_step(lasting=True))
    leader.run_cycle()
    return f'{job_id}.0.0.0'


def silence(fleet, number, fault):
    """Let all calls to a worker fail."""
    fleet.client.choose_fault = lambda _, worker: (
        fault if worker.worker_id == f'worker-{number}' else 'ok'
    )


def place(fleet, task):
    """Return the number of the worker on which a task runs, or None."""
    return next((n for n in range(2) if task in fleet.sim(n).runs), None)


def wait_for_restart(fleet, leader, task, number):
    """Return the ms until a task runs on another worker."""
    for passed_ms in range(0, 3 * LONGEST_LEASE_MS, CYCLE_MS):
        fleet.client.expire()
        leader.run_cycle()
        if place(fleet, task) not in (None, number):
            return passed_ms
        leader.advance(CYCLE_MS)
    return None


class TestLeaseOfASilentWorker:
    # A leader that was suspended asks for a report at once. If the request
    # is never sent, the lease still counted as extended by it.
    def test_unsent_request_extends_the_lease(self, fleet, leader):
        task = start_lasting_task(fleet, leader)
        number = place(fleet, task)
        silence(fleet, number, 'not sent')
        suspended_ms = 4000
        leader.advance(suspended_ms)
        restart_ms = wait_for_restart(fleet, leader, task, number)
        assert suspended_ms + restart_ms <= LONGEST_LEASE_MS + START_MS

    # Starts are sent to a worker until its report has timed out.
    def test_unanswered_start_extends_the_lease(self, fleet, leader):
        task = start_lasting_task(fleet, leader)
        number = place(fleet, task)
        leader.scheduler.set_cordoned('a test', {f'worker-{1 - number}'})
        worker_state = leader.worker_state(number)
        leader.scheduler.report_request(worker_state)
        silence(fleet, number, 'late')
        silent_ms = 1500
        leader.advance(silent_ms)
        fleet.submit(harness.make_step(2))
        leader.sync_intake()
        leader.scheduler.plan()
        leader.deliver_orders(number)
        leader.scheduler.handle_report_failure(worker_state, was_sent=True)
        leader.scheduler.set_cordoned('a test', set())
        restart_ms = wait_for_restart(fleet, leader, task, number)
        assert silent_ms + restart_ms <= LONGEST_LEASE_MS + START_MS

    # The lease is looked at after a failed report, so a long wait for the
    # next one would free the tasks late.
    def test_silent_worker_is_asked_with_a_long_wait(self, fleet, leader):
        task = start_lasting_task(fleet, leader)
        number = place(fleet, task)
        waits_ms = []
        report = fleet.client.report

        def record_wait(*args):
            waits_ms.append(args[-2])
            return report(*args)

        fleet.client.report = record_wait
        leader.report(number)
        silence(fleet, number, 'lost')
        leader.report(number)
        leader.report(number)
        assert waits_ms[0] > 0
        assert waits_ms[2:] == [0]

    # A request without a reply may have extended it.
    def test_unanswered_request_is_ignored(self, fleet, leader):
        task = start_lasting_task(fleet, leader)
        number = place(fleet, task)
        leader.advance(2000)
        silence(fleet, number, 'lost')
        leader.report(number)
        silence(fleet, number, 'not sent')
        for _ in range(0, LONGEST_LEASE_MS - 1000, CYCLE_MS):
            leader.advance(CYCLE_MS)
            fleet.client.expire()
            leader.run_cycle()
        assert place(fleet, task) == number

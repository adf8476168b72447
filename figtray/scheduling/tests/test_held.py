"""Tests of the log of the steps whose ready tasks are held."""

import pytest

from figtray.events import catalogue
from figtray.scheduling import held
from figtray.scheduling import leases
from figtray.scheduling.tests import harness

# More than the worker of the tests has.
TOO_MUCH_CPU_MILLI = 1_000_000


@pytest.fixture
def fleet():
    return harness.Fleet(1)


def submit_large(fleet, **fields):
    """Store a job for whose task no worker has room; returns its id."""
    return fleet.submit(harness.make_step(1, TOO_MUCH_CPU_MILLI, **fields))


def watch(leader, seconds):
    """Plan and report once a second, beginning now."""
    for _ in range(seconds):
        leader.run_cycle()
        leader.scheduler.report_waits()
        leader.advance(1000)


class TestHeldLog:
    # Guards against a lasting task that stands still while the log has no
    # line on it.
    def test_held_step_is_logged_once(self, fleet, leader, handler):
        job_id = fleet.submit(
            harness.make_step(2, TOO_MUCH_CPU_MILLI, lasting=True)
        )
        watch(leader, 10)
        assert harness.logged(handler, catalogue.TASKS_HELD) == [
            {
                'step': f'{job_id}.0.0',
                'queue': 'q',
                'pool': 'main',
                'lasting': True,
                'reason': 'no-room',
                'tasks': 2,
                'waited_ms': 2000,
            }
        ]

    # Guards against lines on each task that starts soon.
    def test_short_wait_is_not_logged(self, fleet, leader, handler):
        submit_large(fleet, lasting=True)
        watch(leader, 2)
        assert not harness.logged(handler, catalogue.TASKS_HELD)

    # Guards against a takeover that holds tasks although nothing says so.
    def test_takeover_is_logged_with_its_end(self, fleet, leader, handler):
        fleet.add_worker(1)
        leader.sync_workers()
        leader.report_all()
        job_id = submit_large(fleet, lasting=False)
        leader.run_cycle()
        fleet.workers.pop('worker-1')
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker.worker_id == 'worker-1' else 'ok'
        )
        leader = fleet.elect_leader()
        leader.report_all()
        watch(leader, 9)
        lines = harness.logged(handler, catalogue.TASKS_HELD)
        assert [line['step'] for line in lines] == [f'{job_id}.0.0'] * 2
        assert [line['reason'] for line in lines] == ['takeover', 'no-room']
        assert lines[0]['waited_ms'] == 2000
        # The wait ends with the longest lease; the next report shows it.
        late_ms = lines[1]['waited_ms'] - leases.longest_lease_ms(
            harness.BOUNDS
        )
        assert 0 <= late_ms < 1000

    # Guards against a held step of which nobody can tell when it went on.
    def test_end_is_logged(self, fleet, leader, handler):
        job_id = submit_large(fleet, lasting=True)
        watch(leader, 4)
        fleet.intake.cancel(job_id, 't')
        watch(leader, 4)
        lines = harness.logged(handler, catalogue.TASKS_HELD)
        assert [line['reason'] for line in lines] == ['no-room', '']
        assert lines[1]['tasks'] == 0
        assert lines[1]['waited_ms'] == 3000

    # Guards against a step without a known queue, which the planner skips.
    def test_step_that_is_not_planned_is_logged(self, fleet, leader, handler):
        fleet.submit(harness.make_step(1, lasting=True), queue='unknown')
        watch(leader, 4)
        [line] = harness.logged(handler, catalogue.TASKS_HELD)
        assert line['reason'] == held.UNTRIED
        assert line['pool'] == ''

    # Guards against a log that is filled by a reason that changes often.
    def test_lines_on_one_step_are_limited(self, fleet, leader, handler):
        submit_large(fleet, lasting=True)
        watch(leader, 3)
        for version in range(2, 22):
            limit_milli = version % 2
            fleet.cfg = harness.make_config(version, limit_milli=limit_milli)
            leader.scheduler.configure(fleet.cfg, ())
            leader.scheduler.plan()
            leader.scheduler.report_waits()
            leader.advance(300)
        # 5.7 s pass from the first line to the last report.
        assert len(harness.logged(handler, catalogue.TASKS_HELD)) <= 4

    # Guards against a burst of lines when the steps of many jobs are held,
    # and against lasting ones that are not among the first.
    def test_lines_at_a_time_are_limited(self, fleet, leader, handler):
        for _ in range(held.MAX_LINES + 5):
            submit_large(fleet)
        lasting = submit_large(fleet, lasting=True)
        watch(leader, 3)
        lines = harness.logged(handler, catalogue.TASKS_HELD)
        assert len(lines) == held.MAX_LINES
        assert lines[0]['step'] == f'{lasting}.0.0'
        watch(leader, 1)
        lines = harness.logged(handler, catalogue.TASKS_HELD)
        assert len({line['step'] for line in lines}) == held.MAX_LINES + 6
        assert len(lines) == held.MAX_LINES + 6

"""Tests of the log of starts and ends of runs."""

import logbook
import pytest

from figtray.events import catalogue
from figtray.events import log
from figtray.fleet import messages
from figtray.scheduling import run_log
from figtray.scheduling.tests import harness

WORKERS = 40
TASKS_PER_STEP = 8


@pytest.fixture
def site():
    fleet = harness.Fleet(WORKERS)
    leader = fleet.elect_leader()
    leader.report_all()
    return fleet, leader


def run_peak(fleet, leader, jobs):
    """Start and end the tasks of jobs within one interval of reports."""
    for _ in range(jobs):
        fleet.submit(harness.make_step(TASKS_PER_STEP, 100))
    leader.run_cycle()
    for number in range(WORKERS):
        for task in list(fleet.sim(number).runs):
            fleet.sim(number).end(task, messages.EndReason.DONE)
    leader.run_cycle()
    leader.scheduler.report_waits()


def read_runs(handler, event):
    """Return (task, run, worker) of each run in the lines of an event."""
    for line in harness.logged(handler, event):
        for entry in line['runs']:
            index, rest = entry.split(':')
            run, worker = rest.split('@')
            yield f'{line["step"]}.{index}', int(run), worker


class TestPeak:
    # A busy leader dropped the lines of four starts of five, so that a late
    # job could not be explained.
    def test_lines_of_a_peak_are_dropped(self, site):
        fleet, leader = site
        jobs = log.LINES_PER_S // 3
        with logbook.TestHandler() as handler:
            run_peak(fleet, leader, jobs)
        lines = [
            record
            for record in handler.records
            if record.extra['event'].number // 100 == 17
        ]
        assert len(lines) <= log.LINES_PER_S
        started = sorted(read_runs(handler, catalogue.TASKS_STARTED))
        assert len(started) == jobs * TASKS_PER_STEP
        assert started == sorted(read_runs(handler, catalogue.TASKS_DONE))

    def test_line_of_a_large_step_grows_without_bound(self, site):
        fleet, leader = site
        fleet.submit(harness.make_step(3 * run_log.MAX_RUNS, 100))
        with logbook.TestHandler() as handler:
            leader.run_cycle()
            leader.scheduler.report_waits()
        lines = harness.logged(handler, catalogue.TASKS_STARTED)
        assert sum(len(line['runs']) for line in lines) >= run_log.MAX_RUNS
        assert max(len(line['runs']) for line in lines) <= run_log.MAX_RUNS

    # Lines that were not written yet went with the term.
    def test_end_of_the_term_loses_the_last_lines(self, site):
        fleet, leader = site
        fleet.submit(harness.make_step(TASKS_PER_STEP, 100))
        with logbook.TestHandler() as handler:
            leader.run_cycle()
            leader.term.end('test')
            leader.scheduler.run_wait_reports()
        runs = list(read_runs(handler, catalogue.TASKS_STARTED))
        assert len(runs) == TASKS_PER_STEP


class TestUnusualRuns:
    # What an engineer looks for first was hidden among many runs.
    def test_failed_run_has_no_line_of_its_own(self, site):
        fleet, leader = site
        job_id = fleet.submit(harness.make_step(2, 1000))
        with logbook.TestHandler() as handler:
            leader.run_cycle()
            for number in range(WORKERS):
                sim = fleet.sim(number)
                if f'{job_id}.0.0.0' in sim.runs:
                    sim.end(f'{job_id}.0.0.0', messages.EndReason.FAILED)
            leader.run_cycle()
        [line] = harness.logged(handler, catalogue.RUN_ENDED)
        assert (line['task'], line['end']) == (f'{job_id}.0.0.0', 'failed')

    def test_lasting_task_has_no_line_of_its_own(self, site):
        fleet, leader = site
        job_id = fleet.submit(harness.make_step(1, 1000, lasting=True))
        with logbook.TestHandler() as handler:
            leader.run_cycle()
        [line] = harness.logged(handler, catalogue.TASK_STARTED)
        assert line['task'] == f'{job_id}.0.0.0'

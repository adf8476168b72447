"""Tests of the log of the incarnations that a takeover awaits."""

import pytest

from figtray.events import catalogue
from figtray.fleet import model as fleet_model
from figtray.scheduling import awaited
from figtray.scheduling import leases
from figtray.scheduling.tests import harness


def take_over(fleet):
    """Return the leader after one whose roster has all workers."""
    former = fleet.elect_leader()
    former.report_all()
    return fleet.elect_leader()


def lose_worker(fleet):
    """Silence worker 0 and remove its entry; returns its Worker."""
    fleet.client.choose_fault = lambda _, worker: (
        'not sent' if worker.worker_id == 'worker-0' else 'ok'
    )
    return fleet.workers.pop('worker-0')


def make_host(worker, **fields):
    """Return the Host of a worker as the platform lists it."""
    values = {
        'host_id': worker.host_id,
        'pool': worker.pool,
        'state': fleet_model.HostState.UP,
        'zone': worker.zone,
        'worker_id': worker.worker_id,
    }
    return fleet_model.Host(**values | fields)


class TestAwaitedLog:
    # Guards against a takeover that waits for a worker which left while the
    # store was down, and whose log names only the size of the roster.
    def test_unlisted_incarnation_is_named(self, fleet, handler):
        fleet.elect_leader().report_all()
        worker = lose_worker(fleet)
        leader = fleet.elect_leader()
        leader.report_all()
        leader.advance(1000)
        leader.scheduler.report_waits()
        [failure] = harness.logged(handler, catalogue.REPORT_FAILED)
        assert harness.logged(handler, catalogue.INCARNATION_AWAITED) == [
            {
                'worker': 'worker-0',
                'born_ms': worker.born_ms,
                'pool': 'main',
                'host': worker.host_id,
                'address': worker.address,
                'listed': False,
                'host_state': '',
                'host_worker': '',
                'report_error': failure['detail'],
                'left_ms': leases.longest_lease_ms(harness.BOUNDS) - 1000,
                'unnamed': 0,
            }
        ]

    # Guards against a line that does not tell why a listed worker is awaited.
    def test_error_of_the_last_report_is_named(self, fleet, handler):
        leader = take_over(fleet)
        silent = fleet.sim(1).worker
        fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker == silent else 'ok'
        )
        leader.report_all()
        [failure] = harness.logged(handler, catalogue.REPORT_FAILED)
        leader.scheduler.report_waits()
        [line] = harness.logged(handler, catalogue.INCARNATION_AWAITED)
        assert line['worker'] == 'worker-1'
        assert line['listed']
        assert line['report_error'] == failure['detail'] != ''

    # Guards against an error that is shown although a later report came.
    def test_answered_report_clears_the_error(self, fleet):
        leader = take_over(fleet)
        fleet.client.choose_fault = lambda *_: 'not sent'
        leader.report(0)
        assert leader.worker_state(0).report_error
        fleet.client.choose_fault = lambda *_: 'ok'
        leader.report(0)
        assert leader.worker_state(0).report_error == ''

    # Guards against a wait of which nobody can tell why the host list does
    # not end it.
    @pytest.mark.parametrize(
        ('fields', 'state', 'host_worker'),
        [
            ({}, 'up', 'worker-0'),
            ({'worker_id': ''}, 'up', ''),
            ({'state': fleet_model.HostState.DOWN}, 'down', 'worker-0'),
            (None, awaited.ABSENT, ''),
        ],
    )
    def test_host_list_is_shown(
        self, fleet, handler, fields, state, host_worker
    ):
        fleet.elect_leader().report_all()
        worker = lose_worker(fleet)
        leader = fleet.elect_leader()
        leader.report_all()
        hosts = [] if fields is None else [make_host(worker, **fields)]
        leader.scheduler.reconcile_hosts({h.host_id: h for h in hosts})
        leader.scheduler.report_waits()
        [line] = harness.logged(handler, catalogue.INCARNATION_AWAITED)
        assert line['host_state'] == state
        assert line['host_worker'] == host_worker

    # Guards against a log that is filled by a wait that goes on.
    def test_names_are_repeated_at_intervals(self, fleet, handler):
        fleet.elect_leader().report_all()
        lose_worker(fleet)
        leader = fleet.elect_leader()
        leader.report_all()
        for _ in range(41):
            leader.scheduler.report_waits()
            leader.advance(100)
        lines = harness.logged(handler, catalogue.INCARNATION_AWAITED)
        left = [line['left_ms'] for line in lines]
        longest = leases.longest_lease_ms(harness.BOUNDS)
        assert left == [longest, longest - 2000, longest - 4000]

    # Guards against a burst of lines after an outage that emptied the list of
    # workers.
    def test_number_of_names_is_bounded(self, handler):
        fleet = harness.Fleet(workers=awaited.MAX_NAMED + 5)
        leader = take_over(fleet)
        fleet.workers.pop('worker-9')
        leader.sync_workers()
        leader.scheduler.report_waits()
        lines = harness.logged(handler, catalogue.INCARNATION_AWAITED)
        assert len(lines) == awaited.MAX_NAMED
        assert {line['unnamed'] for line in lines} == {5}
        assert lines[0]['worker'] == 'worker-9'
        assert not lines[0]['listed']

    # Guards against names after all incarnations are accounted for.
    def test_nothing_is_named_after_all_have_reported(self, fleet, handler):
        leader = take_over(fleet)
        leader.report_all()
        leader.scheduler.report_waits()
        assert not harness.logged(handler, catalogue.INCARNATION_AWAITED)


class TestEndOfTheWait:
    # Guards against a wait whose end by time leaves no line in the log.
    def test_end_by_time_names_the_incarnations(self, fleet, handler):
        fleet.elect_leader().report_all()
        lose_worker(fleet)
        leader = fleet.elect_leader()
        leader.report_all()
        leader.advance(leases.longest_lease_ms(harness.BOUNDS) - 1)
        leader.sync_workers()
        assert not harness.logged(handler, catalogue.WORKERS_ACCOUNTED)
        leader.advance(1)
        leader.sync_workers()
        leader.sync_workers()
        [line] = harness.logged(handler, catalogue.INCARNATION_AWAITED)
        assert line['worker'] == 'worker-0'
        assert line['left_ms'] == 0
        assert harness.logged(handler, catalogue.WORKERS_ACCOUNTED) == [
            {'reason': awaited.LEASES_ENDED, 'left': 1}
        ]

    # Guards against an end by reports that looks like one by time.
    def test_end_by_reports_has_its_own_reason(self, fleet, handler):
        leader = take_over(fleet)
        leader.report_all()
        leader.advance(leases.longest_lease_ms(harness.BOUNDS))
        leader.sync_workers()
        assert harness.logged(handler, catalogue.WORKERS_ACCOUNTED) == [
            {'reason': awaited.ALL_ACCOUNTED, 'left': 0}
        ]

    # Guards against an end that the first leader logs without a wait.
    def test_first_leader_awaits_nothing(self, fleet, handler):
        leader = fleet.elect_leader()
        leader.report_all()
        leader.sync_workers()
        leader.scheduler.report_waits()
        assert not harness.logged(handler, catalogue.WORKERS_ACCOUNTED)
        assert not harness.logged(handler, catalogue.INCARNATION_AWAITED)

"""Tests of the observer and the drain watch."""

import dataclasses

import msgspec
import pytest

from figtray.bench import fleet as fleet_lib
from figtray.capacity import maintenance
from figtray.configuration import resources
from figtray import errors
from figtray.hostlist import base as hostlist_base

State = resources.HostState
NAME = 'host-000'


class Case:
    """A fleet of which one host is watched."""

    def __init__(self):
        self.fleet = fleet_lib.Fleet(fleet_lib.BUREAU)
        self.fleet._report()

    def set_state(self, state):
        """Write the state of the host."""
        spec = msgspec.structs.replace(self.fleet.hosts[NAME], state=state)
        kind = resources.Kind.HOST
        self.fleet.writer.commit(
            lambda snapshot: [
                fleet_lib.item(kind, NAME, spec, snapshot.generation + 1)
            ]
        )

    def observe(self, after_ms=0):
        """Pass some time and observe."""
        self.fleet.clock.advance(after_ms)
        return self.fleet.observer.observe(
            self.fleet.writer.read()[0], {}, fleet_lib.START_S
        )

    def set_report(self, **fields):
        """Change the report of the host."""
        address = self.fleet.hosts[NAME].address
        reports = self.fleet.workers.reports
        reports[address] = dataclasses.replace(reports[address], **fields)

    def stop_worker(self):
        """Let the worker not answer and the list not show it."""
        del self.fleet.workers.reports[self.fleet.hosts[NAME].address]
        self.fleet.host_list.hosts.pop(NAME)


@pytest.fixture
def case():
    """Return a new Case."""
    return Case()


class TestDrains:
    """Guards against a host that is released while it can still get work."""

    def test_is_finished_only_after_the_freshness_bound(self, case):
        case.set_state(State.DRAINING)
        assert not case.observe().drained
        assert not case.observe(2_900).drained
        assert case.observe(100).drained == {NAME: 2}

    def test_lags_for_as_long_as_reports_do(self, case):
        case.set_state(State.DRAINING)
        case.observe()
        assert case.observe(3_000).lagging == {NAME}
        assert case.observe(1_900).lagging == {NAME}
        assert not case.observe(100).lagging

    def test_counts_from_the_confirmation_of_a_majority(self, case):
        entries = case.fleet.entries
        entries.reachable = {'entry-1'}
        with pytest.raises(errors.NoMajority):
            case.set_state(State.DRAINING)
        entries.reachable = set(entries.slots)
        push = entries.push
        entries.push = lambda change: {
            'entry-1' for _ in [entries.replicas['entry-1'].apply(change)]
        }
        with pytest.raises(errors.NotAccepted):
            case.set_state(State.DRAINING)
        assert not case.observe().drained
        assert not case.observe(10_000).drained
        entries.push = push
        for replica in entries.replicas.values():
            replica.adopt(case.fleet.writer.read()[0])
        assert not case.observe().drained
        assert case.observe(3_000).drained

    def test_a_running_task_keeps_the_host(self, case):
        case.set_state(State.DRAINING)
        case.set_report(running=('task',))
        case.observe()
        assert not case.observe(60_000).drained
        case.set_report(running=())
        assert case.observe().drained

    def test_an_unreachable_worker_is_waited_for_by_its_run_limit(self, case):
        case.set_state(State.DRAINING)
        case.stop_worker()
        case.observe()
        assert not case.observe(7_900).drained
        assert case.observe(100).drained


class TestPresence:
    """Guards against hosts that are taken for failed, or not."""

    def test_an_absent_host_fails_after_a_time_unless_it_answers(self, case):
        del case.fleet.host_list.hosts[NAME]
        case.observe()
        assert not case.observe(10_000).failed
        case.fleet.workers.reports.clear()
        assert NAME in case.observe(10_000).failed

    def test_a_host_list_outage_makes_no_host_fail(self, case):
        case.observe()
        case.fleet.host_list.down = True
        case.fleet.workers.reports.clear()
        assert not case.observe(60_000).failed

    def test_leaving_hosts_come_from_the_list(self, case):
        status = case.fleet.host_list.hosts[NAME]
        leaving = hostlist_base.HostPresence.LEAVING
        case.fleet.host_list.put(dataclasses.replace(status, presence=leaving))
        assert case.observe().leaving == {NAME}


class TestReboots:
    """Guards against a reboot that is missed, or a wave that waits on it."""

    def test_a_new_boot_id_ends_the_maintenance(self, case):
        case.set_state(State.DRAINING)
        case.observe()
        case.observe(3_000)
        case.set_state(State.MAINTENANCE)
        assert not case.observe().rebooted
        case.set_report(boot_id='new', leaving=True)
        assert not case.observe(1_000).rebooted
        case.set_report(leaving=False)
        assert case.observe(1_000).rebooted == {NAME: 3}

    def test_a_host_that_does_not_come_back_is_stuck_after_the_limit(
        self, case
    ):
        case.set_state(State.MAINTENANCE)
        case.observe()
        case.stop_worker()
        assert not case.observe(maintenance.STUCK_FLOOR_MS).stuck
        assert case.observe(1).stuck == {NAME}

    def test_a_controller_that_took_over_learns_from_the_absence(self, case):
        case.set_state(State.MAINTENANCE)
        address = case.fleet.hosts[NAME].address
        report = case.fleet.workers.reports.pop(address)
        case.observe()
        case.fleet.workers.reports[address] = report
        assert case.observe(1_000).rebooted

    def test_a_host_that_was_never_rebooted_is_given_back(self, case):
        case.set_state(State.MAINTENANCE)
        case.observe()
        assert not case.observe(maintenance.STUCK_FLOOR_MS).not_rebooted
        assert case.observe(1).not_rebooted == {NAME: 2}

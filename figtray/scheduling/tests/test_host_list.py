"""Tests of what the host list proves about workers."""

import dataclasses

import pytest

from figtray.fleet import memory
from figtray.fleet import model as fleet_model
from figtray.scheduling import leases
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers


@pytest.fixture
def fleet():
    # The slowest clocks make the leases last as long as they can.
    return harness.Fleet(4, rate=leases.SLOWEST_CLOCK_RATE)


class TestHostList:
    # A link that is cut may refuse connections while the runs go on.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_refused_connections_end_runs(self, fleet, leader, new_leader):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.refuse(fleet, number)
        if new_leader:
            leader = fleet.elect_leader()
        takeovers.play(
            leader, takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS
        )
        assert takeovers.place(fleet, first) == number
        takeovers.play(leader, takeovers.LEASE_LEFT_MS + takeovers.START_MS)
        assert takeovers.place(fleet, first) != number

    # What a list says of a host may be unreadable, which is no proof.
    @pytest.mark.parametrize('refuses', [True, False])
    @pytest.mark.parametrize('listed', [True, False])
    def test_host_in_an_unknown_state_ends_runs(
        self, fleet, leader, refuses, listed
    ):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        host_id = f'host-{number}'
        fleet.hosts[host_id] = fleet_model.Host(
            host_id, '', fleet_model.HostState.UNKNOWN, ''
        )
        takeovers.silence(fleet, number, listed=listed)
        if refuses:
            takeovers.refuse(fleet, number)
        takeovers.play(
            leader, takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS
        )
        assert takeovers.place(fleet, first) == number

    # A host that has crashed refuses connections until it is back.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_crashed_worker_is_awaited(self, fleet, leader, new_leader):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        fleet.client.crash(f'10.0.0.{number}:80')
        takeovers.set_down(fleet, number)
        if new_leader:
            leader = fleet.elect_leader()
        takeovers.play(leader, takeovers.FIND_GONE_MS)
        assert takeovers.place(fleet, first) != number

    # A host without power answers no more, until its lease is over.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_silent_worker_of_a_lost_host_is_awaited(
        self, fleet, leader, new_leader
    ):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.silence(fleet, number, listed=False)
        fleet.client.crash(f'10.0.0.{number}:80')
        takeovers.set_down(fleet, number)
        if new_leader:
            leader = fleet.elect_leader()
        takeovers.play(leader, takeovers.FIND_GONE_MS)
        assert takeovers.place(fleet, first) != number

    # A host that is cut off may be listed as down; its worker's entry stays.
    def test_listed_worker_of_a_host_that_is_down_is_ended(
        self, fleet, leader
    ):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.silence(fleet, number)
        takeovers.set_down(fleet, number)
        takeovers.play(
            leader, takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS
        )
        assert takeovers.place(fleet, first) == number

    # The list may still show a move that is over, or the worker before.
    @pytest.mark.parametrize(
        'fields',
        [
            {'state': fleet_model.HostState.MOVING},
            {'worker_id': 'worker-before'},
        ],
    )
    def test_lagging_list_ends_a_listed_worker(self, fleet, leader, fields):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.silence(fleet, number)
        fleet.hosts[f'host-{number}'] = dataclasses.replace(
            fleet.hosts[f'host-{number}'], **fields
        )
        takeovers.play(
            fleet.elect_leader(),
            takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS,
        )
        assert takeovers.place(fleet, first) == number

    # The entry of the former worker of a host that was moved stays a while.
    def test_former_worker_of_a_moved_host_is_awaited(self, fleet, leader):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.silence(fleet, number)
        fleet.client.crash(f'10.0.0.{number}:80')
        later = dataclasses.replace(
            memory.make_worker(9, born_ms=2), host_id=f'host-{number}'
        )
        fleet.workers[later.worker_id] = later
        fleet.client.add(later)
        fleet.hosts[later.host_id] = dataclasses.replace(
            fleet.hosts[later.host_id], worker_id=later.worker_id
        )
        takeovers.play(fleet.elect_leader(), takeovers.FIND_GONE_MS)
        assert takeovers.place(fleet, first) != number

    # A host that was taken away answers no more.
    @pytest.mark.parametrize('new_leader', [True, False])
    def test_silent_worker_without_a_host_is_awaited(
        self, fleet, leader, new_leader
    ):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        takeovers.leave(fleet, number)
        takeovers.silence(fleet, number, listed=False)
        if new_leader:
            leader = fleet.elect_leader()
        takeovers.play(leader, takeovers.FIND_GONE_MS)
        assert takeovers.place(fleet, first) != number

    # A host may be missing from a single list, or from an empty one.
    @pytest.mark.parametrize('listed', [True, False])
    @pytest.mark.parametrize('lose', [takeovers.silence, takeovers.refuse])
    def test_single_list_ends_runs(self, fleet, leader, listed, lose):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        lose(fleet, number)
        takeovers.play(leader, 3 * takeovers.CYCLE_MS)
        hosts, fleet.hosts = fleet.hosts, {}
        if listed:
            fleet.hosts = hosts | {}
            del fleet.hosts[f'host-{number}']
        takeovers.play(leader, takeovers.CYCLE_MS)
        fleet.hosts = hosts
        takeovers.play(
            leader, takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS
        )
        assert takeovers.place(fleet, first) == number

    # The list may lag behind the entry of a worker on a new host.
    def test_lagging_list_ends_runs_on_a_new_host(self, fleet, leader):
        fleet.add_worker(7)
        del fleet.hosts['host-7']
        leader.scheduler.set_cordoned('a test', set(fleet.workers))
        leader.sync_workers()
        leader.report_all()
        task = f'{fleet.submit(harness.make_step(lasting=True))}.0.0.0'
        takeovers.play(leader, 3 * takeovers.CYCLE_MS)
        assert takeovers.place(fleet, task) == 7
        leader.scheduler.set_cordoned('a test', set())
        takeovers.silence(fleet, 7)
        takeovers.play(
            leader, takeovers.LONGEST_LEASE_MS - takeovers.LEASE_LEFT_MS
        )
        assert takeovers.place(fleet, task) == 7

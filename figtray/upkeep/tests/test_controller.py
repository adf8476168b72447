"""Tests of the leader's loop over hosts."""

import msgspec
import pytest

from figtray.scheduling.tests import harness
from figtray.store import base
from figtray.upkeep import controller
from figtray.upkeep import host_orders
from figtray.upkeep.tests import test_lending


class View:
    """Operators' wishes: a configuration and no wave."""

    def __init__(self, fleet):
        self._fleet = fleet

    def config(self):
        return self._fleet.cfg

    def evacuated_zones(self):
        return frozenset()

    def waves(self):
        return {}


@pytest.fixture
def site():
    return test_lending.Lending()


def make_controller(site):
    return controller.HostController(
        site.fleet.store,
        site.fleet.clock,
        View(site.fleet),
        site.hosts,
        'node',
        harness.BOUNDS,
        lambda number, completed: ('status', b''),
    )


def step(site, item):
    site.leader.run_cycle()
    item._step(site.leader.scheduler, make_crew(site, item))


def make_crew(site, item):
    return item._crew(
        site.leader.scheduler,
        harness.FlushingWriter(site.leader),
        site.leader.term,
        harness.InlineExecutor(),
    )


def record(site, *host_ids):
    """Store what an earlier leader has recorded."""
    data = msgspec.json.encode(host_orders.Record(host_ids))
    site.fleet.store.txn([], [base.Put(host_orders.KEY, data)])


class TestChangeOfHolder:
    # Two holders must not give orders for one host within lease_ms, as the
    # platform doesn't check their tokens.
    def test_recorded_hosts_wait(self, site):
        record(site, 'host-8')
        item = make_controller(site)
        crew = make_crew(site, item)
        site.fleet.submit(harness.make_step(60, 4000))
        site.leader.run_cycle()
        item._step(site.leader.scheduler, crew)
        site.leader.advance(harness.BOUNDS.lease_ms - 1)
        item._step(site.leader.scheduler, crew)
        assert site.moves() == [('host-9', 'main')]
        site.leader.advance(1)
        item._step(site.leader.scheduler, crew)
        assert site.moves() == [('host-9', 'main'), ('host-8', 'main')]

    # A host that isn't recorded could get orders of two holders.
    def test_hosts_are_recorded_before_their_orders(self, site):
        recorded = []
        move = site.hosts.move

        def watch(host_id, *args):
            item = site.fleet.store.get(host_orders.KEY)
            recorded.append(host_id in host_orders.decode(item.value).host_ids)
            return move(host_id, *args)

        site.hosts.move = watch
        site.fleet.submit(harness.make_step(60, 4000))
        step(site, make_controller(site))
        assert recorded == [True, True]

    def test_no_order_without_its_record(self, site):
        item = make_controller(site)
        crew = make_crew(site, item)
        site.fleet.submit(harness.make_step(60, 4000))
        site.leader.run_cycle()
        site.fleet.store.down = True
        item._step(site.leader.scheduler, crew)
        assert not site.moves()

    # The next leader must know the orders of the last two.
    def test_former_hosts_stay_recorded_until_they_are_free(self, site):
        record(site, 'host-7')
        item = make_controller(site)
        crew = make_crew(site, item)
        crew.orders.announce(['host-8'])
        stored = site.fleet.store.get(host_orders.KEY).value
        assert host_orders.decode(stored).host_ids == ('host-7', 'host-8')
        site.leader.advance(
            harness.BOUNDS.lease_ms + host_orders.MARGIN_MS + 1
        )
        crew.orders.announce(['host-9'])
        stored = site.fleet.store.get(host_orders.KEY).value
        assert host_orders.decode(stored).host_ids == ('host-9',)

    # Upkeeps of the former leader may not be stored yet.
    def test_waves_wait_for_all_hosts(self, site):
        item = make_controller(site)
        crew = make_crew(site, item)
        steps = []
        crew.keeper.step = lambda *args: steps.append(args)
        item._step(site.leader.scheduler, crew)
        assert not steps
        site.leader.advance(harness.BOUNDS.lease_ms)
        item._step(site.leader.scheduler, crew)
        assert steps

    # What runs on the workers is not known before the takeover.
    def test_nothing_moves_before_the_takeover(self, site):
        item = make_controller(site)
        site.leader.scheduler.loaded.clear()
        site.leader.advance(harness.BOUNDS.lease_ms)
        site.fleet.submit(harness.make_step(60, 4000))
        step(site, item)
        assert not site.moves()

    def test_holder_and_token(self, site):
        item = make_controller(site)
        site.leader.advance(harness.BOUNDS.lease_ms)
        site.fleet.submit(harness.make_step(60, 4000))
        step(site, item)
        assert {d[3:] for d in site.hosts.accepted_orders} == {
            ('node', site.leader.term.epoch)
        }

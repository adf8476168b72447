"""Tests of the control loop over hosts."""

import logbook
import msgspec
import pytest

from figtray import errors
from figtray.events import catalogue
from figtray.platform import hosts as platform_hosts
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import leaders
from figtray.store import base
from figtray.store.tests import outages
from figtray.upkeep import controller
from figtray.upkeep import host_orders
from figtray.upkeep.tests import support


class View:
    """OperatorView with a configuration and no wave."""

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
    return support.Site()


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


def reconcile(site, host_controller):
    site.leader.run_cycle()
    host_controller._reconcile(
        site.leader.scheduler, build_parts(site, host_controller)
    )


def build_parts(site, host_controller):
    return host_controller._build_parts(
        site.leader.scheduler,
        leaders.FlushingWriter(site.leader),
        site.leader.term,
        harness.InlineExecutor(),
    )


def store_record(site, *host_ids):
    """Store the record of an earlier leader."""
    data = msgspec.json.encode(host_orders.HostOrdersRecord(host_ids))
    site.fleet.store.txn([], [base.Put(host_orders.ORDERS_KEY, data)])


class TestChangeOfLeader:
    # The platform doesn't check epochs, so the orders of two leaders for one
    # host must be lease_ms apart.
    def test_recorded_hosts_wait_for_lease_ms(self, site):
        store_record(site, 'host-8')
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        site.fleet.submit(harness.make_step(60, 4000))
        site.leader.run_cycle()
        host_controller._reconcile(site.leader.scheduler, parts)
        site.leader.advance(harness.BOUNDS.lease_ms - 1)
        host_controller._reconcile(site.leader.scheduler, parts)
        assert site.moves() == [('host-9', 'main')]
        site.leader.advance(1)
        host_controller._reconcile(site.leader.scheduler, parts)
        assert site.moves() == [('host-9', 'main'), ('host-8', 'main')]

    # The next leader gives orders for unrecorded hosts at once.
    def test_hosts_are_recorded_before_orders(self, site):
        recorded = []
        move = site.hosts.move

        def check_record_and_move(host_id, *args):
            item = site.fleet.store.get(host_orders.ORDERS_KEY)
            recorded.append(host_id in host_orders.decode(item.value).host_ids)
            return move(host_id, *args)

        site.hosts.move = check_record_and_move
        site.fleet.submit(harness.make_step(60, 4000))
        reconcile(site, make_controller(site))
        assert recorded == [True, True]

    # Without a record, the next leader could order the same host too early.
    def test_no_order_without_a_record(self, site):
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        site.fleet.submit(harness.make_step(60, 4000))
        site.leader.run_cycle()
        site.fleet.store.down = True
        host_controller._reconcile(site.leader.scheduler, parts)
        assert not site.moves()

    # Guards against pools that don't grow and waves that stand still for
    # seconds without a line that says why.
    def test_orders_without_a_record_are_logged(self, site):
        orders = build_parts(site, make_controller(site)).orders
        with logbook.TestHandler() as handler:
            assert orders.record(['host-8'])
            assert not harness.logged(handler, catalogue.HOST_ORDERS_WAIT)
            site.fleet.store.down = True
            assert not orders.record(['host-8', 'host-9'])
        [line] = harness.logged(handler, catalogue.HOST_ORDERS_WAIT)
        assert line == {'hosts': 2, 'waited_ms': 0}

    # Guards against a pass that waits once for each spare host, for seconds in
    # which no host list is read (docs/design.md 5.1, W11: one interval).
    def test_pass_waits_once_for_a_record_that_is_not_stored(self, site):
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        for number in range(10, 40):
            host = support.make_host(number, 'spare')
            site.hosts.hosts[host.host_id] = host
        site.fleet.submit(harness.make_step(12, 4000))
        site.leader.run_cycle()
        site.fleet.store.down = True
        with logbook.TestHandler() as handler:
            host_controller._reconcile(site.leader.scheduler, parts)
        assert len(harness.logged(handler, catalogue.HOST_ORDERS_WAIT)) == 1

    # Guards against pools that never grow again after one slow record.
    def test_next_pass_gives_no_orders_after_a_record_that_was_late(
        self, site
    ):
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        site.fleet.submit(harness.make_step(60, 4000))
        site.leader.run_cycle()
        site.fleet.store.down = True
        host_controller._reconcile(site.leader.scheduler, parts)
        site.fleet.store.down = False
        host_controller._reconcile(site.leader.scheduler, parts)
        assert len(site.moves()) == 2

    # Guards against a pass that waits for records of a term that has ended.
    def test_ended_term_waits_for_its_records(self, site):
        parts = build_parts(site, make_controller(site))
        site.leader.term.end('test')
        with logbook.TestHandler() as handler:
            assert not parts.orders.record(['host-8'])
        assert not harness.logged(handler, catalogue.HOST_ORDERS_WAIT)
        assert parts.orders._order_times_ms == {}

    # A term may end within lease_ms. The next leader must then also know the
    # orders of the leader before.
    def test_former_hosts_stay_recorded_until_lease_ms_passed(self, site):
        store_record(site, 'host-7')
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        parts.orders.record(['host-8'])
        stored = site.fleet.store.get(host_orders.ORDERS_KEY).value
        assert host_orders.decode(stored).host_ids == ('host-7', 'host-8')
        site.leader.advance(
            harness.BOUNDS.lease_ms + host_orders.RETENTION_MARGIN_MS + 1
        )
        parts.orders.record(['host-9'])
        stored = site.fleet.store.get(host_orders.ORDERS_KEY).value
        assert host_orders.decode(stored).host_ids == ('host-9',)

    # The orders for hosts ended with an error in each round, also the ends of
    # workers that the host list shows.
    def test_unreadable_record_stops_all_orders(self, site):
        site.fleet.store.txn([], [base.Put(host_orders.ORDERS_KEY, b'odd')])
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        site.fleet.submit(harness.make_step(60, 4000))
        site.leader.run_cycle()
        site.leader.advance(harness.BOUNDS.lease_ms - 1)
        host_controller._reconcile(site.leader.scheduler, parts)
        # Any host may have had an order of an earlier leader.
        assert not site.moves()
        site.leader.advance(1)
        host_controller._reconcile(site.leader.scheduler, parts)
        assert len(site.moves()) == 2

    @pytest.mark.parametrize('key', ['wave/1', 'wave/x', 'wave/\u0663'])
    def test_odd_wave_record_stops_all_orders(self, site, key):
        site.fleet.store.txn([], [base.Put(key, b'{"begun":' + b'[' * 60_000)])
        site.fleet.submit(harness.make_step(60, 4000))
        reconcile(site, make_controller(site))
        assert len(site.moves()) == 2

    # Each further leader waited once more for the orders of one long ago, as
    # those between had given none and had written no record.
    def test_orders_of_a_leader_long_ago_are_awaited(self, site):
        store_record(site, 'host-8')
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        site.leader.advance(
            harness.BOUNDS.lease_ms + host_orders.RETENTION_MARGIN_MS + 1
        )
        host_controller._reconcile(site.leader.scheduler, parts)
        site.leader.flush()
        site.leader = site.fleet.elect_leader()
        parts = build_parts(site, make_controller(site))
        assert parts.orders.is_order_allowed('host-8')

    # Upkeeps that the former leader has begun may not be stored yet, and
    # count towards max_down.
    def test_waves_wait_for_lease_ms(self, site):
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        calls = []
        parts.wave_runner.reconcile = lambda *args: calls.append(args)
        host_controller._reconcile(site.leader.scheduler, parts)
        assert not calls
        site.leader.advance(harness.BOUNDS.lease_ms)
        host_controller._reconcile(site.leader.scheduler, parts)
        assert calls

    # The leader doesn't know before the takeover what runs on the workers.
    def test_no_move_before_the_takeover(self, site):
        host_controller = make_controller(site)
        site.leader.scheduler.loaded.clear()
        site.leader.advance(harness.BOUNDS.lease_ms)
        site.fleet.submit(harness.make_step(60, 4000))
        reconcile(site, host_controller)
        assert not site.moves()

    def test_orders_carry_node_name_and_epoch(self, site):
        host_controller = make_controller(site)
        site.leader.advance(harness.BOUNDS.lease_ms)
        site.fleet.submit(harness.make_step(60, 4000))
        reconcile(site, host_controller)
        assert {order[3:] for order in site.hosts.accepted_orders} == {
            ('node', site.leader.term.epoch)
        }


class TestRefusedToken:
    # A leader that was paused went on to order after a later one had, with a
    # token that the platform refuses.
    def test_moves_go_on_after_a_refused_token(self, site):
        site.hosts.highest_epochs = dict.fromkeys(
            site.hosts.hosts, site.leader.term.epoch + 1
        )
        host_controller = make_controller(site)
        parts = build_parts(site, host_controller)
        site.fleet.submit(harness.make_step(60, 4000))
        site.leader.run_cycle()
        for _ in range(3):
            host_controller._reconcile(site.leader.scheduler, parts)
            site.leader.advance(harness.BOUNDS.lease_ms)
        assert site.leader.term.ended.is_set()
        # Of the moves that were recorded together, one is sent.
        assert len(site.hosts.stale_orders) == 1
        assert not site.moves()

    # Threads and queued orders of the term outlasted it.
    def test_workers_get_orders_after_a_refused_token(self, site):
        site.fleet.submit(harness.make_step(4, 1000))
        site.leader.sync_intake()
        site.leader.scheduler.plan()
        queued = [
            site.leader.worker_state(number).orders.qsize()
            for number in range(4)
        ]
        assert sum(queued) == 4
        site.hosts.highest_epochs = {'host-8': site.leader.term.epoch + 1}
        assert not site.context.move('host-8', 'main')
        for number in range(4):
            site.leader.deliver_orders(number)
            site.leader.report(number)
        site.leader.scheduler.plan()
        assert not harness.running(site.fleet)


class TestCordons:
    # An error ends the parts of the controller, and with them what they know
    # about cordoned workers. Tasks then waited although workers were idle.
    def test_workers_stay_cordoned_after_an_error(self, site):
        site.cordon_surplus(lambda *_: False)
        reconcile(site, make_controller(site))
        assert not site.cordoned()


class SilentHosts:
    """Host service whose calls hang until a time; then it lists no host.

    Args:
        clock: the PassingClock.
        silent_ms: time until then.

    Attributes:
        back_ms: local time at which it answers again.
    """

    def __init__(self, clock, silent_ms):
        self.back_ms = clock.now_ms() + silent_ms
        self._clock = clock

    def list_hosts(self):
        if self._clock.now_ms() < self.back_ms:
            self._clock.advance(platform_hosts.CALL_TIMEOUT_MS)
            raise errors.HostListUnavailable(detail='injected')
        return ()


class TestWaitForTheHostList:
    # A call that hangs, or is repeated too late, keeps the tasks of workers
    # waiting that only the host list shows to be gone.
    @pytest.mark.parametrize('silent_ms', range(100, 9000, 190))
    def test_list_is_read_long_after_an_outage(self, silent_ms):
        fleet = harness.Fleet(1, store=outages.HangingStore())
        leader = fleet.elect_leader()
        leader.term.valid = lambda: True
        read = []
        leader.scheduler.reconcile_hosts = lambda listed: read.append(
            fleet.clock.now_ms()
        )
        leader.term.ended = outages.Condition(lambda: bool(read))
        hosts = SilentHosts(fleet.clock, silent_ms)
        controller.HostController(
            fleet.store,
            fleet.clock,
            View(fleet),
            hosts,
            'node',
            harness.BOUNDS,
            lambda number, completed: ('status', b''),
        )._reconcile_until_end(
            leader.scheduler, leader.writer, leader.term, None
        )
        assert read[0] - hosts.back_ms <= (
            platform_hosts.CALL_TIMEOUT_MS
            + controller.RETRY_DELAY_MS
            + controller.RECONCILE_INTERVAL_MS
        )

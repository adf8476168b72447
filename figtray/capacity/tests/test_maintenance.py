"""Tests of the maintenance waves."""

import collections
import dataclasses

import pytest

from figtray.capacity import maintenance
from figtray.capacity import model
from figtray.capacity import planner
from figtray.capacity.tests import test_planner
from figtray.configuration import resources

State = resources.HostState
PERIOD_S = resources.FIVE_WEEKS_MS // 1000


def make_due(thresholds=model.Thresholds(), **fields):
    """Return a Situation in which every host is due, h0 longest."""
    situation = test_planner.make_situation(
        per_pool=8, wall_s=2 * PERIOD_S, thresholds=thresholds, **fields
    )
    ages = {
        host.name: {'maintained_at_s': 1000 + number}
        for number, host in enumerate(situation.hosts)
    }
    return test_planner.change(situation, ages)


def started(situation):
    """Return the HostViews that a plan drains for maintenance."""
    plan = planner.plan(situation)
    names = {
        host for host, _ in test_planner.drains(plan, model.Reason.MAINTENANCE)
    }
    return [host for host in situation.hosts if host.name in names]


class TestWave:
    """Guards against waves that are too slow, too wide or never end."""

    def test_takes_all_hosts_of_the_oldest_zone_that_budgets_allow(self):
        assert {h.zone for h in started(make_due())} == {'z0'}
        assert len(started(make_due())) == 8
        assert len(started(make_due(min_hosts=7))) == 3

    def test_spreads_over_racks(self):
        # Loss of a zone leaves 24 hosts for guarantees of 21.
        racks = collections.Counter(
            host.rack for host in started(make_due(min_hosts=7))
        )
        assert max(racks.values()) == 1

    def test_stays_in_the_zone_that_is_being_maintained(self):
        situation = test_planner.change(
            make_due(), {'h1': {'state': State.MAINTENANCE}}
        )
        assert {h.zone for h in started(situation)} == {'z1'}

    def test_makes_room_in_a_pool_at_its_guarantee(self):
        situation = make_due(min_hosts=8)
        fewer = tuple(
            dataclasses.replace(
                pool, min_slots=pool.min_slots * (pool.name == 'a')
            )
            for pool in situation.pools
        )
        young = {
            host.name: {'maintained_at_s': 2 * PERIOD_S}
            for host in situation.hosts
            if host.pool != 'a'
        }
        situation = dataclasses.replace(
            test_planner.change(situation, young), pools=fewer
        )
        lent = started(situation)
        assert [host.pool for host in lent] == ['spare']
        arrived = test_planner.change(
            situation, {lent[0].name: {'state': State.RELEASED}}
        )
        assert planner.plan(arrived).actions == (
            model.Assign(lent[0].name, 'a', model.Reason.MAINTENANCE),
        )

    @pytest.mark.parametrize(
        'fields',
        [
            {'thresholds': model.Thresholds(paused=True)},
            {'zones_out': frozenset({'z3'})},
            {'stuck': frozenset({'h1', 'h5', 'h9'})},
            {'min_hosts': 8},
        ],
    )
    def test_starts_nothing_and_says_why(self, fields):
        situation = make_due(**fields)
        assert started(situation) == []
        assert planner.plan(situation).forecast.blocked

    def test_hastening_takes_hosts_earlier(self):
        recent = {
            host.name: {'maintained_at_s': int(1.6 * PERIOD_S)}
            for host in make_due().hosts
        }
        for hastened in (False, True):
            situation = make_due(model.Thresholds(hastened=hastened))
            situation = test_planner.change(situation, recent)
            assert bool(started(situation)) == hastened

    def test_a_present_peak_keeps_its_hosts(self):
        assert 'a' not in {h.pool for h in started(make_due(demand={'a': 64}))}

    def test_a_drained_host_goes_to_a_peak_before_its_maintenance(self):
        drained = {'h24': {'state': State.DRAINING}}
        for demand, action in (
            ({}, model.StartMaintenance('h24')),
            ({'a': 100}, model.Release('h24')),
        ):
            situation = make_due(demand=demand, drained=frozenset({'h24'}))
            plan = planner.plan(test_planner.change(situation, drained))
            assert action in plan.actions

    def test_a_report_that_lags_delays_the_reboot(self):
        drained = {'h24': {'state': State.DRAINING}}
        start = model.StartMaintenance('h24')
        for lagging, is_started in ((frozenset({'h24'}), False), ((), True)):
            situation = make_due(drained=frozenset({'h24'}), lagging=lagging)
            plan = planner.plan(test_planner.change(situation, drained))
            assert (start in plan.actions) == is_started

    def test_forecasts_the_end(self):
        forecast = planner.plan(make_due()).forecast
        assert forecast.due == 32
        assert forecast.end_s == 2 * PERIOD_S + 4 * 305


class TestRebootTimes:
    """Guards against a slow host that is taken for a failed one."""

    def test_limit_follows_the_distribution_above_a_floor(self):
        times = maintenance.RebootTimes()
        assert times.limit_ms == maintenance.STUCK_FLOOR_MS
        for minute in range(1, 101):
            times.add(minute * 60_000)
        assert times.percentile(0.5) == 50 * 60_000
        assert times.limit_ms == 3 * 95 * 60_000

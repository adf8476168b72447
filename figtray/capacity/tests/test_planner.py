"""Tests of the planner's decisions."""

import dataclasses

import hypothesis
from hypothesis import strategies

from figtray.capacity import model
from figtray.capacity import planner
from figtray.capacity.tests import oracles
from figtray.configuration import resources

State = resources.HostState
Reason = model.Reason


def make_situation(min_hosts=2, demand=None, zones=4, per_pool=4, **fields):
    """Return a quiet Situation of the pools a, b, c and spare."""
    names = ('a', 'b', 'c', 'spare')
    hosts = oracles.make_hosts(per_pool * 4, zones, names, per_rack=2)
    demand = demand or {}
    pools = tuple(
        model.PoolView(
            name,
            0 if name == 'spare' else min_hosts * oracles.UNIT,
            name == 'spare',
            demand.get(name, 0),
            demand.get(name, 0),
        )
        for name in names
    )
    return model.Situation(hosts=tuple(hosts), pools=pools, **fields)


def change(situation, states):
    """Return a Situation with the states of some hosts changed."""
    hosts = tuple(
        dataclasses.replace(host, **states.get(host.name, {}))
        for host in situation.hosts
    )
    return dataclasses.replace(situation, hosts=hosts)


def drains(plan, reason):
    """Return the (host, pool) pairs that a plan drains for a reason."""
    return [
        (action.host, action.pool)
        for action in plan.actions
        if isinstance(action, model.StartDrain) and action.reason is reason
    ]


class TestPeaks:
    """Guards against lending that costs more than it gains."""

    def test_quiet_fleet_needs_no_action(self):
        assert planner.plan(make_situation()).actions == ()

    def test_lends_spare_hosts_first(self):
        plan = planner.plan(make_situation(demand={'a': 48}))
        pools = [pool for _, pool in drains(plan, Reason.PEAK)]
        assert pools == ['spare', 'spare']

    def test_a_shortage_smaller_than_the_drain_is_not_followed(self):
        situation = make_situation(demand={'a': 35}, drain_ms=5_000)
        assert drains(planner.plan(situation), Reason.PEAK) == []

    def test_heavier_moves_make_the_planner_slower_to_lend(self):
        policies = [
            resources.Policy(resources.Weights(moves=moves))
            for moves in (1, 3)
        ]
        quick, slow = (model.make_thresholds(p) for p in policies)
        assert quick.interval_ms < slow.interval_ms
        situation = make_situation(demand={'a': 37.5})
        counts = [
            len(
                planner.plan(
                    dataclasses.replace(situation, thresholds=thresholds)
                ).actions
            )
            for thresholds in (quick, slow)
        ]
        assert counts == [1, 0]

    def test_hosts_on_their_way_are_not_asked_for_twice(self):
        situation = make_situation(demand={'a': 48})
        on_their_way = dict.fromkeys(('h12', 'h13'), {'state': State.DRAINING})
        plan = planner.plan(change(situation, on_their_way))
        assert plan.actions == ()

    def test_a_pool_keeps_what_its_own_peak_needs(self):
        plan = planner.plan(make_situation(demand={'a': 99, 'b': 32, 'c': 30}))
        assert {p for _, p in drains(plan, Reason.PEAK)} == {'spare'}


class TestZones:
    """Guards against a lost data centre that is not replaced at once."""

    def test_zone_out_drains_all_its_hosts_and_replaces_them(self):
        situation = make_situation(min_hosts=4, zones_out=frozenset({'z0'}))
        plan = planner.plan(situation)
        out = {h.name for h in situation.hosts if h.zone == 'z0'}
        assert {host for host, _ in drains(plan, Reason.ZONE_OUT)} == out
        assert len(drains(plan, Reason.GUARANTEE)) == 3
        assert plan.charges.lost_zones == 4

    def test_hosts_of_a_zone_out_are_not_assigned(self):
        situation = change(
            make_situation(zones_out=frozenset({'z0'})),
            {'h0': {'state': State.RELEASED}},
        )
        plan = planner.plan(situation)
        assert 'h0' not in {action.host for action in plan.actions}

    def test_a_returning_zone_ramps_up_in_steps(self):
        situation = make_situation(per_pool=8, now_ms=100_000)
        released = {
            h.name: {'state': State.RELEASED}
            for h in situation.hosts
            if h.zone == 'z1'
        }
        situation = change(situation, released)
        assert len(planner.plan(situation).actions) == 2
        for age_ms, count in ((1_000, 0), (5_000, 2)):
            later = dataclasses.replace(
                situation, returned_ms=(('z1', 100_000 - age_ms),)
            )
            assert len(planner.plan(later).actions) == count


class TestOperators:
    """Guards against requested moves that are lost or break a guarantee."""

    def test_moves_a_host_to_the_wanted_pool(self):
        situation = change(make_situation(), {'h0': {'wanted_pool': 'b'}})
        assert drains(planner.plan(situation), Reason.OPERATOR) == [
            ('h0', 'a')
        ]
        released = change(situation, {'h0': {'state': State.RELEASED}})
        assign = model.Assign('h0', 'b', Reason.OPERATOR)
        assert planner.plan(released).actions == (assign,)

    def test_waits_while_the_pool_is_at_its_guarantee(self):
        situation = change(
            make_situation(min_hosts=4), {'h0': {'wanted_pool': 'b'}}
        )
        assert drains(planner.plan(situation), Reason.OPERATOR) == []


@strategies.composite
def layouts(draw):
    """Draw a Situation in the middle of moves, failures and maintenance."""
    situation = make_situation(
        min_hosts=draw(strategies.integers(0, 4)),
        zones=draw(strategies.integers(2, 4)),
        per_pool=draw(strategies.integers(2, 6)),
        wall_s=resources.FIVE_WEEKS_MS,
        demand={
            pool: draw(strategies.integers(0, 60)) for pool in ('a', 'b', 'c')
        },
    )
    names = [host.name for host in situation.hosts]
    some = strategies.sets(strategies.sampled_from(names), max_size=4)
    states = {
        name: {'state': draw(strategies.sampled_from(list(State)))}
        for name in draw(some)
    }
    for name in draw(some):
        states.setdefault(name, {})['wanted_pool'] = draw(
            strategies.sampled_from(('a', 'b', 'spare'))
        )
    return dataclasses.replace(
        change(situation, states),
        failed=frozenset(draw(some)),
        leaving=frozenset(draw(some)),
        drained=frozenset(names),
        zones_out=frozenset(draw(strategies.sampled_from(((), ('z0',))))),
    )


class TestBudgets:
    """G10: guards against plans whose actions together break a budget."""

    @hypothesis.given(layouts())
    @hypothesis.settings(
        derandomize=True, max_examples=400, deadline=None, database=None
    )
    def test_no_chosen_drain_breaks_a_budget(self, situation):
        plan = planner.plan(situation)
        lost = planner.budget.lost_zones(situation)
        chosen = [
            action
            for action in plan.actions
            if isinstance(action, model.StartDrain)
            and action.reason not in model.FORCED | {Reason.GUARANTEE}
        ]
        reclaimed = {host for host, _ in drains(plan, Reason.GUARANTEE)}
        gone = reclaimed | {action.host for action in chosen}
        after = dataclasses.replace(situation, failed=situation.failed | gone)
        mins = {pool.name: pool.min_slots for pool in situation.pools}
        up = [h for h in after.hosts if oracles.is_available(h, after)]
        if chosen and not lost:
            assert oracles.worst_loss(after) <= 0
        elif chosen:
            assert oracles.lacking(up, mins) <= 0
        for host in situation.hosts:
            if host.name in gone:
                count = sum(h.pool == host.pool for h in up)
                assert count * oracles.UNIT >= mins[host.pool]

    @hypothesis.given(layouts())
    @hypothesis.settings(
        derandomize=True, max_examples=200, deadline=None, database=None
    )
    def test_each_host_has_one_action_that_fits_its_state(self, situation):
        actions = planner.plan(situation).actions
        hosts = {host.name: host for host in situation.hosts}
        expected = {
            model.StartDrain: State.SERVING,
            model.Release: State.DRAINING,
            model.StartMaintenance: State.DRAINING,
            model.Assign: State.RELEASED,
            model.EndMaintenance: State.MAINTENANCE,
        }
        assert len({action.host for action in actions}) == len(actions)
        for action in actions:
            assert hosts[action.host].state is expected[type(action)]

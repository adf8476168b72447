"""Tests of the capacity experiments."""

import pytest

from figtray.bench import capacity
from figtray.bench import fleet as fleet_lib
from figtray.capacity import duty as duty_lib
from figtray.configuration import resources


class TestExperiments:
    """Guards against a measure that got worse, or that measures nothing."""

    def test_fewest_moves_are_those_of_the_linear_program(self):
        # 40 hosts: 12 at a peak and 12 - k in each other pool, so that
        # 12 + 3 * (12 - k) <= 40 on average over the four peaks.
        assert capacity.fewest_moves(fleet_lib.COOPERATIVE) == 11
        assert capacity.fewest_moves(fleet_lib.BUREAU) == 8

    def test_moves_stay_near_the_fewest(self):
        row = capacity.moves(fleet_lib.BUREAU, cycles=3)
        assert row.ratio <= 1.2 < row.greedy_moves / row.fewest_moves
        assert row.unmoved_served < 0.9 < row.planner_served

    def test_least_reserve(self):
        pairs = ((24, 4), (16, 3), (1, 3), (6, 4))
        reserves = [capacity._least_reserve(*pair) for pair in pairs]
        assert reserves == [8, 8, 1, 2]

    def test_slope_has_a_row_for_each_size(self):
        slope = capacity.planner_slope(((32, 4), (64, 4)), repeats=1)
        assert [row.hosts for row in slope.rows] == [32, 64]
        assert slope.mb_residual < 0.001
        assert len(list(capacity.format_table(slope.rows))) == 4


class TestReturn:
    """G4, G10: guards against a surge when a data centre comes back."""

    @pytest.mark.parametrize('taken_over_s', [None, 27])
    def test_hosts_come_back_in_steps_and_all_of_them(self, taken_over_s):
        fleet = fleet_lib.Fleet(fleet_lib.COOPERATIVE)
        counts = []
        for second in range(60):
            if second in (5, 25):
                fleet.set_zone('dc-1', in_service=second == 25)
            if second == taken_over_s:
                fleet.duty = duty_lib.CapacityDuty(
                    fleet.writer,
                    fleet.observer,
                    fleet.demand,
                    fleet.clock,
                    fleet.wall_s,
                )
            fleet.work(capacity.demand_at(fleet.deployment, second))
            fleet.control()
            serving = [
                name
                for pool in fleet.deployment.pools
                for name in fleet.serving(pool)
            ]
            counts.append(
                sum(fleet.hosts[name].zone == 'dc-1' for name in serving)
            )
        assert counts[5:25] == [0] * 20
        assert counts[-1] == 10
        assert max(b - a for a, b in zip(counts[6:], counts[7:])) <= 3

    def test_a_zone_lost_by_failure_is_replaced(self):
        fleet = fleet_lib.Fleet(fleet_lib.BUREAU)
        for second in range(60):
            if second == 20:
                zone = fleet.hosts['host-000'].zone
                fleet.down = {
                    name
                    for name, spec in fleet.hosts.items()
                    if spec.zone == zone
                }
            fleet.work(capacity.demand_at(fleet.deployment, second))
            fleet.control()
        charges = fleet.duty.last_plan.charges
        assert charges.lost_zones == len(fleet.down) == 10
        for pool in fleet.deployment.pools[:-1]:
            assert len(fleet.serving(pool)) >= fleet.deployment.min_hosts
        # Failed hosts serve again as soon as they are back, without a write;
        # one was on the move when it was lost.
        states = [fleet.hosts[name].state for name in fleet.down]
        assert states.count(resources.HostState.SERVING) == 9

"""Tests of the numbers of hosts that pools need."""

from figtray.jobs import queues
from figtray.scheduling import pool_load
from figtray.upkeep import host_needs
from figtray.upkeep.tests import support


class TestWantedWorkers:
    def test_processor_time(self):
        load = pool_load.PoolLoad(lasting_milli=8000, short_milli=24_000)
        assert host_needs.wanted_workers(load, 0, support.HOST_CAPACITY) >= 4

    def test_memory(self):
        load = pool_load.PoolLoad(memory_mb=5 * 64_000)
        assert host_needs.wanted_workers(load, 0, support.HOST_CAPACITY) >= 5

    def test_spread(self):
        load = pool_load.PoolLoad(spread=6)
        assert host_needs.wanted_workers(load, 0, support.HOST_CAPACITY) >= 6

    # Otherwise a task of a step that uses all workers could not move to
    # another one before the upkeep of its host.
    def test_due_upkeep_adds_a_worker(self):
        load = pool_load.PoolLoad(spread=6, due=2)
        assert host_needs.wanted_workers(load, 0, support.HOST_CAPACITY) >= 7

    def test_minimum_on_a_small_site(self):
        cfg = queues.Config(1, [], [queues.Pool('main')], [])
        assert host_needs.base_workers(1, cfg) >= host_needs.MIN_WORKERS


class TestDemandTrend:
    def forecast(self, *demands):
        """Return the last forecast for demands 1000 ms apart."""
        trend = host_needs.DemandTrend()
        for number, demand in enumerate(demands):
            load = pool_load.PoolLoad(short_milli=demand)
            rise = trend.forecast_rise(load, 1000 * number)
        return rise

    def test_forecast_without_a_rise(self):
        assert self.forecast(5000) == 0
        assert self.forecast(5000, 5000) == 0
        assert self.forecast(5000, 1000) == 0

    def test_rise_is_extrapolated(self):
        assert self.forecast(10_000, 10_100) == (
            100 * host_needs.FORECAST_MS / 1000
        )

    # A burst of jobs would otherwise add all spare hosts.
    def test_forecast_is_unlimited(self):
        assert self.forecast(1000, 10_000) == (
            10_000 * host_needs.MAX_RISE_SHARE
        )

    # A rise that has ended would otherwise add hosts again and again.
    def test_old_rise_is_extrapolated(self):
        assert self.forecast(1000, 10_000, 10_000) == 0

"""Tests of the slope measurements."""

import math
import os
import time

import pytest

from figtray.bench import resident
from figtray.bench import slopes
from figtray.events import log


class TestFit:
    """Guards against slopes that the data do not have."""

    def test_line(self):
        found = slopes.fit([(8, 19), (1, 5), (4, 11), (2, 7)])
        assert found.slope == pytest.approx(2)
        assert found.intercept == pytest.approx(3)
        assert found.largest == pytest.approx(0, abs=1e-12)
        assert found.is_linear

    def test_residuals_are_relative_to_the_mean(self):
        # The line is 10 * size; the points are 1 above or below it.
        found = slopes.fit([(1, 11), (2, 19), (3, 29), (4, 41)])
        assert found.slope == pytest.approx(10)
        assert found.rms == pytest.approx(1 / 25)
        assert found.largest == pytest.approx(1 / 25)

    def test_power_law(self):
        found = slopes.fit([(n, 3 * n**2) for n in (1, 2, 4, 8, 16)])
        assert not found.is_linear
        assert found.exponent == pytest.approx(2)
        assert found.last_exponent == pytest.approx(2)
        assert found.power_rms == pytest.approx(0, abs=1e-9)
        assert 'NOT LINEAR: exponent 2.00' in slopes.describe(
            [(n, 3 * n**2) for n in (1, 2, 4, 8, 16)]
        )

    def test_constant_and_zero(self):
        assert slopes.fit([(1, 7), (2, 7), (4, 7)]).slope == 0
        found = slopes.fit([(1, 0), (2, 0), (4, 0)])
        assert found.is_linear
        assert math.isnan(found.exponent)

    def test_a_size_that_was_not_reached(self):
        assert 'out of time' in slopes.describe([(1, 7)])


class TestReference:
    """Guards against times that are those of a slower processor."""

    def test_scales_to_the_best_pace(self):
        reference = slopes.Reference()
        reference.first_us = 200
        reference.least_us = 100
        scaled_us = reference.scale(60, 390, 410)
        assert scaled_us == pytest.approx(30)
        assert scaled_us * reference.correction == pytest.approx(15)

    def test_nothing_measured(self):
        assert slopes.Reference().correction == 1


class TestMeasurements:
    """Guards against measurements that break with the code they measure."""

    @pytest.mark.parametrize('group', slopes.GROUPS, ids=lambda g: g.name)
    def test_runs_at_a_tiny_size(self, group):
        log.setup('error', os.devnull, 'test')
        try:
            values = group.measure(group.tiny_size, 1)
        finally:
            log.reset()
        assert values
        assert all(math.isfinite(value) for value in values.values())
        assert len(group.sizes) >= 4 <= len(group.quick_sizes)

    def test_stops_when_the_time_is_over(self):
        group = slopes.GROUPS[0]
        record = slopes.measure([group], False, time.monotonic() - 1)
        assert record == {group.name: {}}

    def test_exchange_counts_headers_of_each_message_and_segment(self):
        message = slopes.MESSAGE_OVERHEAD_BYTES
        assert slopes.exchange_bytes(100, 50) == 150 + 2 * message
        assert slopes.exchange_bytes(3000, 50) == 3050 + 2 * message + 2 * (
            slopes.SEGMENT_OVERHEAD_BYTES
        )

    def test_brief_status_does_not_grow(self):
        sizes = [
            slopes.measure_heartbeat(pairs, 1, pools=2) for pairs in (2, 20)
        ]
        brief = [size['brief status reply (bytes)'] for size in sizes]
        assert brief[0] == brief[1]
        full = [size['status reply (bytes)'] for size in sizes]
        assert full[0] < full[1]


class TestResident:
    """Guards against figures of another process or of nothing."""

    def test_reads_both_figures(self):
        text = 'VmPeak:\t  90 kB\nVmHWM:\t  80 kB\nVmRSS:\t  70 kB\n'
        assert resident.read_status(text) == (70, 80)

    @pytest.mark.parametrize('role', resident.MODULES)
    def test_constructs_the_objects_of_each_program(self, role):
        kept = resident.construct(role, 4)
        assert bool(kept) == (role != 'interpreter')

"""Tests of the planned requests and the histogram."""

import random

from figtray.load import histogram
from figtray.load import schedule
from figtray.load import settings


def make_cfg(**changes):
    teams = tuple(
        settings.TeamLoad(f'team-{n}', f'queue-{n}', 20.0, keyed_part=0.1)
        for n in range(5)
    )
    fields = {
        'entries': ('127.0.0.1:1',),
        'teams': teams,
        'duration_ms': 60_000,
    }
    return settings.LoadSettings(**(fields | changes))


class TestPlan:
    """Guards against a load that differs from the settings."""

    def test_same_seed_same_plan(self):
        assert schedule.plan(make_cfg()) == schedule.plan(make_cfg())
        assert schedule.plan(make_cfg()) != schedule.plan(make_cfg(seed=2))

    def test_rates_have_peaks_in_turn_and_keep_the_mean(self):
        cfg = make_cfg()
        planned = [p for p in schedule.plan(cfg) if not p.is_repeat]
        assert abs(len(planned) - 6000) < 400
        peak = [p for p in planned if p.load == 2 and 12e3 < p.at_ms < 17e3]
        trough = [p for p in planned if p.load == 2 and p.at_ms < 12e3]
        assert abs(len(peak) - 5 * 20 * 5) < 80
        assert len(trough) < 40

    def test_keyed_request_is_sent_twice_with_one_token(self):
        planned = schedule.plan(make_cfg())
        repeats = {p.token for p in planned if p.is_repeat}
        assert 400 < len(repeats) < 800
        assert len({p.token for p in planned}) == len(planned) - len(repeats)


class TestHistogram:
    """Guards against wrong quantiles and results lost in JSON."""

    def test_quantiles_within_five_percent(self):
        rng = random.Random(5)
        values = sorted(rng.lognormvariate(3, 2) for _ in range(10_000))
        times = histogram.Histogram()
        for value in values:
            times.add(value)
        for part in (0.5, 0.9, 0.99):
            exact = values[int(part * 10_000) - 1]
            assert exact <= times.quantile(part) <= exact * 1.05
        assert times.quantile(1.0) == values[-1]
        assert times.maximum == values[-1]

    def test_survives_data_and_merges(self):
        first, second = histogram.Histogram(), histogram.Histogram()
        first.add(3)
        second.add(300)
        first.merge(histogram.Histogram.from_data(second.to_data()))
        assert (first.count, first.maximum, first.mean()) == (2, 300, 151.5)
        assert histogram.Histogram().quantile(0.99) == 0

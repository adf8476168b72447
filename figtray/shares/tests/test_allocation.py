"""Tests of the division of slots."""

import hypothesis
from hypothesis import strategies as st

from figtray.shares import allocation


def demand(team, queued, weight=1, limit=1000, running=0, urgent=0):
    return allocation.Demand(team, weight, limit, running, queued, urgent)


demand_lists = st.lists(
    st.builds(
        allocation.Demand,
        team=st.sampled_from('abcdefghij'),
        weight=st.integers(1, 50),
        limit=st.integers(0, 60),
        running=st.integers(0, 40),
        queued=st.integers(0, 400),
        urgent=st.integers(0, 50),
    ),
    unique_by=lambda d: d.team,
)


class TestAllocate:
    """Guards against unfair, lost or invented slots."""

    def test_unused_share_goes_to_the_others(self):
        demands = [demand('a', 2), demand('b', 100), demand('c', 100)]
        assert allocation.allocate(12, demands) == {'a': 2, 'b': 5, 'c': 5}

    def test_weights_and_limits(self):
        demands = [
            demand('a', 100, weight=3),
            demand('b', 100, weight=1),
            demand('c', 100, weight=4, limit=4),
        ]
        assert allocation.allocate(16, demands) == {'a': 9, 'b': 3, 'c': 4}

    def test_urgent_excess_is_bounded(self):
        demands = [demand('a', 500, urgent=500), demand('b', 500)]
        got = allocation.allocate(200, demands)
        assert got == {'a': 105, 'b': 95}

    def test_share_below_one_slot_is_served_over_turns(self):
        demands = [demand(f't{n:02}', 50) for n in range(30)]
        sums = dict.fromkeys((d.team for d in demands), 0)
        for turn in range(30):
            for team, count in allocation.allocate(10, demands, turn).items():
                sums[team] += count
        assert all(8 <= total <= 12 for total in sums.values())

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(st.integers(0, 300), demand_lists, st.integers(0, 10**6))
    def test_uses_all_and_respects_caps(self, capacity, demands, turn):
        got = allocation.allocate(capacity, demands, turn)
        wanted = sum(d.wanted for d in demands)
        assert sum(got.values()) == min(capacity, wanted)
        fair = allocation.fair_shares(capacity, demands)
        for d in demands:
            assert 0 <= got[d.team] <= d.wanted
            bound = capacity * allocation.URGENT_EXCESS + 1
            assert got[d.team] > fair[d.team] - bound
        assert got == allocation.allocate(capacity, demands[::-1], turn)


class TestPortions:
    """Guards against portions that overlap or leave slots unused."""

    def test_every_entry_gets_its_turn(self):
        by_entry = {f'entry-{n}': {'a': 10} for n in range(9)}
        sums = dict.fromkeys(by_entry, 0)
        for turn in range(18):
            parts = allocation.portions({'a': 2}, by_entry, turn)
            for entry, part in parts.items():
                sums[entry] += part['a']
        assert sum(sums.values()) == 36
        assert set(sums.values()) <= {3, 4, 5}

    @hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
    @hypothesis.given(
        st.integers(0, 100),
        st.lists(st.integers(0, 60), max_size=9),
        st.integers(0, 10**6),
    )
    def test_adds_up_within_demand(self, total, demands, turn):
        by_entry = {f'e{n}': {'a': d} for n, d in enumerate(demands)}
        parts = allocation.portions({'a': total}, by_entry, turn)
        got = [parts[f'e{n}'].get('a', 0) for n in range(len(demands))]
        assert sum(got) == min(total, sum(demands))
        for part, wanted in zip(got, demands):
            assert part <= wanted
            quota = total * wanted / max(1, sum(demands))
            assert part == wanted or abs(part - quota) < 1

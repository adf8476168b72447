"""Tests of the verdict on a task, by the crashes under it."""

import hypothesis
from hypothesis import strategies as st
import pytest

from figtray.blame import evidence
from figtray.blame import verdicts

HOUR_MS = 3_600_000


def make_rows(*ages_and_ups, **fields):
    """Return evidence of crashes, each on another host."""
    return tuple(
        evidence.Crash(
            run,
            f'host-{run}',
            age_ms,
            up_ms,
            **{'arrived': True, 'least_ms': age_ms or 0} | fields,
        )
        for run, (age_ms, up_ms) in enumerate(ages_and_ups)
    )


def is_at_fault(rows):
    return isinstance(verdicts.judge(rows), verdicts.TaskAtFault)


class TestTaskAtFault:
    def test_three_crashes_on_trial(self):
        rows = make_rows((50, 5000), (80, 9000), (20, 20_000), alone=True)
        assert is_at_fault(rows)

    def test_four_beside_others(self):
        rows = make_rows((50, 5000), (80, 9000), (20, 20_000), (9, 30_000))
        assert is_at_fault(rows)
        assert not is_at_fault(rows[:3])

    # A busy leader notices some of them later.
    def test_early_crashes_that_are_noticed_at_other_ages(self):
        rows = make_rows(
            (610, 3100),
            (672, 3700),
            (13, 7100),
            (9, 5900),
            (8, 4100),
            least_ms=0,
        )
        assert is_at_fault(rows)
        assert not is_at_fault(rows[:4])

    def test_late_crashes_at_the_same_age(self):
        rows = make_rows(
            (5000, 2000), (5100, 4000), (4900, 30_000), (5000, 8000)
        )
        assert is_at_fault(rows)

    def test_one_more_by_chance_before(self):
        rows = make_rows(
            (5000, 2000),
            (5100, 4000),
            (1900, 4000),
            (4900, 9000),
            (5000, 9000),
        )
        assert is_at_fault(rows)

    # The leader was lost before it saw the crash.
    def test_crashes_that_no_leader_has_seen(self):
        seen = make_rows((50, 5000), (60, 20_000))
        unseen = make_rows((2900, 40_000), (2000, 80_000), least_ms=0)
        assert is_at_fault(seen + unseen)


class TestUnproven:
    # The age of each run is that of its worker.
    def test_runs_that_begin_with_their_workers(self):
        rows = make_rows(*[(700, 100)] * 9, alone=True)
        assert not is_at_fault(rows)

    # A host that crashes some time after each of its starts.
    @pytest.mark.parametrize('life_ms', [1200, 2300, 4400])
    def test_same_life_of_each_worker(self, life_ms):
        rows = make_rows(
            *[(life_ms - up_ms, up_ms) for up_ms in range(1000, life_ms, 90)],
            alone=True,
        )
        assert not is_at_fault(rows)

    def test_ages_that_differ(self):
        rows = make_rows(
            (900, 2000), (4000, 9000), (1700, 30_000), (3000, 2000), (7000, 0)
        )
        assert not is_at_fault(rows)

    def test_run_that_went_on_for_longer(self):
        rows = make_rows((50, 5000), (80, 9000), (20, 20_000), (9, 30_000))
        assert not is_at_fault((*rows, *make_rows((3000, 9000))))

    # A start was sent to a worker that was down already.
    def test_starts_that_have_not_arrived(self):
        rows = make_rows(*[(50, 5000 * n) for n in range(9)], arrived=False)
        assert not is_at_fault(rows)

    # It crashes without the task as well.
    def test_hosts_that_crash_in_a_row_without_the_task(self):
        rows = make_rows(
            *[(50, 5000 * n) for n in range(9)], alone=True, others=4
        )
        assert not is_at_fault(rows)

    def test_what_is_not_known(self):
        rows = make_rows((None, 5000), (50, None), (None, None))
        assert not is_at_fault(rows * 3)

    @hypothesis.given(
        life_ms=st.integers(100, HOUR_MS),
        ups=st.lists(st.floats(0, 1), min_size=1, max_size=12),
        late_ms=st.lists(st.integers(0, 50), min_size=12, max_size=12),
        alone=st.booleans(),
    )
    def test_no_host_of_one_life_shows_guilt(
        self, life_ms, ups, late_ms, alone
    ):
        rows = make_rows(
            *[
                (life_ms - int(up * life_ms) + late, int(up * life_ms))
                for up, late in zip(ups, late_ms)
            ],
            alone=alone,
        )
        assert not is_at_fault(rows)

    @hypothesis.given(
        age_ms=st.integers(0, 20_000),
        ups=st.lists(
            st.integers(1000, HOUR_MS), min_size=4, max_size=12, unique=True
        ),
    )
    def test_deadly_task_is_found_on_any_hosts(self, age_ms, ups):
        gap_ms = verdicts.LIFE_SLACK_MS + 2 * max(
            verdicts.EARLY_MS, verdicts.ALIKE_TOLERANCE * age_ms
        )
        hypothesis.assume(max(ups) - min(ups) > gap_ms)
        assert is_at_fault(make_rows(*[(age_ms, up_ms) for up_ms in ups]))


class TestLeastUp:
    def test_it_grows_with_each_crash_to_its_bound(self):
        rows = make_rows(*[(50, 5000)] * 6)
        ups_ms = [verdicts.least_up_ms(rows[:n]) for n in range(7)]
        assert ups_ms == [0, 1000, 2000, 3000, 4000, 4000, 4000]

"""Tests of the measurement of changes."""

from figtray.bench import changes


class TestMeasure:
    """Guards against a measurement whose changes are not accepted."""

    def test_changes_are_accepted_with_a_frozen_entry(self):
        assert len(changes.measure(entries=3, changes=2, frozen=1)) == 2

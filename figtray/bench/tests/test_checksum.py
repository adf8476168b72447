"""Tests of the comparison of the rolling checksum."""

from figtray.bench import checksum


class TestRun:
    """Guards against an experiment that cannot tell the variants apart."""

    def test_only_the_checksum_detects_every_divergence(self):
        tallies = checksum.run(histories=60, seed=1)
        assert tallies == checksum.run(histories=60, seed=1)
        for (fault, checksums), tally in tallies.items():
            assert tally.histories == 60
            if fault is checksum.Fault.OLDER:
                assert tally.diverged == 0
                assert tally.taken_over == 0
            elif checksums:
                assert tally.undetected == tally.taken_over == 0
                assert tally.diverged > 50
            else:
                assert tally.undetected == tally.diverged > 50
                assert tally.taken_over > 0

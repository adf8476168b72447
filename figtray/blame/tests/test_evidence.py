"""Tests of the evidence of crashes."""

from figtray.blame import evidence


class TestRows:
    def test_run_has_one_row(self):
        rows = evidence.append((), evidence.Crash(1, 'host'))
        assert evidence.append(rows, evidence.Crash(1, 'other')) == rows

    def test_only_last_rows_are_kept(self):
        rows = ()
        for run in range(2 * evidence.MAX_ROWS):
            rows = evidence.append(rows, evidence.Crash(run, 'host'))
        assert [row.run for row in rows] == list(
            range(evidence.MAX_ROWS, 2 * evidence.MAX_ROWS)
        )

    def test_life_is_unknown_without_one_of_its_parts(self):
        assert evidence.Crash(1, 'host', 50, 1000).life_ms == 1050
        assert evidence.Crash(1, 'host', None, 1000).life_ms is None
        assert evidence.Crash(1, 'host', 50).life_ms is None


class TestProblem:
    def test_rows_of_a_leader_have_none(self):
        assert not evidence.problem((evidence.Crash(1, 'host', 50, 1000),))

    def test_odd_rows(self):
        row = evidence.Crash(1, 'host')
        assert evidence.problem((row,) * (evidence.MAX_ROWS + 1))
        assert evidence.problem((evidence.Crash(1, 'h' * 1000),))
        assert evidence.problem((evidence.Crash(1, 'host', 10**30),))

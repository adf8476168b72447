"""Tests of the report."""

import json

import pytest

from figtray.bench import report
from figtray.bench import shares
from figtray.load import results as results_lib


@pytest.fixture
def files(tmp_path):
    rows = [
        {'scenario': '<s>', 'policy': 'figtray', 'worst_deviation': 0.04},
        {'scenario': 't', 'policy': 'first come', 'urgent_p99_ms': 9000.0},
    ]
    bench = tmp_path / 'bench.json'
    bench.write_text(
        json.dumps({'kind': 'bench', 'bench': 'shares', 'rows': rows})
    )
    results = results_lib.Results()
    results.planned('team-a', False)
    results.unsent('team-a', False, 'unsent', 1234)
    load = tmp_path / 'load.json'
    load.write_text(json.dumps({'kind': 'load'} | results.to_data()))
    return [str(bench), str(load)]


class TestReport:
    """Guards against a report that hides a missed target or a team."""

    def test_text_and_html(self, files, tmp_path, capsys):
        page = tmp_path / 'report.html'
        assert report.main([*files, '--html', str(page)]) == 0
        text = capsys.readouterr().out
        assert 'Share: worst deviation: <s>, figtray: 0.04' in text
        assert text.count('MISSED') == 1
        assert 'unsent 1, waited up to 1234 ms' in text
        document = page.read_text()
        assert '&lt;s&gt;' in document and '<s>' not in document
        assert document.count('data:image/png;base64,') == 3
        assert 'http' not in document

    def test_file_without_results(self, tmp_path, capsys):
        bad = tmp_path / 'bad.json'
        for text in ('{', '[]', '{"kind": "load"}'):
            bad.write_text(text)
            assert report.main([str(bad)]) == 2
            assert 'bad.json' in capsys.readouterr().err


class TestSharesExperiment:
    """Guards against an experiment that differs from run to run."""

    def test_same_seed_same_row(self):
        scenario = shares.Scenario(
            's', 3, 12, (2, 1), 2.0, 400, urgent_part=0.1, duration_ms=17_000
        )
        row = shares.measure(scenario, shares.Shared, [1])
        assert row == shares.measure(scenario, shares.Shared, [1])
        assert row.windows and row.use > 0.95
        # Bounds well above the figures of this seed, for gross faults only.
        assert row.worst_deviation < 0.15
        assert row.urgent_p99_ms < 3700

    def test_no_team_of_few_slots_starves(self):
        scenario = shares.Scenario(
            's', 9, 4, (1,) * 6, 2.0, 400, duration_ms=17_000
        )
        world = shares.World(scenario, shares.Shared, 1)
        world.run()
        used = {
            team: sum(sample[team][0] for sample in world.samples)
            for team in world.weights
        }
        assert min(used.values()) > 0.5 * max(used.values())

"""Tests of the command line of the soak."""

import pytest
import typer.testing

from figtray import program
from figtray.soak import main


@pytest.fixture
def invoke():
    app = typer.Typer()
    app.command()(main.main)
    runner = typer.testing.CliRunner()
    return lambda *args: runner.invoke(app, args)


class TestDirectory:
    # The program ended with a traceback.
    def test_file_in_place_of_the_directory(self, invoke, tmp_path):
        path = tmp_path / 'file'
        path.touch()
        result = invoke(str(path), '--seed', '1')
        assert result.exit_code == program.ExitStatus.INVALID
        assert str(path) in result.output
        assert 'Traceback' not in result.output

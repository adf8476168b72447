"""figtray-load: command line of the load generator."""

import json
import pathlib
import signal
import typing

import msgspec
import typer

import figtray
from figtray import clock as clock_lib
from figtray import errors
from figtray.load import results as results_lib
from figtray.load import runner as runner_lib
from figtray.load import settings as settings_lib
from figtray import program
from figtray.settings import loader

_HIDDEN = 'key'


def run_load(
    settings: typing.Annotated[
        str, typer.Option(metavar='FILE', help='Settings file.')
    ] = '',
    check_config: typing.Annotated[
        bool, typer.Option('--check-config', help='Check the file and exit.')
    ] = False,
    version: typing.Annotated[
        bool, typer.Option('--version', help='Show the version and exit.')
    ] = False,
    seed: typing.Annotated[
        int | None, typer.Option(help='Seed, instead of the one in the file.')
    ] = None,
    seconds: typing.Annotated[
        int | None, typer.Option(min=1, max=86_400, help='Length of the run.')
    ] = None,
    threads: typing.Annotated[
        int | None, typer.Option(min=1, max=1024, help='Requests under way.')
    ] = None,
    output: typing.Annotated[
        str, typer.Option(metavar='FILE', help='Write the results as JSON.')
    ] = '',
):
    """Send requests to the callers' API at planned times and report."""
    if version:
        typer.echo(f'figtray-load {figtray.__version__}')
        raise typer.Exit(program.ExitStatus.STOPPED)
    if not settings:
        typer.echo('figtray-load: --settings FILE is missing', err=True)
        raise typer.Exit(program.ExitStatus.INVALID)
    try:
        cfg = loader.load(settings, settings_lib.LoadSettings)
    except errors.SettingsError as exc:
        typer.echo(f'figtray-load: {exc}', err=True)
        raise typer.Exit(program.ExitStatus.INVALID) from exc
    if check_config:
        typer.echo(f'{settings}: the settings are valid')
        raise typer.Exit(program.ExitStatus.STOPPED)
    changes = {
        'seed': seed,
        'duration_ms': seconds and seconds * 1000,
        'threads': threads,
    }
    cfg = msgspec.structs.replace(
        cfg, **{k: v for k, v in changes.items() if v is not None}
    )
    runner = runner_lib.Runner(cfg, clock_lib.SystemClock())
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda _signum, _frame: runner.stop())
    data = to_data(cfg, runner.run())
    if output:
        pathlib.Path(output).write_text(json.dumps(data, indent=1))
    typer.echo(results_lib.to_text(data))
    if any(data['checks'].values()):
        typer.echo('figtray-load: a check failed', err=True)
        raise typer.Exit(program.ExitStatus.FAILED)


def to_data(cfg, results):
    """Return results and settings as plain data, without the caller keys."""
    plain = msgspec.to_builtins(cfg)
    for load in plain['teams']:
        load.pop(_HIDDEN)
    return {'kind': 'load', 'settings': plain} | results.to_data()


def main(args=None):
    """Run the command line; never returns."""
    app = typer.Typer(
        add_completion=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
    )
    app.command()(run_load)
    app(args, prog_name='figtray-load')


if __name__ == '__main__':
    main()

"""Program figtray-soak, which runs the soak and reports violations."""

import pathlib
import random
import signal
import sys
import typing

import typer

from figtray import program
from figtray.soak import report
from figtray.soak import soak


def main(
    directory: str = typer.Argument(help='Where logs and reports go.'),
    seed: int = typer.Option(0, help='First seed; 0 takes random ones.'),
    seeds: int = typer.Option(1, min=1, help='Number of seeds.'),
    length_s: float = typer.Option(20, min=1, help='Time with faults.'),
    nodes: int = typer.Option(3, min=1, max=100, help='Number of nodes.'),
    deadly_jobs: int = typer.Option(
        0, min=0, help='Number of jobs whose tasks crash their workers.'
    ),
    plot: typing.Annotated[
        bool, typer.Option(help='Draw a timeline of each seed.')
    ] = False,
):
    """Play seeds; exit with 1 if a promise was broken."""
    # SystemExit unwinds Soak.run(), which then kills the nodes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed_seeds = 0
    for offset in range(seeds):
        run_seed = seed + offset if seed else random.getrandbits(31)
        seed_directory = pathlib.Path(directory) / f'seed-{run_seed}'
        _make_directory(seed_directory)
        result = soak.Soak(
            run_seed,
            length_s,
            nodes,
            seed_directory,
            deadly_jobs=deadly_jobs,
        ).run()
        (seed_directory / 'report.json').write_bytes(report.encode(result))
        if plot:
            report.draw_timeline(result, seed_directory / 'timeline.png')
        typer.echo(report.summarize(result))
        failed_seeds += bool(result.violations)
    sys.exit(1 if failed_seeds else 0)


def _make_directory(path):
    try:
        path.mkdir(parents=True, exist_ok=True)
    except OSError as exc:
        typer.echo(f'figtray-soak: {exc}', err=True)
        raise typer.Exit(program.ExitStatus.INVALID) from exc


def run():
    """Run the program."""
    typer.run(main)


if __name__ == '__main__':
    run()

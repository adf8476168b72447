"""figtray-soak: plays seeds of the soak and reports what was broken."""

import pathlib
import random
import signal
import sys
import typing

import typer

from figtray.soak import report
from figtray.soak import soak


def main(
    directory: str = typer.Argument(help='Where logs and reports go.'),
    seed: int = typer.Option(0, help='First seed; 0 takes random ones.'),
    seeds: int = typer.Option(1, min=1, help='Number of seeds.'),
    length_s: float = typer.Option(20, min=1, help='Time with faults.'),
    nodes: int = typer.Option(3, min=1, max=100, help='Number of nodes.'),
    plot: typing.Annotated[
        bool, typer.Option(help='Draw a timeline of each seed.')
    ] = False,
):
    """Play seeds; exit with 1 if a promise was broken."""
    # An exception ends the nodes on the way out.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    broken = 0
    for number in range(seeds):
        chosen = seed + number if seed else random.getrandbits(31)
        place = pathlib.Path(directory) / f'seed-{chosen}'
        place.mkdir(parents=True, exist_ok=True)
        result = soak.Soak(chosen, length_s, nodes, place).run()
        (place / 'report.json').write_bytes(report.encode(result))
        if plot:
            report.draw(result, place / 'timeline.png')
        typer.echo(report.summary(result))
        broken += bool(result.violations)
    sys.exit(1 if broken else 0)


def run():
    """Run the program."""
    typer.run(main)


if __name__ == '__main__':
    run()

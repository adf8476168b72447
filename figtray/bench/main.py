"""figtray-bench: command line of the experiments and the report."""

import sys

import figtray
from figtray.bench import report
from figtray.bench import shares

COMMANDS = {'report': report.main, 'shares': shares.main}


def main(args=None):
    """Run a command; never returns.

    Args:
        args: arguments; those of the command line by default.

    Raises:
        SystemExit: with the status of the command, or 2 for wrong usage.
    """
    args = list(sys.argv[1:] if args is None else args)
    usage = f'usage: figtray-bench {{{",".join(COMMANDS)}}} [options]'
    match args:
        case ['--version']:
            print(f'figtray-bench {figtray.__version__}')
            raise SystemExit(0)
        case ['--help' | '-h']:
            print(usage)
            raise SystemExit(0)
        case [name, *rest] if name in COMMANDS:
            raise SystemExit(COMMANDS[name](rest))
        case _:
            print(usage, file=sys.stderr)
            raise SystemExit(2)


if __name__ == '__main__':
    main()

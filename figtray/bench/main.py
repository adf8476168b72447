"""figtray-bench: the experiments and measurements as one command."""

import runpy
import sys

import typer

import figtray

# Module of each command. They are imported when asked for: some load
# numpy or matplotlib.
COMMANDS = {
    'capacity': ('figtray.bench.capacity', 'buffer, moves, waves, outages'),
    'shares': ('figtray.bench.shares', 'shares and urgent starts'),
    'checksum': ('figtray.bench.checksum', 'rolling checksum of the history'),
    'changes': ('figtray.bench.changes', 'configuration changes over peers'),
    'slopes': ('figtray.bench.slopes', 'cost of each role by size'),
    'path': ('figtray.bench.path', 'request path of a running system'),
    'report': ('figtray.bench.report', 'text or HTML report of results'),
}
# Runs that make up the table of all policy measures; about ten minutes.
MEASURES = (
    ('capacity', ()),
    ('changes', ()),
    ('shares', ('--seeds', '1')),
)

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help='Experiments with fixed seeds; --help after a command explains it.',
)


def _run_module(command, args):
    saved = sys.argv
    sys.argv = [f'figtray-bench {command}', *args]
    try:
        runpy.run_module(COMMANDS[command][0], run_name='__main__')
    finally:
        sys.argv = saved


def _add(command, help_text):
    @app.command(
        command,
        help=help_text,
        context_settings={
            'allow_extra_args': True,
            'ignore_unknown_options': True,
            'help_option_names': [],
        },
    )
    def run(ctx: typer.Context):
        _run_module(command, ctx.args)


for _name, (_, _help) in COMMANDS.items():
    _add(_name, _help)


@app.command('measures', help='All policy measures for both deployments.')
def run_measures():
    """Run the experiments of all policy measures with their seeds."""
    for command, args in MEASURES:
        _run_module(command, args)


@app.command('version', help='Show the version.')
def show_version():
    """Print the version."""
    typer.echo(f'figtray-bench {figtray.__version__}')


def main():
    """Run the command line; never returns."""
    app(prog_name='figtray-bench')


if __name__ == '__main__':
    main()

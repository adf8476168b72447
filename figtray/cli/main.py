"""Program figtray, the operators' command line."""

import contextlib
import typing

import typer

import figtray
from figtray.api import client as client_lib
from figtray.api import edits as edits_lib
from figtray.cli import comparison
from figtray.cli import config_commands
from figtray.cli import documents
from figtray.cli import failures
from figtray.cli import key_commands
from figtray.cli import options
from figtray.cli import output as output_lib
from figtray.cli import session as session_lib
from figtray.cli import zone_commands
from figtray.configuration import resources

app = typer.Typer(
    cls=failures.Group,
    help='Operate a figtray deployment.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
app.add_typer(config_commands.app, name='config')
app.add_typer(key_commands.app, name='key')
app.add_typer(zone_commands.app, name='zone')


def _show_version(wanted):
    if wanted:
        typer.echo(f'figtray {figtray.__version__}')
        raise typer.Exit()


@app.callback()
def _options(
    ctx: typer.Context,
    server: typing.Annotated[
        str,
        typer.Option(envvar='FIGTRAY_SERVER', help='host:port of the API.'),
    ] = '',
    credential_file: typing.Annotated[
        str,
        typer.Option(
            envvar='FIGTRAY_CREDENTIAL_FILE',
            help='File with the bearer credential.',
        ),
    ] = '',
    output: typing.Annotated[
        output_lib.OutputFormat, typer.Option(help='Form of the output.')
    ] = output_lib.OutputFormat.TABLE,
    version: typing.Annotated[
        bool,
        typer.Option(
            '--version',
            callback=_show_version,
            is_eager=True,
            help='Show the version and exit.',
        ),
    ] = False,
):
    # Tests inject a client through the context object.
    injected_client = ctx.obj
    ctx.obj = session_lib.Session(
        lambda: injected_client
        or session_lib.make_client(server, credential_file),
        output,
    )


@app.command()
def get(ctx: typer.Context, kind: options.KindArg, name: options.NameArg):
    """Show one resource."""
    item = ctx.obj.client.get(kind, name)
    rows = [('version', item['version']), *item['spec'].items()]
    ctx.obj.show(item, ('field', 'value'), rows)


@app.command('list')
def list_resources(
    ctx: typer.Context,
    kind: options.KindArg,
    prefix: typing.Annotated[
        str, typer.Option(help='Start of the names to show.')
    ] = '',
):
    """List the resources of a kind."""
    _show_resources(ctx.obj, kind, list(ctx.obj.client.list(kind, prefix)))


def _show_resources(session, kind, items):
    fields = resources.SPEC_TYPES[kind].__struct_fields__
    rows = [
        (
            item['name'],
            item['version'],
            *(item['spec'].get(field) for field in fields),
        )
        for item in items
    ]
    session.show(items, ('name', 'version', *fields), rows)


@app.command()
def apply(
    ctx: typer.Context,
    path: options.PathArg,
    dry_run: typing.Annotated[
        bool, typer.Option('--dry-run', help='Check without changing.')
    ] = False,
    watch: options.WatchOption = False,
    timeout_ms: options.TimeoutMsOption = options.DEFAULT_TIMEOUT_MS,
):
    """Create and replace the resources of a file or directory.

    Up to 100 resources are changed in one atomic change; more are changed
    in several, referenced kinds first.
    """
    session = ctx.obj
    loaded = documents.load(path)
    differences = comparison.compute(session.client, loaded)
    edits = [difference.edit for difference in differences]
    if dry_run:
        if edits:
            session.client.change(edits, dry_run=True)
        comparison.show(session, differences)
        return
    changes = []
    for start in range(0, len(edits), edits_lib.MAX_EDITS):
        batch = edits[start : start + edits_lib.MAX_EDITS]
        with _report_partial_apply(start, len(edits)):
            changes.append(session.client.change(batch))
    rows = [
        (change['generation'], item['kind'], item['name'], item['version'])
        for change in changes
        for item in change['resources']
    ]
    session.show(changes, ('generation', 'kind', 'name', 'version'), rows)
    if watch and changes:
        session.wait_in_force(changes[-1]['generation'], timeout_ms)


@contextlib.contextmanager
def _report_partial_apply(changed, total):
    """Print how many resources were changed before an error."""
    try:
        yield
    except client_lib.ClientError:
        if changed:
            typer.echo(
                f'{changed} of {total} resources were changed before this:',
                err=True,
            )
        raise


@app.command()
def diff(ctx: typer.Context, path: options.PathArg):
    """Show what `apply` would change."""
    loaded = documents.load(path)
    comparison.show(ctx.obj, comparison.compute(ctx.obj.client, loaded))


@app.command()
def delete(
    ctx: typer.Context,
    kind: options.KindArg,
    name: options.NameArg,
    version: typing.Annotated[
        int, typer.Option(min=0, help='Expected version; 0 takes any.')
    ] = 0,
    watch: options.WatchOption = False,
    timeout_ms: options.TimeoutMsOption = options.DEFAULT_TIMEOUT_MS,
):
    """Delete a resource that nothing refers to."""
    client = ctx.obj.client
    version = version or client.get(kind, name)['version']
    item = client.delete(kind, name, version)
    ctx.obj.show_change(item, watch, timeout_ms)


@app.command()
def watch(
    ctx: typer.Context,
    generation: typing.Annotated[int, typer.Argument(min=1)],
    timeout_ms: options.TimeoutMsOption = options.DEFAULT_TIMEOUT_MS,
):
    """Wait until a generation is in force everywhere."""
    ctx.obj.wait_in_force(generation, timeout_ms)


@app.command()
def status(ctx: typer.Context):
    """Show the leader, jobs, workers and waves."""
    document = ctx.obj.client.status()
    rows = [
        *(
            ('jobs', f'{row["queue"]}, {row["state"]}', row['jobs'])
            for row in document['jobs']
        ),
        *(
            ('tasks held', f'{row["queue"]}, {row["reason"]}', row['tasks'])
            for row in document['held']
        ),
        *(
            ('workers', f'{row["pool"]}, {row["state"]}', row['workers'])
            for row in document['workers']
        ),
        *(
            ('hosts of waves', f'{row["wave"]}, {row["state"]}', row['begun'])
            for row in document['waves']
        ),
    ]
    if ctx.obj.output is output_lib.OutputFormat.TABLE:
        typer.echo(
            f'{document["deployment"]}: generation {document["generation"]}, '
            f'configuration {document["config"]}, '
            f'leader {document["leader"] or "none"} (term {document["term"]})'
        )
    ctx.obj.show(document, ('what', 'which', 'count'), rows)


def main():
    """Run the command line."""
    app(prog_name='figtray')


if __name__ == '__main__':
    main()

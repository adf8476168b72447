"""Program figtray, the operators' command line."""

import contextlib
import dataclasses
import enum
import functools
import json
import pathlib
import typing

import typer
import typer.core

import figtray
from figtray.api import client as client_lib
from figtray.api import edits as edits_lib
from figtray.cli import documents
from figtray.cli import output as output_lib
from figtray.configuration import resources
from figtray import errors

# A change has to be in force everywhere within this time at the size that the
# project is designed for, 11,000 workers.
DEFAULT_TIMEOUT_MS = 11_000
MAX_TIMEOUT_MS = 600_000


class ExitStatus(enum.IntEnum):
    """Exit statuses of the command line."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


class NotInForce(errors.FigtrayError):
    """A generation was not in force before the timeout."""

    msg_fmt = 'Generation {generation} is not in force after {timeout_ms} ms.'


class UsageError(errors.FigtrayError):
    """An option is missing or has an unusable value."""


@dataclasses.dataclass(frozen=True)
class Session:
    """Shared state of a command: client factory and output format."""

    make_client: typing.Callable
    output: output_lib.OutputFormat

    @functools.cached_property
    def client(self):
        """The Client; created on first use, as help pages need no server."""
        return self.make_client()

    def show(self, data, columns, rows):
        """Print data as a table or JSON."""
        output_lib.show(self.output, data, columns, rows)


class _Group(typer.core.TyperGroup):
    """Command group that converts errors to messages and exit statuses."""

    def invoke(self, ctx):
        try:
            return super().invoke(ctx)
        except errors.FigtrayError as exc:
            _print_error(ctx, exc)
            ctx.exit(_exit_status(exc))


def _exit_status(exc):
    match exc:
        case client_lib.Conflict():
            return ExitStatus.CONFLICT
        case client_lib.Unavailable():
            return ExitStatus.UNAVAILABLE
        case NotInForce():
            return ExitStatus.NOT_IN_FORCE
        case documents.DocumentError() | UsageError():
            return ExitStatus.USAGE
    return ExitStatus.REFUSED


def _print_error(ctx, exc):
    problem = getattr(exc, 'problem', {})
    session = ctx.obj
    is_json = (
        isinstance(session, Session)
        and session.output is output_lib.OutputFormat.JSON
    )
    if is_json:
        document = problem or {'detail': str(exc)}
        typer.echo(json.dumps(document, indent=2), err=True)
        return
    typer.echo(f'figtray: {exc}', err=True)
    if problem.get('resource'):
        typer.echo(f'resource: {problem["resource"]}', err=True)
    for name in ('outcome', 'change_id'):
        if problem.get(name):
            typer.echo(f'{name}: {problem[name]}', err=True)


app = typer.Typer(
    cls=_Group,
    help='Operate a figtray deployment.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
_key_app = typer.Typer(help='Create, withdraw and list caller keys.')
_zone_app = typer.Typer(help='Take zones out of service and back.')
app.add_typer(_key_app, name='key')
app.add_typer(_zone_app, name='zone')

# typer builds arguments and options from these annotations, so they are part
# of the command line.
_KindArg = typing.Annotated[
    resources.Kind, typer.Argument(help='Kind of resource.')
]
_NameArg = typing.Annotated[str, typer.Argument(help='Name.')]
_PathArg = typing.Annotated[
    str, typer.Argument(help='File with resources, or a directory of them.')
]
_WatchOption = typing.Annotated[
    bool, typer.Option('--watch', help='Wait until the change is in force.')
]
_TimeoutMsOption = typing.Annotated[
    int,
    typer.Option(
        min=0, max=MAX_TIMEOUT_MS, help='Longest wait in milliseconds.'
    ),
]


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
    ctx.obj = Session(
        lambda: injected_client or _make_client(server, credential_file),
        output,
    )


def _make_client(server, credential_file):
    if not server:
        raise UsageError('--server or FIGTRAY_SERVER is missing')
    if not credential_file:
        raise UsageError(
            '--credential-file or FIGTRAY_CREDENTIAL_FILE is missing'
        )
    try:
        credential = pathlib.Path(credential_file).read_text().strip()
        # An HTTP header can't carry other characters.
        credential.encode('ascii')
        transport = client_lib.HttpTransport(server)
    except OSError as exc:
        raise UsageError(f'{credential_file}: {exc.strerror}') from exc
    except UnicodeError as exc:
        raise UsageError(f'{credential_file}: not ASCII text') from exc
    except ValueError as exc:
        raise UsageError(f'--server: {exc}') from exc
    return client_lib.Client(transport, credential)


@app.command()
def get(ctx: typer.Context, kind: _KindArg, name: _NameArg):
    """Show one resource."""
    item = ctx.obj.client.get(kind, name)
    rows = [('version', item['version']), *item['spec'].items()]
    ctx.obj.show(item, ('field', 'value'), rows)


@app.command('list')
def list_resources(
    ctx: typer.Context,
    kind: _KindArg,
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
    path: _PathArg,
    dry_run: typing.Annotated[
        bool, typer.Option('--dry-run', help='Check without changing.')
    ] = False,
    watch: _WatchOption = False,
    timeout_ms: _TimeoutMsOption = DEFAULT_TIMEOUT_MS,
):
    """Create and replace the resources of a file or directory.

    Up to 100 resources are changed in one atomic change; more are changed
    in several, referenced kinds first.
    """
    session = ctx.obj
    differences = _compute_differences(session.client, path)
    edits = [difference.edit for difference in differences]
    if dry_run:
        if edits:
            session.client.change(edits, dry_run=True)
        _show_differences(session, differences)
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
        _wait_in_force(session, changes[-1]['generation'], timeout_ms)


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
def diff(ctx: typer.Context, path: _PathArg):
    """Show what `apply` would change."""
    _show_differences(ctx.obj, _compute_differences(ctx.obj.client, path))


def _compute_differences(client, path):
    loaded = documents.load(path)
    current = {
        (kind, item['name']): item
        for kind in {document.kind for document in loaded}
        for item in client.list(kind)
    }
    return documents.compare(loaded, current)


def _show_differences(session, differences):
    data = [
        {
            'kind': difference.document.kind.value,
            'name': difference.document.name,
            'version': difference.version,
            'fields': difference.fields,
        }
        for difference in differences
    ]
    rows = [
        (
            '~' if difference.version else '+',
            difference.document.kind.value,
            difference.document.name,
            field,
            old,
            new,
        )
        for difference in differences
        for field, (old, new) in difference.fields.items()
    ]
    columns = ('', 'kind', 'name', 'field', 'current', 'new')
    session.show(data, columns, rows)


@app.command()
def delete(
    ctx: typer.Context,
    kind: _KindArg,
    name: _NameArg,
    version: typing.Annotated[
        int, typer.Option(min=0, help='Expected version; 0 takes any.')
    ] = 0,
    watch: _WatchOption = False,
    timeout_ms: _TimeoutMsOption = DEFAULT_TIMEOUT_MS,
):
    """Delete a resource that nothing refers to."""
    client = ctx.obj.client
    version = version or client.get(kind, name)['version']
    item = client.delete(kind, name, version)
    _show_change(ctx.obj, item, watch, timeout_ms)


@app.command()
def watch(
    ctx: typer.Context,
    generation: typing.Annotated[int, typer.Argument(min=1)],
    timeout_ms: _TimeoutMsOption = DEFAULT_TIMEOUT_MS,
):
    """Wait until a generation is in force everywhere."""
    _wait_in_force(ctx.obj, generation, timeout_ms)


def _wait_in_force(session, generation, timeout_ms):
    document = session.client.wait_in_force(generation, timeout_ms)
    status = document['status']
    session.show(
        document,
        ('generation', *status),
        [(generation, *status.values())],
    )
    if not status['in_force']:
        raise NotInForce(
            generation=generation,
            timeout_ms=timeout_ms,
        )


def _show_change(session, item, watch, timeout_ms):
    status = item['status']
    session.show(
        item,
        ('kind', 'name', 'version', *status),
        [(item['kind'], item['name'], item['version'], *status.values())],
    )
    if watch and not status['in_force']:
        _wait_in_force(session, item['generation'], timeout_ms)


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


@_key_app.command('grant')
def key_grant(
    ctx: typer.Context,
    team: typing.Annotated[str, typer.Argument(help='Team of the key.')],
):
    """Create a key for a team; its secret is shown only now."""
    item = ctx.obj.client.create_key(team)
    ctx.obj.show(
        item,
        ('key', 'team', 'secret'),
        [(item['name'], item['spec']['team'], item['secret'])],
    )


@_key_app.command('withdraw')
def key_withdraw(
    ctx: typer.Context,
    key_id: typing.Annotated[str, typer.Argument(help='Id of the key.')],
    watch: _WatchOption = False,
    timeout_ms: _TimeoutMsOption = DEFAULT_TIMEOUT_MS,
):
    """Remove a key, so that it stops working."""
    item = ctx.obj.client.withdraw_key(key_id)
    _show_change(ctx.obj, item, watch, timeout_ms)


@_key_app.command('list')
def key_list(
    ctx: typer.Context,
    team: typing.Annotated[
        str, typer.Option(help='Show the keys of one team.')
    ] = '',
):
    """List keys, without their secrets."""
    items = [
        item
        for item in ctx.obj.client.list(resources.Kind.KEY)
        if team in ('', item['spec']['team'])
    ]
    rows = [(item['name'], item['spec']['team']) for item in items]
    ctx.obj.show(items, ('key', 'team'), rows)


@_zone_app.command('out')
def zone_out(
    ctx: typer.Context,
    name: _NameArg,
    watch: _WatchOption = False,
    timeout_ms: _TimeoutMsOption = DEFAULT_TIMEOUT_MS,
):
    """Take a zone out of service."""
    item = ctx.obj.client.set_in_service(name, False)
    _show_change(ctx.obj, item, watch, timeout_ms)


@_zone_app.command('in')
def zone_in(
    ctx: typer.Context,
    name: _NameArg,
    watch: _WatchOption = False,
    timeout_ms: _TimeoutMsOption = DEFAULT_TIMEOUT_MS,
):
    """Take a zone back into service."""
    item = ctx.obj.client.set_in_service(name, True)
    _show_change(ctx.obj, item, watch, timeout_ms)


def main():
    """Run the command line."""
    app(prog_name='figtray')


if __name__ == '__main__':
    main()

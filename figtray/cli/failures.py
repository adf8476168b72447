"""Messages and exit statuses of failed commands."""

import enum
import json

import typer
import typer.core

from figtray.api import client as client_lib
from figtray.cli import documents
from figtray.cli import output as output_lib
from figtray.cli import session as session_lib
from figtray import errors


class ExitStatus(enum.IntEnum):
    """Exit statuses of the command line."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    DOUBTFUL = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


class Group(typer.core.TyperGroup):
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
        case session_lib.NotInForce():
            return ExitStatus.NOT_IN_FORCE
        case documents.DocumentError() | session_lib.UsageError():
            return ExitStatus.USAGE
    return ExitStatus.REFUSED


def _print_error(ctx, exc):
    problem = getattr(exc, 'problem', {})
    session = ctx.obj
    is_json = (
        isinstance(session, session_lib.Session)
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

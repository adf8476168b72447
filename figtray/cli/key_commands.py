"""Commands for the keys with which callers authenticate."""

import typing

import typer

from figtray.cli import options
from figtray.configuration import resources

app = typer.Typer(help='Create, withdraw and list caller keys.')


@app.command()
def grant(
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


@app.command()
def withdraw(
    ctx: typer.Context,
    key_id: typing.Annotated[str, typer.Argument(help='Id of the key.')],
    watch: options.WatchOption = False,
    timeout_ms: options.TimeoutMsOption = options.DEFAULT_TIMEOUT_MS,
):
    """Remove a key, so that it stops working."""
    item = ctx.obj.client.withdraw_key(key_id)
    ctx.obj.show_change(item, watch, timeout_ms)


@app.command('list')
def list_keys(
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

"""Commands that take zones out of service and back."""

import typer

from figtray.cli import options

app = typer.Typer(help='Take zones out of service and back.')


@app.command('out')
def take_out(
    ctx: typer.Context,
    name: options.NameArg,
    watch: options.WatchOption = False,
    timeout_ms: options.TimeoutMsOption = options.DEFAULT_TIMEOUT_MS,
):
    """Take a zone out of service."""
    item = ctx.obj.client.set_in_service(name, False)
    ctx.obj.show_change(item, watch, timeout_ms)


@app.command('in')
def put_back(
    ctx: typer.Context,
    name: options.NameArg,
    watch: options.WatchOption = False,
    timeout_ms: options.TimeoutMsOption = options.DEFAULT_TIMEOUT_MS,
):
    """Take a zone back into service."""
    item = ctx.obj.client.set_in_service(name, True)
    ctx.obj.show_change(item, watch, timeout_ms)

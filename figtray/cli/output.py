"""Output of the command line as tables or JSON."""

import enum
import json

import rich.console
import rich.table
import typer

# Without a terminal, lines are not broken for a width.
UNLIMITED_WIDTH = 10_000


class Output(str, enum.Enum):
    """Form of the output."""

    TABLE = 'table'
    JSON = 'json'


def show(output, data, columns, rows):
    """Print data in the form that was asked for.

    Args:
        output: the Output.
        data: what JSON output shows.
        columns: headings of the table.
        rows: rows of the table, of any values.
    """
    if output is Output.JSON:
        typer.echo(json.dumps(data, indent=2))
        return
    table = rich.table.Table(box=None, pad_edge=False, header_style=None)
    for column in columns:
        table.add_column(column.upper(), overflow='fold')
    for row in rows:
        table.add_row(*(_cell(value) for value in row))
    console = rich.console.Console(markup=False, highlight=False, emoji=False)
    if not console.is_terminal:
        console.width = UNLIMITED_WIDTH
    with console.capture() as capture:
        console.print(table)
    for line in capture.get().splitlines():
        typer.echo(line.rstrip())


def _cell(value):
    match value:
        case None:
            return '-'
        case True:
            return 'yes'
        case False:
            return 'no'
        case list() | tuple():
            return ','.join(str(item) for item in value) or '-'
        case dict():
            return json.dumps(value)
    return str(value) or '-'

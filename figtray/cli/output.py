"""Output of the command line as a table or as JSON."""

import enum
import json

import rich.console
import rich.table
import typer

# Width without a terminal, where table rows are not wrapped.
UNLIMITED_WIDTH = 10_000


class OutputFormat(str, enum.Enum):
    """Format of the output."""

    TABLE = 'table'
    JSON = 'json'


def show(output, data, columns, rows):
    """Print data in the requested format.

    Args:
        output: OutputFormat to use.
        data: data to print as JSON.
        columns: headings of the table, printed in capitals.
        rows: rows of the table; the values may be of any type.
    """
    if output is OutputFormat.JSON:
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

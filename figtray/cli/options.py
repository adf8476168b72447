"""Arguments and options that several commands have.

typer builds them from these annotations, so they are part of the command
line.
"""

import typing

import typer

from figtray.configuration import resources

# A change has to be in force everywhere within this time at the size that the
# project is designed for, 11,000 workers.
DEFAULT_TIMEOUT_MS = 11_000
MAX_TIMEOUT_MS = 600_000

KindArg = typing.Annotated[
    resources.Kind, typer.Argument(help='Kind of resource.')
]
NameArg = typing.Annotated[str, typer.Argument(help='Name.')]
PathArg = typing.Annotated[
    str, typer.Argument(help='File with resources, or a directory of them.')
]
WatchOption = typing.Annotated[
    bool, typer.Option('--watch', help='Wait until the change is in force.')
]
TimeoutMsOption = typing.Annotated[
    int,
    typer.Option(
        min=0, max=MAX_TIMEOUT_MS, help='Longest wait in milliseconds.'
    ),
]

"""Commands on a configuration as a whole."""

import typing

import typer

from figtray.cli import comparison
from figtray.cli import documents as documents_lib
from figtray.cli import failures
from figtray.cli import options
from figtray.cli import output as output_lib
from figtray.configuration import resources
from figtray.configuration import review

app = typer.Typer(help='Check a configuration.')

DEFAULT_UPKEEP_MS = 2000


@app.callback()
def _config():
    """Keep `check` a command of its own name, as it is the only one."""


@app.command()
def check(
    ctx: typer.Context,
    path: options.PathArg,
    offline: typing.Annotated[
        bool,
        typer.Option(
            '--offline',
            help='Take the files for the whole configuration, and ask no API.',
        ),
    ] = False,
    upkeep_ms: typing.Annotated[
        int, typer.Option(min=1, help='Duration of the upkeep of a host.')
    ] = DEFAULT_UPKEEP_MS,
):
    """Check a file or directory before it is applied; change nothing.

    Names what is not valid and, if all is, entries that can never match and
    limits that contradict each other. Shows what differs from the
    configuration in force. Exit status: 0 nothing found, 1 errors, 3 only
    warnings.
    """
    session = ctx.obj
    loaded = documents_lib.load_valid(path)
    if not (loaded.documents or loaded.problems):
        raise documents_lib.DocumentError(path=path, problem='no resources')
    current = {}
    if not offline:
        current = comparison.read_current(session.client, resources.Kind)
    differences = documents_lib.compare(loaded.documents, current)
    findings = [*_invalid(loaded.problems)]
    if not offline:
        findings += _outdated(differences, current)
    # What others make of a resource that is not valid can't be told.
    if not loaded.problems:
        findings += _review(loaded.documents, current, upkeep_ms)
    _show(session, findings, differences)
    raise typer.Exit(_exit_status(findings))


def _invalid(problems):
    """Yield a Finding for each resource that is not valid."""
    for problem in problems:
        yield review.Finding(
            review.Severity.ERROR,
            problem.document.kind,
            problem.document.name,
            problem.error.fields.get('field', ''),
            str(problem.error),
        )


def _outdated(differences, current):
    """Yield a Finding for each resource that expects another version."""
    for difference in differences:
        document = difference.document
        item = current.get((document.kind, document.name))
        version = item['version'] if item else 0
        in_force = f'{version} is in force' if item else 'it does not exist'
        if difference.version != version:
            yield review.Finding(
                review.Severity.ERROR,
                document.kind,
                document.name,
                'version',
                f'{difference.version} is expected, and {in_force}',
            )


def _review(documents, current, upkeep_ms):
    """Yield the Findings that the resources of the files have or cause."""
    in_force = {
        (kind, name): resources.decode_spec(kind, item['spec'])
        for (kind, name), item in current.items()
    }
    sent = {
        (document.kind, document.name): resources.decode_spec(
            document.kind, document.spec
        )
        for document in documents
    }
    known = set(review.review(in_force, upkeep_ms))
    for finding in review.review(in_force | sent, upkeep_ms):
        if (finding.kind, finding.name) in sent or finding not in known:
            yield finding


def _show(session, findings, differences):
    rows = [
        (
            finding.severity.value,
            finding.kind.value,
            finding.name,
            finding.field,
            finding.problem,
        )
        for finding in findings
    ]
    columns = ('severity', 'kind', 'name', 'field', 'problem')
    if session.output is output_lib.OutputFormat.JSON:
        data = {
            'findings': [dict(zip(columns, row)) for row in rows],
            'differences': comparison.to_data(differences),
        }
        session.show(data, (), ())
        return
    if rows:
        session.show(None, columns, rows)
    comparison.show_table(session, differences)


def _exit_status(findings):
    severities = {finding.severity for finding in findings}
    if review.Severity.ERROR in severities:
        return failures.ExitStatus.REFUSED
    if severities:
        return failures.ExitStatus.DOUBTFUL
    return failures.ExitStatus.OK

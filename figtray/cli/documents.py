"""Resource files: loading and comparison with the current resources."""

import dataclasses
import pathlib

import msgspec
import pyjson5

from figtray.configuration import resources
from figtray import errors

FILE_SUFFIXES = ('.json', '.json5', '.jsonc')
MAX_FILE_BYTES = 16 * 1024 * 1024

# Referenced kinds first: a resource is created after those it refers to.
KIND_ORDER = (
    resources.Kind.ZONE,
    resources.Kind.POOL,
    resources.Kind.TEAM,
    resources.Kind.QUEUE,
    resources.Kind.WAVE,
    resources.Kind.KEY,
)


_KIND_NAMES = {kind.value for kind in resources.Kind}
_SpecsByKind = dict[resources.Kind, dict[str, dict]]


class DocumentError(errors.FigtrayError):
    """A resource file or directory is missing or invalid."""

    msg_fmt = '{path}: {problem}'


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource of a file.

    Without a `version`, the current version is expected. `generation` is
    allowed and ignored, so that the output of `figtray get` can be edited
    and applied.
    """

    kind: resources.Kind
    name: str
    spec: dict
    version: int | None = None
    generation: int | None = None


class Documents(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A file with several resources."""

    resources: list[Document]


@dataclasses.dataclass(frozen=True)
class Difference:
    """A resource that a file would create or change.

    Attributes:
        document: the Document.
        version: expected version; 0 for a new resource.
        fields: mapping of each differing field to (current value, new
            value).
    """

    document: Document
    version: int
    fields: dict

    @property
    def edit(self):
        """The edit to send to the API."""
        return {
            'kind': self.document.kind.value,
            'name': self.document.name,
            'version': self.version,
            'spec': self.document.spec,
        }


@dataclasses.dataclass(frozen=True)
class Problem:
    """A resource of a file that is not valid.

    Attributes:
        document: the Document.
        error: the DocumentError or ValidationFailed.
    """

    document: Document
    error: errors.FigtrayError


@dataclasses.dataclass(frozen=True)
class Loaded:
    """Resources of files.

    Attributes:
        documents: list of the valid Documents, referenced kinds first.
        problems: list of Problems of the others.
    """

    documents: list
    problems: list


def load(path):
    """Load resources from a file or from all files below a directory.

    A file holds one resource, a list of resources, an object with a field
    `resources`, or an object of specifications by kind and name.

    Args:
        path: path of the file or directory.

    Returns:
        List of Document, referenced kinds first.

    Raises:
        DocumentError: a file is missing, too long or malformed, a resource
            occurs twice, or there are no resources.
        ValidationFailed: a specification is not allowed.
    """
    loaded = load_valid(path)
    for problem in loaded.problems:
        raise problem.error
    if not loaded.documents:
        raise DocumentError(path=path, problem='no resources')
    return loaded.documents


def load_valid(path):
    """Load the valid resources of files, and list what is not valid.

    Args:
        path: as for load().

    Returns:
        A Loaded.

    Raises:
        DocumentError: a file is missing, too long or malformed.
    """
    documents, problems = {}, []
    for file, document in _read_all(pathlib.Path(path)):
        key = (document.kind, document.name)
        try:
            if key in documents:
                raise DocumentError(
                    path=file,
                    problem=f'{document.kind.value}/{document.name} '
                    'occurs twice',
                )
            resources.check_name(document.kind, document.name)
            resources.decode_spec(document.kind, document.spec)
        except (DocumentError, errors.ValidationFailed) as exc:
            problems.append(Problem(document, exc))
            continue
        documents[key] = document
    in_order = sorted(
        documents.values(),
        key=lambda document: (KIND_ORDER.index(document.kind), document.name),
    )
    return Loaded(in_order, problems)


def _read_all(path):
    """Yield (file, Document) for the resources of a file or directory."""
    if not path.exists():
        raise DocumentError(path=path, problem='no such file or directory')
    files = [path]
    if path.is_dir():
        files = sorted(
            file for file in path.rglob('*') if file.suffix in FILE_SUFFIXES
        )
    for file in files:
        for document in _read(file):
            yield file, document


def compare(documents, current):
    """Compare documents with the current resources.

    Args:
        documents: Document objects.
        current: mapping of (Kind, name) to resources as the API returns them.

    Returns:
        List of Difference, without the resources that are up to date.
    """
    differences = (
        _difference(document, current.get((document.kind, document.name)))
        for document in documents
    )
    return [item for item in differences if item.fields]


def _read(file):
    try:
        if file.stat().st_size > MAX_FILE_BYTES:
            raise DocumentError(path=file, problem='the file is too long')
        data = pyjson5.decode(file.read_text())
    except (OSError, UnicodeError) as exc:
        raise DocumentError(path=file, problem=exc) from exc
    except (pyjson5.Json5Exception, RecursionError) as exc:
        raise DocumentError(path=file, problem=f'malformed: {exc}') from exc
    try:
        if isinstance(data, list):
            return msgspec.convert(data, list[Document])
        if isinstance(data, dict) and 'resources' in data:
            return msgspec.convert(data, Documents).resources
        if isinstance(data, dict) and not data.keys() - _KIND_NAMES:
            by_kind = msgspec.convert(data, _SpecsByKind)
            return [
                Document(kind, name, spec)
                for kind, specs in by_kind.items()
                for name, spec in specs.items()
            ]
        return [msgspec.convert(data, Document)]
    except msgspec.ValidationError as exc:
        raise DocumentError(path=file, problem=exc) from exc


def _difference(document, current):
    old = current['spec'] if current else {}
    new = resources.encode_spec(
        resources.decode_spec(document.kind, document.spec)
    )
    fields = {
        name: (old.get(name), value)
        for name, value in new.items()
        if current is None or old.get(name) != value
    }
    version = document.version
    if version is None:
        version = current['version'] if current else 0
    return Difference(document, version, fields)

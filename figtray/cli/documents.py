"""Files with resources, compared with the current configuration."""

import dataclasses
import pathlib

import msgspec
import pyjson5

from figtray.configuration import resources
from figtray import errors

SUFFIXES = ('.json', '.json5', '.jsonc')
MAX_FILE_BYTES = 16 * 1024 * 1024

# A resource is written after those that it refers to.
ORDER = (
    resources.Kind.ZONE,
    resources.Kind.POOL,
    resources.Kind.TEAM,
    resources.Kind.QUEUE,
    resources.Kind.WAVE,
    resources.Kind.KEY,
)


_KINDS = {kind.value for kind in resources.Kind}
_ByKind = dict[resources.Kind, dict[str, dict]]


class DocumentError(errors.FigtrayError):
    """A file can't be used."""

    msg_fmt = '{path}: {problem}'


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One resource of a file; without a version, the current one is meant.

    `generation` is allowed, so that the output of `figtray get` can be
    edited and applied.
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
    """A resource that a file would create or replace.

    `fields` maps each field that differs to (current value, new value);
    `version` is 0 for a new resource.
    """

    document: Document
    version: int
    fields: dict

    @property
    def edit(self):
        """The edit for the API."""
        return {
            'kind': self.document.kind.value,
            'name': self.document.name,
            'version': self.version,
            'spec': self.document.spec,
        }


def load(path):
    """Read resources from a file, or all files of a directory.

    A file holds one resource, a list of them, an object with a field
    `resources`, or an object of specifications by kind and name.

    Args:
        path: path of the file or directory.

    Returns:
        List of Document, referenced kinds first.

    Raises:
        DocumentError: a file is missing, malformed or repeats a resource.
        ValidationFailed: a specification is not allowed.
    """
    path = pathlib.Path(path)
    if not path.exists():
        raise DocumentError(path=path, problem='no such file or directory')
    files = [path]
    if path.is_dir():
        files = sorted(
            file for file in path.rglob('*') if file.suffix in SUFFIXES
        )
    documents = {}
    for file in files:
        for document in _read(file):
            key = (document.kind, document.name)
            if key in documents:
                raise DocumentError(
                    path=file,
                    problem=f'{document.kind.value}/{document.name} '
                    'occurs twice',
                )
            resources.check_name(document.kind, document.name)
            resources.decode_spec(document.kind, document.spec)
            documents[key] = document
    if not documents:
        raise DocumentError(path=path, problem='no resources')
    return sorted(
        documents.values(),
        key=lambda document: (ORDER.index(document.kind), document.name),
    )


def compare(documents, current):
    """Compare resources with the current ones.

    Args:
        documents: the Document objects.
        current: mapping of (Kind, name) to resources of the API.

    Returns:
        List of Difference; resources without one are left out.
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
        if isinstance(data, dict) and not data.keys() - _KINDS:
            by_kind = msgspec.convert(data, _ByKind)
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

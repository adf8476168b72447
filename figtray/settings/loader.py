"""Loader of settings files: JSON5, includes, types and rules."""

import pathlib
import re

import msgspec
import pyjson5

from figtray import errors
from figtray.settings import positions
from figtray.settings import types

INCLUDE_FIELD = 'include'
MAX_FILE_BYTES = 1 << 20
MAX_INCLUDE_DEPTH = 8

# Fields whose values never appear in an error message.
HIDDEN_FIELDS = frozenset({'credential_hash'})

_MSGSPEC_PATH = re.compile(r'(?P<problem>.*?)(?: - at `(?P<path>[^`]*)`)?\Z')
_PYJSON5_OFFSET = re.compile(r'near (\d+)')
_UNKNOWN_FIELD = re.compile(r'Object contains unknown field `(.*)`\Z')
_PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')


def load(path, settings_type):
    """Load and check a settings file.

    The field `include` names one other file, or a list of them, relative to
    the including file. Objects are merged field by field and the including
    file wins; an array replaces the included one.

    Args:
        path: the file.
        settings_type: the struct to build, from figtray.settings.types.

    Returns:
        An instance of settings_type that meets all its rules.

    Raises:
        SettingsError: the file can't be read, is not JSON5 or includes
            itself, or a field is unknown, missing or invalid.
    """
    data, locations = read_plain(path)
    try:
        settings = msgspec.convert(data, settings_type)
    except msgspec.ValidationError as exc:
        match = _MSGSPEC_PATH.match(str(exc))
        field, problem = match['path'] or '$', match['problem']
        unknown = _UNKNOWN_FIELD.match(problem)
        if unknown:
            field, problem = f'{field}.{unknown[1]}', 'unknown field'
        elif 'missing required' not in problem:
            problem = f'{_format_value(data, field)} is not allowed; {problem}'
        raise _error(path, locations, field, problem) from exc
    problems = [
        _error(
            path,
            locations,
            f'$.{field}',
            f'{_format_value(data, f"$.{field}", value)} is not allowed; '
            f'expected {allowed}',
        )
        for field, value, is_allowed, allowed in nested_rules(settings)
        if not is_allowed
    ]
    if problems:
        raise problems[0]
    return settings


def read_plain(path):
    """Read a JSON5 file and the files that it includes.

    Args:
        path: the file.

    Returns:
        The merged data, and a mapping of the path of each field to the
        (file, line) that sets it.

    Raises:
        SettingsError: a file can't be read or decoded, or includes itself.
    """
    return _read(pathlib.Path(path), ())


def read_credential_hash(settings):
    """Return the SHA-256 of the operators' credential.

    Args:
        settings: ApiSettings; a relative credential_file is looked up in
            the working directory.

    Returns:
        64 hexadecimal digits in lower case.

    Raises:
        SettingsError: the file can't be read or holds something else.
    """
    if settings.credential_hash:
        return settings.credential_hash
    path = settings.credential_file
    text = _read_text(path).strip()
    if not types.is_sha256(text):
        raise errors.SettingsError(
            path, 'the file must hold 64 hexadecimal digits'
        )
    return text


def nested_rules(struct, prefix=''):
    """Yield the rules of a struct and, recursively, of its fields.

    Args:
        struct: a settings struct; its own `rules()` yields (field, value,
            is allowed, allowed values).
        prefix: path of the struct, empty or with a trailing dot.

    Yields:
        (path, value, is allowed, allowed values).
    """
    for field, value, is_allowed, allowed in getattr(struct, 'rules', tuple)():
        yield f'{prefix}{field}', value, is_allowed, allowed
    for name in struct.__struct_fields__:
        value = getattr(struct, name)
        if isinstance(value, msgspec.Struct):
            yield from nested_rules(value, f'{prefix}{name}.')
        elif isinstance(value, tuple):
            for index, item in enumerate(value):
                if isinstance(item, msgspec.Struct):
                    yield from nested_rules(item, f'{prefix}{name}[{index}].')


def _read(path, including_paths):
    if path.resolve() in including_paths:
        raise errors.SettingsError(path, 'the file includes itself')
    if len(including_paths) >= MAX_INCLUDE_DEPTH:
        raise errors.SettingsError(
            path, f'includes are nested more than {MAX_INCLUDE_DEPTH} deep'
        )
    data, locations = _decode(path, _read_text(path))
    base, base_locations = {}, {}
    for name in _pop_includes(path, data, locations):
        included, included_locations = _read(
            path.parent / name, (*including_paths, path.resolve())
        )
        base = _merge(base, included)
        base_locations |= included_locations
    return _merge(base, data), base_locations | locations


def _decode(path, text):
    """Return the data of one file and the (file, line) of each field."""
    try:
        data = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as exc:
        offset = _PYJSON5_OFFSET.search(str(exc.args[0]))
        line = (
            text.count('\n', 0, max(int(offset[1]) - 1, 0)) + 1
            if offset
            else text.count('\n') + 1
        )
        raise errors.SettingsError(
            f'{path}:{line}', f'not JSON: {exc.args[0]}'
        ) from exc
    lines, duplicates = positions.find_lines(text)
    locations = {field: (path, line) for field, line in lines.items()}
    if duplicates:
        raise _error(path, locations, duplicates[0], 'the field occurs twice')
    if not isinstance(data, dict):
        raise errors.SettingsError(path, 'the file must hold one object')
    return data, locations


def _pop_includes(path, data, locations):
    """Remove the field INCLUDE_FIELD and return the file names in it."""
    includes = data.pop(INCLUDE_FIELD, ())
    if isinstance(includes, str):
        includes = [includes]
    if not isinstance(includes, (list, tuple)) or not all(
        isinstance(name, str) for name in includes
    ):
        raise _error(
            path, locations, f'$.{INCLUDE_FIELD}', 'expected file names'
        )
    return includes


def _read_text(path):
    try:
        with open(path, 'rb') as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        raise errors.SettingsError(path, exc.strerror) from exc
    if len(raw) > MAX_FILE_BYTES:
        raise errors.SettingsError(
            path, f'the file is larger than {MAX_FILE_BYTES} bytes'
        )
    try:
        return raw.decode()
    except UnicodeDecodeError as exc:
        raise errors.SettingsError(path, f'not UTF-8: {exc}') from exc


def _merge(base, override):
    merged = dict(base)
    for name, value in override.items():
        if isinstance(value, dict) and isinstance(merged.get(name), dict):
            merged[name] = _merge(merged[name], value)
        else:
            merged[name] = value
    return merged


def _format_value(data, field, default=None):
    """Format the value of a field for a message, shortened or hidden.

    A field that the data doesn't contain has the value `default`.
    """
    if any(name in HIDDEN_FIELDS for name, _ in _PATH_STEP.findall(field)):
        return 'the value'
    value = data
    try:
        for name, index in _PATH_STEP.findall(field):
            value = value[name] if name else value[int(index)]
    except (KeyError, IndexError, TypeError):
        value = default
    text = repr(value)
    return text if len(text) <= 80 else f'{text[:77]}...'


def _error(path, locations, field, problem):
    """Build the error of a field, with the nearest known file and line."""
    nearest = field
    while nearest not in locations and nearest != '$':
        nearest = nearest[: max(nearest.rfind('.'), nearest.rfind('['))]
    file, line = locations.get(nearest, (path, 1))
    name = field.removeprefix('$').removeprefix('.') or 'the file'
    return errors.SettingsError(f'{file}:{line}', f'{name}: {problem}')

"""Requests and responses of the operators' API and their limits."""

import dataclasses
import re
import urllib.parse

import msgspec

from figtray.api import problems

# A store transaction holds at most 1 MB of values.
MAX_BODY_BYTES = 1_000_000
MAX_PATH_LENGTH = 512
MAX_QUERY_LENGTH = 1024
MAX_HEADER_LENGTH = 1024
MAX_CHANGE_ID_LENGTH = 64
# Largest page of a list, and longest long poll.
MAX_PAGE_SIZE = 1000
MAX_WAIT_MS = 10_000

_VERSION = re.compile(r'"([0-9]{1,15})"')
_CHANGE_ID = re.compile(rf'[A-Za-z0-9-]{{1,{MAX_CHANGE_ID_LENGTH}}}')
_DIGITS = re.compile(r'[0-9]{1,15}')


@dataclasses.dataclass(frozen=True)
class Response:
    """Status, headers and JSON document or text of a response."""

    status: int
    document: object = None
    headers: tuple = ()
    content_type: str = 'application/json'

    @property
    def body(self):
        """The encoded document, or no bytes if there is none."""
        if self.document is None:
            return b''
        if self.content_type.startswith('text/'):
            return self.document.encode()
        return msgspec.json.encode(self.document)


class Request:
    """Parsed request of a WSGI environment.

    Raises:
        ProblemError: the path, the query or a header is too long, or the
            query is malformed.
    """

    def __init__(self, environ):
        self._environ = environ
        self.method = environ['REQUEST_METHOD']
        self.path = environ.get('PATH_INFO', '')
        query = environ.get('QUERY_STRING', '')
        if len(self.path) > MAX_PATH_LENGTH or len(query) > MAX_QUERY_LENGTH:
            raise problems.ProblemError(
                414, 'uri-too-long', 'The path or the query is too long.'
            )
        for name, value in environ.items():
            if name.startswith('HTTP_') and len(value) > MAX_HEADER_LENGTH:
                header = name[5:].replace('_', '-').title()
                raise problems.ProblemError(
                    431,
                    'header-too-long',
                    f'Header {header} has more than {MAX_HEADER_LENGTH} '
                    'characters.',
                )
        self._query = _parse_query(query)

    def header(self, name):
        """Return the value of a header, or an empty string."""
        key = 'HTTP_' + name.upper().replace('-', '_')
        return self._environ.get(key, '').strip()

    def query_int(self, name, default, minimum, maximum):
        """Return an integer parameter of the query string.

        Args:
            name: name of the parameter.
            default: value if the parameter is missing.
            minimum: smallest allowed value.
            maximum: largest allowed value.

        Raises:
            ProblemError: the value is not an integer in this range.
        """
        text = self._query.get(name)
        if text is None:
            return default
        if not _DIGITS.fullmatch(text) or not minimum <= int(text) <= maximum:
            raise problems.invalid_value(name, text, f'{minimum} to {maximum}')
        return int(text)

    def query_text(self, name):
        """Return a parameter of the query string; empty if missing."""
        return self._query.get(name, '')

    def change_id(self):
        """Return the change id that the client sent, or None.

        Raises:
            ProblemError: the id is malformed.
        """
        value = self.header('Change-Id')
        if not value:
            return None
        if not _CHANGE_ID.fullmatch(value):
            raise problems.invalid_value(
                'Change-Id',
                value,
                f'1 to {MAX_CHANGE_ID_LENGTH} of letters, digits and "-"',
            )
        return value

    def expected_version(self):
        """Return the version that the request's precondition demands.

        Returns:
            The version of If-Match, or 0 for `If-None-Match: *`, by which
            the resource must not exist.

        Raises:
            ProblemError: the precondition is missing or malformed.
        """
        if_match = self.header('If-Match')
        if_none_match = self.header('If-None-Match')
        if if_match and if_none_match:
            raise problems.ProblemError(
                400,
                'bad-condition',
                'Give either If-Match or If-None-Match, not both.',
            )
        if if_none_match:
            if if_none_match != '*':
                raise problems.invalid_value(
                    'If-None-Match', if_none_match, '*'
                )
            return 0
        if not if_match:
            raise problems.ProblemError(
                428,
                'condition-required',
                'A change needs If-Match: "<version>", or '
                'If-None-Match: * to create.',
            )
        match = _VERSION.fullmatch(if_match)
        if match is None or int(match[1]) == 0:
            raise problems.invalid_value(
                'If-Match', if_match, 'one version in double quotes'
            )
        return int(match[1])

    def decode_body(self, body_type):
        """Decode the JSON body.

        Args:
            body_type: a msgspec type.

        Returns:
            The decoded value.

        Raises:
            ProblemError: the body is too long, is incomplete, is not JSON or
                is not of this type.
        """
        try:
            return msgspec.json.decode(self._read_body(), type=body_type)
        except msgspec.ValidationError as exc:
            raise problems.ProblemError(
                422, 'validation-failed', f'Body: {exc}.', field='body'
            ) from exc
        except (msgspec.DecodeError, RecursionError, ValueError) as exc:
            raise problems.ProblemError(
                400, 'malformed-json', f'The body is not JSON: {exc}.'
            ) from exc

    def _read_body(self):
        text = self._environ.get('CONTENT_LENGTH') or ''
        if not text:
            raise problems.ProblemError(
                411, 'length-required', 'The request needs Content-Length.'
            )
        if not _DIGITS.fullmatch(text):
            raise problems.invalid_value('Content-Length', text, 'a number')
        length = int(text)
        if length > MAX_BODY_BYTES:
            raise problems.ProblemError(
                413,
                'body-too-long',
                f'The body has more than {MAX_BODY_BYTES} bytes.',
            )
        body = self._environ['wsgi.input'].read(length)
        if len(body) < length:
            raise problems.ProblemError(
                400, 'body-truncated', 'The body ended early.'
            )
        return body


def _parse_query(query):
    try:
        pairs = urllib.parse.parse_qsl(
            query, keep_blank_values=True, strict_parsing=bool(query)
        )
    except ValueError as exc:
        raise problems.ProblemError(
            400, 'malformed-query', f'The query string is malformed: {exc}.'
        ) from exc
    return dict(pairs)

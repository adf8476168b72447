"""Client of the operators' API."""

import http.client
import json
import threading
import urllib.parse
import uuid

from figtray.api import messages
from figtray import clock as clock_lib
from figtray import errors

CONNECT_TIMEOUT_S = 3
# Longer than a change can wait in the server for earlier changes.
RESPONSE_TIMEOUT_S = 30
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_ATTEMPTS = 3
RETRY_DELAY_MS = 500


class ClientError(errors.FigtrayError):
    """A request to the API failed; `problem` is the problem document."""

    def __init__(self, problem):
        super().__init__(problem.get('detail') or 'no details')
        self.problem = problem


class Refused(ClientError):
    """The API rejected the request; nothing was changed."""


class NotFound(Refused):
    """The resource does not exist."""


class Conflict(ClientError):
    """The request conflicts with the current configuration."""


class Unavailable(ClientError):
    """The API did not respond or failed.

    For a change, `problem['outcome']` is its effect on the configuration.
    """


class TransportError(errors.FigtrayError):
    """No complete response; `sent` is whether the request may have arrived."""

    def __init__(self, detail, sent):
        super().__init__(detail)
        self.sent = sent


class HttpTransport:
    """Sends HTTP requests, each over its own connection."""

    def __init__(self, server):
        """Parse the address of the server.

        Args:
            server: `host:port`, with or without `http://`.

        Raises:
            ValueError: the address has another form.
        """
        text = server if '//' in server else f'//{server}'
        parts = urllib.parse.urlsplit(text, scheme='http')
        if parts.scheme != 'http' or not parts.hostname or not parts.port:
            raise ValueError(f'{server!r} is not host:port')
        self._host = parts.hostname
        self._port = parts.port

    def request(self, method, path, headers, body):
        """Send a request.

        Returns:
            (status, body).

        Raises:
            TransportError: the response is missing, incomplete or too long.
        """
        conn = http.client.HTTPConnection(
            self._host, self._port, timeout=CONNECT_TIMEOUT_S
        )
        sent = False
        try:
            conn.connect()
            conn.sock.settimeout(RESPONSE_TIMEOUT_S)
            sent = True
            conn.request(method, path, body, headers)
            response = conn.getresponse()
            data = response.read(MAX_RESPONSE_BYTES + 1)
        except (OSError, http.client.HTTPException) as exc:
            detail = str(exc) or type(exc).__name__
            raise TransportError(
                f'{self._host}:{self._port}: {detail}', sent
            ) from exc
        finally:
            conn.close()
        if len(data) > MAX_RESPONSE_BYTES:
            raise TransportError('the response is too long', sent)
        return response.status, data


class Client:
    """Reads and changes resources.

    A change without a clear result is retried with the same change id. If an
    earlier attempt has made it, the retry does not make it again: it returns
    the result, or fails because the resource to delete is gone or the key to
    create exists.
    """

    def __init__(self, transport, credential, clock=None):
        self._transport = transport
        self._credential = credential
        self._clock = clock or clock_lib.SystemClock()
        self._never_set = threading.Event()

    def get(self, kind, name):
        """Return one resource.

        Raises:
            NotFound: the resource does not exist.
        """
        return self._call_with_retries('GET', _resource_path(kind.value, name))

    def list(self, kind, prefix=''):
        """Yield all resources of a kind, sorted by name."""
        after = ''
        while after is not None:
            query = urllib.parse.urlencode(
                {
                    'prefix': prefix,
                    'limit': messages.MAX_PAGE_SIZE,
                    'after': after,
                }
            )
            page = self._call_with_retries(
                'GET', f'{_resource_path(kind.value)}?{query}'
            )
            yield from page['items']
            after = page.get('next')

    def put(self, kind, name, spec, version):
        """Replace a resource that has this version; version 0 creates it."""
        return self._change(
            'PUT',
            _resource_path(kind.value, name),
            {'spec': spec},
            _precondition_headers(version),
        )

    def delete(self, kind, name, version):
        """Delete a resource that has this version."""
        return self._change(
            'DELETE',
            _resource_path(kind.value, name),
            None,
            _precondition_headers(version),
        )

    def change(self, edits, dry_run=False):
        """Apply several edits atomically.

        Args:
            edits: mappings with kind, name, version and spec.
            dry_run: whether to validate the edits without applying them.
        """
        body = {'resources': edits, 'dry_run': dry_run}
        return self._change('POST', '/v1/changes', body)

    def create_key(self, team):
        """Create a key; only this response contains its secret."""
        return self._change('POST', '/v1/keys', {'team': team})

    def withdraw_key(self, key_id):
        """Withdraw a key."""
        return self._change(
            'POST', _resource_path('keys', key_id) + '/withdraw'
        )

    def set_in_service(self, zone, in_service):
        """Take a zone out of service or return it to service."""
        action = 'in' if in_service else 'out'
        return self._change(
            'POST', f'{_resource_path("zones", zone)}/{action}'
        )

    def status(self):
        """Return the generation, leader, jobs, workers and waves."""
        return self._call_with_retries('GET', '/v1/status')

    def wait_in_force(self, generation, timeout_ms):
        """Wait until a generation is in force.

        Args:
            generation: the generation.
            timeout_ms: maximum wait in milliseconds.

        Returns:
            The last response; its field `status` holds whether the
            generation is in force.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        while True:
            remaining_ms = max(deadline_ms - self._clock.now_ms(), 0)
            wait_ms = min(remaining_ms, messages.MAX_WAIT_MS)
            document = self._call_with_retries(
                'GET', f'/v1/changes/{generation}?wait_ms={wait_ms}'
            )
            if document['status']['in_force'] or remaining_ms == 0:
                return document
            # The API responds immediately if it has too many long polls.
            self._clock.wait(
                self._never_set, min(remaining_ms, RETRY_DELAY_MS)
            )

    def _change(self, method, path, body=None, headers=None):
        change_id = uuid.uuid4().hex
        headers = {**(headers or {}), 'Change-Id': change_id}
        return self._call_with_retries(method, path, body, headers)

    def _call_with_retries(self, method, path, body=None, headers=None):
        headers = {
            'Authorization': f'Bearer {self._credential}',
            'Cache-Control': 'no-cache',
            **(headers or {}),
        }
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers['Content-Type'] = 'application/json'
        may_have_changed = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._clock.wait(self._never_set, RETRY_DELAY_MS)
            try:
                return self._call_once(method, path, headers, data)
            except Unavailable as exc:
                failure = exc
                outcome = exc.problem.get('outcome')
                may_have_changed |= outcome not in (None, 'not_changed')
        if may_have_changed and outcome == 'not_changed':
            # The last attempt changed nothing, but an earlier one may have.
            failure.problem['outcome'] = 'may_have_changed'
        raise failure

    def _call_once(self, method, path, headers, data):
        try:
            status, reply = self._transport.request(
                method, path, headers, data
            )
        except TransportError as exc:
            outcome = 'may_have_changed' if exc.sent else 'not_changed'
            raise _no_response(
                f'No answer from the API: {exc}', outcome, headers
            ) from exc
        try:
            document = json.loads(reply)
        except ValueError as exc:
            raise _no_response(
                f'The answer with status {status} is not JSON.',
                'may_have_changed',
                headers,
            ) from exc
        if status < 300:
            return document
        raise _error_type(status)(document)


def _no_response(detail, outcome, headers):
    problem = {'detail': detail}
    if change_id := headers.get('Change-Id'):
        problem.update(outcome=outcome, change_id=change_id)
    return Unavailable(problem)


def _error_type(status):
    match status:
        case 404:
            return NotFound
        case 409 | 412:
            return Conflict
        case 500 | 502 | 503 | 504:
            return Unavailable
    return Refused


def _precondition_headers(version):
    if version:
        return {'If-Match': f'"{version}"'}
    return {'If-None-Match': '*'}


def _resource_path(*parts):
    quoted = (urllib.parse.quote(part, safe='') for part in parts)
    return '/v1/' + '/'.join(quoted)

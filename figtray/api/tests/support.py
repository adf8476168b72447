"""In-process operators' API over an in-memory store, for tests."""

import dataclasses
import io
import json
import urllib.parse

from figtray.api import app as app_lib
from figtray.api import credentials
from figtray import clock as clock_lib
from figtray.platform import registry
from figtray.platform import status as status_lib
from figtray.platform import view as views
from figtray.store import memory

CREDENTIAL = 'operator-credential'
DEPLOYMENT = 'test'
IN_FORCE_MS = 3500
QUEUE = {'host': 'jobs.example', 'prefix': '/quotes/', 'pool': 'quoting'}


class SteppingClock(clock_lib.ManualClock):
    """Manual clock that wait() advances immediately by the timeout."""

    def wait(self, event, timeout_ms):
        self.advance(timeout_ms)
        return event.is_set()


class Deployment:
    """In-memory store and an operators' API application that uses it."""

    def __init__(self):
        self.clock = SteppingClock()
        self.store = memory.MemoryStore(self.clock)
        self.app = self.make_app()

    def make_app(self):
        """Return an Application, which stands for one process of the API."""
        return app_lib.Application(
            registry.PlatformRegistry(self.store),
            self._read_status,
            self.clock,
            DEPLOYMENT,
            credentials.hash_credential(CREDENTIAL),
            IN_FORCE_MS,
        )

    def config(self):
        """Return the queues.Config as a node reads it."""
        view = views.OperatorView(self.store, self.clock, IN_FORCE_MS)
        view.watcher.load()
        return view.config()

    def _read_status(self):
        view = views.OperatorView(self.store, self.clock, IN_FORCE_MS)
        return dataclasses.asdict(status_lib.read(self.store, view))

    def call(self, method, path, body=None, app=None, **headers):
        """Call the application.

        Returns:
            (status, headers, decoded document).
        """
        headers.setdefault('Authorization', f'Bearer {CREDENTIAL}')
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body).encode()
        status, response_headers, reply = call_wsgi(
            app or self.app, method, path, headers, data
        )
        return status, response_headers, json.loads(reply)

    def put(self, path, spec, version=0, **headers):
        """PUT a specification, expecting this version; 0 creates."""
        if version:
            headers['If_Match'] = f'"{version}"'
        else:
            headers['If_None_Match'] = '*'
        return self.call('PUT', path, {'spec': spec}, **headers)

    def populate(self):
        """Create a zone, two pools, a team and a queue."""
        for path, data in (
            ('/v1/zones/north', {'in_service': False}),
            ('/v1/pools/quoting', {}),
            ('/v1/pools/spare', {'spare': True}),
            ('/v1/teams/mill', {'cpu_milli': 10}),
            ('/v1/queues/quotes', QUEUE),
        ):
            status, _, document = self.put(path, data)
            assert status == 201, document


class WsgiTransport:
    """Client transport that calls an application in this process.

    Attributes:
        app: WSGI application to call.
        faults: functions for the next requests; each is called after its
            request was executed and may raise an error instead of returning
            the response.
        requests: (method, path) of all requests.
    """

    def __init__(self, app):
        self.app = app
        self.faults = []
        self.requests = []

    def request(self, method, path, headers, body):
        """See figtray.api.client.HttpTransport.request()."""
        self.requests.append((method, path))
        status, _, data = call_wsgi(self.app, method, path, headers, body)
        if self.faults:
            self.faults.pop(0)()
        return status, data


def call_wsgi(app, method, path, headers, body):
    """Call a WSGI application.

    Returns:
        (status, headers, body).
    """
    path, _, query = path.partition('?')
    environ = {
        'REQUEST_METHOD': method,
        'PATH_INFO': urllib.parse.unquote(path),
        'QUERY_STRING': query,
        'wsgi.input': io.BytesIO(body or b''),
    }
    if body is not None:
        environ['CONTENT_LENGTH'] = str(len(body))
    for name, value in headers.items():
        environ['HTTP_' + name.upper().replace('-', '_')] = value
    captured = {}

    def start_response(status, response_headers):
        captured['status'] = int(status.split()[0])
        captured['headers'] = dict(response_headers)

    data = b''.join(app(environ, start_response))
    return captured['status'], captured['headers'], data

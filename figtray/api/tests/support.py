"""Application over in-process entries, called without sockets."""

import io
import json
import urllib.parse

from figtray.api import app as app_lib
from figtray.api import credentials
from figtray import clock as clock_lib
from figtray.configuration import archive as archive_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import writer as writer_lib
from figtray.store import memory

CREDENTIAL = 'operator-credential'
DEPLOYMENT = 'test'


class SteppingClock(clock_lib.ManualClock):
    """Manual clock on which waiting passes the time at once."""

    def wait(self, event, timeout_ms):
        self.advance(timeout_ms)
        return event.is_set()


class Deployment:
    """Store, three entries, a writer and the operators' application."""

    def __init__(self, slots=('entry-1', 'entry-2', 'entry-3'), planner=None):
        self.clock = SteppingClock()
        self.store = memory.MemoryStore(self.clock)
        self.replicas = {
            slot: replica_lib.Replica(DEPLOYMENT) for slot in slots
        }
        self.group = writer_lib.ReplicaGroup(self.replicas)
        self.archive = archive_lib.Archive(self.store, DEPLOYMENT)
        self.app = self.make_app(planner)

    def make_app(self, planner=None):
        """Return another process of the API."""
        writer = writer_lib.Writer(
            self.store, DEPLOYMENT, self.group, self.clock
        )
        return app_lib.Application(
            writer,
            self.archive,
            self.group,
            self.clock,
            DEPLOYMENT,
            credentials.hash_credential(CREDENTIAL),
            planner,
        )

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
        """PUT a specification over a version; 0 creates."""
        if version:
            headers['If_Match'] = f'"{version}"'
        else:
            headers['If_None_Match'] = '*'
        return self.call('PUT', path, {'spec': spec}, **headers)

    def populate(self):
        """Create a zone, two pools, a team and a host."""
        spec = {
            'address': '127.0.0.1:9001',
            'zone': 'north',
            'rack': 'r1',
            'pool': 'quoting',
        }
        for path, data in (
            ('/v1/zones/north', {'region': 'plain'}),
            ('/v1/pools/quoting', {'min_slots': 8}),
            ('/v1/pools/spare', {'spare': True}),
            ('/v1/teams/mill', {'limit': 10}),
            ('/v1/hosts/h1', spec),
        ):
            status, _, document = self.put(path, data)
            assert status == 201, document


class WsgiTransport:
    """Client transport that calls an application in this process.

    `faults` holds functions, one for each of the next requests, that are
    called with the response and may raise instead.
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
    seen = {}

    def start_response(status, response_headers):
        seen['status'] = int(status.split()[0])
        seen['headers'] = dict(response_headers)

    data = b''.join(app(environ, start_response))
    return seen['status'], seen['headers'], data

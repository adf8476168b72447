"""WSGI application that implements the operators' API."""

import http
import threading
import urllib.parse
import uuid

from figtray.api import bodies
from figtray.api import commits
from figtray.api import credentials
from figtray.api import edits as edits_lib
from figtray.api import messages
from figtray.api import problems
from figtray.api import propagation
from figtray.api import routing
from figtray.configuration import keys
from figtray import errors
from figtray.events import log
from figtray import metrics as metrics_lib

DEFAULT_PAGE_SIZE = 100
POLL_INTERVAL_MS = 500
# Served without a credential, for the load balancer.
HEALTH_PATHS = ('/live', '/ready')
# Concurrent long polls. Further ones are answered immediately, so that long
# polls never occupy all threads of the listener.
MAX_LONG_POLLS = 8

ROUTES = (
    routing.Route('GET', '/metrics', 'get_metrics'),
    routing.Route('GET', '/v1/status', 'get_status'),
    routing.Route('POST', '/v1/changes', 'post_changes'),
    routing.Route('GET', '/v1/changes/<generation>', 'get_change'),
    routing.Route('POST', '/v1/keys', 'post_key'),
    routing.Route('POST', '/v1/keys/<name>/withdraw', 'withdraw_key'),
    routing.Route('POST', '/v1/zones/<name>/out', 'zone_out'),
    routing.Route('POST', '/v1/zones/<name>/in', 'zone_in'),
    routing.Route('GET', '/v1/<kind>', 'list_resources'),
    routing.Route('GET', '/v1/<kind>/<name>', 'get_resource'),
    routing.Route('PUT', '/v1/<kind>/<name>', 'put_resource'),
    routing.Route('DELETE', '/v1/<kind>/<name>', 'delete_resource'),
)


class Application:
    """Operators' API over a registry of resources.

    Args:
        registry: configuration.registry.Registry to read and change.
        read_status: function that returns, as plain data, the fields of
            `GET /v1/status` other than `deployment` and `generation`.
        clock: Clock to use.
        deployment: name of the deployment.
        credential_hash: SHA-256 of the bearer credential in hexadecimal.
        in_force_ms: time in milliseconds after which an accepted change is
            in force on every node.
        metrics_page: function that returns the metrics as text, or None if
            the process has no metrics.
    """

    def __init__(
        self,
        registry,
        read_status,
        clock,
        deployment,
        credential_hash,
        in_force_ms,
        metrics_page=None,
    ):
        self._registry = registry
        self._read_status = read_status
        self._clock = clock
        self._deployment = deployment
        self._credential_hash = credential_hash
        self._metrics_page = metrics_page
        self._propagation = propagation.PropagationTracker(clock, in_force_ms)
        self._committer = commits.Committer(registry, self._propagation, clock)
        self._long_polls = threading.Semaphore(MAX_LONG_POLLS)
        self._stopping = threading.Event()

    def close(self):
        """End the long polls and report the process as not ready.

        A graceful stop would otherwise wait for the long polls.
        """
        self._stopping.set()

    def __call__(self, environ, start_response):
        """Handle one request (PEP 3333)."""
        try:
            response = self._respond(environ)
        except Exception as exc:
            problem = problems.from_error(exc)
            if problem.status == http.HTTPStatus.INTERNAL_SERVER_ERROR:
                log.emit_exception('operator request', exc)
            response = messages.Response(
                problem.status,
                problem.document,
                problem.headers,
                problems.CONTENT_TYPE,
            )
        body = response.body
        status = f'{response.status} {http.HTTPStatus(response.status).phrase}'
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(body))),
            ('Cache-Control', 'no-store'),
            *response.headers,
        ]
        start_response(status, headers)
        return [body]

    def _respond(self, environ):
        if environ.get('PATH_INFO') in HEALTH_PATHS:
            return self._get_readiness()
        credentials.check_authorization(
            environ.get('HTTP_AUTHORIZATION', ''), self._credential_hash
        )
        req = messages.Request(environ)
        handler, params = routing.find_handler(ROUTES, req.method, req.path)
        return getattr(self, handler)(req, **params)

    def _get_readiness(self):
        """Return the readiness of this process for the load balancer."""
        is_ready = not self._stopping.is_set()
        return messages.Response(200 if is_ready else 503, {'ready': is_ready})

    def get_metrics(self, req):
        """Return the metrics of this process."""
        if self._metrics_page is None:
            raise problems.ProblemError(
                404, 'not-found', 'This process has no metrics.'
            )
        return messages.Response(
            200, self._metrics_page(), content_type=metrics_lib.CONTENT_TYPE
        )

    def get_status(self, req):
        """Return the generation, the leader, jobs, workers and waves."""
        snapshot = self._registry.read()
        return messages.Response(
            200,
            {
                'deployment': self._deployment,
                'generation': snapshot.generation,
                **self._read_status(),
            },
        )

    def list_resources(self, req, kind):
        """Return one page of the resources of a kind, sorted by name."""
        snapshot = self._registry.read()
        prefix, after = req.query_text('prefix'), req.query_text('after')
        limit = req.query_int(
            'limit', DEFAULT_PAGE_SIZE, 1, messages.MAX_PAGE_SIZE
        )
        names = [
            name
            for name in snapshot.names(kind)
            if name.startswith(prefix) and name > after
        ]
        document = {
            'generation': snapshot.generation,
            'items': [
                snapshot.item(kind, name).document() for name in names[:limit]
            ],
        }
        headers = ()
        if len(names) > limit:
            document['next'] = names[limit - 1]
            query = urllib.parse.urlencode(
                {'prefix': prefix, 'limit': limit, 'after': names[limit - 1]}
            )
            headers = (('Link', f'</v1/{kind.value}?{query}>; rel="next"'),)
        return messages.Response(200, document, headers)

    def get_resource(self, req, kind, name):
        """Return one resource with its version."""
        snapshot = self._registry.read()
        item = snapshot.item(kind, name)
        if item is None:
            raise errors.ResourceNotFound(kind=kind.value, name=name)
        document = {
            **item.document(),
            'generation': snapshot.generation,
        }
        return messages.Response(200, document, _etag(item))

    def put_resource(self, req, kind, name):
        """Create or replace a resource."""
        expected = req.expected_version()
        spec = req.decode_body(bodies.PutBody).spec
        edit = edits_lib.Put(kind, name, spec, expected)
        status = 200 if expected else 201
        return self._commit_one(req, edit, status)

    def delete_resource(self, req, kind, name):
        """Delete a resource that no other resource refers to."""
        expected = req.expected_version()
        if expected == 0:
            raise problems.invalid_value('If-None-Match', '*', 'If-Match')
        return self._commit_one(req, edits_lib.Delete(kind, name, expected))

    def withdraw_key(self, req, name):
        """Withdraw a key, so that calls with it are rejected."""
        return self._commit_one(req, edits_lib.WithdrawKey(name))

    def zone_out(self, req, name):
        """Take a zone out of service."""
        return self._commit_one(req, edits_lib.SetZoneInService(name, False))

    def zone_in(self, req, name):
        """Return a zone to service."""
        return self._commit_one(req, edits_lib.SetZoneInService(name, True))

    def post_changes(self, req):
        """Apply several edits atomically, or only validate them."""
        body = req.decode_body(bodies.ChangesBody)
        edits = [edit.decode() for edit in body.resources]
        if not edits:
            raise problems.invalid_value('resources', [], 'at least one')
        if body.dry_run:
            return self._dry_run(edits)
        generation, items, change_id = self._commit(req, edits)
        return messages.Response(
            200,
            {
                'generation': generation,
                'change_id': change_id,
                'resources': [item.document() for item in items],
                'status': self._propagation.status(generation, generation),
            },
            (('Change-Id', change_id),),
        )

    def get_change(self, req, generation):
        """Return the status of a generation; optionally long-poll.

        A long poll ends when the generation is in force, after `wait_ms`, or
        when the process stops.
        """
        try:
            number = int(generation)
        except ValueError:
            number = -1
        if not 1 <= number < 10**15:
            raise problems.invalid_value('generation', generation, 'a number')
        wait_ms = req.query_int('wait_ms', 0, 0, messages.MAX_WAIT_MS)
        if wait_ms and self._long_polls.acquire(blocking=False):
            try:
                status = self._wait_in_force(number, wait_ms)
            finally:
                self._long_polls.release()
        else:
            status = self._change_status(number)
        return messages.Response(200, {'generation': number, 'status': status})

    def _wait_in_force(self, generation, wait_ms):
        deadline_ms = self._clock.now_ms() + wait_ms
        while True:
            status = self._change_status(generation)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if status.in_force or remaining_ms <= 0 or self._stopping.is_set():
                return status
            self._clock.wait(
                self._stopping, min(POLL_INTERVAL_MS, remaining_ms)
            )

    def _change_status(self, generation):
        return self._propagation.status(
            generation, self._registry.read().generation
        )

    def post_key(self, req):
        """Create a key; only this response contains its secret."""
        team = req.decode_body(bodies.KeyBody).team
        change_id = req.change_id() or uuid.uuid4().hex
        edit = edits_lib.CreateKey(keys.derive_key_id(change_id), team)
        generation, items = self._committer.commit(change_id, [edit])
        document = self._change_document(items[0], generation)
        document['secret'] = items[0].secret
        return messages.Response(
            201, document, (('Change-Id', change_id), *_etag(items[0]))
        )

    def _change_document(self, item, generation):
        return {
            **item.document(),
            'generation': generation,
            'status': self._propagation.status(generation, generation),
        }

    def _commit_one(self, req, edit, status=200):
        generation, items, change_id = self._commit(req, [edit])
        return messages.Response(
            status,
            self._change_document(items[0], generation),
            (('Change-Id', change_id), *_etag(items[0])),
        )

    def _commit(self, req, edits):
        change_id = req.change_id() or uuid.uuid4().hex
        return *self._committer.commit(change_id, edits), change_id

    def _dry_run(self, edits):
        # A dry run makes no store transaction, so the number of edits is
        # bounded only by the length of the body.
        edits_lib.validate(edits, messages.MAX_BODY_BYTES)
        snapshot = self._registry.read()
        items = edits_lib.build_resources(snapshot, edits)
        snapshot.with_changes(items)
        return messages.Response(
            200,
            {
                'generation': snapshot.generation,
                'dry_run': True,
                'resources': [item.document() for item in items],
            },
        )


def _etag(item):
    return (('ETag', f'"{item.version}"'),)

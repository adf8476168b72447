"""Callers' HTTP API: submit, wait, cancel."""

import concurrent.futures
import dataclasses
import re
import threading
import urllib.parse

from figtray.configuration import resources
from figtray.dispatch import tasks as tasks_lib
from figtray.entry import intake as intake_lib
from figtray.entry import outcomes
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.keys import caller_keys
from figtray import listener
from figtray import verdict as verdict_lib

MAX_KEY_LENGTH = 256
MAX_JOB_LENGTH = 128
# Time between two questions to the slot that holds a task.
REMOTE_POLL_MS = 200
RETRY_AFTER_S = 1
EXPIRY_MARGIN_MS = 500
PROBLEM_TYPE = 'urn:figtray:problem:'
PROBLEM_CONTENT_TYPE = 'application/problem+json'

_PRINTABLE = re.compile(r'[\x21-\x7e]+\Z')
_SUBMIT = re.compile(r'/v1/queues/([a-z0-9-]{1,63})/tasks\Z')
_TASK = re.compile(r'/v1/tasks/([a-z0-9.-]{1,128})\Z')
_WAIT = re.compile(r'wait=([0-9]{1,9})\Z')

_STATUS = {
    verdict_lib.RefusalReason.BAD_REQUEST: 400,
    verdict_lib.RefusalReason.CANCELLED: 409,
    verdict_lib.RefusalReason.DEADLINE: 504,
    verdict_lib.RefusalReason.KEY_REFUSED: 403,
    verdict_lib.RefusalReason.QUEUE_FULL: 429,
    verdict_lib.RefusalReason.UNKNOWN_QUEUE: 404,
}
_RETRY_LATER = (429, 503)


class Problem(Exception):
    """A request that is answered with a problem document.

    Without a verdict the document is not about a task.
    """

    def __init__(self, status, name, detail='', verdict='not_run'):
        super().__init__(detail)
        self.status = status
        self.name = name
        self.detail = detail
        self.verdict = verdict


@dataclasses.dataclass(frozen=True)
class SubmitHeaders:
    """Headers of a submission, checked."""

    deadline_ms: int
    wait_ms: int
    idempotent: bool
    urgent: bool
    idempotency_key: str
    job: str


class CallersApp:
    """WSGI application of one entry."""

    def __init__(self, node, cfg, clock, metrics):
        """Set up.

        Args:
            node: the entry.node.Node.
            cfg: EntrySettings.
            clock: a Clock.
            metrics: Metrics.
        """
        self._node = node
        self._cfg = cfg
        self._clock = clock
        self._metrics = metrics
        self._waiting = threading.BoundedSemaphore(cfg.wait_threads)

    def __call__(self, environ, start_response):
        try:
            return self._route(environ, start_response)
        except Problem as exc:
            return _problem(start_response, exc)
        except Exception as exc:
            log.emit_exception('callers api', exc)
            return _problem(
                start_response,
                Problem(500, 'internal-error', verdict='may_have_run'),
            )

    def _route(self, environ, start_response):
        path = environ.get('PATH_INFO', '')
        method = environ.get('REQUEST_METHOD', '')
        if match := _SUBMIT.match(path):
            if method != 'POST':
                raise Problem(405, 'method-not-allowed', 'use POST')
            return self._submit(match.group(1), environ, start_response)
        if match := _TASK.match(path):
            task_id = match.group(1)
            if method == 'GET':
                return self._result(task_id, environ, start_response)
            if method == 'DELETE':
                return self._cancel(task_id, environ, start_response)
            raise Problem(405, 'method-not-allowed', 'use GET or DELETE')
        raise Problem(404, 'no-such-path', path)

    # -- submit -------------------------------------------------------------

    def _submit(self, queue, environ, start_response):
        now_ms = self._clock.now_ms()
        snapshot = self._node.replica.snapshot
        spec = snapshot.spec(resources.Kind.QUEUE, queue)
        team, key_id = self._authenticate(environ, queue, spec)
        if spec is None:
            raise Problem(404, 'unknown-queue', f'no queue {queue}')
        if spec.teams and key_id and team not in spec.teams:
            raise Problem(403, 'key-refused', f'not admitted to {queue}')
        headers = self._headers(environ)
        body = environ['wsgi.input'].read(self._cfg.max_body_bytes + 1)
        if len(body) > self._cfg.max_body_bytes:
            raise Problem(413, 'body-too-large')
        if len(body) != int(environ.get('CONTENT_LENGTH') or len(body)):
            raise Problem(400, 'bad-request', 'the body is incomplete')
        req = tasks_lib.TaskRequest(
            queue=queue,
            pool=spec.pool,
            team=team,
            key_id=key_id,
            body=body,
            received_ms=now_ms,
            deadline_ms=now_ms + headers.deadline_ms,
            urgent=headers.urgent,
            idempotent=headers.idempotent,
            idempotency_key=headers.idempotency_key,
            job=headers.job,
        )
        match self._node.intake.submit(req):
            case intake_lib.Accepted(task):
                task.fut.add_done_callback(
                    lambda fut: self._record(req, task, fut)
                )
                return self._wait(task, headers.wait_ms, start_response)
            case intake_lib.Rejected(other_body=True):
                raise Problem(
                    422,
                    'idempotency-key-reused',
                    'the key was used for another request',
                )
            case intake_lib.Rejected(verdict):
                log.emit(
                    catalogue.REQUEST_REFUSED,
                    team=team,
                    queue=queue,
                    reason=verdict.reason.value,
                    verdict=type(verdict).__name__,
                )
                return _answer(start_response, verdict, '')

    def _authenticate(self, environ, queue, spec):
        """Return (team, key id); the key id is '' on an open queue."""
        header = environ.get('HTTP_AUTHORIZATION')
        if header is None:
            if spec is not None and spec.open:
                return spec.open_team, ''
            raise Problem(401, 'key-missing', 'present a key')
        scheme, _, presented = header.partition(' ')
        snapshot = self._node.replica.snapshot
        team = None
        if scheme.lower() == 'bearer':
            team = caller_keys.verify(
                presented.strip(),
                lambda key_id: snapshot.spec(resources.Kind.KEY, key_id),
            )
        if team is None:
            log.emit(
                catalogue.KEY_REFUSED, key_id='', queue=queue, reason='invalid'
            )
            raise Problem(401, 'key-refused', 'the key is not valid')
        return team, caller_keys.key_id_of(presented.strip())

    def _headers(self, environ):
        deadline_ms = _integer(
            environ,
            'HTTP_DEADLINE_MS',
            self._cfg.default_deadline_ms,
            1,
            self._cfg.max_deadline_ms,
        )
        # The verdict of a request that expires comes just after its deadline.
        wait_ms = deadline_ms + EXPIRY_MARGIN_MS
        prefer = environ.get('HTTP_PREFER')
        if prefer is not None:
            match = _WAIT.match(prefer.strip())
            if match is None:
                raise Problem(400, 'bad-request', 'Prefer: wait=<ms>')
            wait_ms = min(int(match.group(1)), wait_ms)
        return SubmitHeaders(
            deadline_ms=deadline_ms,
            wait_ms=wait_ms,
            idempotent=_boolean(environ, 'HTTP_IDEMPOTENT'),
            urgent=_boolean(environ, 'HTTP_URGENT'),
            idempotency_key=_token(
                environ, 'HTTP_IDEMPOTENCY_KEY', MAX_KEY_LENGTH
            ),
            job=_token(environ, 'HTTP_JOB', MAX_JOB_LENGTH),
        )

    def _wait(self, task, wait_ms, start_response):
        verdict = self._wait_for(task.fut, wait_ms)
        if verdict is None:
            return _pending(start_response, task.task_id)
        return _answer(start_response, verdict, task.task_id)

    def _wait_for(self, fut, wait_ms):
        """Wait for an outcome unless all threads for waiting are taken.

        A caller that can't wait polls; the threads that are left serve
        short requests, so that waiting callers block no one else.
        """
        if fut.done():
            return fut.result()
        if wait_ms <= 0 or not self._waiting.acquire(blocking=False):
            return None
        try:
            return fut.result(wait_ms / 1000)
        except concurrent.futures.TimeoutError:
            return None
        finally:
            self._waiting.release()

    def _record(self, req, task, fut):
        now_ms = self._clock.now_ms()
        started_ms = task.started_ms
        if started_ms is not None and started_ms < req.received_ms:
            # The request repeats a key whose task had started before.
            started_ms = None
        self._metrics.record_request(
            req.team,
            req.urgent,
            fut.result(),
            now_ms - req.received_ms,
            started_ms - req.received_ms if started_ms else None,
            now_ms - started_ms if started_ms else None,
        )

    # -- result and cancel --------------------------------------------------

    def _result(self, task_id, environ, start_response):
        team, _ = self._authenticate(environ, '', None)
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        wait_ms = _bounded(
            'wait_ms',
            query.get('wait_ms', ['0'])[0],
            0,
            self._cfg.max_deadline_ms,
        )
        slot = tasks_lib.slot_of(task_id)
        if slot != self._cfg.slot and slot in self._node.slots:
            verdict = self._remote_result(slot, task_id, team, wait_ms)
        else:
            task = self._node.table.get(task_id)
            if task is None or task.req.team != team:
                raise _unknown_task(task_id)
            verdict = self._wait_for(task.fut, wait_ms)
        if verdict is None:
            return _pending(start_response, task_id)
        return _answer(start_response, verdict, task_id)

    def _remote_result(self, slot, task_id, team, wait_ms):
        end_ms = self._clock.now_ms() + wait_ms
        never = threading.Event()
        while True:
            try:
                reply = self._node.fetch_outcome(slot, task_id, team)
            except errors.PeerUnavailable as exc:
                raise Problem(
                    503, 'owner-unreachable', str(exc), 'may_have_run'
                ) from exc
            if not reply.known:
                raise _unknown_task(task_id)
            if reply.outcome is not None:
                return outcomes.from_message(reply.outcome)
            if self._clock.now_ms() >= end_ms:
                return None
            self._clock.wait(never, REMOTE_POLL_MS)

    def _cancel(self, task_id, environ, start_response):
        team, _ = self._authenticate(environ, '', None)
        slot = tasks_lib.slot_of(task_id)
        try:
            if slot != self._cfg.slot and slot in self._node.slots:
                known = self._node.cancel_at(slot, task_id, team)
            else:
                known = self._node.cancel(task_id, team)
        except errors.PeerUnavailable as exc:
            raise Problem(
                503, 'owner-unreachable', str(exc), 'may_have_run'
            ) from exc
        if not known:
            raise _unknown_task(task_id)
        return listener.json_response(
            start_response, 202, {'task': task_id, 'cancel': 'requested'}
        )


def _answer(start_response, verdict, task_id):
    match verdict:
        case verdict_lib.Answered(status, body, content_type):
            return listener.response(
                start_response,
                status,
                body,
                content_type,
                [('Task-Id', task_id), ('Verdict', 'answered')],
            )
        case verdict_lib.NotRun(reason, detail):
            status = _STATUS.get(reason, 503)
            exc = Problem(status, reason.value, detail)
        case verdict_lib.MayHaveRun(reason, detail):
            exc = Problem(504, reason.value, detail, 'may_have_run')
    return _problem(start_response, exc, task_id)


def _pending(start_response, task_id):
    return listener.json_response(
        start_response,
        202,
        {'task': task_id, 'state': 'pending'},
        [('Location', f'/v1/tasks/{task_id}'), ('Task-Id', task_id)],
    )


def _problem(start_response, exc, task_id=''):
    document = {
        'type': PROBLEM_TYPE + exc.name,
        'title': exc.name.replace('-', ' '),
        'status': exc.status,
        'detail': exc.detail,
        'verdict': exc.verdict,
    }
    headers = [('Task-Id', task_id)] if task_id else []
    if exc.status in _RETRY_LATER:
        headers.append(('Retry-After', str(RETRY_AFTER_S)))
    if exc.status == 401:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return listener.response(
        start_response,
        exc.status,
        listener.to_json(document),
        PROBLEM_CONTENT_TYPE,
        headers,
    )


def _unknown_task(task_id):
    return Problem(
        410,
        'unknown-task',
        f'{task_id} is unknown here, or its result is no longer kept',
        'may_have_run',
    )


def _integer(environ, name, default, low, high):
    value = environ.get(name)
    return default if value is None else _bounded(name, value, low, high)


def _bounded(name, value, low, high):
    if not value.isascii() or not value.isdigit() or len(value) > 12:
        raise Problem(400, 'bad-request', f'{_header(name)}: not a number')
    number = int(value)
    if not low <= number <= high:
        raise Problem(
            400, 'bad-request', f'{_header(name)}: use {low} to {high}'
        )
    return number


def _boolean(environ, name):
    value = environ.get(name, 'false').lower()
    if value not in ('true', 'false'):
        raise Problem(400, 'bad-request', f'{_header(name)}: true or false')
    return value == 'true'


def _token(environ, name, max_length):
    value = environ.get(name, '')
    if value and (len(value) > max_length or not _PRINTABLE.match(value)):
        raise Problem(
            400,
            'bad-request',
            f'{_header(name)}: 1 to {max_length} printable characters',
        )
    return value


def _header(name):
    return name.removeprefix('HTTP_').replace('_', '-').title()

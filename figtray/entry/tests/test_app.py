"""Tests of the callers' HTTP API."""

import concurrent.futures
import io
import json
import types

import pytest

from figtray import clock as clock_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.dispatch import tasks as tasks_lib
from figtray.entry import app as app_lib
from figtray.entry import intake as intake_lib
from figtray import errors
from figtray.keys import caller_keys
from figtray.peers import messages
from figtray import verdict as verdict_lib

KEY = caller_keys.generate()
MAX_BODY_BYTES = 100
SUBMIT = '/v1/queues/plain/tasks'


class FakeIntake:
    """Intake that records requests and gives the answer of a test."""

    def __init__(self):
        self.requests = []
        self.verdict = verdict_lib.Answered(200, b'done', 'text/plain')
        self.rejected = None
        self.task = None

    def submit(self, req):
        self.requests.append(req)
        if self.rejected is not None:
            return self.rejected
        self.task = tasks_lib.Task('entry-1.a', req)
        if self.verdict is not None:
            self.task.finish(self.verdict)
        return intake_lib.Accepted(self.task)


class FakeNode:
    """What the application needs of an entry."""

    slots = ('entry-1', 'entry-2')

    def __init__(self):
        specs = [
            ('pools', 'p', {}),
            ('teams', 'team', {'limit': 5}),
            ('queues', 'plain', {'pool': 'p'}),
            ('queues', 'other', {'pool': 'p', 'teams': ['elsewhere']}),
            ('queues', 'open', {'pool': 'p', 'open': True, 'open_team': 't'}),
            ('keys', KEY.key_id, {'team': 'team', 'hash': KEY.hash}),
        ]
        items = [snapshot_lib.Item(k, n, 1, spec) for k, n, spec in specs]
        empty = snapshot_lib.Snapshot.empty('test')
        change = snapshot_lib.make_change('test', empty.mark, 'c', items)
        self.replica = types.SimpleNamespace(snapshot=empty.apply(change))
        self.intake = FakeIntake()
        self.table = {}
        self.cancelled = []
        self.reply = None

    def cancel(self, task_id, team):
        self.cancelled.append((task_id, team))
        return task_id in self.table

    def cancel_at(self, slot, task_id, team):
        raise errors.PeerUnavailable(peer=slot, detail='down')

    def fetch_outcome(self, slot, task_id, team):
        if self.reply is None:
            raise errors.PeerUnavailable(peer=slot, detail='down')
        return self.reply


class Client:
    """Calls the application without a socket."""

    def __init__(self):
        self.node = FakeNode()
        self.clock = clock_lib.ManualClock()
        cfg = types.SimpleNamespace(
            slot='entry-1',
            wait_threads=1,
            max_body_bytes=MAX_BODY_BYTES,
            default_deadline_ms=20,
            max_deadline_ms=1_000,
        )
        metrics = types.SimpleNamespace(record_request=lambda *args: None)
        self.app = app_lib.CallersApp(self.node, cfg, self.clock, metrics)

    def call(
        self,
        method,
        path,
        body=b'',
        key=KEY.presented,
        length=None,
        **headers,
    ):
        """Send a request.

        Returns:
            (status, headers, body).
        """
        path, _, query = path.partition('?')
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'QUERY_STRING': query,
            'CONTENT_LENGTH': str(len(body) if length is None else length),
            'wsgi.input': io.BytesIO(body),
        }
        if key:
            environ['HTTP_AUTHORIZATION'] = f'Bearer {key}'
        environ.update({f'HTTP_{k.upper()}': v for k, v in headers.items()})
        seen = {}

        def start_response(status, pairs):
            seen['status'] = int(status.split()[0])
            seen['headers'] = dict(pairs)

        answer = b''.join(self.app(environ, start_response))
        return seen['status'], seen['headers'], answer

    def problem(self, *args, **fields):
        """Send a request and return (status, problem type, verdict)."""
        status, headers, body = self.call(*args, **fields)
        assert headers['Content-Type'] == 'application/problem+json'
        document = json.loads(body)
        assert document['status'] == status
        return status, document['type'].split(':')[-1], document['verdict']


@pytest.fixture
def client():
    """Return a new Client."""
    return Client()


class TestSubmit:
    """Guards against requests that are accepted wrongly or answered oddly."""

    def test_answer_is_passed_on(self, client):
        status, headers, body = client.call('POST', SUBMIT, b'x')
        assert (status, body) == (200, b'done')
        assert headers['Task-Id'] == 'entry-1.a'
        assert headers['Content-Type'] == 'text/plain'

    def test_headers_reach_the_request(self, client):
        client.call(
            'POST',
            SUBMIT,
            b'x',
            deadline_ms='700',
            idempotent='true',
            idempotency_key='k-1',
            urgent='true',
            job='j',
        )
        req = client.node.intake.requests[0]
        assert req.deadline_ms == client.clock.now_ms() + 700
        assert (req.team, req.key_id) == ('team', KEY.key_id)
        assert (req.idempotent, req.urgent) == (True, True)
        assert (req.idempotency_key, req.job) == ('k-1', 'j')

    def test_open_queue_needs_no_key(self, client):
        status, _, _ = client.call(
            'POST', '/v1/queues/open/tasks', b'x', key=''
        )
        assert status == 200
        assert client.node.intake.requests[0].team == 't'

    @pytest.mark.parametrize(
        ('path', 'fields', 'expected'),
        [
            (SUBMIT, {'key': ''}, (401, 'key-missing')),
            (SUBMIT, {'key': 'fk_0_0'}, (401, 'key-refused')),
            (SUBMIT, {'key': KEY.presented[:-1] + 'g'}, (401, 'key-refused')),
            ('/v1/queues/none/tasks', {}, (404, 'unknown-queue')),
            ('/v1/queues/other/tasks', {}, (403, 'key-refused')),
            ('/v1/queues/a/../b/tasks', {}, (404, 'no-such-path')),
            (SUBMIT, {'deadline_ms': '0'}, (400, 'bad-request')),
            (SUBMIT, {'deadline_ms': '1001'}, (400, 'bad-request')),
            (SUBMIT, {'deadline_ms': '²'}, (400, 'bad-request')),
            (SUBMIT, {'urgent': 'yes'}, (400, 'bad-request')),
            (SUBMIT, {'prefer': 'wait=soon'}, (400, 'bad-request')),
            (SUBMIT, {'idempotency_key': 'a b'}, (400, 'bad-request')),
            (SUBMIT, {'idempotency_key': 'a' * 257}, (400, 'bad-request')),
            (SUBMIT, {'body': b'x' * 101}, (413, 'body-too-large')),
        ],
    )
    def test_bad_requests_do_not_run(self, client, path, fields, expected):
        body = fields.pop('body', b'x')
        result = client.problem('POST', path, body, **fields)
        assert result == (*expected, 'not_run')
        assert client.node.intake.requests == []

    def test_incomplete_body_is_refused(self, client):
        result = client.problem('POST', SUBMIT, b'x', length=2)
        assert result == (400, 'bad-request', 'not_run')

    def test_other_method_is_refused(self, client):
        assert client.problem('PUT', SUBMIT, b'x')[0] == 405

    @pytest.mark.parametrize(
        ('verdict', 'expected'),
        [
            (
                verdict_lib.NotRun(verdict_lib.RefusalReason.QUEUE_FULL),
                (429, 'queue-full', 'not_run'),
            ),
            (
                verdict_lib.NotRun(verdict_lib.RefusalReason.NO_SERVING_RIGHT),
                (503, 'no-serving-right', 'not_run'),
            ),
            (
                verdict_lib.MayHaveRun(verdict_lib.UncertainReason.TIMEOUT),
                (504, 'timeout', 'may_have_run'),
            ),
        ],
    )
    def test_verdicts_are_told_apart(self, client, verdict, expected):
        client.node.intake.verdict = verdict
        assert client.problem('POST', SUBMIT, b'x') == expected
        client.node.intake.rejected = intake_lib.Rejected(verdict)
        assert client.problem('POST', SUBMIT, b'x') == expected

    def test_reused_key_with_another_body(self, client):
        refusal = verdict_lib.NotRun(verdict_lib.RefusalReason.BAD_REQUEST)
        client.node.intake.rejected = intake_lib.Rejected(refusal, True)
        result = client.problem('POST', SUBMIT, b'x')
        assert result == (422, 'idempotency-key-reused', 'not_run')

    def test_caller_that_does_not_wait_gets_a_location(self, client):
        client.node.intake.verdict = None
        status, headers, _ = client.call('POST', SUBMIT, b'x', prefer='wait=0')
        assert status == 202
        assert headers['Location'] == '/v1/tasks/entry-1.a'

    def test_waiting_callers_leave_threads_for_others(self, client):
        client.node.intake.verdict = None
        client.app._waiting.acquire()
        status, _, _ = client.call('POST', SUBMIT, b'x')
        assert status == 202


class TestResult:
    """Guards against results that reach another team or are invented."""

    def add(self, client, team='team'):
        fut = concurrent.futures.Future()
        fut.set_result(verdict_lib.Answered(200, b'r'))
        client.node.table['entry-1.a'] = types.SimpleNamespace(
            req=types.SimpleNamespace(team=team), fut=fut
        )

    def test_own_result(self, client):
        self.add(client)
        assert client.call('GET', '/v1/tasks/entry-1.a')[2] == b'r'

    def test_result_of_another_team_is_unknown(self, client):
        self.add(client, 'elsewhere')
        result = client.problem('GET', '/v1/tasks/entry-1.a')
        assert result == (410, 'unknown-task', 'may_have_run')

    def test_result_at_another_slot(self, client):
        outcome = messages.Outcome('x', 'answered', status=200, body=b'far')
        client.node.reply = messages.OutcomeReply(True, outcome)
        assert client.call('GET', '/v1/tasks/entry-2.a')[2] == b'far'
        client.node.reply = messages.OutcomeReply(True)
        assert client.call('GET', '/v1/tasks/entry-2.a')[0] == 202

    def test_unreachable_slot_is_not_a_refusal(self, client):
        for method in ('GET', 'DELETE'):
            result = client.problem(method, '/v1/tasks/entry-2.a')
            assert result == (503, 'owner-unreachable', 'may_have_run')

    def test_cancel(self, client):
        self.add(client)
        assert client.call('DELETE', '/v1/tasks/entry-1.a')[0] == 202
        assert client.node.cancelled == [('entry-1.a', 'team')]
        assert client.problem('DELETE', '/v1/tasks/entry-1.b')[0] == 410

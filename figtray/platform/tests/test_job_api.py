"""Tests of the HTTP API for callers."""

import io
import json

import logbook
import pytest

from figtray import clock as clock_lib
from figtray.events import catalogue
from figtray.jobs import intake as intakes
from figtray.jobs import records
from figtray import metrics
from figtray.platform import documents
from figtray.platform import job_api
from figtray.platform import main
from figtray.platform import settings as settings_lib
from figtray.platform import view as views
from figtray.store import base
from figtray.store import memory
from figtray.store.tests import outages

LONG_MS = 20_000
ID = '5c0e7a21d94b36f8'
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'keyed',
            'host': 'a.example',
            'prefix': '/q/',
            'service': 's',
        },
        {
            'name': 'open',
            'host': 'a.example',
            'prefix': '/q/open/',
            'service': 's',
            'public': True,
        },
    ],
    'services': [{'name': 's'}],
    'tenants': [
        {'name': 't', 'api_keys': ['k'], 'weight': 1},
        {'name': 'u', 'api_keys': ['other'], 'weight': 1},
    ],
}
JOB = {'spec': 'x', 'steps': [{'count': 2, 'cpu': 500, 'mem_mb': 64}]}


class Deployment:
    """A JobApi over an in-memory store."""

    def __init__(self, store=None):
        self.clock = store.clock if store else clock_lib.ManualClock()
        self.store = store or memory.MemoryStore(self.clock)
        self.view = views.OperatorView(self.store, self.clock, 3500)
        self.intake = intakes.Intake(self.store, self.clock)
        self.app = job_api.JobApi(
            self.view, self.intake, self.clock, metrics.Metrics('test')
        )

    def write_config(self, config=CONFIG):
        put = base.Put(documents.CONFIG_KEY, json.dumps(config).encode())
        self.store.txn([], [put])
        self.view.watcher.load()

    def call(
        self, method, path, body=None, key='k', host='a.example:80', **headers
    ):
        data = json.dumps(body).encode() if body is not None else b''
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'HTTP_HOST': host,
            'wsgi.input': io.BytesIO(data),
        } | headers
        if key:
            environ['HTTP_AUTHORIZATION'] = f'Token {key}'
        response = {}

        def start_response(status, fields):
            response['status'] = int(status.split()[0])
            response['headers'] = dict(fields)

        [reply] = self.app(environ, start_response)
        return response['status'], json.loads(reply), response['headers']

    def status(self, *args, **kwargs):
        return self.call(*args, **kwargs)[0]


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.write_config()
    return deployment


class TestRouting:
    def test_without_configuration(self):
        assert Deployment().status('GET', f'/q/{ID}') == 503

    def test_longest_prefix_wins(self, deployment):
        assert deployment.status('POST', f'/q/open/{ID}', JOB, key='') == 200

    @pytest.mark.parametrize(
        ('path', 'host'),
        [('/none/' + ID, 'a.example'), ('/q/' + ID, 'b.example')],
    )
    def test_unknown_queue(self, deployment, path, host):
        assert deployment.status('POST', path, JOB, host=host) == 404

    # A node that does not see new configurations told callers for the rest of
    # the day that their queue does not exist.
    def test_queue_that_an_outdated_view_lacks_is_unknown(self, deployment):
        deployment.clock.advance(3501)
        status, _, headers = deployment.call('POST', f'/none/{ID}', JOB)
        assert (status, headers['Retry-After']) == (503, '1')


class TestKeys:
    def test_unknown_key(self, deployment):
        assert deployment.status('POST', f'/q/{ID}', JOB, key='no') == 401
        assert deployment.status('POST', f'/q/{ID}', JOB, key='') == 401
        assert not deployment.store.range(records.INTAKE_PREFIX).items

    # A node that is cut off from the store could accept a withdrawn key.
    def test_outdated_view_refuses_keyed_calls(self, deployment):
        deployment.clock.advance(3501)
        status, _, headers = deployment.call('POST', f'/q/{ID}', JOB)
        assert (status, headers['Retry-After']) == (503, '1')
        assert deployment.status('POST', f'/q/open/{ID}', JOB, key='') == 200

    def test_withdrawn_key(self, deployment):
        later = CONFIG | {'version': 4, 'tenants': CONFIG['tenants'][1:]}
        deployment.write_config(later)
        assert deployment.status('POST', f'/q/{ID}', JOB) == 401

    # A lagging read may return an older document, which must not replace a
    # later one.
    def test_configuration_never_regresses(self, deployment):
        deployment.write_config(CONFIG | {'version': 2, 'tenants': []})
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200

    def test_other_team_cannot_cancel(self, deployment):
        deployment.call('POST', f'/q/{ID}', JOB)
        assert deployment.status('DELETE', f'/q/{ID}', key='other') == 410
        assert not deployment.store.range(records.CANCEL_PREFIX).items


class TestOpenQueue:
    """Rights of callers under a queue that is open to all."""

    METHODS = pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])

    # A key that had been withdrawn gave its holder rights under an open queue
    # that it never had with the key in force.
    @METHODS
    def test_withdrawn_key_works_under_an_open_queue(self, deployment, method):
        deployment.call('POST', f'/q/open/{ID}', JOB, key='')
        later = CONFIG | {'version': 4, 'tenants': CONFIG['tenants'][1:]}
        deployment.write_config(later)
        before = deployment.store.range(records.INTAKE_PREFIX)
        body = JOB if method == 'POST' else None
        assert deployment.status(method, f'/q/open/{ID}', body) == 401
        assert deployment.status('GET', '/q/open/') == 401
        assert deployment.store.range(records.INTAKE_PREFIX) == before

    # A node that is cut off from the store could accept a withdrawn key.
    def test_outdated_view_accepts_a_key_under_an_open_queue(self, deployment):
        deployment.clock.advance(3501)
        assert deployment.status('POST', f'/q/open/{ID}', JOB) == 503
        assert deployment.status('POST', f'/q/open/{ID}', JOB, key='') == 200

    # A caller without a key could read and cancel the jobs of all teams.
    @pytest.mark.parametrize('key', ['', 'other', 'k'])
    @pytest.mark.parametrize('method', ['GET', 'DELETE'])
    def test_job_of_a_keyed_queue_is_found_under_an_open_one(
        self, deployment, key, method
    ):
        deployment.call('POST', f'/q/{ID}', JOB)
        assert deployment.status(method, f'/q/open/{ID}', key=key) == 410
        assert not deployment.store.range(records.CANCEL_PREFIX).items
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'queued'}

    @pytest.mark.parametrize('key', ['', 'other'])
    @pytest.mark.parametrize('method', ['GET', 'DELETE'])
    def test_job_of_a_team_is_found_without_its_key(
        self, deployment, key, method
    ):
        deployment.call('POST', f'/q/open/{ID}', JOB, key='k')
        assert deployment.status(method, f'/q/open/{ID}', key=key) == 410
        assert deployment.status('GET', f'/q/open/{ID}', key='k') == 200
        assert deployment.status('DELETE', f'/q/open/{ID}', key='k') == 200

    # What is stored without a key is anyone's who calls under the queue; a
    # valid key takes no right away.
    @pytest.mark.parametrize('key', ['', 'k'])
    def test_job_without_a_team_is_lost_to_a_caller(self, deployment, key):
        path = f'/q/open/{ID}'
        deployment.call('POST', path, JOB, key='')
        assert deployment.status('POST', path, JOB, key=key) == 200
        assert deployment.status('GET', path, key=key) == 200
        assert deployment.status('DELETE', path, key=key) == 200

    # A job was told to be accepted, and never ran.
    @pytest.mark.parametrize('key', ['', 'other'])
    @pytest.mark.parametrize('path', ['/q/', '/q/open/'])
    def test_id_is_blocked_by_the_cancellation_of_another(
        self, deployment, key, path
    ):
        early = deployment.status('DELETE', f'/q/open/{ID}', key=key)
        assert early == 410
        assert deployment.status('POST', f'{path}{ID}', JOB) == 200
        assert deployment.call('GET', f'{path}{ID}')[1] == {'state': 'queued'}
        assert not deployment.store.range(records.CANCEL_PREFIX).items


class TestOwnQueue:
    """A job is found under its own queue, and nowhere else."""

    RENAMED = CONFIG['routes'][0] | {'name': 'renamed'}
    MOVED = CONFIG['routes'][0] | {'prefix': '/elsewhere/'}

    def set_routes(self, deployment, version, *routes):
        deployment.write_config(
            CONFIG | {'version': version, 'routes': list(routes)}
        )

    def forget_address(self, deployment):
        """Store the job as an earlier release did."""
        key = records.JOB_PREFIX + ID
        job = json.loads(deployment.store.get(key).value)
        del job['host'], job['prefix']
        deployment.store.txn([], [base.Put(key, json.dumps(job).encode())])

    def check_found(self, deployment, prefix):
        path = f'{prefix}{ID}'
        assert deployment.call('GET', path)[1] == {'state': 'queued'}
        assert deployment.status('POST', path, JOB) == 200
        assert deployment.status('GET', path, key='other') == 410
        assert deployment.status('DELETE', path, key='other') == 410
        assert not deployment.store.range(records.CANCEL_PREFIX).items
        assert deployment.status('DELETE', path) == 200
        assert deployment.store.get(records.CANCEL_PREFIX + ID)

    @pytest.mark.parametrize('method', ['GET', 'DELETE'])
    def test_job_is_found_under_another_queue(self, deployment, method):
        deployment.call('POST', f'/q/open/{ID}', JOB, key='')
        assert deployment.status(method, f'/q/{ID}') == 410
        assert not deployment.store.range(records.CANCEL_PREFIX).items

    def test_other_team_reads_the_state(self, deployment):
        deployment.call('POST', f'/q/{ID}', JOB)
        assert deployment.status('GET', f'/q/{ID}', key='other') == 410

    # A caller was told that its job was accepted, and it never ran.
    @pytest.mark.parametrize(
        ('path', 'key'), [('/q/', 'other'), ('/q/open/', 'k')]
    )
    def test_submission_under_a_taken_id_is_accepted(
        self, deployment, path, key
    ):
        deployment.call('POST', f'/q/{ID}', JOB)
        assert deployment.status('POST', f'{path}{ID}', JOB, key=key) == 409
        job = deployment.store.get(records.JOB_PREFIX + ID)
        assert records.decode_job(job.value).team == 't'

    # The queue of an accepted job gets a new name, or a new address.
    @pytest.mark.parametrize('route', [RENAMED, MOVED])
    def test_job_of_a_renamed_queue_is_unknown(self, deployment, route):
        deployment.call('POST', f'/q/{ID}', JOB)
        self.set_routes(deployment, 4, route)
        self.check_found(deployment, route['prefix'])

    # Records of earlier releases lack the address of their queue.
    @pytest.mark.parametrize('route', [RENAMED, MOVED])
    def test_stored_job_of_a_renamed_queue_is_unknown(self, deployment, route):
        deployment.call('POST', f'/q/{ID}', JOB)
        self.forget_address(deployment)
        self.set_routes(deployment, 4, route)
        self.check_found(deployment, route['prefix'])

    def test_stored_job_is_found_under_another_queue(self, deployment):
        deployment.call('POST', f'/q/{ID}', JOB)
        self.forget_address(deployment)
        assert deployment.status('GET', f'/q/open/{ID}') == 410

    # The address of its queue is that of another one for a while.
    def test_job_of_a_queue_that_returns_is_unknown(self, deployment):
        deployment.call('POST', f'/q/{ID}', JOB)
        self.set_routes(deployment, 4, CONFIG['routes'][1])
        assert deployment.status('GET', f'/q/{ID}') == 404
        assert deployment.status('GET', f'/q/open/{ID}') == 410
        self.set_routes(deployment, 5, *CONFIG['routes'])
        self.check_found(deployment, '/q/')

    # Its cancellation was sent under the former name of the queue.
    def test_cancellation_before_a_renaming_is_forgotten(self, deployment):
        assert deployment.status('DELETE', f'/q/{ID}') == 410
        self.set_routes(deployment, 4, self.RENAMED)
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'cancelled'}
        assert deployment.store.get(records.JOB_PREFIX + ID) is None


class TestSubmission:
    def test_job_is_stored_once(self, deployment):
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        before = deployment.store.get(records.JOB_PREFIX + ID)
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        assert deployment.store.get(records.JOB_PREFIX + ID) == before
        job = records.decode_job(before.value)
        assert (job.team, job.queue, job.steps[0].count) == ('t', 'keyed', 2)

    # A 503 response means that the job never runs.
    def test_nothing_is_stored_after_a_refusal(self, deployment):
        deployment.store.down = True
        assert deployment.status('POST', f'/q/{ID}', JOB) == 503
        deployment.store.down = False
        assert deployment.store.get(records.JOB_PREFIX + ID) is None

    def test_submission_is_retried_after_a_lost_reply(self, deployment):
        deployment.store.replies_to_lose = 1
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        assert deployment.store.get(records.JOB_PREFIX + ID) is not None

    def test_lost_replies_are_reported_as_uncertain(self, deployment):
        deployment.store.replies_to_lose = 100
        assert deployment.status('POST', f'/q/{ID}', JOB) == 504

    @pytest.mark.parametrize(
        'body',
        [
            None,
            {},
            {'spec': 'x', 'steps': []},
            {'spec': 'x' * 4001, 'steps': [{'count': 1}]},
            {'spec': 'x', 'steps': [{'count': 0}]},
            {'spec': 'x', 'steps': [{'count': 1, 'after': [0]}]},
            {'spec': 'x', 'steps': [{'count': 1, 'after': [-1]}]},
            {'spec': 'x', 'steps': [{'count': 'many'}]},
            {'spec': 'x', 'steps': [{'count': 10_000}] * 11},
            {'spec': 'x', 'steps': [{'count': 1, 'cpu': -1}]},
            {'spec': 'x', 'steps': [{'count': 1, 'mem_mb': 10**400}]},
            {'spec': 'x', 'steps': [{'count': 1, 'gpu': 10**10}]},
            {'spec': 'x', 'steps': [{'count': 1, 'estimate_ms': -1}]},
            {'spec': 'x', 'steps': [{'count': 1, 'target_ms': 10**30}]},
            {'spec': 'x', 'steps': [{'count': 1, 'max_per_server': -1}]},
            {'spec': 'x', 'steps': [{'count': 1, 'may_miss': -1}]},
            JOB | {'repeats': -1},
            JOB | {'repeats': 10**9},
            JOB | {'repeats': 2, 'start_ms': -1},
            JOB | {'repeats': 2, 'interval_ms': -1},
            JOB | {'repeats': 2, 'interval_ms': 10**400},
        ],
    )
    def test_bad_job(self, deployment, body):
        status, reply, _ = deployment.call('POST', f'/q/{ID}', body)
        assert status == 400
        assert reply['error']
        assert not deployment.store.range(records.INTAKE_PREFIX).items

    # Callers know the names of the platform only.
    def test_error_names_a_field_that_callers_do_not_know(self, deployment):
        step = {'count': 1, 'max_per_server': -1}
        body = {'spec': 'x', 'steps': [step]}
        _, reply, _ = deployment.call('POST', f'/q/{ID}', body)
        assert reply['error'].startswith('steps[0].max_per_server: not 0 to ')

    # Its caller was told of an internal error, and a traceback was logged.
    def test_deep_job_is_an_internal_error(self, deployment):
        body = b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}'
        status, reply, _ = deployment.call(
            'POST', f'/q/{ID}', **{'wsgi.input': io.BytesIO(body)}
        )
        assert status == 400
        assert 'unreadable' in reply['error']

    # A time limit that no call reaches is none.
    @pytest.mark.parametrize(
        'text', ['9' * 5000, '-1', '\u0663', '1.5', '', '0']
    )
    def test_odd_deadline_is_an_internal_error(self, deployment, text):
        headers = {'HTTP_X_FIGTRAY_DEADLINE_MS': text}
        assert deployment.status('POST', f'/q/{ID}', JOB, **headers) == 200

    def test_bad_id(self, deployment):
        assert deployment.status('POST', '/q/short', JOB) == 404


class TestState:
    def test_states(self, deployment):
        assert deployment.status('GET', f'/q/{ID}') == 410
        deployment.call('POST', f'/q/{ID}', JOB)
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'queued'}
        progress = records.Progress(state=records.State.COMPLETED)
        deployment.store.txn(
            [],
            [base.Put(records.PROGRESS_PREFIX + ID, records.encode(progress))],
        )
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'completed'}

    # Each further call to a slow store may come too late for the caller.
    @pytest.mark.parametrize('calls', [2, 1])
    def test_state_takes_more_calls(self, deployment, monkeypatch, calls):
        deployment.call('POST', f'/q/{ID}', JOB)
        if calls == 1:
            self.begin(deployment, owner=records.Caller('t', 'keyed'))
        keys = []
        read = deployment.store.get

        def get(key, **kwargs):
            keys.append(key)
            return read(key, **kwargs)

        monkeypatch.setattr(deployment.store, 'get', get)
        assert deployment.status('GET', f'/q/{ID}') == 200
        assert len(keys) == calls

    # The progress of earlier releases does not tell whose the job is.
    @pytest.mark.parametrize('owner', [records.Caller('t', 'keyed'), None])
    def test_state_of_a_begun_job_is_told_to_others(self, deployment, owner):
        deployment.call('POST', f'/q/{ID}', JOB)
        self.begin(deployment, owner=owner)
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'running'}
        assert deployment.status('GET', f'/q/{ID}', key='other') == 410
        assert deployment.status('GET', f'/q/open/{ID}') == 410
        assert deployment.status('GET', f'/q/open/{ID}', key='') == 410

    def begin(self, deployment, **fields):
        """Store the progress of a job that runs."""
        progress = records.Progress(records.State.RUNNING, **fields)
        put = base.Put(records.PROGRESS_PREFIX + ID, records.encode(progress))
        deployment.store.txn([], [put])

    # A stored job must not be reported as unknown during a store outage.
    def test_outage_is_not_reported_as_unknown_job(self, deployment):
        deployment.call('POST', f'/q/{ID}', JOB)
        deployment.store.down = True
        assert deployment.status('GET', f'/q/{ID}') == 503

    # The caller of an accepted job was told 500 at each question, and a
    # traceback was logged.
    @pytest.mark.parametrize('prefix', [records.PROGRESS_PREFIX, None])
    def test_unreadable_job_is_an_internal_error(self, deployment, prefix):
        key = (prefix or records.JOB_PREFIX) + ID
        deployment.call('POST', f'/q/{ID}', JOB)
        deployment.store.txn([], [base.Put(key, b'{"x":' + b'[' * 60_000)])
        with logbook.TestHandler() as handler:
            for _ in range(3):
                status, reply, headers = deployment.call('GET', f'/q/{ID}')
                assert (status, headers['Retry-After']) == (503, '1')
                assert 'unreadable' in reply['error']
        named = [
            record.extra['fields']['record']
            for record in handler.records
            if record.extra['event'] is catalogue.RECORD_UNREADABLE
        ]
        assert named == [key]

    # Nobody but an operator could end such a job.
    def test_unreadable_job_stays_after_its_cancellation(self, deployment):
        deployment.call('POST', f'/q/{ID}', JOB)
        put = base.Put(records.PROGRESS_PREFIX + ID, b'odd')
        deployment.store.txn([], [put])
        assert deployment.status('DELETE', f'/q/{ID}') == 200
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'cancelled'}

    # The team of the job is unknown, so another one could cancel it.
    def test_unreadable_job_is_cancelled_by_any_team(self, deployment):
        put = base.Put(records.JOB_PREFIX + ID, b'odd')
        deployment.store.txn([], [put])
        assert deployment.status('DELETE', f'/q/{ID}') == 503
        assert not deployment.store.range(records.CANCEL_PREFIX).items

    def test_waiting_jobs(self, deployment):
        assert deployment.call('GET', '/q/')[1] == {'pending': 0}
        counts = records.WaitingJobs({'keyed': 4})
        deployment.store.txn(
            [], [base.Put(records.WAITING_KEY, records.encode(counts))]
        )
        assert deployment.call('GET', '/q/')[1] == {'pending': 4}

    # The job may be that of the caller, and may be readable for the leader.
    def test_unreadable_job_is_accepted_again(self, deployment):
        put = base.Put(records.JOB_PREFIX + ID, b'odd')
        deployment.store.txn([], [put])
        assert deployment.status('POST', f'/q/{ID}', JOB) == 504


class TestCancel:
    def test_cancel(self, deployment):
        deployment.call('POST', f'/q/{ID}', JOB)
        assert deployment.status('DELETE', f'/q/{ID}') == 200
        assert deployment.status('DELETE', f'/q/{ID}') == 200

    # A cancellation may overtake its submission, which must then not run.
    def test_cancellation_before_submission_stays_in_force(self, deployment):
        assert deployment.status('DELETE', f'/q/{ID}') == 410
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        assert deployment.store.get(records.JOB_PREFIX + ID) is None
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'cancelled'}

    # Two callers cancel a job of theirs before it is stored.
    @pytest.mark.parametrize('other', [('/q/', 'other'), ('/q/open/', '')])
    def test_cancellation_replaces_that_of_another(self, deployment, other):
        path, key = other
        calls = [(path, key), ('/q/', 'k')]
        for path, key in [*calls, *calls]:
            status = deployment.status('DELETE', f'{path}{ID}', key=key)
            assert status == 410
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        assert deployment.store.get(records.JOB_PREFIX + ID) is None
        item = deployment.store.get(records.CANCEL_PREFIX + ID)
        record = records.decode_cancellation(item.value)
        assert len(record.cancellers) == 2

    # The job is stored between the two calls of its cancellation.
    @pytest.mark.parametrize(('key', 'cancelled'), [('k', 1), ('other', 0)])
    def test_cancellation_overlooks_a_job_that_is_just_stored(
        self, deployment, monkeypatch, key, cancelled
    ):
        write = deployment.store.txn
        posted = []

        def submit_first(compares, puts, *args, **kwargs):
            if not posted:
                posted.append(True)
                assert deployment.status('POST', f'/q/{ID}', JOB) == 200
            return write(compares, puts, *args, **kwargs)

        monkeypatch.setattr(deployment.store, 'txn', submit_first)
        status = deployment.status('DELETE', f'/q/{ID}', key=key)
        assert status == (200 if cancelled else 410)
        found = deployment.store.range(records.CANCEL_PREFIX).items
        assert len(found) == cancelled

    # Records of earlier releases do not tell under which queue a job was
    # cancelled.
    def test_stored_cancellation_of_an_earlier_release_is_ignored(
        self, deployment
    ):
        put = base.Put(records.CANCEL_PREFIX + ID, b'{"team":"t"}')
        deployment.store.txn([], [put])
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        assert deployment.store.get(records.JOB_PREFIX + ID) is None

    # A reply is lost while the cancellation of another gives way.
    def test_job_is_stored_twice_after_a_lost_reply(self, deployment):
        deployment.call('DELETE', f'/q/open/{ID}', key='')
        deployment.store.replies_to_lose = 1
        assert deployment.status('POST', f'/q/{ID}', JOB) == 200
        assert deployment.call('GET', f'/q/{ID}')[1] == {'state': 'queued'}
        assert not deployment.store.range(records.CANCEL_PREFIX).items


class TestStop:
    BOUNDS = settings_lib.Bounds()

    def call_in_stop(self, method, begins_ms):
        """Call a node that stops while its store gives no answer.

        Args:
            method: HTTP method.
            begins_ms: time from the signal to the call.

        Returns:
            Status, headers, duration of the call in milliseconds, and the time
            from its end to the close of the front.
        """
        deployment = Deployment(outages.HangingStore())
        deployment.write_config()
        deployment.store.fail_for(LONG_MS)
        stopped_ms = deployment.clock.now_ms()
        deployment.intake.end_calls_by(
            main.calls_end_ms(stopped_ms, self.BOUNDS)
        )
        deployment.clock.advance(begins_ms)
        began_ms = deployment.clock.now_ms()
        body = JOB if method == 'POST' else None
        status, _, headers = deployment.call(
            method, f'/q/open/{ID}', body, key=''
        )
        now_ms = deployment.clock.now_ms()
        left_ms = main.front_closes_ms(stopped_ms, self.BOUNDS) - now_ms
        return status, headers, now_ms - began_ms, left_ms

    # A request that came 2.8 s after the signal, or later, waited for the
    # store until after the front had closed, and was cut off.
    @pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])
    @pytest.mark.parametrize('begins_ms', range(2300, 5200, 100))
    def test_request_is_answered_before_the_front_closes(
        self, method, begins_ms
    ):
        status, _, duration_ms, left_ms = self.call_in_stop(method, begins_ms)
        assert status in (503, 504)
        assert not duration_ms or left_ms >= main.ANSWER_MARGIN_MS

    # A request for which no time was left waited for nothing.
    @pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])
    def test_request_without_time_for_a_call_is_refused_at_once(self, method):
        begins_ms = main.calls_end_ms(0, self.BOUNDS)
        status, headers, duration_ms, _ = self.call_in_stop(method, begins_ms)
        assert (status, headers['Retry-After'], duration_ms) == (503, '1', 0)

    # A job that may have been stored must not be answered with 503.
    def test_write_that_may_be_stored_is_reported_as_uncertain(self):
        late_ms = main.calls_end_ms(0, self.BOUNDS) - 300
        for begins_ms in (0, late_ms):
            assert self.call_in_stop('POST', begins_ms)[0] == 504

    # The limit of a stop must not lengthen the caller's own.
    def test_time_limit_of_the_caller_still_counts(self):
        deployment = Deployment(outages.HangingStore())
        deployment.write_config()
        deployment.store.fail_for(LONG_MS)
        began_ms = deployment.clock.now_ms()
        deployment.intake.end_calls_by(began_ms + LONG_MS)
        deployment.call(
            'GET', f'/q/open/{ID}', HTTP_X_FIGTRAY_DEADLINE_MS='400'
        )
        assert deployment.clock.now_ms() - began_ms == 250

"""Tests of the callers' address."""

import io
import json

import pytest

from figtray import clock as clock_lib
from figtray.jobs import intake as intakes
from figtray.jobs import records
from figtray import metrics
from figtray.platform import documents
from figtray.platform import front
from figtray.platform import view as views
from figtray.store import base
from figtray.store import memory

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


class Site:
    """A front over an in-memory store."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.store = memory.MemoryStore(self.clock)
        self.view = views.OperatorView(self.store, self.clock, 3500)
        self.front = front.Front(
            self.view,
            intakes.Intake(self.store, self.clock),
            self.clock,
            metrics.Metrics('test'),
        )

    def configure(self, config=CONFIG):
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
        seen = {}

        def start_response(status, fields):
            seen['status'] = int(status.split()[0])
            seen['headers'] = dict(fields)

        [reply] = self.front(environ, start_response)
        return seen['status'], json.loads(reply), seen['headers']

    def status(self, *args, **kwargs):
        return self.call(*args, **kwargs)[0]


@pytest.fixture
def site():
    site = Site()
    site.configure()
    return site


class TestRouting:
    def test_without_configuration(self):
        assert Site().status('GET', f'/q/{ID}') == 503

    def test_longest_prefix(self, site):
        assert site.status('POST', f'/q/open/{ID}', JOB, key='') == 200

    @pytest.mark.parametrize(
        ('path', 'host'),
        [('/none/' + ID, 'a.example'), ('/q/' + ID, 'b.example')],
    )
    def test_unknown_queue(self, site, path, host):
        assert site.status('POST', path, JOB, host=host) == 404


class TestKeys:
    def test_unknown_key(self, site):
        assert site.status('POST', f'/q/{ID}', JOB, key='no') == 401
        assert site.status('POST', f'/q/{ID}', JOB, key='') == 401
        assert not site.store.range(records.INTAKE_PREFIX).items

    # A key that was withdrawn must not work on an entry that is cut off.
    def test_outdated_view_refuses_keyed_calls(self, site):
        site.clock.advance(3501)
        status, _, headers = site.call('POST', f'/q/{ID}', JOB)
        assert (status, headers['Retry-After']) == (503, '1')
        assert site.status('POST', f'/q/open/{ID}', JOB, key='') == 200

    def test_withdrawn_key(self, site):
        later = CONFIG | {'version': 4, 'tenants': CONFIG['tenants'][1:]}
        site.configure(later)
        assert site.status('POST', f'/q/{ID}', JOB) == 401

    # An older document that a lagging read shows must not come back.
    def test_configuration_never_regresses(self, site):
        site.configure(CONFIG | {'version': 2, 'tenants': []})
        assert site.status('POST', f'/q/{ID}', JOB) == 200

    def test_other_team_can_not_cancel(self, site):
        site.call('POST', f'/q/{ID}', JOB)
        assert site.status('DELETE', f'/q/{ID}', key='other') == 410
        assert not site.store.range(records.CANCEL_PREFIX).items


class TestSubmission:
    def test_job_is_stored_once(self, site):
        assert site.status('POST', f'/q/{ID}', JOB) == 200
        before = site.store.get(records.JOB_PREFIX + ID)
        assert site.status('POST', f'/q/{ID}', JOB) == 200
        assert site.store.get(records.JOB_PREFIX + ID) == before
        job = records.decode_job(before.value)
        assert (job.team, job.queue, job.steps[0].count) == ('t', 'keyed', 2)

    # 503 promises that the job never runs.
    def test_refusal_only_when_nothing_was_stored(self, site):
        site.store.down = True
        assert site.status('POST', f'/q/{ID}', JOB) == 503
        site.store.down = False
        assert site.store.get(records.JOB_PREFIX + ID) is None

    def test_lost_reply_is_resolved_by_repeating(self, site):
        site.store.replies_to_lose = 1
        assert site.status('POST', f'/q/{ID}', JOB) == 200
        assert site.store.get(records.JOB_PREFIX + ID) is not None

    def test_lost_replies_are_no_refusal(self, site):
        site.store.replies_to_lose = 100
        assert site.status('POST', f'/q/{ID}', JOB) == 504

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
        ],
    )
    def test_bad_job(self, site, body):
        status, reply, _ = site.call('POST', f'/q/{ID}', body)
        assert status == 400
        assert reply['error']
        assert not site.store.range(records.INTAKE_PREFIX).items

    def test_bad_id(self, site):
        assert site.status('POST', '/q/short', JOB) == 404


class TestState:
    def test_states(self, site):
        assert site.status('GET', f'/q/{ID}') == 410
        site.call('POST', f'/q/{ID}', JOB)
        assert site.call('GET', f'/q/{ID}')[1] == {'state': 'queued'}
        progress = records.Progress(state=records.State.COMPLETED)
        site.store.txn(
            [],
            [base.Put(records.PROGRESS_PREFIX + ID, records.encode(progress))],
        )
        assert site.call('GET', f'/q/{ID}')[1] == {'state': 'completed'}

    # A stored job must not be reported as unknown while the store is away.
    def test_outage_is_not_unknown(self, site):
        site.call('POST', f'/q/{ID}', JOB)
        site.store.down = True
        assert site.status('GET', f'/q/{ID}') == 503

    def test_waiting_jobs(self, site):
        assert site.call('GET', '/q/')[1] == {'pending': 0}
        counts = records.WaitingJobs({'keyed': 4})
        site.store.txn(
            [], [base.Put(records.WAITING_KEY, records.encode(counts))]
        )
        assert site.call('GET', '/q/')[1] == {'pending': 4}


class TestCancel:
    def test_cancel(self, site):
        site.call('POST', f'/q/{ID}', JOB)
        assert site.status('DELETE', f'/q/{ID}') == 200
        assert site.status('DELETE', f'/q/{ID}') == 200

    # The submission may still be on its way.
    def test_cancel_of_an_unknown_job_stays_in_force(self, site):
        assert site.status('DELETE', f'/q/{ID}') == 410
        assert site.status('POST', f'/q/{ID}', JOB) == 200
        assert site.store.get(records.JOB_PREFIX + ID) is None
        assert site.call('GET', f'/q/{ID}')[1] == {'state': 'cancelled'}

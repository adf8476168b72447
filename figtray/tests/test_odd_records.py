"""Tests that put what no reader expects before each reader of records."""

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from figtray import errors
from figtray.jobs import records
from figtray.leadership import term as terms
from figtray.platform import documents
from figtray.scheduling import lease_horizon
from figtray.scheduling import roster as rosters
from figtray.upkeep import host_orders
from figtray.upkeep import wave_state

DEPTH = 60_000
ODD_BYTES = {
    'empty': b'',
    'text': b'no JSON',
    'type': b'[1]',
    'null': b'null',
    'utf-8': b'{"x":"\xff"',
    'digits': b'{"x":1' + b'0' * 5000,
    'deep-list': b'{"x":' + b'[' * DEPTH + b']' * DEPTH + b'}',
    'deep-object': b'{"x":' * DEPTH + b'1' + b'}' * DEPTH,
}
# A new reader joins by a line here.
READERS = {
    'config': documents.decode_config,
    'wave': documents.decode_wave,
    'worker': lambda data: documents.decode_worker('servers/a', data, None),
    'job': records.decode_job,
    'progress': records.decode_progress,
    'cancellation': records.decode_cancellation,
    'waiting-jobs': records.decode_waiting_jobs,
    'policies': records.decode_last_policies,
    'roster': rosters.decode,
    'leader': terms.decode,
    'host-orders': host_orders.decode,
    'wave-record': wave_state.decode,
    'leases': lease_horizon.decode,
}

JOB = {'queue': 'q', 'team': 't', 'payload': 'p', 'steps': [{'count': 2}]}
POLICY = {'version': 1, 'pool': 'p'}
ROUTE = {'name': 'q', 'host': 'h', 'prefix': '/', 'service': 's'}
# What each entry refuses, or no leader writes; the decoders of the type take
# all of it.
ODD_CONTENT = {
    'policies': [
        {'queues': {'q': POLICY | {'attempts': 10**400}}},
        {'queues': {'q': POLICY | {'stretch': 1e300}}},
        {'queues': {'q': POLICY | {'advice': [1, 2]}}},
        {'teams': {'t': {'version': 1, 'weight': 1e300}}},
    ],
    'job': [
        JOB | {'queue_policy': POLICY | {'slack_ms': 10**20}},
        JOB | {'queue_policy': POLICY | {'stretch': 1e300}},
        JOB | {'steps': []},
        JOB | {'steps': [{'count': 0}]},
        JOB | {'steps': [{'count': 10**9}]},
        JOB | {'steps': [{'count': -1}]},
        JOB | {'steps': [{'count': 10_000}] * 11},
        JOB | {'steps': [{'count': 1, 'after': [0]}]},
        JOB | {'steps': [{'count': 1, 'after': [-1]}]},
        JOB | {'steps': [{'count': 1, 'needs': {'cpu_milli': -1}}]},
        JOB | {'steps': [{'count': 1, 'needs': {'memory_mb': 10**400}}]},
        JOB | {'steps': [{'count': 1, 'estimate_ms': -1}]},
        JOB | {'repeats': 10**9},
        JOB | {'repeats': -1},
        JOB | {'start_ms': 10**400},
        JOB | {'accepted_ms': 10**400},
    ],
    'wave': [
        {'wave': -1},
        {'wave': '1'},
        {'wave': 10**400},
        {'wave': 1, 'duration_s': 1e300},
        {'wave': 1, 'duration_s': 1.7e308},
        {'wave': 1, 'duration_s': -1},
        {'wave': 1, 'maximum': -1},
        {'wave': 1, 'maximum': 10**400},
        {'wave': 1, 'machines': ['host'] * 100_001},
        {'wave': 1, 'machines': [1]},
    ],
    'config': [
        {'version': -1},
        {'version': 10**400},
        {'version': 1, 'tenants': [{'name': 't', 'weight': 1e300}]},
        {'version': 1, 'tenants': [{'name': 't', 'maximum': {'cpu': -1}}]},
        {'version': 1, 'routes': [ROUTE | {'priority': 10**400}]},
        {'version': 1, 'routes': [ROUTE | {'stretch': 1e300}]},
        {'version': 1, 'routes': [ROUTE | {'target_latency_ms': 10**400}]},
        {'version': 1, 'routes': [ROUTE | {'advice': {'valid_ms': 10**30}}]},
        {'version': 1, 'routes': [ROUTE | {'host': 3}]},
    ],
    'progress': [
        {'done': {'0.0': -1}},
        {'done': {'0.0': 1 << 10_000}},
        {'done': {'a.0': 1}},
        {'done': {'': 1}},
        {'done': {'0.0.0': 1}},
        {'failures': {'0.0': [1]}},
        {'failures': {'0.0.-1': [1]}},
        {'checkpoints': {'x': 'c'}},
        {'placements': {'\u0663.0.0': ['worker', 1]}},
        {'crashes': {'1' * 5000: [[1], 1]}},
        {'crashes': {'0.0.0': [[1], -1]}},
        {'crashes': {'0.0.0': [[1], 1, [], 10**400]}},
        {'ended_ms': -1},
        {'ended_ms': 10**400},
        {'state': 'odd'},
    ],
}


class TestOddContent:
    # Guards against a record that is readable, and ends its user by an
    # unexpected error.
    @pytest.mark.parametrize(
        ('reader', 'content'),
        [(name, item) for name, odd in ODD_CONTENT.items() for item in odd],
    )
    def test_content_is_taken_for_a_record(self, reader, content):
        data = msgspec.json.encode(content)
        with pytest.raises(errors.UnreadableMessage):
            READERS[reader](data)

    def test_usual_job_is_unreadable(self):
        assert records.decode_job(msgspec.json.encode(JOB)).steps[0].count == 2

    # What is stored of tasks that the job doesn't have is not used.
    def test_progress_of_a_large_step_is_unreadable(self):
        progress = records.Progress(
            done={'99.0': (1 << 10_000) - 1}, checkpoints={'0.0.9999': 'c'}
        )
        data = records.encode(progress)
        assert records.decode_progress(data) == progress


class TestOddBytes:
    # Guards against a record that ends its reader by an unexpected error.
    @pytest.mark.parametrize('odd', ODD_BYTES)
    @pytest.mark.parametrize('reader', READERS)
    def test_bytes_raise_another_error(self, reader, odd):
        with pytest.raises(errors.UnreadableMessage):
            READERS[reader](ODD_BYTES[odd])


KEYS = st.text(max_size=6) | st.sampled_from(
    'version routes wave machines duration_s steps count after needs done '
    'state failures placements crashes lives begun 0.0 0.0.0'.split()
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=8,
)
BYTES = st.binary(max_size=60) | VALUES.map(msgspec.json.encode)


class TestAnyBytes:
    # Guards against an error that the tables above don't list.
    @pytest.mark.parametrize('reader', READERS)
    @hypothesis.settings(max_examples=60, deadline=None)
    @hypothesis.given(data=BYTES)
    def test_bytes_raise_another_error(self, reader, data):
        try:
            READERS[reader](data)
        except errors.UnreadableMessage as exc:
            assert len(str(exc)) < 400

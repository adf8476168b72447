"""Tests of the registry when the operators' documents are odd."""

import pytest

from figtray.api.tests import support
from figtray.platform import documents
from figtray.store import base

DEEP = b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}'
WAVE = {'hosts': ['h1'], 'duration_ms': 1000, 'max_down': 1}


@pytest.fixture
def deployment():
    deployment = support.Deployment()
    deployment.populate()
    return deployment


def write(deployment, key, value):
    deployment.store.txn([], [base.Put(key, value)])


class TestOddDocuments:
    # Each request was an internal error, also of operators who could have
    # mended the document.
    @pytest.mark.parametrize(
        'odd',
        [
            DEEP,
            b'',
            b'[]',
            b'{"version":"x"}',
            b'{"version":1,"services":[{}]}',
            b'{"version":1,"services":3}',
            b'{"version":1,"tenants":[{"name":"t","api_keys":[3]}]}',
            b'{"version":1,"tenants":[{"name":"t","maximum":{"cpu":-1}}]}',
        ],
    )
    def test_odd_configuration_is_an_internal_error(self, deployment, odd):
        write(deployment, documents.CONFIG_KEY, odd)
        assert deployment.call('GET', '/v1/pools/quoting')[0] == 503
        assert deployment.put('/v1/pools/new', {})[0] == 503
        assert deployment.store.get(documents.CONFIG_KEY).value == odd

    # One odd wave hid all resources.
    @pytest.mark.parametrize('odd', [DEEP, b'', b'{"wave":1,"maximum":-1}'])
    def test_odd_wave_hides_the_others(self, deployment, odd):
        key = f'{documents.WAVE_PREFIX}1'
        write(deployment, key, odd)
        assert deployment.call('GET', '/v1/pools/quoting')[0] == 200
        assert deployment.put('/v1/pools/new', {})[0] == 201
        assert deployment.put('/v1/waves/2', WAVE)[0] == 201
        # A change must not lose what it can't read.
        assert deployment.put('/v1/waves/1', WAVE)[0] == 503
        assert deployment.store.get(key).value == odd

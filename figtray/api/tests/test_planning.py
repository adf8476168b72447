"""Tests of the preview of capacity plans."""

import concurrent.futures

import pytest

from figtray.api import planning
from figtray.api.tests import support
from figtray.hostlist import memory as hostlist_memory


@pytest.fixture
def host_list():
    return hostlist_memory.MemoryHostList()


@pytest.fixture
def deployment(host_list):
    result = support.Deployment()
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        planner = planning.Planner(
            host_list,
            result.group,
            dict,
            result.clock,
            executor,
            wall_s=lambda: 0,
        )
        result.app = result.make_app(planner)
        result.populate()
        yield result


class TestPlanner:
    """Guards against previews that fail or change something."""

    def test_broken_budget_is_named(self, deployment):
        version = deployment.call('GET', '/v1/pools/quoting')[2]['version']
        edit = {
            'kind': 'pools',
            'name': 'quoting',
            'version': version,
            'spec': {'min_slots': 800},
        }
        body = {'resources': [edit]}
        before = deployment.store.revision
        status, _, document = deployment.call('POST', '/v1/plan', body)
        assert status == 200
        assert 'pool quoting lacks 792 slots now' in document['plan']['broken']
        assert deployment.store.revision == before

    def test_without_a_change(self, deployment):
        status, _, document = deployment.call(
            'POST', '/v1/plan', {'resources': []}
        )
        assert (status, document['plan']['moves']) == (200, [])

    def test_host_list_down(self, deployment, host_list):
        host_list.down = True
        status, _, problem = deployment.call('POST', '/v1/plan', {})
        assert status == 503
        assert problem['type'].endswith('host-list-unavailable')

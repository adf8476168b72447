"""Tests of the operators' API."""

import pytest

from figtray.api import app as app_lib
from figtray.api.tests import support
from figtray import errors
from figtray.jobs import model
from figtray.store import base


@pytest.fixture
def deployment():
    result = support.Deployment()
    result.populate()
    return result


class TestResources:
    """Guards against changes without the right expected version."""

    def test_create_read_replace_delete(self, deployment):
        status, headers, created = deployment.put(
            '/v1/teams/farm', {'cpu_milli': 3}
        )
        assert status == 201
        assert created['spec'] == {
            'weight': 1,
            'cpu_milli': 3,
            'memory_mb': 0,
            'gpus': 0,
        }
        assert created['status'] == {'accepted': True, 'in_force': False}
        team = deployment.config().teams['farm']
        assert team.limit == model.Resources(3, 0, 0)
        status, headers, read = deployment.call('GET', '/v1/teams/farm')
        assert headers['ETag'] == f'"{created["version"]}"'
        assert read['generation'] == created['generation']
        status, _, new = deployment.put(
            '/v1/teams/farm', {'cpu_milli': 4}, created['version']
        )
        assert (status, new['spec']['cpu_milli']) == (200, 4)
        status, _, _ = deployment.call(
            'DELETE', '/v1/teams/farm', If_Match=f'"{new["version"]}"'
        )
        assert status == 200
        assert deployment.call('GET', '/v1/teams/farm')[0] == 404
        assert deployment.put('/v1/teams/farm', {'cpu_milli': 1})[0] == 201

    def test_change_without_condition(self, deployment):
        before = deployment.store.revision
        body = {'spec': {'cpu_milli': 1}}
        assert deployment.call('PUT', '/v1/teams/x', body)[0] == 428
        assert deployment.call('DELETE', '/v1/teams/mill')[0] == 428
        assert deployment.store.revision == before

    def test_conflict_returns_current_resource(self, deployment):
        current = deployment.call('GET', '/v1/teams/mill')[2]
        status, _, problem = deployment.put('/v1/teams/mill', {'cpu_milli': 1})
        assert status == 412
        assert problem['current']['version'] == current['version']
        assert problem['current']['spec'] == current['spec']
        assert problem['outcome'] == 'not_changed'
        status, _, problem = deployment.put(
            '/v1/teams/no', {'cpu_milli': 1}, 9
        )
        assert (status, problem['current']) == (412, None)

    def test_delete_of_referenced_resource(self, deployment):
        version = deployment.call('GET', '/v1/pools/quoting')[2]['version']
        status, _, problem = deployment.call(
            'DELETE', '/v1/pools/quoting', If_Match=f'"{version}"'
        )
        assert (status, problem['referrer']) == (409, 'queues/quotes')

    def test_pages(self, deployment):
        for name in ('a1', 'a2', 'a3', 'b1'):
            deployment.put(f'/v1/teams/{name}', {'cpu_milli': 1})
        path = '/v1/teams?prefix=a&limit=2'
        status, headers, page = deployment.call('GET', path)
        assert [item['name'] for item in page['items']] == ['a1', 'a2']
        link = headers['Link'].split('>')[0][1:]
        last = deployment.call('GET', link)[2]
        assert [item['name'] for item in last['items']] == ['a3']
        assert 'next' not in last


class TestBadInput:
    """Guards against invalid input that gets no clear error response."""

    @pytest.mark.parametrize(
        ('spec', 'field', 'value'),
        [
            ({'weight': 'x'}, 'weight', 'x'),
            ({'cpu_milli': -1}, 'cpu_milli', -1),
            ({'gpus': 1, 'colour': 2}, 'colour', 2),
            ({'memory_mb': None}, 'memory_mb', None),
            ({'cpu_milli': 2**70}, 'cpu_milli', 2**70),
        ],
    )
    def test_validation(self, deployment, spec, field, value):
        status, _, problem = deployment.put('/v1/teams/farm', spec)
        assert status == 422
        assert (problem['field'], problem['value']) == (field, value)
        assert problem['allowed']

    @pytest.mark.parametrize(
        ('body', 'status'),
        [
            (b'{', 400),
            (b'\xff', 400),
            (b'{"spec":' * 100_000, 400),
            (b'[' * 1000, 422),
            (b'{"spec": []}', 422),
            (b'{"spec": {"gpus": 1}, "x": 1}', 422),
            (b' ' * 1_000_001, 413),
            (None, 411),
        ],
    )
    def test_bodies(self, deployment, body, status):
        result = deployment.call(
            'PUT', '/v1/teams/farm', body, If_None_Match='*'
        )
        assert result[0] == status
        assert result[1]['Content-Type'] == 'application/problem+json'

    @pytest.mark.parametrize(
        ('method', 'path', 'headers', 'status'),
        [
            ('GET', '/v1/zones', {'Authorization': ''}, 401),
            ('GET', '/v1/zones', {'Authorization': 'Bearer x'}, 401),
            ('GET', '/v1/nothing', {}, 404),
            ('PATCH', '/v1/zones/north', {}, 405),
            ('GET', '/v1/zones/' + 'a' * 600, {}, 414),
            ('GET', '/v1/zones', {'X': 'a' * 2000}, 431),
            ('GET', '/v1/zones?limit=0', {}, 422),
            ('GET', '/v1/zones?limit=x', {}, 422),
            ('DELETE', '/v1/zones/north', {'If_Match': '*'}, 422),
            ('POST', '/v1/zones/south/out', {}, 404),
        ],
    )
    def test_requests(self, deployment, method, path, headers, status):
        result = deployment.call(method, path, **headers)
        assert result[0] == status
        assert result[2]['status'] == status

    def test_dangling_reference(self, deployment):
        spec = {**support.QUEUE, 'pool': 'none'}
        status, _, problem = deployment.put('/v1/queues/q', spec)
        assert (status, problem['field']) == (422, 'pool')


class TestKeys:
    """Guards against secrets that are shown twice or outlive their key."""

    def test_grant_and_withdraw(self, deployment):
        status, _, created = deployment.call(
            'POST', '/v1/keys', {'team': 'mill'}
        )
        assert status == 201
        assert deployment.config().team_of_key(created['secret']) == 'mill'
        path = f'/v1/keys/{created["name"]}'
        shown = deployment.call('GET', '/v1/keys')[2]
        assert [item['name'] for item in shown['items']] == [created['name']]
        assert created['secret'] not in str(shown)
        assert created['secret'] not in str(deployment.call('GET', path)[2])
        assert deployment.call('POST', path + '/withdraw')[0] == 200
        assert deployment.config().team_of_key(created['secret']) is None
        status, _, problem = deployment.call('POST', path + '/withdraw')
        assert (status, problem['outcome']) == (404, 'not_changed')

    def test_key_cannot_be_put(self, deployment):
        status, _, _ = deployment.put('/v1/keys/k1', {'team': 'mill'})
        assert status == 422

    def test_team_with_keys_is_not_deleted(self, deployment):
        deployment.call('POST', '/v1/keys', {'team': 'mill'})
        version = deployment.call('GET', '/v1/teams/mill')[2]['version']
        status, _, problem = deployment.call(
            'DELETE', '/v1/teams/mill', If_Match=f'"{version}"'
        )
        assert (status, problem['referrer'][:5]) == (409, 'keys/')

    def test_retried_grant_creates_one_key(self, deployment):
        for expected in (201, 409):
            status, _, _ = deployment.call(
                'POST',
                '/v1/keys',
                {'team': 'mill'},
                app=deployment.make_app(),
                Change_Id='grant-1',
            )
            assert status == expected
        assert len(deployment.call('GET', '/v1/keys')[2]['items']) == 1


class TestDocuments:
    """Guards against changes that drop stored data which they don't edit."""

    def test_unknown_fields_are_preserved(self, deployment):
        key = 'op/config'
        text = (
            b'{"version":7,"limits":{"x":1},"routes":[{"name":"q",'
            b'"host":"h","prefix":"/","service":"p","extra":2}],'
            b'"services":[{"name":"p"}],"tenants":[]}'
        )
        deployment.store.txn([], [base.Put(key, text)])
        queue = deployment.call('GET', '/v1/queues/q')[2]
        spec = {**queue['spec'], 'attempts': 4}
        path = '/v1/queues/q'
        assert deployment.put(path, spec, queue['version'])[0] == 200
        stored = deployment.store.get(key).value
        assert b'"limits":{"x":1}' in stored
        assert b'"extra":2' in stored
        assert b'"version":8' in stored
        assert deployment.config().queues['q'].attempts == 4

    def test_unreadable_document_is_not_replaced(self, deployment):
        deployment.store.txn([], [base.Put('op/config', b'{')])
        status, _, problem = deployment.put('/v1/pools/p', {})
        assert (status, problem['outcome']) == (503, 'not_changed')
        assert deployment.store.get('op/config').value == b'{'

    def test_waves(self, deployment):
        spec = {'hosts': ['h1', 'h2'], 'duration_ms': 5000, 'max_down': 1}
        assert deployment.put('/v1/waves/3', spec)[0] == 201
        assert deployment.call('GET', '/v1/waves/3')[2]['spec'] == spec
        assert deployment.put('/v1/waves/x', spec)[0] == 422

    def test_zone_out_and_in(self, deployment):
        key = 'op/evacuate/north'
        assert deployment.store.get(key) is not None
        assert deployment.call('POST', '/v1/zones/north/in')[0] == 200
        assert deployment.store.get(key) is None


class TestOutcomes:
    """Guards against wrong or missing outcomes of failed changes."""

    def test_store_down(self, deployment):
        deployment.store.set_down(True)
        status, headers, problem = deployment.put(
            '/v1/teams/farm', {'cpu_milli': 1}
        )
        assert (status, problem['outcome']) == (503, 'not_changed')
        assert headers['Change-Id'] == problem['change_id']
        assert deployment.call('GET', '/v1/teams/mill')[0] == 503

    def test_lost_reply_then_retried(self, deployment):
        deployment.store.replies_to_lose = 1
        status, headers, problem = deployment.put(
            '/v1/teams/farm', {'cpu_milli': 1}
        )
        assert (status, problem['outcome']) == (503, 'may_have_changed')
        revision = deployment.store.revision
        status, _, created = deployment.put('/v1/teams/farm', {'cpu_milli': 1})
        assert (status, created['spec']['cpu_milli']) == (201, 1)
        # The retry finds the resource with its content, without a conflict.
        assert deployment.store.revision <= revision + 1

    def test_concurrent_changes(self, deployment):
        """Both changes are made, as the one that lost the race is repeated."""
        read = deployment.store.range
        other = deployment.make_app()

        def race(prefix):
            result = read(prefix)
            if prefix.startswith('op'):
                deployment.store.range = read
                deployment.call(
                    'PUT',
                    '/v1/teams/other',
                    {'spec': {'gpus': 1}},
                    app=other,
                    If_None_Match='*',
                )
            return result

        deployment.store.range = race
        assert deployment.put('/v1/teams/farm', {'gpus': 2})[0] == 201
        names = [
            item['name']
            for item in deployment.call('GET', '/v1/teams')[2]['items']
        ]
        assert names == ['farm', 'mill', 'other']

    def test_store_forbids_write(self, deployment):
        def refuse(*args, **kwargs):
            raise errors.WriteForbidden(detail='403')

        deployment.store.txn = refuse
        status, _, problem = deployment.put('/v1/teams/farm', {})
        assert (status, problem['outcome']) == (403, 'not_changed')


class TestAtomicChange:
    """Guards against a change of several resources that is made in part."""

    def test_all_or_nothing(self, deployment):
        team = {'kind': 'teams', 'name': 'farm', 'version': 0}
        pool = {'kind': 'pools', 'name': 'gate', 'version': 0, 'spec': {}}
        edits = [pool, {**team, 'spec': {'cpu_milli': 1}, 'version': 7}]
        status, _, _ = deployment.call(
            'POST', '/v1/changes', {'resources': edits}
        )
        assert status == 412
        assert deployment.call('GET', '/v1/pools/gate')[0] == 404
        edits[1]['version'] = 0
        body = {'resources': edits, 'dry_run': True}
        assert deployment.call('POST', '/v1/changes', body)[0] == 200
        assert deployment.call('GET', '/v1/pools/gate')[0] == 404
        body['dry_run'] = False
        status, _, created = deployment.call('POST', '/v1/changes', body)
        assert {item['name'] for item in created['resources']} == {
            'gate',
            'farm',
        }
        assert deployment.call('GET', '/v1/pools/gate')[0] == 200

    def test_invalid_sets_of_edits(self, deployment):
        edit = {'kind': 'pools', 'name': 'gate', 'version': 0, 'spec': {}}
        zones = [
            {**edit, 'kind': 'zones', 'name': f'z{number}'}
            for number in range(16)
        ]
        for edits in ([edit, edit], [], [edit] * 101, zones):
            body = {'resources': edits}
            assert deployment.call('POST', '/v1/changes', body)[0] == 422


class TestInForce:
    """Guards against reporting a change as in force too early."""

    def test_waits_for_in_force_time(self, deployment):
        created = deployment.put('/v1/teams/farm', {'cpu_milli': 1})[2]
        assert created['status']['in_force'] is False
        path = f'/v1/changes/{created["generation"]}'
        status = deployment.call('GET', path + '?wait_ms=3400')[2]['status']
        assert status['in_force'] is False
        status = deployment.call('GET', path + '?wait_ms=200')[2]['status']
        assert status == {'accepted': True, 'in_force': True}

    def test_other_process_counts_from_first_observation(self, deployment):
        created = deployment.put('/v1/teams/farm', {'cpu_milli': 1})[2]
        deployment.clock.advance(60_000)
        path = f'/v1/changes/{created["generation"]}?wait_ms='
        other = deployment.make_app()
        for wait_ms, in_force in ((3400, False), (200, True)):
            status, _, document = deployment.call(
                'GET', f'{path}{wait_ms}', app=other
            )
            assert document['status']['in_force'] is in_force

    def test_unknown_generation(self, deployment):
        document = deployment.call('GET', '/v1/changes/99?wait_ms=50')[2]
        assert document['status']['accepted'] is False

    def test_excess_long_polls_return_immediately(
        self, deployment, monkeypatch
    ):
        monkeypatch.setattr(app_lib, 'MAX_LONG_POLLS', 0)
        app = deployment.make_app()
        before_ms = deployment.clock.now_ms()
        path = '/v1/changes/99?wait_ms=10000'
        assert deployment.call('GET', path, app=app)[0] == 200
        assert deployment.clock.now_ms() == before_ms

    def test_close_ends_long_polls(self, deployment):
        deployment.app.close()
        before_ms = deployment.clock.now_ms()
        path = '/v1/changes/99?wait_ms=10000'
        assert deployment.call('GET', path)[0] == 200
        assert deployment.clock.now_ms() == before_ms


class TestHealth:
    """Guards against routing requests to a process that is stopping."""

    def test_ready_until_close(self, deployment):
        assert deployment.call('GET', '/ready', Authorization='')[0] == 200
        deployment.app.close()
        assert deployment.call('GET', '/ready', Authorization='')[0] == 503

    def test_metrics_need_the_credential(self, deployment):
        assert deployment.call('GET', '/metrics', Authorization='')[0] == 401
        assert deployment.call('GET', '/metrics')[0] == 404

"""Tests of the operators' API."""

import pytest

from figtray.api import app as app_lib
from figtray.api.tests import support
from figtray.keys import caller_keys


@pytest.fixture
def deployment():
    result = support.Deployment()
    result.populate()
    return result


class TestResources:
    """Guards against changes without or against the expected version."""

    def test_create_read_replace_delete(self, deployment):
        status, headers, made = deployment.put('/v1/teams/farm', {'limit': 3})
        assert status == 201
        assert made['spec'] == {'limit': 3, 'weight': 1}
        assert made['status'] == {
            'accepted': True,
            'in_force': True,
            'unconfirmed': [],
        }
        status, headers, read = deployment.call('GET', '/v1/teams/farm')
        assert headers['ETag'] == f'"{made["version"]}"'
        assert read['generation'] == made['version']
        status, _, new = deployment.put(
            '/v1/teams/farm', {'limit': 4}, made['version']
        )
        assert (status, new['spec']['limit']) == (200, 4)
        status, _, _ = deployment.call(
            'DELETE', '/v1/teams/farm', If_Match=f'"{new["version"]}"'
        )
        assert status == 200
        assert deployment.call('GET', '/v1/teams/farm')[0] == 404
        assert deployment.put('/v1/teams/farm', {'limit': 1})[0] == 201

    def test_change_without_condition(self, deployment):
        before = deployment.store.revision
        body = {'spec': {'limit': 1}}
        assert deployment.call('PUT', '/v1/teams/x', body)[0] == 428
        assert deployment.call('DELETE', '/v1/teams/mill')[0] == 428
        assert deployment.store.revision == before

    def test_conflict_returns_the_current_value(self, deployment):
        current = deployment.call('GET', '/v1/teams/mill')[2]
        status, _, problem = deployment.put('/v1/teams/mill', {'limit': 1})
        assert status == 412
        assert problem['current']['version'] == current['version']
        assert problem['current']['spec'] == current['spec']
        assert problem['outcome'] == 'not_changed'
        status, _, problem = deployment.put('/v1/teams/no', {'limit': 1}, 9)
        assert (status, problem['current']) == (412, None)

    def test_deletion_while_referred_to(self, deployment):
        version = deployment.call('GET', '/v1/pools/quoting')[2]['version']
        status, _, problem = deployment.call(
            'DELETE', '/v1/pools/quoting', If_Match=f'"{version}"'
        )
        assert (status, problem['referrer']) == (409, 'hosts/h1')

    def test_pages(self, deployment):
        for name in ('a1', 'a2', 'a3', 'b1'):
            deployment.put(f'/v1/teams/{name}', {'limit': 1})
        path = '/v1/teams?prefix=a&limit=2'
        status, headers, page = deployment.call('GET', path)
        assert [item['name'] for item in page['items']] == ['a1', 'a2']
        link = headers['Link'].split('>')[0][1:]
        last = deployment.call('GET', link)[2]
        assert [item['name'] for item in last['items']] == ['a3']
        assert 'next' not in last


class TestBadInput:
    """Guards against input that is accepted or answered unclearly."""

    @pytest.mark.parametrize(
        ('spec', 'field', 'value'),
        [
            ({'limit': 'x'}, 'limit', 'x'),
            ({'limit': -1}, 'limit', -1),
            ({'limit': 1, 'colour': 2}, 'colour', 2),
            ({}, 'limit', None),
            ({'limit': 2**70}, 'limit', 2**70),
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
            (b'{"spec": {"limit": 1}, "x": 1}', 422),
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

    def test_reference_to_nothing(self, deployment):
        status, _, problem = deployment.put('/v1/queues/q', {'pool': 'none'})
        assert (status, problem['field']) == (422, 'pool')


class TestHosts:
    """Guards against operators writing what the controller owns."""

    def test_state_and_pool(self, deployment):
        host = deployment.call('GET', '/v1/hosts/h1')[2]
        for field, value in (('state', 'draining'), ('pool', 'spare')):
            spec = {**host['spec'], field: value}
            status, _, problem = deployment.put(
                '/v1/hosts/h1', spec, host['version']
            )
            assert (status, problem['field']) == (422, field)
        spec = {**host['spec'], 'wanted_pool': 'spare'}
        del spec['state']
        assert deployment.put('/v1/hosts/h1', spec, host['version'])[0] == 200

    def test_new_host_is_serving(self, deployment):
        spec = deployment.call('GET', '/v1/hosts/h1')[2]['spec']
        status, _, problem = deployment.put(
            '/v1/hosts/h2', {**spec, 'state': 'released'}
        )
        assert (status, problem['field']) == (422, 'state')


class TestKeys:
    """Guards against a stored secret and an ineffective withdrawal."""

    def test_grant_and_withdraw(self, deployment):
        status, _, made = deployment.call('POST', '/v1/keys', {'team': 'mill'})
        assert status == 201
        snapshot = deployment.replicas['entry-1'].snapshot
        keys = snapshot.specs(app_lib.resources.Kind.KEY)
        assert caller_keys.verify(made['secret'], keys.get) == 'mill'
        assert 'secret' not in deployment.call('GET', '/v1/keys')[2]['items']
        items = deployment.store.range('/').items
        secret = made['secret'].rsplit('_', 1)[1].encode()
        assert not any(secret in item.value for item in items)
        path = f'/v1/keys/{made["name"]}'
        for _ in range(2):
            assert deployment.call('POST', path + '/withdraw')[0] == 200
        snapshot = deployment.replicas['entry-1'].snapshot
        keys = snapshot.specs(app_lib.resources.Kind.KEY)
        assert caller_keys.verify(made['secret'], keys.get) is None
        key = deployment.call('GET', path)[2]
        spec = {**key['spec'], 'withdrawn': False}
        assert deployment.put(path, spec, key['version'])[0] == 422

    def test_repeated_grant_makes_one_key(self, deployment):
        for expected in (201, 409):
            status, _, _ = deployment.call(
                'POST', '/v1/keys', {'team': 'mill'}, Change_Id='grant-1'
            )
            assert status == expected
        assert len(deployment.call('GET', '/v1/keys')[2]['items']) == 1


class TestOutcomes:
    """Guards against a failed change whose outcome is wrong or unclear."""

    def test_store_down(self, deployment):
        deployment.store.set_down(True)
        status, headers, problem = deployment.put(
            '/v1/teams/farm', {'limit': 1}
        )
        assert (status, problem['outcome']) == (503, 'not_changed')
        assert headers['Change-Id'] == problem['change_id']
        assert deployment.call('GET', '/v1/teams/mill')[0] == 200

    def test_no_majority(self, deployment):
        deployment.group.reachable = {'entry-1'}
        status, _, problem = deployment.put('/v1/teams/farm', {'limit': 1})
        assert (status, problem['outcome']) == (503, 'not_changed')

    def test_stored_not_accepted_then_retried(self, deployment):
        push, deployment.group.push = deployment.group.push, lambda _: set()
        status, headers, problem = deployment.put(
            '/v1/teams/farm', {'limit': 1}
        )
        assert (status, problem['outcome']) == (503, 'stored_not_accepted')
        deployment.group.push = push
        generation = deployment.archive.read_head()[0].generation
        status, _, made = deployment.put(
            '/v1/teams/farm', {'limit': 1}, Change_Id=headers['Change-Id']
        )
        assert (status, made['version']) == (201, generation)

    def test_repeated_change_is_recognised(self, deployment):
        spec = {'pool': 'quoting', 'teams': ['mill']}
        made = deployment.put('/v1/queues/q', spec, Change_Id='c1')
        assert made[0] == 201
        assert deployment.put('/v1/queues/q', spec, Change_Id='c1') == made
        other = deployment.make_app()
        body = {'spec': spec}
        headers = {'If_None_Match': '*', 'Change_Id': 'c1'}
        path = '/v1/queues/q'
        again = deployment.call('PUT', path, body, app=other, **headers)
        assert again == made

    def test_change_id_of_another_change(self, deployment):
        deployment.put('/v1/teams/farm', {'limit': 1}, Change_Id='c1')
        status, _, problem = deployment.put(
            '/v1/teams/farm', {'limit': 2}, Change_Id='c1'
        )
        assert (status, problem['type'][-16:]) == (422, 'change-id-reused')

    def test_diverged_store(self, deployment):
        other = support.Deployment()
        other.populate()
        other.put('/v1/teams/farm', {'limit': 1})
        deployment.store.restore(other.store.dump())
        status, _, problem = deployment.put('/v1/teams/x', {'limit': 1})
        assert (status, problem['outcome']) == (409, 'not_changed')
        assert problem['type'].endswith('store-diverged')


class TestJointChange:
    """Guards against a joint change that is made in part."""

    def test_all_or_nothing(self, deployment):
        team = {'kind': 'teams', 'name': 'farm', 'version': 0}
        pool = {'kind': 'pools', 'name': 'gate', 'version': 0, 'spec': {}}
        edits = [pool, {**team, 'spec': {'limit': 1}, 'version': 7}]
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
        status, _, made = deployment.call('POST', '/v1/changes', body)
        versions = {item['version'] for item in made['resources']}
        assert versions == {made['generation']}

    def test_wrong_number_of_resources(self, deployment):
        edit = {'kind': 'pools', 'name': 'gate', 'version': 0, 'spec': {}}
        for edits in ([edit, edit], [], [edit] * 101):
            body = {'resources': edits}
            assert deployment.call('POST', '/v1/changes', body)[0] == 422


class TestInForce:
    """Guards against calling a change in force too early."""

    def test_waits_for_missing_slot_or_the_freshness(self, deployment):
        deployment.group.reachable = {'entry-1', 'entry-2'}
        made = deployment.put('/v1/teams/farm', {'limit': 1})[2]
        assert made['status']['in_force'] is False
        path = f'/v1/changes/{made["version"]}'
        status = deployment.call('GET', path + '?wait_ms=2900')[2]['status']
        assert status['in_force'] is False
        status = deployment.call('GET', path + '?wait_ms=200')[2]['status']
        assert status == {
            'accepted': True,
            'in_force': True,
            'unconfirmed': ['entry-3'],
        }

    def test_other_process_counts_from_its_first_sight(self, deployment):
        deployment.group.reachable = {'entry-1', 'entry-2'}
        made = deployment.put('/v1/teams/farm', {'limit': 1})[2]
        deployment.clock.advance(60_000)
        path = f'/v1/changes/{made["version"]}?wait_ms='
        other = deployment.make_app()
        for wait_ms, in_force in ((2900, False), (200, True)):
            status, _, document = deployment.call(
                'GET', f'{path}{wait_ms}', app=other
            )
            assert document['status']['in_force'] is in_force

    def test_unknown_generation(self, deployment):
        document = deployment.call('GET', '/v1/changes/99?wait_ms=50')[2]
        assert document['status']['accepted'] is False

    def test_too_many_long_polls_are_answered_at_once(
        self, deployment, monkeypatch
    ):
        monkeypatch.setattr(app_lib, 'MAX_LONG_POLLS', 0)
        app = deployment.make_app()
        before_ms = deployment.clock.now_ms()
        path = '/v1/changes/99?wait_ms=10000'
        assert deployment.call('GET', path, app=app)[0] == 200
        assert deployment.clock.now_ms() == before_ms

    def test_stop_ends_the_wait(self, deployment):
        deployment.app.close()
        before_ms = deployment.clock.now_ms()
        path = '/v1/changes/99?wait_ms=10000'
        assert deployment.call('GET', path)[0] == 200
        assert deployment.clock.now_ms() == before_ms


class TestHealth:
    """Guards against a stopping process that still gets requests."""

    def test_ready_until_the_stop(self, deployment):
        assert deployment.call('GET', '/ready', Authorization='')[0] == 200
        deployment.app.close()
        assert deployment.call('GET', '/ready', Authorization='')[0] == 503

    def test_metrics_need_the_credential(self, deployment):
        assert deployment.call('GET', '/metrics', Authorization='')[0] == 401
        assert deployment.call('GET', '/metrics')[0] == 404


class TestPlan:
    """Guards against an unclear answer without a planner."""

    def test_without_planner(self, deployment):
        assert deployment.call('POST', '/v1/plan', {})[0] == 501

    def test_plan_after_a_change_that_is_not_made(self):
        deployment = support.Deployment(
            planner=lambda snapshot, items: [item.name for item in items]
        )
        edit = {'kind': 'pools', 'name': 'gate', 'version': 0, 'spec': {}}
        body = {'resources': [edit]}
        assert deployment.call('POST', '/v1/plan', body)[2] == {
            'generation': 0,
            'plan': ['gate'],
        }
        assert deployment.call('GET', '/v1/pools/gate')[0] == 404

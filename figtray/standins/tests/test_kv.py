"""Tests of the key-value stand-in's protocol and controls."""

import pytest

from figtray import clock as clock_lib
from figtray import errors
from figtray.standins import kv
from figtray.store import base
from figtray.store import etcd
from figtray.tests import calls


@pytest.fixture
def server():
    server = kv.start('127.0.0.1:0', clock_lib.ManualClock())
    yield server
    server.stop()


@pytest.fixture
def store(server):
    clock = clock_lib.ManualClock()
    store = etcd.EtcdStore([server.address], 10_000, clock)
    yield store
    store.close()


class TestControls:
    """Guards against faults that experiments switch on without effect."""

    def test_faults_and_stats(self, server, store):
        _, faults = calls.post(
            server.address, '/faults', {'down': True, 'lose_next_reply': 1}
        )
        assert faults == {'down': True, 'delay_ms': 0, 'lose_next_reply': 1}
        calls.post(server.address, '/faults', {'down': False})
        with pytest.raises(errors.WriteUncertain):
            store.txn([], [base.Put('/a', b'1')])
        assert store.get('/a').value == b'1'
        _, stats = calls.get(server.address, '/stats')
        assert stats['calls'] == {'txn': 1, 'get': 1}
        assert (stats['watches'], stats['revision']) == (0, 2)

    @pytest.mark.parametrize('by_name', [True, False])
    def test_dump_and_restore(self, server, store, by_name):
        lease_id = store.grant_lease(5000)
        store.txn([], [base.Put('/a', b'\xff', lease_id)])
        _, dump = calls.post(server.address, '/dump', {'name': 'old'})
        store.txn([], [base.Put('/a', b'2')])
        request = {'name': 'old'} if by_name else {'state': dump['state']}
        calls.post(server.address, '/restore', request)
        item = store.get('/a')
        assert (item.value, item.lease) == (b'\xff', lease_id)
        assert store.range('').revision == 2

    def test_bad_requests(self, server):
        for path, fields, expected in (
            ('/restore', {'name': 'absent'}, 404),
            ('/restore', {'state': 7}, 400),
            ('/faults', {'delay_ms': 'x'}, 400),
            ('/v3/kv/txn', {'failure': [{}]}, 400),
            ('/v3/kv/txn', {'compare': [{'target': 'LEASE'}]}, 400),
            ('/v3/kv/range', {'key': '!'}, 400),
            ('/v3/kv/range', {'key': 'YQ==', 'range_end': 'eg=='}, 400),
            ('/v3/lease/grant', {'TTL': '0'}, 400),
            ('/v3/watch', {}, 400),
            ('/v3/auth', {}, 404),
        ):
            assert calls.post(server.address, path, fields)[0] == expected


class TestGatewayForm:
    """Guards against a client and a stand-in that share one error."""

    def test_published_requests(self, server):
        # Requests and replies as etcd's gateway documentation shows them;
        # the names may be in camelCase.
        address = server.address
        request = {
            'compare': [
                {'createRevision': '0', 'target': 'CREATE', 'key': 'Zm9v'}
            ],
            'success': [{'requestPut': {'key': 'Zm9v', 'value': 'YmFy'}}],
        }
        _, reply = calls.post(address, '/v3/kv/txn', request)
        assert reply['succeeded'] is True
        assert reply['header']['revision'] == '2'
        _, reply = calls.post(address, '/v3/kv/txn', request)
        assert 'succeeded' not in reply
        _, reply = calls.post(address, '/v3/kv/range', {'key': 'Zm9v'})
        (item,) = reply['kvs']
        assert (item['key'], item['value']) == ('Zm9v', 'YmFy')
        assert (item['create_revision'], item['mod_revision']) == ('2', '2')
        assert reply['count'] == '1'

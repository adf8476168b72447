"""Tests of the operators' API client."""

import socket

import pytest

from figtray.api import client as client_lib
from figtray.api.tests import support
from figtray.configuration import resources
from figtray import listener


def lose_response():
    raise client_lib.TransportError('connection reset', sent=True)


def refuse_connection():
    raise client_lib.TransportError('connection refused', sent=False)


@pytest.fixture
def deployment():
    result = support.Deployment()
    result.populate()
    return result


@pytest.fixture
def transport(deployment):
    return support.WsgiTransport(deployment.app)


@pytest.fixture
def client(deployment, transport):
    return client_lib.Client(transport, support.CREDENTIAL, deployment.clock)


class TestChanges:
    """Guards against changes made twice or reported with a wrong outcome."""

    def test_lost_response_makes_one_change(self, client, transport):
        transport.faults = [lose_response]
        item = client.put(resources.Kind.TEAM, 'farm', {'cpu_milli': 1}, 0)
        assert len(transport.requests) == 2
        assert client.status()['generation'] == item['generation']

    def test_uncertain_attempt_determines_outcome(
        self, client, transport, deployment
    ):
        def lose_response_and_stop_store():
            deployment.store.set_down(True)
            lose_response()

        transport.faults = [lose_response_and_stop_store]
        with pytest.raises(client_lib.Unavailable) as caught:
            client.put(resources.Kind.TEAM, 'farm', {'cpu_milli': 1}, 0)
        assert caught.value.problem['outcome'] == 'may_have_changed'
        assert len(transport.requests) == client_lib.MAX_ATTEMPTS

    def test_no_attempt_was_sent(self, client, transport):
        transport.faults = [refuse_connection] * client_lib.MAX_ATTEMPTS
        transport.app = respond_unavailable
        with pytest.raises(client_lib.Unavailable) as caught:
            client.delete(resources.Kind.TEAM, 'mill', 1)
        assert caught.value.problem['outcome'] == 'not_changed'

    def test_response_is_not_json(self, client, transport):
        transport.app = respond_unavailable
        with pytest.raises(client_lib.Unavailable):
            client.status()

    def test_conflict_is_not_retried(self, client, transport):
        with pytest.raises(client_lib.Conflict):
            client.put(resources.Kind.TEAM, 'mill', {'cpu_milli': 1}, 99)
        assert len(transport.requests) == 1


def respond_unavailable(environ, start_response):
    start_response('503 Service Unavailable', [])
    return [b'<html>no backend</html>']


class TestList:
    """Guards against lists that end after the first page."""

    def test_follows_pages(self, client, transport, monkeypatch):
        monkeypatch.setattr(client_lib.messages, 'MAX_PAGE_SIZE', 1)
        names = [item['name'] for item in client.list(resources.Kind.POOL)]
        assert names == ['quoting', 'spare']
        assert len(transport.requests) == 2


class TestHttpTransport:
    """Guards against invalid addresses and wrongly reported failures."""

    @pytest.mark.parametrize('server', ['', 'x', 'ftp://a:1', 'host', 'a:b'])
    def test_invalid_address(self, server):
        with pytest.raises(ValueError):
            client_lib.HttpTransport(server)

    def test_over_a_socket(self, deployment):
        server = listener.Listener('127.0.0.1:0', deployment.app)
        server.start()
        try:
            client = client_lib.Client(
                client_lib.HttpTransport(f'http://{server.address}'),
                support.CREDENTIAL,
                deployment.clock,
            )
            client.put(resources.Kind.TEAM, 'farm', {'cpu_milli': 1}, 0)
            with pytest.raises(client_lib.Conflict) as caught:
                client.put(resources.Kind.TEAM, 'farm', {'cpu_milli': 2}, 0)
        finally:
            server.close()
        assert caught.value.problem['current']['spec']['cpu_milli'] == 1

    def test_refused_connection_was_not_sent(self):
        with socket.socket() as bound:
            # Bound without listening, so connections are refused.
            bound.bind(('127.0.0.1', 0))
            port = bound.getsockname()[1]
            transport = client_lib.HttpTransport(f'127.0.0.1:{port}')
            with pytest.raises(client_lib.TransportError) as caught:
                transport.request('GET', '/', {}, None)
        assert caught.value.sent is False

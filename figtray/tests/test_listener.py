"""Tests of the listener and the administrative pages."""

import http.client
import json
import threading

import pytest

from figtray import admin
from figtray import errors
from figtray import listener
from figtray import metrics

LIMIT_MS = 30_000


def get(address, path, method='GET'):
    conn = http.client.HTTPConnection(address, timeout=LIMIT_MS / 1000)
    try:
        conn.request(method, path)
        response = conn.getresponse()
        return response.status, response.read()
    finally:
        conn.close()


class BlockingApp:
    """WSGI application whose response waits until `release` is set."""

    def __init__(self):
        self.started = threading.Event()
        self.release = threading.Event()

    def __call__(self, environ, start_response):
        self.started.set()
        self.release.wait(LIMIT_MS / 1000)
        return listener.json_response(start_response, 200, 'done')


class TestListener:
    # Guards against a program that starts without its address.
    def test_address_in_use(self):
        first = listener.Listener('127.0.0.1:0', dict)
        with pytest.raises(errors.ListenFailed, match='Address already'):
            listener.Listener(first.address, dict)
        first.close()

    # Guards against a stop that aborts a request in progress.
    def test_close_waits_for_request(self):
        app = BlockingApp()
        server = listener.Listener('127.0.0.1:0', app)
        server.start()
        answers = []
        client = threading.Thread(
            target=lambda: answers.append(get(server.address, '/'))
        )
        client.start()
        assert app.started.wait(LIMIT_MS / 1000)
        server.stop_accepting()
        with pytest.raises(ConnectionRefusedError):
            get(server.address, '/')
        assert server.busy_connections() == 1
        app.release.set()
        assert server.close(LIMIT_MS) == 0
        client.join(LIMIT_MS / 1000)
        assert answers == [(200, b'"done"')]

    # Guards against a stop after which a client sends its next request on a
    # connection that is about to be closed.
    def test_last_response_closes_the_connection(self):
        def app(environ, start_response):
            return listener.json_response(start_response, 299, 'odd status')

        server = listener.Listener('127.0.0.1:0', app)
        server.start()
        conn = http.client.HTTPConnection(
            server.address, timeout=LIMIT_MS / 1000
        )
        for stopping in (False, True):
            if stopping:
                server.stop_accepting()
            conn.request('GET', '/')
            response = conn.getresponse()
            assert (response.status, response.read()) == (299, b'"odd status"')
            assert (response.getheader('Connection') == 'close') is stopping
        conn.close()
        assert server.close(LIMIT_MS) == 0

    # Guards against a stop that aborts requests and does not report them.
    def test_close_returns_number_of_aborted_requests(self):
        app = BlockingApp()
        server = listener.Listener('127.0.0.1:0', app)
        server.start()
        conn = http.client.HTTPConnection(server.address)
        conn.request('GET', '/')
        assert app.started.wait(LIMIT_MS / 1000)
        assert server.close(0) == 1
        app.release.set()
        with pytest.raises(OSError):
            conn.getresponse()
        conn.close()


class TestAdminListener:
    @pytest.fixture
    def server(self):
        self.detail = ''
        server = admin.AdminListener(
            '127.0.0.1:0',
            lambda: self.detail,
            lambda: {'x': 1 // 0},
            metrics.Metrics('test'),
        )
        server.start()
        yield server.address
        server.close()

    # Guards against wrong statuses of the administrative pages.
    def test_pages(self, server):
        assert get(server, '/live')[0] == 200
        assert get(server, '/ready')[0] == 200
        self.detail = 'draining'
        status, body = get(server, '/ready')
        assert (status, json.loads(body)['detail']) == (503, 'draining')
        assert get(server, '/metrics')[0] == 200
        assert get(server, '/other')[0] == 404
        assert get(server, '/live', 'POST')[0] == 405

    # Guards against an exception in /debug that stops the listener.
    def test_failing_callback(self, server):
        assert get(server, '/debug')[0] == 500
        assert get(server, '/live')[0] == 200

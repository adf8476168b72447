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


class TestListener:
    def test_address_in_use(self):
        first = listener.Listener('127.0.0.1:0', dict)
        with pytest.raises(errors.ListenFailed, match='Address already'):
            listener.Listener(first.address, dict)
        first.close()

    # A planned stop must not interrupt a request in progress.
    def test_close_waits_for_request(self):
        started, release = threading.Event(), threading.Event()

        def app(environ, start_response):
            started.set()
            release.wait(LIMIT_MS / 1000)
            return listener.json_response(start_response, 200, 'done')

        served = listener.Listener('127.0.0.1:0', app)
        served.start()
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(get(served.address, '/'))
        )
        caller.start()
        assert started.wait(LIMIT_MS / 1000)
        served.stop_accepting()
        with pytest.raises(ConnectionRefusedError):
            get(served.address, '/')
        assert served.busy() == 1
        release.set()
        assert served.close(LIMIT_MS) == 0
        caller.join(LIMIT_MS / 1000)
        assert answers == [(200, b'"done"')]

    # A client must not send a request on a connection that is being closed.
    def test_last_response_ends_the_connection(self):
        def app(environ, start_response):
            return listener.json_response(start_response, 299, 'odd status')

        served = listener.Listener('127.0.0.1:0', app)
        served.start()
        conn = http.client.HTTPConnection(
            served.address, timeout=LIMIT_MS / 1000
        )
        for stopping in (False, True):
            if stopping:
                served.stop_accepting()
            conn.request('GET', '/')
            response = conn.getresponse()
            assert (response.status, response.read()) == (299, b'"odd status"')
            assert (response.getheader('Connection') == 'close') is stopping
        conn.close()
        assert served.close(LIMIT_MS) == 0

    def test_close_reports_requests_cut_off(self):
        started, release = threading.Event(), threading.Event()

        def app(environ, start_response):
            started.set()
            release.wait(LIMIT_MS / 1000)
            return listener.json_response(start_response, 200, 'late')

        served = listener.Listener('127.0.0.1:0', app)
        served.start()
        conn = http.client.HTTPConnection(served.address)
        conn.request('GET', '/')
        assert started.wait(LIMIT_MS / 1000)
        assert served.close(0) == 1
        release.set()
        with pytest.raises(OSError):
            conn.getresponse()
        conn.close()


class TestAdminListener:
    @pytest.fixture
    def served(self):
        self.detail = ''
        served = admin.AdminListener(
            '127.0.0.1:0',
            lambda: self.detail,
            lambda: {'x': 1 // 0},
            metrics.Metrics('test'),
        )
        served.start()
        yield served.address
        served.close()

    def test_pages(self, served):
        assert get(served, '/live')[0] == 200
        assert get(served, '/ready')[0] == 200
        self.detail = 'draining'
        status, body = get(served, '/ready')
        assert (status, json.loads(body)['detail']) == (503, 'draining')
        assert get(served, '/metrics')[0] == 200
        assert get(served, '/other')[0] == 404
        assert get(served, '/live', 'POST')[0] == 405

    # A fault in the state page must not end the listener.
    def test_callback_fails(self, served):
        assert get(served, '/debug')[0] == 500
        assert get(served, '/live')[0] == 200

"""Tests of the HTTP server of the stand-ins."""

import http.client

import pytest

from figtray import connections
from figtray.platform import standin_server

LIMIT_S = 30


class Echo:
    """Service that replies with the length of the body."""

    def handle(self, handler, body):
        handler.reply_json(200, {'length': len(body)})


class LostReply:
    """Service that executes requests and loses the replies."""

    def handle(self, handler, body):
        handler.drop()


class TestServer:
    """Guards against half-read requests and connections after stop()."""

    def test_stop_closes_open_connections(self):
        server = standin_server.Server('127.0.0.1:0', Echo())
        server.start()
        host, port = connections.parse_address(server.address)
        conn = http.client.HTTPConnection(host, port, timeout=LIMIT_S)
        conn.request('POST', '/', b'abc')
        assert conn.getresponse().read() == b'{"length": 3}'
        server.stop()
        assert conn.sock.recv(1) == b''
        conn.close()

    def test_bad_length_is_refused(self):
        server = standin_server.Server('127.0.0.1:0', Echo())
        server.start()
        host, port = connections.parse_address(server.address)
        conn = http.client.HTTPConnection(host, port, timeout=LIMIT_S)
        conn.putrequest('POST', '/')
        conn.putheader('Content-Length', 'x')
        conn.endheaders()
        assert conn.getresponse().status == 400
        conn.close()
        server.stop()

    # The call that loses a reply raised an error, which the server ignored.
    def test_lost_reply_is_an_error_of_the_server(self, monkeypatch):
        failures = []
        server = standin_server.Server('127.0.0.1:0', LostReply())
        monkeypatch.setattr(
            server, 'handle_error', lambda *args: failures.append(args)
        )
        server.start()
        host, port = connections.parse_address(server.address)
        conn = http.client.HTTPConnection(host, port, timeout=LIMIT_S)
        conn.request('POST', '/', b'abc')
        with pytest.raises(http.client.RemoteDisconnected):
            conn.getresponse()
        conn.close()
        server.stop()
        assert failures == []

    # An error of a service was ignored like one of a connection.
    def test_error_of_a_service_is_ignored(self, capfd):
        server = standin_server.Server('127.0.0.1:0', service=None)
        for exc in (ConnectionResetError(), AttributeError('no such method')):
            try:
                raise exc
            except (OSError, AttributeError):
                server.handle_error(None, ('127.0.0.1', 1))
        server.stop()
        printed = capfd.readouterr().err
        assert 'no such method' in printed
        assert 'ConnectionResetError' not in printed

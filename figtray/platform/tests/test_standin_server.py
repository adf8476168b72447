"""Tests of the HTTP server of the stand-ins."""

import http.client

from figtray import connections
from figtray.platform import standin_server

LIMIT_S = 30


class Echo:
    """Service that replies with the length of the body."""

    def handle(self, handler, body):
        handler.reply_json(200, {'length': len(body)})


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

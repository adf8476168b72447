"""Tests of the program figtray-api."""

import http.client
import threading

import msgspec

from figtray.api import client as client_lib
from figtray.api import credentials
from figtray.api import main
from figtray.settings import types

TIMEOUT_S = 30
CREDENTIAL = 'operator'


class TestRun:
    """Guards against a program that fails to start, serve or stop."""

    def test_serves_until_stopped(self, monkeypatch):
        started = threading.Event()
        servers = []

        class Listener(main.listener.Listener):
            def start(self):
                super().start()
                servers.append(self)
                started.set()

        monkeypatch.setattr(main.listener, 'Listener', Listener)
        # Nothing listens on port 9 of this address.
        unused_address = '127.255.255.254:9'
        cfg = msgspec.convert(
            {
                'deployment': 'test',
                'zone': 'z',
                'store': {'address': unused_address},
                'listen': '127.0.0.1:0',
                'credential_hash': credentials.hash_credential(CREDENTIAL),
            },
            types.ApiSettings,
        )
        stop = threading.Event()
        thread = threading.Thread(target=main._run, args=(cfg, stop))
        thread.start()
        try:
            assert started.wait(TIMEOUT_S)
            address = servers[0].address
            conn = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
            conn.request('GET', '/ready')
            assert conn.getresponse().status == 200
            conn.close()
            transport = client_lib.HttpTransport(address)
            headers = {'Authorization': f'Bearer {CREDENTIAL}'}
            status, body = transport.request(
                'GET', '/v1/status', headers, None
            )
            assert (status, b'store-unavailable' in body) == (503, True)
            status, body = transport.request('GET', '/metrics', headers, None)
            assert (status, b'store_calls' in body) == (200, True)
        finally:
            stop.set()
            thread.join(TIMEOUT_S)
        assert not thread.is_alive()

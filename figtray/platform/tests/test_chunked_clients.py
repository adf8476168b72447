"""Tests of a node process and clients that send bodies in chunks.

The crowds stop just before the end of their bodies and stay; see
test_untrusted_clients.
"""

import http.client
import itertools
import json
import socket
import subprocess
import sys
import threading
import time
import uuid

import pytest

from figtray.api import credentials
from figtray import connections
from figtray.platform import standin_config
from figtray.platform.tests import crowd as crowds
from figtray.platform.tests import test_untrusted_clients as untrusted

site = untrusted.site
alone = untrusted.alone
node = untrusted.node

pytestmark = pytest.mark.crowd

BODY_BYTES = 240_000
CHUNK_BYTES = (240_000, 1000, 64, 7, 1)
CHUNKED = 'Transfer-Encoding: chunked'
# Of a legal body, below the 256 kB that our pages allow.
LEGAL_BYTES = 250_000
LEGAL_S = 60
METRICS_OFFSET = 2
# What its listener may hold, twice, beside the program itself.
API_MEMORY_MB = 192
API_PROGRAM = 'from figtray.api import main; main.main()'


def in_chunks(body, size):
    """Return a body in chunks of a size, without the last chunk."""
    parts = (body[at : at + size] for at in range(0, len(body), size))
    return b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)


def cut_chunks(size):
    """Return a request in chunks that lacks the end of its body."""
    chunks = in_chunks(untrusted.job_body()[:BODY_BYTES], size)
    return untrusted.request_head(CHUNKED, '') + chunks[:-2]


def endless_size(_):
    return untrusted.request_head(CHUNKED, '') + b'0' * BODY_BYTES


def endless_extension(_):
    return untrusted.request_head(CHUNKED, '') + b'1;x=' + b'y' * BODY_BYTES


def endless_trailer(_):
    return (
        untrusted.request_head(CHUNKED, '')
        + b'1\r\n{\r\n0\r\n'
        + b'X-Filler: y\r\n' * (BODY_BYTES // 13)
    )


def call_in_chunks(address, path, body, size):
    """Send a request in chunks; return the HTTP status of the answer."""
    conn = http.client.HTTPConnection(
        *connections.parse_address(address), timeout=LEGAL_S
    )
    headers = {
        'Host': standin_config.CALLER_HOST,
        'Authorization': f'Token {standin_config.API_KEY}',
        'Transfer-Encoding': 'chunked',
    }
    try:
        data = in_chunks(body, size) + b'0\r\n\r\n'
        conn.request('POST', path, data, headers, encode_chunked=False)
        return conn.getresponse().status
    finally:
        conn.close()


def read_ready(address):
    return untrusted.call(address, 'GET', '/api/ready')


def read_api(address):
    return untrusted.call(address, 'GET', '/ready')


class ApiProcess:
    """A process of the operators' API, as `check` expects one.

    Args:
        directory: directory for its settings file and its log.
        store_address: address of the store.
    """

    def __init__(self, directory, store_address):
        with socket.create_server(('127.0.0.1', 0)) as sock:
            self.address = '%s:%d' % sock.getsockname()
        path = directory / 'api.json'
        settings = {
            'deployment': 'test',
            'zone': 'z',
            'store': {'address': store_address},
            'listen': self.address,
            'credential_hash': credentials.hash_credential('operator'),
        }
        path.write_text(json.dumps(settings))
        with open(directory / 'api.log', 'wb') as out:
            self.process = subprocess.Popen(
                [sys.executable, '-c', API_PROGRAM, '--settings', path],
                stdout=out,
                stderr=out,
            )

    def is_running(self):
        return self.process.poll() is None

    def stop(self):
        self.process.kill()
        self.process.wait()


class TestChunkedCrowdOfOperators:
    @pytest.fixture
    def api(self, alone, site, tmp_path):
        store = site.node_settings('node-0')['platform']['address']
        api = ApiProcess(tmp_path, store)
        deadline_s = time.monotonic() + untrusted.LIMIT_S
        while read_api(api.address) != 200:
            assert time.monotonic() < deadline_s
            time.sleep(0.05)
        yield api
        api.stop()

    # Guards against the same at the door of operators.
    @pytest.mark.parametrize('size', CHUNK_BYTES)
    def test_api(self, api, size):
        payloads = [cut_chunks(size)] * untrusted.CROWD
        untrusted.check(api, api.address, payloads, read_api, 1, API_MEMORY_MB)


class TestChunkedCrowd:
    # Guards against chunks that take a process beyond its memory, or keep it
    # from answering others.
    @pytest.mark.parametrize('pieces', [1, untrusted.PIECES])
    @pytest.mark.parametrize('size', CHUNK_BYTES)
    def test_front(self, node, size, pieces):
        payloads = [cut_chunks(size)] * untrusted.CROWD
        untrusted.check(
            node, node.front_address, payloads, untrusted.submit, pieces
        )

    # Guards against chunk sizes, extensions and trailers without an end.
    @pytest.mark.parametrize(
        'payload', [endless_size, endless_extension, endless_trailer]
    )
    def test_framing(self, node, payload):
        payloads = [payload(0)] * untrusted.CROWD
        untrusted.check(node, node.front_address, payloads, untrusted.submit)

    # Guards against the same at the doors of probes and metrics.
    @pytest.mark.parametrize('size', (1000, 1))
    def test_probes(self, node, size):
        untrusted.check(
            node,
            node.settings['listen']['ready'],
            [cut_chunks(size)] * untrusted.CROWD,
            read_ready,
        )

    @pytest.mark.parametrize('size', (1000, 1))
    def test_metrics(self, node, size):
        host, _ = connections.parse_address(node.front_address)
        port = node.settings['internal_ports'][0] + METRICS_OFFSET
        payloads = [cut_chunks(size)] * untrusted.CROWD
        untrusted.check(
            node, f'{host}:{port}', payloads, untrusted.read_metrics
        )


class TestChunkedCrowdOfHost:
    # Guards against a crowd whose chunks are still read while an ordinary
    # request waits.
    @pytest.mark.parametrize('size', (64, 7, 1))
    def test_request_beside(self, alone, site, tmp_path, size):
        limits = untrusted.HOST_MEMORY_MB, untrusted.HOST_DESCRIPTORS
        with untrusted.running_node(site, tmp_path, *limits) as node:
            process = crowds.Process(node.process.pid)
            crowd = crowds.Crowd(
                node.front_address,
                [cut_chunks(size)] * untrusted.HOST_CROWD,
                process,
            )
            stop = threading.Event()
            sender = threading.Thread(target=crowd.press, args=(stop,))
            sender.start()
            try:
                assert crowd.came.wait(untrusted.LIMIT_S)
                answers = itertools.takewhile(
                    lambda status: status != 200,
                    (
                        untrusted.submit(node.front_address)
                        for _ in range(untrusted.ATTEMPTS)
                    ),
                )
                failed = list(answers)
            finally:
                stop.set()
                sender.join()
                crowd.close()
            print(f'{process.peak_mb():.0f} MB, not answered: {failed}')
            assert node.is_running()
            assert len(failed) < untrusted.ATTEMPTS
            assert process.peak_mb() < untrusted.HOST_MEMORY_MB
            assert process.open_descriptors() < untrusted.HOST_DESCRIPTORS


class TestLegalBody:
    # Guards against a body inside the limit that is refused in calm, since
    # what frames its chunks counts, too.
    @pytest.mark.parametrize('size', (LEGAL_BYTES, 1000, 64, 7, 1))
    def test_calm(self, alone, site, tmp_path, size):
        limits = untrusted.HOST_MEMORY_MB, untrusted.HOST_DESCRIPTORS
        with untrusted.running_node(site, tmp_path, *limits) as node:
            job = {'spec': 'legal', 'steps': [untrusted.STEP]}
            body = json.dumps(job).encode().ljust(LEGAL_BYTES)
            path = f'{standin_config.PATH_PREFIX}{uuid.uuid4().hex[:16]}'
            status = call_in_chunks(node.front_address, path, body, size)
            assert status == 200

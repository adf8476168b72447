"""Tests of a node process and clients that keep no limits.

Each starts a node with little memory and few descriptors, opens a crowd of
connections that stay, and then makes one ordinary request.
"""

import contextlib
import fcntl
import http.client
import itertools
import json
import signal
import string
import time
import uuid

import pytest

from figtray import connections
from figtray.platform import standin_config
from figtray.platform import standin_nodes
from figtray.platform import standin_site as sites
from figtray.platform.tests import crowd as crowds

pytestmark = pytest.mark.crowd

LIMIT_S = 60
MEMORY_MB = 64
MAX_DESCRIPTORS = 400
CROWD = 500
# A host with more room, and the crowd that fills it.
HOST_MEMORY_MB = 200
HOST_DESCRIPTORS = 4100
HOST_CROWD = 1500
MAX_HEADER_BYTES = 16_000
LINE_BYTES = 6
BODY_BYTES = 250_000
PIECES = 8
ATTEMPTS = 3
ATTEMPT_S = 10
METRICS_OFFSET = 2
STEP = {'count': 1, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 100}
ORDINARY = json.dumps({'spec': 'ordinary', 'steps': [STEP]})
LEADER_MEMORY_MB = 300
MANY_TASKS = {'count': 10_000}
MANY_TASKS_JOBS = 12
STEADY_S = 15
# Steps of jobs whose bodies are near the largest that is legal.
WIDE_STEPS = 7000
WIDE_JOBS = 40
# More than any worker has, so that what the jobs take stays the same.
WIDE_STEP = {'count': 1, 'cpu': 9_000_000}
LARGE_HOST_MB, SMALL_HOST_MB = 552, 200


@pytest.fixture
def site():
    site = sites.Site(host_count=2, spare_count=1, run_ms=(100, 300))
    yield site
    site.close()


@pytest.fixture
def alone(tmp_path_factory):
    """Keep the tests of this module from running beside each other."""
    path = tmp_path_factory.getbasetemp().parent / 'untrusted-clients.lock'
    with open(path, 'w') as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


@pytest.fixture
def node(alone, site, tmp_path):
    with running_node(site, tmp_path, MEMORY_MB) as node:
        yield node


@contextlib.contextmanager
def running_node(
    site,
    directory,
    memory_mb,
    max_descriptors=MAX_DESCRIPTORS,
    name='node-0',
):
    """Run a node that is ready, with limits of what it holds."""
    directory.mkdir(exist_ok=True)
    settings = site.node_settings(name)
    settings['limits'] |= {
        'memory_mb': memory_mb,
        'max_fds': max_descriptors,
    }
    node = standin_nodes.NodeProcess(directory, settings)
    node.start()
    try:
        deadline_s = time.monotonic() + LIMIT_S
        while node.ready_status() != 200:
            assert time.monotonic() < deadline_s
            time.sleep(0.05)
        yield node
    finally:
        # After a failure as well, or it goes on beside later tests.
        node.stop(signal.SIGKILL)


def steady_peak_mb(process, bound_mb):
    """Wait until the peak stays for STEADY_S or is over a bound."""
    deadline_s = time.monotonic() + LIMIT_S
    peak_mb, since_s = process.peak_mb(), time.monotonic()
    while time.monotonic() - since_s < STEADY_S and peak_mb < bound_mb:
        assert time.monotonic() < deadline_s
        time.sleep(0.1)
        # Other memory grows by less than a megabyte.
        if (now_mb := process.peak_mb()) > peak_mb + 1:
            peak_mb, since_s = now_mb, time.monotonic()
    return process.peak_mb()


def request_head(*headers):
    """Return the head of a submission under an id of its own."""
    lines = [
        f'POST {standin_config.PATH_PREFIX}{uuid.uuid4().hex[:16]} HTTP/1.1',
        f'Host: {standin_config.CALLER_HOST}',
        f'Authorization: Token {standin_config.API_KEY}',
        *headers,
    ]
    return '\r\n'.join(lines).encode() + b'\r\n'


def job_body():
    """Return a job of BODY_BYTES that is refused: its steps have no tasks.

    An accepted one would also count for what the leader holds.
    """
    step = '{"count":0}'
    steps = ','.join([step] * (BODY_BYTES // (len(step) + 1)))
    return f'{{"spec":"","steps":[{steps}]}}'.encode()


def whole_body(_):
    body = job_body()
    return request_head(f'Content-Length: {len(body)}', '') + body


def cut_body(number):
    """Return a request that lacks the last bytes of its body."""
    return whole_body(number)[: -1 - number % 64]


def chunked_body(_):
    """Return a request in chunks, without the last chunk."""
    body = job_body()
    chunks = b''.join(
        b'%x\r\n%s\r\n' % (len(part), part)
        for start in range(0, len(body), 1000)
        if (part := body[start : start + 1000])
    )
    return request_head('Transfer-Encoding: chunked', '') + chunks


def endless_head(number):
    return request_head(f'X-Filler: {"x" * (15_000 + number)}')


def many_lines(_):
    """Return a header of many short lines, and a part of a body."""
    letters = itertools.product(string.ascii_lowercase, repeat=3)
    head = request_head('Content-Length: 10')
    lines = b''.join(b'%s:\r\n' % bytes(map(ord, word)) for word in letters)
    size = MAX_HEADER_BYTES - len(head)
    return head + lines[: size - size % LINE_BYTES] + b'\r\n12345'


def no_bytes(_):
    return b''


def unread_pages(_):
    """Return requests for the largest page, as many as fit in 8 kB."""
    return b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n' * 225


def submit(address, body=ORDINARY):
    """Submit a job; return the HTTP status, 0 without an answer."""
    return call(
        address,
        'POST',
        f'{standin_config.PATH_PREFIX}{uuid.uuid4().hex[:16]}',
        body,
    )


def read_metrics(address):
    return call(address, 'GET', '/metrics')


def call(address, method, path, body=None):
    conn = http.client.HTTPConnection(
        *connections.parse_address(address), timeout=ATTEMPT_S
    )
    headers = {
        'Host': standin_config.CALLER_HOST,
        'Authorization': f'Token {standin_config.API_KEY}',
    }
    try:
        conn.request(method, path, body, headers)
        return conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


def check(
    node,
    address,
    payloads,
    ordinary,
    pieces=1,
    memory_mb=MEMORY_MB,
    max_descriptors=MAX_DESCRIPTORS,
):
    """Let a crowd come and stay; check what the node holds and answers."""
    process = crowds.Process(node.process.pid)
    crowd = crowds.Crowd(address, payloads, process, pieces)
    with contextlib.closing(crowd):
        crowd.settle()
        answers = []
        while 200 not in answers and len(answers) < ATTEMPTS:
            answers.append(ordinary(address))
        assert node.is_running()
        held = (process.peak_mb(), crowd.most_descriptors)
        print(f'{held[0]:.0f} MB, {held[1]} descriptors, {answers}')
        assert answers[-1] == 200
        assert held[0] < memory_mb
        assert held[1] < max_descriptors


class TestCrowd:
    # Guards against callers' bytes that take a process beyond its memory or
    # its descriptors, or keep it from answering others.
    @pytest.mark.parametrize(
        'payload',
        [
            whole_body,
            cut_body,
            chunked_body,
            endless_head,
            no_bytes,
        ],
    )
    def test_front(self, node, payload):
        payloads = [payload(number) for number in range(CROWD)]
        check(node, node.front_address, payloads, submit)

    # Guards against parsed headers, which take far more than their bytes.
    def test_many_header_lines(self, alone, site, tmp_path):
        limits = HOST_MEMORY_MB, HOST_DESCRIPTORS
        with running_node(site, tmp_path, *limits) as node:
            payloads = [many_lines(number) for number in range(HOST_CROWD)]
            check(node, node.front_address, payloads, submit, 1, *limits)

    # Guards against bodies that grow beside each other.
    def test_pieces(self, node):
        payloads = [whole_body(number) for number in range(CROWD)]
        check(node, node.front_address, payloads, submit, PIECES)

    # Guards against answers that nobody reads.
    def test_slow_readers(self, node):
        host, _ = connections.parse_address(node.front_address)
        port = node.settings['internal_ports'][0] + METRICS_OFFSET
        payloads = [unread_pages(number) for number in range(40)]
        check(node, f'{host}:{port}', payloads, read_metrics)


class TestAcceptedJobs:
    # Guards against jobs of few bytes and many tasks that take the memory of
    # the leader, and of each later one.
    def test_many_tasks(self, alone, site, tmp_path):
        with running_node(site, tmp_path, LEADER_MEMORY_MB) as node:
            body = json.dumps({'spec': '', 'steps': [MANY_TASKS] * 10})
            for _ in range(MANY_TASKS_JOBS):
                submit(node.front_address, body)
            process = crowds.Process(node.process.pid)
            peak_mb = steady_peak_mb(process, LEADER_MEMORY_MB)
            print(f'{peak_mb:.0f} MB')
            assert node.is_running()
            assert peak_mb < LEADER_MEMORY_MB
            assert submit(node.front_address) == 200

    # Guards against jobs of many steps, which were accepted whether or not a
    # leader had room for them, and took the memory of the next one as well.
    def test_many_steps(self, alone, site, tmp_path):
        body = json.dumps({'spec': '', 'steps': [{'count': 1}] * WIDE_STEPS})
        with running_node(site, tmp_path, LEADER_MEMORY_MB) as node:
            statuses = [
                submit(node.front_address, body) for _ in range(WIDE_JOBS)
            ]
            check_leader(node)
        assert 200 in statuses
        with running_node(site, tmp_path / 'next', LEADER_MEMORY_MB) as node:
            check_leader(node)

    # Guards against jobs that a large host accepts, and for which a smaller
    # one, which leads next, has no room.
    def test_smaller_host_leads_next(self, alone, site, tmp_path):
        body = json.dumps({'spec': '', 'steps': [WIDE_STEP] * WIDE_STEPS})
        sizes = LARGE_HOST_MB, SMALL_HOST_MB
        with contextlib.ExitStack() as stack:
            large, small = (
                stack.enter_context(
                    running_node(site, tmp_path / str(mb), mb, name=f'n-{mb}')
                )
                for mb in sizes
            )
            await_event(large, 'taken_over')
            statuses = [
                submit(large.front_address, body) for _ in range(WIDE_JOBS)
            ]
            large.stop(signal.SIGKILL)
            await_event(small, 'taken_over')
            assert 200 in statuses
            assert not small.events('job_parked')
            process = crowds.Process(small.process.pid)
            peak_mb = steady_peak_mb(process, SMALL_HOST_MB)
            print(f'{statuses.count(200)} accepted, {peak_mb:.0f} MB')
            assert peak_mb < SMALL_HOST_MB
            assert submit(small.front_address) == 200


def await_event(node, name):
    """Wait until a node has logged an event."""
    deadline_s = time.monotonic() + LIMIT_S
    while not node.events(name):
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


def check_leader(node):
    """Check that a node has room for what is stored, and serves callers."""
    process = crowds.Process(node.process.pid)
    peak_mb = steady_peak_mb(process, LEADER_MEMORY_MB)
    print(f'{peak_mb:.0f} MB')
    assert node.is_running()
    assert peak_mb < LEADER_MEMORY_MB
    assert submit(node.front_address) == 200

"""Tests of the worker stand-in's controls."""

import json

import pytest

from figtray import clock as clock_lib
from figtray import connections
from figtray.standins import service
from figtray.standins import worker as standin
from figtray.tests import calls
from figtray.tests import scripted
from figtray import verdict
from figtray.workers import base
from figtray.workers import http as worker_http
from figtray.workers import memory

UNCERTAIN = verdict.UncertainReason


@pytest.fixture
def clock():
    return clock_lib.ManualClock()


@pytest.fixture
def servers(clock):
    servers = [
        standin.start(
            memory.MemoryWorker(f'host-{number}', 2, clock, 'zone-1'),
            '127.0.0.1:0',
            max_connections=3,
        )
        for number in range(2)
    ]
    yield servers
    for server in servers:
        server.stop()


@pytest.fixture
def client(clock):
    client = worker_http.HttpWorkerClient(clock, 4)
    yield client
    client.close()


def start(client, clock, server, task_id, timeout_ms=60_000, **body):
    item = base.TaskStart(
        task_id,
        f'{task_id}-a',
        'north',
        'q',
        'i',
        50,
        json.dumps(body).encode(),
    )
    return client.start(
        server.address, item, timeout_ms, lambda: clock.now_ms() + 1000
    )


class TestTasks:
    """Guards against tasks whose outcome differs from what they ask for."""

    def test_body_decides(self, client, clock, servers):
        answer = start(
            client, clock, servers[0], 't1', run_ms=0, status=418, echo='e'
        )
        assert (answer.status, answer.body) == (418, b'e')

    @pytest.mark.parametrize(
        'body', [b'', b'\xff', b'[]', b'{"run_ms": -1}', b'{"status": 99}']
    )
    def test_other_bodies_are_echoed(self, body):
        assert standin.parse_task(body) == standin.Task(10, 200, body)

    def test_lease_ends_a_task(self, client, clock, servers):
        answer = start(client, clock, servers[0], 't1', run_ms=60_000)
        assert answer.status == standin.STATUS_LEASE_ENDED
        _, end = servers[0].service.worker.log()
        assert (end['event'], end['outcome']) == ('end', 'lease')


class TestFaults:
    """Guards against faults that experiments switch on without effect."""

    def test_down_and_back(self, client, clock, servers):
        address = servers[0].address
        assert start(client, clock, servers[0], 't1').status == 200
        before = client.report(address, 60_000)
        assert calls.post(address, '/faults', {'down': True})[0] == 200
        (idle,) = client._idle
        scripted.wait_until(lambda: idle.pending() is not None)
        answer = start(client, clock, servers[0], 't2')
        assert isinstance(answer, verdict.NotRun)
        calls.post(address, '/faults', {'down': False})
        assert start(client, clock, servers[0], 't1').status == 200
        assert client.report(address, 60_000).boot_id != before.boot_id

    def test_freeze_and_mute(self, client, clock, servers):
        address = servers[0].address
        for name, runs in (('freeze', 0), ('mute', 1)):
            start(client, clock, servers[0], f'{name}-1')
            calls.post(address, '/faults', {name: True})
            _, before = calls.get(address, '/log')
            since = f'/log?since={len(before["log"])}'
            answer = start(client, clock, servers[0], f'{name}-2', 200)
            assert answer.reason == UNCERTAIN.TIMEOUT
            if runs:
                scripted.wait_until(
                    lambda: calls.get(address, since)[1]['log']
                )
            _, after = calls.get(address, since)
            begun = [i for i in after['log'] if i['event'] == 'start']
            assert len(begun) == runs
            assert client.probe(address, 60_000)

    def test_leaving_and_counted_faults(self, client, clock, servers):
        address = servers[0].address
        calls.post(address, '/faults', {'leaving': True, 'truncate': 1})
        assert client.report(address, 60_000).leaving
        answer = start(client, clock, servers[0], 't1')
        assert answer.reason == verdict.RefusalReason.LEAVING
        calls.post(address, '/faults', {'leaving': False})
        answer = start(client, clock, servers[0], 't2', echo='abc')
        assert answer.reason == UNCERTAIN.BROKEN_ANSWER
        assert start(client, clock, servers[0], 't3').status == 200

    def test_unknown_fault_is_rejected(self, servers):
        address = servers[0].address
        for fields in ({'downn': True}, {'delay_ms': 'x'}):
            assert calls.post(address, '/faults', fields)[0] == 400

    def test_connection_bound(self, client, clock, servers):
        open_conns = [
            connections.Connection(servers[0].address, clock) for _ in range(3)
        ]
        for conn in open_conns:
            conn.open(clock.now_ms() + 60_000)
            conn.request('GET', '/report')
            conn.getresponse().read()
        answer = start(client, clock, servers[0], 't1')
        assert answer.reason == verdict.RefusalReason.CONNECT_FAILED
        for conn in open_conns:
            conn.close()


class TestControl:
    """Guards against a control that reaches the wrong worker."""

    def test_one_or_all(self, client, clock, servers):
        control = service.Server(
            '127.0.0.1:0', standin.ControlService(servers)
        )
        control.start()
        post = calls.post(
            control.address, '/faults', {'host': 'host-1', 'fail_all': True}
        )
        assert list(post[1]) == ['host-1']
        assert start(client, clock, servers[0], 't1').status == 200
        assert start(client, clock, servers[1], 't2').status == 500
        _, logs = calls.get(control.address, '/log')
        assert {host: len(log) for host, log in logs.items()} == {
            'host-0': 2,
            'host-1': 2,
        }
        unknown = {'host': 'host-9', 'down': True}
        assert calls.post(control.address, '/faults', unknown)[0] == 400
        control.stop()

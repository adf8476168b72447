"""Tests of the HTTP client of workers."""

import concurrent.futures
import json

import pytest

from figtray import clock as clock_lib
from figtray.standins import worker as standin
from figtray.tests import scripted
from figtray import verdict
from figtray.workers import http as worker_http
from figtray.workers import memory
from figtray.workers.tests import contract

HELD_BODY = json.dumps({'run_ms': 3_600_000}).encode()
REFUSED = verdict.RefusalReason
UNCERTAIN = verdict.UncertainReason
OWN = ('Attempt-Id', 'a1')


class TestHttpWorkerClient(contract.WorkerContract):
    """Runs the contract of the WorkerClient against the stand-in."""

    @pytest.fixture
    def rig(self):
        clock = clock_lib.ManualClock()
        worker = memory.MemoryWorker('host-1', 2, clock)
        server = standin.start(worker, '127.0.0.1:0')
        client = worker_http.HttpWorkerClient(clock, 1)
        names = {'silent': 'freeze'}

        def fault(name):
            server.service.set_faults({names.get(name, name): True})

        rig = contract.Rig(client, server.address, worker, clock, fault, None)
        start = rig.start

        def hold():
            rig.start = lambda *args, **fields: start(
                *args, **{**fields, 'body': HELD_BODY}
            )

        rig.hold = hold
        self.server = server
        yield rig
        client.close()
        worker.restart()
        server.stop()

    def test_connection_bound(self, rig):
        """Guards against more connections than a worker accepts."""
        rig.hold()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            begun = self.signal_begin(rig.worker)
            outcome = pool.submit(rig.start)
            assert begun.wait(30)
            assert rig.start('t2', timeout_ms=0).reason == REFUSED.BUSY
            rig.worker.stop('t1')
            assert outcome.result(30).status == standin.STATUS_STOPPED
        assert rig.starts() == ['a1']

    def test_closed_idle_connection_is_replaced(self, rig):
        """Guards against failures after a restart of a worker."""
        rig.start()
        rig.worker.restart()
        self.server.close_connections()
        (idle,) = rig.client._idle
        scripted.wait_until(lambda: idle.pending() is not None)
        assert rig.start('t2', 'a2').status == 200

    def test_silent_connections_are_replaced(self, rig):
        """Guards against half-open connections that take more starts."""
        rig.client = worker_http.HttpWorkerClient(rig.clock, 2)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            begun = self.signal_begin(rig.worker)
            outcome = pool.submit(rig.start, body=HELD_BODY)
            assert begun.wait(30)
            rig.start('t2', 'a2')
            rig.worker.stop('t1')
            outcome.result(30)
        rig.fault('silent')
        answer = rig.start('t3', 'a3', timeout_ms=200)
        assert answer.reason == UNCERTAIN.TIMEOUT
        assert rig.start('t4', 'a4').status == 200
        assert rig.client.timeouts(rig.address) == 0
        rig.client.close()

    def test_probe(self, rig):
        """Guards against a quarantine for a half-open connection."""
        rig.start()
        rig.fault('silent')
        rig.start('t2', 'a2', timeout_ms=200)
        assert rig.client.timeouts(rig.address) == 1
        assert rig.client.probe(rig.address, 60_000)
        assert rig.client.timeouts(rig.address) == 0

    def test_old_sample_is_renewed(self, rig):
        """Guards against clocks that drift apart on an old connection."""
        rig.start()
        rig.clock.advance(worker_http.SAMPLE_AGE_MS)
        reports = []
        report = rig.worker.report
        rig.worker.report = lambda: reports.append(1) or report()
        assert rig.start('t2', 'a2').status == 200
        assert reports == [1]

    def test_bad_header_is_not_run(self, rig):
        """Guards against a header that splits the request."""
        for team in ('a\r\nTask-Id: x', 'Жук'):
            answer = rig.start(team=team)
            assert answer.reason == REFUSED.BAD_REQUEST
        assert rig.worker.log() == []


class TestAnswers:
    """Guards against wrong verdicts for answers that no stand-in gives."""

    @pytest.fixture
    def clock(self):
        return clock_lib.ManualClock()

    def start(self, clock, answer, sample_delay_ms=0):
        """Start one attempt on a scripted worker."""

        def script(sock, request):
            if request.startswith(b'GET /report'):
                report = memory.MemoryWorker('h', 1, clock).report()
                clock.advance(sample_delay_ms)
                fields = {**vars(report), 'clock_ms': 5000, 'running': []}
                body = json.dumps(fields).encode()
                sock.sendall(scripted.response(200, body))
                return True
            sock.sendall(answer)
            return b'KEEP' in answer

        self.server = scripted.ScriptedServer(script)
        client = worker_http.HttpWorkerClient(clock, 1)
        rig = contract.Rig(
            client, self.server.address, None, clock, None, None
        )
        outcome = rig.start()
        self.server.stop()
        return outcome, rig

    @pytest.mark.parametrize(
        'answer, reason',
        [
            (b'', UNCERTAIN.CONNECTION_LOST),
            (b'garbage\r\n\r\n', UNCERTAIN.BROKEN_ANSWER),
            (scripted.response(200, b'x'), UNCERTAIN.FOREIGN_ANSWER),
            (
                scripted.response(503, b'', [('Start-Refused', 'busy')]),
                UNCERTAIN.FOREIGN_ANSWER,
            ),
            (
                scripted.response(200, b'x', [OWN], length=2),
                UNCERTAIN.BROKEN_ANSWER,
            ),
            (
                scripted.response(200, b'x', [OWN], length=10**9),
                UNCERTAIN.BROKEN_ANSWER,
            ),
            (
                b'HTTP/1.1 200 x\r\nAttempt-Id: a1\r\n\r\nx',
                UNCERTAIN.BROKEN_ANSWER,
            ),
            (scripted.response(700, b'', [OWN]), UNCERTAIN.BROKEN_ANSWER),
        ],
    )
    def test_bad_answers_may_have_run(self, clock, answer, reason):
        outcome, rig = self.start(clock, answer)
        assert isinstance(outcome, verdict.MayHaveRun)
        assert outcome.reason == reason
        foreign = reason == UNCERTAIN.FOREIGN_ANSWER
        assert rig.client.foreign_answers == foreign

    def test_response_that_closes_is_read(self, clock):
        headers = [OWN, ('Connection', 'close')]
        answer = scripted.response(200, b'body', headers)
        assert self.start(clock, answer)[0].body == b'body'

    def test_unexpected_bytes_are_late(self, clock):
        """Guards against a late answer that is taken for the next one."""
        good = scripted.response(200, b'KEEP', [OWN])
        outcome, rig = self.start(clock, good + good)
        assert outcome.status == 200
        assert isinstance(rig.start('t2', 'a2'), verdict.NotRun)
        assert rig.client.late_answers == 1

    def test_start_deadline_is_never_late(self, clock):
        """Guards against a deadline that moves with a slow clock sample."""
        outcome, rig = self.start(
            clock, scripted.response(200, b'', [OWN]), sample_delay_ms=400
        )
        assert outcome.status == 200
        # The worker's clock reads 5400 when the start is sent, and the
        # right to start ends 1000 ms later.
        request = self.server.requests[-1].partition(b'Start-By: ')[2]
        assert 5000 < int(request.partition(b'\r')[0]) <= 6400

    def test_check_follows_the_connection(self, clock):
        """Guards against a check that is old when the start is sent."""
        with scripted.refusing_address() as address:
            client = worker_http.HttpWorkerClient(clock, 1)
            rig = contract.Rig(client, address, None, clock, None, None)
            outcome = rig.start(check=lambda: pytest.fail('called'))
            assert outcome.reason == REFUSED.CONNECT_FAILED

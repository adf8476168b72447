"""Tests of workers that start again under their ids, and of the checks."""

import dataclasses
import json

import pytest

from figtray.fleet import memory
from figtray.fleet import messages
from figtray.soak import capacities
from figtray.soak import faults
from figtray.soak import proxies as proxies_lib
from figtray.soak import restarts
from figtray.soak.tests import test_injector
from figtray.soak.tests import test_invariants

JOB = test_invariants.JOB
TASK = f'{JOB}.0.0.0'
LEASE_MS = 6000
# Longer than the leases that are asked for.
LATE_LEASE_MS = 10_000
TIMEOUT_S = test_injector.TIMEOUT_S
SILENCE_TIMEOUT_S = test_injector.SILENCE_TIMEOUT_S
OK, UNAVAILABLE = b'HTTP/1.1 200', b'HTTP/1.1 503'


@pytest.fixture
def harness():
    harness = test_injector.Harness()
    yield harness
    harness.close()


def hold(harness, timeout_s=SILENCE_TIMEOUT_S):
    """Ask the first worker for a report; return the first bytes of it."""
    body = json.dumps({'fence': 1, 'ack_cursor': 0}).encode()
    head = f'POST /api/hold HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
    with harness.connect(harness.workers[0].address) as sock:
        sock.settimeout(timeout_s)
        sock.sendall(head.encode() + body)
        return sock.recv(12)


class TestRestarts:
    """Guards against restarts under an id that remember, or don't come."""

    CHOICES = [0, restarts.SILENT_BIT]

    def sim(self, harness):
        return harness.site.workers.sims[harness.workers[0].address]

    def start(self, harness):
        order = messages.StartOrder('task', 1, 'p', 1, LEASE_MS)
        harness.site.workers.start(harness.workers[0], order, 0)

    def check_restarted(self, harness, former):
        later = self.sim(harness)
        assert not former.up and later.up
        assert later.worker.born_ms > former.worker.born_ms
        assert later.worker == dataclasses.replace(
            former.worker, born_ms=later.worker.born_ms
        )
        assert later.worker == harness.site.worker_on(later.worker.host_id)
        assert (later.epoch, later.next_end_number) == (0, 1)
        assert not later.runs and not later.highest_runs
        assert hold(harness, TIMEOUT_S) == OK

    @pytest.mark.parametrize('choice', CHOICES)
    def test_worker_starts_again_under_its_id(self, harness, choice):
        former, seen = self.sim(harness), []
        self.start(harness)

        def note():
            seen.append(self.sim(harness).up)
            try:
                seen.append(hold(harness))
            except OSError as exc:
                seen.append(exc)

        harness.pause.action = note
        assert harness.inject(faults.FaultKind.WORKER_RESTART, choice)
        is_up, answer = seen
        assert not is_up
        if choice == restarts.SILENT_BIT:
            assert isinstance(answer, TimeoutError)
        else:
            assert answer == UNAVAILABLE
        self.check_restarted(harness, former)

    @pytest.mark.parametrize('choice', CHOICES)
    def test_worker_is_cut_off_soon_after_and_runs_on(self, harness, choice):
        waits = []

        def note():
            waits.append(True)
            if len(waits) == 2:
                assert hold(harness, TIMEOUT_S) == OK
                self.start(harness)
            if len(waits) == 3:
                with pytest.raises(TimeoutError):
                    hold(harness)
                assert 'task' in self.sim(harness).runs

        harness.pause.action = note
        assert harness.inject(faults.FaultKind.WORKER_RESTART_CUT, choice)
        assert len(waits) == 3
        harness.site.workers.finish(
            self.sim(harness).worker, 'task', 1, messages.EndReason.DONE
        )
        assert hold(harness, TIMEOUT_S) == OK

    def test_worker_ends_while_it_is_down(self, harness):
        host_id = harness.workers[0].host_id
        harness.pause.action = lambda: harness.site.remove_host(host_id)
        assert harness.inject(faults.FaultKind.WORKER_RESTART)
        assert not self.sim(harness).up

    def test_worker_is_replaced_while_it_is_down(self, harness):
        host_id, found = harness.workers[0].host_id, []

        def replace():
            harness.site.crash_worker(host_id)
            found.append(harness.site.worker_on(host_id))

        harness.pause.action = replace
        assert harness.inject(faults.FaultKind.WORKER_RESTART)
        assert not self.sim(harness).up
        assert found == [harness.site.worker_on(host_id)]
        assert found[0].worker_id != harness.workers[0].worker_id

    # The next process executed the request that the former one had got.
    def test_request_ends_with_its_process(self, harness, monkeypatch):
        workers = harness.site.workers

        def restart(*_):
            harness.inject(faults.FaultKind.WORKER_RESTART)

        monkeypatch.setattr(workers, 'wait_for', restart)
        monkeypatch.setattr(proxies_lib.TcpProxy, 'reset', lambda _: None)
        assert hold(harness, TIMEOUT_S) == b''
        assert not self.sim(harness).epoch

    # Faults of the same worker would end one another's cuts.
    def test_cut_worker_gets_no_other_network_fault(self, harness):
        found = []
        harness.pause.action = lambda: found.append(
            found or harness.inject(faults.FaultKind.WORKERS_DELAY)
        )
        assert harness.inject(faults.FaultKind.WORKER_RESTART)
        assert found == [None]


class CheckedWorkers(test_invariants.Harness):
    """Simulated workers that may start again, and an InvariantChecker."""

    def restart(self, number, hold_max_ms=memory.HOLD_MAX_MS):
        """Start a worker again under its id, at its address."""
        worker = self.sims[number].worker
        self.workers.crash(worker.address)
        self.sims[number] = self.workers.add(
            dataclasses.replace(worker, born_ms=worker.born_ms + 1),
            hold_max_ms=hold_max_ms,
        )


class TestChecks:
    """Guards against missed and false violations after restarts."""

    @pytest.fixture
    def harness(self):
        return CheckedWorkers()

    # An order that is carried out late by a later incarnation, whose clock has
    # begun anew, gets the longest lease there. Nobody reaches that worker.
    @pytest.mark.parametrize('wait_ms', [LATE_LEASE_MS, LATE_LEASE_MS + 1])
    def test_run_on_a_later_incarnation_that_is_cut_off(
        self, harness, wait_ms
    ):
        lease_until_ms = harness.sims[0].clock_ms() + LATE_LEASE_MS
        harness.restart(0, LATE_LEASE_MS)
        order = messages.StartOrder(TASK, 1, 'p', 1, lease_until_ms)
        harness.sims[0].start(order)
        harness.clock.advance(wait_ms)
        harness.start(1, TASK, 2)
        assert harness.violated_invariants() == (
            ['one run at a time'] if wait_ms == LATE_LEASE_MS else []
        )

    def test_late_start_on_a_later_incarnation(self, harness):
        harness.start(0, TASK)
        harness.restart(0)
        harness.start(1, TASK, 2)
        assert not harness.violated_invariants()
        harness.start(0, TASK)
        assert harness.violated_invariants() == ['one run at a time']

    # Nodes learn of it no earlier if the worker starts again.
    def test_capacity_that_shrinks_before_a_restart(self, harness):
        harness.checker.jobs[JOB].steps = [{'count': 1, 'cpu': 1000}]
        test_invariants.resize(harness, 0, 0)
        harness.restart(0)
        harness.clock.advance(capacities.SHRUNK_BOUND_MS)
        harness.start(0, TASK)
        assert not harness.violated_invariants()

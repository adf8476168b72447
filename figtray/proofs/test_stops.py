"""Proofs of G8: a planned stop of any process fails no request."""

import contextlib
import signal
import threading
import time

from figtray.proofs import callers
from figtray.proofs import deployment

NAME = 'proof-stops'
NUMBER = 4
POLL_S = 0.2
G4_BOUND_MS = 3000
LEAVING_S = 4


class Balancer:
    """Load balancer on the callers' side: uses the entries that are ready."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._ready = tuple(range(deployment.ENTRIES))
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._poll, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._thread.join()

    def ready(self):
        """Return the indices of the entries to use."""
        return self._ready

    def _poll(self):
        while not self._stop.wait(POLL_S):
            ready = tuple(
                index
                for index in range(deployment.ENTRIES)
                if self._fleet.is_ready(index + 1)
            )
            self._ready = ready or self._ready


@contextlib.contextmanager
def steady_load(fleet):
    """Run a load that leaves no request waiting for its deadline."""
    fleet.wait_ready()
    callers.warm_up(fleet)
    kinds = callers.mixed(fleet, deadline_ms=20_000)
    with Balancer(fleet) as balancer:
        with callers.Load(fleet, kinds, balancer.ready) as load:
            time.sleep(1)
            yield load


def check_all_answered(what, load):
    failed = [
        item
        for item in load.requests
        if item.told[-1] != callers.ANSWERED
        or item.details[-1] != 200
        or item.echo != item.mark.encode()
    ]
    slowest = max(item.told_ms - item.sent_ms for item in load.requests)
    print(
        f'\nG8 {what}: {len(load.requests)} requests, {len(failed)} failed, '
        f'bound 0; slowest {slowest} ms'
    )
    assert not failed, '\n'.join(map(str, [len(failed), *failed[:5]]))


def replace(fleet, name):
    status = deployment.restart(fleet[name], signal.SIGTERM)
    assert status == 0, (name, status)


class TestEntriesReplaced:
    """G8 when all entries are replaced one after another."""

    def test_no_request_fails(self, fleet):
        with steady_load(fleet) as load:
            for number in range(1, deployment.ENTRIES + 1):
                replace(fleet, f'entry-{number}')
                deployment.wait_for(
                    lambda n=number: fleet.is_ready(n), f'entry {number}'
                )
        check_all_answered('all entries replaced', load)


class TestControlReplaced:
    """G8 when the APIs and the controllers are replaced."""

    def test_no_request_fails(self, fleet):
        with steady_load(fleet) as load:
            for name in ('api-1', 'controller-1', 'controller-2', 'api-2'):
                replace(fleet, name)
                time.sleep(2)
        check_all_answered('control replaced', load)


class TestWorkersStopped:
    """G8 and G4 when the workers of a zone leave and stop."""

    def test_no_request_fails(self, fleet):
        zone = 'zone-3'
        with steady_load(fleet) as load:
            # As the platform announces it: the host list says leaving.
            fleet.worker_faults(zone, leaving=True)
            leaving_ms = deployment.CLOCK.now_ms()
            time.sleep(LEAVING_S)
            sent = [
                entry['machine_ms'] - leaving_ms
                for entry in fleet.worker_log(leaving_ms)
                if entry['zone'] == zone and entry['event'] != 'end'
            ]
            replace(fleet, f'workers-{zone}')
            time.sleep(2)
        last_ms = max(sent, default=0)
        print(
            f'\nG4 leaving: last start sent {last_ms} ms after the host '
            f'list said leaving, bound {G4_BOUND_MS}'
        )
        check_all_answered('workers of a zone stopped', load)
        assert last_ms <= G4_BOUND_MS

"""Faults of workers around a change of the leader, for tests."""

import dataclasses

from figtray import errors
from figtray.fleet import memory
from figtray.fleet import model as fleet_model
from figtray.scheduling import leases
from figtray.scheduling.tests import harness

# Interval at which the leader plans and asks the workers in these tests.
CYCLE_MS = 100
# A worker that refuses connections is found to be gone within this time.
FIND_GONE_MS = 1000
# A task that is certainly not running starts within this time.
START_MS = 500
# A run on a silent worker goes on until this long before the longest lease
# ends.
LEASE_LEFT_MS = 1000
LONGEST_LEASE_MS = leases.longest_lease_ms(harness.BOUNDS)


def running(fleet):
    """Return {task: [(worker id, run)]} of all runs on workers that are up."""
    found = {}
    for sim in fleet.client.sims.values():
        if sim.up:
            for run in sim.runs.values():
                place = (sim.worker.worker_id, run.run)
                found.setdefault(run.task, []).append(place)
    return found


def place(fleet, task):
    """Return the number of the worker on which a task runs."""
    [(worker_id, _)] = running(fleet)[task]
    return int(worker_id.removeprefix('worker-'))


def play(leader, ms):
    """Let a leader work for a while; no task may run twice at a time."""
    for _ in range(ms // CYCLE_MS):
        leader.advance(CYCLE_MS)
        leader.fleet.client.expire()
        leader.sync_workers()
        leader.run_cycle()
        found = running(leader.fleet)
        assert all(len(runs) == 1 for runs in found.values()), found


def restart(fleet, number, is_listed, born_ms=2):
    """Start a worker again under its id, with a new entry or the old one."""
    fleet.client.crash(f'10.0.0.{number}:80')
    worker = memory.make_worker(number, born_ms=born_ms)
    fleet.client.add(worker, hold_max_ms=fleet.bounds.hold_max_ms)
    if is_listed:
        fleet.workers[worker.worker_id] = worker


def leave(fleet, number):
    """End a worker for good, with its entry in the store and its host."""
    fleet.workers.pop(f'worker-{number}', None)
    fleet.hosts.pop(f'host-{number}', None)
    fleet.client.crash(f'10.0.0.{number}:80')


def silence(fleet, *numbers, listed=True):
    """Let no call reach some workers, whose processes go on."""
    ids = {f'worker-{number}' for number in numbers}
    fleet.client.choose_fault = lambda _, worker: (
        'not sent' if worker.worker_id in ids else 'ok'
    )
    if not listed:
        for worker_id in ids:
            fleet.workers.pop(worker_id, None)


def refuse(fleet, number):
    """Let a worker refuse connections, whose process goes on."""

    def choose_fault(_, worker):
        if worker.worker_id == f'worker-{number}':
            raise errors.CallNotSent(
                address=worker.address, detail='refused', refused=True
            )
        return 'ok'

    fleet.client.choose_fault = choose_fault


def set_down(fleet, number):
    """List the host of a worker as down, without a worker."""
    fleet.hosts[f'host-{number}'] = dataclasses.replace(
        fleet.hosts[f'host-{number}'],
        state=fleet_model.HostState.DOWN,
        worker_id='',
    )


def submit_pair(fleet, leader):
    """Start a lasting job of two tasks on two workers.

    Returns:
        Names of the tasks.
    """
    step = harness.make_step(2, lasting=True, max_per_worker=1)
    job_id = fleet.submit(step)
    play(leader, 2 * CYCLE_MS)
    return f'{job_id}.0.0.0', f'{job_id}.0.0.1'

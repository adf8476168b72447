"""Tasks that crash each worker that starts them, for tests."""

import collections
import dataclasses
import itertools

from figtray.fleet import memory as fleet_memory
from figtray.fleet import messages
from figtray.fleet import model as fleet_model
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers

# A worker is back after this time.
BACK_MS = 3000
# A task that has crashed three workers may be started twice more.
MOST_CRASHES = 3 + 2


class Site:
    """Fleet in which some tasks crash their workers, and others end.

    Args:
        fleet: the Fleet.

    Attributes:
        deadly: names of the tasks that crash their workers.
        delay_ms: time from their start to the crash.
        delays: by task, the same if it differs.
        keeps_ids: whether a worker is back with the same id.
        run_ms: time after which the other tasks are done; None: they go on.
        gang: tasks that run all or not at all, and are never done.
        lasting: tasks that are never done.
        crashes: by task, the number of workers that it crashed.
        crashed_ms: by task, the times of these crashes.
        back_ms: time after which a crashed worker is back.
    """

    def __init__(self, fleet, delay_ms=0, run_ms=800):
        self.fleet = fleet
        self.deadly = set()
        self.gang = ()
        self.lasting = ()
        self.delay_ms = delay_ms
        self.delays = {}
        self.keeps_ids = False
        self.run_ms = run_ms
        self.crashes = collections.Counter()
        self.crashed_ms = collections.defaultdict(list)
        self.back_ms = BACK_MS
        self._back_at_ms = {}
        self._number = len(fleet.workers)

    def crash(self, number):
        """Crash a worker, which is back later with another id."""
        fleet = self.fleet
        fleet.client.crash(f'10.0.0.{number}:80')
        takeovers.set_down(fleet, number)
        self._back_at_ms[number] = fleet.clock.now_ms() + self.back_ms

    def play(self, leader, ms, cycle_ms=takeovers.CYCLE_MS):
        """Let a leader work for a while; no task may run twice at a time."""
        for _ in range(ms // cycle_ms):
            leader.advance(cycle_ms)
            self.fleet.client.expire()
            self._bring_back()
            leader.sync_workers()
            leader.run_cycle()
            found = takeovers.running(self.fleet)
            assert all(len(runs) == 1 for runs in found.values()), found
            self.act()

    def play_unnoticed(self, leader, ms, cycle_ms):
        """Let a leader work that notices a crash only with its next cycle."""
        for _ in range(ms // cycle_ms):
            leader.advance(cycle_ms)
            self._bring_back()
            self.act()
            leader.sync_workers()
            leader.run_cycle()

    def play_to_crash(self, leader, task):
        """Let a leader work for 10 s, or until a task crashes a worker."""
        before = self.crashes[task]
        for _ in range(100):
            self.play(leader, 100)
            if self.crashes[task] > before:
                return

    def pauses_ms(self, task):
        """Return the times between the crashes of a task."""
        times_ms = self.crashed_ms[task]
        return [b - a for a, b in itertools.pairwise(times_ms)]

    def wait_until_back(self):
        """Let time pass without a leader until all workers are back."""
        self.fleet.clock.advance(self.back_ms)
        self._bring_back()

    def act(self):
        """Bring workers back, crash those of deadly tasks, end other tasks."""
        self._bring_back()
        for number, sim in self.up():
            ages = {
                run.task: sim.clock_ms() - run.started_ms
                for run in sim.runs.values()
            }
            due = [
                task
                for task, age_ms in ages.items()
                if task in self.deadly
                and age_ms >= self.delays.get(task, self.delay_ms)
            ]
            if due:
                self.crash_under(number, due)
                continue
            for task in [
                task
                for task in ages
                if task not in (*self.deadly, *self.gang, *self.lasting)
                and self.is_done(sim.runs[task], ages[task])
            ]:
                sim.end(task, messages.EndReason.DONE)
        self.end_incomplete_gang(self.gang)

    def crash_under(self, number, tasks):
        """Let some deadly tasks crash their worker."""
        self.crashes.update(tasks)
        for task in tasks:
            self.crashed_ms[task].append(self.fleet.clock.now_ms())
        self.crash(number)

    def is_done(self, run, age_ms):
        """Return whether a run of a task that ends is done.

        Args:
            run: its SimRun.
            age_ms: for how long it has gone on.
        """
        return self.run_ms is not None and age_ms >= self.run_ms

    def end_incomplete_gang(self, gang):
        """End a gang's runs without the others, as the platform does."""
        found = set(gang).intersection(takeovers.running(self.fleet))
        if len(found) < len(gang):
            for task in found:
                self._finish(task, messages.EndReason.GANG_BROKEN)

    def _finish(self, task, how):
        """End the run of a task on a worker that is up."""
        for _, sim in self.up():
            if task in sim.runs:
                sim.end(task, how)

    def up(self):
        """Yield the numbers and the SimWorkers of those that are up."""
        for address, sim in list(self.fleet.client.sims.items()):
            if sim.up:
                number = int(address.split('.')[3].removesuffix(':80'))
                yield number, sim

    def _bring_back(self):
        now_ms = self.fleet.clock.now_ms()
        for number, at_ms in list(self._back_at_ms.items()):
            if at_ms <= now_ms:
                del self._back_at_ms[number]
                self._restart(number, now_ms)

    def _restart(self, number, now_ms):
        fleet = self.fleet
        old = fleet.client.sims[f'10.0.0.{number}:80'].worker
        fleet.workers.pop(old.worker_id, None)
        self._number += 1
        worker_id = f'worker-{number}-{self._number}'
        worker = dataclasses.replace(
            fleet_memory.make_worker(number),
            worker_id=old.worker_id if self.keeps_ids else worker_id,
            born_ms=now_ms + 1,
        )
        fleet.workers[worker.worker_id] = worker
        fleet.hosts[worker.host_id] = fleet_model.Host(
            worker.host_id,
            worker.pool,
            fleet_model.HostState.UP,
            worker.zone,
            worker_id=worker.worker_id,
        )
        fleet.client.add(worker)


def submit(fleet, count=1, **fields):
    """Submit a job; returns its id and the names of its tasks."""
    job_id = fleet.submit(harness.make_step(count, **fields))
    return job_id, [f'{job_id}.0.0.{index}' for index in range(count)]


def delay_starts(fleet, monkeypatch, ms):
    """Let each start take a time in milliseconds until it is executed."""
    start = fleet.client.start

    def start_later(*args):
        fleet.clock.advance(ms)
        return start(*args)

    monkeypatch.setattr(fleet.client, 'start', start_later)


def end_otherwise(fleet, site, worker_id, how):
    """End a worker by an order or with its host; it is back later.

    Args:
        fleet: the Fleet.
        site: the Site.
        worker_id: id of the worker.
        how: `moved`, `lost` or `drained`.
    """
    number = int(worker_id.split('-')[1])
    site.crash(number)
    host_id = f'host-{number}'
    if how == 'moved':
        fleet.hosts[host_id] = dataclasses.replace(
            fleet.hosts[host_id], state=fleet_model.HostState.MOVING
        )
    elif how == 'lost':
        fleet.hosts.pop(host_id)
        fleet.workers.pop(worker_id)
    else:
        fleet.workers[worker_id] = dataclasses.replace(
            fleet.workers[worker_id], draining=True
        )

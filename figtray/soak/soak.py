"""One run of the soak: site, nodes, callers, faults and the oracle."""

import collections
import dataclasses
import random
import threading

from figtray import clock as clock_lib
from figtray.platform import standin_site as sites
from figtray.soak import callers as callers_lib
from figtray.soak import faults as faults_lib
from figtray.soak import links
from figtray.soak import oracle as oracle_lib
from figtray.soak import processes

CALLERS = 8
WORKERS = 4
SPARES = 2
LIMIT_MILLI = 16_000
RUN_MS = (150, 500)
SLOWEST_CLOCK = 0.98
EXTRA_KEY = 'extra-key'
PROBE_S = 0.1
# After the last fault: leases end, a leader is found, jobs are made up for.
RECOVERY_S = 30
POLL_S = 0.1
READY_S = 30


@dataclasses.dataclass(frozen=True)
class Hit:
    """A fault that was made, in times since the start."""

    fault: faults_lib.Fault
    target: str
    began_ms: int
    ended_ms: int


@dataclasses.dataclass(frozen=True)
class Result:
    """What a run has shown.

    Attributes:
        seed: its seed.
        violations: the oracle's Violations.
        jobs: number of jobs by what became of them.
        starts_ms: times of the starts on workers.
        hits: the Hits.
    """

    seed: int
    violations: tuple
    jobs: dict
    starts_ms: tuple
    hits: tuple


class _Failed(Exception):
    """The soak itself can't be run."""


class Soak:
    """One run.

    Args:
        seed: number that decides everything random in it.
        length_s: time with faults.
        nodes: number of nodes.
        directory: where settings and logs of the nodes are written.
    """

    def __init__(self, seed, length_s, nodes, directory):
        self._seed = seed
        self._length_s = length_s
        rng = random.Random(seed)
        self._schedule = faults_lib.make_schedule(rng, length_s)
        self._caller_seeds = [rng.getrandbits(32) for _ in range(CALLERS)]
        clock = clock_lib.SystemClock()
        self._oracle = oracle_lib.Oracle(
            clock, LIMIT_MILLI, callers_lib.TASK_MILLI
        )
        self._wires = collections.defaultdict(list)
        self._site = sites.Site(
            WORKERS,
            SPARES,
            RUN_MS,
            limit_milli=LIMIT_MILLI,
            observer=self._oracle,
            advertise=self._expose,
            clock_rate=SLOWEST_CLOCK,
        )
        self._oracle.workers = self._site.workers
        self._site.write_config(1, (sites.API_KEY, EXTRA_KEY))
        self._nodes = [
            processes.NodeProcess(
                directory, self._site.node_settings(f'node-{number}')
            )
            for number in range(nodes)
        ]
        self._fronts = [
            self._expose(f'front {node.name}', node.front_address)
            for node in self._nodes
        ]
        self._stop = threading.Event()
        self._end = threading.Event()
        self._hits = []

    def run(self):
        """Run it; returns a Result."""
        try:
            for node in self._nodes:
                node.start()
            self._wait_until_ready()
            return self._play()
        finally:
            self._stop.set()
            self._end.set()
            for node in self._nodes:
                node.stop(processes.KILL)
            for wire in self._all_wires():
                wire.close()
            self._site.close()

    def _expose(self, kind, address):
        wire = links.Link(address)
        self._wires[kind].append(wire)
        return wire.address

    def _all_wires(self):
        return [wire for wires in self._wires.values() for wire in wires]

    def _wait_until_ready(self):
        left = int(READY_S / POLL_S)
        while not all(node.ready_status() == 200 for node in self._nodes):
            left -= 1
            if not left:
                raise _Failed('the nodes are not ready')
            self._end.wait(POLL_S)

    def _play(self):
        callers = [
            callers_lib.Caller(
                random.Random(seed),
                self._fronts,
                self._oracle,
                self._stop,
                self._end,
            )
            for seed in self._caller_seeds
        ]
        threads = [caller.thread for caller in callers]
        threads.append(threading.Thread(target=self._probe, name='probe'))
        for thread in threads:
            thread.start()
        self._make_faults()
        self._stop.set()
        for wire in self._all_wires():
            wire.heal()
        for _ in range(int(RECOVERY_S / POLL_S)):
            if self._oracle.finished():
                break
            self._end.wait(POLL_S)
        self._end.set()
        for thread in threads:
            thread.join()
        self._oracle.check_end()
        return self._result()

    def _make_faults(self):
        injector = faults_lib.Injector(
            self._site, self._nodes, self._wires, self._oracle, self._stop
        )
        began_ms = self._oracle.now_ms()
        threads = []
        for fault in self._schedule:
            passed_s = (self._oracle.now_ms() - began_ms) / 1000
            self._stop.wait(max(0, fault.at_s - passed_s))
            thread = threading.Thread(
                target=self._make_fault, args=(injector, fault)
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _make_fault(self, injector, fault):
        began_ms = self._oracle.now_ms()
        target = injector.carry_out(fault)
        if target is not None:
            self._hits.append(
                Hit(fault, target, began_ms, self._oracle.now_ms())
            )

    def _probe(self):
        """Use a key that is withdrawn on the way."""
        conns = callers_lib.Connections()
        rng = random.Random(self._seed)
        while not self._end.wait(PROBE_S):
            asked_ms = self._oracle.now_ms()
            status, _ = conns.call(
                rng.choice(self._fronts), 'GET', '', EXTRA_KEY
            )
            self._oracle.key_used(asked_ms, status)
        conns.close()

    def _result(self):
        jobs = collections.Counter(
            job.state or ('refused' if job.refused else 'unclear')
            for job in self._oracle.jobs.values()
        )
        return Result(
            self._seed,
            tuple(self._oracle.violations),
            dict(jobs),
            tuple(self._oracle.starts),
            tuple(sorted(self._hits, key=lambda hit: hit.began_ms)),
        )

"""One run of the soak: site, nodes, load, faults and invariant checker."""

import collections
import contextlib
import dataclasses
import functools
import itertools
import random
import subprocess
import threading

from figtray import clock as clock_lib
from figtray.platform import load
from figtray.platform import standin_config
from figtray.platform import standin_nodes
from figtray.platform import standin_site as sites
from figtray.soak import callers as callers_lib
from figtray.soak import crash_loops
from figtray.soak import deadly
from figtray.soak import faults as faults_lib
from figtray.soak import injector as injectors
from figtray.soak import invariants
from figtray.soak import lasting
from figtray.soak import proxies as proxies_lib
from figtray.soak import series

CALLER_COUNT = 8
WORKER_COUNT = 4
SPARE_COUNT = 2
TEAM_LIMIT_MILLI = 16_000
RUN_DURATION_MS = (150, 500)
# Of the workers of a run: as long as the leases that are asked for, or longer.
HOLD_MAX_MS = (6000, 10_000)
# Rate of all workers' clocks; the slowest that scheduling.leases allows for.
SLOWEST_CLOCK_RATE = 0.98
WITHDRAWN_KEY = injectors.WITHDRAWN_KEY
PROBE_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.1
# Limit of the time after the last fault in which leases expire, a leader is
# elected and the backlog of jobs is worked off.
RECOVERY_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 120
# A killed process has exited so soon after its connections have ended.
EXIT_TIMEOUT_S = 1


@dataclasses.dataclass(frozen=True)
class InjectedFault:
    """Fault that was injected, with its targets and times.

    Attributes:
        fault: the Fault.
        target: names of its targets.
        began_ms: start of the injection, in milliseconds since the start of
            the soak.
        ended_ms: end of the injection, likewise.
    """

    fault: faults_lib.Fault
    target: str
    began_ms: int
    ended_ms: int


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one run.

    Attributes:
        seed: seed of the run.
        violations: Violations of invariants.
        jobs: number of jobs by last known state, with `refused` for
            rejected jobs and `unclear` for those whose state is unknown.
        starts_ms: times of the starts of tasks on workers, in milliseconds
            since the start of the soak.
        hits: InjectedFaults, sorted by their start.
    """

    seed: int
    violations: tuple
    jobs: dict
    starts_ms: tuple
    hits: tuple


class Soak:
    """One run of the soak.

    Args:
        seed: seed of the fault schedule and of the random choices of the
            callers.
        length_s: time with faults in seconds.
        nodes: number of nodes.
        directory: directory for the settings and logs of the nodes.
        schedule: list of Faults, sorted by start, instead of random ones.
        deadly_jobs: number of jobs whose tasks crash their workers; with
            them, workers go on to shrink for deadly.CALM_S.
    """

    def __init__(
        self, seed, length_s, nodes, directory, schedule=None, deadly_jobs=0
    ):
        self._seed = seed
        self._deadly_jobs = deadly_jobs
        rng = random.Random(seed)
        self._schedule = schedule or _make_schedule(
            rng, seed, length_s, length_s + deadly.CALM_S * bool(deadly_jobs)
        )
        self._caller_seeds = [rng.getrandbits(32) for _ in range(CALLER_COUNT)]
        clock = clock_lib.SystemClock()
        self._checker = invariants.InvariantChecker(
            clock, TEAM_LIMIT_MILLI, callers_lib.TASK_MILLI
        )
        self._proxies = collections.defaultdict(list)
        self._site = sites.Site(
            WORKER_COUNT,
            SPARE_COUNT,
            limit_milli=TEAM_LIMIT_MILLI,
            observer=self._checker,
            advertise=self._start_proxy,
            clock_rate=SLOWEST_CLOCK_RATE,
            choose_end=functools.partial(
                lasting.choose_end,
                random.Random(f'ends {seed}'),
                RUN_DURATION_MS,
                self._checker.jobs,
            ),
            other_teams=(lasting.TEAM, deadly.TEAM, crash_loops.TEAM),
            on_crash=self._refuse_connections,
            hold_max_ms=random.Random(f'holds {seed}').choice(HOLD_MAX_MS),
        )
        self._checker.workers = self._site.workers
        self._site.write_config(1, (standin_config.API_KEY, WITHDRAWN_KEY))
        self._nodes = [
            standin_nodes.NodeProcess(
                directory, self._site.node_settings(f'node-{number}')
            )
            for number in range(nodes)
        ]
        self._front_addresses = [
            self._start_proxy(
                f'front {node.name}',
                node.front_address,
                functools.partial(self._check_cut, node),
            )
            for node in self._nodes
        ]
        self._stop_load = threading.Event()
        self._stop_all = threading.Event()
        self._injected_faults = []

    def run(self):
        """Run the soak to its end.

        Returns:
            The Result.
        """
        try:
            for node in self._nodes:
                node.start()
            self._wait_until_ready()
            return self._run_with_faults()
        finally:
            self._stop_load.set()
            self._stop_all.set()
            for node in self._nodes:
                node.stop(standin_nodes.KILL)
            for proxy in self._all_proxies():
                proxy.close()
            self._site.close()

    def _start_proxy(self, kind, address, on_cut=lambda: None):
        proxy = proxies_lib.TcpProxy(address, on_cut)
        self._proxies[kind].append(proxy)
        return proxy.address

    def _refuse_connections(self, worker):
        proxies_lib.take_away(self._proxies, worker).close()

    def _check_cut(self, node):
        """Check that a node that has cut off a request was killed."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            if node.process.wait(EXIT_TIMEOUT_S) == -standin_nodes.KILL:
                return
        self._checker.record_cut(node.name)

    def _all_proxies(self):
        return list(itertools.chain(*self._proxies.values()))

    def _wait_until_ready(self):
        attempts_left = int(READY_TIMEOUT_S / POLL_INTERVAL_S)
        while not all(node.ready_status() == 200 for node in self._nodes):
            attempts_left -= 1
            if not attempts_left:
                raise TimeoutError('the nodes did not become ready in time')
            self._stop_all.wait(POLL_INTERVAL_S)

    def _run_with_faults(self):
        deadly_caller = functools.partial(
            deadly.DeadlyCaller, self._deadly_jobs
        )
        kinds = {fault.kind for fault in self._schedule}
        has_loops = faults_lib.FaultKind.WORKER_CRASH_LOOP in kinds
        caller_seeds = self._caller_seeds
        if has_loops:
            caller_seeds = caller_seeds[: crash_loops.CALLER_COUNT]
        callers = [
            *((callers_lib.Caller, seed) for seed in caller_seeds),
            (lasting.LastingCaller, f'lasting {self._seed}'),
            (deadly_caller, f'deadly {self._seed}'),
        ]
        if has_loops:
            callers.append(
                (crash_loops.SlowCaller, f'slow {self._seed}'),
            )
        threads = [
            caller(
                random.Random(seed),
                self._front_addresses,
                self._checker,
                self._stop_load,
                self._stop_all,
            ).thread
            for caller, seed in callers
        ] + [
            threading.Thread(target=self._probe_withdrawn_key, name='probe'),
            threading.Thread(target=self._check_lasting_tasks, name='check'),
        ]
        for thread in threads:
            thread.start()
        self._run_schedule()
        self._stop_load.set()
        for proxy in self._all_proxies():
            proxy.heal()
        for _ in range(int(RECOVERY_TIMEOUT_S / POLL_INTERVAL_S)):
            if self._checker.has_recovered():
                break
            self._stop_all.wait(POLL_INTERVAL_S)
        self._stop_all.set()
        for thread in threads:
            thread.join()
        self._checker.check_final_state()
        return self._result()

    def _run_schedule(self):
        injector = injectors.Injector(
            self._site,
            self._nodes,
            self._proxies,
            self._checker,
            self._stop_load,
        )
        began_ms = self._checker.now_ms()
        threads = []
        for fault in self._schedule:
            elapsed_s = (self._checker.now_ms() - began_ms) / 1000
            self._stop_load.wait(max(0, fault.at_s - elapsed_s))
            thread = threading.Thread(
                target=self._inject, args=(injector, fault)
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _inject(self, injector, fault):
        began_ms = self._checker.now_ms()
        target = injector.inject(fault)
        if target is not None:
            self._injected_faults.append(
                InjectedFault(fault, target, began_ms, self._checker.now_ms())
            )

    def _check_lasting_tasks(self):
        while not self._stop_all.wait(CHECK_INTERVAL_S):
            self._checker.check_lasting_tasks(self._site.usable_workers())

    def _probe_withdrawn_key(self):
        """Call nodes with the key that a fault may withdraw."""
        pool = load.ConnectionPool()
        rng = random.Random(self._seed)
        while not self._stop_all.wait(PROBE_INTERVAL_S):
            asked_ms = self._checker.now_ms()
            status, _ = pool.call(
                rng.choice(self._front_addresses), 'GET', '', WITHDRAWN_KEY
            )
            self._checker.check_key_response(asked_ms, status)
        pool.close()

    def _result(self):
        jobs = collections.Counter(
            job.state or ('refused' if job.refused else 'unclear')
            for job in self._checker.jobs.values()
        )
        return Result(
            self._seed,
            tuple(self._checker.violations),
            dict(jobs),
            tuple(self._checker.start_times_ms),
            tuple(
                sorted(
                    self._injected_faults,
                    key=lambda injected: injected.began_ms,
                )
            ),
        )


def _make_schedule(rng, seed, length_s, shrink_s):
    """Return the random Faults of a seed, sorted by start.

    Each source of random numbers that is added gets a seed of its own, so that
    a seed keeps its schedule and its callers.

    Args:
        rng: random.Random of the seed, for the single faults.
        seed: the seed.
        length_s: time in seconds in which the other faults begin and end.
        shrink_s: the same for workers that shrink.
    """
    kinds = faults_lib.FaultKind
    schedule = [
        *faults_lib.make_schedule(rng, length_s),
        *series.make_series(random.Random(f'series {seed}'), length_s),
        *series.make_series(
            random.Random(f'changes {seed}'), length_s, series.CHANGE_KINDS
        ),
        *series.make_restarts(random.Random(f'restarts {seed}'), length_s),
        *series.make_crash_loops(
            random.Random(f'crash loops {seed}'), length_s
        ),
        *faults_lib.make_schedule(
            random.Random(f'shrinkages {seed}'),
            shrink_s,
            (kinds.WORKER_SHRINKS,),
            faults_lib.MEAN_SHRINK_INTERVAL_S,
        ),
        *faults_lib.make_schedule(
            random.Random(f'odd entries {seed}'),
            length_s,
            (kinds.ODD_ENTRIES,),
            faults_lib.MEAN_ODD_INTERVAL_S,
        ),
    ]
    return sorted(schedule, key=lambda fault: fault.at_s)

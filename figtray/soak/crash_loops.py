"""Hosts whose workers crash again and again beside sound jobs."""

import enum
import itertools
import random
import threading

from figtray.platform import standin_config
from figtray.soak import callers

# Without a limit, so that its jobs don't wait for those of the busy team.
TEAM = standin_config.Team('slow', 'slow-key', 0)
# Time for which a worker is up; short ones are as likely as long ones.
UP_S = (0.2, 5.0)
DOWN_S = (1.0, 2.0)
MAX_HOSTS = 3
# Of loops in which a worker starts again under its id, and of those in which
# all lives of a worker are equal.
SAME_ID_PROBABILITY = 0.25
EQUAL_LIVES_PROBABILITY = 0.7
# With more, most crashes are held against the tasks that have just started.
CALLER_COUNT = 2
MAX_SLOW_JOBS = 5
# A worker has room for one such task, so that a host that is back gets one.
SLOW_TASK_MILLI = 4500
SLOW_ESTIMATE_MS = 5000
# Runs of several seconds meet many of the crashes.
SLOW_RUN_MS = (3000, 8000)


class Order(enum.Enum):
    """Order in which the workers of several hosts crash."""

    AT_ONCE = 'all workers of a rack at once'
    IN_TURN = 'one worker after another'
    UNRELATED = 'each worker in its own time'


class SlowCaller(callers.Caller):
    """Caller of sound jobs with one task each, whose runs take seconds."""

    key = TEAM.key

    def _submit(self):
        if len(self._unfinished_jobs) < MAX_SLOW_JOBS:
            self._submit_job(make_slow_steps)


def make_slow_steps(_):
    """Return the steps of a slow job as a caller submits them."""
    step = {**callers.STEP, 'cpu': SLOW_TASK_MILLI, 'count': 1}
    return [{**step, 'estimate_ms': SLOW_ESTIMATE_MS}]


class CrashLoop:
    """Crash loop of the workers of one host or several.

    The fault's choice draws the hosts, the Order, whether a worker starts
    again under its id or as another one, and whether all its lives are equal.

    Args:
        site: standin_site.Site of the workers.
        proxies: mapping of what is proxied to a list of TcpProxy.
        fault: the Fault.
        ended: threading.Event that the end of the loop sets.

    Attributes:
        order: the Order.
        names: names of the loops of its hosts.
    """

    def __init__(self, site, proxies, fault, ended):
        self._site, self._proxies, self._ended = site, proxies, ended
        rng = random.Random(fault.choice)
        self.order = rng.choice(list(Order))
        host_ids = _draw_hosts(rng, site, self.order)
        self._keeps_ids = rng.random() < SAME_ID_PROBABILITY
        has_equal_lives = rng.random() < EQUAL_LIVES_PROBABILITY
        self.names = {f'crash loop of {host_id}' for host_id in host_ids}
        match self.order:
            case Order.AT_ONCE:
                loops = [[host_ids]]
            case Order.IN_TURN:
                loops = [[[host_id] for host_id in host_ids]]
            case Order.UNRELATED:
                loops = [[[host_id]] for host_id in host_ids]
        self._threads = [
            threading.Thread(
                target=self._play,
                args=(groups, random.Random(seed), has_equal_lives),
                name='crash loop',
            )
            for groups in loops
            for seed in [rng.getrandbits(32)]
        ]

    def begin(self):
        """Let the workers crash from now on."""
        for thread in self._threads:
            thread.start()

    def end(self):
        """End the crashes; all workers are up then."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _play(self, groups, rng, has_equal_lives):
        """Crash the workers of one group of hosts after the other's."""
        up_s = _draw_up_s(rng)
        for host_ids in itertools.cycle(groups):
            if self._ended.wait(up_s):
                return
            restarts = [self._crash(host_id) for host_id in host_ids]
            self._ended.wait(rng.uniform(*DOWN_S))
            for restart in restarts:
                restart()
            if not has_equal_lives:
                up_s = _draw_up_s(rng)

    def _crash(self, host_id):
        """Crash the worker of a host.

        Returns:
            A function that starts the worker again; it does nothing if the
            host has had no worker, or gets another one in the meantime.
        """
        worker = self._site.worker_on(host_id)
        if worker is None:
            return lambda: None
        if not self._keeps_ids:
            if self._site.crash_host(worker):
                return lambda: self._site.restart_host(host_id)
            return lambda: None
        self._site.workers.crash(worker.address)
        self._reset_connections(worker)

        def restart():
            # What the worker was sent while it was down is lost.
            self._reset_connections(worker)
            self._site.start_again(worker)

        return restart

    def _reset_connections(self, worker):
        for proxy in list(self._proxies['worker']):
            if proxy.address == worker.address:
                proxy.reset()


def _draw_hosts(rng, site, order):
    """Return the ids of the hosts; the workers of a rack share labels."""
    host_ids = site.worker_host_ids()
    if not host_ids:
        return []
    if order is not Order.AT_ONCE:
        count = min(rng.randint(1, MAX_HOSTS), len(host_ids))
        return rng.sample(host_ids, count)
    workers = [
        worker for host_id in host_ids if (worker := site.worker_on(host_id))
    ]
    first = rng.choice(host_ids)
    labels = [worker.labels for worker in workers if worker.host_id == first]
    return [worker.host_id for worker in workers if worker.labels in labels]


def _draw_up_s(rng):
    shortest_s, longest_s = UP_S
    return shortest_s * (longest_s / shortest_s) ** rng.random()

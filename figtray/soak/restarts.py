"""Restarts of workers under their ids, and cuts soon after."""

import random

from figtray.soak import faults
from figtray.soak import proxies as proxies_lib

SILENT_BIT = 64
DOWN_S = (0.0, 0.5)
# Time from the restart to the cut.
GAP_S = (0.2, 3.0)


def draw_times_s(choice):
    """Return how long workers are down, and from then on until the cut."""
    rng = random.Random(choice)
    return rng.uniform(*DOWN_S), rng.uniform(*GAP_S)


class Restart:
    """Restart of one worker or two, at their addresses.

    In half of the cases their connections fall silent, else they are reset.

    Args:
        site: standin_site.Site of the workers.
        proxies: mapping of what is proxied to a list of TcpProxy.
        fault: the Fault.
        stop: threading.Event that ends the waits early.

    Attributes:
        names: names of what it hits.
    """

    def __init__(self, site, proxies, fault, stop):
        self._site, self._choice, self._stop = site, fault.choice, stop
        self._is_cut = fault.kind is faults.FaultKind.WORKER_RESTART_CUT
        hosts, count = site.worker_host_ids(), 1 + fault.choice % 2
        first = fault.choice % max(1, len(hosts))
        workers = map(site.worker_on, hosts[first : first + count])
        # A worker may just have ended otherwise.
        self._workers = [worker for worker in workers if worker]
        addresses = [worker.address for worker in self._workers]
        self._proxies = [
            p for p in proxies['worker'] if p.address in addresses
        ]
        self.names = {'restart', *addresses}
        self._is_silent = bool(fault.choice & SILENT_BIT)

    def begin(self):
        """Crash the workers; start them again if they are to be cut off."""
        if self._is_silent:
            self._call_proxies('stall', *proxies_lib.Direction)
        for worker in self._workers:
            self._site.workers.crash(worker.address)
        if not self._is_silent:
            self._call_proxies('reset')
        if self._is_cut:
            down_s, gap_s = draw_times_s(self._choice)
            self._stop.wait(down_s)
            self._start_again()
            self._stop.wait(gap_s)
            self._call_proxies('stall', *proxies_lib.Direction)

    def end(self):
        """Start the workers again, or end the cut."""
        if not self._is_cut:
            self._start_again()
        self._call_proxies('heal')

    def _start_again(self):
        # What the workers were sent while they were down is lost.
        self._call_proxies('blackhole' if self._is_silent else 'reset')
        self._call_proxies('heal')
        for worker in self._workers:
            self._site.start_again(worker)

    def _call_proxies(self, method, *args):
        for proxy in self._proxies:
            getattr(proxy, method)(*args)

"""Hosts that crash again and again, for tests."""

from figtray.scheduling.tests import takeovers


class Loops:
    """Hosts that crash some time after each of their starts.

    Args:
        site: the deadly.Site.
        lives_ms: by the number of a host, an iterator of its lives. The
            first begins now, unless the host is down.

    Attributes:
        site: the Site.
    """

    def __init__(self, site, lives_ms=()):
        self.site = site
        self._lives_ms = {}
        # By the number of a host, its SimWorker and when that crashes.
        self._sims = {}
        self._crash_at_ms = {}
        for number, lives in dict(lives_ms).items():
            self.add(number, lives)

    def add(self, number, lives_ms):
        """Let a host crash from now on."""
        self._lives_ms[number] = lives_ms
        self._sims.pop(number, None)
        self._begin_life(number)

    def remove(self, number):
        """Let a host crash no more."""
        del self._lives_ms[number]

    def numbers(self):
        """Return the numbers of the hosts, sorted."""
        return sorted(self._lives_ms)

    def play(self, leader, ms):
        """Let a leader work beside the crashes."""
        for _ in range(ms // takeovers.CYCLE_MS):
            self.site.play(leader, takeovers.CYCLE_MS)
            self.crash_due()

    def crash_due(self):
        """Crash the workers whose lives are over; return their numbers."""
        now_ms, crashed = self.site.fleet.clock.now_ms(), []
        for number in self.numbers():
            self._begin_life(number)
            sim = self.site.fleet.sim(number)
            if sim.up and self._crash_at_ms[number] <= now_ms:
                self.site.crash(number)
                crashed.append(number)
        return crashed

    def _begin_life(self, number):
        """Draw the life of a worker that has started."""
        fleet = self.site.fleet
        sim = fleet.sim(number)
        if sim.up and self._sims.get(number) is not sim:
            self._sims[number] = sim
            life_ms = next(self._lives_ms[number])
            self._crash_at_ms[number] = fleet.clock.now_ms() + life_ms


def fixed(life_ms):
    """Yield the same life again and again."""
    while True:
        yield life_ms


def drawn(rng, mean_ms):
    """Yield lives of any length."""
    while True:
        yield int(rng.expovariate(1 / mean_ms))

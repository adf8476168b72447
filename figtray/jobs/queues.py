"""The operators' configuration of queues, pools and teams."""

import dataclasses

from figtray.jobs import model


@dataclasses.dataclass(frozen=True)
class AdvicePolicy:
    """Rule of a queue that an outside service approves workers.

    Attributes:
        decide_ms: time of one call.
        each_ms: more time for each worker named.
        valid_ms: life of a ticket.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


@dataclasses.dataclass(frozen=True)
class Queue:
    """One queue and the pool that runs its tasks.

    Attributes:
        host: `Host` header of its callers.
        prefix: start of its paths.
        pool: name of the pool.
        open: whether callers need no key.
        priority: 0 is served first.
        attempts: failed runs of a task after which its job has failed.
        stretch: factor on the chain of work within which jobs are on time.
        slack_ms: time added to that.
        timeout_ms: longest time of a call.
        advice: an AdvicePolicy, or None.
    """

    name: str
    host: str
    prefix: str
    pool: str
    open: bool
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    slack_ms: int = 0
    timeout_ms: int = 3000
    advice: AdvicePolicy | None = None


@dataclasses.dataclass(frozen=True)
class Team:
    """One team; a limit of 0 stands for no limit.

    Attributes:
        weight: its share when all is full, and the jobs a second to which
            it is entitled.
    """

    name: str
    weight: float
    limit: model.Resources
    keys: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Pool:
    """One pool of hosts; the hosts of a spare pool are off."""

    name: str
    spare: bool = False
    rejects_overload: bool = True


class Config:
    """One version of the configuration.

    Args:
        version: its number.
        queues: the Queues.
        pools: the Pools.
        teams: the Teams.
    """

    def __init__(self, version, queues, pools, teams):
        self.version = version
        self.queues = {queue.name: queue for queue in queues}
        self.pools = {pool.name: pool for pool in pools}
        self.teams = {team.name: team for team in teams}
        self._by_host = {}
        for queue in sorted(queues, key=lambda q: -len(q.prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)
        self._by_key = {key: team.name for team in teams for key in team.keys}

    def find_queue(self, host, path):
        """Return the queue with the longest prefix of a path, or None."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def team_of_key(self, key):
        """Return the name of the team that has a key, or None."""
        return self._by_key.get(key)

    def spare_pools(self):
        """Return the names of the spare pools."""
        return {pool.name for pool in self.pools.values() if pool.spare}

"""The operators' configuration of queues, pools and teams."""

import copy
import dataclasses

from figtray.ingress import limits as ingress_limits
from figtray.jobs import model


@dataclasses.dataclass(frozen=True)
class AdvicePolicy:
    """Policy of a queue whose workers an external service must approve.

    Attributes:
        decide_ms: time that one call of the service takes.
        each_ms: additional time for each worker in the call.
        valid_ms: time for which a ticket is valid.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


@dataclasses.dataclass(frozen=True)
class Queue:
    """One queue and the pool that runs its tasks.

    Attributes:
        host: `Host` header of its callers.
        prefix: prefix of its URL paths.
        pool: name of the pool.
        open: whether callers need no key.
        priority: 0 is served first.
        attempts: number of failed runs of a task after which its job fails.
        stretch: a job is on time if it ends within this multiple of its
            critical path.
        slack_ms: time added to that limit.
        timeout_ms: time limit of a call.
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
    """One team.

    Attributes:
        weight: its share when all resources are used, and the number of
            jobs per second to which it is entitled.
        limit: Resources that its tasks may occupy; 0 = no limit.
        keys: its API keys.
    """

    name: str
    weight: float
    limit: model.Resources
    keys: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class Pool:
    """One pool of hosts; the hosts of a spare pool run no workers.

    Attributes:
        rejects_overload: whether its workers refuse tasks for which they
            have no room.
    """

    name: str
    spare: bool = False
    rejects_overload: bool = True


class Config:
    """One version of the configuration.

    Args:
        version: number of the version.
        queues: the Queues.
        pools: the Pools.
        teams: the Teams.
        request_limits: the ingress RequestLimits of callers' requests.
    """

    def __init__(
        self,
        version,
        queues,
        pools,
        teams,
        request_limits=ingress_limits.RequestLimits(),
    ):
        self.version = version
        self.request_limits = request_limits
        self.queues = {queue.name: queue for queue in queues}
        self.pools = {pool.name: pool for pool in pools}
        self.teams = {team.name: team for team in teams}
        self._queues_by_host = {}
        for queue in sorted(queues, key=lambda q: -len(q.prefix)):
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        self._team_by_key = {
            key: team.name for team in teams for key in team.keys
        }

    def extended(self, queues, teams):
        """Return a copy that also has some queues and teams of earlier ones.

        Args:
            queues: the Queues; find_queue() finds none of them.
            teams: the Teams.
        """
        cfg = copy.copy(self)
        cfg.queues = {queue.name: queue for queue in queues} | self.queues
        cfg.teams = {team.name: team for team in teams} | self.teams
        return cfg

    def find_queue(self, host, path):
        """Return the queue of a request, or None.

        If several prefixes match, the longest one decides.

        Args:
            host: `Host` header of the request.
            path: URL path of the request.
        """
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def team_of_key(self, key):
        """Return the name of the team that has an API key, or None."""
        return self._team_by_key.get(key)

    def spare_pools(self):
        """Return the names of the spare pools."""
        return {pool.name for pool in self.pools.values() if pool.spare}

"""Workers, hosts and maintenance waves."""

import dataclasses
import enum
import typing

from figtray.jobs import model


class Incarnation(typing.NamedTuple):
    """Identity of one worker process; a restart begins a new incarnation.

    At most one worker at a time runs at an address, and one on a host.
    """

    worker_id: str
    born_ms: int
    address: str
    host_id: str = ''
    pool: str = ''


@dataclasses.dataclass(frozen=True)
class Worker:
    """One incarnation of a worker, as it describes itself in the store.

    Attributes:
        worker_id: id of the worker; a restarted worker may keep it.
        born_ms: Unix time in milliseconds of its start, which distinguishes
            its incarnations.
        address: `host:port` at which it receives orders.
        pool: name of its pool.
        zone: name of its data centre.
        labels: its kind and its rack.
        capacity: resources of its host.
        draining: whether it will stop soon.
        host_id: id of the host on which it runs.
    """

    worker_id: str
    born_ms: int
    address: str
    pool: str
    zone: str
    labels: tuple[str, ...]
    capacity: model.Resources
    draining: bool = False
    host_id: str = ''

    @property
    def rack(self):
        """Name of the rack; empty if unknown."""
        return self.labels[1] if len(self.labels) > 1 else ''

    @property
    def incarnation(self):
        """Identity of this incarnation of the worker."""
        return Incarnation(
            self.worker_id,
            self.born_ms,
            self.address,
            self.host_id,
            self.pool,
        )


class HostState(enum.Enum):
    """State of a host as the platform lists it; UNKNOWN if it is odd."""

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Host:
    """A host as the platform lists it.

    Attributes:
        worker_id: id of the worker that runs on it; empty if there is none.
    """

    host_id: str
    pool: str
    state: HostState
    zone: str
    labels: tuple[str, ...] = ()
    capacity: model.Resources = model.NO_RESOURCES
    worker_id: str = ''

    @property
    def rack(self):
        """Name of the rack; empty if unknown."""
        return self.labels[1] if len(self.labels) > 1 else ''


@dataclasses.dataclass(frozen=True)
class Wave:
    """Operators' request for the upkeep of hosts.

    Attributes:
        number: number of the wave.
        host_ids: ids of the hosts.
        duration_ms: time within which all upkeeps should be done.
        max_down: most hosts that may be down for the wave at a time.
    """

    number: int
    host_ids: tuple[str, ...]
    duration_ms: int
    max_down: int

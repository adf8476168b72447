"""Workers, hosts and maintenance waves as the rest of figtray sees them."""

import dataclasses
import enum
import typing

from figtray.jobs import model


class Incarnation(typing.NamedTuple):
    """Key of one life of a worker.

    At an address, and on a host, one worker lives at a time.
    """

    worker_id: str
    born_ms: int
    address: str
    host_id: str = ''
    pool: str = ''


@dataclasses.dataclass(frozen=True)
class Worker:
    """One life of a worker, as it describes itself in the store.

    Attributes:
        worker_id: its id; a restarted worker may keep it.
        born_ms: Unix time in milliseconds of its start, which tells its
            lives apart.
        address: `host:port` of its orders.
        pool: name of its pool.
        zone: its data centre.
        labels: its kind and its rack.
        capacity: what its host has.
        draining: whether it leaves soon.
        host_id: the host on which it lives.
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
        """Key of this life of the worker."""
        return Incarnation(
            self.worker_id,
            self.born_ms,
            self.address,
            self.host_id,
            self.pool,
        )


class HostState(enum.Enum):
    """What the platform says of a host."""

    UP = 'up'
    MOVING = 'moving'
    UPKEEP = 'upkeep'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True)
class Host:
    """A host as the platform lists it.

    Attributes:
        worker_id: id of the worker that lives on it; empty if there is none.
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
    """Operators' request that hosts have their upkeep.

    Attributes:
        number: number of the wave.
        host_ids: the hosts.
        duration_ms: time within which all are to be done.
        max_down: most hosts that may be down for it at once.
    """

    number: int
    host_ids: tuple[str, ...]
    duration_ms: int
    max_down: int

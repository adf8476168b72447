"""Interface of the platform's host list."""

import dataclasses
import enum


class HostPresence(enum.Enum):
    """What the host list says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True)
class HostStatus:
    """One host of the list; `age_ms` tells how old the entry is."""

    host: str
    presence: HostPresence
    boot_id: str
    running: int
    age_ms: int


class HostList:
    """Lagging list of the live and leaving hosts."""

    def list_hosts(self):
        """Read the list.

        Returns:
            List of HostStatus. An absent host is not known to live.

        Raises:
            HostListUnavailable: the list did not answer.
        """
        raise NotImplementedError

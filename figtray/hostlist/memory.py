"""In-memory host list for tests."""

from figtray import errors
from figtray.hostlist import base


class MemoryHostList(base.HostList):
    """Host list that a test fills."""

    def __init__(self):
        self.hosts = {}
        self.down = False

    def put(self, status):
        """Add or replace a host."""
        self.hosts[status.host] = status

    def list_hosts(self):
        if self.down:
            raise errors.HostListUnavailable(detail='injected outage')
        return list(self.hosts.values())

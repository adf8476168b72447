"""Behaviour that every HostList has."""

import pytest

from figtray import errors
from figtray.hostlist import base

HOSTS = [
    base.HostStatus('host-1', base.HostPresence.LIVE, 'boot-1', 3, 0),
    base.HostStatus('host-2', base.HostPresence.LEAVING, 'boot-2', 0, 0),
]


class HostListContract:
    """Tests of a HostList.

    A subclass provides the fixture `hosts` and the methods put(statuses)
    and set_down(down).
    """

    def test_lists_hosts(self, hosts):
        """Guards against hosts that are lost or changed on the way."""
        assert hosts.list_hosts() == []
        self.put(HOSTS)
        assert hosts.list_hosts() == HOSTS

    def test_outage(self, hosts):
        """Guards against an outage that looks like a fleet without hosts."""
        self.put(HOSTS)
        self.set_down(True)
        with pytest.raises(errors.HostListUnavailable):
            hosts.list_hosts()
        self.set_down(False)
        assert hosts.list_hosts() == HOSTS

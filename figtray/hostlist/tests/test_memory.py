"""Tests of the in-memory host list."""

import pytest

from figtray.hostlist import memory
from figtray.hostlist.tests import contract


class TestMemoryHostList(contract.HostListContract):
    """Runs the contract of the HostList."""

    @pytest.fixture
    def hosts(self):
        self.list = memory.MemoryHostList()
        return self.list

    def put(self, statuses):
        for status in statuses:
            self.list.put(status)

    def set_down(self, down):
        self.list.down = down

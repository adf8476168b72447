"""Tests of the in-memory store."""

import pytest

from figtray import clock as clock_lib
from figtray.store import memory
from figtray.store.tests import contract


class TestMemoryStore(contract.StoreContract):
    """Runs the tests of all Stores."""

    @pytest.fixture
    def rig(self, monkeypatch):
        monkeypatch.setattr(memory, 'WATCH_WAIT_MS', 10)
        clock = clock_lib.ManualClock()
        store = memory.MemoryStore(clock)
        return contract.Rig(store, store, clock)

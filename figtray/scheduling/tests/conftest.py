"""Fixtures of a fleet and its leader."""

import pytest

from figtray.scheduling.tests import harness


@pytest.fixture
def fleet():
    return harness.Fleet()


@pytest.fixture
def leader(fleet):
    leader = fleet.elect_leader()
    leader.report_all()
    return leader

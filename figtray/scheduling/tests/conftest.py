"""Fixtures of a fleet, its leader and the log lines of a test."""

import logbook
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


@pytest.fixture
def handler():
    with logbook.TestHandler() as handler:
        yield handler

"""Tests of the rests of hosts that crash again and again."""

import pytest

from figtray.blame import hosts

HOST = 'host-1'


@pytest.fixture
def crashed():
    return hosts.Hosts()


class TestRest:
    def test_single_crash_costs_nothing(self, crashed):
        crashed.note_crash(HOST, 0)
        assert crashed.rest_ms(HOST, 100) == 0

    def test_rest_grows_to_its_bound(self, crashed):
        rests_ms = []
        for at_ms in range(0, 20_000, 2000):
            crashed.note_crash(HOST, at_ms)
            rests_ms.append(crashed.rest_ms(HOST, at_ms))
        assert rests_ms[:4] == [0, 1000, 2000, 4000]
        assert set(rests_ms[4:]) == {max(hosts.REST_MS)}

    def test_rests_of_other_hosts(self, crashed):
        for at_ms in range(4):
            crashed.note_crash(HOST, at_ms)
        assert crashed.rest_ms('host-2', 10) == 0

    def test_crashes_far_apart_are_in_no_row(self, crashed):
        for number in range(10):
            crashed.note_crash(HOST, number * (hosts.ROW_MS + 1))
        assert crashed.rest_ms(HOST, 10 * (hosts.ROW_MS + 1)) == 0

    def test_crashes_of_a_guilty_task_are_taken_back(self, crashed):
        for at_ms in range(3):
            crashed.note_crash(HOST, at_ms)
        crashed.excuse(HOST)
        crashed.excuse(HOST)
        assert crashed.crashes_in_row(HOST, 10) == 1

    def test_rows_that_are_over_are_forgotten(self, crashed):
        for number in range(1000):
            crashed.note_crash(f'host-{number}', number * hosts.ROW_MS)
        assert len(crashed._rows) <= 2

"""Tests of the control loop."""

import random

from figtray import clock as clock_lib
from figtray.controller import election as election_lib
from figtray.controller import loop as loop_lib
from figtray.store import memory


class Duty:
    """Duty that counts its runs and fails on demand."""

    def __init__(self):
        self.runs = 0
        self.error = None

    def run(self, role):
        """Count a run."""
        self.runs += 1
        if self.error:
            raise self.error


class Case:
    """A loop with two duties."""

    def __init__(self):
        self.clock = clock_lib.ManualClock()
        self.store = memory.MemoryStore(self.clock)
        self.duties = [Duty(), Duty()]
        self.groups = []
        self.roles = []
        self.loop = loop_lib.ControlLoop(
            election_lib.Election(self.store, 'test', 'one', self.clock),
            self.duties,
            self.clock,
            random.Random(1),
            self.groups.append,
            self.roles.append,
        )


class TestControlLoop:
    """Guards against a controller that an error ends or that spins."""

    def test_an_error_of_one_duty_does_not_stop_the_next(self):
        case = Case()
        case.duties[0].error = ValueError('unexpected')
        wait_ms = case.loop.run_once()
        assert [duty.runs for duty in case.duties] == [1, 1]
        assert case.groups[0].exceptions == (case.duties[0].error,)
        assert 500 <= wait_ms <= 3_000
        case.duties[0].error = None
        assert case.loop.run_once() == loop_lib.PERIOD_MS

    def test_backs_off_with_jitter_in_a_store_outage(self):
        case = Case()
        case.store.set_down(True)
        waits = [case.loop.run_once() for _ in range(8)]
        assert case.duties[0].runs == 0
        assert waits[0] <= 1_000 < 7_500 <= waits[-1]
        assert len(set(waits[-3:])) == 3
        case.store.set_down(False)
        assert case.loop.run_once() == loop_lib.PERIOD_MS

    def test_a_standby_runs_no_duty_and_reports_the_change(self):
        case = Case()
        case.loop.run_once()
        case.clock.advance(election_lib.TTL_MS)
        election_lib.Election(case.store, 'test', 'two', case.clock).step()
        case.loop.run_once()
        assert case.duties[0].runs == 1
        assert [role is not None for role in case.roles] == [True, False]

    def test_a_role_lost_during_an_iteration_stops_it(self):
        case = Case()
        other = election_lib.Election(case.store, 'test', 'two', case.clock)

        def pause(role):
            case.clock.advance(60_000)
            assert other.step() is not None

        case.duties[0].run = pause
        case.loop.run_once()
        assert case.duties[1].runs == 0

"""The controller's duty to keep the capacity in its planned state."""

import time

from figtray.capacity import demand as demand_lib
from figtray.capacity import model
from figtray.capacity import mover as mover_lib
from figtray.capacity import planner
from figtray.capacity import situation as situation_lib

MAX_CHANGES = 4


class CapacityDuty:
    """Observes, plans and acts once in each iteration of the controller."""

    def __init__(self, writer, observer, read_demand, clock, wall_s=time.time):
        """Create the duty.

        Args:
            writer: the configuration Writer.
            observer: the observer.Observer.
            read_demand: function without arguments that returns the
                demand.PoolLoad of each pool.
            clock: the Clock.
            wall_s: function that returns seconds since the epoch; it is
                compared only with maintenance times, over weeks.
        """
        self._writer = writer
        self._observer = observer
        self._read_demand = read_demand
        self._clock = clock
        self._wall_s = wall_s
        self._tracker = demand_lib.DemandTracker()
        self._returned_ms = {}
        self.last_plan = None
        self.last_observation = None

    def run(self, role):
        """Take the next steps.

        Args:
            role: the election.Role of the active controller.

        Returns:
            List of mover.Applied.

        Raises:
            FencedOut: this process is no longer the active controller.
            StoreUnavailable, NoMajority, WriteUncertain, NotAccepted: not
                everything was done; the next iteration starts again from
                the configuration.
        """
        snapshot, _ = self._writer.read()
        now_ms = self._clock.now_ms()
        thresholds = model.make_thresholds(snapshot.policy)
        demand = self._tracker.update(
            self._read_demand(), now_ms, thresholds.interval_ms
        )
        observation = self._observer.observe(
            snapshot,
            demand,
            int(self._wall_s()),
            tuple(self._returned_ms.items()),
        )
        situation = situation_lib.make_situation(snapshot, observation)
        plan = planner.plan(situation)
        self.last_plan = plan
        self.last_observation = observation
        mover = mover_lib.Mover(self._writer, role.guards)
        applied = []
        size = mover_lib.ACTIONS_PER_CHANGE
        for start in range(
            0, min(len(plan.actions), MAX_CHANGES * size), size
        ):
            chunk = plan.actions[start : start + size]
            applied.append(mover.apply(chunk, observation))
            self._note_returns(situation, applied[-1].done)
        return applied

    def _note_returns(self, situation, done):
        """Remember when a returning zone got back some of its hosts."""
        zones = {host.name: host.zone for host in situation.hosts}
        now_ms = self._clock.now_ms()
        for action in done:
            if isinstance(action, model.Assign):
                if action.reason is not model.Reason.PEAK:
                    self._returned_ms[zones[action.host]] = now_ms
        keep_ms = 10 * situation.thresholds.return_step_ms
        self._returned_ms = {
            zone: at_ms
            for zone, at_ms in self._returned_ms.items()
            if now_ms - at_ms < keep_ms
        }

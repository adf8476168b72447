"""The controller's duty to keep the capacity in its planned state."""

import collections
import dataclasses
import time

from figtray.capacity import demand as demand_lib
from figtray.capacity import model
from figtray.capacity import mover as mover_lib
from figtray.capacity import planner
from figtray.capacity import situation as situation_lib
from figtray.configuration import resources

MAX_CHANGES = 4
# The second plan of an iteration assigns what the first one released, which
# saves a period in each move.
PLANS = 2
# The first step of a returning zone does not wait.
RETURN_PAUSE_MS = model.Thresholds().return_step_ms


class CapacityDuty:
    """Observes, plans and acts once in each iteration of the controller."""

    def __init__(
        self,
        writer,
        observer,
        read_demand,
        clock,
        wall_s=time.time,
        tracker=None,
        make_plan=planner.plan,
    ):
        """Create the duty.

        Args:
            writer: the configuration Writer.
            observer: the observer.Observer.
            read_demand: function without arguments that returns the
                demand.PoolLoad of each pool.
            clock: the Clock.
            wall_s: function that returns seconds since the epoch; it is
                compared only with maintenance times, over weeks.
            tracker: a demand.DemandTracker or a substitute.
            make_plan: the planner; experiments compare it with others.
        """
        self._writer = writer
        self._observer = observer
        self._read_demand = read_demand
        self._clock = clock
        self._wall_s = wall_s
        self._tracker = tracker or demand_lib.DemandTracker()
        self._make_plan = make_plan
        self._returned_ms = {}
        self._returning = {}
        self._zones_out = set()
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
        self._note_zones(snapshot, now_ms)
        thresholds = model.make_thresholds(
            snapshot.policy, outage=bool(self._zones_out)
        )
        demand = self._tracker.update(
            self._read_demand(), now_ms, thresholds.interval_ms
        )
        observation = self._observer.observe(
            snapshot,
            demand,
            int(self._wall_s()),
            tuple(self._returned_ms.items()),
        )
        self.last_observation = observation
        mover = mover_lib.Mover(self._writer, role.guards)
        applied = []
        for _ in range(PLANS):
            step = self._act(snapshot, observation, mover)
            applied.extend(step)
            if not any(_frees_a_host(item) for item in step):
                break
            snapshot, _ = self._writer.read()
            observation = dataclasses.replace(
                observation, returned_ms=tuple(self._returned_ms.items())
            )
        return applied

    def _act(self, snapshot, observation, mover):
        """Plan and carry out a bounded number of actions."""
        situation = situation_lib.make_situation(snapshot, observation)
        plan = self._make_plan(situation)
        self.last_plan = plan
        applied = []
        size = mover_lib.ACTIONS_PER_CHANGE
        for start in range(
            0, min(len(plan.actions), MAX_CHANGES * size), size
        ):
            chunk = plan.actions[start : start + size]
            applied.append(mover.apply(chunk, observation))
            self._observer.note_accepted(applied[-1])
            self._note_steps(situation, applied[-1].done)
        return applied

    def _note_zones(self, snapshot, now_ms):
        """Notice which zones came back; they ramp up until all serve."""
        zones = snapshot.specs(resources.Kind.ZONE)
        hosts = snapshot.specs(resources.Kind.HOST)
        idle = collections.defaultdict(set)
        for name, spec in hosts.items():
            if spec.state is not resources.HostState.SERVING:
                idle[spec.zone].add(name)
        out = {name for name, spec in zones.items() if not spec.in_service}
        for zone in self._zones_out - out:
            self._returned_ms[zone] = now_ms - RETURN_PAUSE_MS
            self._returning[zone] = set(idle[zone])
        self._zones_out = out
        for zone in list(self._returned_ms):
            self._returning[zone] &= idle[zone]
            if zone in out or not self._returning[zone]:
                del self._returned_ms[zone], self._returning[zone]

    def _note_steps(self, situation, done):
        """Remember when a returning zone got back some of its hosts."""
        zones = {host.name: host.zone for host in situation.hosts}
        returning = planner.returning_zones(situation)
        released = collections.defaultdict(set)
        for host in situation.hosts:
            if host.state is resources.HostState.RELEASED:
                released[host.zone].add(host.name)
        for action in done:
            if isinstance(action, model.Assign):
                zone = zones[action.host]
                if zone in returning:
                    self._returned_ms[zone] = situation.now_ms
                    # Inferred after a take-over: the rest still has to come.
                    self._returning.setdefault(zone, released[zone])


def _frees_a_host(applied):
    return any(isinstance(action, model.Release) for action in applied.done)

"""Carries out the actions of a plan as configuration changes."""

import dataclasses
import uuid

import msgspec

from figtray.capacity import budget
from figtray.capacity import model
from figtray.capacity import situation as situation_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer as writer_lib
from figtray import errors
from figtray.peers import serving

# One transaction of the store holds at most about a hundred operations.
ACTIONS_PER_CHANGE = 64

State = resources.HostState


class ActionRefused(errors.FigtrayError):
    """An action does not fit the present configuration."""

    msg_fmt = '{action} of {host} was refused: {detail}'


@dataclasses.dataclass(frozen=True)
class Applied:
    """Outcome of some actions; `refused` has (action, detail) pairs.

    `generation` is 0 if nothing was changed; `accepted_ms` is the time at
    which the change was accepted.
    """

    generation: int = 0
    accepted_ms: int = 0
    done: tuple = ()
    refused: tuple = ()


class Nothing(errors.FigtrayError):
    """No action of a batch fits the present configuration."""

    msg_fmt = 'None of {count} actions fits the present configuration.'


class Mover:
    """Writes host states for the active controller.

    The state of a move is the state of the host record and nothing else.
    Each change is built on the current snapshot, and every action is checked
    against it: a second plan, of this or another controller, finds what the
    first one changed.
    """

    def __init__(self, writer, guard):
        """Create a mover.

        Args:
            writer: the configuration Writer.
            guard: function without arguments that returns the Compare
                conditions of the controller role, or raises FencedOut.
        """
        self._writer = writer
        self._guard = guard

    def apply(self, actions, observation):
        """Write some actions as one change.

        Args:
            actions: actions of a plan, in order; at most
                ACTIONS_PER_CHANGE are taken.
            observation: the situation.Observation that they rest on.

        Returns:
            An Applied.

        Raises:
            FencedOut: this process is no longer the active controller.
            StoreUnavailable, NoMajority: nothing was changed.
            WriteUncertain, NotAccepted: the change may be made; the next
                plan starts from what the configuration then says.
        """
        outcome = {}

        def build(snapshot):
            outcome.clear()
            return self._build(snapshot, actions, observation, outcome)

        guards = self._guard()
        try:
            committed = self._writer.commit(
                build, change_id=uuid.uuid4().hex, guards=guards
            )
        except Nothing:
            return Applied(refused=tuple(outcome['refused']))
        return Applied(
            committed.change.generation,
            committed.accepted_ms,
            tuple(outcome['done']),
            tuple(outcome['refused']),
        )

    def _build(self, snapshot, actions, observation, outcome):
        checks = _Checks(snapshot, observation)
        done = outcome['done'] = []
        refused = outcome['refused'] = []
        for action in actions[:ACTIONS_PER_CHANGE]:
            try:
                checks.apply(action)
            except ActionRefused as exc:
                refused.append((action, exc.fields['detail']))
            else:
                done.append(action)
        if not done:
            raise Nothing(count=len(actions))
        version = snapshot.generation + 1
        return [
            snapshot_lib.Item(
                resources.Kind.HOST.value,
                name,
                version,
                snapshot_lib.spec_data(spec),
            )
            for name, spec in checks.changed.items()
        ]


class _Checks:
    """Checks actions against a snapshot and collects their effect."""

    def __init__(self, snapshot, observation):
        self._snapshot = snapshot
        self._situation = situation_lib.make_situation(snapshot, observation)
        self._ledger = budget.Ledger(self._situation)
        self._reclaims = self._count_reclaims()
        self.changed = {}

    def apply(self, action):
        """Check an action and add its effect to `changed`.

        Raises:
            ActionRefused: the action does not fit.
        """
        name = action.host
        if name in self.changed:
            self._refuse(action, 'the host is already part of this change')
        spec = self._snapshot.spec(resources.Kind.HOST, name)
        if spec is None:
            self._refuse(action, 'the host does not exist')
        match action:
            case model.StartDrain():
                self._expect(action, spec, State.SERVING)
                self._check_drain(action, spec)
                changes = {'state': State.DRAINING}
            case model.Release():
                self._expect(action, spec, State.DRAINING)
                self._check_drained(action)
                changes = {'state': State.RELEASED}
            case model.StartMaintenance():
                self._expect(action, spec, State.DRAINING)
                self._check_drained(action)
                if action.host in self._situation.lagging:
                    self._refuse(action, 'its last report may be too old')
                changes = {'state': State.MAINTENANCE}
            case model.Assign():
                self._expect(action, spec, State.RELEASED)
                changes = self._assignment(action, spec)
            case model.EndMaintenance():
                self._expect(action, spec, State.MAINTENANCE)
                self._check_back(action)
                changes = {'state': State.SERVING}
                if action.done:
                    changes['maintained_at_s'] = self._situation.wall_s
        self.changed[name] = msgspec.structs.replace(spec, **changes)

    def _refuse(self, action, detail):
        raise ActionRefused(
            action=type(action).__name__, host=action.host, detail=detail
        )

    def _expect(self, action, spec, state):
        if spec.state is not state:
            self._refuse(action, f'its state is {spec.state.value}')

    def _check_drain(self, action, spec):
        if spec.pool != action.pool:
            self._refuse(action, f'its pool is {spec.pool}')
        host = situation_lib.make_host(action.host, spec)
        situation = self._situation
        if not budget.is_available(host, situation):
            return
        if action.reason in model.FORCED:
            self._refuse(action, 'it is neither leaving nor in a zone out')
        pool = self._snapshot.spec(resources.Kind.POOL, spec.pool)
        if self._ledger.slots[spec.pool] - spec.slots < pool.min_slots:
            self._refuse(action, f'the guarantee of pool {spec.pool}')
        if action.reason is model.Reason.GUARANTEE and self._reclaims > 0:
            self._reclaims -= 1
            self._ledger.remove(host)
        elif not self._ledger.take(host):
            self._refuse(action, 'the loss of a zone or rack')

    def _count_reclaims(self):
        """Return how many hosts may be reclaimed for pools that lack some.

        Hosts on their way count, so that two plans don't reclaim twice.
        """
        lacking = sum(
            -(self._ledger.surplus(pool.name) // self._ledger.unit)
            for pool in self._situation.pools
            if self._ledger.surplus(pool.name) < 0
        )
        return lacking - sum(
            host.state in (State.DRAINING, State.RELEASED)
            and host.zone not in self._situation.zones_out
            and host.name not in self._situation.failed
            and host.name not in self._situation.leaving
            for host in self._situation.hosts
        )

    def _check_drained(self, action):
        if action.host not in self._situation.drained:
            self._refuse(action, 'its drain is not known to be finished')

    def _check_back(self, action):
        situation = self._situation
        if action.host not in (
            situation.rebooted if action.done else situation.not_rebooted
        ):
            self._refuse(action, 'its reboot was judged on an older record')

    def _assignment(self, action, spec):
        pools = self._snapshot.specs(resources.Kind.POOL)
        if action.pool not in pools:
            self._refuse(action, f'pool {action.pool} does not exist')
        if spec.zone in self._situation.zones_out:
            self._refuse(action, f'zone {spec.zone} is out of service')
        changes = {'state': State.SERVING, 'pool': action.pool}
        if spec.wanted_pool == action.pool:
            changes['wanted_pool'] = ''
        return changes


class DrainWatch:
    """Tells which drains are finished.

    It keeps only the time since which a majority of the entries is known to
    hold the draining state. A controller that takes over learns it again
    and at worst waits once more.
    """

    def __init__(self, entries, clock):
        self._entries = entries
        self._clock = clock
        self._in_force_ms = {}
        self._accepted_ms = {}

    def note_accepted(self, applied):
        """Learn when a change was accepted, from an Applied."""
        if applied.generation:
            self._accepted_ms[applied.generation] = applied.accepted_ms

    def update(self, snapshot):
        """Learn which draining states the entries hold.

        Args:
            snapshot: the current configuration Snapshot.

        Returns:
            The names of the hosts whose drain is in force everywhere: every
            right to start that was based on an older configuration has
            ended, and with it the start deadline of any request on its way.
        """
        draining = {
            name: snapshot.item(resources.Kind.HOST, name).version
            for name, spec in snapshot.specs(resources.Kind.HOST).items()
            if spec.state is State.DRAINING
        }
        known = {
            name: entry
            for name, entry in self._in_force_ms.items()
            if draining.get(name) == entry[0]
        }
        if len(known) < len(draining):
            accepted = self._accepted_generation()
            now_ms = self._clock.now_ms()
            for name, version in draining.items():
                if name not in known and version <= accepted:
                    at_ms = self._accepted_ms.get(version, now_ms)
                    known[name] = version, at_ms + serving.IN_FORCE_MS
        self._in_force_ms = known
        self._accepted_ms.clear()
        now_ms = self._clock.now_ms()
        return {name for name, (_, at_ms) in known.items() if at_ms <= now_ms}

    def in_force_ms(self, name):
        """Return the time at which the drain of a host came in force."""
        return self._in_force_ms[name][1]

    def _accepted_generation(self):
        """Return the newest generation that a majority has confirmed."""
        generations = sorted(
            (mark.generation for mark in self._entries.marks().values()),
            reverse=True,
        )
        needed = writer_lib.majority(len(self._entries.slots))
        if len(generations) < needed:
            return 0
        return generations[needed - 1]

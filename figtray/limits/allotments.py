"""Allotments of team limits that one entry incarnation holds."""

import collections
import dataclasses
import threading

from figtray.configuration import resources
from figtray.peers import messages

# An asker repeats its request well within this time.
RESERVATION_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Permit:
    """Right to run one task of a team, taken by one incarnation."""

    team: str
    incarnation: str


class Allotments:
    """Numbers of tasks of each team that this entry may run.

    Over all entries, the sum of max(held, in use) and of the tasks left by
    lost incarnations never exceeds the limit of the team, except while a
    lowered limit is below what already runs; then nothing starts.
    """

    def __init__(self, slot, run_id, clock, on_epoch=lambda epoch: None):
        """Set up.

        Args:
            slot: name of this entry's slot.
            run_id: id of this run of the process.
            clock: a Clock.
            on_epoch: called with the epoch when this entry takes one over
                without having joined it, before it can use allotment of it.
        """
        self._slot = slot
        self._clock = clock
        self._on_epoch = on_epoch
        self._run_id = run_id
        self._resets = 0
        self._lock = threading.Lock()
        self._held = collections.Counter()
        self._in_use = collections.Counter()
        self._versions = {}
        self._limits = {}
        self._reserved = {}
        self._join_report = None
        self.epoch = 0

    @property
    def incarnation(self):
        """Id of the current holder; changes when allotments are fenced."""
        return f'{self._run_id}.{self._resets}'

    def on_configuration(self, old, new):
        """Follow a configuration change; called before it is visible.

        A lowered limit voids the allotment until the next recount: only
        the recount knows how many tasks run in the fleet.
        """
        del old
        specs = new.specs(resources.Kind.TEAM)
        with self._lock:
            for team, spec in specs.items():
                if spec.limit < self._limits.get(team, 0):
                    self._held[team] = 0
            for team in set(self._limits) - set(specs):
                self._held[team] = 0
            self._limits = {name: spec.limit for name, spec in specs.items()}
            self._versions = {
                name: new.item(resources.Kind.TEAM, name).version
                for name in specs
            }

    def acquire(self, team):
        """Take the right to run one task.

        Returns:
            A Permit, or None if all allotment of the team is in use.
        """
        with self._lock:
            usable = self._held[team] - self._reservation(team)
            if self._in_use[team] >= usable:
                return None
            self._in_use[team] += 1
            return Permit(team, self.incarnation)

    def is_valid(self, permit):
        """Tell whether a permit was not fenced since it was taken."""
        return permit.incarnation == self.incarnation

    def release(self, permit):
        """Give back the right of a task that certainly runs no more."""
        with self._lock:
            if permit.incarnation == self.incarnation:
                self._in_use[permit.team] -= 1

    def idle(self, team):
        """Return how many more tasks of a team may start here."""
        with self._lock:
            usable = self._held[team] - self._reservation(team)
            return max(0, usable - self._in_use[team])

    def team_version(self, team):
        """Return the version of a team's limit, 0 if there is none."""
        with self._lock:
            return self._versions.get(team, 0)

    def give(self, request, portion, queued):
        """Subtract allotment for a peer that asks for it.

        What can't be given now is reserved out of what exceeds this
        entry's portion, so that tasks that end here make room for the
        peer's next request instead of for new tasks of this entry.

        Args:
            request: a messages.TransferRequest.
            portion: number of tasks of the team that this entry is due.
            queued: number of requests of the team that wait here.

        Returns:
            A messages.TransferReply. An asker that holds nothing and has
            no epoch yet (epoch 0) takes over the epoch of the reply.
        """
        with self._lock:
            team = request.team
            version = self._versions.get(team, 0)
            given = 0
            if request.version == version and (
                request.epoch in (0, self.epoch)
            ):
                idle = self._held[team] - self._in_use[team]
                due = max(0, portion - self._in_use[team])
                given = max(0, min(request.wanted, idle - min(queued, due)))
                self._held[team] -= given
                surplus = max(0, self._held[team] - portion)
                self._reserved[team] = (
                    min(request.wanted - given, surplus),
                    self._clock.now_ms() + RESERVATION_MS,
                )
            return messages.TransferReply(self.epoch, version, given)

    def receive(self, team, reply):
        """Add allotment that a peer gave.

        Allotment of another epoch or for another version of the limit is
        dropped: the next recount finds it missing.

        Returns:
            The number added.
        """
        with self._lock:
            return self._add(team, reply.version, reply.epoch, reply.given)

    def take_over(self, handover):
        """Add the allotments of an entry that stops."""
        with self._lock:
            for item in handover.allotments:
                self._add(item.team, item.version, handover.epoch, item.held)

    def surrender(self):
        """Give up all idle allotment, for a peer to take over.

        Returns:
            A messages.Handover.
        """
        with self._lock:
            items = []
            for team in sorted(self._held):
                idle = self._held[team] - self._in_use[team]
                if idle <= 0 or team not in self._versions:
                    continue
                self._held[team] -= idle
                items.append(
                    messages.TeamAllotment(team, self._versions[team], idle)
                )
            return messages.Handover(self.epoch, tuple(items))

    def join(self, epoch, floor=0):
        """Join an epoch and report what counts as taken here.

        What is held of an epoch below the floor is dropped first.

        A repeated call returns the first report of the epoch. Allotment
        that was given away since then is counted nowhere else, so a new
        report would let the recount grant it a second time.

        Returns:
            A messages.EpochReport; `joined` is False if this entry is in a
            newer epoch.
        """
        with self._lock:
            if epoch < self.epoch:
                return messages.EpochReport(
                    self._slot, self.incarnation, False, self.epoch
                )
            if 0 < self.epoch < floor:
                self._drop(epoch)
            if epoch > self.epoch or self._join_report is None:
                self.epoch = epoch
                self._join_report = messages.EpochReport(
                    slot=self._slot,
                    incarnation=self.incarnation,
                    joined=True,
                    epoch=epoch,
                    allotments=self._report(),
                )
            return self._join_report

    def grant(self, grant):
        """Add new allotment of the current epoch.

        Returns:
            True if the grant belongs to the current epoch.
        """
        with self._lock:
            if grant.epoch != self.epoch:
                return False
            for item in grant.allotments:
                if self._versions.get(item.team) != item.version:
                    continue
                taken = max(self._held[item.team], self._in_use[item.team])
                self._held[item.team] = taken + item.held
            return True

    def reset(self, epoch):
        """Drop everything because this incarnation was fenced.

        Args:
            epoch: the epoch that fenced it; nothing happens if the current
                epoch is not older.

        Returns:
            True if the allotments were dropped.
        """
        with self._lock:
            if self.epoch >= epoch:
                return False
            self._drop(epoch)
            return True

    def report(self):
        """Return the TeamAllotment of every team."""
        with self._lock:
            return self._report()

    def _drop(self, epoch):
        self._resets += 1
        self._held.clear()
        self._in_use.clear()
        self._join_report = None
        self.epoch = epoch
        self._on_epoch(epoch)

    def _reservation(self, team):
        number, end_ms = self._reserved.get(team, (0, 0))
        return number if self._clock.now_ms() < end_ms else 0

    def _report(self):
        return tuple(
            messages.TeamAllotment(
                team=team,
                version=version,
                held=max(self._held[team], 0),
                in_use=self._in_use[team],
            )
            for team, version in sorted(self._versions.items())
        )

    def _add(self, team, version, epoch, number):
        if self.epoch == 0 and not any(self._held.values()):
            self.epoch = epoch
            self._join_report = None
            self._on_epoch(epoch)
        if epoch != self.epoch or version != self._versions.get(team):
            return 0
        self._held[team] += number
        return number

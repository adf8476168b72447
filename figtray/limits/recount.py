"""Creates allotment anew from what entries hold and workers run."""

import collections
import dataclasses

from figtray.configuration import resources
from figtray.configuration import writer
from figtray.peers import messages
from figtray.peers import serving
from figtray.workers import base as workers_base


class EntryCalls:
    """Calls of the recount to all entries at once."""

    slots = ()

    def join(self, epoch, floor):
        """Ask every slot to join an epoch.

        Returns:
            Mapping of slot to EpochReport, for the slots that answered.
        """
        raise NotImplementedError

    def fence(self, floor):
        """Void all allotments of epochs below a floor.

        Returns:
            The set of slots that recorded the floor.
        """
        raise NotImplementedError

    def grant(self, slot, grant):
        """Send new allotment to a slot.

        Returns:
            True if the slot confirmed it.
        """
        raise NotImplementedError


@dataclasses.dataclass(frozen=True)
class Finished:
    """A recount that was completed; `granted` counts tasks by team."""

    epoch: int
    granted: dict
    orphans: dict


@dataclasses.dataclass(frozen=True)
class Members:
    """Incarnations that may hold allotment, and the floor of the epochs."""

    floor: int = 0
    incarnations: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Abandoned:
    """A recount that granted nothing."""

    epoch: int
    reason: str


class Recount:
    """One recount in one epoch.

    The steps are in this order for the limits to hold: the reports are
    taken first, then lost processes are fenced and lose their serving
    right, then the new members are recorded, and only then are workers
    asked for the tasks that were left and is anything granted. If the
    record were written after the grants, the next controller could take a
    fenced entry for a member.
    """

    def __init__(self, entries, worker_reports, clock, wait):
        """Set up.

        Args:
            entries: an EntryCalls.
            worker_reports: function of the Snapshot that returns a mapping
                of host to WorkerReport, or to None if it is unreachable.
            clock: a Clock.
            wait: function that waits for a number of milliseconds and
                returns False if the process stops meanwhile.
        """
        self._entries = entries
        self._worker_reports = worker_reports
        self._clock = clock
        self._wait = wait
        self._floor = 0
        # Time up to which entries may have been lost with tasks running; a
        # new controller does not know of earlier losses.
        self._last_loss_ms = clock.now_ms()

    def run(self, epoch, snapshot, known, record):
        """Take stock and grant what is free.

        Args:
            epoch: number of this recount, higher than any before.
            snapshot: configuration with the limits.
            known: the Members as of the last recount that changed them.
            record: called with the new Members if they have changed; must
                raise unless they are certainly recorded.

        Returns:
            Finished or Abandoned.
        """
        floor = max(known.floor, self._floor)
        answers = self._entries.join(epoch, floor)
        self._floor = max([floor, *(r.floor for r in answers.values())])
        if self._floor > floor:
            # A store that came back with an older state lacks the floor.
            return Abandoned(epoch, 'an entry knows of a newer floor')
        reports = {
            slot: report
            for slot, report in answers.items()
            if report.joined and report.epoch == epoch
        }
        changed = [
            slot
            for slot in self._entries.slots
            if slot not in reports
            or reports[slot].incarnation != known.incarnations.get(slot)
        ]
        if changed:
            if not self._fence(epoch):
                return Abandoned(epoch, 'no majority recorded the floor')
            self._last_loss_ms = self._clock.now_ms()
            record(
                Members(
                    epoch,
                    {s: report.incarnation for s, report in reports.items()},
                )
            )
        joined = {report.incarnation for report in reports.values()}
        orphans, unknown_slots = self._count_orphans(snapshot, joined)
        granted = self._grant(epoch, snapshot, reports, orphans, unknown_slots)
        return Finished(epoch, granted, dict(orphans))

    def _fence(self, epoch):
        needed = writer.majority(len(self._entries.slots))
        self._floor = epoch
        if len(self._entries.fence(epoch)) < needed:
            return False
        # After the lag, reports show what lost processes started last.
        return self._wait(serving.IN_FORCE_MS + workers_base.REPORT_LAG_MS)

    def _count_orphans(self, snapshot, joined):
        """Count tasks of lost incarnations.

        Returns:
            (Counter of tasks by team, slots of unreachable workers). A
            worker that can't be asked may run a task of any team in each
            of its slots until the longest run limit has passed.
        """
        orphans = collections.Counter()
        unknown_slots = 0
        hosts = snapshot.specs(resources.Kind.HOST)
        limits = [
            queue.run_limit_ms
            for queue in snapshot.specs(resources.Kind.QUEUE).values()
        ]
        waited_ms = self._clock.now_ms() - self._last_loss_ms
        leases_ended = waited_ms > max(limits, default=0)
        for host, report in self._worker_reports(snapshot).items():
            if report is None:
                unknown_slots += 0 if leases_ended else hosts[host].slots
                continue
            for task in report.running:
                if task.incarnation not in joined:
                    orphans[task.team] += 1
        return orphans, unknown_slots

    def _grant(self, epoch, snapshot, reports, orphans, unknown_slots):
        grants = {slot: [] for slot in reports}
        granted = {}
        by_team = _by_team(reports)
        for team, spec in snapshot.specs(resources.Kind.TEAM).items():
            version = snapshot.item(resources.Kind.TEAM, team).version
            items = {
                slot: item
                for slot, item in by_team.get(team, {}).items()
                if item.version == version
            }
            if len(items) < len(reports):
                # An entry has another version of the limit: the numbers
                # can't be compared.
                continue
            taken = sum(max(i.held, i.in_use) for i in items.values())
            free = spec.limit - taken - orphans[team] - unknown_slots
            if free < 0:
                continue
            granted[team] = free
            for slot, number in spread(free, items).items():
                grants[slot].append(
                    messages.TeamAllotment(team, version, number)
                )
        for slot, items in grants.items():
            self._entries.grant(slot, messages.Grant(epoch, tuple(items)))
        return granted


def _by_team(reports):
    """Return the TeamAllotment of each team by slot."""
    result = {}
    for slot, report in reports.items():
        for item in report.allotments:
            result.setdefault(item.team, {})[slot] = item
    return result


def spread(free, items):
    """Divide free allotment so that the entries end up level.

    Args:
        free: number to divide.
        items: mapping of slot to TeamAllotment.

    Returns:
        Mapping of slot to the number that it gets; the sum is `free`.
    """
    if not items:
        return {}
    totals = sorted(
        (max(item.held, item.in_use), slot) for slot, item in items.items()
    )
    result = {slot: 0 for _, slot in totals}
    taken = 0
    for count, (total, _) in enumerate(totals, start=1):
        taken += total
        level, rest = divmod(taken + free, count)
        if count == len(totals) or level < totals[count][0]:
            break
    for index, (total, slot) in enumerate(totals[:count]):
        result[slot] = level - total + (1 if index < rest else 0)
    return result

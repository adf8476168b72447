"""Observes the hosts through the host list and the workers' reports."""

import collections
import dataclasses

from figtray.capacity import maintenance
from figtray.capacity import mover as mover_lib
from figtray.capacity import situation as situation_lib
from figtray.configuration import resources
from figtray.configuration import writer as writer_lib
from figtray import errors
from figtray.hostlist import base as hostlist_base
from figtray.peers import serving
from figtray.workers import base as workers_base

FAILED_AFTER_MS = 10_000
REPORT_TIMEOUT_MS = 1_000
# Hosts that don't answer must not keep the controller from renewing its
# lease; those that were not asked in time are asked in the next iteration.
ROUND_TIMEOUT_MS = 2_000
REPORTS_PER_ROUND = 256
PROBES_PER_ROUND = 64
DRAINS_KEPT = 200

State = resources.HostState


@dataclasses.dataclass
class _Reboot:
    """Progress of one host's maintenance."""

    version: int
    since_ms: int
    boot_id: str
    was_down: bool = False


class Observer:
    """Builds an Observation from what the platform says of the hosts.

    All its memory is of durations and may be lost: a controller that takes
    over waits a little longer before it judges.
    """

    def __init__(self, host_list, workers, entries, clock, executor):
        self._host_list = host_list
        self._workers = workers
        self._clock = clock
        self._executor = executor
        self._drains = mover_lib.DrainWatch(entries, clock)
        self._seen_ms = {}
        self._listed = {}
        self._leaving = frozenset()
        self._boot_ids = {}
        self._reboots = {}
        self._drain_since_ms = {}
        self._drain_times = collections.deque(maxlen=DRAINS_KEPT)
        self.reboot_times = maintenance.RebootTimes()

    def observe(self, snapshot, demand, wall_s, returned_ms=()):
        """Observe the hosts of a configuration.

        Args:
            snapshot: the current configuration Snapshot.
            demand: mapping of pool to (smoothed, held) slots.
            wall_s: seconds since the epoch.
            returned_ms: (zone, time of its last return step) pairs.

        Returns:
            A situation.Observation.

        Raises:
            HostListUnavailable: the list did not answer and never has.
        """
        hosts = snapshot.specs(resources.Kind.HOST)
        self._read_list(hosts)
        in_force = self._drains.update(snapshot)
        in_maintenance = [
            name
            for name, spec in hosts.items()
            if spec.state is State.MAINTENANCE
        ]
        suspects = self._suspects(hosts)
        asked = [
            *sorted(in_force)[:REPORTS_PER_ROUND],
            *in_maintenance[:REPORTS_PER_ROUND],
            *suspects[:PROBES_PER_ROUND],
        ]
        reports = self._ask(hosts, asked)
        now_ms = self._clock.now_ms()
        for name in reports:
            self._seen_ms[name] = now_ms
        versions = {
            name: snapshot.item(resources.Kind.HOST, name).version
            for name in (*in_force, *in_maintenance)
        }
        self._track_drains(hosts, now_ms)
        rebooted, stuck, not_rebooted = self._track_reboots(
            in_maintenance, versions, reports, now_ms
        )
        return situation_lib.Observation(
            failed=frozenset(suspects) - reports.keys(),
            leaving=self._leaving
            | {name for name, report in reports.items() if report.leaving},
            drained=self._drained(snapshot, in_force, versions, reports),
            lagging=self._lagging(in_force, now_ms),
            rebooted=rebooted,
            stuck=stuck,
            not_rebooted=not_rebooted,
            demand=demand,
            now_ms=now_ms,
            wall_s=wall_s,
            drain_ms=self._typical_drain_ms(),
            maintenance_ms=self.reboot_times.percentile(0.5) or 300_000,
            returned_ms=returned_ms,
        )

    def note_accepted(self, applied):
        """Learn when a change of this controller was accepted.

        Args:
            applied: the mover.Applied.
        """
        self._drains.note_accepted(applied)

    def _read_list(self, hosts):
        now_ms = self._clock.now_ms()
        try:
            listed = {
                status.host: status for status in self._host_list.list_hosts()
            }
        except errors.HostListUnavailable:
            if not self._listed:
                raise
            # Without the list no host newly fails: absence says nothing.
            for name in self._listed:
                self._seen_ms[name] = now_ms
            return
        self._listed = listed
        self._leaving = frozenset(
            name
            for name, status in listed.items()
            if status.presence is hostlist_base.HostPresence.LEAVING
        )
        for name in hosts:
            status = listed.get(name)
            if status is not None:
                seen_ms = now_ms - status.age_ms
                self._seen_ms[name] = max(
                    self._seen_ms.get(name, seen_ms), seen_ms
                )
            else:
                self._seen_ms.setdefault(name, now_ms)

    def _suspects(self, hosts):
        now_ms = self._clock.now_ms()
        return [
            name
            for name, spec in hosts.items()
            if spec.state is not State.MAINTENANCE
            and now_ms - self._seen_ms.get(name, now_ms) >= FAILED_AFTER_MS
        ]

    def _ask(self, hosts, names):
        def report(name):
            return self._workers.report(hosts[name].address, REPORT_TIMEOUT_MS)

        unique = list(dict.fromkeys(names))
        return dict(
            writer_lib.in_parallel(
                self._executor, report, unique, ROUND_TIMEOUT_MS
            )
        )

    def _drained(self, snapshot, in_force, versions, reports):
        now_ms = self._clock.now_ms()
        limits = [
            spec.run_limit_ms
            for spec in snapshot.specs(resources.Kind.QUEUE).values()
        ]
        longest_ms = max(limits, default=resources.DEFAULT_RUN_MS)
        drained = {}
        for name in in_force:
            report = reports.get(name)
            if report is not None:
                self._boot_ids[name] = report.boot_id
                is_drained = not report.running
            else:
                # The lease of every task has ended by then.
                ended_ms = self._drains.in_force_ms(name) + longest_ms
                is_drained = now_ms >= ended_ms
            if is_drained:
                drained[name] = versions[name]
        return drained

    def _lagging(self, in_force, now_ms):
        """Return hosts whose reports may not show the last start yet."""
        return frozenset(
            name
            for name in in_force
            if now_ms - self._drains.in_force_ms(name)
            < workers_base.REPORT_LAG_MS
        )

    def _track_drains(self, hosts, now_ms):
        draining = {
            name
            for name, spec in hosts.items()
            if spec.state is State.DRAINING
        }
        for name in self._drain_since_ms.keys() - draining:
            since_ms = self._drain_since_ms.pop(name)
            self._drain_times.append(now_ms - since_ms)
        for name in draining:
            self._drain_since_ms.setdefault(name, now_ms)

    def _typical_drain_ms(self):
        floor_ms = serving.IN_FORCE_MS
        if not self._drain_times:
            return floor_ms + 2_000
        times = sorted(self._drain_times)
        return max(floor_ms, times[len(times) // 2])

    def _track_reboots(self, names, versions, reports, now_ms):
        """Judge the hosts in maintenance.

        Returns:
            (versions of rebooted hosts, stuck hosts, versions of hosts that
            are up although no reboot was seen).
        """
        rebooted, stuck, not_rebooted = {}, set(), {}
        reboots = {}
        for name in names:
            reboot = self._reboots.get(name)
            if reboot is None or reboot.version != versions[name]:
                reboot = _Reboot(
                    versions[name], now_ms, self._boot_ids.pop(name, '')
                )
            reboots[name] = reboot
            is_late = now_ms - reboot.since_ms > self.reboot_times.limit_ms
            report = reports.get(name)
            if report is None:
                reboot.was_down = True
                if is_late:
                    stuck.add(name)
            elif report.leaving:
                continue
            elif self._has_rebooted(reboot, report):
                rebooted[name] = reboot.version
            elif is_late:
                not_rebooted[name] = reboot.version
        for name in self._reboots.keys() - reboots.keys():
            if self._reboots[name].was_down:
                self.reboot_times.add(now_ms - self._reboots[name].since_ms)
        self._reboots = reboots
        return rebooted, frozenset(stuck), not_rebooted

    @staticmethod
    def _has_rebooted(reboot, report):
        if reboot.boot_id:
            return report.boot_id != reboot.boot_id
        if reboot.was_down:
            return True
        # Taken over during the maintenance: what was before is unknown.
        reboot.boot_id = report.boot_id
        return False

"""Hosts whose workers crash again and again, and how long they rest."""

import dataclasses

# Crashes of a host that follow one another within this time are in a row.
ROW_MS = 15_000
PRUNE_INTERVAL_MS = 1000
# Time for which a worker must have been up before it gets tasks, by the
# crashes in a row before it. The first costs nothing; tasks that last have to
# run again 7 s after the end of a disturbance, whatever their hosts did.
REST_MS = (0, 0, 1000, 2000, 4000)


@dataclasses.dataclass(frozen=True)
class _Row:
    """Crashes in a row.

    Attributes:
        count: number of them.
        last_ms: local time of the last one.
        alive_ms: local time at which the worker had last answered before.
    """

    count: int
    last_ms: int
    alive_ms: int | None


class Hosts:
    """Crashes of hosts, as one leader has seen them."""

    def __init__(self):
        self._rows = {}
        self._pruned_ms = 0

    def note_crash(self, host_id, now_ms, alive_ms=None):
        """Record that the worker of a host has crashed.

        Args:
            host_id: id of the host.
            now_ms: local time.
            alive_ms: local time at which it has last answered, or None.
        """
        self._prune(now_ms)
        count = self.crashes_in_row(host_id, now_ms)
        self._rows[host_id] = _Row(count + 1, now_ms, alive_ms)

    def most_up_ms(self, host_id, now_ms):
        """Return for how long a worker may be up; None if unknown."""
        row = self._rows.get(host_id)
        if row is None or row.alive_ms is None:
            return None
        return now_ms - row.alive_ms

    def count(self, now_ms):
        """Return the number of hosts with crashes not long ago."""
        self._prune(now_ms)
        return len(self._rows)

    def excuse(self, host_id):
        """Take back one crash of a host, which a task has caused."""
        row = self._rows.get(host_id)
        if row is not None and row.count:
            self._rows[host_id] = dataclasses.replace(row, count=row.count - 1)

    def crashes_in_row(self, host_id, now_ms):
        """Return the number of crashes in a row of a host."""
        row = self._rows.get(host_id)
        if row is None or now_ms - row.last_ms > ROW_MS:
            return 0
        return row.count

    def rest_ms(self, host_id, now_ms):
        """Return for how long a worker must be up before it gets tasks."""
        count = self.crashes_in_row(host_id, now_ms)
        return REST_MS[min(count, len(REST_MS) - 1)]

    def _prune(self, now_ms):
        """Forget the rows that are over, now and then."""
        if now_ms - self._pruned_ms < PRUNE_INTERVAL_MS:
            return
        self._pruned_ms = now_ms
        for host_id, row in list(self._rows.items()):
            if now_ms - row.last_ms > ROW_MS:
                del self._rows[host_id]

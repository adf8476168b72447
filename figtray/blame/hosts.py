"""Hosts whose workers crash again and again, and how long they rest."""

import dataclasses

# Crashes of a host that follow one another within this time are in a row.
ROW_MS = 15_000
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
    """

    count: int
    last_ms: int


class Hosts:
    """Crashes of hosts, as one leader has seen them."""

    def __init__(self):
        self._rows = {}

    def note_crash(self, host_id, now_ms):
        """Record that the worker of a host has crashed."""
        self._prune(now_ms)
        row = self._rows.get(host_id, _Row(0, now_ms))
        self._rows[host_id] = _Row(row.count + 1, now_ms)

    def excuse(self, host_id):
        """Take back one crash of a host, which a task has caused."""
        row = self._rows.get(host_id)
        if row is not None and row.count:
            self._rows[host_id] = _Row(row.count - 1, row.last_ms)

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
        """Forget the rows that are over; there are few."""
        for host_id, row in list(self._rows.items()):
            if now_ms - row.last_ms > ROW_MS:
                del self._rows[host_id]

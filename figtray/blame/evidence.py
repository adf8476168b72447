"""What is known of a crash of a worker under a run of a task."""

import msgspec

# Rows that are kept for a task. A task that ends is given up, or waits,
# long before it has more.
MAX_ROWS = 12
# Longest id of a host in a row.
MAX_HOST_ID_LENGTH = 200
# Longest time in a row: a hundred years.
MAX_TIME_MS = 100 * 366 * 86_400_000
# A run is seen in the reports of its worker that often, if its leader is well.
MAX_UNSEEN_MS = 1600


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a worker, as it speaks for or against one run there.

    Attributes:
        run: number of the run.
        host_id: id of the host.
        age_ms: for how long at most the run had gone on; None = unknown.
        least_ms: for how long it had certainly gone on.
        up_ms: for how long the worker had been up when the start was sent;
            None = unknown.
        alone: whether the run was on trial, on a worker of its own, and the
            crash came soon after its start.
        arrived: whether the start had certainly reached the worker.
        beside: number of other runs there.
        others: number of crashes of the host in a row before, without the
            task.
        around: number of other hosts with crashes in a row, without the task.
    """

    run: int
    host_id: str
    age_ms: int | None = None
    up_ms: int | None = None
    alone: bool = False
    arrived: bool = False
    beside: int = 0
    others: int = 0
    around: int = 0
    least_ms: int = 0

    @property
    def sure(self):
        """Whether the age is nearly known."""
        return (
            self.age_ms is not None
            and self.age_ms - self.least_ms <= MAX_UNSEEN_MS
        )

    @property
    def life_ms(self):
        """How long at most the worker lived, in ms; None = unknown."""
        if self.age_ms is None or self.up_ms is None:
            return None
        return self.up_ms + self.age_ms

    def describe(self):
        """Return a short text for the log."""
        return (
            f'{self.run}@{self.host_id} age={self.age_ms} up={self.up_ms} '
            f'alone={self.alone:d} arrived={self.arrived:d} '
            f'beside={self.beside} others={self.others} '
            f'around={self.around} least={self.least_ms}'
        )


def make(**fields):
    """Return a Crash whose fields are within their limits.

    Args:
        fields: those of Crash; a negative age counts as unknown.
    """
    age_ms, up_ms = fields.get('age_ms'), fields.get('up_ms')
    if age_ms is not None and age_ms < 0:
        age_ms = None
    return Crash(
        **fields
        | {
            'host_id': fields['host_id'][:MAX_HOST_ID_LENGTH],
            'age_ms': _clip(age_ms),
            'up_ms': _clip(up_ms),
            'others': max(0, fields.get('others', 0)),
            'around': max(0, fields.get('around', 0)),
            'least_ms': max(0, min(fields.get('least_ms', 0), age_ms or 0)),
        }
    )


def _clip(time_ms):
    if time_ms is None:
        return None
    return max(0, min(time_ms, MAX_TIME_MS))


def append(rows, crash):
    """Return rows with one more, the last MAX_ROWS of them.

    Args:
        rows: tuple of Crashes, oldest first.
        crash: the Crash; ignored if its run has a row.
    """
    if any(row.run == crash.run for row in rows):
        return rows
    return (*rows, crash)[-MAX_ROWS:]


def problem(rows):
    """Return what no leader stores in rows; empty if there is nothing."""
    if len(rows) > MAX_ROWS:
        return 'too much evidence'
    for row in rows:
        if len(row.host_id) > MAX_HOST_ID_LENGTH:
            return 'odd host'
        times_ms = row.age_ms or 0, row.up_ms or 0
        if not all(abs(time_ms) <= MAX_TIME_MS for time_ms in times_ms):
            return 'odd time'
    return ''

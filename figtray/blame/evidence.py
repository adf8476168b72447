"""What is known of a crash of a worker under a run of a task."""

import msgspec

# Rows that are kept for a task. A task that ends is given up, or waits,
# long before it has more.
MAX_ROWS = 12
# Longest id of a host in a row.
MAX_HOST_ID_LENGTH = 200
# Longest time in a row: a hundred years.
MAX_TIME_MS = 100 * 366 * 86_400_000


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """Crash of a worker, as it speaks for or against one run there.

    Attributes:
        run: number of the run.
        host_id: id of the host.
        age_ms: for how long at most the run had gone on; None = unknown.
        up_ms: for how long the worker had been up when the start was sent;
            None = unknown.
        alone: whether the run was on trial, on a worker of its own, and the
            crash came soon after its start.
        arrived: whether the start had certainly reached the worker.
        beside: number of other runs there.
        others: number of crashes of the host in a row before, without the
            task.
        sure: whether the worker was seen to end then; if not, it has ended
            at some time until then.
    """

    run: int
    host_id: str
    age_ms: int | None = None
    up_ms: int | None = None
    alone: bool = False
    arrived: bool = False
    beside: int = 0
    others: int = 0
    sure: bool = True

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
            f'beside={self.beside} others={self.others} sure={self.sure:d}'
        )


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

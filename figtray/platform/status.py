"""figtray-status: shows operators the state that is in the store."""

import collections
import dataclasses
import typing

import rich.console
import rich.table
import typer

from figtray import clock as clock_lib
from figtray import errors
from figtray.events import unreadable
from figtray.jobs import records
from figtray.leadership import term as terms
from figtray.platform import settings as settings_lib
from figtray.platform import store as stores
from figtray.platform import view as views
from figtray.scheduling import roster as rosters
from figtray.upkeep import wave_state

UNREADABLE = 'unreadable'
EXIT_INVALID = 2
EXIT_UNAVAILABLE = 1


@dataclasses.dataclass(frozen=True)
class JobCount:
    """Number of jobs of a queue in a state."""

    queue: str
    state: str
    jobs: int


@dataclasses.dataclass(frozen=True)
class HeldCount:
    """Number of ready tasks of a queue that are held for a reason."""

    queue: str
    reason: str
    tasks: int


@dataclasses.dataclass(frozen=True)
class WorkerCount:
    """Number of workers of a pool in a state."""

    pool: str
    state: str
    workers: int


@dataclasses.dataclass(frozen=True)
class WaveProgress:
    """Number of hosts of a wave whose upkeep has begun."""

    wave: int | str
    state: str
    begun: int


@dataclasses.dataclass(frozen=True)
class Status:
    """State of the leader, the jobs, the workers and the waves.

    Attributes:
        leader: name of the leading node; empty if there is no leader.
        term: epoch of the leader.
        config: version of the configuration; None if there is none.
        jobs: the JobCounts; the leader counts those in state `not begun`.
        held: the HeldCounts, which the leader updates once a second.
        workers: the WorkerCounts.
        waves: the WaveProgresses.
        roster: number of worker incarnations that may run tasks; None if the
            record is unreadable.
    """

    leader: str
    term: int
    config: int | None
    jobs: tuple
    held: tuple
    workers: tuple
    waves: tuple
    roster: int | None


def read(store, view):
    """Read the Status from the store.

    Args:
        store: the Store.
        view: the OperatorView, which this function loads.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    view.watcher.load()
    reader = _Reader(store)
    leader = store.get(terms.LEADER_KEY)
    roster = store.get(rosters.ROSTER_KEY)
    waiting = (
        reader.get(records.WAITING_KEY, records.decode_waiting_jobs)
        or records.WaitingJobs()
    )
    workers = collections.Counter(
        (worker.pool, 'draining' if worker.draining else 'ready')
        for worker in views.WorkerList(
            store, view, clock_lib.SystemClock()
        ).read()
    )
    return Status(
        leader=_leader_name(reader, leader),
        term=leader.mod_revision if leader else 0,
        config=view.config().version if view.config() else None,
        jobs=(
            *_count_jobs(reader),
            *(
                JobCount(queue, 'not begun', count)
                for queue, count in sorted(waiting.counts.items())
            ),
        ),
        held=tuple(
            HeldCount(queue, reason, count)
            for queue, reasons in sorted(waiting.held.items())
            for reason, count in sorted(reasons.items())
        ),
        workers=tuple(
            WorkerCount(*key, count) for key, count in sorted(workers.items())
        ),
        waves=tuple(_read_waves(reader)),
        roster=_roster_size(reader, roster),
    )


class _Reader:
    """Reads stored records; logs those that are unreadable.

    Args:
        store: the Store.
    """

    def __init__(self, store):
        self._store = store
        self._unreadable = unreadable.UnreadableLog(clock_lib.SystemClock())

    def decode(self, item, decode):
        """Return the record of a KeyValue; None if it is unreadable."""
        return self._unreadable.read(item.key, decode, item.value)

    def get(self, key, decode):
        """Return the record of a key; None if there is none to read."""
        item = self._store.get(key)
        return None if item is None else self.decode(item, decode)

    def range(self, prefix, decode):
        """Yield the rest of each key and its record, None if unreadable."""
        for page in self._store.pages(prefix):
            for item in page.items:
                yield item.key.removeprefix(prefix), self.decode(item, decode)


def _leader_name(reader, item):
    if item is None:
        return ''
    record = reader.decode(item, terms.decode)
    return UNREADABLE if record is None else record.node


def _roster_size(reader, item):
    if item is None:
        return 0
    roster = reader.decode(item, rosters.decode)
    return None if roster is None else len(roster.lives)


def _count_jobs(reader):
    states = {
        job_id: UNREADABLE if progress is None else progress.state.value
        for job_id, progress in reader.range(
            records.PROGRESS_PREFIX, records.decode_progress
        )
    }
    counts = collections.Counter()
    for job_id, job in reader.range(records.JOB_PREFIX, records.decode_owner):
        if job is None:
            counts['', UNREADABLE] += 1
        else:
            state = states.get(job_id, records.State.QUEUED.value)
            counts[job.queue, state] += 1
    for key, count in sorted(counts.items()):
        yield JobCount(*key, count)


def _read_waves(reader):
    for number, record in reader.range(
        wave_state.RECORD_PREFIX, wave_state.decode
    ):
        state = UNREADABLE
        if record is not None:
            state = 'completed' if record.completed else 'running'
        number = int(number) if number.isdecimal() else number
        yield WaveProgress(number, state, len(record.begun) if record else 0)


def show(status, console):
    """Print a Status as tables.

    Args:
        status: the Status.
        console: a rich Console.
    """
    console.print(
        f'leader: {status.leader or "none"} (term {status.term}), '
        f'configuration {status.config}, roster {status.roster} workers'
    )
    for rows, row_type in (
        (status.jobs, JobCount),
        (status.held, HeldCount),
        (status.workers, WorkerCount),
        (status.waves, WaveProgress),
    ):
        names = [field.name for field in dataclasses.fields(row_type)]
        table = rich.table.Table(*names)
        for row in rows:
            table.add_row(*(str(getattr(row, name)) for name in names))
        console.print(table)


def main(
    settings: typing.Annotated[
        str, typer.Option(help='Settings file of a node.')
    ] = '',
):
    """Show the leader, jobs, workers and waves."""
    try:
        loaded = settings_lib.load(settings or None)
        store = stores.PlatformStore(loaded.platform.address)
        view = views.OperatorView(store, store.clock, loaded.bounds.revoke_ms)
        show(read(store, view), rich.console.Console())
    except errors.SettingsError as exc:
        typer.echo(f'figtray-status: {exc}', err=True)
        raise typer.Exit(EXIT_INVALID) from exc
    except errors.StoreUnavailable as exc:
        typer.echo(f'figtray-status: {exc}', err=True)
        raise typer.Exit(EXIT_UNAVAILABLE) from exc


def run():
    """Run the program."""
    typer.run(main)


if __name__ == '__main__':
    run()

"""figtray-status: shows operators the state that is in the store."""

import collections
import dataclasses
import typing

import msgspec
import rich.console
import rich.table
import typer

from figtray import clock as clock_lib
from figtray import errors
from figtray.jobs import records
from figtray.leadership import term as terms
from figtray.platform import settings as settings_lib
from figtray.platform import store as stores
from figtray.platform import view as views
from figtray.scheduling import roster as rosters
from figtray.upkeep import wave_state

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

    wave: int
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
        roster: number of worker incarnations that may run tasks.
    """

    leader: str
    term: int
    config: int | None
    jobs: tuple
    held: tuple
    workers: tuple
    waves: tuple
    roster: int


def read(store, view):
    """Read the Status from the store.

    Args:
        store: the Store.
        view: the OperatorView, which this function loads.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    view.watcher.load()
    leader = store.get(terms.LEADER_KEY)
    roster = store.get(rosters.ROSTER_KEY)
    item = store.get(records.WAITING_KEY)
    waiting = (
        records.decode_waiting_jobs(item.value)
        if item
        else records.WaitingJobs()
    )
    workers = collections.Counter(
        (worker.pool, 'draining' if worker.draining else 'ready')
        for worker in views.WorkerList(
            store, view, clock_lib.SystemClock()
        ).read()
    )
    return Status(
        leader=terms.decode(leader.value).node if leader else '',
        term=leader.mod_revision if leader else 0,
        config=view.config().version if view.config() else None,
        jobs=(
            *_count_jobs(store),
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
        waves=tuple(_read_waves(store)),
        roster=len(rosters.decode(roster.value).lives) if roster else 0,
    )


def _count_jobs(store):
    states = {}
    for item in store.range(records.PROGRESS_PREFIX).items:
        job_id = item.key.removeprefix(records.PROGRESS_PREFIX)
        states[job_id] = records.decode_progress(item.value).state
    counts = collections.Counter()
    for item in store.range(records.JOB_PREFIX).items:
        job_id = item.key.removeprefix(records.JOB_PREFIX)
        state = states.get(job_id, records.State.QUEUED)
        queue = records.decode_job(item.value).queue
        counts[queue, state.value] += 1
    for key, count in sorted(counts.items()):
        yield JobCount(*key, count)


def _read_waves(store):
    for item in store.range(wave_state.RECORD_PREFIX).items:
        record = msgspec.json.decode(item.value, type=wave_state.WaveRecord)
        yield WaveProgress(
            int(item.key.removeprefix(wave_state.RECORD_PREFIX)),
            'completed' if record.completed else 'running',
            len(record.begun),
        )


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
    except (errors.StoreUnavailable, msgspec.MsgspecError) as exc:
        typer.echo(f'figtray-status: {exc}', err=True)
        raise typer.Exit(EXIT_UNAVAILABLE) from exc


def run():
    """Run the program."""
    typer.run(main)


if __name__ == '__main__':
    run()

"""Accepting, cancelling and showing jobs, on any entry."""

import dataclasses
import enum

import msgspec

from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records
from figtray.store import base

# A create-only write may be repeated; each attempt takes up to the limit of
# a store call.
WRITE_ATTEMPTS = 2


class Outcome(enum.Enum):
    """What became of a caller's write."""

    STORED = 'stored'
    EXISTS = 'exists'
    UNKNOWN_JOB = 'unknown-job'
    NOT_STORED = 'not-stored'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of a caller's write and the store's reason, if any."""

    outcome: Outcome
    detail: str = ''


class Intake:
    """Callers' view of the stored jobs.

    Args:
        store: the Store.
        clock: the Clock.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock

    def submit(self, job_id, job, timeout_ms=None):
        """Store a job once.

        A cancellation that arrived first stays in force: the job is then
        reported as existing and never runs.

        Args:
            job_id: id chosen by the caller.
            job: the Job.
            timeout_ms: longest time of the store call.

        Returns:
            A Result: STORED, EXISTS, NOT_STORED (the job will never run)
            or UNCERTAIN.
        """
        job_key = records.JOB_PREFIX + job_id
        return self._create(
            [job_key, records.CANCEL_PREFIX + job_id],
            base.Put(job_key, records.encode(job)),
            timeout_ms,
        )

    def cancel(self, job_id, team, timeout_ms=None):
        """Store a cancellation, also of a job that isn't known yet.

        A submission may still be on its way when its cancellation arrives;
        the stored cancellation keeps it from running.

        Args:
            job_id: id of the job.
            team: name of the team that cancels; empty on open queues.
            timeout_ms: longest time of each store call.

        Returns:
            A Result: STORED, EXISTS, UNKNOWN_JOB (stored for a job that
            doesn't exist), NOT_STORED or UNCERTAIN.
        """
        try:
            known = self._store.get(
                records.JOB_PREFIX + job_id, timeout_ms=timeout_ms
            )
        except errors.StoreUnavailable as exc:
            return Result(Outcome.NOT_STORED, str(exc))
        if known is not None and team:
            owner = records.decode_job(known.value).team
            if owner and owner != team:
                return Result(Outcome.UNKNOWN_JOB, 'job of another team')
        key = records.CANCEL_PREFIX + job_id
        cancel = records.Cancellation(team, self._clock.wall_ms())
        result = self._create(
            [key], base.Put(key, records.encode(cancel)), timeout_ms
        )
        if known is None and result.outcome in (
            Outcome.STORED,
            Outcome.EXISTS,
        ):
            return Result(Outcome.UNKNOWN_JOB, 'no such job yet')
        return result

    def state(self, job_id, timeout_ms=None):
        """Return the State of a job, or None if it doesn't exist.

        Args:
            job_id: id of the job.
            timeout_ms: longest time of each store call.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        item = self._store.get(
            records.PROGRESS_PREFIX + job_id, timeout_ms=timeout_ms
        )
        if item is not None:
            return records.decode_progress(item.value).state
        if self._store.get(records.JOB_PREFIX + job_id, timeout_ms=timeout_ms):
            return records.State.QUEUED
        if self._store.get(
            records.CANCEL_PREFIX + job_id, timeout_ms=timeout_ms
        ):
            return records.State.CANCELLED
        return None

    def count_waiting(self, queue, timeout_ms=None):
        """Return the number of jobs of a queue that have not begun.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        item = self._store.get(records.WAITING_KEY, timeout_ms=timeout_ms)
        if item is None:
            return 0
        try:
            return records.decode_waiting_jobs(item.value).counts.get(queue, 0)
        except msgspec.MsgspecError as exc:
            log.emit(
                catalogue.RECORD_UNREADABLE,
                record=records.WAITING_KEY,
                detail=str(exc),
            )
            raise errors.StoreUnavailable(detail=str(exc)) from exc

    def _create(self, absent_keys, put, timeout_ms):
        """Create a key once; a lost reply is resolved by repeating."""
        compares = [base.Compare(k, 'mod_revision', 0) for k in absent_keys]
        lost = ''
        for _ in range(WRITE_ATTEMPTS):
            try:
                result = self._store.txn(
                    compares, [put], timeout_ms=timeout_ms
                )
            except errors.StoreUnavailable as exc:
                if lost:
                    return Result(Outcome.UNCERTAIN, lost)
                return Result(Outcome.NOT_STORED, str(exc))
            except errors.WriteUncertain as exc:
                lost = str(exc)
                continue
            if result.succeeded:
                return Result(Outcome.STORED)
            return Result(Outcome.EXISTS)
        return Result(Outcome.UNCERTAIN, lost)

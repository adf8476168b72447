"""Submission, cancellation and state of jobs, on any node."""

import dataclasses
import enum

from figtray import errors
from figtray.events import unreadable
from figtray.jobs import records
from figtray.store import base

# A write that creates a key can be repeated safely when its reply is lost.
# Each attempt takes up to the time limit of a store call.
MAX_WRITE_ATTEMPTS = 2
# A store call of a stopping node for which less time is left is not made.
MIN_CALL_MS = 100


class Outcome(enum.Enum):
    """Outcome of a caller's write."""

    STORED = 'stored'
    EXISTS = 'exists'
    UNKNOWN_JOB = 'unknown-job'
    NOT_STORED = 'not-stored'
    UNCERTAIN = 'uncertain'


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of a caller's write and a reason, if there is one."""

    outcome: Outcome
    detail: str = ''


class Intake:
    """Stores callers' submissions and cancellations; reads job states.

    Args:
        store: the Store.
        clock: the Clock.
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self._unreadable = unreadable.UnreadableLog(clock)
        self._calls_end_ms = None

    def end_calls_by(self, end_ms):
        """Let no store call go on for longer than until a time.

        The calls that are under way keep their time limit. A request for which
        no time is left is refused at once.

        Args:
            end_ms: local time.
        """
        self._calls_end_ms = end_ms

    def submit(self, job_id, job, timeout_ms=None):
        """Store a job once.

        If a cancellation of the job is already stored, the job is not stored
        and never runs; it is reported as EXISTS.

        Args:
            job_id: id chosen by the caller.
            job: the Job.
            timeout_ms: time limit of each store call; None for its default.

        Returns:
            A Result: STORED, EXISTS, NOT_STORED (the job never runs) or
            UNCERTAIN (the job may be stored).
        """
        job_key = records.JOB_PREFIX + job_id
        return self._create_once(
            [job_key, records.CANCEL_PREFIX + job_id],
            base.Put(job_key, records.encode(job)),
            timeout_ms,
        )

    def cancel(self, job_id, team, timeout_ms=None):
        """Store a cancellation, also of a job that doesn't exist yet.

        The submission of a job may arrive after its cancellation. The stored
        cancellation then prevents the job from running.

        Args:
            job_id: id of the job.
            team: name of the team that cancels; empty on open queues.
            timeout_ms: time limit of each store call; None for its default.

        Returns:
            A Result: STORED, EXISTS, UNKNOWN_JOB, NOT_STORED or UNCERTAIN.
            With UNKNOWN_JOB, the job doesn't exist and the cancellation is
            stored, or the job is another team's and nothing is stored.

        Raises:
            UnreadableMessage: the job can't be read, so its team is unknown.
        """
        try:
            job_item = self._get(records.JOB_PREFIX + job_id, timeout_ms)
        except errors.StoreUnavailable as exc:
            return Result(Outcome.NOT_STORED, str(exc))
        if job_item is not None and team:
            owner = self._decode(job_item, records.decode_job).team
            if owner and owner != team:
                return Result(Outcome.UNKNOWN_JOB, 'job of another team')
        key = records.CANCEL_PREFIX + job_id
        cancellation = records.Cancellation(team, self._clock.wall_ms())
        result = self._create_once(
            [key], base.Put(key, records.encode(cancellation)), timeout_ms
        )
        if job_item is None and result.outcome in (
            Outcome.STORED,
            Outcome.EXISTS,
        ):
            return Result(Outcome.UNKNOWN_JOB, 'no such job yet')
        return result

    def state(self, job_id, timeout_ms=None):
        """Return the State of a job, or None if it doesn't exist.

        Args:
            job_id: id of the job.
            timeout_ms: time limit of each store call; None for its default.

        Raises:
            StoreUnavailable: the store did not answer.
            UnreadableMessage: the job exists, but can't be read.
        """
        item = self._get(records.PROGRESS_PREFIX + job_id, timeout_ms)
        if item is not None:
            return self._stored_state(item, job_id, timeout_ms)
        item = self._get(records.JOB_PREFIX + job_id, timeout_ms)
        if item is not None:
            self._decode(item, records.decode_job)
            return records.State.QUEUED
        if self._get(records.CANCEL_PREFIX + job_id, timeout_ms):
            return records.State.CANCELLED
        return None

    def count_waiting(self, queue, timeout_ms=None):
        """Return the number of jobs of a queue of which no task has started.

        Args:
            queue: name of the queue.
            timeout_ms: time limit of the store call; None for its default.

        Raises:
            StoreUnavailable: the store did not answer, or the record can't
                be decoded.
        """
        item = self._get(records.WAITING_KEY, timeout_ms)
        if item is None:
            return 0
        try:
            waiting = self._decode(item, records.decode_waiting_jobs)
        except errors.UnreadableMessage as exc:
            raise errors.StoreUnavailable(detail=str(exc)) from exc
        return waiting.counts.get(queue, 0)

    def _stored_state(self, item, job_id, timeout_ms):
        """Return the State in a job's progress.

        A leader starts no task of a job whose progress is unreadable, so it
        is as cancelled as any other once its cancellation is stored.
        """
        try:
            return self._decode(item, records.decode_progress).state
        except errors.UnreadableMessage:
            if self._get(records.CANCEL_PREFIX + job_id, timeout_ms):
                return records.State.CANCELLED
            raise

    def _decode(self, item, decode):
        """Return the record of a KeyValue; one that is unreadable is logged.

        Raises:
            UnreadableMessage: its value is no such record.
        """
        try:
            return decode(item.value)
        except errors.UnreadableMessage as exc:
            self._unreadable.note(item.key, exc)
            raise

    def _create_once(self, absent_keys, put, timeout_ms):
        """Create a key unless one of some keys exists.

        The write is repeated if its reply is lost. If the lost attempt took
        effect, the result is EXISTS.
        """
        compares = [base.Compare(k, 'mod_revision', 0) for k in absent_keys]
        lost_detail = ''
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                result = self._store.txn(
                    compares, [put], timeout_ms=self._limit_ms(timeout_ms)
                )
            except errors.StoreUnavailable as exc:
                if lost_detail:
                    return Result(Outcome.UNCERTAIN, lost_detail)
                return Result(Outcome.NOT_STORED, str(exc))
            except errors.WriteUncertain as exc:
                lost_detail = str(exc)
                continue
            if result.succeeded:
                return Result(Outcome.STORED)
            return Result(Outcome.EXISTS)
        return Result(Outcome.UNCERTAIN, lost_detail)

    def _get(self, key, timeout_ms):
        return self._store.get(key, timeout_ms=self._limit_ms(timeout_ms))

    def _limit_ms(self, timeout_ms):
        """Return the time limit of a store call that begins now.

        Raises:
            StoreUnavailable: no time is left for a call.
        """
        if self._calls_end_ms is None:
            return timeout_ms
        left_ms = self._calls_end_ms - self._clock.now_ms()
        if left_ms < MIN_CALL_MS:
            raise errors.StoreUnavailable(detail='the node stops')
        return left_ms if timeout_ms is None else min(timeout_ms, left_ms)

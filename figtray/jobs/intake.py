"""Submission, cancellation and state of jobs, on any node."""

import dataclasses
import enum
import threading

from figtray import errors
from figtray.events import unreadable
from figtray.jobs import admission
from figtray.jobs import large_jobs
from figtray.jobs import ownership
from figtray.jobs import records
from figtray.store import base

# A write that creates a key can be repeated safely when its reply is lost.
# Each attempt takes up to the time limit of a store call, and all of them up
# to the caller's.
MAX_WRITE_ATTEMPTS = 3
# Wait before a repetition that the store has just refused.
RETRY_MS = 100
# A store call of a stopping node for which less time is left is not made.
MIN_CALL_MS = 100
# Tries of a write whose conditions other callers of the id undo meanwhile.
MAX_CONFLICTS = 3
# Tries of a submission whose condition on the admission changes meanwhile.
MAX_ADMISSION_CHANGES = 4
# Callers that can cancel one job before it exists.
MAX_CANCELLERS = 8
TOO_MANY_CONFLICTS = 'too many calls with this id'


class Outcome(enum.Enum):
    """Outcome of a caller's write."""

    STORED = 'stored'
    EXISTS = 'exists'
    UNKNOWN_JOB = 'unknown-job'
    ID_TAKEN = 'id-taken'
    NOT_STORED = 'not-stored'
    UNCERTAIN = 'uncertain'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of a caller's write and a reason, if there is one.

    Attributes:
        outcome: the Outcome.
        detail: the reason; empty if there is none.
        retry_after_s: when the caller of a refused submission should come
            back, in seconds.
    """

    outcome: Outcome
    detail: str = ''
    retry_after_s: int = 0


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
        self._gate = admission.Gate()
        self._never_set = threading.Event()

    def end_calls_by(self, end_ms):
        """Let no store call go on for longer than until a time.

        The calls that are under way keep their time limit. A request for which
        no time is left is refused at once.

        Args:
            end_ms: local time.
        """
        self._calls_end_ms = end_ms

    def submit(self, job_id, job, timeout_ms=None, place=None):
        """Store a job once.

        If its caller has cancelled the job before, the job is not stored and
        never runs; it is reported as EXISTS. A cancellation of others gives
        way: it was not of this job.

        Args:
            job_id: id chosen by the caller.
            job: the Job.
            timeout_ms: time limit of all store calls together; None for
                the default of each.
            place: the ownership.Place of the call; None for any queue.

        Returns:
            A Result: STORED, EXISTS, ID_TAKEN (the id is that of a job of
            another caller), NOT_STORED (the job never runs), REFUSED (the
            same, for want of room) or UNCERTAIN (the job may be stored).
        """
        put = base.Put(records.JOB_PREFIX + job_id, records.encode(job))
        until_ms = self._until_ms(timeout_ms)
        for _ in range(MAX_ADMISSION_CHANGES):
            choice = self._gate.decide(job_id, job)
            if choice.refusal is not None:
                result = self._refuse(
                    job_id, job, choice.refusal, until_ms, place
                )
            else:
                result = self._store_job(job_id, job, put, until_ms, place)
            if result is not None:
                return result
            self._gate.take_back(job_id, choice)
        # The admission changes too often to be followed, so the job is stored
        # whatever it says.
        return self._store_job(job_id, job, put, until_ms, place, False)

    def _refuse(self, job_id, job, refusal, until_ms, place):
        """Return the Result of a submission that is not admitted.

        An earlier call with this id may have stored the job: then it runs.

        Returns:
            A Result; None if the admission is another one by now.
        """
        try:
            present = self._get(
                admission.ADMISSION_KEY, self._left_ms(until_ms)
            )
            self._gate.note(present)
            if admission.revision_of(present) != refusal.revision:
                return None
            item = self._get(
                records.JOB_PREFIX + job_id, self._left_ms(until_ms)
            )
        except errors.StoreUnavailable as exc:
            return Result(Outcome.NOT_STORED, str(exc))
        if item is not None:
            return self._existing_job(item, job.team, place)
        return Result(Outcome.REFUSED, refusal.reason, refusal.retry_after_s)

    def _store_job(
        self, job_id, job, put, until_ms, place, if_known_admission=True
    ):
        """Store a job on condition that the admission is as known.

        Returns:
            A Result; None if the admission is another one by now, so that
            nothing is stored. After an attempt whose reply was lost, the job
            may be stored late: it is admitted then. A large job takes its
            room in the same transaction.
        """
        job_key = records.JOB_PREFIX + job_id
        cancel_key = records.CANCEL_PREFIX + job_id
        conditions = {job_key: 0, cancel_key: 0}
        if if_known_admission:
            conditions[admission.ADMISSION_KEY] = self._gate.revision
        lost = ''
        is_large = large_jobs.is_large(job)
        reservation = large_jobs.NOT_NEEDED
        if is_large:
            try:
                item = self._get(
                    large_jobs.LARGE_ROOM_KEY, self._left_ms(until_ms)
                )
            except errors.StoreUnavailable as exc:
                return Result(Outcome.NOT_STORED, str(exc))
            reservation = large_jobs.reserve(job, item)
        for _ in range(MAX_CONFLICTS + MAX_ADMISSION_CHANGES):
            if reservation.refusal:
                return self._refuse_large(
                    job_id, job, reservation.refusal, until_ms, place, lost
                )
            result, current = self._write_if(
                conditions | reservation.revisions,
                [put, *reservation.puts],
                [cancel_key] if conditions[cancel_key] else [],
                until_ms,
                lost,
            )
            if result.outcome != Outcome.EXISTS:
                return result
            # Its condition may hold again later, so the job may be stored
            # whatever later attempts find.
            lost = result.detail
            if job_key in current:
                return self._existing_job(current[job_key], job.team, place)
            cancel_item = current.get(cancel_key)
            if cancel_item is not None and self._is_cancelled(
                cancel_item, job
            ):
                return Result(Outcome.EXISTS)
            conditions[cancel_key] = (
                cancel_item.mod_revision if cancel_item is not None else 0
            )
            if is_large:
                reservation = large_jobs.reserve(
                    job, current.get(large_jobs.LARGE_ROOM_KEY)
                )
            if not if_known_admission:
                continue
            # Another thread may have noted it first.
            present = current.get(admission.ADMISSION_KEY)
            self._gate.note(present)
            revision = admission.revision_of(present)
            if revision != conditions[admission.ADMISSION_KEY]:
                if not lost:
                    return None
                conditions[admission.ADMISSION_KEY] = revision
        outcome = Outcome.UNCERTAIN if lost else Outcome.NOT_STORED
        return Result(outcome, TOO_MANY_CONFLICTS)

    def _refuse_large(self, job_id, job, reason, until_ms, place, lost):
        """Return the Result of a large job for which there is no room.

        An earlier call with this id may have stored the job: then it runs.

        Args:
            reason: why it is refused.
            lost: why the reply of an attempt was lost; empty if none was.
        """
        try:
            item = self._get(
                records.JOB_PREFIX + job_id, self._left_ms(until_ms)
            )
        except errors.StoreUnavailable as exc:
            outcome = Outcome.UNCERTAIN if lost else Outcome.NOT_STORED
            return Result(outcome, str(exc))
        if item is not None:
            return self._existing_job(item, job.team, place)
        if lost:
            return Result(Outcome.UNCERTAIN, lost)
        return Result(Outcome.REFUSED, reason, admission.MEMORY_RETRY_AFTER_S)

    def cancel(self, job_id, team, timeout_ms=None, place=None):
        """Store a cancellation, also of a job that doesn't exist yet.

        The submission of a job may arrive after its cancellation. The stored
        cancellation then prevents the job from running, if its caller is the
        one that has cancelled it.

        Args:
            job_id: id of the job.
            team: name of the team that cancels; empty without a key.
            timeout_ms: time limit of each store call; None for its default.
            place: the ownership.Place of the call; None for any queue.

        Returns:
            A Result: STORED, EXISTS, UNKNOWN_JOB, NOT_STORED or UNCERTAIN.
            With UNKNOWN_JOB, the job doesn't exist and the cancellation is
            stored, or the job is of another team or queue and nothing is
            stored.

        Raises:
            UnreadableMessage: the job can't be read, so its team is unknown.
        """
        for _ in range(MAX_CONFLICTS):
            try:
                item = self._get(records.JOB_PREFIX + job_id, timeout_ms)
            except errors.StoreUnavailable as exc:
                return Result(Outcome.NOT_STORED, str(exc))
            if item is None:
                result = self._cancel_early(job_id, team, timeout_ms, place)
                if result is not None:
                    return result
                continue
            job = self._decode(item, records.decode_owner)
            if not ownership.owns(job, team, place):
                return Result(Outcome.UNKNOWN_JOB, 'job of another caller')
            key = records.CANCEL_PREFIX + job_id
            put = self._put_cancellation(key, [_caller(team, place)])
            until_ms = self._until_ms(timeout_ms)
            return self._write_if({key: 0}, [put], [], until_ms)[0]
        return Result(Outcome.UNCERTAIN, TOO_MANY_CONFLICTS)

    def _cancel_early(self, job_id, team, timeout_ms, place):
        """Store the cancellation of a job that doesn't exist yet.

        Others may have cancelled a job of theirs with the same id, so each
        of them is kept.

        Returns:
            A Result, or None if the job has been stored meanwhile.
        """
        job_key = records.JOB_PREFIX + job_id
        key = records.CANCEL_PREFIX + job_id
        caller = _caller(team, place)
        others, revision = (), 0
        until_ms = self._until_ms(timeout_ms)
        for _ in range(MAX_CONFLICTS):
            result, current = self._write_if(
                {key: revision, job_key: 0},
                [self._put_cancellation(key, [*others, caller])],
                [],
                until_ms,
            )
            if result.outcome == Outcome.STORED:
                return Result(Outcome.UNKNOWN_JOB, 'no such job yet')
            if result.outcome != Outcome.EXISTS:
                return result
            if job_key in current:
                return None
            others, revision = (), 0
            if key in current:
                if self._is_cancelled(current[key], caller):
                    return Result(Outcome.UNKNOWN_JOB, 'no such job yet')
                others = self._cancellers(current[key])
                revision = current[key].mod_revision
            if len(others) >= MAX_CANCELLERS:
                break
        return Result(Outcome.UNCERTAIN, TOO_MANY_CONFLICTS)

    def _put_cancellation(self, key, cancellers):
        """Return the Put of a cancellation by the last of its Callers."""
        record = records.Cancellation(
            cancellers[-1].team, self._clock.wall_ms(), tuple(cancellers)
        )
        return base.Put(key, records.encode(record))

    def state(self, job_id, timeout_ms=None, team=None, place=None):
        """Return the State of a job, or None if the caller has no such job.

        Args:
            job_id: id of the job.
            timeout_ms: time limit of each store call; None for its default.
            team: name of the caller's team, empty without a key; None finds
                the jobs of all teams.
            place: the ownership.Place of the call; None for any queue.

        Raises:
            StoreUnavailable: the store did not answer.
            UnreadableMessage: the job exists, but can't be read.
        """
        item = self._get(records.PROGRESS_PREFIX + job_id, timeout_ms)
        progress, error = self._read_progress(item)
        owner = progress and progress.owner
        if owner is None:
            job_item = self._get(records.JOB_PREFIX + job_id, timeout_ms)
            if job_item is None:
                return self._state_without_job(job_id, timeout_ms, team, place)
            owner = self._decode(job_item, records.decode_owner)
        if team is not None and not ownership.owns(owner, team, place):
            return None
        if error is not None:
            return self._state_of_unreadable(job_id, timeout_ms, error)
        return progress.state if progress else records.State.QUEUED

    def _state_without_job(self, job_id, timeout_ms, team, place):
        item = self._get(records.CANCEL_PREFIX + job_id, timeout_ms)
        if item is None:
            return None
        if team is None or self._is_cancelled(item, _caller(team, place)):
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

    def _read_progress(self, item):
        """Return the Progress of a KeyValue or None, and its error or None."""
        if item is None:
            return None, None
        try:
            return self._decode(item, records.decode_progress), None
        except errors.UnreadableMessage as exc:
            return None, exc

    def _state_of_unreadable(self, job_id, timeout_ms, error):
        """Return the State of a job whose progress is unreadable.

        A leader starts no task of such a job, so it is as cancelled as any
        other once its cancellation is stored.
        """
        if self._get(records.CANCEL_PREFIX + job_id, timeout_ms):
            return records.State.CANCELLED
        raise error

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

    def _existing_job(self, item, team, place):
        """Return the Result of a submission under the id of a stored job."""
        if place is None:
            return Result(Outcome.EXISTS)
        try:
            job = self._decode(item, records.decode_owner)
        except errors.UnreadableMessage as exc:
            return Result(Outcome.UNCERTAIN, str(exc))
        if ownership.owns(job, team, place):
            return Result(Outcome.EXISTS)
        return Result(Outcome.ID_TAKEN, 'job of another caller')

    def _is_cancelled(self, item, record):
        """Return whether a stored cancellation is one of a certain job."""
        return ownership.is_cancelled(record, self._cancellers(item))

    def _cancellers(self, item):
        """Return the Callers in a KeyValue; none if it is unreadable."""
        try:
            return self._decode(item, records.decode_cancellation).cancellers
        except errors.UnreadableMessage:
            return ()

    def _write_if(self, revisions, puts, deletes, until_ms, lost_detail=''):
        """Write keys if some keys have the given revisions.

        The write is repeated if its reply is lost. If the lost attempt took
        effect, the result is EXISTS.

        Args:
            revisions: by key, its revision; 0 = the key is absent.
            puts: the Puts.
            deletes: keys to delete.
            until_ms: local time by which all attempts end; None for the
                default of the store's client.
            lost_detail: why the reply of an earlier attempt was lost; empty
                if none was.

        Returns:
            (Result, mapping of key to its KeyValue if the outcome is EXISTS).
            That has a detail if the reply of an attempt was lost.
        """
        compares = [
            base.Compare(key, 'mod_revision', revision)
            for key, revision in revisions.items()
        ]
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                limit_ms = self._limit_ms(self._left_ms(until_ms))
                result = self._store.txn(
                    compares, puts, deletes, timeout_ms=limit_ms
                )
            except errors.StoreUnavailable as exc:
                if not lost_detail:
                    return Result(Outcome.NOT_STORED, str(exc)), {}
                # What became of the lost attempt is still to be learnt.
                if not self._wait_to_repeat(until_ms):
                    break
                continue
            except errors.WriteUncertain as exc:
                lost_detail = str(exc)
                continue
            if result.succeeded:
                return Result(Outcome.STORED), {}
            current = {item.key: item for item in result.current}
            return Result(Outcome.EXISTS, lost_detail), current
        return Result(Outcome.UNCERTAIN, lost_detail), {}

    def _until_ms(self, timeout_ms):
        """Return when a call's time is over; None without a limit."""
        return (
            None if timeout_ms is None else self._clock.now_ms() + timeout_ms
        )

    def _left_ms(self, until_ms):
        """Return the time that is left for a store call; None for no limit.

        Raises:
            StoreUnavailable: too little is left.
        """
        if until_ms is None:
            return None
        left_ms = until_ms - self._clock.now_ms()
        if left_ms < MIN_CALL_MS:
            raise errors.StoreUnavailable(detail='no time is left')
        return left_ms

    def _wait_to_repeat(self, until_ms):
        """Wait before a repetition; return whether there is time for one."""
        try:
            limits_ms = [
                self._left_ms(until_ms),
                self._limit_ms(None),
            ]
        except errors.StoreUnavailable:
            return False
        known_ms = [limit for limit in limits_ms if limit is not None]
        if min(known_ms, default=RETRY_MS + MIN_CALL_MS) < (
            RETRY_MS + MIN_CALL_MS
        ):
            return False
        self._clock.wait(self._never_set, RETRY_MS)
        return True

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


def _caller(team, place):
    """Return the records.Caller of a call; place is None for any queue."""
    if place is None:
        return records.Caller(team)
    return records.Caller(team, place.queue, place.host, place.prefix)

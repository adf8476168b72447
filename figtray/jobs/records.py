"""Stored records of jobs and their keys.

Requests of callers create `intake/job/ID` and `intake/cancel/ID` and never
change them. Only the leader writes `progress/ID`. So writes for callers need
no coordination with the writes of the leader.
"""

import enum
import re

import msgspec

from figtray.blame import evidence as evidence_lib
from figtray import decoding
from figtray.jobs import limits
from figtray.jobs import model
from figtray.jobs import occurrences

INTAKE_PREFIX = 'intake/'
JOB_PREFIX = f'{INTAKE_PREFIX}job/'
CANCEL_PREFIX = f'{INTAKE_PREFIX}cancel/'
PROGRESS_PREFIX = 'progress/'
WAITING_KEY = 'waiting-jobs'
# All are read by one call, as they begin with the same text.
POLICIES_KEY = f'{WAITING_KEY}-policies'
RUN_TIMES_KEY = f'{WAITING_KEY}-run-times'


class State(enum.Enum):
    """State of a job that callers are shown."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def ended(self):
        """Whether no task of the job will run any more."""
        return self in _ENDED


_ENDED = frozenset({State.COMPLETED, State.FAILED, State.CANCELLED})


class Caller(msgspec.Struct, frozen=True, omit_defaults=True):
    """Who has submitted or cancelled a job.

    Attributes:
        team: name of the team whose key was sent; empty without a key.
        queue: name of the queue under which it called.
        host: `Host` header of the queue's callers.
        prefix: prefix of the queue's URL paths.
    """

    team: str = ''
    queue: str = ''
    host: str = ''
    prefix: str = ''


class _JobOwner(msgspec.Struct, frozen=True):
    """Fields of a stored model.Job that tell whose it is.

    Its steps are not decoded: they may take far more memory than their bytes.
    """

    queue: str
    team: str
    payload: msgspec.Raw
    steps: msgspec.Raw
    host: str = ''
    prefix: str = ''


class Cancellation(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record that a job was cancelled.

    Attributes:
        team: name of the team whose key was sent; empty on open queues.
        cancelled_ms: Unix time in milliseconds of the cancellation.
        cancellers: the Callers that have cancelled it; several if the job
            does not exist, as a job with the id may be that of any of them.
            Empty in records of earlier releases.
    """

    team: str = ''
    cancelled_ms: int = 0
    cancellers: tuple[Caller, ...] = ()


class Placement(msgspec.Struct, frozen=True, array_like=True):
    """Incarnation of a worker on which a task may run.

    Attributes:
        worker_id: id of the worker.
        born_ms: Unix time in milliseconds of the start of its incarnation.
        unsure: whether a later incarnation may have executed the start, as
            this one is not known to have the run.
        up_ms: for how long the worker had been up before the start; None =
            unknown.
        at_ms: Unix time in milliseconds before the start; 0 = unknown.
    """

    worker_id: str
    born_ms: int
    unsure: bool = False
    up_ms: int | None = None
    at_ms: int = 0

    def is_at(self, other):
        """Return whether another Placement names the same incarnation."""
        return other is not None and (self.worker_id, self.born_ms) == (
            other.worker_id,
            other.born_ms,
        )


# Runs that a record of crashes names; a task that is never given up may have
# any number.
MAX_CRASHED_RUNS = 20


class Crashes(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of workers that a task may have caused.

    Attributes:
        runs: numbers of the last runs that are suspected of a crash.
        alone: how many of them were on trial, on a worker of their own, and
            soon after the start.
        late: numbers of the last runs that had gone on for a while when
            their workers crashed; such a run may be in runs as well.
        longest_ms: longest time for which one of all these runs had gone on.
        evidence: what is known of the last crashes, oldest first.
    """

    runs: tuple[int, ...] = ()
    alone: int = 0
    late: tuple[int, ...] = ()
    longest_ms: int = 0
    evidence: tuple[evidence_lib.Crash, ...] = ()

    @property
    def count(self):
        """Number of the crashes that the task is suspected of."""
        return len(self.runs)

    def add(self, number, alone):
        """Return the Crashes with one more, or the same if it is counted.

        Args:
            number: number of the run.
            alone: whether it was on trial and soon after the start.
        """
        if number in self.runs:
            return self
        runs = (*self.runs, number)[-MAX_CRASHED_RUNS:]
        return msgspec.structs.replace(
            self, runs=runs, alone=self.alone + alone
        )

    def add_late(self, number):
        """Return the Crashes with one more late run."""
        late = (*self.late, number)[-MAX_CRASHED_RUNS:]
        return msgspec.structs.replace(self, late=late)

    def note_evidence(self, crash):
        """Return the Crashes with what is known of one of them."""
        return msgspec.structs.replace(
            self, evidence=evidence_lib.append(self.evidence, crash)
        )

    def note_age(self, age_ms):
        """Return the Crashes with the time for which a run had gone on."""
        return msgspec.structs.replace(
            self, longest_ms=max(self.longest_ms, age_ms)
        )


NO_CRASHES = Crashes()


class Progress(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored progress of a job.

    Attributes:
        state: the State.
        done: by `OCCURRENCE.STEP`, a bit mask of the tasks that are done.
        failures: by `OCCURRENCE.STEP.INDEX`, the numbers of the failed runs;
            a number that occurs twice counts once.
        checkpoints: by `OCCURRENCE.STEP.INDEX`, the checkpoint from which the
            next run resumes.
        placements: by `OCCURRENCE.STEP.INDEX`, the Placement of the run of a
            lasting task or of one with crashes, stored before the run starts,
            and of one that may have crashed a worker that refuses connections.
            A lasting task without one has no run.
        crashes: by `OCCURRENCE.STEP.INDEX`, the Crashes that a task may have
            caused; those of a suspect are stored before its next run starts.
        ended_ms: Unix time in milliseconds of the end; 0 = not ended.
        ended: ranges of the occurrences that are over, which `done` does not
            name; see occurrences.EndedOccurrences.
        owner: the Caller that has submitted the job; None in records of
            earlier releases.
    """

    state: State = State.QUEUED
    done: dict[str, int] = {}
    failures: dict[str, tuple[int, ...]] = {}
    checkpoints: dict[str, str] = {}
    placements: dict[str, Placement] = {}
    crashes: dict[str, Crashes] = {}
    ended_ms: int = 0
    ended: tuple[tuple[int, int], ...] = ()
    owner: Caller | None = None


class WaitingJobs(msgspec.Struct, frozen=True, omit_defaults=True):
    """Numbers of waiting jobs and held tasks of each queue.

    Attributes:
        counts: by queue, the number of jobs of which no task has started.
        held: by queue and reason, the number of ready tasks that are held.
    """

    counts: dict[str, int] = {}
    held: dict[str, dict[str, int]] = {}


class LastPolicies(msgspec.Struct, frozen=True, omit_defaults=True):
    """Last known policies of queues and teams, where a job carries others.

    Attributes:
        queues: by name, the model.QueuePolicy.
        teams: by name, the model.TeamPolicy.
    """

    queues: dict[str, model.QueuePolicy] = {}
    teams: dict[str, model.TeamPolicy] = {}


def encode(record):
    """Return the stored bytes of a record."""
    return msgspec.json.encode(record)


_STEP_KEY = re.compile(r'[0-9]{1,9}\.[0-9]{1,9}')
_TASK_KEY = re.compile(r'[0-9]{1,9}\.[0-9]{1,9}\.[0-9]{1,9}')

_job_decoder = msgspec.json.Decoder(model.Job)
_owner_decoder = msgspec.json.Decoder(_JobOwner)
_progress_decoder = msgspec.json.Decoder(Progress)
_cancellation_decoder = msgspec.json.Decoder(Cancellation)
_waiting_jobs_decoder = msgspec.json.Decoder(WaitingJobs)
_last_policies_decoder = msgspec.json.Decoder(LastPolicies)


def decode_job(data):
    """Return the Job of stored bytes.

    Raises:
        UnreadableMessage: the bytes are not a Job, or no entry accepts such
            a job. The functions below raise it in the same way.
    """
    job = decoding.decode('job', _job_decoder, data)
    if problem := limits.problem(job):
        raise decoding.unreadable('job', problem)
    return job


def decode_owner(data):
    """Return the Caller that has submitted the Job of stored bytes.

    The bytes may still be none that decode_job() can read.
    """
    owner = decoding.decode('job', _owner_decoder, data)
    return Caller(owner.team, owner.queue, owner.host, owner.prefix)


def decode_progress(data):
    """Return the Progress of stored bytes."""
    progress = decoding.decode('progress', _progress_decoder, data)
    if problem := next(_progress_problems(progress), ''):
        raise decoding.unreadable('progress', problem)
    return progress


def decode_cancellation(data):
    """Return the Cancellation of stored bytes."""
    return decoding.decode('cancellation', _cancellation_decoder, data)


def decode_waiting_jobs(data):
    """Return the WaitingJobs of stored bytes."""
    return decoding.decode('waiting jobs', _waiting_jobs_decoder, data)


def decode_last_policies(data):
    """Return the LastPolicies of stored bytes."""
    return decoding.decode('policies', _last_policies_decoder, data)


def _progress_problems(progress):
    """Yield what no leader stores, and would end its user by an error."""
    for key, mask in progress.done.items():
        if not _STEP_KEY.fullmatch(key):
            yield f'done: odd key {key!r}'
        if not 0 <= mask < 1 << limits.MAX_TASKS_PER_STEP:
            yield f'done: odd mask of {key}'
    for field in ('failures', 'checkpoints', 'placements', 'crashes'):
        for key in getattr(progress, field):
            if not _TASK_KEY.fullmatch(key):
                yield f'{field}: odd key {key!r}'
    for key, crashes in progress.crashes.items():
        if not 0 <= crashes.alone <= limits.MAX_AMOUNT:
            yield f'crashes: odd number of trials of {key}'
        if not 0 <= crashes.longest_ms <= limits.MAX_TIME_MS:
            yield f'crashes: odd time of {key}'
        if problem := evidence_lib.problem(crashes.evidence):
            yield f'crashes: {problem} of {key}'
    if not 0 <= progress.ended_ms <= limits.MAX_TIME_MS:
        yield 'ended_ms: out of range'
    if occurrences.are_odd(progress.ended, limits.MAX_TASKS):
        yield 'ended: odd ranges'

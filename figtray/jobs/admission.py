"""Admission of submissions: the leader's record, and a node's view of it."""

import collections
import dataclasses
import threading

import msgspec

from figtray import decoding
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.workload import admission

ADMISSION_KEY = 'admission'
# Kinds of jobs, and refused jobs, that a node remembers.
MAX_KINDS = 1000
MAX_REFUSED = 4000
# Jobs that have ended give their memory back after about so long.
MEMORY_RETRY_AFTER_S = 10


class Record(msgspec.Struct, frozen=True):
    """What the leader publishes while room is short.

    Attributes:
        queues: the QueueState of each queue whose room is short, by name.
        is_full: whether no leader has memory for more jobs.
        full_teams: names of the teams that have taken their share of it.
    """

    queues: dict[str, admission.QueueState]
    is_full: bool = False
    full_teams: tuple[str, ...] = ()

    @property
    def fields(self):
        """The arguments of encode()."""
        return self.queues, self.is_full, self.full_teams

    @property
    def is_empty(self):
        """Whether it refuses nothing."""
        return not (self.queues or self.is_full or self.full_teams)

    def has_memory_for(self, team):
        """Return whether leaders have memory for more jobs of a team."""
        return not self.is_full and team not in self.full_teams


NOTHING_SHORT = Record({})


_decoder = msgspec.json.Decoder(Record)


def encode(states, is_full=False, full_teams=()):
    """Return the stored bytes of a Record; None if it refuses nothing."""
    record = Record(states, is_full, full_teams)
    return None if record.is_empty else msgspec.json.encode(record)


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Refusal of a submission.

    Attributes:
        reason: why.
        retry_after_s: when its caller should come back, in seconds.
        revision: revision of the record that asks for it.
    """

    reason: str
    retry_after_s: int
    revision: int


@dataclasses.dataclass(frozen=True)
class Choice:
    """Decision on a submission.

    Attributes:
        refusal: the Refusal; None if it is admitted.
        kind: queue, team and size of the job; None if it is not refusable.
        spent: credit that it has cost its kind.
        came_back: whether it was refused before.
    """

    refusal: Refusal | None = None
    kind: tuple | None = None
    spent: float = 0.0
    came_back: bool = False


ADMITTED = Choice()


def revision_of(item):
    """Return the revision of the record's KeyValue; 0 if it is None."""
    return item.mod_revision if item is not None else 0


class Gate:
    """Decides for one node on submissions.

    It knows the record of the last answer of the store that held it; each
    submission is conditional on its revision.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._revision = 0
        self._record = NOTHING_SHORT
        self._credits = collections.OrderedDict()
        # Ids of refused jobs.
        self._refused = collections.OrderedDict()
        # Number of refusals, by which callers come back in groups.
        self._refused_count = 0

    @property
    def revision(self):
        """Revision of the record that is known; 0 if there is none."""
        return self._revision

    def note(self, item):
        """Note the present KeyValue of the record, or None."""
        revision = revision_of(item)
        with self._lock:
            if revision == self._revision:
                return
            self._revision = revision
            self._record = _read(item)
            queues = sorted(self._record.queues)
        log.emit(catalogue.ADMISSION_CHANGED, revision=revision, queues=queues)

    def decide(self, job_id, job):
        """Return the Choice on a model.Job."""
        if self._record.is_empty:
            return ADMITTED
        with self._lock:
            if not self._record.has_memory_for(job.team):
                refusal = Refusal(
                    'no leader has memory for more jobs',
                    MEMORY_RETRY_AFTER_S,
                    self._revision,
                )
                return Choice(refusal)
            state = self._record.queues.get(job.queue)
            if state is None or not _is_refusable(job):
                return ADMITTED
            kind = (job.queue, job.team, _size_class(job))
            credit = self._credits.pop(kind, 1.0)
            came_back = job_id in self._refused
            decision = admission.decide(state, job.team, credit, came_back)
            _remember(self._credits, kind, decision.credit, MAX_KINDS)
            spent = credit - decision.credit
            if decision.admitted:
                self._refused.pop(job_id, None)
                return Choice(None, kind, spent, came_back)
            _remember(self._refused, job_id, None, MAX_REFUSED)
            self._refused_count += 1
            refusal = Refusal(
                f'no room: {state.wait_s} s expected',
                admission.retry_after_s(state, self._refused_count),
                self._revision,
            )
            return Choice(refusal, kind, spent, came_back)

    def take_back(self, job_id, choice):
        """Undo a Choice that was made by an outdated record."""
        if choice.kind is None:
            return
        with self._lock:
            credit = self._credits.pop(choice.kind, 1.0) + choice.spent
            _remember(self._credits, choice.kind, credit, MAX_KINDS)
            if choice.came_back:
                _remember(self._refused, job_id, None, MAX_REFUSED)
            else:
                self._refused.pop(job_id, None)


def _read(item):
    if item is None:
        return NOTHING_SHORT
    try:
        return decoding.decode(ADMISSION_KEY, _decoder, item.value)
    except errors.UnreadableMessage:
        # Nothing is refused without a reason.
        return NOTHING_SHORT


def _is_refusable(job):
    """Return whether a job may be refused for load.

    Lasting and timed jobs are few, and cost little when they are accepted.
    """
    return not job.repeats and not any(step.lasting for step in job.steps)


def _size_class(job):
    """Return the order of magnitude of a job's work."""
    work = sum(
        step.count * step.needs.cpu_milli * max(1, step.estimate_ms)
        for step in job.steps
    )
    return int(work).bit_length() // 2


def _remember(mapping, key, value, most):
    mapping[key] = value
    while len(mapping) > most:
        mapping.popitem(last=False)

"""Run times, learned from finished runs: what the next ones will take.

What is learned is the ratio of a run time to the caller's estimate, as its
logarithm: an estimate that is twice too long then counts like one that is
twice too short. Each kind of work has a mean and a variance of it. A kind of
which little is known takes after the more general one, up to the estimate
itself.
"""

import dataclasses
import math

import msgspec

from figtray import decoding
from figtray.jobs import records

# Of a task or a step whose caller has given no estimate.
DEFAULT_ESTIMATE_MS = 1000
# Ratios beyond these say more about a fault than about the work.
MIN_RATIO, MAX_RATIO = 0.1, 10.0
# `long_ms` is the 0.9 quantile of a normal distribution of logarithms.
LONG_DEVIATIONS = 1.2816
# Standard deviation of the logarithm where nothing is known.
PRIOR_DEVIATION = 0.3
# Observations after which a queue counts as much as the callers' estimates,
# and after which a kind counts as much as the more general one.
ESTIMATE_WEIGHT = 1.5
GENERAL_WEIGHT = 6.0
# Most observations that the mean and variance of a kind cover.
MAX_WEIGHT = 60.0
# Largest weight of a kind against the estimate and the more general kinds.
# Without a limit, thousands of runs would still count hours later.
MAX_SEEN_WEIGHT = 240.0
# Without new observations, the weight of a kind halves in this time.
HALF_LIFE_MS = 600_000
# Most kinds in memory; the least recently observed one is dropped.
MAX_KINDS = 512
# Most kinds in the record: those with the largest weights.
MAX_STORED_KINDS = 48
MAX_STORED_NAME_CHARS = 100
# Digits after the point that are stored, and the limits, rounded alike.
STORED_DIGITS = 3
MAX_STORED_MEAN = round(math.log(MAX_RATIO), STORED_DIGITS)
MAX_STORED_VARIANCE = round(math.log(MAX_RATIO) ** 2, STORED_DIGITS)
# Queues and widths that a log line names.
MAX_DESCRIBED = 30
# Widths from 2 ** 5 tasks on are one class.
MAX_WIDTH_CLASS = 5
# Changes of a ratio by less are not worth a write.
WORTHWHILE_CHANGE = 0.15
LEAST_STORE_INTERVAL_MS = 5000
# A kind of less weight may still change by chance.
LEAST_STORED_WEIGHT = 5.0


@dataclasses.dataclass(frozen=True, order=True)
class Kind:
    """Work whose run times are alike; an empty field stands for all.

    Attributes:
        queue: name of the queue.
        team: name of the team; empty = all.
        size: class of the estimate, the number of its bits; 0 = all.
        width: class of the number of tasks of which the longest counts, the
            power of two below it; 0 = a single task.
        near: whether the task ran on the rack of its data, or has none.
    """

    queue: str
    team: str = ''
    size: int = 0
    width: int = 0
    near: bool = True

    def general_first(self):
        """Yield the kinds to which it belongs, itself last."""
        if not self.near:
            yield dataclasses.replace(self, team='', size=0, near=True)
        of_queue = dataclasses.replace(self, team='', size=0)
        of_size = dataclasses.replace(self, team='')
        yield from dict.fromkeys((of_queue, of_size, self))


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """Expected time of a task, of a step or of several steps in a row.

    Attributes:
        typical_ms: median in milliseconds.
        long_ms: high quantile in milliseconds; see LONG_DEVIATIONS.
        mean_ms: mean in milliseconds, which counts for the work.
    """

    typical_ms: float
    long_ms: float
    mean_ms: float

    def __add__(self, other):
        return Expectation(
            self.typical_ms + other.typical_ms,
            self.long_ms + other.long_ms,
            self.mean_ms + other.mean_ms,
        )


NO_TIME = Expectation(0.0, 0.0, 0.0)
PRIOR = Expectation(
    DEFAULT_ESTIMATE_MS,
    DEFAULT_ESTIMATE_MS * math.exp(LONG_DEVIATIONS * PRIOR_DEVIATION),
    DEFAULT_ESTIMATE_MS,
)


@dataclasses.dataclass(frozen=True)
class Circumstances:
    """What makes the time of a run that is done tell nothing about others.

    Attributes:
        lasting: whether its task runs until its job is cancelled.
        filling: whether it got only the time that other tasks left.
        adopted: whether its start was not seen, as an earlier leader or an
            earlier incarnation of the worker had it.
        resumed: whether it resumed from a checkpoint.
        suspect: whether its task has failed before or crashed a worker.
        bad_worker: whether its worker was avoided, silent or on trial
            meanwhile.
    """

    lasting: bool = False
    filling: bool = False
    adopted: bool = False
    resumed: bool = False
    suspect: bool = False
    bad_worker: bool = False

    @property
    def teaches(self):
        """Whether the run time is one to learn from."""
        return not any(dataclasses.astuple(self))


class StoredKind(
    msgspec.Struct, frozen=True, array_like=True, omit_defaults=True
):
    """Record of what is known of a kind; see Kind and _Known."""

    queue: str
    team: str
    size: int
    width: int
    near: bool
    mean: float
    variance: float
    weight: float


class StoredRunTimes(msgspec.Struct, frozen=True):
    """Record of the leader under records.RUN_TIMES_KEY."""

    kinds: tuple[StoredKind, ...] = ()


_DECODER = msgspec.json.Decoder(StoredRunTimes)


def decode(data):
    """Return the StoredRunTimes of JSON bytes, without kinds of odd figures.

    Raises:
        UnreadableMessage: the bytes are no such record.
    """
    record = decoding.decode(records.RUN_TIMES_KEY, _DECODER, data)
    return StoredRunTimes(
        tuple(filter(_is_plausible, record.kinds[:MAX_KINDS]))
    )


def _is_plausible(stored):
    return (
        abs(stored.mean) <= MAX_STORED_MEAN
        and 0 <= stored.variance <= MAX_STORED_VARIANCE
        and 0 <= stored.weight <= MAX_WEIGHT
    )


@dataclasses.dataclass
class _Known:
    """What is known of a kind: moments of the logarithm of the ratio.

    Attributes:
        mean: mean of the logarithm.
        variance: variance of the logarithm.
        weight: number of observations that count, less those that faded; at
            most MAX_SEEN_WEIGHT.
        at_ms: local time of the last one.
    """

    mean: float = 0.0
    variance: float = 0.0
    weight: float = 0.0
    at_ms: int = 0

    def weight_at(self, now_ms):
        """Return the weight that is left at a local time."""
        passed_ms = max(0, now_ms - self.at_ms)
        return self.weight * 0.5 ** (passed_ms / HALF_LIFE_MS)

    def add(self, value, share, now_ms):
        """Count an observation with a weight of `share`."""
        self.weight = min(self.weight_at(now_ms) + share, MAX_SEEN_WEIGHT)
        part = share / min(self.weight, MAX_WEIGHT)
        difference = value - self.mean
        self.mean += part * difference
        self.variance = (1 - part) * (self.variance + part * difference**2)
        self.at_ms = now_ms


class RunTimes:
    """What the runs of a term, and those of earlier terms, have taught.

    The caller holds a lock.
    """

    def __init__(self):
        # _Known by Kind, the least recently observed first.
        self._known = {}
        self._stored = {}
        self._stored_ms = None
        self._now_ms = 0

    def pass_time(self, now_ms):
        """Let what is known fade up to a local time in milliseconds."""
        self._now_ms = max(self._now_ms, now_ms)

    def observe(self, kind, estimate_ms, ran_ms, now_ms, share=1.0):
        """Learn from a task, or from the longest one of a step.

        Args:
            kind: the Kind.
            estimate_ms: the caller's estimate in milliseconds; without one,
                there is nothing to compare with.
            ran_ms: the run time in milliseconds.
            now_ms: local time in milliseconds.
            share: how much it counts. The tasks of a step err alike, so that
                together they count as one.
        """
        if not estimate_ms:
            return
        ratio = min(max(ran_ms / estimate_ms, MIN_RATIO), MAX_RATIO)
        value = math.log(ratio)
        self.pass_time(now_ms)
        # Those away from their data say nothing about those near it.
        for general in kind.general_first():
            if general.near == kind.near:
                self._find_or_add(general).add(value, share, self._now_ms)

    def expect(self, kind, estimate_ms):
        """Return the Expectation of a task, or of a step's longest one.

        Args:
            kind: the Kind.
            estimate_ms: the caller's estimate in milliseconds; 0 = none.
        """
        if not estimate_ms:
            return PRIOR
        mean, variance, learned = 0.0, PRIOR_DEVIATION**2, 0.0
        prior_weight = ESTIMATE_WEIGHT
        for general in kind.general_first():
            known = self._known.get(general)
            if known is not None:
                weight = known.weight_at(self._now_ms)
                part = weight / (weight + prior_weight)
                prior_weight = GENERAL_WEIGHT
                mean += part * (known.mean - mean)
                variance += part * (known.variance - variance)
                learned += part * (known.variance - learned)
        typical_ms = estimate_ms * math.exp(mean)
        return Expectation(
            typical_ms,
            typical_ms * math.exp(LONG_DEVIATIONS * math.sqrt(variance)),
            # An estimate of which nothing is known counts as the mean.
            typical_ms * math.exp(learned / 2),
        )

    def of_task(self, queue, team, step):
        """Return the Expectation of a task of a model.Step."""
        estimate_ms = step.estimate_ms
        # The members of a gang end together.
        count = step.count if step.gang else 1
        kind = kind_of(queue, team, estimate_ms, count)
        return self.expect(kind, estimate_ms)

    def of_steps(self, queue, team, steps):
        """Return the Expectations of the longest tasks of model.Steps.

        Steps that are alike share one.
        """
        shared = {}
        for step in steps:
            kind = kind_of(queue, team, step.estimate_ms, step.count)
            key = kind, step.estimate_ms
            if key not in shared:
                shared[key] = self.expect(*key)
            yield shared[key]

    def ratio(self, queue):
        """Return the typical ratio of a queue's run times to estimates."""
        expected = self.expect(Kind(queue), DEFAULT_ESTIMATE_MS)
        return expected.typical_ms / DEFAULT_ESTIMATE_MS

    def to_store(self, now_ms):
        """Return the StoredRunTimes if they are worth a write, else None.

        They count as stored from now on.

        Args:
            now_ms: local time in milliseconds.
        """
        self.pass_time(now_ms)
        if (
            self._stored_ms is not None
            and now_ms - self._stored_ms < LEAST_STORE_INTERVAL_MS
        ):
            return None
        largest = dict(
            sorted(
                (
                    (kind, known)
                    for kind, known in self._known.items()
                    if known.weight_at(self._now_ms) >= LEAST_STORED_WEIGHT
                    and len(kind.queue + kind.team) <= MAX_STORED_NAME_CHARS
                ),
                key=lambda pair: (-pair[1].weight_at(self._now_ms), pair[0]),
            )[:MAX_STORED_KINDS]
        )
        if not any(
            abs(known.mean - self._stored.get(kind, 0.0)) > WORTHWHILE_CHANGE
            for kind, known in largest.items()
        ):
            return None
        self._stored_ms = now_ms
        self._stored |= {kind: known.mean for kind, known in largest.items()}
        return StoredRunTimes(
            tuple(
                StoredKind(
                    *dataclasses.astuple(kind),
                    round(known.mean, STORED_DIGITS),
                    round(known.variance, STORED_DIGITS),
                    round(min(known.weight_at(self._now_ms), MAX_WEIGHT), 1),
                )
                for kind, known in largest.items()
            )
        )

    def load(self, record, now_ms):
        """Learn what the last leader has stored.

        Args:
            record: the StoredRunTimes.
            now_ms: local time in milliseconds; their age is not known.
        """
        self.pass_time(now_ms)
        for stored in record.kinds[:MAX_KINDS]:
            kind = Kind(
                stored.queue,
                stored.team,
                stored.size,
                stored.width,
                stored.near,
            )
            self._known[kind] = _Known(
                stored.mean, stored.variance, stored.weight, now_ms
            )
            self._stored[kind] = stored.mean

    def _find_or_add(self, kind):
        known = self._known.pop(kind, None) or _Known()
        if len(self._known) >= MAX_KINDS:
            gone = next(iter(self._known))
            del self._known[gone]
            self._stored.pop(gone, None)
        self._known[kind] = known
        return known


def kind_of(queue, team, estimate_ms, count, near=True):
    """Return the Kind of a task, or of the longest one of several.

    Args:
        queue: name of the queue.
        team: name of the team.
        estimate_ms: the caller's estimate in milliseconds; 0 = none.
        count: number of tasks of which the longest counts.
        near: whether all run on the rack of their data, or have none.
    """
    width = min(count.bit_length() - 1, MAX_WIDTH_CLASS)
    return Kind(queue, team, estimate_ms.bit_length(), width, near)


def measured(ran_ms):
    """Return the Expectation of what has taken a time in milliseconds."""
    return Expectation(ran_ms, ran_ms, ran_ms)


def describe(record):
    """Return the typical run times of queues in a StoredRunTimes.

    Returns:
        A list of at most MAX_DESCRIBED texts `QUEUE/TASKS:PERCENT`: how long
        the longest of TASKS tasks, or of less than twice as many, takes, in
        percent of the estimate. From 2 ** MAX_WIDTH_CLASS on there is one
        class.
    """
    of_queues = sorted(
        (kind.queue, kind.width, kind.mean)
        for kind in record.kinds
        if kind.near and not kind.team and not kind.size
    )
    return [
        f'{queue}/{1 << width}:{100 * math.exp(mean):.0f}'
        for queue, width, mean in of_queues[:MAX_DESCRIBED]
    ]


def remaining(steps, times):
    """Return the Expectation of each step's longest chain to the job's end.

    Args:
        steps: the model.Steps; each depends on earlier ones only.
        times: the Expectation of each step.
    """
    after = [NO_TIME] * len(steps)
    for number in reversed(range(len(steps))):
        after[number] += times[number]
        for before in steps[number].after:
            after[before] = max(
                after[before], after[number], key=lambda e: e.typical_ms
            )
    return after

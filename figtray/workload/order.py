"""Order in which waiting steps start, by what their waiting costs callers.

Each part of the key answers a pattern of load; docs/design/run-times.md names
them.
"""

import collections
import enum
import operator

import msgspec

from figtray.workload import run_times

# A result is of little use after the job's objective, and of none after this
# multiple of it.
TOO_LATE_FACTOR = 3
# Part of the work that starts in a pool which goes to its jobs beyond any
# use, the oldest first, while such jobs wait.
LATE_PART = 0.1
# Limit of the credit of these jobs and of what they can owe, in thousandths
# of a core times milliseconds.
MAX_LATE_CREDIT = 100_000_000


class Lateness(enum.IntEnum):
    """Expected lateness of a job; steps of less late jobs start first."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Candidate(msgspec.Struct, frozen=True):
    """A step with waiting tasks.

    Attributes:
        pool: name of its pool.
        priority: priority of its queue; 0 comes first.
        lasting: whether its tasks run until its job is cancelled.
        excess_ms: by how much its team was ahead of its rate when it
            submitted the job; 0 if it was within. See arrivals.ArrivalMeter.
        arrived_ms: local time at which its job arrived.
        due_ms: local time until which its job is on time.
        created: revision of the store at which its job was accepted.
        remaining: the run_times.Expectation of its longest chain to the end
            of its job.
        suspect: whether tasks of it wait for trials, which have turns of
            their own.
    """

    pool: str
    priority: int
    lasting: bool
    excess_ms: float
    arrived_ms: int
    due_ms: int
    created: int
    remaining: run_times.Expectation
    suspect: bool = False


class Urgency(msgspec.Struct, frozen=True):
    """How urgent a step is; see _sort_key().

    Attributes:
        priority: see Candidate.
        ends: whether its tasks end.
        over_rate: whether its team was ahead of its rate.
        lateness: the Lateness of its job.
        due_ms: when its job is due, later for a team ahead of its rate.
        created: see Candidate.
        arrived_ms: see Candidate.
        pool: see Candidate.
        suspect: see Candidate.
    """

    priority: int
    ends: bool
    over_rate: bool
    lateness: Lateness
    due_ms: float
    created: int
    arrived_ms: int
    pool: str
    suspect: bool

    @property
    def is_beyond_use(self):
        """Whether it gets room by LATE_PART, as its job is of no use now."""
        return self.lateness == Lateness.TOO_LATE and not self.suspect


# A plan sorts all waiting steps; tuples compare faster than their classes.
_sort_key = operator.attrgetter(
    'priority', 'ends', 'over_rate', 'lateness', 'due_ms', 'created'
)


class LateShare:
    """Part of the work of each pool that starts for jobs beyond any use.

    While such jobs wait, the work that starts for others adds credit, and the
    work that starts for them takes it.
    """

    def __init__(self):
        self._credits = collections.Counter()
        # Pools where such jobs wait, and those where other work waits too.
        self._waiting = frozenset()
        self._contended = frozenset()
        # Pools where such a job has started since the last arrange().
        self._started = set()

    def arrange(self, pairs):
        """Return pairs of Urgency and anything in the order of starts.

        Jobs beyond any use of a pool go before other work of their priority,
        the oldest first, while the pool has credit and until one of them has
        started; lasting tasks stay ahead.

        Returns:
            An iterator; note_start() is called before its next pair.
        """
        ordered = sorted(pairs, key=lambda pair: _sort_key(pair[0]))
        late = collections.defaultdict(list)
        others = set()
        for pair in ordered:
            if pair[0].is_beyond_use:
                late[pair[0].pool].append(pair)
            elif pair[0].ends:
                others.add(pair[0].pool)
        for of_pool in late.values():
            of_pool.sort(key=lambda pair: pair[0].arrived_ms)
        self._waiting = frozenset(late)
        self._contended = self._waiting & others
        self._started.clear()
        return self._in_order(ordered, late)

    def _in_order(self, ordered, late):
        passed, priorities = set(), {}
        for pair in ordered:
            found = pair[0]
            if found.ends and priorities.get(found.pool) != found.priority:
                priorities[found.pool] = found.priority
                for first in late.get(found.pool, ()):
                    if not self._has_turn(found.pool):
                        break
                    # One that can't start must not hold up the others.
                    if (
                        first[0].priority <= found.priority
                        and id(first) not in passed
                    ):
                        passed.add(id(first))
                        yield first
            if id(pair) not in passed:
                yield pair

    def _has_turn(self, pool):
        return self._credits[pool] > 0 and pool not in self._started

    def note_start(self, started, work):
        """Count work that has started.

        Args:
            started: the Urgency of its step.
            work: in thousandths of a core x milliseconds.
        """
        pool = started.pool
        if not work or pool not in self._waiting or not started.ends:
            return
        before = self._credits[pool]
        if not started.is_beyond_use:
            self._credits[pool] = min(
                before + LATE_PART * work, MAX_LATE_CREDIT
            )
            return
        self._started.add(pool)
        # What starts without a turn takes room that nobody else uses.
        if pool in self._contended:
            most_owed = min(work, MAX_LATE_CREDIT)
            self._credits[pool] = max(before - work, min(before, -most_owed))


def urgency(candidate, now_ms):
    """Return the Urgency of a step.

    Args:
        candidate: the Candidate.
        now_ms: local time in milliseconds.
    """
    excess_ms = 0 if candidate.lasting else candidate.excess_ms
    return Urgency(
        priority=candidate.priority,
        ends=not candidate.lasting,
        over_rate=excess_ms > 0,
        lateness=lateness(candidate, now_ms),
        due_ms=candidate.due_ms + excess_ms,
        created=candidate.created,
        arrived_ms=candidate.arrived_ms,
        pool=candidate.pool,
        suspect=candidate.suspect,
    )


def lateness(candidate, now_ms):
    """Return the Lateness of a step's job if the step starts now.

    If the earliest due time always went first, a backlog of late jobs would
    make all later jobs late as well.

    Args:
        candidate: the Candidate.
        now_ms: local time in milliseconds.
    """
    if candidate.lasting:
        return Lateness.ON_TIME
    ends_ms = now_ms + candidate.remaining.typical_ms
    objective_ms = candidate.due_ms - candidate.arrived_ms
    if ends_ms <= candidate.due_ms:
        return Lateness.ON_TIME
    if ends_ms <= candidate.arrived_ms + TOO_LATE_FACTOR * objective_ms:
        return Lateness.LATE
    return Lateness.TOO_LATE

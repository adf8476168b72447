"""Verdict on a task, from the evidence of the crashes under it.

A task that crashes its workers does so at about the same age of each run,
whenever its worker has started. A host that crashes by itself does so some
time after its own start, whenever a run has started there. So the task is to
blame only if the ages of its runs agree and the lives of the workers don't.
"""

import dataclasses

# Runs under which workers crash before this age are alike.
EARLY_MS = 450
# Largest difference between the other ages that are alike, and the same as a
# share of the longest.
ALIKE_SLACK_MS = 200
ALIKE_TOLERANCE = 0.2
# Least difference of two lives beyond that of the ages: a host that crashes
# in its own time does so a little sooner or later.
LIFE_SLACK_MS = 100
# A worker that had been up for less before the start shows nothing, as the
# age of the run is nearly that of the worker.
LEAST_UP_MS = 900
# Least number of crashes that are alike for each that isn't, on a single
# host. Those on several hosts need only be more than the others.
ALIKE_PER_CHANCE = 3
# Lives that have to differ.
LEAST_LIVES = 2
# Fewest crashes that show guilt, and the same if those on trial count twice.
LEAST_CRASHES = 3
LEAST_WEIGHT = 4
# One more is needed while so many other hosts crash, too.
MANY_AROUND = 2
# After so many crashes of a host in a row without the task, one more shows
# nothing. Fewer may be those of other such tasks.
MANY_OTHERS = 4
# A task with crashes starts only on workers that have been up for this long,
# once for each of its crashes: its next runs then meet other lives.
UP_STEP_MS = 1000
MAX_UP_MS = 4000


@dataclasses.dataclass(frozen=True)
class Unproven:
    """The crashes may be those of the hosts, or chance."""


@dataclasses.dataclass(frozen=True)
class TaskAtFault:
    """The task crashes its workers.

    Attributes:
        rows: the evidence.Crashes that show it.
    """

    rows: tuple


def judge(rows):
    """Return Unproven or TaskAtFault.

    Args:
        rows: the evidence.Crashes of a task, oldest first.
    """
    shown = [row for row in rows if _shows_something(row)]
    alike = _largest_alike(shown)
    fitting = [*alike, *_noticed_late(alike, shown)]
    if _are_enough(alike, fitting) and not _is_contradicted(fitting, rows):
        return TaskAtFault(tuple(fitting))
    return Unproven()


def _are_enough(alike, fitting):
    """Return whether crashes at one age show the guilt of their task.

    Args:
        alike: the rows whose ages agree.
        fitting: these, and those that may have been noticed late.
    """
    most_around = max((row.around for row in fitting), default=0)
    return (
        len(alike) >= LEAST_CRASHES
        and len(fitting) >= LEAST_CRASHES + (most_around >= MANY_AROUND)
        and len(fitting) + sum(row.alone for row in fitting) >= LEAST_WEIGHT
        and _count_lives(alike) >= LEAST_LIVES
    )


def _noticed_late(alike, rows):
    """Return the rows that may have the age of those that are alike.

    A busy leader notices a crash some time after it.
    """
    longest_ms = max((row.age_ms for row in alike if row.sure), default=0)
    return [
        row
        for row in rows
        if row not in alike and row.least_ms <= longest_ms < row.age_ms
    ]


def least_up_ms(rows):
    """Return how long a worker must have been up before the next start.

    Args:
        rows: the evidence.Crashes of the task.
    """
    return min(UP_STEP_MS * len(rows), MAX_UP_MS)


def _shows_something(row):
    return (
        row.arrived
        and row.age_ms is not None
        and row.up_ms is not None
        and row.others < MANY_OTHERS
    )


def _largest_alike(rows):
    """Return the most rows whose ages agree with one another.

    A row that isn't sure agrees with all ages up to its own.
    """
    sure = sorted(
        (row for row in rows if row.sure), key=lambda row: row.age_ms
    )
    unsure = [row for row in rows if not row.sure]
    best, first = unsure, 0
    for last, row in enumerate(sure):
        while row.age_ms - sure[first].age_ms > _age_slack_ms(row):
            first += 1
        alike = [
            *sure[first : last + 1],
            *(other for other in unsure if other.age_ms >= row.age_ms),
        ]
        if len(alike) >= len(best):
            best = alike
    return best


def _count_lives(rows):
    """Return how many lives of workers differ more than the ages may."""
    count, until_ms = 0, None
    for row in sorted(rows, key=lambda row: row.life_ms):
        if row.up_ms < LEAST_UP_MS:
            continue
        since_ms = row.life_ms if row.sure else row.up_ms
        slack_ms = _age_slack_ms(row) + LIFE_SLACK_MS
        if until_ms is None or since_ms - until_ms > slack_ms:
            count, until_ms = count + 1, row.life_ms
    return count


def _is_contradicted(alike, rows):
    """Return whether other crashes show that a task is not their cause.

    A run that went on for longer shows it; one that went on for less has met
    a chance crash, of which there are few.

    Args:
        alike: the rows whose ages agree.
        rows: all rows.
    """
    ages_ms = [row.age_ms for row in alike if row.sure] or [0]
    slack_ms = _age_slack_ms(max(alike, key=lambda row: row.age_ms))
    others = [
        row
        for row in rows
        if row not in alike and row.arrived and row.age_ms is not None
    ]
    if any(row.least_ms > max(ages_ms) + slack_ms for row in others):
        return True
    shorter = [row for row in others if row.age_ms < min(ages_ms)]
    if len({row.host_id for row in alike}) > 1:
        return len(shorter) >= len(alike)
    return len(shorter) > len(alike) // ALIKE_PER_CHANCE


def _age_slack_ms(row):
    if row.age_ms <= EARLY_MS:
        return EARLY_MS
    return max(ALIKE_SLACK_MS, ALIKE_TOLERANCE * row.age_ms)

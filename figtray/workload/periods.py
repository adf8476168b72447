"""Periods of demand, found in the work of slots of time."""

import dataclasses
import itertools
import math
import operator

# Length of a slot for short periods, and of one for long periods at first.
# If there are MAX_SLOTS long slots and no period is known, each pair is
# merged into one slot of twice the length, so that longer periods fit.
# Otherwise the oldest slots are dropped.
SLOT_MS = 250
LONG_SLOT_MS = 1000
MAX_SLOTS = 512
# Slots between two searches for a period: SEARCH_INTERVAL_SLOTS, or one in
# SEARCH_PART of the slots that are kept if that is more.
SEARCH_INTERVAL_SLOTS = 16
SEARCH_PART = 16
# A search looks at no more values than this; it takes their number squared.
MAX_SEARCHED = 256
# Values of neighbours that are averaged, as jobs arrive at random.
SMOOTHED_SLOTS = 5
# The shortest period that is found, and how many periods must have passed,
# each with so many jobs; a few jobs have a period by chance.
MIN_PERIOD_SLOTS = 24
MIN_PERIODS = 2
MIN_PERIOD_JOBS = 20
# Least autocorrelation of demand that has a period, and the share of the best
# one at which the shorter of two periods is taken.
MIN_CORRELATION = 0.5
SHORTER_PERIOD_SHARE = 0.9
# The pattern has broken once the work of the last BREAK_SHARE of a period
# differs from the forecast by this share.
BREAK_SHARE = 0.25
MAX_MISS_SHARE = 0.7
# A turn may come earlier or later than the last one by this share of a period.
JITTER_SHARE = 0.05


@dataclasses.dataclass(frozen=True)
class Period:
    """A period of demand.

    Attributes:
        slots: its length in slots.
        correlation: the autocorrelation at this distance.
    """

    slots: int
    correlation: float


def find_period(values):
    """Return the period of a series of demands, by its autocorrelation.

    Args:
        values: demands of slots of the same length, the oldest first.

    Returns:
        The Period, or None.
    """
    merged = 1
    while len(values) > MAX_SEARCHED:
        values = merge_pairs(values)
        merged *= 2
    values = smooth(values)
    mean = sum(values) / len(values) if values else 0
    deviations = [value - mean for value in values]
    squares = [0, *itertools.accumulate(d * d for d in deviations)]
    longest = len(values) // MIN_PERIODS
    found, was_low = [], False
    for lag in range(1, longest + 1):
        correlation = _correlation(deviations, squares, lag)
        # A turn resembles itself until its length has passed.
        was_low = was_low or correlation < 0
        if was_low and lag >= MIN_PERIOD_SLOTS:
            found.append(Period(lag * merged, correlation))
    best = max((period.correlation for period in found), default=0)
    if best < MIN_CORRELATION:
        return None
    likely = (
        period
        for period in found
        if period.correlation >= SHORTER_PERIOD_SHARE * best
    )
    # The first group of neighbours that are nearly as good has its best one.
    first = next(likely)
    group = [first]
    for period in likely:
        if period.slots - group[-1].slots > merged:
            break
        group.append(period)
    return max(group, key=operator.attrgetter('correlation'))


def is_multiple(slots, shorter):
    """Return whether a period is about a multiple of a shorter one."""
    factor = round(slots / shorter)
    return factor > 1 and (
        abs(slots - factor * shorter) <= JITTER_SHARE * slots
    )


def merge_pairs(values):
    """Return the sums of pairs of values; an odd last one is left out."""
    return [first + second for first, second in zip(values[::2], values[1::2])]


def smooth(values):
    """Return the average of each value and its neighbours."""
    side = SMOOTHED_SLOTS // 2
    sums = [0, *itertools.accumulate(values)]
    spans = (
        (max(0, number - side), min(len(values), number + side + 1))
        for number in range(len(values))
    )
    return [
        (sums[last] - sums[first]) / (last - first) for first, last in spans
    ]


def _correlation(deviations, squares, lag):
    """Return the autocorrelation at a distance.

    Args:
        deviations: the values, less their mean.
        squares: sums of the squares of so many first deviations.
        lag: the distance.
    """
    scale = math.sqrt(squares[-lag - 1] * (squares[-1] - squares[lag]))
    return (
        sum(map(operator.mul, deviations, deviations[lag:])) / scale
        if (scale)
        else 0
    )


class Series:
    """Work of the last slots of a pool, and its period.

    Args:
        slot_ms: length of a slot at first, in milliseconds.
        doubles: whether it grows while no period is known.

    Attributes:
        slot_ms: length of a slot now.
        period: the Period; None if none is known.
        broken: whether the last period was broken and no new one is known.
    """

    def __init__(self, slot_ms, doubles):
        self._first_slot_ms = slot_ms
        self._doubles = doubles
        self.restart(None)

    def restart(self, now_ms):
        """Know nothing from a local time on; None = the next advance()."""
        self.slot_ms = self._first_slot_ms
        self.period, self.broken = None, False
        self._slots = []
        # Number of jobs of each slot.
        self._counts = []
        # Work and jobs of the slot that has not ended, and its start.
        self._open_work = self._open_count = 0
        self._open_since_ms = now_ms
        self._until_search = SEARCH_INTERVAL_SLOTS

    def add(self, work):
        """Count a job that has arrived at the time of the last advance()."""
        self._open_work += work
        self._open_count += 1

    def propose(self, period_ms):
        """Assume a period if it fits into the slots; return whether it does.

        Args:
            period_ms: the period in milliseconds.
        """
        slots = round(period_ms / self.slot_ms)
        fits = MIN_PERIOD_SLOTS <= slots <= len(self._slots)
        if fits:
            self.period = Period(slots, MIN_CORRELATION)
        return fits

    def advance(self, now_ms):
        """Close the slots that have ended."""
        if self._open_since_ms is None:
            self._open_since_ms = now_ms
        if now_ms - self._open_since_ms >= MAX_SLOTS * self.slot_ms:
            # Nobody has asked for so long that nothing is known any more.
            self.restart(now_ms)
        while now_ms - self._open_since_ms >= self.slot_ms:
            self._open_since_ms += self.slot_ms
            self._close_slot()
        if self._until_search <= 0:
            self._until_search = max(
                SEARCH_INTERVAL_SLOTS, len(self._slots) // SEARCH_PART
            )
            period = self._search()
            self.period = period or self.period
            self.broken = self.broken and period is None

    def _close_slot(self):
        self._slots.append(self._open_work)
        self._counts.append(self._open_count)
        self._open_work = self._open_count = 0
        if self.period is not None and self._has_missed():
            self._break()
        if len(self._slots) >= MAX_SLOTS:
            self._make_room()
        self._until_search -= 1

    def _break(self):
        """Drop what came before, which would hide a new pattern."""
        if self.slot_ms > self._first_slot_ms:
            self.restart(self._open_since_ms)
        else:
            kept = self._break_slots()
            self._slots = self._slots[-kept:]
            self._counts = self._counts[-kept:]
        self.period, self.broken = None, True

    def _make_room(self):
        if self._doubles and self.period is None:
            self._slots = merge_pairs(self._slots)
            self._counts = merge_pairs(self._counts)
            self.slot_ms *= 2
        else:
            # Two periods of any length that was found still fit.
            del self._slots[:SEARCH_INTERVAL_SLOTS]
            del self._counts[:SEARCH_INTERVAL_SLOTS]

    def _search(self):
        """Return the Period of the slots, or None."""
        period = find_period(self._slots)
        if period is None:
            return None
        counts = self._counts
        if any(
            sum(counts[-end - period.slots : len(counts) - end])
            < MIN_PERIOD_JOBS
            for end in (0, period.slots)
        ):
            return None
        if self.period and is_multiple(period.slots, self.period.slots):
            return self.period
        return period

    def _break_slots(self):
        return max(1, math.ceil(BREAK_SHARE * self.period.slots))

    def _jitter_slots(self):
        return max(1, round(JITTER_SHARE * self.period.slots))

    def _has_missed(self):
        """Return whether the last slots differ from those of a period ago."""
        count = self._break_slots()
        slots = self.period.slots
        if len(self._slots) < slots + count:
            return False
        actual = sum(self._slots[-count:])
        first = len(self._slots) - slots - count
        jitter = self._jitter_slots()
        former = self._slots[max(0, first - jitter) : first + jitter + count]
        sums = [0, *itertools.accumulate(former)]
        former_sums = list(map(operator.sub, sums[count:], sums))
        least, most = min(former_sums), max(former_sums)
        miss = max(actual - most, least - actual)
        if miss <= 0:
            return False
        usual = sum(self._slots[-slots:]) * count / slots
        return miss > MAX_MISS_SHARE * max(actual, most, usual)

    def peak_milli(self, within_ms):
        """Return the largest demand that is expected within a time.

        It is the average of what the last two periods had, of neighbours.
        """
        slots = self.period.slots
        count = len(self._slots)
        ahead = math.ceil(within_ms / self.slot_ms)
        # The surer the pattern, the less early hosts come.
        doubt = (1 - self.period.correlation) / (1 - MIN_CORRELATION)
        jitter = max(1, round(min(1, doubt) * self._jitter_slots()))
        first = count - jitter
        last = count + ahead + jitter
        periods = [
            smooth(self._slots[max(0, first - back) : last - back])
            for back in (slots, 2 * slots)
            if last - back > 0 and back <= count
        ]
        peaks = [max(values) for values in periods if values]
        if not peaks:
            return 0
        return int(sum(peaks) / len(peaks) / self.slot_ms)

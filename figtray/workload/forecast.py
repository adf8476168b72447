"""Forecast of the work that arrives at a pool, from what has arrived."""

import collections
import dataclasses
import enum
import math
import statistics

from figtray.workload import periods

# The rise is measured between two windows of this length that follow each
# other.
RISE_WINDOW_MS = 1000
# Jobs that arrive within this time are counted together.
MERGE_MS = 50
# Limit of the expected rise, as a multiple of the work that arrives now.
MAX_RISE_RATIO = 1.5
# Standard deviations by which the work of a pool has to fall, so that hosts
# are given back at once. If no job has come for FALL_GAP_MS, arrivals were
# interrupted, and the turn has not ended.
FALL_DEVIATIONS = 2
FALL_GAP_MS = 250
# Standard deviations of a rise by which a turn has begun, and the share of
# its highest demand below which it has ended.
TURN_DEVIATIONS = 2
TURN_END_SHARE = 0.5
# Least number of pools that have a turn each in a round.
MIN_ROUND_POOLS = 3
# Number of former turns whose highest demands are remembered.
MAX_PEAKS = 4
# Number of jobs whose widths are remembered, and how many must be known.
MAX_WIDTHS, MIN_WIDTHS = 64, 8
# A pool has room for the widest step of this share of its jobs.
WIDTH_QUANTILE = 0.9
# Demand beyond this multiple of the forecast is a burst.
BURST_RATIO = 1.2


class Pattern(enum.Enum):
    """What is known of the demand of a pool."""

    UNKNOWN = 'unknown'
    PERIODIC = 'periodic'
    BROKEN = 'broken'


# Pattern and period of a pool at first.
NOTHING_KNOWN = Pattern.UNKNOWN, 0


@dataclasses.dataclass(frozen=True)
class Outlook:
    """Work that is expected at a pool.

    Attributes:
        rising_milli: expected rise until hosts that are asked for now run
            tasks, in thousandths of a core.
        falling: whether less work arrives than before.
        widest_milli: processor time that the widest step of a large job
            needs; 0 = unknown.
        ahead_milli: largest demand that the forecast expects until hosts that
            are asked for now run tasks; 0 without a period.
        kept_milli: largest demand that it expects within the time in which
            keeping a host costs less than a move away and back.
        pattern: the Pattern.
        period_ms: the period; 0 if none is known.
        correlation: of the demand with that of one period ago; 1 is best.
    """

    rising_milli: int = 0
    falling: bool = False
    widest_milli: int = 0
    ahead_milli: int = 0
    kept_milli: int = 0
    pattern: Pattern = Pattern.UNKNOWN
    period_ms: int = 0
    correlation: float = 0.0


@dataclasses.dataclass(frozen=True)
class Arrivals:
    """Jobs that arrived at about the same time.

    Attributes:
        at_ms: arrival time of the first one.
        work: processor time that they need, in thousandths of a core times
            milliseconds.
        squares: sum of the squares of what each needs.
    """

    at_ms: int
    work: float
    squares: float


@dataclasses.dataclass(frozen=True)
class Change:
    """Change of the arriving work.

    Attributes:
        milli: its rise in RISE_WINDOW_MS, in thousandths of a core.
        now_milli: what arrives now.
        mean_milli: what arrived in both windows, on average.
        deviation_milli: standard deviation of the sum of both.
        rising: whether it rises as at the start of a turn.
        falling: whether it falls.
    """

    milli: float
    now_milli: float
    mean_milli: float
    deviation_milli: float
    rising: bool
    falling: bool

    def rise_milli(self, lead_ms):
        """Return the rise within lead_ms if it goes on."""
        return min(
            self.milli * lead_ms / RISE_WINDOW_MS,
            MAX_RISE_RATIO * self.now_milli,
        )


def measure_change(arrived, now_ms):
    """Return the Change of the arriving work.

    A rise is counted beyond one standard deviation of the sum, so that a
    single large job is none.

    Args:
        arrived: the Arrivals of the last two windows.
        now_ms: local time.
    """
    later = sum(
        item.work for item in arrived if now_ms - item.at_ms < RISE_WINDOW_MS
    )
    earlier = sum(item.work for item in arrived) - later
    deviation = math.sqrt(sum(item.squares for item in arrived))
    return Change(
        max(0, later - earlier - deviation) / RISE_WINDOW_MS,
        later / RISE_WINDOW_MS,
        (later + earlier) / (2 * RISE_WINDOW_MS),
        deviation / RISE_WINDOW_MS,
        later - earlier > TURN_DEVIATIONS * deviation,
        earlier - later > FALL_DEVIATIONS * deviation
        and now_ms - arrived[-1].at_ms < FALL_GAP_MS,
    )


class PoolForecast:
    """Arrivals at one pool and their pattern, in bounded memory."""

    def __init__(self):
        self._recent = collections.deque()
        self._widths = collections.deque(maxlen=MAX_WIDTHS)
        self._peaks = collections.deque(maxlen=MAX_PEAKS)
        # Highest demand of the turn that goes on; 0 if there is none.
        self._peak = 0
        # Starts of the last two turns.
        self._turn_starts = collections.deque(maxlen=2)
        # The first one that has a period is in force.
        self._series = (
            periods.Series(periods.SLOT_MS, False),
            periods.Series(periods.LONG_SLOT_MS, True),
        )

    def add(self, now_ms, work, width_milli):
        """Count a job that has arrived.

        Args:
            now_ms: local time in milliseconds.
            work: processor time that it needs, in thousandths of a core times
                milliseconds.
            width_milli: processor time of its widest step, in thousandths of
                a core.
        """
        self._advance(now_ms)
        for series in self._series:
            series.add(work)
        self._recent.append(self._merged(now_ms, work))
        self._widths.append(width_milli)

    def _merged(self, now_ms, work):
        """Return the Arrivals with one more job."""
        if self._recent and now_ms - self._recent[-1].at_ms < MERGE_MS:
            last = self._recent.pop()
            return Arrivals(
                last.at_ms, last.work + work, last.squares + work * work
            )
        return Arrivals(now_ms, work, work * work)

    def peaks(self):
        """Return the highest demands of the last turns."""
        return list(self._peaks)

    def widths(self):
        """Return the widths of the last jobs, in thousandths of a core."""
        return list(self._widths)

    def outlook(self, now_ms, lead_ms, keep_ms, peak_milli=0):
        """Return the Outlook without the width of jobs.

        Args:
            now_ms: local time in milliseconds.
            peak_milli: what a turn is expected to reach, in thousandths of a
                core; 0 = unknown.
            lead_ms: time until hosts that are asked for now run tasks.
            keep_ms: time for which keeping a host costs as much as moving it
                away and back.
        """
        self._advance(now_ms)
        change = measure_change(self._recent, now_ms)
        self._follow_turn(change, now_ms)
        rising = int(change.rise_milli(lead_ms))
        if change.rising:
            rising = max(rising, int(peak_milli - change.now_milli))
        series = self._in_force()
        if series is None:
            pattern = Pattern.UNKNOWN
            if any(item.broken for item in self._series):
                pattern = Pattern.BROKEN
            return Outlook(rising, change.falling, pattern=pattern)
        # A rise that belongs to the turn is in the forecast.
        burst = change.now_milli - change.deviation_milli > (
            BURST_RATIO * series.peak_milli(0)
        )
        return Outlook(
            rising if burst else 0,
            change.falling,
            ahead_milli=series.peak_milli(lead_ms),
            kept_milli=series.peak_milli(lead_ms + keep_ms),
            pattern=Pattern.PERIODIC,
            period_ms=series.period.slots * series.slot_ms,
            correlation=round(series.period.correlation, 2),
        )

    def turn_starts(self):
        """Return the times at which the last two turns began."""
        return list(self._turn_starts)

    def propose_period(self, period_ms):
        """Assume a period that the turns of all pools show.

        It counts until the pool has shown its own, and not once the pool has
        broken it.
        """
        if any(item.broken or item.period for item in self._series):
            return
        for series in self._series:
            if series.propose(period_ms):
                return

    def _follow_turn(self, change, now_ms):
        """Note the start of a turn, and its highest demand at its end."""
        if change.rising and not self._peak:
            self._turn_starts.append(now_ms)
        if change.rising or self._peak:
            self._peak = max(self._peak, change.mean_milli)
        if change.mean_milli < TURN_END_SHARE * self._peak:
            self._peaks.append(self._peak)
            self._peak = 0

    def _advance(self, now_ms):
        """Close the slots that have ended."""
        while self._recent and (
            now_ms - self._recent[0].at_ms >= 2 * RISE_WINDOW_MS
        ):
            self._recent.popleft()
        before = self._in_force()
        for series in self._series:
            series.advance(now_ms)
        if before is not None and before.broken:
            # A multiple of the broken period would be in force now.
            for series in self._series:
                if series is not before:
                    series.restart(now_ms)

    def _in_force(self):
        """Return the periods.Series whose period counts, or None."""
        return next((s for s in self._series if s.period is not None), None)


class SiteForecast:
    """The forecasts of all pools, which tell something about each other."""

    def __init__(self):
        self._pools = collections.defaultdict(PoolForecast)
        self._shared = None

    def add(self, pool, now_ms, work, width_milli):
        """Count a job that has arrived; see PoolForecast.add()."""
        self._pools[pool].add(now_ms, work, width_milli)

    def outlook(self, pool, now_ms, lead_ms, keep_ms):
        """Return the Outlook of a pool; see PoolForecast.outlook()."""
        if self._shared is None or self._shared.at_ms != now_ms:
            self._shared = share(self._pools, now_ms)
        shared = self._shared
        item = self._pools[pool]
        item.propose_period(shared.round_ms)
        outlook = item.outlook(
            now_ms, lead_ms, keep_ms, turn_peak_milli(item, shared)
        )
        return dataclasses.replace(
            outlook, widest_milli=large_width_milli(item, shared)
        )


@dataclasses.dataclass(frozen=True)
class Shared:
    """What the jobs of all pools tell about one that has had few.

    Attributes:
        at_ms: local time at which it was so.
        width_milli: processor time that a large job needs at once; 0 =
            unknown.
        peak_milli: what the lowest turn reached; 0 = unknown.
        round_ms: time in which all pools have had a turn; 0 = unknown.
    """

    at_ms: int
    width_milli: float
    peak_milli: float
    round_ms: int


def share(forecasts, now_ms):
    """Return what pools have in common, as Shared.

    Args:
        forecasts: mapping of pool to its PoolForecast.
        now_ms: local time.
    """
    items = forecasts.values()
    return Shared(
        now_ms,
        _large(width for item in items for width in item.widths()),
        min((peak for item in items for peak in item.peaks()), default=0),
        round_ms([item.turn_starts() for item in items]),
    )


def large_width_milli(item, shared):
    """Return the processor time that a large job needs at once in a pool.

    Args:
        item: the PoolForecast of the pool.
        shared: the Shared, for a pool that has had few jobs.

    Returns:
        Thousandths of a core; 0 while too few jobs are known.
    """
    return _large(item.widths()) or shared.width_milli


def _large(widths):
    ordered = sorted(widths)
    if len(ordered) < MIN_WIDTHS:
        return 0
    return ordered[int(WIDTH_QUANTILE * (len(ordered) - 1))]


def turn_peak_milli(item, shared):
    """Return the demand that a turn of a pool is expected to reach.

    Args:
        item: the PoolForecast of the pool.
        shared: the Shared, for a pool that has had no turn.

    Returns:
        Thousandths of a core; 0 if no turn is known.
    """
    peaks = item.peaks()
    return statistics.median_low(peaks) if peaks else shared.peak_milli


def round_ms(starts):
    """Return the time in which all pools have had a turn, one after another.

    The second turn of the first pool shows it, one period before the others
    can show theirs.

    Args:
        starts: for each pool the times at which its last turns began.

    Returns:
        Milliseconds; 0 if the turns make no round.
    """
    if len(starts) < MIN_ROUND_POOLS or not all(starts):
        return 0
    for own in starts:
        if len(own) == 2 and all(
            sum(own[0] < at_ms < own[1] for at_ms in times) == 1
            for times in starts
            if times is not own
        ):
            return own[1] - own[0]
    return 0

"""Budget of retries for each team, and the pauses between them."""

import threading

# Retries allowed per successful start.
RETRY_RATIO = 0.1
# Retries that a team with few starts may make per second.
MIN_RETRIES_PER_S = 1.0
# Unused retries that a team may save up.
MAX_SAVED_RETRIES = 10.0
BACKOFF_BASE_MS = 50
BACKOFF_MAX_MS = 2000

_WINDOW_MS = 1000


class _Bucket:
    """Retries left for one team."""

    def __init__(self, now_ms):
        self.tokens = MAX_SAVED_RETRIES
        self.window_ms = now_ms
        self.starts = 0
        self.granted = 0.0

    def refill(self, now_ms):
        """Add what the current window has earned and was not yet added.

        In each window of a second, the greater of the part of the starts
        and the minimum rate counts, not their sum.
        """
        windows, elapsed_ms = divmod(now_ms - self.window_ms, _WINDOW_MS)
        if windows:
            self._grant(max(self.starts * RETRY_RATIO, MIN_RETRIES_PER_S))
            self.tokens += (windows - 1) * MIN_RETRIES_PER_S
            self.window_ms = now_ms - elapsed_ms
            self.starts = 0
            self.granted = 0.0
        by_time = MIN_RETRIES_PER_S * elapsed_ms / _WINDOW_MS
        self._grant(max(self.starts * RETRY_RATIO, by_time))
        self.tokens = min(self.tokens, MAX_SAVED_RETRIES)

    def _grant(self, earned):
        self.tokens += max(0.0, earned - self.granted)
        self.granted = max(self.granted, earned)


class RetryBudget:
    """Token bucket per team; thread safe."""

    def __init__(self, clock):
        """Create a budget in which each team starts with a full bucket."""
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets = {}

    def started(self, team):
        """Count a successful start of a team."""
        with self._lock:
            bucket = self._refilled(team)
            bucket.starts += 1

    def take(self, team):
        """Take one retry from a team's budget.

        Returns:
            True if the team may retry now.
        """
        with self._lock:
            bucket = self._refilled(team)
            if bucket.tokens < 1:
                return False
            bucket.tokens -= 1
            return True

    def _refilled(self, team):
        now_ms = self._clock.now_ms()
        bucket = self._buckets.get(team)
        if bucket is None:
            bucket = self._buckets[team] = _Bucket(now_ms)
        bucket.refill(now_ms)
        return bucket


def backoff_ms(attempt, rng):
    """Return the pause before a retry: exponential with full jitter.

    Args:
        attempt: number of attempts so far, from 1.
        rng: a random.Random.

    Returns:
        Milliseconds, from 0 to the bound of this attempt.
    """
    exponent = min(max(attempt, 1) - 1, 16)
    bound = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS << exponent)
    return rng.randint(0, bound)

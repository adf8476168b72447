"""Budget of retries, and the pauses between them."""

import threading

# Unused retries that may be saved up.
MAX_SAVED_RETRIES = 10.0
BACKOFF_BASE_MS = 50
BACKOFF_MAX_MS = 2000

_WINDOW_MS = 1000


class RetryBudget:
    """Token bucket of one team; thread safe."""

    def __init__(self, clock, percent, min_per_s):
        """Create a full bucket.

        Args:
            clock: a Clock.
            percent: retries allowed as a share of the successful starts.
            min_per_s: retries per second that are allowed in any case.
        """
        self._clock = clock
        self._percent = percent
        self._min_per_s = min_per_s
        self._lock = threading.Lock()
        self._tokens = MAX_SAVED_RETRIES
        self._window_ms = clock.now_ms()
        self._starts = 0
        self._granted = 0.0

    def started(self):
        """Count a successful start."""
        with self._lock:
            self._refill()
            self._starts += 1

    def try_spend(self):
        """Take one retry from the budget.

        Returns:
            True if a retry is allowed now.
        """
        with self._lock:
            self._refill()
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True

    def _refill(self):
        """Add what the current window has earned and was not yet added.

        In each window of a second, the greater of the share of the starts
        and the minimum rate counts, not their sum.
        """
        now_ms = self._clock.now_ms()
        windows, elapsed_ms = divmod(now_ms - self._window_ms, _WINDOW_MS)
        if windows:
            self._grant(_WINDOW_MS)
            self._tokens += (windows - 1) * self._min_per_s
            self._window_ms = now_ms - elapsed_ms
            self._starts = 0
            self._granted = 0.0
        self._grant(elapsed_ms)
        self._tokens = min(self._tokens, MAX_SAVED_RETRIES)

    def _grant(self, elapsed_ms):
        earned = max(
            self._starts * self._percent / 100,
            self._min_per_s * elapsed_ms / _WINDOW_MS,
        )
        self._tokens += max(0.0, earned - self._granted)
        self._granted = max(self._granted, earned)


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

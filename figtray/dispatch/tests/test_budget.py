"""Tests of the retry budget."""

import random

from figtray import clock
from figtray.dispatch import budget


class TestRetryBudget:
    """Guards against retries that multiply the load of an outage."""

    def take_all(self, retries):
        count = 0
        while retries.try_spend():
            count += 1
        return count

    def test_minimum_rate_and_saved_retries(self):
        manual = clock.ManualClock()
        retries = budget.RetryBudget(manual, 10, 1)
        assert self.take_all(retries) == budget.MAX_SAVED_RETRIES
        manual.advance(999)
        assert self.take_all(retries) == 0
        manual.advance(1)
        assert self.take_all(retries) == 1
        manual.advance(3600_000)
        assert self.take_all(retries) == budget.MAX_SAVED_RETRIES

    def test_tenth_of_the_starts_and_no_more(self):
        manual = clock.ManualClock()
        retries = budget.RetryBudget(manual, 10, 1)
        self.take_all(retries)
        taken = 0
        for _ in range(1000):
            retries.started()
            manual.advance(10)
            taken += self.take_all(retries)
        assert 99 <= taken <= 100


class TestBackoff:
    """Guards against retries in step."""

    def test_grows_to_a_bound_with_full_jitter(self):
        rng = random.Random(3)
        for attempt, bound in [(1, 50), (2, 100), (4, 400), (99, 2000)]:
            pauses = [budget.backoff_ms(attempt, rng) for _ in range(300)]
            assert max(pauses) <= bound
            assert max(pauses) > 0.9 * bound
            assert min(pauses) < 0.1 * bound

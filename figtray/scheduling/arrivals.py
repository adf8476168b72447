"""Arrivals of jobs: each team's rate, and the work that comes to a pool."""

import collections
import math

# A team may send this many seconds' worth of its rate at once.
BURST_S = 2


class ArrivalMeter:
    """Token bucket for each team, refilled with `weight` jobs a second."""

    def __init__(self):
        self._buckets = {}

    def exceeds_rate(self, team, weight, at_ms):
        """Count one job and tell whether it is beyond the team's rate.

        Args:
            team: name of the team.
            weight: jobs a second to which the team is entitled.
            at_ms: time of its arrival in milliseconds; earlier than the
                last one counts as the same time.

        Returns:
            True if the job should come after those within their rates.
        """
        burst = max(1.0, weight * BURST_S)
        tokens, since_ms = self._buckets.get(team, (burst, at_ms))
        passed_ms = max(0, at_ms - since_ms)
        tokens = min(burst, tokens + passed_ms * weight / 1000)
        excess = tokens < 1
        if not excess:
            tokens -= 1
        self._buckets[team] = tokens, max(at_ms, since_ms)
        return excess


# Long enough to hold several jobs of a peak, short against its length.
WORK_WINDOW_MS = 500
# Weight of one run in the learned length of a queue's runs.
LEARNING_RATE = 0.05
MIN_FACTOR, MAX_FACTOR = 0.1, 10.0


class WorkMeter:
    """Work that arrives at each pool, as the processors that it needs.

    A pool that is asked for so much will be as busy once the jobs that have
    arrived are joined by those that follow them.
    """

    def __init__(self):
        self._arrived = {}
        self._estimate_factors = {}

    def add(self, queue, steps, now_ms):
        """Count a job that has arrived.

        Args:
            queue: the queues.Queue.
            steps: its model.Steps.
            now_ms: local time.
        """
        work = sum(
            step.count * step.needs.cpu_milli * step.estimate_ms
            for step in steps
            if not step.lasting and not step.fills
        )
        work *= self.estimate_factor(queue.name)
        self._arrived.setdefault(queue.pool, collections.deque()).append(
            (now_ms, work)
        )

    def estimate_factor(self, queue_name):
        """Return the learned length of a queue's runs over its estimates."""
        return self._estimate_factors.get(queue_name, 1.0)

    def observe_run(self, queue_name, estimate_ms, duration_ms):
        """Note how long a run was, against the estimate of its step."""
        if not estimate_ms:
            return
        factor = self.estimate_factor(queue_name)
        observed = min(max(duration_ms / estimate_ms, MIN_FACTOR), MAX_FACTOR)
        self._estimate_factors[queue_name] = factor + LEARNING_RATE * (
            observed - factor
        )

    def needed_milli(self, pool, now_ms):
        """Return the processor time that arrivals of late surely ask for.

        One standard deviation of the sum is taken off, so that single large
        jobs are not taken for a peak.

        Args:
            pool: name of the pool.
            now_ms: local time.

        Returns:
            Thousandths of a core.
        """
        arrived = self._arrived.get(pool, ())
        while arrived and now_ms - arrived[0][0] > WORK_WINDOW_MS:
            arrived.popleft()
        deviation = math.sqrt(sum(work * work for _, work in arrived))
        total = sum(work for _, work in arrived)
        return (total - deviation) / WORK_WINDOW_MS

"""Arrivals of jobs: the rate of each team, and the work for each pool."""

import collections
import math

from figtray.workload import forecast
from figtray.workload import pool_size
from figtray.workload import run_times

# Capacity of a team's bucket: jobs of this many seconds at its rate.
BURST_S = 2
# Least rate that counts, in jobs a second.
MIN_WEIGHT = 0.001
# Longest time by which the excess of a team puts its jobs behind others.
MAX_EXCESS_MS = 2000


class ArrivalMeter:
    """Token bucket for each team, refilled at `weight` jobs a second."""

    def __init__(self):
        self._buckets = {}
        # Times up to which the rate of each team has covered its excess.
        self._covered_ms = {}

    def excess_ms(self, team, weight, at_ms):
        """Count one job; return by how much its team is ahead of its rate.

        The order among jobs beyond the rate then depends on how far each
        team is beyond its own, and on the age of the jobs.

        Args:
            team: name of the team.
            weight: jobs a second to which the team is entitled.
            at_ms: time of the arrival in milliseconds; a time before that
                of the last job counts as the same time.

        Returns:
            0 for a job within the rate, which should start first; else the
            time in milliseconds after which the rate would cover it, at
            most MAX_EXCESS_MS.
        """
        if not self.exceeds_rate(team, weight, at_ms):
            return 0
        covered_ms = max(self._covered_ms.get(team, at_ms), at_ms)
        covered_ms = min(
            covered_ms + 1000 / max(weight, MIN_WEIGHT), at_ms + MAX_EXCESS_MS
        )
        self._covered_ms[team] = covered_ms
        return covered_ms - at_ms

    def exceeds_rate(self, team, weight, at_ms):
        """Count one job and return whether it exceeds the rate of its team.

        Args:
            team: name of the team.
            weight: jobs a second to which the team is entitled.
            at_ms: time of the arrival in milliseconds; a time before that
                of the last job counts as the same time.

        Returns:
            True if jobs of teams within their rates should start first.
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


# Long enough for several jobs of a load peak, but short against the peak.
WORK_WINDOW_MS = 500
# Time until a host that is asked for now runs tasks. Of a job that takes
# longer, only this part runs by then, even if such jobs go on arriving.
HORIZON_MS = 2500


class WorkMeter:
    """Processor time that the jobs arriving at each pool need.

    The rate at which work arrives predicts how much of the pool will be busy
    if jobs go on arriving at this rate.

    Args:
        known_times: the run_times.RunTimes; None if nothing is known.
    """

    def __init__(self, known_times=None):
        self._arrived = {}
        self._run_times = known_times or run_times.RunTimes()
        self._forecast = forecast.SiteForecast()

    def add(self, queue, steps, now_ms, team=''):
        """Count a job that has arrived.

        Args:
            queue: the queues.Queue.
            steps: the model.Steps of the job.
            now_ms: local time in milliseconds.
            team: name of its team.
        """
        self._run_times.pass_time(now_ms)
        times = list(self._run_times.of_steps(queue.name, team, steps))
        counted = [
            (step, path)
            for step, path in zip(steps, run_times.remaining(steps, times))
            if not step.lasting and not step.fills
        ]
        if not counted:
            return
        work = sum(
            step.count
            * step.needs.cpu_milli
            * self._run_times.of_task(queue.name, team, step).mean_ms
            for step, _ in counted
        )
        work *= min(
            1, HORIZON_MS / max(path.typical_ms for _, path in counted)
        )
        self._arrived.setdefault(queue.pool, collections.deque()).append(
            (now_ms, work)
        )
        self._forecast.add(
            queue.pool,
            now_ms,
            work,
            max(step.count * step.needs.cpu_milli for step, _ in counted),
        )

    def outlook(self, pool, now_ms):
        """Return the forecast.Outlook of a pool.

        Args:
            pool: name of the pool.
            now_ms: local time in milliseconds.
        """
        return self._forecast.outlook(
            pool, now_ms, HORIZON_MS, pool_size.KEEP_MS
        )

    def estimate_factor(self, queue_name):
        """Return the ratio of run times to estimates of a queue."""
        return self._run_times.ratio(queue_name)

    def needed_milli(self, pool, now_ms):
        """Return the processor time that recent arrivals need.

        One standard deviation of the sum is subtracted, so that a single
        large job does not count as a load peak.

        Args:
            pool: name of the pool.
            now_ms: local time in milliseconds.

        Returns:
            Thousandths of a core.
        """
        arrived = self._arrived.get(pool, ())
        while arrived and now_ms - arrived[0][0] > WORK_WINDOW_MS:
            arrived.popleft()
        deviation = math.sqrt(sum(work * work for _, work in arrived))
        total = sum(work for _, work in arrived)
        return (total - deviation) / WORK_WINDOW_MS

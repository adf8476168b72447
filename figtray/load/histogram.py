"""Histogram with logarithmic buckets for times."""

import bisect
import math

# Bounds of neighbouring buckets differ by this factor, so a quantile is
# exact to 5 %.
GROWTH = 1.05
MIN_VALUE = 0.1
MAX_VALUE = 10_000_000.0

_BOUNDS = [
    MIN_VALUE * GROWTH**n
    for n in range(math.ceil(math.log(MAX_VALUE / MIN_VALUE, GROWTH)) + 1)
]


class Histogram:
    """Counts of values in buckets that grow by 5 %; not thread safe."""

    def __init__(self):
        self._counts = {}
        self.count = 0
        self.total = 0.0
        self.maximum = 0.0

    def add(self, value):
        """Count a value; a negative one counts as 0."""
        value = max(0.0, value)
        bucket = bisect.bisect_left(_BOUNDS, value)
        self._counts[bucket] = self._counts.get(bucket, 0) + 1
        self.count += 1
        self.total += value
        self.maximum = max(self.maximum, value)

    def merge(self, other):
        """Add the counts of another histogram."""
        for bucket, count in other._counts.items():
            self._counts[bucket] = self._counts.get(bucket, 0) + count
        self.count += other.count
        self.total += other.total
        self.maximum = max(self.maximum, other.maximum)

    def quantile(self, part):
        """Return the upper bound of the bucket of a quantile.

        Args:
            part: the quantile, 0 to 1.

        Returns:
            The bound, at most the greatest value; 0 without any values.
        """
        rank = max(1, math.ceil(part * self.count))
        seen = 0
        for bucket, count in sorted(self._counts.items()):
            seen += count
            if seen >= rank:
                return min(_bound(bucket), self.maximum)
        return 0.0

    def mean(self):
        """Return the mean of the values, 0 without any."""
        return self.total / self.count if self.count else 0.0

    def buckets(self):
        """Return the (upper bound, count) of each bucket that is not empty."""
        return [
            (_bound(bucket), count)
            for bucket, count in sorted(self._counts.items())
        ]

    def to_data(self):
        """Return the histogram as plain data for JSON."""
        return {
            'count': self.count,
            'total': self.total,
            'max': self.maximum,
            'p50': self.quantile(0.5),
            'p99': self.quantile(0.99),
            'growth': GROWTH,
            'buckets': {str(n): c for n, c in sorted(self._counts.items())},
        }

    @classmethod
    def from_data(cls, data):
        """Build a histogram from the data of to_data().

        Raises:
            ValueError: the data has other buckets.
        """
        if data['growth'] != GROWTH:
            raise ValueError(f'histogram with growth {data["growth"]}')
        result = cls()
        result._counts = {int(n): c for n, c in data['buckets'].items()}
        result.count = data['count']
        result.total = data['total']
        result.maximum = data['max']
        return result


def _bound(bucket):
    return _BOUNDS[min(bucket, len(_BOUNDS) - 1)]

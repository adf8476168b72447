"""Which occurrences of a timed job are over, as ranges of their numbers."""

import bisect


class EndedOccurrences:
    """Numbers of a job's occurrences that are over.

    Each gap between two ranges holds an occurrence that goes on, so there
    are no more ranges than that.

    Args:
        ranges: pairs of the first number and the one after the last, in
            ascending order and apart from each other.
    """

    __slots__ = ('_ranges', 'count')

    def __init__(self, ranges=()):
        self._ranges = [tuple(pair) for pair in ranges]
        self.count = sum(stop - start for start, stop in self._ranges)

    @property
    def ranges(self):
        """The ranges as a tuple; see the class."""
        return tuple(self._ranges)

    def __contains__(self, number):
        position = bisect.bisect_right(self._ranges, (number, float('inf')))
        return position > 0 and number < self._ranges[position - 1][1]

    def add(self, number):
        """Add a number."""
        if number in self:
            return
        self.count += 1
        position = bisect.bisect_right(self._ranges, (number, float('inf')))
        start, stop = number, number + 1
        after = self._ranges[position : position + 1]
        before = self._ranges[max(0, position - 1) : position]
        if after and after[0][0] == stop:
            stop = after[0][1]
            del self._ranges[position]
        if before and before[0][1] == start:
            position -= 1
            start = before[0][0]
            del self._ranges[position]
        self._ranges.insert(position, (start, stop))


def are_odd(ranges, most):
    """Return whether ranges are none of occurrences.

    Args:
        ranges: see EndedOccurrences.
        most: the largest number of an occurrence, and one.
    """
    last = -1
    for start, stop in ranges:
        if not last < start < stop <= most:
            return True
        last = stop
    return False

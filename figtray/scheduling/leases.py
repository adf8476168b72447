"""Length of the leases on workers, and the time until they expire."""

# Rate of the slowest clock of a worker, relative to the leader's clock.
SLOWEST_CLOCK_RATE = 0.98
LEASE_MARGIN_MS = 300
# Longer leases survive longer outages; shorter ones free the tasks of an
# unresponsive worker earlier. This one outlasts a change of the leader.
TARGET_LEASE_MS = 6000
# Longest lease that any earlier release requested.
EARLIER_RELEASE_LEASE_MS = 7000
# The interval of the records of leases and the time to store one, together.
HORIZON_SLACK_MS = 1500


def lease_ms(bounds):
    """Return the length of the leases to request, in milliseconds."""
    return min(bounds.hold_max_ms, TARGET_LEASE_MS)


def longest_lease_ms(bounds):
    """Return how long a lease can last on a worker, in local milliseconds."""
    return _on_slowest_clock_ms(lease_ms(bounds))


def longest_worker_lease_ms(bounds):
    """Return how long any lease can last that a worker grants."""
    return _on_slowest_clock_ms(bounds.hold_max_ms)


def longest_earlier_release_lease_ms():
    """Return how long a lease of another release can last on a worker."""
    return _on_slowest_clock_ms(EARLIER_RELEASE_LEASE_MS)


def horizon_ms(bounds):
    """Return how far leases reach after the request of the last record.

    That is more than the length of a lease, so that a record that is late
    does not shorten the leases.
    """
    return lease_ms(bounds) + HORIZON_SLACK_MS


def longest_horizon_ms(bounds):
    """Return how long such leases can last, in local milliseconds."""
    return _on_slowest_clock_ms(horizon_ms(bounds))


def _on_slowest_clock_ms(duration_ms):
    return int(duration_ms / SLOWEST_CLOCK_RATE + LEASE_MARGIN_MS)

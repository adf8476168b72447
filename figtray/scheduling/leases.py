"""Length of the leases on workers, and the time until they expire."""

# Rate of the slowest clock of a worker, relative to the leader's clock.
SLOWEST_CLOCK_RATE = 0.98
LEASE_MARGIN_MS = 300
# Longer leases survive longer outages; shorter ones free the tasks of an
# unresponsive worker earlier. This one outlasts a change of the leader.
TARGET_LEASE_MS = 7000


def lease_ms(bounds):
    """Return the length of the leases to request, in milliseconds."""
    return min(bounds.hold_max_ms, TARGET_LEASE_MS)


def longest_lease_ms(bounds):
    """Return how long a lease can last on a worker, in local milliseconds."""
    return int(lease_ms(bounds) / SLOWEST_CLOCK_RATE + LEASE_MARGIN_MS)

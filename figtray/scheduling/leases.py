"""Length of the leases of what runs on workers, and when they are over."""

# A worker's clock may be this much slower than ours.
SLOWEST_CLOCK_RATE = 0.98
LEASE_MARGIN_MS = 300
# Longer leases survive longer outages, shorter ones free the tasks of a
# silent worker earlier; this outlasts the change of a leader.
TARGET_LEASE_MS = 7000


def lease_ms(bounds):
    """Return the length of the leases that are asked for."""
    return min(bounds.hold_max_ms, TARGET_LEASE_MS)


def longest_lease_ms(bounds):
    """Return our time after which a lease of now has ended on any worker."""
    return int(lease_ms(bounds) / SLOWEST_CLOCK_RATE + LEASE_MARGIN_MS)

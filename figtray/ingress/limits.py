"""Limits of what a listener holds for its callers."""

import dataclasses

MB = 1 << 20
# Memory that a process needs for its own work: jobs, workers, store calls and
# log lines, also while it leads a large deployment.
OWN_WORK_MB = 128
# Part of the rest that callers' bytes may take; the other part is for what the
# kernel and the allocator hold in addition.
BUDGET_PART = 0.5
# One request of the largest size fits, parsed.
MIN_BUDGET_BYTES = 16 * MB
# Where the settings don't tell the memory of the process.
DEFAULT_BUDGET_BYTES = 64 * MB
# Part of the budget that is kept for small requests: ordinary jobs, reads
# and cancellations.
SMALL_PART = 0.25
SMALL_BYTES = 32 * 1024
# What one address or one key may hold of what is left to a request.
SHARE = 0.75

# Of each listener for probes or metrics: kept apart, so that callers can't
# take it.
RESERVE_BUDGET_BYTES = 4 * MB
RESERVE_CONNECTIONS = 32

MAX_CONNECTIONS = 2000
# Of the descriptors that a host grants, those that sockets can't use.
FILE_DESCRIPTORS = 200
# Part of the sockets that callers may have; the others are for the store, the
# workers, probes and metrics.
SOCKET_PART = 0.5
# Objects of a connection without a request.
CONNECTION_BYTES = 4 * 1024
CONNECTIONS_PART = 0.25
# Connections that are closed together for a new one, to look for them less
# often.
CLOSED_AT_ONCE = 8

# A connection that has moved for less than PROGRESS_BYTES for so long is
# closed if its room is needed.
STALL_MS = 2000
PROGRESS_BYTES = 1024
# A request may take GRACE_MS to arrive, and a second more for each
# LEAST_BYTES_PER_S of it. The same holds for reading an answer.
GRACE_MS = 30_000
LEAST_BYTES_PER_S = 4096
# A busy process reads a header late; added to the operators' limit.
HEADER_MARGIN_MS = 2000


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one listener.

    Attributes:
        budget_bytes: most bytes that are held for callers.
        max_connections: most open connections; for a further one, another
            is closed.
    """

    budget_bytes: int = DEFAULT_BUDGET_BYTES
    max_connections: int = MAX_CONNECTIONS

    @property
    def large_bytes(self):
        """Most bytes that are held when a large request is taken in."""
        return int(self.budget_bytes * (1 - SMALL_PART))

    @property
    def most_connections(self):
        """Most open connections while all are served."""
        return self.max_connections + self.max_connections // 4


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Limits of one request; 0 = not stated.

    Attributes:
        max_header_bytes: largest header.
        max_body_bytes: largest body.
        header_timeout_ms: time from the first byte of a header to its end.
        idle_timeout_ms: time for which a connection may be idle.
    """

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


def in_force(own, configured):
    """Return the RequestLimits to apply.

    Args:
        own: the RequestLimits of the process.
        configured: those of the operators.
    """
    return RequestLimits(
        configured.max_header_bytes or own.max_header_bytes,
        configured.max_body_bytes or own.max_body_bytes,
        (
            configured.header_timeout_ms + HEADER_MARGIN_MS
            if configured.header_timeout_ms
            else own.header_timeout_ms
        ),
        max(configured.idle_timeout_ms, own.idle_timeout_ms),
    )


RESERVE = Limits(RESERVE_BUDGET_BYTES, RESERVE_CONNECTIONS)


def of_host(memory_mb, max_descriptors):
    """Return the Limits of the callers of a process on a host.

    Args:
        memory_mb: memory that the host grants in MB; 0 = not known.
        max_descriptors: descriptors that it grants; 0 = not known.
    """
    connections = [MAX_CONNECTIONS]
    budget_bytes = DEFAULT_BUDGET_BYTES
    if memory_mb:
        left_bytes = (memory_mb - OWN_WORK_MB) * MB
        budget_bytes = max(MIN_BUDGET_BYTES, int(left_bytes * BUDGET_PART))
        connections.append(
            int(budget_bytes * CONNECTIONS_PART) // CONNECTION_BYTES
        )
    if max_descriptors:
        sockets = max_descriptors - FILE_DESCRIPTORS
        connections.append(max(1, int(sockets * SOCKET_PART)))
    return Limits(budget_bytes, min(connections))

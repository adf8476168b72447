"""Events of the election and of takeovers."""

import logbook

from figtray.events import base

LEADER_SEEN = base.Event(
    1600,
    logbook.INFO,
    'The store names a new leader.',
    ('leader', 'epoch'),
)
LEADER_WON = base.Event(
    1601,
    logbook.NOTICE,
    'This node has become the leader, vacant_ms after it saw that the store '
    'names none; it takes over the jobs and workers. sources is a digest of '
    'its code.',
    ('epoch', 'vacant_ms', 'sources'),
)
LEADER_ENDED = base.Event(
    1602,
    logbook.NOTICE,
    'This node is no longer the leader; the nodes elect a new one.',
    ('epoch', 'reason'),
)
FORMER_LEASE_ENDED = base.Event(
    1603,
    logbook.NOTICE,
    'The leader in the store is an earlier process of this node; its lease '
    'is revoked so that a new election starts.',
    ('epoch',),
)
LEASE_CALL_FAILED = base.Event(
    1604,
    logbook.WARNING,
    'A store call about the lease of the leader failed. Elections and '
    'renewals are retried; a lease that is not revoked expires.',
    ('call', 'detail'),
)
TAKEN_OVER = base.Event(
    1605,
    logbook.NOTICE,
    'This node, as the new leader, has read all jobs and workers from the '
    'store and starts to schedule.',
    ('epoch', 'jobs', 'workers', 'roster', 'duration_ms'),
)
TAKEOVER_FAILED = base.Event(
    1606,
    logbook.WARNING,
    'The leader cannot read the state of earlier leaders from the store; it '
    'retries before it goes on.',
    ('detail',),
)
WORKERS_ACCOUNTED = base.Event(
    1607,
    logbook.NOTICE,
    'All runs that earlier leaders started are known or over; the jobs of '
    'earlier terms, held until now, are scheduled. left counts incarnations '
    'that were awaited until the longest lease ended.',
    ('reason', 'left'),
)
# Its name, which is logged, has an older word for an incarnation.
LIFE_ACCOUNTED = base.Event(
    1608,
    logbook.INFO,
    'The runs that earlier leaders started on an incarnation of a worker are '
    'known or over; left counts the incarnations still awaited.',
    ('worker', 'born_ms', 'reason', 'left'),
)
INCARNATION_AWAITED = base.Event(
    1609,
    logbook.NOTICE,
    'The leader awaits an incarnation of a worker on which earlier leaders '
    'may have started tasks, for left_ms at most; unnamed counts further '
    'ones.',
    (
        'worker',
        'born_ms',
        'pool',
        'host',
        'address',
        'listed',
        'host_state',
        'host_worker',
        'report_error',
        'left_ms',
        'unnamed',
    ),
)
LEADER_VACANT = base.Event(
    1610,
    logbook.NOTICE,
    'The store names no leader, for unconfirmed_ms at most: so long ago, the '
    'view of its key was last confirmed.',
    ('leader', 'unconfirmed_ms'),
)
INTAKE_OUTDATED = base.Event(
    1611,
    logbook.WARNING,
    'The leader keeps its term, but has not seen for age_ms which jobs and '
    'cancellations callers submit; it ends the term, so that another node '
    'can take over.',
    ('epoch', 'age_ms'),
)

"""Whose a stored job is, and under which queue its callers find it."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Place:
    """Queue under which a call is made.

    Attributes:
        queue: name of the queue.
        host: `Host` header of its callers.
        prefix: prefix of its URL paths.
        configured: names of all queues of the configuration.
    """

    queue: str
    host: str = ''
    prefix: str = ''
    configured: frozenset[str] = frozenset()


def place_of(cfg, queue):
    """Return the Place of a queue.

    Args:
        cfg: the queues.Config.
        queue: one of its queues.
    """
    return Place(queue.name, queue.host, queue.prefix, frozenset(cfg.queues))


def owns(record, team, place):
    """Return whether a caller may read and cancel what a record is of.

    What was stored without a key is anyone's who calls under its queue. What
    a team has stored is found with a key of that team only.

    Args:
        record: the model.Job, or a records.Caller.
        team: name of the caller's team; empty without a key.
        place: the Place of the call; None finds it under each queue.
    """
    if record.team and record.team != team:
        return False
    return place is None or _is_under(record, place)


def is_cancelled(record, cancellers):
    """Return whether a cancellation is one of a certain job.

    It is if one of its callers could cancel the job. The cancellations of
    earlier releases do not tell whose they are, and hold for any job.

    Args:
        record: the model.Job, or the records.Caller that would submit it.
        cancellers: the records.Callers that have cancelled it.
    """
    return not cancellers or any(
        owns(record, canceller.team, _place_of_call(canceller))
        for canceller in cancellers
    )


def _place_of_call(canceller):
    """Return the Place of a records.Caller, or None."""
    if not canceller.queue:
        return None
    return Place(canceller.queue, canceller.host, canceller.prefix)


def _is_under(record, place):
    """Return whether a record was stored under the queue of a call.

    The queue may have a new name at its address, or a new address.
    """
    if record.queue == place.queue:
        return True
    if record.host or record.prefix:
        return (record.host, record.prefix) == (place.host, place.prefix)
    # Earlier releases store no address. A queue that is gone may have a new
    # name; under which one is unknown.
    return record.queue not in place.configured

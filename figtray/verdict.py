"""Verdict on an attempt to start a run: whether it may have started."""

import dataclasses
import enum


class RefusalReason(enum.Enum):
    """Why a run was not started; the values are logged and must not change."""

    BAD_REQUEST = 'bad-request'
    BUSY = 'busy'
    CONNECT_FAILED = 'connect-failed'
    LATE = 'late'
    NO_CAPACITY = 'no-capacity'
    STALE_RUN = 'stale-run'
    TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'


@dataclasses.dataclass(frozen=True)
class NotRun:
    """The run certainly did not start."""

    reason: RefusalReason
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class MayHaveRun:
    """The run may have started, or may still start late.

    Attributes:
        detail: what went wrong.
        closed: whether the worker has closed the connection.
    """

    detail: str = ''
    closed: bool = False

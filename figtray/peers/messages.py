"""Messages between figtray's processes."""

import msgspec

from figtray import codec
from figtray.configuration import snapshot as snapshot_lib
from figtray.shares import view


class TeamAllotment(msgspec.Struct, frozen=True, omit_defaults=True):
    """Allotment of one team at one entry, for a version of the team."""

    team: str
    version: int
    held: int = 0
    in_use: int = 0
    wanted: int = 0


@codec.register
class Heartbeat(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of the sender; `epoch` is that of its allotments."""

    mark: snapshot_lib.Mark
    synchronised: bool
    epoch: int
    demand: view.DemandReport | None = None
    idle: tuple[TeamAllotment, ...] = ()


@codec.register
class HeartbeatReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of the replier.

    Allotments of epochs below `floor` are void. A sender that holds such
    allotments, or in whose slot a newer process runs (`superseded`), is not
    confirmed.
    """

    mark: snapshot_lib.Mark
    synchronised: bool
    floor: int = 0
    superseded: bool = False


@codec.register
class FetchChanges(msgspec.Struct, frozen=True):
    """Ask for the changes after a generation."""

    after: int


@codec.register
class ChangesReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The changes asked for, or a snapshot if they are no longer kept."""

    changes: tuple[snapshot_lib.Change, ...] = ()
    snapshot: snapshot_lib.SnapshotData | None = None


@codec.register
class FetchSnapshot(msgspec.Struct, frozen=True):
    """Ask for the whole configuration."""


@codec.register
class ChangePush(msgspec.Struct, frozen=True):
    """A new change, for the receiver to apply."""

    change: snapshot_lib.Change


@codec.register
class ChangePushReply(msgspec.Struct, frozen=True):
    """Whether the replier holds the change now."""

    holds: bool
    mark: snapshot_lib.Mark


@codec.register
class StatusRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Ask an entry for its state; sent by the API and the controller.

    The answer to a `brief` one leaves out demand, run times and allotments,
    which are nearly all of its bytes.
    """

    brief: bool = False


@codec.register
class StatusReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of an entry; `run_ms` is the mean run time by pool.

    `arrived` counts the requests of a pool in this incarnation, those that
    were refused for want of capacity included.
    """

    slot: str
    incarnation: str
    epoch: int
    mark: snapshot_lib.Mark
    synchronised: bool
    serving: bool
    demand: view.DemandReport | None = None
    run_ms: dict[str, float] = {}
    arrived: dict[str, int] = {}
    allotments: tuple[TeamAllotment, ...] = ()


@codec.register
class TransferRequest(msgspec.Struct, frozen=True):
    """Ask a peer for allotment of a team."""

    team: str
    version: int
    epoch: int
    wanted: int


@codec.register
class TransferReply(msgspec.Struct, frozen=True):
    """Allotment that the replier gave up for the asker."""

    epoch: int
    version: int
    given: int


@codec.register
class Handover(msgspec.Struct, frozen=True):
    """Allotments of an entry that stops, for the receiver to keep."""

    epoch: int
    allotments: tuple[TeamAllotment, ...]


@codec.register
class EpochJoin(msgspec.Struct, frozen=True):
    """Ask an entry to join an epoch of allotments and to report.

    An entry that is still in an epoch below `floor` drops what it holds.
    """

    epoch: int
    floor: int = 0


@codec.register
class EpochReport(msgspec.Struct, frozen=True):
    """Allotments of an entry at the time it joined an epoch."""

    slot: str
    incarnation: str
    joined: bool
    epoch: int
    allotments: tuple[TeamAllotment, ...] = ()
    floor: int = 0


@codec.register
class Grant(msgspec.Struct, frozen=True):
    """New allotment; `held` of each item is the number to add."""

    epoch: int
    allotments: tuple[TeamAllotment, ...]


@codec.register
class Fence(msgspec.Struct, frozen=True):
    """Void all allotments of epochs below a floor."""

    floor: int


@codec.register
class Acknowledged(msgspec.Struct, frozen=True):
    """Plain answer: whether the receiver did what was asked."""

    done: bool = True


@codec.register
class Forward(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request for its owner; `left_ms` is its remaining time.

    An owner of another run than `owner_run` refuses it, if that is set.
    """

    request_id: str
    queue: str
    team: str
    key_id: str
    left_ms: int
    body: bytes
    idempotent: bool = False
    urgent: bool = False
    idempotency_key: str = ''
    job: str = ''
    owner_run: str = ''


@codec.register
class ForwardReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Whether the owner took the request; a refusal says not run.

    `task_id` is the owner's task, which for a repeated idempotency key is
    that of the first request.
    """

    accepted: bool
    task_id: str = ''
    reason: str = ''
    detail: str = ''
    may_have_run: bool = False


@codec.register
class Outcome(msgspec.Struct, frozen=True, omit_defaults=True):
    """Final verdict of a forwarded request, sent back by its owner."""

    request_id: str
    verdict: str
    reason: str = ''
    detail: str = ''
    status: int = 0
    content_type: str = ''
    body: bytes = b''


@codec.register
class Cancel(msgspec.Struct, frozen=True):
    """Cancel a task of the receiver."""

    task_id: str
    team: str


@codec.register
class FetchOutcome(msgspec.Struct, frozen=True):
    """Ask the slot that holds a task for its outcome."""

    task_id: str
    team: str


@codec.register
class OutcomeReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Whether the task is known, and its outcome once it is done."""

    known: bool
    outcome: Outcome | None = None


class KeyRecordItem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Record of an idempotency key, handed over by an entry that stops."""

    owner_key: str
    digest: str
    age_ms: int
    outcome: Outcome


@codec.register
class KeyHandover(msgspec.Struct, frozen=True):
    """Key records of a run that stops, for the slot's next run to fetch.

    For `uncertain_ms` a key that is not among them may have been used.
    """

    slot: str
    run_id: str
    records: tuple[KeyRecordItem, ...]
    uncertain_ms: int = 0


@codec.register
class FetchKeys(msgspec.Struct, frozen=True):
    """Ask a peer for the key records that this slot's last run left."""

    slot: str


@codec.register
class KeysReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Key records that a run of the slot handed over, if any."""

    run_id: str = ''
    records: tuple[KeyRecordItem, ...] = ()
    uncertain_ms: int = 0

"""Budget of the bytes that a listener holds for its callers."""

import collections
import dataclasses
import enum
import heapq
import threading

from figtray.ingress import limits as limits_lib
from figtray.ingress import turns


class Reason(enum.Enum):
    """Why a request is refused or a connection closed."""

    MEMORY = 'memory'
    SHARE = 'share'
    STOPPED = 'stopped'
    SLOW = 'slow'
    CONNECTIONS = 'connections'


class Phase(enum.Enum):
    """What a connection is about."""

    IDLE = 'idle'
    ARRIVING = 'arriving'
    SERVED = 'served'
    ANSWERED = 'answered'


@dataclasses.dataclass(eq=False)
class Claim:
    """What one connection holds and uses.

    Changed by the Budget only, but for the last two, by the Turns.

    Attributes:
        address: address of the caller.
        key: key that the caller sent with the request; empty if none.
        has_header: whether the header of the request has come.
        phase: the Phase.
        held_bytes: bytes of the budget that it has.
        moved_bytes: bytes of the request that came, or of the answer that
            were read, in this phase.
        began_ms: local time of the start of the phase.
        progress_ms: local time at which it last made progress.
        progress_bytes: moved_bytes at that time.
        is_last: whether the connection is closed after the request that is
            served.
    """

    address: str
    key: str = ''
    has_header: bool = False
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    moved_bytes: int = 0
    began_ms: int = 0
    progress_ms: int = 0
    progress_bytes: int = 0
    is_last: bool = False
    used: turns.Usage = turns.Usage()
    turn_ms: int = 0

    def owners(self):
        """Return the names under which its bytes are summed up."""
        yield f'address {self.address}'
        if self.key:
            yield f'key {self.key}'

    def is_stalled(self, now_ms):
        """Return whether it awaits the caller, who has stopped."""
        return (
            self.phase is not Phase.SERVED
            and now_ms - self.progress_ms >= limits_lib.STALL_MS
        )

    def is_overdue(self, now_ms, header_ms):
        """Return whether a request or an answer has moved too slowly.

        Args:
            now_ms: local time in milliseconds.
            header_ms: time of a header to arrive.
        """
        if self.phase not in (Phase.ARRIVING, Phase.ANSWERED):
            return False
        elapsed_ms = now_ms - self.began_ms
        if self.phase is Phase.ARRIVING and not self.has_header:
            return elapsed_ms > header_ms
        due_ms = (
            limits_lib.GRACE_MS
            + self.moved_bytes * 1000 // limits_lib.LEAST_BYTES_PER_S
        )
        return elapsed_ms > due_ms


@dataclasses.dataclass(frozen=True)
class State:
    """What a Budget holds; for metrics.

    Attributes:
        budget_bytes: its limit.
        held_bytes: bytes held.
        open: number of connections.
        stalled: number of those whose caller has stopped within a request
            or an answer.
        refused: number of refusals and closes for each Reason.
    """

    budget_bytes: int
    held_bytes: int
    open: int
    stalled: int
    refused: dict


class Budget:
    """Owner of what a listener holds for its callers; for several threads.

    A request takes its bytes before they are read and gives them back when
    it is over. Who has stopped for longest is closed if there is no room.

    Args:
        limits: the Limits.
        on_refusal: called with a Reason and the Claim, without the lock.
    """

    def __init__(self, limits, on_refusal=lambda reason, claim: None):
        self.limits = limits
        self._on_refusal = on_refusal
        self._lock = threading.Lock()
        # In the order of their opening.
        self._claims = {}
        self._held_bytes = 0
        self._held_by_owner = collections.Counter()
        self._refused = collections.Counter()

    def open(self, claim, now_ms):
        """Add the claim of a new connection.

        Args:
            claim: the Claim.
            now_ms: local time in milliseconds.

        Returns:
            The Claims to close if there are too many: the one whose caller
            has stopped for longest, and some more that have stopped, as
            others may follow. If all are served, one of them is the last on
            its connection instead, while there are few more than the limit;
            beyond that the new one is closed.
        """
        with self._lock:
            claim.began_ms = claim.progress_ms = now_ms
            self._claims[claim] = None
            if len(self._claims) <= self.limits.max_connections:
                return []
            victims = self._choose_connections(claim, now_ms)
        for victim in victims:
            self._refuse(Reason.CONNECTIONS, victim)
        return victims

    def take(self, claim, wanted_bytes, now_ms, closes=True):
        """Take bytes for a claim, whole or not at all.

        Args:
            claim: the Claim.
            wanted_bytes: bytes that it needs in addition.
            now_ms: local time in milliseconds.
            closes: whether others may be closed for it.

        Returns:
            (the Reason of a refusal or None, the Claims to close first).
        """
        if wanted_bytes <= 0:
            return None, []
        with self._lock:
            if claim not in self._claims:
                return Reason.STOPPED, []
            reason, victims = self._find_room(
                claim, wanted_bytes, now_ms, closes
            )
            if reason is None:
                for victim in victims:
                    self._drop(victim)
                self._hold(claim, wanted_bytes)
        for victim in victims:
            self._refuse(Reason.STOPPED, victim)
        if reason is not None:
            self._refuse(reason, claim)
        return reason, victims

    def end_header(self, claim, key):
        """Note that the header of a request has come.

        Args:
            claim: the Claim.
            key: the key that the caller sent; empty if none.
        """
        with self._lock:
            claim.has_header = True
            if claim not in self._claims:
                return
            held_bytes = claim.held_bytes
            self._hold(claim, -held_bytes)
            claim.key = key
            self._hold(claim, held_bytes)

    def begin(self, claim, phase, held_bytes, now_ms):
        """Begin a phase of a claim, with the bytes that it needs there.

        Args:
            claim: the Claim.
            phase: the Phase.
            held_bytes: bytes that it has from now on, also if there is no
                room for them; None leaves them as they are.
            now_ms: local time in milliseconds.
        """
        with self._lock:
            if claim not in self._claims:
                return
            claim.phase = phase
            claim.began_ms = claim.progress_ms = now_ms
            claim.moved_bytes = claim.progress_bytes = 0
            if held_bytes is not None:
                self._hold(claim, held_bytes - claim.held_bytes)
            if phase is Phase.IDLE:
                claim.key, claim.has_header = '', False

    def move(self, claim, count_bytes, now_ms):
        """Note that bytes came in or were read by the caller."""
        claim.moved_bytes += count_bytes
        if (
            claim.moved_bytes - claim.progress_bytes
            >= limits_lib.PROGRESS_BYTES
        ):
            claim.progress_ms = now_ms
            claim.progress_bytes = claim.moved_bytes

    def close(self, claim):
        """Give back all that a claim has, and forget it."""
        with self._lock:
            self._drop(claim)

    def overdue(self, now_ms, header_ms):
        """Return the claims to close for their slowness.

        Args:
            now_ms: local time in milliseconds.
            header_ms: time of a header to arrive.
        """
        with self._lock:
            claims = [
                claim
                for claim in self._claims
                if claim.is_overdue(now_ms, header_ms)
            ]
        for claim in claims:
            self._refuse(Reason.SLOW, claim)
        return claims

    def state(self, now_ms):
        """Return the State."""
        with self._lock:
            return State(
                self.limits.budget_bytes,
                self._held_bytes,
                len(self._claims),
                sum(
                    1
                    for claim in self._claims
                    if claim.phase is not Phase.IDLE
                    and claim.is_stalled(now_ms)
                ),
                {reason: self._refused[reason] for reason in Reason},
            )

    def _choose_connections(self, new, now_ms):
        """Return the claims to close for a new one."""
        others = [c for c in self._claims if c is not new and not c.is_last]
        waiting = heapq.nsmallest(
            limits_lib.CLOSED_AT_ONCE,
            (c for c in others if c.phase is not Phase.SERVED),
            key=lambda other: other.progress_ms,
        )
        if waiting:
            first, *more = waiting
            return [first, *(c for c in more if c.is_stalled(now_ms))]
        if not others or len(self._claims) > self.limits.most_connections:
            return [new]
        others[0].is_last = True
        return []

    def _find_room(self, claim, wanted_bytes, now_ms, closes):
        """Return a Reason or None, and the Claims to close."""
        small = claim.held_bytes + wanted_bytes <= limits_lib.SMALL_BYTES
        limit = self.limits.budget_bytes if small else self.limits.large_bytes
        excess = self._held_bytes + wanted_bytes - limit
        share = int(limit * limits_lib.SHARE)
        over = [
            (owner, self._held_by_owner[owner] + wanted_bytes - share)
            for owner in claim.owners()
            # A request that is alone may take all that there is.
            if self._held_by_owner[owner] > claim.held_bytes
        ]
        # An ordinary request, for which nobody is looked for.
        if excess <= 0 and all(part <= 0 for _, part in over):
            return None, []
        stalled = self._stalled(claim, now_ms) if closes else []
        victims = {}
        if excess > 0 and not _choose(victims, stalled, excess):
            return Reason.MEMORY, []
        for owner, excess in over:
            own = (other for other in stalled if owner in other.owners())
            if not _choose(victims, own, excess):
                return Reason.SHARE, []
        return None, list(victims)

    def _stalled(self, claim, now_ms):
        """Return the claims that may be closed, longest stopped first."""
        return sorted(
            (
                other
                for other in self._claims
                if other is not claim
                and other.held_bytes
                and other.is_stalled(now_ms)
            ),
            key=lambda other: other.progress_ms,
        )

    def _drop(self, claim):
        if claim in self._claims:
            del self._claims[claim]
            self._hold(claim, -claim.held_bytes)

    def _hold(self, claim, change_bytes):
        if not change_bytes:
            return
        claim.held_bytes += change_bytes
        self._held_bytes += change_bytes
        for owner in claim.owners():
            self._held_by_owner[owner] += change_bytes
            if not self._held_by_owner[owner]:
                del self._held_by_owner[owner]

    def _refuse(self, reason, claim):
        with self._lock:
            self._refused[reason] += 1
        self._on_refusal(reason, claim)


def _choose(victims, stalled, excess):
    """Add claims to `victims` until their bytes cover an excess.

    Args:
        victims: dict whose keys are the claims to close; those of an earlier
            call come first in `stalled`, too.
        stalled: the claims to choose from, in order.
        excess: bytes to cover.

    Returns:
        Whether they do.
    """
    for claim in stalled:
        if excess <= 0:
            break
        victims[claim] = None
        excess -= claim.held_bytes
    return excess <= 0

"""Whose turn it is at a listener: who has used least of it comes first."""

import dataclasses

# Work of a turn: a read of this size in the smallest chunks. The unit is the
# time that a byte of such a read takes.
TURN_WORK = 8192
# A line of a header takes as long as so many of those bytes.
LINE_WORK = 64
# What was used counts half after this time.
HALF_LIFE_MS = 1000
# Turns of one round, after which newcomers are looked for.
ROUND_TURNS = 16
# New connections of one round; fewer than turns, so that those that have
# had no turn don't become more and more.
ROUND_ACCEPTS = 8


@dataclasses.dataclass(frozen=True)
class Usage:
    """Work that was done for somebody, which fades.

    Attributes:
        work: the work, as at `at_ms`.
        at_ms: local time in milliseconds.
    """

    work: float = 0.0
    at_ms: int = 0

    def now(self, now_ms):
        """Return the work that still counts."""
        return self.work * 0.5 ** ((now_ms - self.at_ms) / HALF_LIFE_MS)

    def add(self, work, now_ms):
        """Return the Usage with more work."""
        return Usage(self.now(now_ms) + work, now_ms)


class Turns:
    """Order of the connections that have something to read.

    For one thread.
    """

    def __init__(self):
        self._used = {}

    def note(self, claim, work, now_ms):
        """Note the work of a turn.

        Args:
            claim: the Claim of the connection.
            work: the work.
            now_ms: local time in milliseconds.
        """
        claim.used = claim.used.add(work, now_ms)
        claim.turn_ms = now_ms
        for owner in claim.owners():
            used = self._used.get(owner, Usage())
            self._used[owner] = used.add(work, now_ms)

    def forget(self, now_ms):
        """Forget what no longer makes a difference."""
        self._used = {
            owner: used
            for owner, used in self._used.items()
            if used.now(now_ms) >= 1
        }

    def known(self):
        """Return the number of addresses and keys that are known."""
        return len(self._used)

    def rank(self, claim, now_ms):
        """Return what sorts claims: the lowest has the next turn.

        A connection that has had less than a turn comes first, then one of
        an address and a key with less, then the one that has waited longest.

        Args:
            claim: the Claim of the connection.
            now_ms: local time in milliseconds.
        """
        owners = max(
            self._used.get(owner, Usage()).now(now_ms)
            for owner in claim.owners()
        )
        return (
            claim.used.now(now_ms) // TURN_WORK,
            owners // TURN_WORK,
            claim.turn_ms,
        )

"""Whose turn it is at a listener: who has used least of it comes first."""

import dataclasses
import heapq

# Work of a turn: a read of this size in the smallest chunks. The unit is the
# time that a byte of such a read takes.
TURN_WORK = 8192
# What a turn costs beside what is read.
FIXED_WORK = 512
# A line of a header takes as long as so many of those bytes.
LINE_WORK = 64
# What was used counts half after this time.
HALF_LIFE_MS = 1000
# Turns of one round, after which newcomers are looked for.
ROUND_TURNS = 16
# New connections of one round; fewer than turns, so that those that have
# had no turn don't become more and more.
ROUND_ACCEPTS = 8
# Most addresses and keys that are known; callers choose them.
MOST_OWNERS = 10_000


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
        # By the hash of an address or a key, which may be long.
        self._used = {}

    def note(self, claim, work, now_ms):
        """Note a turn.

        Args:
            claim: the Claim of the connection.
            work: its work beside FIXED_WORK.
            now_ms: local time in milliseconds.
        """
        work += FIXED_WORK
        claim.used = claim.used.add(work, now_ms)
        claim.turn_ms = now_ms
        for owner in map(hash, claim.owners()):
            used = self._used.get(owner, Usage())
            self._used[owner] = used.add(work, now_ms)
        if len(self._used) > MOST_OWNERS:
            self._keep(MOST_OWNERS // 2, now_ms)

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

    def next(self, claims, now_ms):
        """Return the claims that have a turn in this round, in order.

        A connection that has had less than a turn comes first, then one of
        an address and a key with less, then the one that has waited longest.

        Args:
            claims: the Claims that want one.
            now_ms: local time in milliseconds.
        """
        used_turns = {}

        def turns_of(owner):
            if owner not in used_turns:
                used = self._used.get(owner, Usage()).now(now_ms)
                used_turns[owner] = used // TURN_WORK
            return used_turns[owner]

        def rank(claim):
            return (
                claim.used.now(now_ms) // TURN_WORK,
                max(map(turns_of, map(hash, claim.owners()))),
                claim.turn_ms,
            )

        return heapq.nsmallest(ROUND_TURNS, claims, key=rank)

    def _keep(self, count, now_ms):
        """Keep those that have used most."""
        self._used = dict(
            heapq.nlargest(
                count, self._used.items(), key=lambda item: item[1].now(now_ms)
            )
        )

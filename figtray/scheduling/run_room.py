"""Room of the leader for runs, as each takes some of its memory."""

import collections


class RunRoom:
    """Counts the runs in all and of each team.

    One team, or all jobs without a team together, can't take all room, so
    that tasks that need next to nothing don't keep those of others waiting.

    Args:
        room: the room.Room of the host; None for no limit.
    """

    def __init__(self, room=None):
        self._room = room
        self._total = 0
        self._of_team = collections.Counter()

    def add(self, team):
        """Count a run of a team."""
        self._total += 1
        self._of_team[team] += 1

    def remove(self, team):
        """Stop counting a run of a team."""
        self._total -= 1
        self._of_team[team] -= 1

    def allows(self, team, count=1):
        """Return whether a number of runs of a team may start."""
        return self._room is None or (
            self._total + count <= self._room.runs
            and self._of_team[team] + count <= self._room.team_runs
        )

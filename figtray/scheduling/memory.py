"""What leaders have memory for, as nodes are told of it."""

import dataclasses

from figtray.jobs import large_jobs
from figtray.jobs import room as rooms
from figtray.scheduling import scheduler_base

# Part of the room that large jobs may take together.
LARGE_SHARE = 0.5
# Part of the room that is left for jobs that are stored before nodes know
# that there is no more.
RESERVED_SHARE = 0.125
# Smaller changes of the room for large jobs are not published.
WORTHWHILE_BYTES = large_jobs.LARGE_BYTES


@dataclasses.dataclass(frozen=True)
class Shortage:
    """Whose jobs no leader has memory for.

    Attributes:
        is_full: whether that holds for all.
        full_teams: names of the teams that have taken their share.
    """

    is_full: bool = False
    full_teams: tuple[str, ...] = ()


class Memory(scheduler_base.SchedulerBase):
    """Compares the jobs with the room of the smallest host in use."""

    def set_smallest_room(self, room):
        """Set the room.Room of the smallest host that may lead next."""
        with self.lock:
            self._smallest_room = room

    def note_large_room(self, revision, large_room):
        """Note the stored LargeRoom; None if there is none to read.

        All jobs that were stored up to its revision are known.
        """
        with self.lock:
            self._large_room = revision, large_room

    def find_shortage(self):
        """Return the Shortage."""
        with self.lock:
            if self._smallest_room is None:
                return Shortage()
            limit = (1 - RESERVED_SHARE) * self._smallest_room.job_bytes
            held = self._held_of_team + self._parked.sizes_of_teams()
            return Shortage(
                sum(held.values()) > limit,
                tuple(
                    sorted(
                        team
                        for team, size in held.items()
                        if size > rooms.TEAM_SHARE * limit
                    )
                ),
            )

    def large_room_to_store(self):
        """Return the LargeRoom to store and the revision that it replaces.

        Returns:
            None if the stored one will do.
        """
        with self.lock:
            if self._smallest_room is None:
                return None
            revision, stored = self._large_room or (0, None)
            present = large_jobs.LargeRoom(
                self._free_for_large_bytes(), self._smallest_room.team_runs
            )
            if (
                stored is not None
                and stored.gang_runs == present.gang_runs
                and abs(stored.free_bytes - present.free_bytes)
                < WORTHWHILE_BYTES
            ):
                return None
            return present, revision

    def _free_for_large_bytes(self):
        limit = self._smallest_room.job_bytes
        parked = sum(self._parked.sizes_of_teams().values())
        return int(
            max(
                0,
                min(
                    LARGE_SHARE * limit - self._held_large_bytes - parked,
                    (1 - RESERVED_SHARE) * limit - self._held_bytes - parked,
                ),
            )
        )

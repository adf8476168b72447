"""Scheduler of one term, composed of its parts."""

from figtray.scheduling import draining
from figtray.scheduling import membership
from figtray.scheduling import memory
from figtray.scheduling import outcomes
from figtray.scheduling import planner
from figtray.scheduling import reports
from figtray.scheduling import room
from figtray.scheduling import waits


class Scheduler(
    membership.Membership,
    planner.Planner,
    outcomes.Outcomes,
    reports.Reports,
    draining.Draining,
    waits.Waits,
    room.Room,
    memory.Memory,
):
    """Decides for the leader on jobs, tasks, runs and workers.

    The parts share the state and the lock of scheduler_base.SchedulerBase,
    which documents the arguments.
    """

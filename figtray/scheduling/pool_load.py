"""Capacity and demand of a pool."""

import dataclasses

from figtray.workload import forecast


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """Capacity and demand of one pool; all fields are written to the log.

    Attributes:
        workers: number of workers on which tasks may start, if they can be
            reached.
        reachable: how many of them have not left the last request for a
            report unanswered.
        capacity_milli: their processor time in thousandths of a core.
        capacity_mb: their memory in megabytes.
        lasting_milli: processor time that running lasting tasks need.
        short_milli: processor time that other running tasks need.
        waiting_milli: processor time that waiting tasks need; these are
            ready and have no run.
        later_milli: processor time that the steps that are not open yet
            will need.
        arriving_milli: processor time that the jobs arriving now will need.
        memory_mb: memory of all running and waiting tasks.
        waiting: number of waiting tasks.
        spread: number of workers that the widest lasting step needs.
        due: number of workers whose hosts have an upkeep ahead.
        outlook: the forecast.Outlook of its demand.
    """

    workers: int = 0
    reachable: int = 0
    capacity_milli: int = 0
    capacity_mb: int = 0
    lasting_milli: int = 0
    short_milli: int = 0
    waiting_milli: int = 0
    later_milli: int = 0
    arriving_milli: int = 0
    memory_mb: int = 0
    waiting: int = 0
    spread: int = 0
    due: int = 0
    outlook: forecast.Outlook = forecast.Outlook()

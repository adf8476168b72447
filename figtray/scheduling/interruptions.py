"""Whether a lasting task may be ended while others of its step are away."""

from figtray.scheduling import scheduler_base
from figtray.scheduling import state


class Interruptions(scheduler_base.SchedulerBase):
    """Keeps the number of a step's lasting tasks that may be away at once."""

    def _can_interrupt(self, run):
        """Return whether a run may be stopped by a decision of ours now."""
        step = run.task.step
        if not step.spec.may_be_away:
            return True
        available = sum(
            1
            for task in step.tasks.known()
            if task.run is not run and _is_available(task.run)
        )
        unavailable = len(step.tasks) - 1 - available
        return unavailable < step.spec.may_be_away


def _is_available(run):
    """Return whether a lasting task works at full speed and is reachable."""
    return (
        run is not None
        and run.phase == state.Phase.RUNNING
        and run.full_speed_since_ms is not None
        and not run.worker_state.unresponsive
        and run.worker_state.listed
    )

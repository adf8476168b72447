"""Jobs as their callers see them, and violations of promises."""

import dataclasses

from figtray.soak import crash_loops
from figtray.soak import deadly


@dataclasses.dataclass(frozen=True)
class Violation:
    """Violation of an invariant.

    Attributes:
        promise: name of the invariant.
        at_ms: time since the start of the soak in milliseconds.
        detail: task, job or value that violated it.
    """

    promise: str
    at_ms: int
    detail: str


@dataclasses.dataclass
class Job:
    """A job as its caller knows it.

    Attributes:
        steps: the submitted steps.
        attempted: whether a submission may have arrived.
        refused: whether all submissions were rejected.
        accepted_ms: time of the acceptance, or None.
        cancel_ms: time of the first request to cancel the job, or None.
        cancelled_ms: time at which that was acknowledged, or None.
        state: state in the last response.
    """

    steps: list
    attempted: bool = False
    refused: bool = False
    accepted_ms: int | None = None
    cancel_ms: int | None = None
    cancelled_ms: int | None = None
    state: str = ''

    @property
    def lasting(self):
        """Whether its tasks run until it is cancelled."""
        return any(step.get('long_running') for step in self.steps)

    @property
    def deadly(self):
        """Whether its tasks crash their workers."""
        return any(step.get('image') == deadly.IMAGE for step in self.steps)

    @property
    def slow(self):
        """Whether the runs of its tasks take seconds."""
        estimate_ms = crash_loops.SLOW_ESTIMATE_MS
        return any(
            step.get('estimate_ms') == estimate_ms for step in self.steps
        )

    @property
    def is_owed(self):
        """Whether it was accepted, can be done and isn't to be cancelled."""
        return (
            self.accepted_ms is not None
            and self.cancel_ms is None
            and not self.deadly
        )

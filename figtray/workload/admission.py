"""Decisions on what to admit while room is short.

The leader knows the work that waits and the room that serves it. While those
who came last would have to wait for longer than their results are of use, it
publishes which share of each team's jobs is admitted. The nodes that take
submissions admit by these shares, and refuse the others before anything is
stored.
"""

import collections.abc
import dataclasses
import math

# Longest wait of a start for the leader itself before it counts as short of
# room.
LEADER_WAIT_MS = 3000
# Ratios of the expected wait to the longest useful one. Above the first,
# teams over their rates are held to them; above the second, the shares of
# all teams are cut.
SHORT_AT = 1.0
VERY_SHORT_AT = 2.0
# Ratio below which no more jobs of a queue are refused.
CALM_AT = 0.5
# Consecutive assessments that find room short before any job is refused: a
# burst may be over by then, and hosts may have come. More hosts are no help
# for a leader that is behind with its starts.
SHORT_IN_A_ROW = 6
LEADER_SHORT_IN_A_ROW = 3
# Shares are multiples of this, so that they change rarely. It is also the
# smallest one: each kind of job keeps its part.
SHARE_STEP = 0.05
# Shares are quotients; what they lack by rounding, as a part of a step.
ROUNDING_STEPS = 0.05
# Credit that a job needs which was refused before; a new one needs 1.
RETURN_CREDIT = 0.5
MAX_RETRY_AFTER_S = 10
# Refused callers come back in groups, one after another.
RETURN_GROUPS = 4


@dataclasses.dataclass(frozen=True)
class TeamLoad:
    """What a team submits to all queues.

    Attributes:
        per_s: jobs a second.
        weight: jobs a second to which it is entitled.
    """

    per_s: float
    weight: float


@dataclasses.dataclass(frozen=True)
class QueueLoad:
    """Load of a queue.

    Attributes:
        wait_ms: expected wait of a job that comes now.
        useful_ms: longest wait after which its result is of use.
        teams: the TeamLoad of each team by name.
    """

    wait_ms: float
    useful_ms: float
    teams: collections.abc.Mapping[str, TeamLoad]


@dataclasses.dataclass(frozen=True)
class QueueState:
    """Which jobs of a queue are admitted.

    Attributes:
        wait_s: time until room is expected.
        others: share of the jobs of the teams that are not named.
        shares: share of the jobs of the other teams by name.
    """

    wait_s: int
    others: float
    shares: collections.abc.Mapping[str, float]


def assess(loads, leader_wait_ms, short_before):
    """Return the QueueState of each queue whose room is short.

    Args:
        loads: the QueueLoad of each queue by name.
        leader_wait_ms: age of the oldest start that the leader has not sent.
        short_before: names of the queues whose room was short before.
    """
    leader_pressure = leader_wait_ms / LEADER_WAIT_MS
    states = {}
    for name, load in loads.items():
        pressure = max(load.wait_ms / max(1, load.useful_ms), leader_pressure)
        limit = CALM_AT if name in short_before else SHORT_AT
        if pressure > limit:
            wait_ms = max(load.wait_ms, leader_wait_ms)
            states[name] = _queue_state(load, pressure, wait_ms)
    return states


def _queue_state(load, pressure, wait_ms):
    # The teams within their rates go on unless holding the others to theirs
    # doesn't suffice.
    everyone = min(1.0, VERY_SHORT_AT / pressure)
    shares = {
        name: _rounded(everyone * team.weight / team.per_s)
        for name, team in load.teams.items()
        if team.per_s > team.weight
    }
    return QueueState(
        wait_s=_coarse(math.ceil(wait_ms / 1000)),
        others=_rounded(everyone),
        shares=shares,
    )


def _coarse(seconds):
    """Return the next power of two, so that the record changes rarely."""
    return 1 << max(0, seconds - 1).bit_length()


def rounds_needed(leader_wait_ms):
    """Return how many assessments must find room short in a row."""
    if leader_wait_ms > LEADER_WAIT_MS:
        return LEADER_SHORT_IN_A_ROW
    return SHORT_IN_A_ROW


def _rounded(share):
    steps = math.floor(share / SHARE_STEP + ROUNDING_STEPS)
    return round(max(1, steps) * SHARE_STEP, 2)


@dataclasses.dataclass(frozen=True)
class Decision:
    """Whether a job is admitted.

    Attributes:
        admitted: whether it is.
        credit: credit of its kind afterwards.
    """

    admitted: bool
    credit: float


def decide(state, team, credit, came_back):
    """Decide on one submission.

    Each kind of job gathers credit by the share of its team with each job,
    and spends one on each that is admitted. So the share is kept for each
    kind, and no luck decides.

    Args:
        state: the QueueState; None if room is not short.
        team: name of the team.
        credit: credit of its kind before.
        came_back: whether it was refused before.
    """
    if state is None:
        return Decision(True, 0.0)
    share = state.shares.get(team, state.others)
    credit += share
    needed = RETURN_CREDIT if came_back else 1.0
    # Sums of shares are rounded.
    if credit + SHARE_STEP / 2 >= needed:
        return Decision(True, credit - 1.0)
    return Decision(False, credit)


def retry_after_s(state, refused):
    """Return when a refused caller should come back, in seconds.

    Args:
        state: the QueueState.
        refused: number of callers that were refused before.
    """
    latest_s = MAX_RETRY_AFTER_S - RETURN_GROUPS + 1
    expected_s = min(max(1, state.wait_s // 2), latest_s)
    return expected_s + refused % RETURN_GROUPS

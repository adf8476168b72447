"""Input and output of the capacity planner."""

import dataclasses
import enum

from figtray.configuration import resources

BASE_INTERVAL_MS = 10_000
# Weights change the hysteresis by at most this factor either way: beyond
# it, no peak of some seconds would be followed, or every one would be.
MAX_HYSTERESIS_FACTOR = 1.5


class Reason(enum.Enum):
    """Why an action is taken; the order is the order of charging."""

    ZONE_OUT = 'zone_out'
    LEAVING = 'leaving'
    GUARANTEE = 'guarantee'
    OPERATOR = 'operator'
    PEAK = 'peak'
    MAINTENANCE = 'maintenance'
    DRAINED = 'drained'
    RETURN = 'return'
    REBOOTED = 'rebooted'
    NOT_REBOOTED = 'not_rebooted'


# The platform or an operator already took these hosts out of use, so a
# budget can't forbid the drain that follows.
FORCED = frozenset({Reason.ZONE_OUT, Reason.LEAVING})


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """What the planner knows of a host."""

    name: str
    zone: str
    rack: str
    pool: str
    slots: int
    state: resources.HostState = resources.HostState.SERVING
    wanted_pool: str = ''
    maintained_at_s: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolView:
    """A pool with its guarantee and its demand in slots.

    `demand` is smoothed over the hysteresis interval; `held` is the highest
    demand within it, which the pool keeps when others ask for its hosts.
    """

    name: str
    min_slots: int = 0
    spare: bool = False
    demand: float = 0.0
    held: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Thresholds:
    """Limits that the planner derives from the policy of a deployment."""

    interval_ms: int = BASE_INTERVAL_MS
    pay_factor: float = 1.0
    period_s: int = resources.FIVE_WEEKS_MS // 1000
    paused: bool = False
    hastened: bool = False
    # Hosts of a returning zone are taken back into use in this many steps.
    return_steps: int = 4
    return_step_ms: int = 5_000


@dataclasses.dataclass(frozen=True)
class Situation:
    """Everything that a plan depends on.

    `drained` are hosts without a running task whose drain is in force
    everywhere; for those that are `lagging`, the last report may not show
    the last start yet. `rebooted` came back from maintenance; `stuck` did
    not in the time that reboots take; `not_rebooted` are up, but no reboot
    was seen. `returned_ms` has the zones that came back into service with
    the time of the last step of each.
    """

    hosts: tuple[HostView, ...]
    pools: tuple[PoolView, ...]
    zones_out: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    drained: frozenset[str] = frozenset()
    lagging: frozenset[str] = frozenset()
    rebooted: frozenset[str] = frozenset()
    stuck: frozenset[str] = frozenset()
    not_rebooted: frozenset[str] = frozenset()
    thresholds: Thresholds = Thresholds()
    now_ms: int = 0
    wall_s: int = 0
    drain_ms: int = 5_000
    maintenance_ms: int = 300_000
    returned_ms: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StartDrain:
    """Stop giving work to a host; `pool` is the pool that it serves."""

    host: str
    pool: str
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Free a drained host for another pool."""

    host: str
    reason: Reason = Reason.DRAINED


@dataclasses.dataclass(frozen=True, slots=True)
class Assign:
    """Let a released host serve a pool."""

    host: str
    pool: str
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class StartMaintenance:
    """Hand a drained host over for its reboot."""

    host: str
    reason: Reason = Reason.MAINTENANCE


@dataclasses.dataclass(frozen=True, slots=True)
class EndMaintenance:
    """Take a host back into its pool; `done` sets its maintenance time."""

    host: str
    done: bool
    reason: Reason = Reason.REBOOTED


@dataclasses.dataclass(frozen=True, slots=True)
class Charges:
    """Hosts charged to the budgets, in the order of charging.

    `left` is the number of further hosts that may be out of use while the
    loss of any one zone or rack is still covered; below 0 it is broken.
    """

    failed: int = 0
    lost_zones: int = 0
    drains: int = 0
    moves: int = 0
    maintenance: int = 0
    left: int = 0


@dataclasses.dataclass(frozen=True)
class Forecast:
    """State of the maintenance wave and what can't be covered.

    `end_s` is the estimated end of the wave in seconds since the epoch, or
    None if nothing is due. `blocked` tells why no host is started.
    """

    due: int = 0
    in_maintenance: int = 0
    stuck: int = 0
    end_s: int | None = None
    blocked: str = ''
    uncovered: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True)
class Plan:
    """Actions in the order in which they are to be taken."""

    actions: tuple
    charges: Charges
    forecast: Forecast


def make_thresholds(policy, outage=False):
    """Derive the thresholds from a policy.

    An operator who weighs moves most gets a longer interval and moves that
    must pay more; one who weighs outage work and share most gets hosts lent
    more quickly. The pay factor grows with the square of the interval's
    factor, because the gain is counted over the interval; it is at least 1,
    as every move has to pay for its drain. While a zone is out of service,
    lending is quick whatever the weights: there is little slack to absorb a
    peak, and work lost in an outage is not made up.

    Args:
        policy: the resources.Policy.
        outage: True while a zone is out of service.

    Returns:
        The Thresholds.
    """
    weights = policy.weights
    quick = max(weights.outage_work + weights.share, 1) / 2
    factor = max(weights.moves, 0.5) / quick
    if outage:
        factor = 0
    factor = min(max(factor, 1 / MAX_HYSTERESIS_FACTOR), MAX_HYSTERESIS_FACTOR)
    return Thresholds(
        interval_ms=round(BASE_INTERVAL_MS * factor),
        pay_factor=max(factor**2, 1.0),
        period_s=policy.maintenance_period_ms // 1000,
        paused=policy.maintenance_paused,
        hastened=policy.maintenance_hastened,
    )

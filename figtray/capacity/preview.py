"""Previews what a change of the configuration would move."""

import dataclasses

from figtray.capacity import budget
from figtray.capacity import model
from figtray.capacity import planner
from figtray.capacity import situation as situation_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib


@dataclasses.dataclass(frozen=True)
class Move:
    """One host that would stop serving its pool."""

    host: str
    pool: str
    reason: str


@dataclasses.dataclass(frozen=True)
class Preview:
    """Effect of a change.

    `buffer_hosts` is how much less cover the change leaves, `left` what then
    remains; `broken` names the budgets that it would break. `duration_ms`
    is the expected time until the first plan after it is carried out;
    `later` tells that further plans would follow.
    """

    moves: tuple[Move, ...]
    buffer_hosts: int
    left: int
    broken: tuple[str, ...]
    duration_ms: int
    later: bool
    forecast: model.Forecast


def preview(snapshot, items, observation):
    """Compare the plans without and with a change; nothing is written.

    Args:
        snapshot: the current configuration Snapshot.
        items: the changed snapshot.Items; without any, the moves are those
            that are planned already.
        observation: the situation.Observation.

    Returns:
        The Preview.
    """
    change = snapshot_lib.make_change(
        snapshot.deployment, snapshot.mark, 'preview', items
    )
    before = situation_lib.make_situation(snapshot, observation)
    after = situation_lib.make_situation(snapshot.apply(change), observation)
    old_ledger, new_ledger = budget.Ledger(before), budget.Ledger(after)
    old_drains = _drains(planner.plan(before)) if items else set()
    new_plan = planner.plan(after)
    moves = tuple(
        Move(action.host, action.pool, action.reason.value)
        for action in _drains(new_plan) - old_drains
    )
    return Preview(
        moves=tuple(sorted(moves, key=lambda move: move.host)),
        buffer_hosts=old_ledger.headroom - new_ledger.headroom,
        left=new_ledger.headroom,
        broken=tuple(_broken(after, new_ledger)),
        duration_ms=_duration_ms(moves, after),
        later=bool(_waiting(after)) or bool(new_plan.forecast.blocked),
        forecast=new_plan.forecast,
    )


def _drains(plan):
    return {
        action
        for action in plan.actions
        if isinstance(action, model.StartDrain)
    }


def _broken(situation, ledger):
    for pool in situation.pools:
        missing = -ledger.surplus(pool.name)
        if missing > 0:
            yield f'pool {pool.name} lacks {missing} slots now'
    if ledger.headroom < 0:
        cause = 'now' if ledger.zone_lost else 'after a zone or rack is lost'
        yield f'{-ledger.headroom} hosts are lacking {cause}'


def _duration_ms(moves, situation):
    if not moves:
        return 0
    maintained = any(
        move.reason == model.Reason.MAINTENANCE.value for move in moves
    )
    return situation.drain_ms + maintained * situation.maintenance_ms


def _waiting(situation):
    """Return the hosts that operators want in another pool."""
    return [
        host
        for host in situation.hosts
        if host.wanted_pool not in ('', host.pool)
        and host.state is resources.HostState.SERVING
    ]

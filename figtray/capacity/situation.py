"""Builds the planner's input from configuration and observations."""

import dataclasses

from figtray.capacity import model
from figtray.configuration import resources


@dataclasses.dataclass(frozen=True)
class Observation:
    """What is seen of the hosts, beside the configuration.

    The fields have the meaning of those of model.Situation. `drained`,
    `rebooted` and `not_rebooted` map a host to the version of its record
    that was judged, because the judgement ends with the next change.
    `demand` maps a pool to (smoothed, held) slots.
    """

    failed: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    drained: dict = dataclasses.field(default_factory=dict)
    rebooted: dict = dataclasses.field(default_factory=dict)
    not_rebooted: dict = dataclasses.field(default_factory=dict)
    stuck: frozenset[str] = frozenset()
    lagging: frozenset[str] = frozenset()
    demand: dict = dataclasses.field(default_factory=dict)
    now_ms: int = 0
    wall_s: int = 0
    drain_ms: int = 5_000
    maintenance_ms: int = 300_000
    returned_ms: tuple[tuple[str, int], ...] = ()


def make_situation(snapshot, observation):
    """Combine a configuration with what is seen of its hosts.

    Args:
        snapshot: the configuration Snapshot.
        observation: the Observation.

    Returns:
        The model.Situation.
    """
    zones = snapshot.specs(resources.Kind.ZONE)
    hosts = snapshot.specs(resources.Kind.HOST)
    seen = {
        field.name: getattr(observation, field.name)
        for field in dataclasses.fields(observation)
        if field.name != 'demand'
    }
    zones_out = frozenset(
        name for name, spec in zones.items() if not spec.in_service
    )
    for name in ('drained', 'rebooted', 'not_rebooted'):
        seen[name] = _still_valid(snapshot, seen[name])
    return model.Situation(
        hosts=tuple(make_host(name, spec) for name, spec in hosts.items()),
        pools=tuple(
            _make_pool(name, spec, observation.demand)
            for name, spec in snapshot.specs(resources.Kind.POOL).items()
        ),
        zones_out=zones_out,
        thresholds=model.make_thresholds(snapshot.policy, bool(zones_out)),
        **seen,
    )


def _still_valid(snapshot, versions):
    """Return the hosts whose record still has the judged version."""
    items = {
        name: snapshot.item(resources.Kind.HOST, name) for name in versions
    }
    return frozenset(
        name
        for name, item in items.items()
        if item is not None and item.version == versions[name]
    )


def make_host(name, spec):
    """Return the model.HostView of a host's specification."""
    return model.HostView(
        name=name,
        zone=spec.zone,
        rack=spec.rack,
        pool=spec.pool,
        slots=spec.slots,
        state=spec.state,
        wanted_pool=spec.wanted_pool,
        maintained_at_s=spec.maintained_at_s,
    )


def _make_pool(name, spec, demand):
    smoothed, held = demand.get(name, (0.0, 0.0))
    return model.PoolView(
        name=name,
        min_slots=spec.min_slots,
        spare=spec.spare,
        demand=smoothed,
        held=held,
    )

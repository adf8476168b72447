"""Review of a configuration: references, dead entries and contradictions."""

import collections
import dataclasses
import enum
import math

from figtray.configuration import resources

# Characters that a path has only if its client escapes them: the first two
# end the path, and the third begins an escape.
_ESCAPED_IN_PATHS = '?#%'


class Severity(str, enum.Enum):
    """How serious a Finding is."""

    # The configuration is refused.
    ERROR = 'error'
    # It is accepted, and a part of it can't have its effect.
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem of one resource.

    Attributes:
        severity: the Severity.
        kind: the resources.Kind.
        name: name of the resource.
        field: the field that has the problem; empty for the whole resource.
        problem: what is wrong, and what follows from it.
    """

    severity: Severity
    kind: resources.Kind
    name: str
    field: str
    problem: str


def review(specs, upkeep_ms):
    """Yield the Findings of a whole configuration.

    Args:
        specs: mapping of (resources.Kind, name) to specifications.
        upkeep_ms: duration of the upkeep of one host in milliseconds.
    """
    by_kind = collections.defaultdict(dict)
    for (kind, name), spec in sorted(specs.items()):
        by_kind[kind][name] = spec
    yield from _missing_references(specs)
    yield from _unreachable_queues(by_kind[resources.Kind.QUEUE])
    yield from _idle_pools(by_kind)
    yield from _closed_zones(by_kind[resources.Kind.ZONE])
    for name, queue in by_kind[resources.Kind.QUEUE].items():
        yield from _queue_limits(name, queue)
    for name, team in by_kind[resources.Kind.TEAM].items():
        yield from _team_limits(name, team)
    for name, wave in by_kind[resources.Kind.WAVE].items():
        yield from _wave_limits(name, wave, upkeep_ms)


def _warning(kind, name, field, problem):
    return Finding(Severity.WARNING, kind, name, field, problem)


def _missing_references(specs):
    for (kind, name), spec in sorted(specs.items()):
        for field, other_kind, other in resources.references(spec):
            if (other_kind, other) not in specs:
                yield Finding(
                    Severity.ERROR,
                    kind,
                    name,
                    field,
                    f'{other_kind.value}/{other} does not exist',
                )


def _unreachable_queues(queues):
    """Yield the queues that no request can reach."""
    first_at = {}
    for name, queue in queues.items():
        first = first_at.setdefault((queue.host, queue.prefix), name)
        if first != name:
            yield _warning(
                resources.Kind.QUEUE,
                name,
                'prefix',
                f'queues/{first} has the same host and prefix, and only one '
                'of them gets the requests',
            )
        found = [char for char in _ESCAPED_IN_PATHS if char in queue.prefix]
        if found:
            yield _warning(
                resources.Kind.QUEUE,
                name,
                'prefix',
                f'it matches only paths in which "{found[0]}" is escaped',
            )
        if queue.host != queue.host.lower():
            yield _warning(
                resources.Kind.QUEUE,
                name,
                'host',
                'it is compared letter by letter, and most clients send '
                'lower case',
            )


def _idle_pools(by_kind):
    """Yield pools without use, and queues whose pool runs nothing."""
    queues = by_kind[resources.Kind.QUEUE]
    pools = by_kind[resources.Kind.POOL]
    used = {queue.pool for queue in queues.values()}
    spare = [name for name, pool in pools.items() if pool.spare]
    for name, queue in queues.items():
        if queue.pool in spare:
            yield _warning(
                resources.Kind.QUEUE,
                name,
                'pool',
                f'pools/{queue.pool} is a spare pool, whose hosts are off',
            )
    for name in pools:
        if name not in used and name not in spare:
            yield _warning(
                resources.Kind.POOL,
                name,
                '',
                'no queue names it, so its hosts get no work',
            )
    for name in spare[1:]:
        yield _warning(
            resources.Kind.POOL,
            name,
            'spare',
            f'hosts move to and from pools/{spare[0]} only, the first spare '
            'pool by name',
        )


def _closed_zones(zones):
    if zones and not any(zone.in_service for zone in zones.values()):
        for name in zones:
            yield _warning(
                resources.Kind.ZONE,
                name,
                'in_service',
                'all zones that are named are out of service, so tasks start '
                'only in others that have workers',
            )


def _queue_limits(name, queue):
    if not queue.slack_ms and queue.stretch < 1:
        yield _warning(
            resources.Kind.QUEUE,
            name,
            'stretch',
            'with less than 1 and without slack_ms, each job is late however '
            'soon it starts',
        )
    advice = queue.advice
    if advice and advice.valid_ms <= advice.decide_ms + advice.each_ms:
        yield _warning(
            resources.Kind.QUEUE,
            name,
            'advice.valid_ms',
            'a ticket may lapse before the call that returns it ends, so '
            'that starts are refused',
        )


def _team_limits(name, team):
    if not team.weight:
        yield _warning(
            resources.Kind.TEAM,
            name,
            'weight',
            'with 0, all but its first job start after those of other teams '
            'in their queue',
        )


def _wave_limits(name, wave, upkeep_ms):
    hosts = set(wave.hosts)
    if len(hosts) < len(wave.hosts):
        yield _warning(
            resources.Kind.WAVE,
            name,
            'hosts',
            'a host that is named twice has one upkeep',
        )
    if wave.max_down > len(hosts):
        yield _warning(
            resources.Kind.WAVE,
            name,
            'max_down',
            f'it allows more hosts than the wave has ({len(hosts)}), so all '
            'of them may be down at once',
        )
    needed_ms = math.ceil(len(hosts) / wave.max_down) * upkeep_ms
    if needed_ms > wave.duration_ms:
        yield _warning(
            resources.Kind.WAVE,
            name,
            'duration_ms',
            f'{len(hosts)} hosts, {wave.max_down} at a time, take '
            f'{needed_ms} ms',
        )

"""Specifications of the operators' resources and their validation."""

import enum
import re
import types

import msgspec

from figtray import errors

MAX_NAME_LENGTH = 63
MAX_LIMIT = 1_000_000_000
MAX_WEIGHT = 10_000
MAX_ATTEMPTS = 1000
MAX_STRETCH = 1000
MAX_HOSTS = 100_000
DAY_MS = 24 * 3600 * 1000

_NAME = re.compile(r'[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?\Z')
_PREFIX = re.compile(r'/[!-~]*\Z')


class Kind(str, enum.Enum):
    """Kinds of resources; the value is a path segment of the API."""

    ZONE = 'zones'
    POOL = 'pools'
    TEAM = 'teams'
    KEY = 'keys'
    QUEUE = 'queues'
    WAVE = 'waves'


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre; no task starts there while it is out of service."""

    in_service: bool = True


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of hosts.

    The hosts of a spare pool are off until they are moved to other pools.
    The workers of a pool that does not reject overload start every task
    that they are ordered to start.
    """

    spare: bool = False
    rejects_overload: bool = True


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team with its weight under contention and its quota.

    The quota limits the resources of the team's running tasks over all
    pools, in thousandths of a core, MB and accelerators; 0 means no limit.
    """

    weight: float = 1
    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A key of a team's callers; its secret is shown only on creation."""

    team: str


class Advice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Policy of a queue whose workers an adviser must approve.

    A call to the adviser takes `decide_ms`, plus `each_ms` for each worker in
    the call. The ticket of an approved worker is valid for `valid_ms`.
    """

    decide_ms: int
    each_ms: int
    valid_ms: int


class Queue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue: the host and path prefix that callers use, and its pool.

    An open queue accepts requests without a key. Priority 0 comes first. A
    job fails when one of its tasks has failed `attempts` times. It is on
    time if it takes at most `stretch` times its critical path, plus
    `slack_ms`.
    """

    host: str
    prefix: str
    pool: str
    open: bool = False
    priority: int = 0
    attempts: int = 1
    stretch: float = 1
    slack_ms: int = 0
    timeout_ms: int = 3000
    advice: Advice | None = None


class Wave(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hosts due for upkeep within a time, at most `max_down` at once."""

    hosts: tuple[str, ...]
    duration_ms: int
    max_down: int = 1


SPEC_TYPES = {
    Kind.ZONE: Zone,
    Kind.POOL: Pool,
    Kind.TEAM: Team,
    Kind.KEY: Key,
    Kind.QUEUE: Queue,
    Kind.WAVE: Wave,
}


def decode_spec(kind, data):
    """Decode a specification from plain data and check its fields.

    Args:
        kind: the Kind.
        data: mapping as decoded from JSON.

    Returns:
        The specification.

    Raises:
        ValidationFailed: a field is unknown, missing or out of range.
    """
    try:
        spec = msgspec.convert(data, SPEC_TYPES[kind])
    except msgspec.ValidationError as exc:
        raise _conversion_error(kind, data, str(exc)) from exc
    for field, value, is_allowed, allowed in _field_rules(spec):
        if not is_allowed:
            raise errors.ValidationFailed(
                field=field, value=value, allowed=allowed
            )
    return spec


def encode_spec(spec):
    """Encode a specification as plain data, with all its fields."""
    return msgspec.to_builtins(spec)


def check_name(kind, name):
    """Check the name of a resource.

    Raises:
        ValidationFailed: the name is empty, too long or has a character
            that is not allowed, or the name of a wave is not a number.
    """
    if len(name) > MAX_NAME_LENGTH or not _NAME.match(name):
        raise errors.ValidationFailed(
            field='name',
            value=name,
            allowed=f'1 to {MAX_NAME_LENGTH} of letters, digits and inner '
            '"-", "_", "."',
        )
    if kind is Kind.WAVE and not name.isdecimal():
        raise errors.ValidationFailed(
            field='name', value=name, allowed='the number of a wave'
        )


def references(spec):
    """Yield (field, kind, name) of each resource that a spec refers to."""
    match spec:
        case Key():
            yield 'team', Kind.TEAM, spec.team
        case Queue():
            yield 'pool', Kind.POOL, spec.pool


def _conversion_error(kind, data, problem):
    """Return the ValidationFailed for a msgspec error.

    msgspec names the field only in its message, as `... - at `$.a.b[1]``.
    """
    text, _, path = problem.partition(' - at `$')
    field = path.rstrip('`').lstrip('.')
    parent = SPEC_TYPES[kind]
    value = data
    for name in re.findall(r'\w+', field):
        value = value[int(name) if name.isdigit() else name]
        parent = _field_type(parent, name)
    if named := re.search(r'(unknown|required) field `(.*)`', text):
        missing = named[1] == 'required'
        known = ', '.join(parent.__struct_fields__)
        return errors.ValidationFailed(
            field='.'.join(filter(None, (field, named[2]))),
            value=None if missing else value[named[2]],
            allowed='a value' if missing else f'only the fields {known}',
        )
    allowed = text.removeprefix('Expected ')
    if text.startswith('Invalid enum value'):
        allowed = 'one of ' + ', '.join(item.value for item in parent)
    return errors.ValidationFailed(
        field=field or 'spec', value=value, allowed=allowed
    )


def _field_type(parent, name):
    """Return the type of a struct's field, without None if it is optional."""
    annotation = getattr(parent, '__annotations__', {}).get(name)
    if isinstance(annotation, types.UnionType):
        return annotation.__args__[0]
    return annotation


def _range_rule(field, value, low, high):
    return field, value, low <= value <= high, f'{low} to {high}'


def _field_rules(spec):
    """Yield (field, value, is allowed, allowed values) for a spec."""
    match spec:
        case Team():
            yield _range_rule('weight', spec.weight, 0, MAX_WEIGHT)
            for field in ('cpu_milli', 'memory_mb', 'gpus'):
                yield _range_rule(field, getattr(spec, field), 0, MAX_LIMIT)
        case Queue():
            yield (
                'host',
                spec.host,
                _NAME.match(spec.host) is not None,
                'a host name',
            )
            yield (
                'prefix',
                spec.prefix,
                _PREFIX.match(spec.prefix) is not None,
                'a path that begins with "/"',
            )
            yield _range_rule('priority', spec.priority, 0, MAX_WEIGHT)
            yield _range_rule('attempts', spec.attempts, 1, MAX_ATTEMPTS)
            yield _range_rule('stretch', spec.stretch, 0, MAX_STRETCH)
            yield _range_rule('slack_ms', spec.slack_ms, 0, DAY_MS)
            yield _range_rule('timeout_ms', spec.timeout_ms, 1, DAY_MS)
            if spec.advice:
                for field in ('decide_ms', 'each_ms', 'valid_ms'):
                    value = getattr(spec.advice, field)
                    yield _range_rule(f'advice.{field}', value, 0, DAY_MS)
        case Wave():
            yield (
                'hosts',
                len(spec.hosts),
                0 < len(spec.hosts) <= MAX_HOSTS,
                f'1 to {MAX_HOSTS} hosts',
            )
            yield _range_rule('duration_ms', spec.duration_ms, 1, 365 * DAY_MS)
            yield _range_rule('max_down', spec.max_down, 1, MAX_HOSTS)

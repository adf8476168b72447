"""Specifications of the operators' resources and their validation."""

import enum
import re

import msgspec

from figtray import errors

MAX_NAME_LENGTH = 63
MAX_SLOTS = 4096
MAX_LIMIT = 1_000_000
MAX_WEIGHT = 10_000
MAX_QUEUED = 1_000_000
MAX_RUN_MS = 24 * 3600 * 1000
DEFAULT_RUN_MS = 60_000
FIVE_WEEKS_MS = 35 * 24 * 3600 * 1000

_NAME = re.compile(r'[a-z0-9]([a-z0-9-]*[a-z0-9])?\Z')
_ADDRESS = re.compile(r'[0-9a-f.:\[\]]+:[0-9]{1,5}\Z')


class Kind(str, enum.Enum):
    """Kinds of resources; the value is the path segment of the API."""

    ZONE = 'zones'
    POOL = 'pools'
    HOST = 'hosts'
    TEAM = 'teams'
    KEY = 'keys'
    QUEUE = 'queues'
    POLICY = 'policy'


class HostState(str, enum.Enum):
    """Use of a host by its pool."""

    SERVING = 'serving'
    DRAINING = 'draining'
    RELEASED = 'released'
    MAINTENANCE = 'maintenance'


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre."""

    region: str = ''
    in_service: bool = True


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of hosts.

    `min_slots` is the guaranteed number of serving slots after the loss of
    any one zone or rack. The hosts of a spare pool are lent to others.
    """

    min_slots: int = 0
    spare: bool = False


class Host(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A host with the address of its worker.

    `pool` changes only while the state is `released`; `wanted_pool` is what
    operators ask for. `maintained_at_s` is in seconds since the epoch.
    """

    address: str
    zone: str
    rack: str
    pool: str
    slots: int = 8
    connections: int = 64
    accelerators: int = 0
    state: HostState = HostState.SERVING
    wanted_pool: str = ''
    maintained_at_s: int = 0


class Team(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A team with its share when all is full and its upper limit."""

    limit: int
    weight: int = 1


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A caller key of a team; only a hash of the secret is kept."""

    team: str
    hash: str
    withdrawn: bool = False


class Queue(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A queue of requests for one pool.

    An open queue takes requests without a key, on account of `open_team`.
    `teams` restricts a queue to some teams; empty admits all.
    """

    pool: str
    open: bool = False
    open_team: str = ''
    ordered: bool = False
    teams: tuple[str, ...] = ()
    max_queued: int = 10_000
    run_limit_ms: int = DEFAULT_RUN_MS


class Weights(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Relative importance of the four measures of a deployment."""

    outage_work: int = 1
    share: int = 1
    moves: int = 1
    roll_out: int = 1


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Deployment-wide policy."""

    weights: Weights = Weights()
    maintenance_period_ms: int = FIVE_WEEKS_MS
    maintenance_paused: bool = False
    maintenance_hastened: bool = False


SPEC_TYPES = {
    Kind.ZONE: Zone,
    Kind.POOL: Pool,
    Kind.HOST: Host,
    Kind.TEAM: Team,
    Kind.KEY: Key,
    Kind.QUEUE: Queue,
    Kind.POLICY: Policy,
}

POLICY_NAME = 'deployment'


def decode_spec(kind, data):
    """Build a typed specification from plain data and check its fields.

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
        raise _form_error(kind, data, str(exc)) from exc
    for field, value, is_allowed, allowed in _field_rules(spec):
        if not is_allowed:
            raise errors.ValidationFailed(
                field=field, value=value, allowed=allowed
            )
    return spec


def check_name(kind, name):
    """Check the name of a resource.

    Raises:
        ValidationFailed: the name has other characters or is too long.
    """
    if kind is Kind.POLICY and name != POLICY_NAME:
        raise errors.ValidationFailed(
            field='name', value=name, allowed=POLICY_NAME
        )
    if len(name) > MAX_NAME_LENGTH or not _NAME.match(name):
        raise errors.ValidationFailed(
            field='name',
            value=name,
            allowed=f'1 to {MAX_NAME_LENGTH} of a-z, 0-9 and inner "-"',
        )


def references(kind, spec):
    """Yield (field, kind, name) of each resource that a spec refers to."""
    match spec:
        case Host():
            yield 'zone', Kind.ZONE, spec.zone
            yield 'pool', Kind.POOL, spec.pool
            if spec.wanted_pool:
                yield 'wanted_pool', Kind.POOL, spec.wanted_pool
        case Key():
            yield 'team', Kind.TEAM, spec.team
        case Queue():
            yield 'pool', Kind.POOL, spec.pool
            if spec.open:
                yield 'open_team', Kind.TEAM, spec.open_team
            for team in spec.teams:
                yield 'teams', Kind.TEAM, team


def _form_error(kind, data, problem):
    """Return the ValidationFailed of a msgspec error.

    msgspec names the place only in its message, as `... - at `$.a.b[1]``.
    """
    text, _, path = problem.partition(' - at `$')
    field = path.rstrip('`').lstrip('.')
    parent = SPEC_TYPES[kind]
    value = data
    for name in re.findall(r'\w+', field):
        value = value[int(name) if name.isdigit() else name]
        if isinstance(parent, type) and hasattr(parent, '__annotations__'):
            parent = parent.__annotations__.get(name)
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


def _in_range(field, value, low, high):
    return field, value, low <= value <= high, f'{low} to {high}'


def _field_rules(spec):
    """Yield (field, value, is allowed, allowed values) of a spec."""
    match spec:
        case Pool():
            yield _in_range('min_slots', spec.min_slots, 0, MAX_LIMIT)
        case Host():
            yield (
                'address',
                spec.address,
                _ADDRESS.match(spec.address) is not None,
                'an IP number and port, such as 127.0.0.1:8080',
            )
            yield _in_range('slots', spec.slots, 1, MAX_SLOTS)
            yield _in_range('connections', spec.connections, 1, MAX_SLOTS)
            yield _in_range('accelerators', spec.accelerators, 0, MAX_SLOTS)
        case Team():
            yield _in_range('limit', spec.limit, 0, MAX_LIMIT)
            yield _in_range('weight', spec.weight, 1, MAX_WEIGHT)
        case Queue():
            yield _in_range('max_queued', spec.max_queued, 1, MAX_QUEUED)
            yield _in_range('run_limit_ms', spec.run_limit_ms, 1, MAX_RUN_MS)
            yield (
                'open_team',
                spec.open_team,
                spec.open == bool(spec.open_team),
                'a team exactly if the queue is open',
            )
        case Policy():
            yield _in_range(
                'maintenance_period_ms',
                spec.maintenance_period_ms,
                1000,
                10 * FIVE_WEEKS_MS,
            )

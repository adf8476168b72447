"""Documents that operators and workers write to the platform's store."""

import typing

import msgspec

from figtray import connections
from figtray import decoding
from figtray import errors
from figtray.fleet import model as fleet
from figtray.ingress import limits as ingress_limits
from figtray.jobs import model
from figtray.jobs import queues

OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
EVACUATE_PREFIX = 'op/evacuate/'
WAVE_PREFIX = 'op/wave/'
WAVE_STATUS_PREFIX = 'status/wave/'
WORKER_PREFIX = 'servers/'


# Far above any host; sums of very many entries are still exact as floats.
MAX_AMOUNT = 10**9
# Unix time in ms; larger numbers are not exact in all JSON decoders. It isn't
# compared with the reader's clock: one that is late would refuse all workers.
MAX_BORN_MS = 2**53 - 1
# A key has at most 200 bytes, so no name of a worker is longer.
MAX_NAME_CHARS = 200
MAX_LABELS = 100
# Of the other figures of operators; all sums and products of them are exact.
MAX_FIGURE = model.MAX_FIGURE
MAX_WAVE_HOSTS = 100_000

_Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Number = typing.Annotated[int, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]
_Figure = typing.Annotated[float, msgspec.Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]
# Some operators may write the largest integer for no limit.
_LimitAmount = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class Amounts(msgspec.Struct, frozen=True):
    """Amounts of resources in the platform's JSON."""

    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0

    def to_resources(self):
        """Return the model.Resources with the same amounts."""
        return model.Resources(self.cpu, self.mem_mb, self.gpu)


class _Advice(msgspec.Struct, frozen=True):
    decide_ms: _Number = 0
    each_ms: _Number = 0
    valid_ms: _Number = 0


class _Route(msgspec.Struct, frozen=True):
    """A queue; `service` names the pool of its workers."""

    name: str
    host: str
    prefix: str
    service: str
    public: bool = False
    priority: _Number = 0
    attempts: _Number = 1
    stretch: _Figure = 1.0
    # Not a limit of one call: added to the time after which a job is late;
    # see queues.Queue.slack_ms.
    target_latency_ms: _Number = 0
    timeout_ms: _Number = 3000
    advice: _Advice | None = None


class _Service(msgspec.Struct, frozen=True):
    """A pool of workers."""

    name: str
    spare: bool = False
    rejects_overload: bool = True


class _Limit(Amounts, frozen=True):
    """Amounts that a team may use."""

    cpu: _LimitAmount = 0
    mem_mb: _LimitAmount = 0
    gpu: _LimitAmount = 0


class _Tenant(msgspec.Struct, frozen=True):
    """A team."""

    name: str
    api_keys: tuple[str, ...] = ()
    weight: _Figure = 1
    # Limit of all of the team's running tasks together, not of a single one.
    maximum: _Limit = _Limit()


class _RequestLimits(msgspec.Struct, frozen=True):
    """Limits of callers' requests; 0 = none."""

    max_header_bytes: _Amount = 0
    max_body_bytes: _Amount = 0
    header_timeout_ms: _Amount = 0
    idle_timeout_ms: _Amount = 0


class _Config(msgspec.Struct, frozen=True):
    version: typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: msgspec.Raw = msgspec.Raw(b'{}')


class _Wave(msgspec.Struct, frozen=True):
    wave: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_FIGURE)]
    machines: typing.Annotated[
        tuple[str, ...], msgspec.Meta(max_length=MAX_WAVE_HOSTS)
    ] = ()
    duration_s: typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_FIGURE)] = 0
    maximum: _Amount = 1  # most hosts that may be down at once


class _Capacity(Amounts, frozen=True):
    """Amounts that a worker says it has."""

    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _WorkerEntry(msgspec.Struct, frozen=True):
    """A worker's entry; `service` names its pool, `machine` its host."""

    service: _Name
    address: _Name
    zone: _Name
    state: _Name
    born: typing.Annotated[int, msgspec.Meta(gt=0, le=MAX_BORN_MS)]
    capacity: _Capacity
    labels: typing.Annotated[
        tuple[_Name, ...], msgspec.Meta(max_length=MAX_LABELS)
    ] = ()
    machine: _Name = ''


_limits_decoder = msgspec.json.Decoder(_RequestLimits)
_config_decoder = msgspec.json.Decoder(_Config)
_wave_decoder = msgspec.json.Decoder(_Wave)
_worker_decoder = msgspec.json.Decoder(_WorkerEntry)


def decode_config(data):
    """Return the queues.Config of an operator's document.

    Raises:
        UnreadableMessage: the document is malformed, or has a missing or
            wrong field.
    """
    doc = decoding.decode('configuration', _config_decoder, data)
    return queues.Config(
        doc.version,
        [_build_queue(route) for route in doc.routes],
        [
            queues.Pool(item.name, item.spare, item.rejects_overload)
            for item in doc.services
        ],
        [
            queues.Team(
                item.name,
                item.weight,
                item.maximum.to_resources(),
                frozenset(item.api_keys),
            )
            for item in doc.tenants
        ],
        _build_request_limits(doc.limits),
    )


def decode_wave(data):
    """Return the fleet Wave of an operator's document.

    Raises:
        UnreadableMessage: the document is malformed, or has a missing or
            wrong field.
    """
    doc = decoding.decode('wave', _wave_decoder, data)
    return fleet.Wave(
        # A host that is named twice has one upkeep.
        doc.wave,
        tuple(dict.fromkeys(doc.machines)),
        int(doc.duration_s * 1000),
        doc.maximum,
    )


def encode_wave_status(completed):
    """Return the document that shows operators the state of a wave."""
    state = 'completed' if completed else 'running'
    return msgspec.json.encode({'state': state})


def decode_worker(key, data, pools):
    """Return the fleet Worker of an entry in the store.

    Args:
        key: key of the entry.
        data: its value.
        pools: names of the configured pools; None allows any pool.

    Raises:
        UnreadableMessage: the entry is malformed, has a missing or wrong
            field, or an id that can't be sent, or it names an unknown state
            or pool, or an address that can't be called.
    """
    entry = decoding.decode(key, _worker_decoder, data)
    if entry.state not in ('ready', 'draining'):
        raise decoding.unreadable(key, f'unknown state {entry.state!r}')
    if pools is not None and entry.service not in pools:
        raise decoding.unreadable(key, f'unknown pool {entry.service!r}')
    worker_id = key.removeprefix(WORKER_PREFIX)
    # Orders carry it in a header.
    if not (worker_id.isascii() and worker_id.isprintable() and worker_id):
        raise decoding.unreadable(key, f'id {worker_id!r} is not ASCII text')
    try:
        connections.check_ip_address(entry.address)
    except ValueError as exc:
        raise decoding.unreadable(key, f'address: {exc}') from exc
    return fleet.Worker(
        worker_id=worker_id,
        born_ms=entry.born,
        address=entry.address,
        pool=entry.service,
        zone=entry.zone,
        labels=entry.labels,
        capacity=entry.capacity.to_resources(),
        draining=entry.state == 'draining',
        host_id=entry.machine,
    )


def _build_request_limits(data):
    """Return the RequestLimits; odd ones count as none, as without any."""
    try:
        limits = decoding.decode('limits', _limits_decoder, data)
    except errors.UnreadableMessage:
        limits = _RequestLimits()
    return ingress_limits.RequestLimits(**msgspec.structs.asdict(limits))


def _build_queue(route):
    advice = None
    if route.advice is not None:
        advice = queues.AdvicePolicy(
            route.advice.decide_ms,
            route.advice.each_ms,
            route.advice.valid_ms,
        )
    return queues.Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        pool=route.service,
        open=route.public,
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        slack_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms,
        advice=advice,
    )

"""Settings of the programs; every bound carries its unit in its name."""

import ipaddress
import re
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_SLOTS = 64
DAY_MS = 24 * 3600 * 1000
# With 2500 ms of freshness, one lost heartbeat must not cost the right to
# serve, so two must fit in it.
MAX_HEARTBEAT_MS = 1200
KIB = 1024
MIB = 1024 * KIB

LOG_LEVELS = ('debug', 'info', 'notice', 'warning', 'error', 'critical')
STDERR = 'stderr'

_NAME = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z')
_SHA256 = re.compile(r'[0-9a-f]{64}\Z')
_NAME_ALLOWED = '1 to 63 of a-z, 0-9 and inner "-"'
_ADDRESS_ALLOWED = 'an IP number and port, such as 127.0.0.1:8080'
_LISTEN_ALLOWED = f'{_ADDRESS_ALLOWED}; port 0 takes any free port'

CallMs = Annotated[int, Meta(ge=1, le=60_000)]
SpanMs = Annotated[int, Meta(ge=1, le=DAY_MS)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Threads = Annotated[int, Meta(ge=1, le=1024)]
Percent = Annotated[int, Meta(ge=0, le=100)]


def split_address(address):
    """Split an address into IP number and port.

    Args:
        address: `IP:port`; an IPv6 number is in brackets.

    Returns:
        (IP number as text, port).

    Raises:
        ValueError: the text is not an address.
    """
    host, colon, port = address.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    ipaddress.ip_address(host)
    if not colon or not re.match(r'[0-9]{1,5}\Z', port) or int(port) > 65535:
        raise ValueError(address)
    return host, int(port)


def is_sha256(text):
    """Tell whether a text is a SHA-256 in lower-case hexadecimal."""
    return _SHA256.match(text) is not None


def _is_address(address, min_port=1):
    try:
        return split_address(address)[1] >= min_port
    except ValueError:
        return False


def _address_rule(field, value):
    return field, value, _is_address(value), _ADDRESS_ALLOWED


def _listen_rule(field, value):
    return field, value, _is_address(value, 0), _LISTEN_ALLOWED


def _name_rule(field, value):
    return field, value, _NAME.match(value) is not None, _NAME_ALLOWED


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings; refuses fields it does not know."""

    def rules(self):
        """Yield (field, value, is allowed, allowed values)."""
        return ()


class EntrySlot(Part, frozen=True):
    """One entry slot and the address of its peer protocol.

    Attributes:
        slot: name of the slot, such as entry-1
        address: IP number and port of its peer protocol
    """

    slot: str
    address: str

    def rules(self):
        yield _name_rule('slot', self.slot)
        yield _address_rule('address', self.address)


class StoreSettings(Part, frozen=True):
    """The platform's key-value service.

    Attributes:
        endpoints: IP number and port of each endpoint
        timeout_ms: longest wait for an answer
    """

    endpoints: Annotated[tuple[str, ...], Meta(min_length=1, max_length=16)]
    timeout_ms: CallMs = 2000

    def rules(self):
        for index, endpoint in enumerate(self.endpoints):
            yield _address_rule(f'endpoints[{index}]', endpoint)


class HostListSettings(Part, frozen=True):
    """The platform's host list.

    Attributes:
        address: IP number and port
        timeout_ms: longest wait for an answer
        poll_ms: interval between two reads
    """

    address: str
    timeout_ms: CallMs = 1000
    poll_ms: CallMs = 1000

    def rules(self):
        yield _address_rule('address', self.address)


class LogSettings(Part, frozen=True):
    """Lowest level that is logged, and `stderr` or a file to log to.

    Attributes:
        level: lowest level that is logged: debug, info, notice, warning,
            error, critical
        destination: `stderr`, or a file, which is reopened when it was renamed
    """

    level: str = 'info'
    destination: str = STDERR

    def rules(self):
        yield (
            'level',
            self.level,
            self.level in LOG_LEVELS,
            f'one of {", ".join(LOG_LEVELS)}',
        )
        yield (
            'destination',
            self.destination,
            bool(self.destination),
            f'{STDERR} or a file name',
        )


class MetricsSettings(Part, frozen=True):
    """Push of metrics over OTLP/HTTP; without an endpoint only the page.

    Attributes:
        otlp_endpoint: URL to push to, such as
            http://127.0.0.1:4318/v1/metrics; empty pushes nothing
        export_interval_ms: interval between two pushes
        max_teams: teams with series of their own; further ones are counted as
            `other`
    """

    otlp_endpoint: str = ''
    export_interval_ms: Annotated[int, Meta(ge=1000, le=600_000)] = 10_000
    max_teams: Annotated[int, Meta(ge=1, le=1000)] = 100

    def rules(self):
        yield (
            'otlp_endpoint',
            self.otlp_endpoint,
            not self.otlp_endpoint
            or self.otlp_endpoint.startswith(('http://', 'https://')),
            'an http or https URL, or nothing',
        )


class Common(Part, frozen=True, kw_only=True):
    """Settings that every program has.

    Attributes:
        deployment: name of the deployment; part of every key in the store
        zone: zone of this process
        entries: all entry slots; the same list for every process of the
            deployment
        store: the platform's key-value service
        host_list: the platform's host list
        log: log output
        metrics: metrics output
    """

    deployment: str
    zone: str
    entries: Annotated[
        tuple[EntrySlot, ...], Meta(min_length=1, max_length=MAX_SLOTS)
    ]
    store: StoreSettings
    host_list: HostListSettings
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()

    def rules(self):
        yield _name_rule('deployment', self.deployment)
        yield _name_rule('zone', self.zone)
        for field in ('slot', 'address'):
            values = [getattr(entry, field) for entry in self.entries]
            for index, value in enumerate(values):
                yield (
                    f'entries[{index}].{field}',
                    value,
                    value not in values[:index],
                    'a value that no other entry has',
                )

    @property
    def addresses(self):
        """Mapping of slot to address, in the order of the settings."""
        return {entry.slot: entry.address for entry in self.entries}


class EntrySettings(Common, frozen=True, kw_only=True):
    """Settings of figtray-entry.

    Attributes:
        slot: slot of this entry; one of `entries`
        caller_listen: IP number and port of the callers' API
        admin_listen: IP number and port of /live, /ready, /debug and /metrics
        max_header_bytes: longest head of a request
        max_body_bytes: longest body of a request
        max_connections: open connections of callers; more wait
        channel_timeout_ms: idle time after which a connection of a caller is
            closed
        wait_threads: requests of callers that are worked on or waited for at
            once
        attempt_threads: attempts on workers at once
        max_tasks: tasks that are kept, queued, running or finished; more are
            refused
        max_queued_bytes: bodies of all queued requests together; at least
            max_body_bytes
        default_deadline_ms: deadline of a request that names none; at most
            max_deadline_ms
        max_deadline_ms: longest deadline that a request may name
        result_retention_ms: time for which the result of a task can be fetched
        idempotency_retention_ms: time for which an idempotency key is
            remembered; at least max_deadline_ms
        heartbeat_ms: interval between two heartbeats to a peer
        ready_grace_ms: time from `not ready` to the first refusal at a stop,
            for the load balancer
        drain_ms: longest graceful stop
        connections_per_worker: connections that this entry opens to one worker
        worker_connect_timeout_ms: longest wait for a connection to a worker
        job_max_workers: healthy workers on which a job may fail before it is
            failed as a bad job
        worker_max_failures: consecutive failures of distinct jobs after which
            a worker is quarantined
        retry_budget_percent: retries as a share of the successful starts
        retry_budget_min_per_s: retries that are always allowed
        zone_ramp_ms: time over which a returned zone goes back to full use
    """

    slot: str
    caller_listen: str
    admin_listen: str

    max_header_bytes: Annotated[int, Meta(ge=KIB, le=MIB)] = 16 * KIB
    max_body_bytes: Annotated[int, Meta(ge=1, le=64 * MIB)] = 256 * KIB
    max_connections: Annotated[int, Meta(ge=1, le=65_536)] = 512
    channel_timeout_ms: SpanMs = 120_000
    wait_threads: Threads = 64
    attempt_threads: Threads = 128
    max_tasks: Count = 20_000
    max_queued_bytes: Annotated[int, Meta(ge=1, le=1024 * MIB)] = 8 * MIB
    default_deadline_ms: SpanMs = 60_000
    max_deadline_ms: SpanMs = 600_000
    result_retention_ms: SpanMs = 60_000
    idempotency_retention_ms: SpanMs = 900_000
    heartbeat_ms: Annotated[int, Meta(ge=50, le=MAX_HEARTBEAT_MS)] = 1000
    ready_grace_ms: SpanMs = 2_000
    drain_ms: SpanMs = 30_000
    # 9 entries with 6 connections and one probe each, and one connection of
    # the controller, make up the 64 connections that a worker accepts.
    connections_per_worker: Annotated[int, Meta(ge=1, le=256)] = 6
    worker_connect_timeout_ms: CallMs = 500
    job_max_workers: Annotated[int, Meta(ge=1, le=100)] = 3
    worker_max_failures: Annotated[int, Meta(ge=2, le=1000)] = 5
    retry_budget_percent: Percent = 10
    retry_budget_min_per_s: Annotated[int, Meta(ge=0, le=1000)] = 1
    zone_ramp_ms: SpanMs = 20_000

    def rules(self):
        yield from super().rules()
        yield (
            'slot',
            self.slot,
            self.slot in self.addresses,
            f'one of the entries: {", ".join(self.addresses)}',
        )
        yield _listen_rule('caller_listen', self.caller_listen)
        yield _listen_rule('admin_listen', self.admin_listen)
        yield (
            'admin_listen',
            self.admin_listen,
            self.admin_listen != self.caller_listen
            or self.admin_listen.endswith(':0'),
            'another address than caller_listen',
        )
        yield (
            'default_deadline_ms',
            self.default_deadline_ms,
            self.default_deadline_ms <= self.max_deadline_ms,
            f'at most max_deadline_ms, {self.max_deadline_ms}',
        )
        yield (
            'max_queued_bytes',
            self.max_queued_bytes,
            self.max_queued_bytes >= self.max_body_bytes,
            f'at least max_body_bytes, {self.max_body_bytes}',
        )
        # A key that is forgotten while its request can still run would let
        # a repeated request run a second time.
        yield (
            'idempotency_retention_ms',
            self.idempotency_retention_ms,
            self.idempotency_retention_ms >= self.max_deadline_ms,
            f'at least max_deadline_ms, {self.max_deadline_ms}',
        )


class ApiSettings(Common, frozen=True, kw_only=True):
    """Settings of figtray-api.

    Attributes:
        listen: IP number and port of the operators' API
        credential_hash: SHA-256 of the operators' bearer credential in
            hexadecimal, never the credential itself; exactly one of this and
            credential_file
        credential_file: file that holds the hash
        push_timeout_ms: longest wait for the confirmation of a change by one
            entry
    """

    listen: str
    credential_hash: str = ''
    credential_file: str = ''
    push_timeout_ms: CallMs = 1000

    def rules(self):
        yield from super().rules()
        yield _listen_rule('listen', self.listen)
        yield (
            'credential_hash',
            self.credential_hash,
            bool(self.credential_hash) != bool(self.credential_file),
            'either credential_hash or credential_file',
        )
        yield (
            'credential_hash',
            self.credential_hash,
            not self.credential_hash or is_sha256(self.credential_hash),
            '64 hexadecimal digits in lower case',
        )


class ControllerSettings(Common, frozen=True, kw_only=True):
    """Settings of figtray-controller.

    Attributes:
        name: name of this controller, unique in the deployment
        admin_listen: IP number and port of /live, /ready, /debug and /metrics
        lease_ttl_ms: time after which the lease of a silent active controller
            ends
        interval_ms: interval of the control loop; at most half of lease_ttl_ms
    """

    name: str
    admin_listen: str
    lease_ttl_ms: Annotated[int, Meta(ge=1000, le=60_000)] = 5000
    interval_ms: CallMs = 1000

    def rules(self):
        yield from super().rules()
        yield _name_rule('name', self.name)
        yield _listen_rule('admin_listen', self.admin_listen)
        # The lease is renewed once per interval; one failed renewal must
        # not end it.
        yield (
            'interval_ms',
            self.interval_ms,
            2 * self.interval_ms <= self.lease_ttl_ms,
            f'at most half of lease_ttl_ms, {self.lease_ttl_ms}',
        )

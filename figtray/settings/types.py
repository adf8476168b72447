"""Types of the settings; names of quantities end in their unit."""

import ipaddress
import re
from typing import Annotated

import msgspec
from msgspec import Meta

LOG_LEVELS = ('debug', 'info', 'notice', 'warning', 'error', 'critical')
STDERR = 'stderr'

_NAME = re.compile(r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\Z')
_SHA256 = re.compile(r'[0-9a-f]{64}\Z')
_NAME_ALLOWED = '1 to 63 of a-z, 0-9 and inner "-"'
_ADDRESS_ALLOWED = 'an IP number and port, such as 127.0.0.1:8080'
_LISTEN_ALLOWED = f'{_ADDRESS_ALLOWED}; port 0 takes any free port'

CallMs = Annotated[int, Meta(ge=1, le=60_000)]


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
    """Check whether a text is a SHA-256 in lower-case hexadecimal."""
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


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings; rejects unknown fields."""

    def rules(self):
        """Yield (field, value, is allowed, allowed values)."""
        return ()


class StoreSettings(Section, frozen=True):
    """The platform's key-value service.

    Attributes:
        address: IP number and port
        timeout_ms: time-out of a call
    """

    address: str
    timeout_ms: CallMs = 2000

    def rules(self):
        yield _address_rule('address', self.address)


class LogSettings(Section, frozen=True):
    """Output of the log.

    Attributes:
        level: lowest level that is logged: debug, info, notice, warning,
            error, critical
        destination: `stderr`, or a file, which is reopened after a rename
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


class MetricsSettings(Section, frozen=True):
    """Output of metrics: the page /metrics and the push over OTLP/HTTP.

    Attributes:
        otlp_endpoint: URL to push to, such as
            http://127.0.0.1:4318/v1/metrics; empty pushes nothing
        export_interval_ms: interval between two pushes
        max_teams: number of teams and queues, together, with series of their
            own; further ones are counted as `other`
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


class ApiSettings(Section, frozen=True, kw_only=True):
    """Settings of figtray-api.

    Attributes:
        deployment: name of the deployment, as operators see it
        zone: zone of this process
        listen: IP number and port of the operators' API
        store: the platform's key-value service
        credential_hash: SHA-256 of the operators' bearer credential in
            hexadecimal, never the credential itself; exactly one of this and
            credential_file
        credential_file: file that holds the hash
        in_force_ms: time after which a change is in force on every node; at
            least the staleness of the configuration at which nodes refuse
            work
        log: log output
        metrics: metrics output
    """

    deployment: str
    zone: str
    listen: str
    store: StoreSettings
    credential_hash: str = ''
    credential_file: str = ''
    in_force_ms: CallMs = 3500
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()

    def rules(self):
        yield _name_rule('deployment', self.deployment)
        yield _name_rule('zone', self.zone)
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

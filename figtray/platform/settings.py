"""Settings of a node, in a file that the platform puts on its host."""

import os
import typing

import msgspec

from figtray import decoding
from figtray import errors

FILE_ENV_VARIABLE = 'FIGTRAY_NODE_FILE'
MAX_COUNT = 10**9


_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class Listen(msgspec.Struct, frozen=True):
    """Addresses that this host serves.

    Attributes:
        front: for callers.
        ready: for the load balancer's probes.
    """

    front: str
    ready: str
    control: str = ''


class StoreSettings(msgspec.Struct, frozen=True):
    """Address of the platform's key-value store."""

    address: str


class HostServiceSettings(msgspec.Struct, frozen=True):
    """Address of the service that lists, moves and maintains hosts."""

    address: str


class Bounds(msgspec.Struct, frozen=True):
    """Time limits that the platform guarantees or requires.

    Attributes:
        revoke_ms: time after which a withdrawn key must not work.
        evacuate_ms: time after which no task may start in a zone that was
            taken out of service.
        grace_s: time between SIGTERM and SIGKILL.
        hold_max_ms: longest lease of the runs on a worker.
        lease_ms: least time between the orders of two leaders for one host.
        move_s: duration of the move of a host to another pool.
        upkeep_s: duration of the upkeep of a host.
        status_s: least time for which an ended job is shown.
    """

    revoke_ms: int = 5000
    evacuate_ms: int = 5000
    grace_s: float = 6
    hold_max_ms: int = 6000
    lease_ms: int = 3000
    move_s: float = 1.5
    upkeep_s: float = 2
    status_s: float = 120


class Limits(msgspec.Struct, frozen=True):
    """What this host gives to the node's process.

    Attributes:
        cpu_share: share of each core.
        cores: number of cores.
        memory_mb: memory in MB beyond which it is killed; 0 = not known.
        max_fds: number of file descriptors; 0 = not known.
    """

    cpu_share: float = 1.0
    cores: _Count = 1
    memory_mb: _Count = 0
    max_fds: _Count = 0


class Settings(msgspec.Struct, frozen=True):
    """The fields that figtray uses; others are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: Listen
    platform: StoreSettings
    cloud: HostServiceSettings
    internal_ports: tuple[int, int]
    # Address of the adviser, which approves workers for steps; empty if there
    # is none.
    advice: str = ''
    commands: str = 'request'
    limits: Limits = Limits()
    bounds: Bounds = Bounds()


_decoder = msgspec.json.Decoder(Settings)


def load(path=None):
    """Read the settings file.

    Args:
        path: the file; by default, the one that the environment variable
            FIGTRAY_NODE_FILE names.

    Returns:
        The Settings.

    Raises:
        SettingsError: no file is named, it can't be read, it is malformed,
            or a field is missing, wrong or not supported.
    """
    path = path or os.environ.get(FILE_ENV_VARIABLE, '')
    if not path:
        raise errors.SettingsError(
            FILE_ENV_VARIABLE, 'the environment variable is not set'
        )
    try:
        with open(path, 'rb') as file:
            settings = decoding.decode('settings', _decoder, file.read())
    except OSError as exc:
        raise errors.SettingsError(path, exc.strerror) from exc
    except errors.UnreadableMessage as exc:
        raise errors.SettingsError(path, str(exc)) from exc
    if settings.commands != 'request':
        raise errors.SettingsError(
            path,
            f'commands: {settings.commands!r} is not supported; '
            "expected 'request'",
        )
    return settings

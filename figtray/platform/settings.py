"""Settings file that the platform places on each entry host."""

import os

import msgspec

from figtray import errors

FILE_ENV_VARIABLE = 'FIGTRAY_NODE_FILE'


class Listen(msgspec.Struct, frozen=True):
    """Addresses that this host serves; `front` is for callers."""

    front: str
    ready: str
    control: str = ''


class StoreSettings(msgspec.Struct, frozen=True):
    """The platform's key-value store."""

    address: str


class HostService(msgspec.Struct, frozen=True):
    """The platform's service that lists, moves and services hosts."""

    address: str


class Bounds(msgspec.Struct, frozen=True):
    """Times that the platform promises or asks for.

    Attributes:
        revoke_ms: a withdrawn key must not work after this time.
        evacuate_ms: a zone that was taken out of service gets no new task
            after this time.
        grace_s: time between SIGTERM and SIGKILL.
        hold_max_ms: longest lease of what runs on a worker.
        lease_ms: wait between two holders of the duties on hosts.
        move_s: time of a move to another pool.
        upkeep_s: time of the upkeep of a host.
        status_s: an ended job is shown at least this long.
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
    """What this host gives to a process."""

    cpu_share: float = 1.0
    cores: int = 1


class Settings(msgspec.Struct, frozen=True):
    """The fields that figtray uses; others are ignored."""

    node_name: str
    ip: str
    zone: str
    listen: Listen
    platform: StoreSettings
    cloud: HostService
    internal_ports: tuple[int, int]
    # Address of the service that approves workers; not advice to operators.
    advice: str = ''
    commands: str = 'request'
    limits: Limits = Limits()
    bounds: Bounds = Bounds()


def load(path=None):
    """Read the settings file.

    Args:
        path: the file; the one that the environment names by default.

    Returns:
        The Settings.

    Raises:
        SettingsError: the file can't be read, or a field is missing or
            wrong.
    """
    path = path or os.environ.get(FILE_ENV_VARIABLE, '')
    if not path:
        raise errors.SettingsError(
            FILE_ENV_VARIABLE, 'the environment variable is not set'
        )
    try:
        with open(path, 'rb') as file:
            settings = msgspec.json.decode(file.read(), type=Settings)
    except OSError as exc:
        raise errors.SettingsError(path, exc.strerror) from exc
    except msgspec.MsgspecError as exc:
        raise errors.SettingsError(path, str(exc)) from exc
    if settings.commands != 'request':
        raise errors.SettingsError(
            path,
            f'commands: {settings.commands!r} is not supported; '
            "expected 'request'",
        )
    return settings

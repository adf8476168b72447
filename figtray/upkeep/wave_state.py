"""Progress of a wave: its stored record and its state during a term."""

import dataclasses

import msgspec

from figtray import decoding
from figtray.fleet import model as fleet

RECORD_PREFIX = 'wave/'


class WaveRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored state of a wave.

    Attributes:
        begun: ids of the hosts whose upkeep has begun.
        completed: whether the status shown to operators is `completed`.
    """

    begun: tuple[str, ...] = ()
    completed: bool = False


_decoder = msgspec.json.Decoder(WaveRecord)


def wave_number(key):
    """Return the number of the wave whose WaveRecord has a key.

    Raises:
        UnreadableMessage: the key names no wave.
    """
    number = key.removeprefix(RECORD_PREFIX)
    if not (number.isascii() and number.isdecimal()):
        raise decoding.unreadable(key, 'the key names no wave')
    return int(number)


def decode(data):
    """Return the WaveRecord of stored bytes.

    Raises:
        UnreadableMessage: the bytes are no such record.
    """
    return decoding.decode('wave', _decoder, data)


@dataclasses.dataclass
class WaveState:
    """Progress of a wave during one term.

    Attributes:
        wave: the Wave.
        first_seen_ms: local time at which this leader first saw the wave.
        begun: local time of the start of the upkeep, by host id; 0 if an
            earlier leader has begun it.
        down: local time since which a host counts towards max_down, by
            host id.
        published: the status last shown to operators; empty before the first.
        cordoned_ms: local time at which a host was cordoned, by host id.
        worker_ids: ids of the workers of the hosts that are cordoned or down,
            by host id.
        postponed_until_ms: local time until which a host is not cordoned
            again, by host id.
        refusals: number of refused upkeeps in a row, by host id.
        refused_until_ms: local time until which the upkeep of a host is not
            ordered again, by host id.
        short_until_ms: local time until which hosts of a pool are cordoned
            only when it is their turn, by pool.
    """

    wave: fleet.Wave
    first_seen_ms: int
    begun: dict
    down: dict
    published: str = ''
    cordoned_ms: dict = dataclasses.field(default_factory=dict)
    worker_ids: dict = dataclasses.field(default_factory=dict)
    postponed_until_ms: dict = dataclasses.field(default_factory=dict)
    short_until_ms: dict = dataclasses.field(default_factory=dict)
    refusals: dict = dataclasses.field(default_factory=dict)
    refused_until_ms: dict = dataclasses.field(default_factory=dict)

    def turns_left(self):
        """Return how many upkeeps may begin now."""
        return max(0, self.wave.max_down - len(self.down))

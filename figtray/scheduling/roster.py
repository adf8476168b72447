"""Stored roster: the incarnations of workers on which tasks may run."""

import msgspec

from figtray import decoding
from figtray.fleet import model as fleet

ROSTER_KEY = 'roster'


class Roster(msgspec.Struct, frozen=True):
    """Incarnations of workers on which tasks may have been started.

    Attributes:
        lives: the incarnations.
        placements_recorded: whether the Placements of all lasting tasks are
            recorded before they start. Earlier releases did not do so.
        complete: whether no other incarnation may run tasks of earlier terms.
            It is not after a roster that could not be read.
        restarted: those of the incarnations on which orders for an earlier
            one may have extended a lease; see restarts. Any may be one if it
            is None, as in a roster of a release that doesn't tell.
        ended: incarnations whose orders may still be executed by later ones.
    """

    lives: tuple[fleet.Incarnation, ...] = ()
    placements_recorded: bool = False
    complete: bool = True
    restarted: tuple[fleet.Incarnation, ...] | None = None
    ended: tuple[fleet.Incarnation, ...] = ()


# What is known if the stored roster can't be read.
UNKNOWN = Roster(complete=False)
_decoder = msgspec.json.Decoder(Roster)


def encode(roster):
    """Return the stored bytes of a Roster."""
    return msgspec.json.encode(roster)


def decode(data):
    """Return the Roster of stored bytes.

    Raises:
        UnreadableMessage: the bytes are not a roster.
    """
    return decoding.decode('roster', _decoder, data)

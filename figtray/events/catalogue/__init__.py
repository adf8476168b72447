"""Catalogue of the log events; its modules hold them by area.

To add an event, define a constant with the next free number in the block of
its area and run `python -m figtray.events.document`. Numbers are never reused,
and the constants stand in their order.
A field holds a name, an id or a number; never a secret, a caller's key or the
body of a request.
"""

from figtray.events import base

# Other code names each event as catalogue.NAME, whichever module defines it.
from figtray.events.catalogue.leadership import *  # noqa: F401,F403,H303
from figtray.events.catalogue.process import *  # noqa: F401,F403,H303
from figtray.events.catalogue.requests import *  # noqa: F401,F403,H303
from figtray.events.catalogue.scheduling import *  # noqa: F401,F403,H303
from figtray.events.catalogue.upkeep import *  # noqa: F401,F403,H303

# First number of the block of each area.
BLOCKS = {
    100: 'program and settings',
    200: 'store',
    300: 'configuration',
    1100: 'api',
    1500: 'calls and jobs',
    1600: 'leadership',
    1700: 'scheduling',
    1800: 'hosts and waves',
}
BLOCK_SIZE = 100


def by_name():
    """Return all events by name, ordered by number.

    Returns:
        Mapping of each constant's name in lower case to its Event.
    """
    named = [
        (name.lower(), event)
        for name, event in globals().items()
        if isinstance(event, base.Event)
    ]
    return dict(sorted(named, key=lambda pair: pair[1].number))

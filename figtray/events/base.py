"""Type of the log events."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Event:
    """Kind of log line with a fixed message and named fields.

    Attributes:
        number: its number.
        level: its level in logbook.
        message: the text of each of its lines.
        fields: names of the fields of each of its lines.
    """

    number: int
    level: int
    message: str
    fields: tuple[str, ...] = ()

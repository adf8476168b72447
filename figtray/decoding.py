"""Decoding of JSON that another process has written."""

import msgspec

from figtray import errors

# A detail may quote the record, which may be as large as its writer likes.
MAX_DETAIL_CHARS = 200


def decode(what, decoder, data):
    """Return the record of JSON bytes.

    Args:
        what: name of the record in errors, such as its key.
        decoder: the msgspec decoder of its type.
        data: the bytes.

    Raises:
        UnreadableMessage: the bytes are no such record.
    """
    try:
        return decoder.decode(data)
    # RecursionError: deep nesting, also in a field that is skipped.
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise unreadable(what, str(exc)) from exc


def unreadable(what, detail):
    """Return the UnreadableMessage of a record, with a bounded detail."""
    return errors.UnreadableMessage(
        what=what, detail=detail[:MAX_DETAIL_CHARS]
    )

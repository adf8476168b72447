"""Versioned envelope of the messages between figtray's processes."""

import msgspec

from figtray import errors

PROTOCOL_VERSION = 1

_TYPES = {}
_ENCODER = msgspec.msgpack.Encoder()


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """A message with its sender; unknown fields are ignored.

    `sequence` numbers the calls of one sender incarnation to one peer, so
    that a repeated call is handled once.
    """

    version: int
    sender: str
    incarnation: str
    sequence: int
    type: str
    body: msgspec.Raw


def register(message_type):
    """Class decorator that makes a msgspec.Struct a message type."""
    name = message_type.__name__
    if name in _TYPES:
        raise ValueError(f'message type {name} is registered twice')
    _TYPES[name] = msgspec.msgpack.Decoder(message_type)
    return message_type


def encode(sender, incarnation, sequence, message):
    """Encode a message.

    Args:
        sender: name of the sending process.
        incarnation: id of the sender's run.
        sequence: number of the call on its link.
        message: instance of a registered type.

    Returns:
        The encoded bytes.
    """
    return _ENCODER.encode(
        Envelope(
            version=PROTOCOL_VERSION,
            sender=sender,
            incarnation=incarnation,
            sequence=sequence,
            type=type(message).__name__,
            body=msgspec.Raw(_ENCODER.encode(message)),
        )
    )


def decode(data):
    """Decode a message.

    Args:
        data: the encoded bytes.

    Returns:
        The Envelope and its message.

    Raises:
        CodecError: the bytes are no message, or of an unknown type.
    """
    try:
        envelope = msgspec.msgpack.decode(data, type=Envelope)
        decoder = _TYPES[envelope.type]
        return envelope, decoder.decode(envelope.body)
    except KeyError as exc:
        raise errors.CodecError(detail=f'unknown type {exc}') from exc
    except (msgspec.MsgspecError, ValueError) as exc:
        raise errors.CodecError(detail=str(exc)) from exc

"""Bodies in chunks, decoded with a cost that grows with their bytes only."""

import re

import httptools

from figtray import errors

# What frames a byte of the body at most: a chunk of its own, whose size has
# all the digits that sizes commonly have.
FRAMING_PER_BYTE = 16
# Extensions and a trailer beside that, as much as a header may have.
FRAMING_BYTES = 16 * 1024

# A message always ends behind a line end and an empty line.
_MESSAGE_END = b'\r\n\r\n'
_AT_MESSAGE_END = re.compile(b'(?=%s)' % _MESSAGE_END)
_TAIL_BYTES = len(_MESSAGE_END) - 1
# The decoder of messages needs one of their heads.
_HEAD = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'


class _Message:
    """What the parser reports; not the Decoder, which would hold itself."""

    def __init__(self):
        self.parts = []
        self.completed = False
        # Called by the parser with a part of the body.
        self.on_body = self.parts.append

    def on_message_complete(self):
        """Note the end of the body; called by the parser."""
        self.completed = True


class Decoder:
    """Takes a body out of its chunks, as they come.

    Attributes:
        body_bytes: bytes of the body so far.
        framing_bytes: bytes of chunk sizes, extensions and trailer so far.
    """

    def __init__(self):
        self.body_bytes = self.framing_bytes = 0
        self._tail = b''
        self._message = _Message()
        self._parser = httptools.HttpRequestParser(self._message)
        self._parser.feed_data(_HEAD)

    @property
    def completed(self):
        """Whether the body and its trailer have ended."""
        return self._message.completed

    def feed(self, data):
        """Decode the bytes that come next.

        Args:
            data: the bytes, at most some thousand as each chunk takes an
                object for a moment.

        Returns:
            (the bytes of the body in them, the number of bytes that belong
            to the message).

        Raises:
            BadChunks: they are no chunks, or are framed by too much.
        """
        consumed = 0
        for end in self._message_ends(data):
            if self.completed:
                break
            self._parse(data[consumed:end])
            consumed = end
        self._tail = (self._tail + data)[-_TAIL_BYTES:]
        body = b''.join(self._message.parts)
        self._message.parts.clear()
        self.body_bytes += len(body)
        self.framing_bytes += consumed - len(body)
        most_bytes = FRAMING_BYTES + FRAMING_PER_BYTE * self.body_bytes
        if self.framing_bytes > most_bytes:
            raise errors.BadChunks(
                detail=f'over {most_bytes} bytes of framing'
            )
        return body, consumed

    def _message_ends(self, data):
        """Yield the positions up to which data may belong to the message."""
        known = self._tail + data
        for match in _AT_MESSAGE_END.finditer(known):
            yield match.start() + len(_MESSAGE_END) - len(self._tail)
        yield len(data)

    def _parse(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            raise errors.BadChunks(detail=exc) from exc

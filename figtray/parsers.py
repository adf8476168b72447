"""Parser of requests, which tells what memory the next read takes."""

from waitress import parser as waitress_parser
from waitress import utilities as waitress_utilities

from figtray import chunks
from figtray import errors
from figtray.ingress import costs

# Bytes of one read. A request without a body has room for two: what came and
# its parsed form.
RECEIVE_BYTES = 8192
FIRST_BYTES = 2 * RECEIVE_BYTES


class _ChunkedBody:
    """Body in chunks, as the parser of waitress expects it.

    Args:
        buf: buffer of waitress for the bytes of the body.
    """

    def __init__(self, buf):
        self._buf = buf
        self._decoder = chunks.Decoder()
        self.error = None

    def __len__(self):
        return len(self._buf)

    @property
    def completed(self):
        """Whether the body has ended."""
        return self._decoder.completed

    def received(self, data):
        """Decode bytes; return the number of those that belong to it."""
        try:
            body, consumed = self._decoder.feed(data)
        except errors.BadChunks as exc:
            self.error = waitress_utilities.BadRequest(str(exc))
            return len(data)
        if body:
            self._buf.append(body)
        return consumed

    def getfile(self):
        """Return the body as a file."""
        return self._buf.getfile()

    def getbuf(self):
        """Return the buffer of the body."""
        return self._buf


class RequestParser(waitress_parser.HTTPRequestParser):
    """Parser that leaves the bytes of later requests for later."""

    surplus = b''
    # waitress logs it, also of a request whose header can't be read.
    path = ''
    # Lines of the header so far.
    header_lines = 0

    def count_lines(self, data):
        """Count the lines of the header in the bytes that come next."""
        if not self.headers_finished:
            self.header_lines += data.partition(b'\r\n\r\n')[0].count(b'\n')

    def parse_header(self, header_plus):
        super().parse_header(header_plus)
        if self.chunked:
            self.body_rcv = _ChunkedBody(self.body_rcv.getbuf())

    def received(self, data):
        if self.chunked and not self.completed:
            count = self._receive_chunks(data)
        else:
            count = super().received(data)
        if not self.completed or self.empty:
            return count
        self.surplus = data[count:]
        return len(data)

    def _receive_chunks(self, data):
        """Take in chunks; unlike in waitress, only the body has a limit."""
        body = self.body_rcv
        count = body.received(data)
        self.body_bytes_received = len(body)
        if self.body_bytes_received >= self.adj.max_request_body_size:
            self.error = waitress_utilities.RequestEntityTooLarge(
                f'exceeds max_body of {self.adj.max_request_body_size}'
            )
        else:
            self.error = body.error
        self.completed = bool(self.error or body.completed)
        if body.completed:
            self.headers['CONTENT_LENGTH'] = str(len(body))
        return count

    def needed_bytes(self):
        """Return the memory to hold before more of the request is read."""
        lines_bytes = costs.header_bytes(self.header_lines)
        if not self.headers_finished:
            return len(self.header_plus) + FIRST_BYTES + lines_bytes
        length = self.content_length
        if self.chunked:
            length = self.body_bytes_received + RECEIVE_BYTES
        return (
            self.header_bytes_received + lines_bytes + costs.body_bytes(length)
        )

    def is_blank(self):
        """Return whether nothing but line ends has come."""
        return not self.headers_finished and not (
            self.header_plus.strip(b'\r\n')
        )

    def may_store(self):
        """Return whether the request may be one that is stored."""
        return not self.headers_finished or self.command == 'POST'

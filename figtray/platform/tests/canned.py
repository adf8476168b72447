"""A service with canned replies, for tests of clients."""

DEEP = b'[' * 60_000 + b']' * 60_000


class CannedService:
    """Replies to each request with the same status and body.

    Attributes:
        status: HTTP status of the replies.
        body: their body.
        calls: bodies of the requests.
    """

    status, body = 200, b''

    def __init__(self):
        self.calls = []

    def handle(self, handler, body):
        self.calls.append(body)
        handler.reply(self.status, self.body)

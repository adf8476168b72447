"""Tests of links and servers."""

import pynng
import pytest

from figtray import codec
from figtray import errors
from figtray.peers import link as link_lib
from figtray.peers import messages
from figtray.peers import server as server_lib

TIMEOUT_MS = 5_000


class Counter:
    """Handler that counts what it handles."""

    def __init__(self):
        self.handled = []

    def handle(self, envelope, message):
        self.handled.append((envelope.sender, message))
        return messages.Acknowledged()


def encode(sequence, run='run/control'):
    """Return an encoded call."""
    return codec.encode('a', run, sequence, messages.StatusRequest())


class TestDeduplicator:
    """Guards against a repeated call that has a second effect."""

    def make(self):
        counter = Counter()
        return counter, server_lib.Deduplicator('b', 'r', counter.handle)

    def test_repeated_call_gets_the_stored_reply(self):
        counter, server = self.make()
        first = server.handle(encode(1))
        assert server.handle(encode(1)) == first
        assert len(counter.handled) == 1

    def test_older_call_is_dropped(self):
        counter, server = self.make()
        server.handle(encode(2))
        assert server.handle(encode(1)) is None
        assert len(counter.handled) == 1

    def test_runs_and_channels_are_independent(self):
        counter, server = self.make()
        for run in ('one/control', 'one/data', 'two/control'):
            server.handle(encode(1, run))
        assert len(counter.handled) == 3

    @pytest.mark.parametrize(
        'data', [b'', b'garbage', b'\x81\xa1a\x01', encode(1)[:-3]]
    )
    def test_garbage_gets_no_reply(self, data):
        counter, server = self.make()
        assert server.handle(data) is None
        assert counter.handled == []


class TestCodec:
    """Guards against mixed versions that do not understand each other."""

    def test_unknown_fields_are_ignored(self):
        envelope = {
            'version': 9,
            'sender': 'a',
            'incarnation': 'r',
            'sequence': 1,
            'type': 'Fence',
            'body': {'floor': 3, 'later': True},
            'later': 1,
        }
        data = codec.msgspec.msgpack.encode(envelope)
        _, message = codec.decode(data)
        assert message == messages.Fence(3)

    def test_unknown_type_is_an_error(self):
        data = encode(1).replace(b'StatusRequest', b'StatusReqXXXX')
        with pytest.raises(errors.CodecError):
            codec.decode(data)


class TestLink:
    """Guards against calls that wait for ever or lose their reply."""

    def start(self, handler):
        with pynng.Rep0() as probe:
            probe.listen('tcp://127.0.0.1:0')
            address = str(probe.listeners[0].local_address)
        server = server_lib.PeerServer(
            'b', 'r', address, handler, lambda exc: None
        )
        server.start()
        return server, link_lib.Link('b', address, 'a', 'run')

    def test_call_returns_the_reply(self):
        counter = Counter()
        server, link = self.start(counter.handle)
        try:
            for _ in range(3):
                reply = link.call(messages.FetchSnapshot(), TIMEOUT_MS)
                assert reply == messages.Acknowledged()
        finally:
            link.close()
            server.close()
        assert len(counter.handled) == 3

    def test_refused_connection_is_certainly_not_sent(self):
        server, link = self.start(Counter().handle)
        server.close()
        with pytest.raises(errors.PeerUnavailable) as caught:
            link.call(messages.FetchSnapshot(), TIMEOUT_MS)
        assert not caught.value.sent

    def test_failing_handler_is_not_known_to_be_unsent(self):
        def fail(envelope, message):
            raise RuntimeError('broken handler')

        server, link = self.start(fail)
        try:
            with pytest.raises(errors.PeerUnavailable) as caught:
                link.call(messages.FetchSnapshot(), 50)
            assert caught.value.sent
        finally:
            link.close()
            server.close()

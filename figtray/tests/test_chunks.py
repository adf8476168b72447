"""Tests of the decoder of bodies in chunks."""

import itertools
import weakref

import pytest

from figtray import chunks
from figtray import errors

BODY = b'ab\r\n\r\ncd'
MESSAGE = b'4;x="y"\r\nab\r\n\r\n4\r\n\r\ncd\r\n0\r\nX: y\r\n\r\n'


def decode(parts):
    """Decode parts; return the body, and the bytes of the message."""
    decoder = chunks.Decoder()
    body, consumed = b'', 0
    for part in parts:
        assert not decoder.completed
        decoded, count = decoder.feed(part)
        body += decoded
        consumed += count
        if decoder.completed:
            break
    assert decoder.completed
    return body, consumed


class TestDecoder:
    # Guards against an end that is missed or taken for another one, wherever
    # the reads are split and whatever follows.
    @pytest.mark.parametrize(
        'surplus', [b'', b'\r\n', b'\r\n\r\n', b'GET / HTTP/1.1\r\n\r\n', b'!']
    )
    def test_end(self, surplus):
        data = MESSAGE + surplus
        expected = BODY, len(MESSAGE)
        positions = range(len(data) + 1)
        for one, two in itertools.combinations(positions, 2):
            assert decode([data[:one], data[one:two], data[two:]]) == expected
        assert decode(bytes([byte]) for byte in data) == expected

    # Guards against decoders that stay in memory until a collection.
    def test_is_freed_at_once(self):
        decoder = chunks.Decoder()
        decoder.feed(MESSAGE)
        reference = weakref.ref(decoder)
        message = weakref.ref(decoder._message)
        del decoder
        assert (reference(), message()) == (None, None)

    # Guards against bytes that are read in another way than elsewhere.
    @pytest.mark.parametrize(
        'data',
        [
            b'x\r\n',
            b'-1\r\n',
            b'+1\r\n',
            b' 1\r\n',
            b'0x1\r\n',
            b'1\nx',
            b'1\r\nxy\r\n',
            b'\r\n',
            b'f' * 17 + b'\r\n',
            b'1;"\r\n',
            b'0\r\nno field\r\n\r\n',
        ],
    )
    def test_bad_chunks(self, data):
        with pytest.raises(errors.BadChunks):
            chunks.Decoder().feed(data)

    # Guards against framing that a body of any form may need.
    @pytest.mark.parametrize('size', [b'1', b'00000001'])
    def test_smallest_chunks(self, size):
        decoder = chunks.Decoder()
        for _ in range(100):
            decoder.feed((size + b'\r\nx\r\n') * 1000)
        assert decoder.body_bytes == 100_000

    # Guards against framing without an end.
    @pytest.mark.parametrize(
        'start, part',
        [
            (b'', b'0' * 100),
            (b'1;x=', b'y' * 100),
            (b'0\r\n', b'X: y\r\n' * 16),
            (b'0\r\nX: ', b'y' * 100),
            (b'', b'1;x=%s\r\ny\r\n' % (b'x' * 100)),
        ],
        ids=['size', 'extension', 'trailer', 'value', 'extensions'],
    )
    def test_framing_has_a_limit(self, start, part):
        decoder = chunks.Decoder()
        decoder.feed(start)
        limit = 2 * chunks.FRAMING_BYTES // len(part)
        with pytest.raises(errors.BadChunks):
            for _ in range(limit):
                decoder.feed(part)
        assert decoder.framing_bytes < 2 * chunks.FRAMING_BYTES

"""Tests of the decoding of records that others have written."""

import msgspec
import pytest

from figtray import decoding
from figtray import errors


class _Record(msgspec.Struct, frozen=True):
    count: int = 0


class TestDecode:
    # Guards against records that end their reader by an unexpected error.
    @pytest.mark.parametrize(
        'data',
        [
            b'',
            b'{"count":"x"}',
            b'{"count":1' + b'0' * 5000 + b'}',
            b'{"count":"\xff"}',
            b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}',
            b'{"x":' + b'{"x":' * 60_000 + b'}' * 60_000 + b'}',
        ],
        ids=['empty', 'type', 'digits', 'utf-8', 'deep-list', 'deep-object'],
    )
    def test_odd_bytes_raise_another_error(self, data):
        decoder = msgspec.json.Decoder(_Record)
        with pytest.raises(errors.UnreadableMessage) as caught:
            decoding.decode('servers/odd', decoder, data)
        assert 'servers/odd' in str(caught.value)

    # Guards against log lines as long as the record that they name.
    def test_error_quotes_a_large_record_whole(self):
        error = decoding.unreadable('servers/odd', 'x' * 10_000)
        assert len(str(error)) < 300

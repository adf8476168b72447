"""Tests of the settings of a node."""

import pytest

from figtray import errors
from figtray.platform import settings


class TestOddSettings:
    # The node ended with a traceback in place of a clear error.
    @pytest.mark.parametrize(
        'data',
        [
            b'',
            b'[]',
            b'{"node_name":"\xff"}',
            b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}',
            b'{"x":1' + b'0' * 5000 + b'}',
        ],
        ids=['empty', 'list', 'utf-8', 'deep', 'digits'],
    )
    def test_unreadable_file_is_an_unexpected_error(self, tmp_path, data):
        path = tmp_path / 'node.json'
        path.write_bytes(data)
        with pytest.raises(errors.SettingsError) as caught:
            settings.load(str(path))
        assert str(path) in str(caught.value)

"""Tests of the documents of operators and workers."""

import pytest

from figtray import errors
from figtray.platform import documents

DEEP = b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}'


class TestOddDocuments:
    # Guards against one document that ends each reader, and so each term.
    @pytest.mark.parametrize(
        'decode',
        [
            documents.decode_config,
            documents.decode_wave,
            lambda data: documents.decode_worker('servers/odd', data, None),
        ],
        ids=['config', 'wave', 'worker'],
    )
    def test_deep_nesting_raises_another_error(self, decode):
        with pytest.raises(errors.UnreadableMessage):
            decode(DEEP)

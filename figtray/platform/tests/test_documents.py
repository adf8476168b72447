"""Tests of the documents of operators and workers."""

import json

import pytest

from figtray import errors
from figtray.platform import documents

DEEP = b'{"x":' + b'[' * 60_000 + b']' * 60_000 + b'}'


ENTRY = {
    'service': 'main',
    'address': '10.0.0.1:80',
    'zone': 'zone-a',
    'state': 'ready',
    'born': 1,
    'capacity': {'cpu': 1000, 'mem_mb': 1000, 'gpu': 0},
    'labels': ['a', 'r1'],
    'machine': 'host-1',
}


def decode_entry(key='servers/odd', **fields):
    """Return the Worker of an entry with some other fields."""
    data = json.dumps(ENTRY | fields).encode()
    return documents.decode_worker(key, data, {'main'})


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


class TestOddEntries:
    # Guards against sessions that fail without end, and against name lookups,
    # which have no time limit.
    @pytest.mark.parametrize(
        'address',
        [
            '',
            '10.0.0.1',
            '10.0.0.1:',
            ':80',
            '10.0.0.1:0',
            '10.0.0.1:99999',
            '10.0.0.1:-1',
            '10.0.0.1:1' + '0' * 5000,
            '10.0.0.1 :80',
            '10.0.0.1\r\n:80',
            '10.0.0.1/a:80',
            'worker.example:80',
            '.' * 100 + ':80',
            '\udc80:80',
            '\N{ARABIC-INDIC DIGIT ONE}.0.0.1:80',
        ],
    )
    def test_address_that_cannot_be_called_names_a_worker(self, address):
        with pytest.raises(errors.UnreadableMessage) as caught:
            decode_entry(address=address)
        assert 'servers/odd' in str(caught.value)

    @pytest.mark.parametrize('address', ['127.0.0.1:1', '::1:65535'])
    def test_address_that_can_be_called_names_no_worker(self, address):
        assert decode_entry(address=address).address == address

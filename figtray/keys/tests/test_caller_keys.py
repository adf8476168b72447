"""Tests of callers' keys."""

import hmac
import unittest.mock

import pytest

from figtray.configuration import resources
from figtray.keys import caller_keys


@pytest.fixture
def generated():
    return caller_keys.generate()


def key_of(generated, **fields):
    return resources.Key(team='haulers', hash=generated.hash, **fields)


class TestGenerate:
    """Guards against a weak, unbounded or stored secret."""

    def test_form(self, generated):
        assert len(generated.presented) == caller_keys.MAX_PRESENTED_LENGTH
        resources.check_name(resources.Kind.KEY, generated.key_id)
        secret = generated.presented.rsplit('_', 1)[1]
        assert len(bytes.fromhex(secret)) == 32
        assert secret not in generated.hash
        assert secret not in repr(generated)

    def test_keys_differ(self, generated):
        other = caller_keys.generate()
        assert other.key_id != generated.key_id
        assert other.hash != generated.hash


class TestVerify:
    """Guards against accepting a wrong, withdrawn or malformed key."""

    def test_accepts_the_key(self, generated):
        keys = {generated.key_id: key_of(generated)}
        assert caller_keys.verify(generated.presented, keys.get) == 'haulers'

    def test_refuses_a_withdrawn_key(self, generated):
        keys = {generated.key_id: key_of(generated, withdrawn=True)}
        assert caller_keys.verify(generated.presented, keys.get) is None

    def test_refuses_the_secret_of_another_key(self, generated):
        other = caller_keys.generate()
        keys = {generated.key_id: key_of(other)}
        assert caller_keys.verify(generated.presented, keys.get) is None

    @pytest.mark.parametrize(
        'presented',
        ['', 'fk_', 'fk_1_2', 'é' * 84, 'f' * 10_000_000, 'fk_\n' + '0' * 80],
    )
    def test_refuses_malformed_keys_without_a_lookup(self, presented):
        lookup = unittest.mock.Mock()
        assert caller_keys.verify(presented, lookup) is None
        lookup.assert_not_called()

    def test_refuses_a_trailing_newline(self, generated):
        keys = {generated.key_id: key_of(generated)}
        assert caller_keys.verify(generated.presented + '\n', keys.get) is None

    @pytest.mark.parametrize('is_known', [True, False])
    def test_compares_once_whether_known_or_not(self, generated, is_known):
        keys = {generated.key_id: key_of(caller_keys.generate())}
        lookup = keys.get if is_known else {}.get
        with unittest.mock.patch.object(
            hmac, 'compare_digest', wraps=hmac.compare_digest
        ) as compare:
            assert caller_keys.verify(generated.presented, lookup) is None
        computed, stored = compare.call_args.args
        assert compare.call_count == 1
        assert len(computed) == len(stored)

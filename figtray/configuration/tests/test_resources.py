"""Tests of the validation of resources."""

import pytest

from figtray.configuration import resources
from figtray import errors

HOST = {'address': '127.0.0.1:1', 'zone': 'z', 'rack': 'r', 'pool': 'p'}


class TestDecodeSpec:
    """Guards against a refusal that does not name field and value."""

    @pytest.mark.parametrize(
        ('kind', 'data', 'field', 'value', 'allowed'),
        [
            (
                'policy',
                {'weights': {'share': 'a'}},
                'weights.share',
                'a',
                'int',
            ),
            ('policy', {'weights': {'x': 1}}, 'weights.x', 1, 'share'),
            ('queues', {'pool': 'p', 'teams': ['a', 3]}, 'teams[1]', 3, 'str'),
            ('hosts', {**HOST, 'state': 'no'}, 'state', 'no', 'released'),
            (
                'hosts',
                {**HOST, 'address': 'name:1'},
                'address',
                'name:1',
                'IP',
            ),
            ('hosts', {}, 'address', None, 'a value'),
            ('pools', {'min_slots': True}, 'min_slots', True, 'int'),
            ('pools', [], 'spec', [], 'object'),
        ],
    )
    def test_names_field_and_value(self, kind, data, field, value, allowed):
        with pytest.raises(errors.ValidationFailed) as caught:
            resources.decode_spec(resources.Kind(kind), data)
        fields = caught.value.fields
        assert (fields['field'], fields['value']) == (field, value)
        assert allowed in fields['allowed']


class TestCheckName:
    """Guards against names that break paths or store keys."""

    @pytest.mark.parametrize('name', ['', 'A', 'a/b', 'a-', 'é', 'a' * 64])
    def test_refuses(self, name):
        with pytest.raises(errors.ValidationFailed):
            resources.check_name(resources.Kind.TEAM, name)

    def test_policy_has_one_name(self):
        resources.check_name(resources.Kind.POLICY, resources.POLICY_NAME)
        with pytest.raises(errors.ValidationFailed):
            resources.check_name(resources.Kind.POLICY, 'other')

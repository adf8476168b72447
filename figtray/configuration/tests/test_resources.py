"""Tests of the validation of resources."""

import pytest

from figtray.configuration import resources
from figtray import errors

QUEUE = {'host': 'h', 'prefix': '/', 'pool': 'p'}


class TestDecodeSpec:
    """Guards against an error that does not name the field and its value."""

    @pytest.mark.parametrize(
        ('kind', 'data', 'field', 'value', 'allowed'),
        [
            (
                'queues',
                {**QUEUE, 'advice': {'decide_ms': 'a'}},
                'advice.decide_ms',
                'a',
                'int',
            ),
            (
                'queues',
                {
                    **QUEUE,
                    'advice': {
                        'decide_ms': 1,
                        'each_ms': 1,
                        'valid_ms': 1,
                        'x': 1,
                    },
                },
                'advice.x',
                1,
                'valid_ms',
            ),
            (
                'waves',
                {'hosts': ['a', 3], 'duration_ms': 1},
                'hosts[1]',
                3,
                'str',
            ),
            ('queues', {**QUEUE, 'prefix': 'no'}, 'prefix', 'no', '/'),
            ('queues', {}, 'host', None, 'a value'),
            ('waves', {'hosts': [], 'duration_ms': 1}, 'hosts', 0, '1 to'),
            ('teams', {'gpus': True}, 'gpus', True, 'int'),
            ('pools', [], 'spec', [], 'object'),
        ],
    )
    def test_error_names_field_and_value(
        self, kind, data, field, value, allowed
    ):
        with pytest.raises(errors.ValidationFailed) as caught:
            resources.decode_spec(resources.Kind(kind), data)
        fields = caught.value.fields
        assert (fields['field'], fields['value']) == (field, value)
        assert allowed in fields['allowed']


class TestCheckName:
    """Guards against names that are ambiguous in paths or store keys."""

    @pytest.mark.parametrize('name', ['', 'a/b', 'a-', '-a', 'é', 'a' * 64])
    def test_invalid_name_is_rejected(self, name):
        with pytest.raises(errors.ValidationFailed):
            resources.check_name(resources.Kind.TEAM, name)

    def test_name_of_wave_is_a_number(self):
        resources.check_name(resources.Kind.WAVE, '12')
        with pytest.raises(errors.ValidationFailed):
            resources.check_name(resources.Kind.WAVE, 'w12')

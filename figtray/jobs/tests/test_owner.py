"""Tests of reads that need to know whose a job is."""

import tracemalloc

import pytest

from figtray import errors
from figtray.jobs import model
from figtray.jobs import records

STEPS = 5000
JOB = model.Job(
    'q', 't', 'text', (model.Step(1),) * STEPS, host='h', prefix='/q/'
)


class TestOwner:
    def test_owner_of_a_job(self):
        owner = records.decode_owner(records.encode(JOB))
        assert owner == records.Caller('t', 'q', 'h', '/q/')

    # Guards against readers of a job's state that take far more memory than
    # its record, on each node and in each thread.
    def test_steps_are_not_decoded(self):
        data = records.encode(JOB)
        tracemalloc.start()
        try:
            records.decode_owner(data)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert peak < len(data)

    @pytest.mark.parametrize('data', [b'', b'{}', b'[]', b'{"queue":"q"}'])
    def test_no_job(self, data):
        with pytest.raises(errors.UnreadableMessage):
            records.decode_owner(data)

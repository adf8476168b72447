"""Tests of how the end of a worker is classified."""

import pytest

from figtray.fleet import memory
from figtray.scheduling import ends
from figtray.scheduling import worker_state as worker_state_lib


class TestEndOfProcess:
    # A worker that lost its host while nobody led counted as crashed, as a
    # later incarnation answered at its address.
    @pytest.mark.parametrize(
        'fields, kind',
        [
            ({'has_reported': False}, ends.Kind.UNKNOWN),
            ({'has_reported': True}, ends.Kind.CRASHED),
            ({'has_reported': True, 'unresponsive': True}, ends.Kind.UNKNOWN),
            ({'refused_connections': 1}, ends.Kind.CRASHED),
        ],
    )
    def test_answer_of_another_incarnation(self, fields, kind):
        worker_state = worker_state_lib.WorkerState(memory.make_worker(1))
        for name, value in fields.items():
            setattr(worker_state, name, value)
        end = ends.of_process(worker_state, 'r', answered=True)
        assert end == ends.End(kind, 'r')

"""Tests of the reading of stored jobs and cancellations."""

import pytest

from figtray.events import unreadable
from figtray.jobs import model
from figtray.jobs import ownership
from figtray.jobs import records
from figtray.scheduling import stored_records
from figtray.scheduling.tests import harness
from figtray.store import base

ID = 'a' * 16
PLACE = ownership.Place('q', 'h', '/q/')
OTHER = ownership.Place('open', 'h', '/open/')
JOB = model.Job('q', 't', 'p', (harness.make_step(),), host='h', prefix='/q/')


class TestCancellation:
    def read(self, fleet, leader, *cancellers):
        """Read a job, and a cancellation that was read before it."""
        reader = stored_records.IntakeReader(
            leader.scheduler, unreadable.UnreadableLog(fleet.clock)
        )
        cancellation = records.Cancellation('t', 1, cancellers)
        items = [
            base.KeyValue(
                records.CANCEL_PREFIX + ID, records.encode(cancellation), 5, 5
            ),
            base.KeyValue(records.JOB_PREFIX + ID, records.encode(JOB), 6, 6),
        ]
        reader.add(items)
        return leader.scheduler._jobs[ID].cancelled

    # The first page of a read has a cancellation of another caller, which
    # gives way to the job before the page with the job is read.
    @pytest.mark.parametrize(
        ('team', 'place'), [('', OTHER), ('', PLACE), ('u', PLACE)]
    )
    def test_job_is_cancelled_by_another_caller(
        self, fleet, leader, team, place
    ):
        other = records.Caller(team, place.queue, place.host, place.prefix)
        assert not self.read(fleet, leader, other)

    def test_job_that_its_caller_has_cancelled_runs(self, fleet, leader):
        caller = records.Caller('t', 'q', 'h', '/q/')
        assert self.read(fleet, leader, records.Caller(), caller)

    # Its record does not tell who has cancelled it.
    def test_job_cancelled_by_an_earlier_release_runs(self, fleet, leader):
        assert self.read(fleet, leader)


class TestProgress:
    # Each question for the state of the job would cost one more call.
    def test_progress_does_not_tell_whose_the_job_is(self, fleet, leader):
        job_id = fleet.submit(harness.make_step(), host='h', prefix='/q/')
        leader.run_cycle()
        leader.flush()
        item = fleet.store.get(records.PROGRESS_PREFIX + job_id)
        owner = records.decode_progress(item.value).owner
        assert owner == records.Caller('t', 'q', 'h', '/q/')

"""Reading of the records that callers and earlier leaders have stored."""

import msgspec

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records


class IntakeReader:
    """Hands the stored jobs and cancellations to the scheduler.

    Args:
        scheduler: the Scheduler.
    """

    def __init__(self, scheduler):
        self._scheduler = scheduler

    def add(self, items, progress=None):
        """Add all jobs, then the cancellations.

        Args:
            items: the KeyValues below records.INTAKE_PREFIX.
            progress: mapping of job id to its stored Progress, or None.
        """
        jobs = [i for i in items if i.key.startswith(records.JOB_PREFIX)]
        for item in sorted(jobs, key=lambda i: i.create_revision):
            job_id = item.key.removeprefix(records.JOB_PREFIX)
            self._add_job(item, (progress or {}).get(job_id))
        for item in items:
            if item.key.startswith(records.CANCEL_PREFIX):
                self._cancel(item)

    def handle_change(self, item):
        """Add the job or the cancellation that a caller has stored."""
        if item.deleted:
            return
        if item.key.startswith(records.JOB_PREFIX):
            self._add_job(item, None)
        elif item.key.startswith(records.CANCEL_PREFIX):
            self._cancel(item)

    def _add_job(self, item, stored):
        job = decode(item, records.decode_job)
        if job is not None:
            job_id = item.key.removeprefix(records.JOB_PREFIX)
            self._scheduler.add_job(job_id, job, item.create_revision, stored)

    def _cancel(self, item):
        cancel = decode(item, records.decode_cancellation)
        if cancel is not None:
            job_id = item.key.removeprefix(records.CANCEL_PREFIX)
            self._scheduler.cancel(job_id, cancel.cancelled_ms)


def decode(item, decode_value):
    """Return the record of a KeyValue; None, with a log line, if unreadable.

    Args:
        item: the KeyValue.
        decode_value: returns the record of its value.
    """
    try:
        return decode_value(item.value)
    except msgspec.MsgspecError as exc:
        log.emit(catalogue.RECORD_UNREADABLE, record=item.key, detail=str(exc))
        return None

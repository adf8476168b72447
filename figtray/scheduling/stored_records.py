"""Reading of the records that callers and earlier leaders have stored."""

from figtray.jobs import records


class IntakeReader:
    """Hands the stored jobs and cancellations to the scheduler.

    Args:
        scheduler: the Scheduler.
        unreadable_log: the UnreadableLog.
    """

    def __init__(self, scheduler, unreadable_log):
        self._scheduler = scheduler
        self._unreadable = unreadable_log

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
        job = self._unreadable.read(item.key, records.decode_job, item.value)
        if job is not None:
            job_id = item.key.removeprefix(records.JOB_PREFIX)
            self._scheduler.add_job(job_id, job, item.create_revision, stored)

    def _cancel(self, item):
        cancel = self._unreadable.read(
            item.key, records.decode_cancellation, item.value
        )
        if cancel is not None:
            job_id = item.key.removeprefix(records.CANCEL_PREFIX)
            self._scheduler.cancel(job_id, cancel.cancelled_ms)

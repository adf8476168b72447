"""Removal of the records of jobs that ended long ago."""

from figtray.events import catalogue
from figtray.events import log
from figtray.jobs import records

REMOVAL_TIMEOUT_MS = 5000


def remove_jobs(scheduler, writer, job_ids, wait_ms=REMOVAL_TIMEOUT_MS):
    """Remove the records of expired jobs, then the jobs from the scheduler.

    The progress record goes last: a job without it would run again.

    Args:
        scheduler: the Scheduler.
        writer: the Writer.
        job_ids: ids from Scheduler.expired_jobs().
        wait_ms: longest wait for the store in milliseconds.

    Returns:
        True if the jobs are removed; False if the store did not confirm it
        in time, and the scheduler keeps them.
    """
    sequence = writer.last_sequence()
    for job_id in job_ids:
        for prefix in (records.JOB_PREFIX, records.CANCEL_PREFIX):
            sequence = writer.enqueue(prefix + job_id, _encode_deletion)
    if not writer.wait(sequence, wait_ms):
        return False
    for job_id in job_ids:
        writer.enqueue(records.PROGRESS_PREFIX + job_id, _encode_deletion)
    scheduler.forget_jobs(job_ids)
    log.emit(catalogue.JOBS_REMOVED, jobs=len(job_ids))
    return True


def _encode_deletion():
    """Return None, which makes the writer delete the key."""

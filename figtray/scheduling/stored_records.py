"""Reading of the records that callers and earlier leaders have stored."""

import threading

from figtray import decoding
from figtray.jobs import large_jobs
from figtray.jobs import ownership
from figtray.jobs import records
from figtray.scheduling import incoming_jobs
from figtray.workload import run_times


class IntakeReader:
    """Hands the stored jobs and cancellations to the scheduler.

    Args:
        scheduler: the Scheduler.
        unreadable_log: the UnreadableLog.
    """

    def __init__(self, scheduler, unreadable_log):
        self._scheduler = scheduler
        self._unreadable = unreadable_log
        # Ids of jobs whose progress is unreadable, or that can't be added.
        # Which of their tasks are done is unknown, so none of them may start.
        self._held_jobs = set()
        # While a parked job is read, its cancellation waits: it would be
        # found by neither, being read too early and applied too late.
        self._lock = threading.RLock()

    def add(self, items, progress=None):
        """Add all jobs, then the cancellations.

        Args:
            items: iterable of the KeyValues below records.INTAKE_PREFIX.
            progress: mapping of job id to its stored Progress, which is None
                if it is unreadable; None after the first call.
        """
        with self._lock:
            self._add(items, progress or {})

    def _add(self, items, progress):
        self._held_jobs |= {
            job_id for job_id, stored in progress.items() if stored is None
        }
        incoming = incoming_jobs.IncomingJobs(self._scheduler.job_room_left())
        cancellations = []
        large_room = None
        for item in items:
            if item.key.startswith(records.CANCEL_PREFIX):
                cancellations.append(item)
            elif item.key == large_jobs.LARGE_ROOM_KEY:
                large_room = item
            elif (job := self._read_new(item)) is not None:
                stored = progress.get(_job_id(item))
                incoming.add(_job_id(item), job, item.create_revision, stored)
        for job in incoming.parked:
            self._scheduler.park(job)
        for job in incoming.taken():
            self._add_job(job)
        for item in cancellations:
            self._cancel(item)
        if large_room is not None:
            self._note_large_room(large_room)

    def handle_change(self, item):
        """Add the job or the cancellation that a caller has stored."""
        if item.deleted:
            return
        with self._lock:
            self._apply(item)

    def _apply(self, item):
        if item.key.startswith(records.JOB_PREFIX):
            # It is added or parked like one of many.
            self.add([item])
        elif item.key == large_jobs.LARGE_ROOM_KEY:
            self._note_large_room(item)
        elif item.key.startswith(records.CANCEL_PREFIX):
            self._cancel(item)

    def load_parked(self, store, job_id):
        """Read a parked job, and add it.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        with self._lock:
            self._load_parked(store, job_id)

    def _load_parked(self, store, job_id):
        item = store.get(records.JOB_PREFIX + job_id)
        progress = store.get(records.PROGRESS_PREFIX + job_id)
        cancellation = store.get(records.CANCEL_PREFIX + job_id)
        stored = None
        if progress is not None:
            stored = self._unreadable.read(
                progress.key, records.decode_progress, progress.value
            )
            if stored is None:
                self._held_jobs.add(job_id)
        job = item and self._read(item)
        if job is None:
            self._scheduler.forget_parked(job_id)
            return
        self._add_job(
            incoming_jobs.IncomingJob(
                job_id, job, item.create_revision, stored
            )
        )
        if cancellation is not None:
            self._cancel(cancellation)
            self._scheduler.compact_if_ended(job_id)

    def _note_large_room(self, item):
        large_room = self._unreadable.read(
            item.key, large_jobs.decode, item.value
        )
        self._scheduler.note_large_room(item.mod_revision, large_room)

    def _read_new(self, item):
        """Return the Job of a KeyValue; None if it is known or unreadable."""
        if not item.key.startswith(records.JOB_PREFIX):
            return None
        if self._scheduler.knows_job(_job_id(item)):
            return None
        return self._read(item)

    def _read(self, item):
        job_id = _job_id(item)
        if job_id in self._held_jobs:
            return None
        return self._unreadable.read(
            item.key, lambda data: _decode_job(job_id, data), item.value
        )

    def _add_job(self, job):
        try:
            self._scheduler.add_job(
                job.job_id, job.spec, job.created, job.stored
            )
        except Exception as exc:
            self._held_jobs.add(job.job_id)
            self._scheduler.drop_job(job.job_id)
            self._unreadable.note(records.JOB_PREFIX + job.job_id, exc)

    def _cancel(self, item):
        cancel = self._unreadable.read(
            item.key, records.decode_cancellation, item.value
        )
        if cancel is None:
            return
        job_id = item.key.removeprefix(records.CANCEL_PREFIX)
        job = self._scheduler.spec_of(job_id)
        # A read by pages may show a cancellation that has given way.
        if job is None or ownership.is_cancelled(job, cancel.cancellers):
            with self._unreadable.skip_on_error(item.key):
                self._scheduler.cancel(job_id, cancel.cancelled_ms)


def load_progress(store, writer, unreadable_log):
    """Read the progress of all jobs.

    Args:
        store: the Store.
        writer: the Writer.
        unreadable_log: the UnreadableLog.

    Returns:
        Mapping of job id to its Progress, or None if that is unreadable. Of
        an ended job it holds no more than is needed.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    progress = {}
    for page in store.pages(records.PROGRESS_PREFIX):
        for item in page.items:
            writer.set_revision(item.key, item.mod_revision)
            stored = unreadable_log.read(
                item.key, records.decode_progress, item.value
            )
            if stored is not None and stored.state.ended:
                stored = records.Progress(
                    state=stored.state,
                    ended_ms=stored.ended_ms,
                    owner=stored.owner,
                )
            job_id = item.key.removeprefix(records.PROGRESS_PREFIX)
            progress[job_id] = stored
    return progress


def load_knowledge(store, writer, scheduler, unreadable_log):
    """Read what the last leader knew of policies and of run times.

    The call also reads the record of waiting jobs, which is written over.

    Args:
        store: the Store.
        writer: the Writer.
        scheduler: the Scheduler.
        unreadable_log: the UnreadableLog.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    for item in store.range(records.WAITING_KEY).items:
        writer.set_revision(item.key, item.mod_revision)
        if item.key == records.POLICIES_KEY:
            last = unreadable_log.read(
                item.key, records.decode_last_policies, item.value
            )
            if last is not None:
                scheduler.begin_policies(last)
        elif item.key == records.RUN_TIMES_KEY:
            record = unreadable_log.read(
                item.key, run_times.decode, item.value
            )
            if record is not None:
                scheduler.load_run_times(record)


def _job_id(item):
    return item.key.removeprefix(records.JOB_PREFIX)


def _decode_job(job_id, data):
    # The names of its tasks could not be told apart.
    if not job_id or '.' in job_id:
        raise decoding.unreadable('job', f'odd id {job_id!r}')
    return records.decode_job(data)

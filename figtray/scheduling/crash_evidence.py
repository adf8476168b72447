"""Evidence of each crash that counts against a task, and its log line."""

import msgspec

from figtray.blame import evidence
from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import run_ages
from figtray.scheduling import suspect_runs


def evidence_of(run, alone, crashes_in_row, ended_ms):
    """Return what is known of a crash under a run.

    Args:
        run: the Run on the crashed worker.
        alone: whether it was on trial there and had just started.
        crashes_in_row: number of crashes of the host in a row, with this one.
        ended_ms: Unix time in milliseconds at which the worker fell silent.
    """
    worker_state = run.worker_state
    row = evidence.Crash(
        run=run.number,
        host_id=worker_state.host_key,
        age_ms=run_ages.age_at_end_ms(run),
        up_ms=worker_state.up_ms(run.sent_ms),
        alone=alone,
        arrived=run.started_ms is not None or run.cut_off,
        beside=len(suspect_runs.sent_runs(worker_state)) - 1,
        others=_count_others(run.task, worker_state, crashes_in_row),
    )
    if not run.adopted:
        return row
    # The leader that has started it may have recorded when.
    placement = run.task.placement
    if placement is None or not placement.at_ms:
        return msgspec.structs.replace(row, age_ms=None, up_ms=None)
    return msgspec.structs.replace(
        row, age_ms=ended_ms - placement.at_ms, up_ms=placement.up_ms
    )


def evidence_of_placed(number, placement, host_id, now_ms):
    """Return what is known of a crash that no leader has seen.

    Args:
        number: number that stands for the run.
        placement: the records.Placement of the run.
        host_id: id of the host.
        now_ms: Unix time in milliseconds.
    """
    is_known = placement.at_ms > 0
    return evidence.Crash(
        run=number,
        host_id=host_id,
        age_ms=now_ms - placement.at_ms if is_known else None,
        up_ms=placement.up_ms,
        arrived=True,
        sure=False,
    )


def log_suspected(run):
    """Log that the task of a run is suspected of one more crash."""
    crashes = run.task.crashes
    log.emit(
        catalogue.TASK_SUSPECTED,
        task=run.task.name,
        run=run.number,
        worker=run.worker_state.worker.worker_id,
        crashes=crashes.count,
        alone=crashes.alone,
        after_ms=run_ages.age_at_end_ms(run),
        evidence=describe(crashes.evidence[-1:]),
    )


def describe(rows):
    """Return the texts of evidence for the log."""
    return [row.describe() for row in rows]


def _count_others(task, worker_state, crashes_in_row):
    """Return how many crashes of a host in a row came without a task."""
    own = sum(
        row.host_id == worker_state.host_key for row in task.crashes.evidence
    )
    return max(0, crashes_in_row - 1 - own)

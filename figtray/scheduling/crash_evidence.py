"""Evidence of each crash that counts against a task, and its log line."""

from figtray.blame import evidence
from figtray.events import catalogue
from figtray.events import log
from figtray.scheduling import ends
from figtray.scheduling import run_ages
from figtray.scheduling import suspect_runs


def evidence_of(run, alone, hosts, now_ms, wall_ms):
    """Return what is known of a crash under a run.

    Args:
        run: the Run on the crashed worker.
        alone: whether it was on trial there and had just started.
        hosts: the blame Hosts, with this crash.
        now_ms: local time.
        wall_ms: Unix time in milliseconds.
    """
    worker_state = run.worker_state
    silent_ms = worker_state.silent_since_ms
    ended_ms = now_ms if silent_ms is None else silent_ms
    own = [row.host_id for row in run.task.crashes.evidence]
    host_id = worker_state.host_key
    fields = {
        'run': run.number,
        'host_id': host_id,
        'alone': alone,
        'arrived': run.started_ms is not None or run.cut_off,
        'beside': len(suspect_runs.sent_runs(worker_state)) - 1,
        'others': hosts.crashes_in_row(host_id, now_ms)
        - 1
        - own.count(host_id),
        'around': hosts.count(now_ms) - len({*own, host_id}),
    }
    if run.adopted:
        # The leader that has started it may have recorded when.
        age_ms = up_ms = None
        placement = run.task.placement
        if placement is not None and placement.at_ms:
            age_ms = wall_ms - (now_ms - ended_ms) - placement.at_ms
            up_ms = placement.up_ms
        since_ms = run.started_ms
    else:
        age_ms = ended_ms - run.sent_ms
        up_ms, since_ms = worker_state.up_ms(run.sent_ms), run.sent_ms
    seen_ms = run.seen_ms if run.seen_ms is not None else since_ms
    return evidence.make(
        age_ms=age_ms, up_ms=up_ms, least_ms=seen_ms - since_ms, **fields
    )


def evidence_of_placed(number, placement, host_id, kind, wall_ms):
    """Return what is known of a crash that no leader has seen.

    Args:
        number: number that stands for the run.
        placement: the records.Placement of the run.
        host_id: id of the host.
        kind: the ends.Kind of the end of the worker.
        wall_ms: Unix time in milliseconds.
    """
    is_known = placement.at_ms > 0
    return evidence.make(
        run=number,
        host_id=host_id,
        age_ms=wall_ms - placement.at_ms if is_known else None,
        up_ms=placement.up_ms,
        # The start is recorded before it is sent.
        arrived=kind == ends.Kind.CRASHED or not placement.unsure,
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

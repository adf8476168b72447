"""Ages of runs, and whether those in crashes show the same cause."""

# Crashes come right after the start. A run that has gone on for this long is
# not suspected if its worker also had a younger one.
SETTLED_MS = 400
# A run that has outlasted those under which workers crashed, or has gone on
# for this long, shows that its task was not the cause.
CLEARED_MS = 10_000
# Later crashes count up to this age, if they come at the same age each time:
# those that are chance do not.
MAX_AGE_MS = 30_000
# Largest difference of such ages, as a share of the longest.
AGE_TOLERANCE = 0.15


def is_late(run):
    """Return whether a run had gone on for a while when its worker ended."""
    silent_ms = run.worker_state.silent_since_ms
    return silent_ms is not None and has_gone_on(run, SETTLED_MS, silent_ms)


def was_seen_late(run):
    """Return whether a report has shown that a run had gone on for a while.

    A crash may be noticed late, but those on trial are asked often.
    """
    return run.seen_ms is not None and has_gone_on(
        run, SETTLED_MS, run.seen_ms
    )


def has_gone_on(run, for_ms, at_ms):
    """Return whether a run had certainly gone on for a time.

    A worker may need a while to execute and confirm a start.

    Args:
        run: the Run.
        for_ms: the time in milliseconds.
        at_ms: local time at which it went on.
    """
    return run.started_ms is not None and at_ms - run.started_ms >= for_ms


def is_unlike_earlier(run):
    """Return whether a crash is not the doing of what caused earlier ones.

    That is so if one came long after the start and the other did not, or at
    another age.

    Args:
        run: a Run on the crashed worker.
    """
    longest_ms, age_ms = run.task.crashes.longest_ms, age_at_end_ms(run) or 0
    if run.adopted or max(longest_ms, age_ms) <= CLEARED_MS:
        return False
    return abs(longest_ms - age_ms) > AGE_TOLERANCE * longest_ms


def note_age(run):
    """Record for how long at most a run had gone on in a crash.

    That of an adopted run is unknown.
    """
    age_ms = age_at_end_ms(run) or 0
    if run.adopted:
        age_ms = max(age_ms, CLEARED_MS)
    run.task.crashes = run.task.crashes.note_age(age_ms)


def age_at_end_ms(run):
    """Return how long at most a run went on before its worker fell silent."""
    silent_ms = run.worker_state.silent_since_ms
    return None if silent_ms is None else silent_ms - run.sent_ms

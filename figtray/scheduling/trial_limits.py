"""Limits of the trials of suspects, and of the waits for them."""

from figtray.scheduling import crashes
from figtray.scheduling import run_ages

# Length of a trial, and of that of a task whose runs had gone on for a while
# when their workers crashed. A run that has passed a trial is a settled one:
# otherwise each crash between the two would count as the first.
TRIAL_MS = run_ages.SETTLED_MS
LONG_TRIAL_MS = 3000
# A task with as many crashes, also late ones, is on trial until a run has
# outlasted those under which workers crashed.
CRASHES_TO_TRY_LONGER = 3
# A task that is suspected of this many crashes starts on trial only.
CRASHES_TO_REQUIRE_TRIAL = 3
# So does a suspect with this many crashes if the late ones are included.
ALL_CRASHES_TO_REQUIRE_TRIAL = 4
# A lasting task starts without a trial after this wait, unless a crash soon
# after its start on trial speaks against it: the trials of many tasks on few
# workers would take long one after another.
MAX_LASTING_TRIAL_WAIT_MS = 3000
# A task that ends starts without its trial after this wait if no worker is
# free for one, also after crashes on trial: it is given up after few more.
MAX_REQUIRED_TRIAL_WAIT_MS = 2500
# What is left of these waits after a change of the leader, for tasks that end.
RESUMED_TRIAL_WAIT_MS = 1000
# A suspect with fewer crashes starts without a trial after this wait.
MAX_TRIAL_WAIT_MS = 1500
# After this one, it also starts on a worker where another suspect has just
# started.
MAX_APART_WAIT_MS = 2500
# The same for a task that ends and had to start on trial only.
MAX_REQUIRED_APART_WAIT_MS = 4000


def is_trial_needed(task, now_ms):
    """Return whether a task may start only on trial.

    Args:
        task: the TaskState.
        now_ms: local time.
    """
    if is_tried_each_time(task):
        return not has_awaited_trial(task, now_ms)
    return (
        crashes.is_suspect(task)
        and waited_ms(task, now_ms) < MAX_TRIAL_WAIT_MS
    )


def has_awaited_trial(task, now_ms):
    """Return whether a task has awaited a required trial for long enough.

    Args:
        task: the TaskState.
        now_ms: local time.
    """
    if not is_tried_each_time(task):
        return False
    if task.step.spec.lasting:
        return (
            not task.crashes.alone
            and now_ms - task.ready_ms >= MAX_LASTING_TRIAL_WAIT_MS
        )
    return waited_ms(task, now_ms) >= MAX_REQUIRED_TRIAL_WAIT_MS


def is_held_by_trials(task, now_ms):
    """Return whether the trials of others may be all that a task waits for.

    A lasting one, or a gang, that waits on after the longest of them has no
    room.

    Args:
        task: the TaskState.
        now_ms: local time.
    """
    spec = task.step.spec
    if spec.lasting:
        longest_ms = MAX_LASTING_TRIAL_WAIT_MS + LONG_TRIAL_MS
        return has_awaited_trial(task, now_ms) and (
            now_ms - task.ready_ms <= max(longest_ms, crashes.GUILTY_PAUSE_MS)
        )
    limit_ms = MAX_APART_WAIT_MS
    if is_tried_each_time(task):
        limit_ms = MAX_REQUIRED_TRIAL_WAIT_MS
    over_ms = waited_ms(task, now_ms) - limit_ms
    if spec.gang and over_ms > 2 * LONG_TRIAL_MS:
        return False
    return over_ms >= 0 and not crashes.is_paused(task, now_ms)


def waited_ms(task, now_ms):
    """Return for how long a task has waited, as far as it had room."""
    return now_ms - task.ready_ms + task.trial_wait_offset_ms


def is_trial_preferred(task):
    """Return whether a task that has awaited a trial takes one if it can."""
    return is_tried_each_time(task) and not task.step.spec.lasting


def earlier_wait_ms(task):
    """Return for how long a task has awaited a trial under earlier leaders.

    That is not stored, so most of the wait counts as over.
    """
    if task.step.spec.lasting or not crashes.is_suspect(task):
        return 0
    if is_tried_each_time(task):
        return MAX_REQUIRED_TRIAL_WAIT_MS - RESUMED_TRIAL_WAIT_MS
    return MAX_TRIAL_WAIT_MS - RESUMED_TRIAL_WAIT_MS


def is_tried_each_time(task):
    """Return whether a task has enough crashes to start on trial only."""
    return (
        task.crashes.count >= CRASHES_TO_REQUIRE_TRIAL
        or crashes.count_all(task.crashes) >= ALL_CRASHES_TO_REQUIRE_TRIAL
    )


def must_start_apart(task, now_ms):
    """Return whether a suspect may not start beside another one.

    Args:
        task: its TaskState.
        now_ms: local time.
    """
    if is_trial_preferred(task):
        return waited_ms(task, now_ms) < MAX_REQUIRED_APART_WAIT_MS
    return waited_ms(task, now_ms) < MAX_APART_WAIT_MS


def is_trial_over(run, asked_ms):
    """Return whether a run has gone on for as long as a trial.

    Args:
        run: the Run.
        asked_ms: local time at which it certainly went on.
    """
    found = run.task.crashes
    if crashes.count_all(found) >= CRASHES_TO_TRY_LONGER:
        return is_cleared(run, asked_ms)
    trial_ms = LONG_TRIAL_MS if found.late else TRIAL_MS
    return run_ages.has_gone_on(run, trial_ms, asked_ms)


def is_cleared(run, asked_ms):
    """Return whether a run that has passed a trial clears its task.

    A task that crashes its workers late goes on until then each time.

    Args:
        run: the Run.
        asked_ms: local time at which it certainly went on.
    """
    longest_ms = run.task.crashes.longest_ms
    cleared_ms = longest_ms + run_ages.SETTLED_MS
    if not run_ages.CLEARED_MS < longest_ms <= run_ages.MAX_AGE_MS:
        cleared_ms = min(cleared_ms, run_ages.CLEARED_MS)
    return run_ages.has_gone_on(run, cleared_ms, asked_ms)

"""Judgement of the tasks under which workers crashed.

A crash makes the tasks that had just started on the worker suspects. Each is
tried on a worker where nothing else starts meanwhile, so a further crash is
its own doing. Only such crashes show that a task is guilty. Its job is given
up, unless it has tasks that last: those run until the job is cancelled, so the
guilty task pauses after each crash.
"""

import msgspec

from figtray.blame import evidence
from figtray.blame import verdicts
from figtray.events import catalogue
from figtray.events import log

# Crashes come right after the start. A run that has gone on for this long is
# not suspected if its worker also had a younger one.
SETTLED_MS = 400
# Crashes of such runs after which their task is suspected as well.
LATE_CRASHES_TO_TRY = 3
# Length of a trial, and of that of a task whose runs had gone on for a while
# when their workers crashed. A run that has passed a trial is a settled one:
# otherwise each crash between the two would count as the first.
TRIAL_MS = SETTLED_MS
LONG_TRIAL_MS = 3000
# A run that has outlasted those under which workers crashed, or has gone on
# for this long, shows that its task was not the cause.
CLEARED_MS = 10_000
# Later crashes count up to this age, if they come at the same age each time:
# those that are chance do not.
MAX_AGE_MS = 30_000
# Largest difference of such ages, as a share of the longest.
AGE_TOLERANCE = 0.15
# A task with as many crashes, also late ones, is on trial until a run has
# outlasted those under which workers crashed.
CRASHES_TO_TRY_LONGER = 3
# Number of crashes after which a task is given up, by how many of them were on
# trial and soon after the start. One of these may be chance: a worker may
# crash by itself during a trial. After a change of the leader it may be
# unknown that a crash was on trial.
CRASHES_TO_GIVE_UP = {0: 5, 1: 4, 2: 3}
# Least time between a crash and the next start of a task with as many crashes
# as one that is given up: its job has tasks that last, or its guilt is not
# shown.
GUILTY_PAUSE_MS = 4000
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


def suspects(worker_state):
    """Return the runs that may have crashed a worker.

    That is the run on trial and others of its gang, if there is one; else
    those that had just started, or all if none had.

    Args:
        worker_state: its WorkerState.
    """
    sent = _sent_runs(worker_state)
    tried = run_on_trial(worker_state)
    if tried in sent:
        return [
            run for run in sent if run is tried or _is_of_same_gang(run, tried)
        ]
    return [run for run in sent if not is_late(run)] or sent


def late_runs(worker_state):
    """Return the runs that had gone on for a while before a crash.

    They may be the cause, too, if another one is on trial or had just started.

    Args:
        worker_state: WorkerState of the crashed worker.
    """
    sent = _sent_runs(worker_state)
    if run_on_trial(worker_state) in sent:
        tried = suspects(worker_state)
        return [run for run in sent if run not in tried]
    return [run for run in sent if is_late(run)]


def has_fresh_suspect(worker_state, now_ms):
    """Return whether a run on a worker may still crash it.

    Args:
        worker_state: its WorkerState.
        now_ms: local time.
    """
    return any(
        is_suspect(run.task) and not has_gone_on(run, SETTLED_MS, now_ms)
        for run in worker_state.runs.values()
    )


def run_on_trial(worker_state):
    """Return the run on trial on a worker; None if there is none."""
    trial = worker_state.trial
    return trial and worker_state.runs.get(trial.task.name)


def is_guilty(task):
    """Return whether a task certainly crashes its workers."""
    return is_contested(task) and isinstance(
        verdicts.judge(task.crashes.evidence), verdicts.TaskAtFault
    )


def is_contested(task):
    """Return whether a task has as many crashes as one that causes them."""
    crashes = task.crashes
    if crashes.count >= CRASHES_TO_GIVE_UP[0]:
        return True
    # Late ones show less, as others may be their cause.
    alone = min(crashes.alone, max(CRASHES_TO_GIVE_UP))
    early = len({*crashes.runs} - {*crashes.late})
    return early >= CRASHES_TO_GIVE_UP[alone]


def is_paused(task, now_ms):
    """Return whether a task waits, as it may well crash its next worker.

    Args:
        task: the TaskState.
        now_ms: local time.
    """
    return is_contested(task) and now_ms - task.ready_ms < GUILTY_PAUSE_MS


def may_start_on(task, worker_state, now_ms):
    """Return whether a worker has been up for long enough for a task.

    A task that lasts starts on any, as it is never given up.

    Args:
        task: the TaskState.
        worker_state: the WorkerState.
        now_ms: local time.
    """
    rows = task.crashes.evidence
    if not rows or task.step.spec.lasting:
        return True
    up_ms = worker_state.up_ms(now_ms)
    return up_ms is not None and up_ms >= least_up_ms(task)


def least_up_ms(task):
    """Return how long a worker must have been up before a task starts."""
    return verdicts.least_up_ms(task.crashes.evidence)


def proven_workers(tasks, worker_states, now_ms):
    """Return the workers that have been up for long enough for some tasks.

    Args:
        tasks: the TaskStates.
        worker_states: list of WorkerStates.
        now_ms: local time.
    """
    found = [
        worker_state
        for worker_state in worker_states
        if all(may_start_on(task, worker_state, now_ms) for task in tasks)
    ]
    # The candidates of a plan are kept in an order of their own.
    return worker_states if len(found) == len(worker_states) else found


def is_suspect(task):
    """Return whether a task may have crashed workers."""
    crashes = task.crashes
    return crashes.count > 0 or len(crashes.late) >= LATE_CRASHES_TO_TRY


def is_trial_needed(task, now_ms):
    """Return whether a task may start only on trial.

    Args:
        task: the TaskState.
        now_ms: local time.
    """
    if is_tried_each_time(task):
        return not has_awaited_trial(task, now_ms)
    return is_suspect(task) and waited_ms(task, now_ms) < MAX_TRIAL_WAIT_MS


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
            now_ms - task.ready_ms <= max(longest_ms, GUILTY_PAUSE_MS)
        )
    limit_ms = MAX_APART_WAIT_MS
    if is_tried_each_time(task):
        limit_ms = MAX_REQUIRED_TRIAL_WAIT_MS
    over_ms = waited_ms(task, now_ms) - limit_ms
    if spec.gang and over_ms > 2 * LONG_TRIAL_MS:
        return False
    return over_ms >= 0 and not is_paused(task, now_ms)


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
    if task.step.spec.lasting or not is_suspect(task):
        return 0
    if is_tried_each_time(task):
        return MAX_REQUIRED_TRIAL_WAIT_MS - RESUMED_TRIAL_WAIT_MS
    return MAX_TRIAL_WAIT_MS - RESUMED_TRIAL_WAIT_MS


def is_tried_each_time(task):
    """Return whether a task has enough crashes to start on trial only."""
    return (
        task.crashes.count >= CRASHES_TO_REQUIRE_TRIAL
        or _count_all(task.crashes) >= ALL_CRASHES_TO_REQUIRE_TRIAL
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
    crashes = run.task.crashes
    if _count_all(crashes) >= CRASHES_TO_TRY_LONGER:
        return is_cleared(run, asked_ms)
    trial_ms = LONG_TRIAL_MS if crashes.late else TRIAL_MS
    return has_gone_on(run, trial_ms, asked_ms)


def is_cleared(run, asked_ms):
    """Return whether a run that has passed a trial clears its task.

    A task that crashes its workers late goes on until then each time.

    Args:
        run: the Run.
        asked_ms: local time at which it certainly went on.
    """
    longest_ms = run.task.crashes.longest_ms
    cleared_ms = longest_ms + SETTLED_MS
    if not CLEARED_MS < longest_ms <= MAX_AGE_MS:
        cleared_ms = min(cleared_ms, CLEARED_MS)
    return has_gone_on(run, cleared_ms, asked_ms)


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
    longest_ms, age_ms = run.task.crashes.longest_ms, _age_ms(run) or 0
    if run.adopted or max(longest_ms, age_ms) <= CLEARED_MS:
        return False
    return abs(longest_ms - age_ms) > AGE_TOLERANCE * longest_ms


def note_age(run):
    """Record for how long at most a run had gone on in a crash.

    That of an adopted run is unknown.
    """
    age_ms = _age_ms(run) or 0
    if run.adopted:
        age_ms = max(age_ms, CLEARED_MS)
    run.task.crashes = run.task.crashes.note_age(age_ms)


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
        age_ms=_age_ms(run),
        up_ms=worker_state.up_ms(run.sent_ms),
        alone=alone,
        arrived=run.started_ms is not None or run.cut_off,
        beside=len(_sent_runs(worker_state)) - 1,
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


def _count_others(task, worker_state, crashes_in_row):
    """Return how many crashes of a host in a row came without a task."""
    own = sum(
        row.host_id == worker_state.host_key for row in task.crashes.evidence
    )
    return max(0, crashes_in_row - 1 - own)


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
        after_ms=_age_ms(run),
        evidence=describe(crashes.evidence[-1:]),
    )


def describe(rows):
    """Return the texts of evidence for the log."""
    return [row.describe() for row in rows]


def is_alone_untried(runs):
    """Return whether only a run without its trial had just started.

    A crash then shows as much as one on trial.

    Args:
        runs: the Runs that are suspected of a crash.
    """
    return len(runs) == 1 and runs[0].untried and not is_late(runs[0])


def is_guilty_untried(run):
    """Return whether a task crashes its workers, by a run without its trial.

    One that crashes them late, beside others, would otherwise go on without
    end while it awaits each trial in vain. It does so at the same age each
    time; crashes by chance come at any age.

    Args:
        run: a Run on the crashed worker. Its crash is counted, its age is not
            noted yet.
    """
    crashes = run.task.crashes
    if not run.untried or _count_all(crashes) < CRASHES_TO_GIVE_UP[0]:
        return False
    # The age of an adopted run is unknown; an early crash needs no other.
    if run.adopted or crashes.longest_ms == CLEARED_MS or not is_late(run):
        return True
    difference_ms = abs(crashes.longest_ms - (_age_ms(run) or 0))
    return difference_ms <= max(AGE_TOLERANCE * crashes.longest_ms, SETTLED_MS)


def _count_all(crashes):
    """Return the number of crashes of a task, with the late ones."""
    return len({*crashes.runs, *crashes.late})


def _sent_runs(worker_state):
    """Return the runs on a worker that it may have started."""
    return [
        run for run in worker_state.runs.values() if run.sent_ms is not None
    ]


def _is_of_same_gang(run, other):
    """Return whether two runs are of the same gang."""
    step = run.task.step
    return step.spec.gang and step is other.task.step


def _age_ms(run):
    """Return how long at most a run went on before its worker fell silent."""
    silent_ms = run.worker_state.silent_since_ms
    return None if silent_ms is None else silent_ms - run.sent_ms

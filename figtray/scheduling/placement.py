"""Choice of the workers for a task or a gang."""

from figtray.jobs import model
from figtray.scheduling import state
from figtray.scheduling import suspect_runs
from figtray.workload import least_used

# A share in use is a rounded number.
ROUNDING_MILLI = 1


class Candidates(list):
    """Candidate WorkerStates of a pool during one plan.

    A plan holds the scheduler's lock, so free room only shrinks, except on
    a worker whose trial is given up during the plan.
    """

    _order = None

    def choose(self, step, now_ms, apart):
        """Return the least used worker for a task; prepare() comes first."""
        needs = state.occupied(step.spec)
        if any(needs.covers(full) for full in self._full_for):
            return None
        chosen = self._order.find(
            lambda number: _used_share(self[number]),
            lambda number: _may_start(step, self[number], now_ms, apart),
            1 - (needs.cpu_milli - ROUNDING_MILLI) / self._largest_milli,
        )
        if chosen is not None:
            return self[chosen]
        if _is_plain(step, apart) and not any(w.trial for w in self):
            self._full_for.append(needs)
        return None

    def prepare(self):
        """Order the candidates; they stay the same from now on."""
        if self._order is not None:
            return
        self._order = least_used.LeastUsed(map(_used_share, self))
        self._largest_milli = max(
            (w.worker.capacity.cpu_milli for w in self), default=0
        )
        self._largest_milli = max(1, self._largest_milli)
        # The Resources for which no worker has room.
        self._full_for = []


def largest_capacity(worker_states):
    """Return the largest amount of each resource that a worker has."""
    largest = model.NO_RESOURCES
    for worker_state in worker_states:
        largest = largest.at_least(worker_state.worker.capacity)
    return largest


def choose(step, worker_states, now_ms, apart=False):
    """Return the best worker for a task of a step, or None.

    Args:
        step: the StepState.
        worker_states: candidate WorkerStates of the pool.
        now_ms: local time in milliseconds.
        apart: whether the task may not start together with others that are
            suspected of crashes.
    """
    if isinstance(worker_states, Candidates) and _is_by_use(step.spec):
        worker_states.prepare()
        return worker_states.choose(step, now_ms, apart)
    best, best_score = None, None
    for worker_state in worker_states:
        if not _may_start(step, worker_state, now_ms, apart):
            continue
        score = _score(step.spec, worker_state)
        if best is None or score < best_score:
            best, best_score = worker_state, score
    return best


def fits(step, worker_state, now_ms):
    """Return whether one more task of a step may start on a worker now."""
    return worker_state.trial is None and has_room(step, worker_state, now_ms)


def _may_start(step, worker_state, now_ms, apart):
    """Return whether a task may start on a worker now; see choose()."""
    return fits(step, worker_state, now_ms) and not (
        apart and suspect_runs.has_fresh_suspect(worker_state, now_ms)
    )


def _is_plain(step, apart):
    """Return whether a step asks for nothing but room."""
    spec = step.spec
    return not (
        apart or spec.label or spec.max_per_worker or step.refusals is not None
    )


def _is_by_use(spec):
    """Return whether the least used worker is the best one; see _score()."""
    return not (
        spec.data_rack or spec.lasting or spec.fills or spec.tail_limit_ms
    )


def is_usable(worker_state, now_ms):
    """Return whether tasks may start on a worker now."""
    return (
        not worker_state.cordon_reason
        and worker_state.rest_until_ms <= now_ms
        and _is_sound(worker_state, now_ms)
    )


def suits(step, worker_state, now_ms):
    """Return whether a worker that runs nothing else may run a task."""
    return (
        is_usable(worker_state, now_ms)
        and _can_hold(step, worker_state)
        and not _is_paused(step, worker_state, now_ms)
    )


def has_room(step, worker_state, now_ms, planned=0):
    """Return whether a worker has room for one more task of a step.

    Args:
        step: the StepState.
        worker_state: the WorkerState.
        now_ms: local time in milliseconds.
        planned: number of tasks of the step that are to start there besides
            those that run.
    """
    return not worker_state.cordon_reason and has_room_uncordoned(
        step, worker_state, now_ms, planned
    )


def has_room_uncordoned(step, worker_state, now_ms, planned=0):
    """Return what has_room() would return if the worker weren't cordoned."""
    return worker_state.rest_until_ms <= now_ms and has_room_after_rest(
        step, worker_state, now_ms, planned
    )


def has_room_after_rest(step, worker_state, now_ms, planned=0):
    """Return what has_room_uncordoned() would if the worker didn't rest."""
    spec = step.spec
    if not (_is_sound(worker_state, now_ms) and _can_hold(step, worker_state)):
        return False
    if _is_paused(step, worker_state, now_ms):
        return False
    if not worker_state.free_resources().covers(state.occupied(spec)):
        return False
    if spec.max_per_worker:
        running_here = sum(
            1 for run in worker_state.runs.values() if run.task.step is step
        )
        return running_here + planned < spec.max_per_worker
    return True


def by_rack(step, worker_states):
    """Return lists of the WorkerStates of each rack, the best rack first.

    That is the rack of the data of a step, then the one with the most free
    processor time.
    """
    racks = {}
    for worker_state in worker_states:
        racks.setdefault(worker_state.worker.rack, []).append(worker_state)
    return sorted(
        racks.values(),
        key=lambda group: (
            group[0].worker.rack != step.spec.data_rack,
            -sum(
                worker_state.free_resources().cpu_milli
                for worker_state in group
            ),
        ),
    )


def fits_member(step, worker_state, count, now_ms, on_trial_worker):
    """Return whether a worker can get one more member of a gang.

    Args:
        step: the StepState.
        worker_state: the WorkerState.
        count: number of members that it gets already.
        now_ms: local time.
        on_trial_worker: whether it may be the worker of the trial.
    """
    can_start = has_room if on_trial_worker else fits
    max_count = step.spec.max_per_worker
    return (
        can_start(step, worker_state, now_ms)
        and worker_state.free_resources().covers(
            state.occupied(step.spec).times(count + 1)
        )
        and (not max_count or count < max_count)
    )


def _is_sound(worker_state, now_ms):
    return not (
        worker_state.avoid_until_ms > now_ms
        or worker_state.unresponsive
        or worker_state.stray_runs.unknown
    )


def _is_paused(step, worker_state, now_ms):
    """Return whether a worker has just refused a start of a step."""
    return step.refusals is not None and step.refusals.is_paused(
        worker_state, now_ms
    )


def _can_hold(step, worker_state):
    """Return whether the capacity of a worker suffices for a task."""
    return step.spec.label in (
        '',
        *worker_state.worker.labels,
    ) and worker_state.worker.capacity.covers(state.occupied(step.spec))


def _score(spec, worker_state):
    """Return a sort key of a worker; the lowest key is the best worker.

    Workers on the rack of the data come first; then, for a lasting task,
    those without an upkeep ahead; then those with the fewest tasks of the
    same kind (best-effort or latency-sensitive); then the least loaded ones.
    """
    off_rack = (
        bool(spec.data_rack) and worker_state.worker.rack != spec.data_rack
    )
    used = _used_share(worker_state)
    peer_count = 0
    if spec.fills:
        peer_count = sum(
            1 for run in worker_state.runs.values() if run.task.step.spec.fills
        )
    elif spec.tail_limit_ms:
        peer_count = sum(
            1
            for run in worker_state.runs.values()
            if run.task.step.spec.tail_limit_ms
        )
    return off_rack, spec.lasting and worker_state.upkeep_due, peer_count, used


def _used_share(worker_state):
    """Return the share of a worker's processor time that its runs occupy."""
    capacity = worker_state.worker.capacity
    return worker_state.used.cpu_milli / max(1, capacity.cpu_milli)

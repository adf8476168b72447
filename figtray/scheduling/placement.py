"""Choice of the worker for a task."""


def choose(step, places, now_ms):
    """Return the best worker for a task of a step, or None.

    Args:
        step: the StepState.
        places: candidate WorkerStates of the pool.
        now_ms: local time.
    """
    best, best_score = None, None
    for place in places:
        if not fits(step, place, now_ms):
            continue
        score = _score(step.spec, place)
        if best is None or score < best_score:
            best, best_score = place, score
    return best


def fits(step, place, now_ms):
    """Tell whether a worker may run one more task of a step now."""
    spec = step.spec
    if place.avoid_until_ms > now_ms or place.closing or place.silent:
        return False
    if spec.label and spec.label not in place.worker.labels:
        return False
    if spec.fills:
        if place.room().memory_mb < spec.needs.memory_mb:
            return False
    elif not place.room().covers(spec.needs):
        return False
    if spec.max_per_worker:
        here = sum(1 for run in place.runs.values() if run.task.step is step)
        return here < spec.max_per_worker
    return True


def _score(spec, place):
    """Order workers: near the data first, then the least loaded."""
    far = bool(spec.data_rack) and place.worker.rack != spec.data_rack
    capacity = place.worker.capacity
    used = place.used.cpu_milli / max(1, capacity.cpu_milli)
    crowd = 0
    if spec.fills:
        crowd = sum(
            1 for run in place.runs.values() if run.task.step.spec.fills
        )
    elif spec.tail_limit_ms:
        crowd = sum(
            1
            for run in place.runs.values()
            if run.task.step.spec.tail_limit_ms
        )
    return far, spec.lasting and place.due, crowd, used

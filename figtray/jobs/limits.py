"""Limits of jobs; one beyond them could never run, or hold up others."""

MAX_TASKS_PER_STEP = 10_000
MAX_TASKS_PER_OCCURRENCE = 100_000
MAX_TASKS = 1_000_000
# Of each resource, in its unit.
MAX_AMOUNT = 10**9
# Times and durations; the Unix time in milliseconds is below it for ages.
MAX_TIME_MS = 10**15


def problem(job):
    """Return why a job can't be accepted; empty if it can.

    Args:
        job: the model.Job.
    """
    return next(_problems(job), '')


def _problems(job):
    if not job.steps:
        yield 'steps: none'
    for number, step in enumerate(job.steps):
        for field, expected in _step_problems(number, step):
            yield f'steps[{number}].{field}: not {expected}'
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS_PER_OCCURRENCE:
        yield f'steps: over {MAX_TASKS_PER_OCCURRENCE} tasks'
    if not 0 <= job.repeats * tasks <= MAX_TASKS:
        yield f'repeats: not 0 to {MAX_TASKS} tasks in all'
    for field in ('start_ms', 'interval_ms', 'accepted_ms'):
        if not 0 <= getattr(job, field) <= MAX_TIME_MS:
            yield f'{field}: not 0 to {MAX_TIME_MS}'


def _step_problems(number, step):
    """Yield the wrong fields of a step, and what they may hold."""
    if not 0 < step.count <= MAX_TASKS_PER_STEP:
        yield 'count', f'1 to {MAX_TASKS_PER_STEP}'
    if any(not 0 <= other < number for other in step.after):
        yield 'after', 'an earlier step'
    if are_amounts_odd(step.needs):
        yield 'needs', f'0 to {MAX_AMOUNT} of each resource'
    for field in ('estimate_ms', 'tail_limit_ms'):
        if not 0 <= getattr(step, field) <= MAX_TIME_MS:
            yield field, f'0 to {MAX_TIME_MS}'
    for field in ('max_per_worker', 'may_be_away'):
        if not 0 <= getattr(step, field) <= MAX_AMOUNT:
            yield field, f'0 to {MAX_AMOUNT}'


def are_amounts_odd(resources):
    """Return whether an amount of Resources is out of range."""
    amounts = (resources.cpu_milli, resources.memory_mb, resources.gpus)
    return any(not 0 <= amount <= MAX_AMOUNT for amount in amounts)

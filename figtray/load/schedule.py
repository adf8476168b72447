"""Times and kinds of the requests of a run, from a seed."""

import dataclasses
import random


@dataclasses.dataclass(frozen=True, order=True)
class Planned:
    """One submission; `at_ms` is the intended send time from the start.

    `token` identifies the request in its body and its answer. A keyed
    request occurs twice, with the same token.
    """

    at_ms: float
    token: str
    load: int
    is_repeat: bool = False
    urgent: bool = False
    keyed: bool = False
    idempotent: bool = False
    cancelled: bool = False


def rate_factor(cfg, queue_number, queue_count, at_ms):
    """Return the rate of a queue as a multiple of its mean.

    The peaks of the queues follow each other. The length of a peak is such
    that the mean over a cycle is 1.
    """
    if not cfg.cycle_ms:
        return 1.0
    peak_part = (1 - cfg.trough_factor) / (cfg.peak_factor - cfg.trough_factor)
    place = (at_ms / cfg.cycle_ms - queue_number / queue_count) % 1
    return cfg.peak_factor if place < peak_part else cfg.trough_factor


def plan(cfg):
    """Return all Planned submissions of a run in the order of their times.

    The arrivals of each team are a Poisson process. Each team has its own
    random numbers, so the load of one does not change with the others.

    Args:
        cfg: LoadSettings.
    """
    queues = sorted({load.queue for load in cfg.teams})
    planned = []
    for number, load in enumerate(cfg.teams):
        rng = random.Random(f'{cfg.seed}/{number}/{load.team}/{load.queue}')
        queue_number = queues.index(load.queue)
        for at_ms in _arrivals(cfg, load, queue_number, len(queues), rng):
            planned += _requests(cfg, number, load, at_ms, rng)
    planned.sort()
    return planned


def _arrivals(cfg, load, queue_number, queue_count, rng):
    """Yield arrival times by thinning a process of the greatest rate."""
    highest = cfg.peak_factor if cfg.cycle_ms else 1.0
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(load.rate_per_s * highest / 1000)
        if at_ms >= cfg.duration_ms:
            return
        factor = rate_factor(cfg, queue_number, queue_count, at_ms)
        if rng.random() * highest < factor:
            yield at_ms


def _requests(cfg, number, load, at_ms, rng):
    keyed = rng.random() < load.keyed_part
    first = Planned(
        at_ms=at_ms,
        token=f'tk{cfg.seed:x}-{number}-{rng.getrandbits(64):016x}-',
        load=number,
        urgent=rng.random() < load.urgent_part,
        keyed=keyed,
        idempotent=rng.random() < load.idempotent_part,
        cancelled=not keyed and rng.random() < load.cancelled_part,
    )
    if not keyed:
        return [first]
    again_ms = at_ms + rng.uniform(0, load.deadline_ms / 4)
    return [first, dataclasses.replace(first, at_ms=again_ms, is_repeat=True)]

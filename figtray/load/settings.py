"""Settings of figtray-load."""

from typing import Annotated

import msgspec
from msgspec import Meta

from figtray.settings import types

MAX_REQUESTS = 2_000_000

Part = Annotated[float, Meta(ge=0, le=1)]


class TeamLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one team to one queue.

    Attributes:
        team: name in the results.
        queue: queue that gets the requests.
        key: caller key; empty for an open queue.
        rate_per_s: mean rate of requests.
        urgent_part: part of the requests that are urgent.
        keyed_part: part with an Idempotency-Key; each of them is sent twice.
        idempotent_part: part that is declared idempotent.
        cancelled_part: part that is cancelled after cancel_after_ms.
        cancel_after_ms: time from the submission to the cancellation.
        deadline_ms: deadline of each request from its intended send time.
        work_ms: run time that the body asks a stand-in worker for.
        body_bytes: size of the body.
    """

    team: str
    queue: str
    rate_per_s: Annotated[float, Meta(gt=0, le=100_000)]
    key: str = ''
    urgent_part: Part = 0.0
    keyed_part: Part = 0.0
    idempotent_part: Part = 0.0
    cancelled_part: Part = 0.0
    cancel_after_ms: types.SpanMs = 200
    deadline_ms: types.SpanMs = 30_000
    work_ms: types.SpanMs = 100
    body_bytes: Annotated[int, Meta(ge=128, le=1 << 20)] = 256


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a run.

    Attributes:
        entries: addresses of the entries' callers' API.
        teams: loads, at least one.
        seed: seed of everything random.
        duration_ms: time in which requests are due.
        threads: requests that are under way at most.
        cycle_ms: time in which each queue has one peak; 0 = constant rates.
        peak_factor: rate in a peak, as a multiple of the mean.
        trough_factor: rate between peaks, as a multiple of the mean.
    """

    entries: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)]
    teams: Annotated[tuple[TeamLoad, ...], Meta(min_length=1, max_length=500)]
    seed: int = 1
    duration_ms: types.SpanMs = 10_000
    threads: Annotated[int, Meta(ge=1, le=1024)] = 128
    cycle_ms: Annotated[int, Meta(ge=0, le=types.DAY_MS)] = 30_000
    peak_factor: Annotated[float, Meta(gt=1, le=100)] = 5.0
    trough_factor: Annotated[float, Meta(ge=0, lt=1)] = 0.05

    def rules(self):
        """Yield (field, value, is allowed, allowed values)."""
        for address in self.entries:
            yield 'entries', address, _is_address(address), 'IP:port'
        requests = (
            self.duration_ms
            / 1000
            * sum(load.rate_per_s for load in self.teams)
        )
        yield (
            'teams',
            f'{requests:.0f} requests',
            requests <= MAX_REQUESTS,
            f'at most {MAX_REQUESTS} requests in all',
        )


def _is_address(address):
    try:
        return types.split_address(address)[1] > 0
    except ValueError:
        return False

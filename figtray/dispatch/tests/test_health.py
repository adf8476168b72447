"""Tests of the health of workers and jobs."""

import random
import types

import pytest

from figtray import clock
from figtray.dispatch import health

GOOD = [f'host-{number}' for number in range(1, 10)]
BROKEN = GOOD[0]
CFG = types.SimpleNamespace(job_max_workers=3, worker_max_failures=5)


@pytest.fixture
def manual():
    return clock.ManualClock()


@pytest.fixture
def workers(manual):
    workers = health.WorkerHealth(manual, CFG, random.Random(7))
    workers.configure('p', GOOD)
    return workers


def job(name):
    return health.make_job('q', 'a', name.encode())


def run(workers, manual, count, is_failure, seed=1, step_ms=10):
    """Send jobs to random admitted workers; returns starts per worker.

    A failed job is sent to further workers, up to four times.
    """
    rng = random.Random(seed)
    starts = dict.fromkeys(GOOD, 0)
    for number in range(count):
        task = job(f'bad{number % 3}' if number % 10 == 0 else f'j{number}')
        for _attempt in range(4):
            manual.advance(step_ms)
            address = rng.choice(GOOD)
            is_usable = workers.is_usable('p', address)
            assert (address not in workers.unusable('p')) == is_usable
            if not is_usable:
                continue
            if workers.is_bad_job(task):
                break
            starts[address] += 1
            is_probe = workers.claim('p', address)
            if not is_failure(address, task):
                workers.succeeded('p', address, task, is_probe)
                break
            if workers.failed('p', address, task, is_probe):
                break
    return starts


class TestBadWorker:
    """Guards against a worker that fails fast and so attracts all work."""

    def test_broken_worker_attracts_few_starts(self, workers, manual):
        starts = run(
            workers, manual, 6000, lambda address, _task: address == BROKEN
        )
        assert workers.quarantined('p') == [BROKEN]
        # Five failures, then a probe after 1, 2, 4, ... 32, 60 s and so on.
        assert starts[BROKEN] <= CFG.worker_max_failures + 8
        assert min(starts[address] for address in GOOD[1:]) > 400

    def test_repaired_worker_returns(self, workers, manual):
        run(workers, manual, 500, lambda address, _task: address == BROKEN)
        run(workers, manual, 6000, lambda _address, _task: False, seed=2)
        assert workers.quarantined('p') == []

    def test_at_most_a_third_is_quarantined(self, workers, manual):
        run(workers, manual, 500, lambda _address, _task: True)
        assert len(workers.quarantined('p')) == 3
        small = health.WorkerHealth(manual, CFG, random.Random(7))
        small.configure('p', GOOD[:2])
        for _ in range(9):
            small.unreachable('p', GOOD[0])
        assert small.quarantined('p') == []

    def test_unreachable_worker_is_probed_once_at_a_time(
        self, workers, manual
    ):
        workers.unreachable('p', BROKEN)
        assert workers.is_usable('p', BROKEN)
        workers.unreachable('p', BROKEN)
        assert not workers.is_usable('p', BROKEN)
        manual.advance(1200)
        assert workers.is_usable('p', BROKEN)
        assert workers.claim('p', BROKEN)
        assert not workers.is_usable('p', BROKEN)
        workers.unreachable('p', BROKEN, is_probe=True)
        manual.advance(1500)
        assert not workers.is_usable('p', BROKEN)
        manual.advance(900)
        assert workers.is_usable('p', BROKEN)
        assert workers.claim('p', BROKEN)
        workers.succeeded('p', BROKEN, None, is_probe=True)
        assert workers.is_usable('p', BROKEN)

    def test_success_from_before_does_not_release(self, workers):
        for number in range(5):
            workers.failed('p', BROKEN, job(f'j{number}'))
        workers.succeeded('p', BROKEN, job('old'))
        assert workers.quarantined('p') == [BROKEN]


class TestBadJob:
    """Guards against healthy workers put aside for jobs that never run."""

    def test_bad_jobs_put_no_worker_aside(self, workers, manual):
        bad = {job('bad0'), job('bad1'), job('bad2')}
        run(workers, manual, 2000, lambda _address, task: task in bad)
        assert workers.quarantined('p') == []
        assert all(workers.is_bad_job(task) for task in bad)

    def test_failures_of_a_bad_job_are_taken_back(self, workers):
        for _ in range(4):
            workers.failed('p', GOOD[0], job('bad'))
        workers.failed('p', GOOD[0], job('other'))
        assert workers.quarantined('p') == [GOOD[0]]
        assert not workers.failed('p', GOOD[1], job('bad'))
        assert not workers.failed('p', GOOD[2], job('bad'))
        assert workers.failed('p', GOOD[3], job('bad'))
        assert workers.quarantined('p') == []

    def test_broken_worker_is_no_witness(self, workers):
        for address in GOOD[:3]:
            workers.failed('p', address, job('x'))
            workers.failed('p', address, job('y'))
        assert not workers.is_bad_job(job('y'))
        assert not workers.is_bad_job(job('z'))

    def test_job_of_another_team_is_another_job(self, workers, manual):
        for address in GOOD[:3]:
            workers.failed('p', address, job('x'))
        assert workers.is_bad_job(job('x'))
        assert not workers.is_bad_job(health.make_job('q', 'b', b'x'))
        manual.advance(health.JOB_RETENTION_MS)
        assert not workers.is_bad_job(job('x'))

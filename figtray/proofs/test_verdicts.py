"""Proofs of G5, G6 and G7: at most one start, true refusals, own answers."""

import random
import time

import pytest

from figtray.dispatch import silence
from figtray.proofs import callers
from figtray.proofs import deployment

NAME = 'proof-verdicts'
NUMBER = 3
CHAOS_S = 30
# Time to two reports without the attempt, each of which may time out.
SILENCE_BOUND_MS = silence.QUIET_MS + silence.MISSES * (
    silence.INTERVAL_MS + silence.REPORT_TIMEOUT_MS
)
WORKER_FAULTS = (
    {'truncate': 3},
    {'swap': 3},
    {'lose_answer': 3},
    {'freeze': True},
    {'mute': True},
    {'down': True},
)


def disturb(fleet, rng):
    """Disturb workers every second and kill an entry every 6 s."""
    end = time.monotonic() + CHAOS_S
    step = 0
    while time.monotonic() < end:
        zone = rng.choice(deployment.ZONES)
        host = f'{rng.choice(["front", "back"])}-{zone[-1]}'
        fault = WORKER_FAULTS[step % len(WORKER_FAULTS)]
        fleet.worker_faults(zone, host, **fault)
        time.sleep(1)
        if 'down' in fault:
            fleet.worker_faults(zone, host, down=False)
            number = rng.randint(1, deployment.ENTRIES)
            deployment.restart(fleet.entry(number))
        step += 1


class TestAtMostOnce:
    """G5 and G6 with entries killed and answers lost, cut or swapped.

    Callers repeat keyed requests through other entries.
    """

    @pytest.mark.parametrize('seed', [1, 2])
    def test_starts_and_answers(self, fleet, seed):
        fleet.wait_ready()
        callers.warm_up(fleet)
        keys = fleet.keys
        kinds = [
            callers.Kind('alpha', keys['alpha'], 'front'),
            callers.Kind('alpha', keys['alpha'], 'back', keyed=True),
            callers.Kind('beta', keys['beta'], 'back', keyed=True),
            callers.Kind('beta', keys['beta'], 'ordered', callers=4),
            callers.Kind('gamma', keys['gamma'], 'front', idempotent=True),
            callers.Kind('walk-in', '', 'open', callers=4),
        ]
        begin_ms = deployment.CLOCK.now_ms()
        with callers.Load(fleet, kinds) as load:
            time.sleep(1)
            disturb(fleet, random.Random(seed))
        # No attempt outlives its lease.
        time.sleep(deployment.RUN_LIMIT_MS / 1000)
        log = fleet.worker_log(begin_ms)
        counts = callers.check_verdicts(load.requests, log)
        retried = [item for item in load.requests if len(item.told) > 1]
        told = {verdict for item in load.requests for verdict in item.told}
        starts = sum(entry['event'] == 'start' for entry in log)
        print(
            f'\nG5, G6 seed {seed}: {len(load.requests)} requests, {starts} '
            f'starts, none twice and no wrong verdict; {len(retried)} '
            f'repeated by their callers; told {dict(counts)}'
        )
        assert retried and callers.MAY_HAVE_RUN in told, 'too few faults'
        assert counts[callers.ANSWERED] > 500, 'too little load'


class TestSilentConnections:
    """G7 with all connections of one worker silent at once."""

    @pytest.mark.parametrize('fault', ['freeze', 'mute'])
    def test_known_early_and_worker_in_use(self, fleet, fault):
        fleet.wait_ready()
        callers.warm_up(fleet)
        # Fewer callers than the limit and the slots: no request waits in a
        # queue, so the time from the caller's send is that of the attempt.
        fleet.set_team('alpha', 3 * deployment.ENTRIES + 1)
        deployment.wait_for(
            lambda: fleet.allotted('alpha') > 2 * deployment.ENTRIES,
            'allotments of the raised limit',
        )
        kind = callers.Kind(
            'alpha',
            fleet.keys['alpha'],
            'front',
            callers=3 * deployment.ENTRIES,
            deadline_ms=20_000,
        )
        begin_ms = deployment.CLOCK.now_ms()
        with callers.Load(fleet, [kind]) as load:
            time.sleep(2)
            fleet.worker_faults('zone-2', 'front-2', **{fault: True})
            fault_ms = deployment.CLOCK.now_ms()
            time.sleep(SILENCE_BOUND_MS / 1000 + 3)
        log = fleet.worker_log(begin_ms)
        counts = callers.check_verdicts(load.requests, log)
        longest_ms = max(
            item.told_ms - item.sent_ms
            for item in load.requests
            if item.told[-1] == callers.MAY_HAVE_RUN
        )
        used = [
            entry['machine_ms'] - fault_ms
            for entry in log
            if entry['event'] == 'start'
            and entry['host'] == 'front-2'
            and entry['machine_ms'] > fault_ms
        ]
        gaps = [b - a for a, b in zip([0, *used], used)]
        print(
            f'\nG7 {fault}: {counts[callers.MAY_HAVE_RUN]} requests told '
            f'may_have_run, at most {longest_ms} ms after they were sent, '
            f'bound {SILENCE_BOUND_MS}; {len(used)} starts on the worker '
            f'after the fault, longest gap {max(gaps)} ms; told '
            f'{dict(counts)}'
        )
        fleet.set_team('alpha', deployment.LIMITS['alpha'])
        assert longest_ms <= SILENCE_BOUND_MS
        # In use from then on, and before its connections were given up.
        assert used[0] < SILENCE_BOUND_MS < used[-1]

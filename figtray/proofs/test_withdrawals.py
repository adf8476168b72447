"""Proofs of G4 and G2: nothing starts in a zone that was taken out, nor with
a withdrawn key, later than the bound.

Times: the workers log each start with CLOCK_BOOTTIME of this machine, and
the proof reads the same clock right after the operator's call returned; both
are compared without correction.
"""

import contextlib
import functools
import random
import signal
import threading
import time

import pytest

from figtray.proofs import callers
from figtray.proofs import deployment

NAME = 'proof-withdrawals'
NUMBER = 1
G4_BOUND_MS = 3000
G2_BOUND_MS = 5000
# The log is read this long after the bound, so that late starts show.
AFTER_S = 1.5
SLOW_STORE_MS = 500
FROZEN = 3
# Requests that wait in a frozen entry must outlive the freeze.
DEADLINE_MS = 20_000


@contextlib.contextmanager
def no_fault(fleet, rng):
    yield lambda: None


@contextlib.contextmanager
def entries_frozen(fleet, rng):
    """Freeze three entries; the six others are still a majority.

    They resume after the bound of G4, with requests that wait in them.
    """
    numbers = rng.sample(range(1, deployment.ENTRIES + 1), FROZEN)
    timers = []
    for number in numbers:
        process = fleet.entry(number)
        resume = functools.partial(process.send, signal.SIGCONT)
        timers.append(threading.Timer(rng.uniform(3.5, 6), resume))
        process.send(signal.SIGSTOP)
    for timer in timers:
        timer.start()
    try:
        yield lambda: None
    finally:
        for timer in timers:
            timer.join()


@contextlib.contextmanager
def store_slow(fleet, rng):
    fleet.kv_faults(delay_ms=SLOW_STORE_MS)
    try:
        yield lambda: None
    finally:
        fleet.kv_faults(delay_ms=0)


@contextlib.contextmanager
def store_down_after(fleet, rng):
    try:
        yield lambda: fleet.kv_faults(down=True)
    finally:
        fleet.kv_faults(down=False)


@contextlib.contextmanager
def reply_lost(fleet, rng):
    # The change of the key and that of the zone.
    fleet.kv_faults(lose_next_reply=2)
    yield lambda: None


FAULTS = (
    (no_fault, 1),
    (entries_frozen, 1),
    (entries_frozen, 2),
    (store_slow, 1),
    (store_down_after, 1),
    (reply_lost, 1),
)


@pytest.mark.parametrize(
    'fault, seed',
    FAULTS,
    ids=lambda item: getattr(item, '__name__', str(item)),
)
class TestWithdrawal:
    """G2 and G4 with an entry frozen, a slow, failed or lossy store.

    Requests of the withdrawn key are queued, and every team has requests
    that could run in the zone.
    """

    def test_no_start_after_the_bound(self, fleet, fault, seed):
        rng = random.Random(f'{fault.__name__} {seed}')
        zone = rng.choice(deployment.ZONES)
        key = fleet.operator.create_key('gamma')
        victim = callers.Kind(
            'gamma',
            key['secret'],
            'back',
            # The queue of the key would last longer than the bound.
            (900, 1300),
            callers=4 * deployment.ENTRIES,
            pause_s=0,
            deadline_ms=DEADLINE_MS,
        )
        begin_ms = deployment.CLOCK.now_ms()
        others = callers.mixed(
            fleet,
            run_ms=(100, 400),
            callers=2 * deployment.ENTRIES,
            deadline_ms=DEADLINE_MS,
        )
        kinds = [victim, *others]
        with callers.Load(fleet, kinds) as load:
            time.sleep(2.5)
            with fault(fleet, rng) as right_after:
                reply = fleet.operator.withdraw_key(key['name'])
                key_ms = deployment.CLOCK.now_ms()
                assert reply['status']['accepted']
                reply = fleet.operator.set_in_service(zone, False)
                zone_ms = deployment.CLOCK.now_ms()
                right_after()
                assert reply['status']['accepted']
                time.sleep(G2_BOUND_MS / 1000 + AFTER_S)
        log = fleet.worker_log(begin_ms)
        fleet.operator.set_in_service(zone, True)
        starts = [entry for entry in log if entry['event'] == 'start']
        in_zone = [entry for entry in starts if entry['zone'] == zone]
        victims = [item for item in load.requests if item.key == victim.secret]
        marks = {item.mark for item in victims}
        with_key = [e for e in starts if callers.mark_of(e) in marks]
        ran = {callers.mark_of(entry) for entry in with_key}
        queued = [
            item
            for item in victims
            if item.sent_ms < key_ms < item.told_ms and item.mark not in ran
        ]
        elsewhere = [
            entry
            for entry in starts
            if entry['machine_ms'] > zone_ms + G4_BOUND_MS
        ]
        last_in_zone = in_zone[-1]['machine_ms'] - zone_ms
        last_with_key = with_key[-1]['machine_ms'] - key_ms
        counts = callers.check_verdicts(load.requests, log)
        print(
            f'\n{fault.__name__} {seed}: '
            f'G4 last start {last_in_zone} ms after acceptance, bound '
            f'{G4_BOUND_MS}, {len(in_zone)} starts before, {len(elsewhere)} '
            f'elsewhere after the bound; G2 last start {last_with_key} ms, '
            f'bound {G2_BOUND_MS}, {len(queued)} queued requests of the key '
            f'never started; told {dict(counts)}'
        )
        assert in_zone[0]['machine_ms'] < zone_ms, 'no load in the zone'
        assert elsewhere and queued, 'the load did not cover the change'
        assert last_in_zone <= G4_BOUND_MS
        assert last_with_key <= G2_BOUND_MS
        fleet.wait_ready()
        callers.warm_up(fleet)

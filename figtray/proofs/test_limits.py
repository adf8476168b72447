"""Proofs of G3: the tasks of a team that run at the workers never exceed its
limit.

Running tasks are counted from the starts and ends in the workers' logs; an
end counts before a start of the same millisecond, since no entry starts a
task in the place of another before it learned of the end.
"""

import collections
import random
import signal
import time

import pytest

from figtray.proofs import callers
from figtray.proofs import deployment

NAME = 'proof-limits'
NUMBER = 2
# A lowered limit is in force by then, as G1 requires of any change.
IN_FORCE_MS = 5000


def sweep(log, limits):
    """Count the running tasks of each team at each start.

    Args:
        log: worker log from a moment when nothing ran.
        limits: function of (team, machine_ms) that returns the limit.

    Returns:
        (highest count per team, starts above the limit).
    """
    running = collections.Counter()
    highest = collections.Counter()
    over = []
    for entry in log:
        team = entry['team']
        if entry['event'] == 'end':
            running[team] -= 1
        elif entry['event'] == 'start':
            running[team] += 1
            highest[team] = max(highest[team], running[team])
            limit = limits(team, entry['machine_ms'])
            if running[team] > limit:
                over.append((running[team], limit, entry))
    return highest, over


def entry_killed(fleet, rng):
    """Kill an entry with running tasks, and start it again."""
    for number in rng.sample(range(1, deployment.ENTRIES + 1), 2):
        deployment.restart(fleet.entry(number))
        time.sleep(4)


def all_entries_killed(fleet, rng):
    numbers = range(1, deployment.ENTRIES + 1)
    for number in numbers:
        fleet.entry(number).send(signal.SIGKILL)
    for number in numbers:
        fleet.entry(number).wait()
        fleet.entry(number).start()
    time.sleep(12)


def store_down(fleet, rng):
    """Take the store away while an entry is restarted."""
    fleet.kv_faults(down=True)
    time.sleep(2)
    deployment.restart(fleet.entry(rng.randint(1, deployment.ENTRIES)))
    time.sleep(5)
    fleet.kv_faults(down=False)
    time.sleep(2)


def entry_frozen(fleet, rng):
    """Freeze an entry for 10 s: the others recount without it."""
    process = fleet.entry(rng.randint(1, deployment.ENTRIES))
    process.send(signal.SIGSTOP)
    time.sleep(10)
    process.send(signal.SIGCONT)
    time.sleep(3)


def controllers_killed(fleet, rng):
    """Kill both controllers, one of which recounts after an entry's loss."""
    deployment.restart(fleet.entry(rng.randint(1, deployment.ENTRIES)))
    time.sleep(1)
    for name in ('controller-1', 'controller-2'):
        deployment.restart(fleet[name])
    time.sleep(7)


FAULTS = (
    entry_killed,
    all_entries_killed,
    store_down,
    entry_frozen,
    controllers_killed,
)


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault.__name__)
class TestLimit:
    """G3 with entries killed, fenced or cut off from the store."""

    def test_running_tasks(self, fleet, fault):
        rng = random.Random(fault.__name__)
        wait_idle(fleet)
        begin_ms = deployment.CLOCK.now_ms()
        kinds = callers.mixed(fleet, run_ms=(50, 1500), pause_s=0)
        with callers.Load(fleet, kinds) as load:
            time.sleep(2)
            fault(fleet, rng)
        wait_idle(fleet)
        log = fleet.worker_log(begin_ms)
        highest, over = sweep(log, lambda team, _: deployment.LIMITS[team])
        counts = callers.check_verdicts(load.requests, log)
        print(
            f'\nG3 {fault.__name__}: most running {dict(highest)}, limits '
            f'{deployment.LIMITS}; told {dict(counts)}'
        )
        assert not over, (len(over), over[0])
        reached = [team for team in highest if highest[team] > 2]
        assert {'alpha', 'beta'} <= set(reached), 'too little load'
        fleet.wait_ready()
        callers.warm_up(fleet)


class TestLimitLowered:
    """G3 when an operator lowers a limit below what runs."""

    def test_no_start_above_the_new_limit(self, fleet):
        low = 3
        wait_idle(fleet)
        begin_ms = deployment.CLOCK.now_ms()
        kinds = callers.mixed(fleet, run_ms=(500, 2500), pause_s=0)
        with callers.Load(fleet, kinds) as load:
            time.sleep(4)
            lowered_ms = fleet.set_team('alpha', low)
            time.sleep(12)
        wait_idle(fleet)
        fleet.set_team('alpha', deployment.LIMITS['alpha'])
        log = fleet.worker_log(begin_ms)

        def limit(team, machine_ms):
            if team == 'alpha' and machine_ms > lowered_ms + IN_FORCE_MS:
                return low
            return deployment.LIMITS[team]

        highest, over = sweep(log, limit)
        # What starts between acceptance and the bound is shown as well.
        _, early = sweep(
            log,
            lambda team, ms: (
                low
                if team == 'alpha' and ms > lowered_ms
                else deployment.LIMITS[team]
            ),
        )
        after = [
            entry
            for entry in log
            if entry['event'] == 'start'
            and entry['team'] == 'alpha'
            and entry['machine_ms'] > lowered_ms
        ]
        last_ms = max((e[2]['machine_ms'] for e in early), default=lowered_ms)
        counts = callers.check_verdicts(load.requests, log)
        print(
            f'\nG3 lowered: most running {dict(highest)}; {len(early)} starts '
            f'above the new limit after acceptance, last after '
            f'{last_ms - lowered_ms} ms, bound {IN_FORCE_MS}; first start '
            f'below it after {after[0]["machine_ms"] - lowered_ms} ms; told '
            f'{dict(counts)}'
        )
        assert not over, (len(over), over[0])
        assert highest['alpha'] > low, 'too little load'


def wait_idle(fleet):
    """Wait until no worker runs a task."""
    deployment.wait_for(
        lambda: not any(
            worker['running']
            for control in fleet.controls.values()
            for worker in deployment.call(control, '/stats')[1].values()
        ),
        'no running tasks',
    )

"""Compares the rolling checksum with the generation number alone."""

import dataclasses
import enum
import random
import time

import typer

from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib

DEPLOYMENT = 'bench'
MAX_CHANGES = 40
NAMES = 12
ROUNDS = 7


class Fault(enum.Enum):
    """What happens to the store."""

    OLDER = 'older store'
    OTHER = 'store of another deployment'
    OLDER_AND_CHANGED = 'older store plus further changes'


@dataclasses.dataclass
class Tally:
    """Counts of one fault and one variant.

    `diverged` counts the histories in which the store's history is not one
    with the replica's; `undetected` those of them in which no step reported
    it; `taken_over` those in which the replica took over foreign changes.
    """

    histories: int = 0
    diverged: int = 0
    undetected: int = 0
    taken_over: int = 0


class Log:
    """A store's configuration with all its changes."""

    def __init__(self, snapshot, changes=()):
        self.snapshot = snapshot
        self.changes = list(changes)

    def extend(self, rng, count):
        """Make random changes."""
        for _ in range(count):
            change = _random_change(rng, self.snapshot)
            self.changes.append(change)
            self.snapshot = self.snapshot.apply(change)

    def older(self, generation):
        """Return the state as of an earlier generation."""
        result = Log(snapshot_lib.Snapshot.empty(DEPLOYMENT))
        for change in self.changes[:generation]:
            result.changes.append(change)
            result.snapshot = result.snapshot.apply(change)
        return result


def run(histories, seed):
    """Run random fault histories.

    Args:
        histories: number of histories for each fault.
        seed: seed of the random numbers.

    Returns:
        Mapping of (Fault, whether checksums are used) to Tally.
    """
    rng = random.Random(seed)
    tallies = {
        (fault, checksums): Tally()
        for fault in Fault
        for checksums in (True, False)
    }
    for fault in Fault:
        for _ in range(histories):
            log = Log(snapshot_lib.Snapshot.empty(DEPLOYMENT))
            log.extend(rng, rng.randint(1, MAX_CHANGES))
            store = _faulty_store(rng, fault, log)
            is_by_change = rng.random() < 0.5
            for checksums in (True, False):
                replica = replica_lib.Replica(DEPLOYMENT, checksums)
                replica.adopt(log.snapshot)
                outcomes = _follow(replica, store, is_by_change)
                tally = tallies[fault, checksums]
                _count(tally, log, store, replica, outcomes)
    return tallies


def measure_cost(changes=2000):
    """Measure the cost of the checksum.

    Args:
        changes: number of changes in each round.

    Returns:
        Mapping of step to microseconds per change, the least of the rounds.
    """
    rng = random.Random(1)
    log = Log(snapshot_lib.Snapshot.empty(DEPLOYMENT))
    log.extend(rng, changes)

    def digest():
        for change in log.changes:
            parent = snapshot_lib.Mark(
                change.generation - 1, change.parent_checksum
            )
            snapshot_lib.make_change(
                DEPLOYMENT, parent, change.change_id, change.items
            )

    def apply(checksums):
        replica = replica_lib.Replica(DEPLOYMENT, checksums)
        for change in log.changes:
            replica.apply(change)

    steps = {
        'make a change with its checksum': digest,
        'apply a change, checksum compared': lambda: apply(True),
        'apply a change, number alone': lambda: apply(False),
    }
    return {
        name: min(_time_us(step) for _ in range(ROUNDS)) / changes
        for name, step in steps.items()
    }


def _time_us(step):
    start_ns = time.perf_counter_ns()
    step()
    return (time.perf_counter_ns() - start_ns) / 1000


def _random_change(rng, snapshot):
    item = snapshot_lib.Item(
        resources.Kind.TEAM.value,
        f't{rng.randrange(NAMES)}',
        snapshot.generation + 1,
        {'limit': rng.randrange(1000), 'weight': 1},
    )
    change_id = f'{rng.getrandbits(64):016x}'
    return snapshot_lib.make_change(
        DEPLOYMENT, snapshot.mark, change_id, [item]
    )


def _faulty_store(rng, fault, log):
    match fault:
        case Fault.OLDER:
            return log.older(rng.randrange(len(log.changes)))
        case Fault.OTHER:
            store = Log(snapshot_lib.Snapshot.empty(DEPLOYMENT))
            store.extend(rng, rng.randint(1, MAX_CHANGES))
            return store
        case Fault.OLDER_AND_CHANGED:
            store = log.older(rng.randrange(len(log.changes)))
            store.extend(rng, rng.randint(1, MAX_CHANGES))
            return store


def _follow(replica, store, is_by_change):
    """Follow a store as an entry does, by its changes or as a whole."""
    outcomes = [replica.adopt(store.snapshot)] if not is_by_change else []
    missing = store.changes[replica.snapshot.generation :]
    # Without a newer change, the newest one is compared.
    for change in missing or store.changes[-1:]:
        outcomes.append(replica.apply(change))
    return outcomes


def _count(tally, log, store, replica, outcomes):
    common = min(len(log.changes), len(store.changes))
    tally.histories += 1
    if log.changes[:common] == store.changes[:common]:
        return
    tally.diverged += 1
    is_detected = replica_lib.Outcome.DIVERGED in outcomes
    tally.undetected += not is_detected
    tally.taken_over += replica.snapshot.mark != log.snapshot.mark


def main(histories: int = 10_000, seed: int = 1):
    """Print the divergences that each variant misses, and the cost."""
    print(f'{histories} histories of each fault, seed {seed}')
    for (fault, checksums), tally in run(histories, seed).items():
        variant = 'rolling checksum' if checksums else 'number alone'
        print(
            f'{fault.value}; {variant}: diverged {tally.diverged}, '
            f'undetected {tally.undetected}, '
            f'foreign changes taken over {tally.taken_over}'
        )
    for name, cost_us in measure_cost().items():
        print(f'{name}: {cost_us:.1f} us')


if __name__ == '__main__':
    typer.run(main)

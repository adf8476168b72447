"""Proofs of G1 and of the store budget."""

import threading
import time

from figtray.api import client as client_lib
from figtray.configuration import resources
from figtray.proofs import callers
from figtray.proofs import deployment
from figtray.store import etcd

NAME = 'proof-configuration'
NUMBER = 5
BOUND_MS = 5000
TEAM = resources.Kind.TEAM
READ_BUDGET_PER_S = 2000 / 4
WRITE_BUDGET_PER_S = 400 / 4
READS = ('get', 'range', 'watch')
RACES = 20


def marks(fleet):
    """Return the generation that each entry holds."""
    return [
        fleet.debug(number)['generation']
        for number in range(1, deployment.ENTRIES + 1)
    ]


def change(fleet, operator, limit):
    """Change the limit of team beta.

    Returns:
        (version, time of acceptance in ms).
    """
    item = operator.get(TEAM, 'beta')
    spec = {**item['spec'], 'limit': limit}
    reply = operator.put(TEAM, 'beta', spec, item['version'])
    assert reply['status']['accepted']
    return reply['version'], deployment.CLOCK.now_ms()


def wait_everywhere(fleet, version, accepted_ms, what):
    """Wait until all entries hold a version; check the bound of G1."""
    deployment.wait_for(
        lambda: min(marks(fleet)) >= version, f'{what}: {version} everywhere'
    )
    took_ms = deployment.CLOCK.now_ms() - accepted_ms
    print(
        f'\nG1 {what}: at all entries {took_ms} ms after acceptance, bound '
        f'{BOUND_MS}'
    )
    assert took_ms <= BOUND_MS


class TestStoreDown:
    """G1 when the store is down for some seconds and comes back."""

    def test_refused_or_kept(self, fleet):
        version, _ = change(fleet, fleet.operator, 8)
        load_ms = deployment.CLOCK.now_ms()
        with callers.Load(fleet, callers.mixed(fleet)) as load:
            time.sleep(1)
            begin_ms = deployment.CLOCK.now_ms()
            fleet.kv_faults(down=True)
            refused = False
            try:
                change(fleet, fleet.operator, 6)
            except client_lib.Unavailable as exc:
                refused = exc.problem.get('outcome')
            time.sleep(4)
            down_ms = deployment.CLOCK.now_ms()
            served = fleet.starts(begin_ms)
            assert min(marks(fleet)) >= version
            fleet.kv_faults(down=False)
            up_ms = deployment.CLOCK.now_ms()
            accepted = deployment.wait_for(
                lambda: change(fleet, fleet.operator, 7), 'changes again'
            )
            print(
                f'\nG1 store down {up_ms - begin_ms} ms: change refused as '
                f'{refused!r}, {len(served)} starts meanwhile, the last '
                f'{down_ms - served[-1]["machine_ms"]} ms before its end; '
                f'next change accepted {accepted[1] - up_ms} ms after'
            )
            assert refused == 'not_changed' and len(served) > 50
            wait_everywhere(fleet, *accepted, 'after a store outage')
        callers.check_verdicts(load.requests, fleet.worker_log(load_ms))


class TestStoreOlder:
    """G1 when the store comes back with an older state."""

    def test_writer_restores_newer(self, fleet):
        change(fleet, fleet.operator, 8)
        deployment.call(fleet.kv, '/dump', {'name': 'older'})
        version, accepted_ms = change(fleet, fleet.operator, 5)
        wait_everywhere(fleet, version, accepted_ms, 'before the restore')
        deployment.call(fleet.kv, '/restore', {'name': 'older'})
        # A new entry reads the older state, and must not believe it.
        deployment.restart(fleet.entry(2))
        fleet.wait_ready()
        lowest = []
        for _ in range(10):
            time.sleep(0.3)
            lowest.append(min(marks(fleet)))
        assert min(lowest) >= version, 'an accepted change disappeared'
        for operator in fleet.operators:
            assert operator.get(TEAM, 'beta')['spec']['limit'] == 5
        later = deployment.wait_for(
            lambda: change(fleet, fleet.operators[1], 8), 'a further change'
        )
        assert later[0] > version
        wait_everywhere(fleet, *later, 'after an older store')
        # The lost change is in the store again, before the further one.
        state = deployment.call(fleet.kv, '/dump', {'name': 'now'})[1]
        keys = {etcd.decode(kv['key']) for kv in state['state']['kvs']}
        for generation in (version, later[0]):
            key = f'/figtray/{NAME}/cfg/log/{generation:012d}'
            assert key.encode() in keys, 'not restored'


class TestEntryStartedWithoutStore:
    """G1 when an entry starts from its peers during a store outage."""

    def test_serves(self, fleet):
        version, _ = change(fleet, fleet.operator, 8)
        fleet.kv_faults(down=True)
        begin_ms = deployment.CLOCK.now_ms()
        deployment.restart(fleet.entry(4))
        deployment.wait_for(lambda: fleet.is_ready(4), 'entry 4 ready')
        ready_ms = deployment.CLOCK.now_ms() - begin_ms
        kind = callers.Kind('alpha', fleet.keys['alpha'], 'front')
        with callers.Load(fleet, [kind]):
            time.sleep(3)
        slot = fleet.debug(4)
        starts = [
            entry
            for entry in fleet.starts(begin_ms)
            if slot['run_id'] in entry['incarnation']
        ]
        fleet.kv_faults(down=False)
        print(
            f'\nG1 entry started without store: ready after {ready_ms} ms, '
            f'{len(starts)} starts of its own in 3 s'
        )
        assert slot['generation'] >= version
        assert starts
        fleet.wait_ready()
        callers.warm_up(fleet)


class TestOperatorsRace:
    """G1 when two operators change one resource through two APIs."""

    def test_conflict_or_sequence(self, fleet):
        accepted = []
        conflicts = []

        def run(operator, limits):
            for limit in limits:
                try:
                    accepted.append((*change(fleet, operator, limit), limit))
                except client_lib.Conflict:
                    conflicts.append(limit)

        threads = [
            threading.Thread(target=run, args=(operator, limits))
            for operator, limits in zip(
                fleet.operators,
                (range(100, 100 + RACES), range(200, 200 + RACES)),
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        versions = [version for version, _, _ in accepted]
        last = max(accepted)
        print(
            f'\nG1 race: {len(accepted)} accepted, {len(conflicts)} refused '
            f'with 412, of {2 * RACES}'
        )
        assert len(accepted) + len(conflicts) == 2 * RACES
        assert len(set(versions)) == len(versions), 'two of one generation'
        assert conflicts and accepted
        for operator in fleet.operators:
            item = operator.get(TEAM, 'beta')
            assert (item['version'], item['spec']['limit']) == last[::2]
        change(fleet, fleet.operator, 8)


class TestStoreBudget:
    """Store budget idle, under load and after an outage of 15 s."""

    def test_calls_per_second(self, fleet):
        fleet.wait_ready()
        callers.warm_up(fleet)
        self.measure(fleet, 'idle', 5)
        with callers.Load(fleet, callers.mixed(fleet)):
            self.measure(fleet, 'under load', 5)
            fleet.kv_faults(down=True)
            time.sleep(15)
            fleet.kv_faults(down=False)
            self.measure(fleet, 'after an outage of 15 s', 10)

    @staticmethod
    def measure(fleet, what, seconds):
        """Count calls second by second; the busiest second counts."""
        worst = {'reads': 0.0, 'writes': 0.0}
        total = {'reads': 0, 'writes': 0}
        before, at = deployment.call(fleet.kv, '/stats')[1], time.monotonic()
        for _ in range(seconds):
            time.sleep(1)
            now, at_now = (
                deployment.call(fleet.kv, '/stats')[1],
                time.monotonic(),
            )
            counts = {'reads': 0, 'writes': 0}
            for name, count in now['calls'].items():
                group = 'reads' if name in READS else 'writes'
                counts[group] += count - before['calls'].get(name, 0)
            for group, count in counts.items():
                total[group] += count
                worst[group] = max(worst[group], count / (at_now - at))
            before, at = now, at_now
        print(
            f'\nstore {what}: reads {total["reads"] / seconds:.1f}/s, worst '
            f'second {worst["reads"]:.1f}, budget {READ_BUDGET_PER_S:.0f}; '
            f'writes {total["writes"] / seconds:.1f}/s, worst second '
            f'{worst["writes"]:.1f}, budget {WRITE_BUDGET_PER_S:.0f}; '
            f'{now["watches"]} watches, calls {now["calls"]}'
        )
        # Reads, writes and pending watches share the budget of reads.
        assert worst['reads'] + now['watches'] < READ_BUDGET_PER_S
        assert worst['writes'] < WRITE_BUDGET_PER_S

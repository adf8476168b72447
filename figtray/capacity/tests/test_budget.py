"""Tests of the availability budgets."""

import dataclasses

import hypothesis
from hypothesis import strategies

from figtray.capacity import budget
from figtray.capacity import model
from figtray.capacity.tests import oracles


@strategies.composite
def situations(draw, sizes=(oracles.UNIT,)):
    """Draw a Situation with some hosts out of use."""
    zones = draw(strategies.integers(2, 4))
    count = draw(strategies.integers(zones, 24))
    pools = ('a', 'b', 'spare')
    hosts = [
        dataclasses.replace(
            host,
            pool=draw(strategies.sampled_from(pools)),
            slots=draw(strategies.sampled_from(sizes)),
        )
        for host in oracles.make_hosts(count, zones, pools, per_rack=2)
    ]
    names = [host.name for host in hosts]
    return model.Situation(
        hosts=tuple(hosts),
        pools=(
            model.PoolView('a', draw(strategies.integers(0, 60))),
            model.PoolView('b', draw(strategies.integers(0, 60))),
            model.PoolView('spare', spare=True),
        ),
        failed=frozenset(
            draw(strategies.sets(strategies.sampled_from(names), max_size=3))
        ),
    )


class TestLedger:
    """Guards against budgets that overlook a loss or count cover twice."""

    @hypothesis.given(situations())
    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    def test_equals_the_count_of_every_loss(self, situation):
        ledger = budget.Ledger(situation)
        if not ledger.zone_lost:
            assert ledger.headroom == -oracles.worst_loss(situation)

    @hypothesis.given(situations(sizes=(4, 8, 8, 16)), strategies.data())
    @hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None, database=None
    )
    def test_mixed_sizes_never_claim_cover_that_is_absent(
        self, situation, data
    ):
        ledger = budget.Ledger(situation)
        if ledger.zone_lost or ledger.headroom < 0:
            return
        up = [h for h in situation.hosts if budget.is_available(h, situation)]
        if not up:
            return
        lost = data.draw(strategies.sampled_from(up))
        left = [h for h in up if h.zone != lost.zone]
        mins = {pool.name: pool.min_slots for pool in situation.pools}
        slots = {
            pool: sum(h.slots for h in left if h.pool == pool) for pool in mins
        }
        for host in sorted(left, key=lambda h: -h.slots):
            short = [p for p in mins if slots[p] < mins[p]]
            if short and slots[host.pool] - host.slots >= mins[host.pool]:
                slots[host.pool] -= host.slots
                slots[
                    max(short, key=lambda p: mins[p] - slots[p])
                ] += host.slots
        assert all(slots[pool] >= mins[pool] for pool in mins)

    @hypothesis.given(situations(), strategies.data())
    @hypothesis.settings(
        derandomize=True, max_examples=60, deadline=None, database=None
    )
    def test_changes_equal_a_new_count(self, situation, data):
        ledger = budget.Ledger(situation)
        hosts = list(situation.hosts)
        for index in data.draw(
            strategies.lists(
                strategies.integers(0, len(hosts) - 1), unique=True
            )
        ):
            if budget.is_available(hosts[index], situation):
                ledger.remove(hosts[index])
                failed = situation.failed | {hosts[index].name}
                situation = dataclasses.replace(situation, failed=failed)
        again = budget.Ledger(situation)
        if again.zone_lost == ledger.zone_lost:
            assert again.headroom == ledger.headroom

    def test_hosts_below_the_common_size_are_no_spare(self):
        hosts = oracles.make_hosts(12, 3, ('a',))
        hosts += [
            dataclasses.replace(host, name=f's{n}', pool='spare', slots=4)
            for n, host in enumerate(hosts[:6])
        ]
        pools = model.PoolView('a', 96), model.PoolView('spare', spare=True)
        ledger = budget.Ledger(model.Situation(tuple(hosts), pools))
        assert ledger.headroom == -4

    def test_a_large_host_gives_no_more_than_one(self):
        hosts = oracles.make_hosts(12, 3, ('a', 'b'), per_rack=1)
        hosts = [
            dataclasses.replace(host, slots=16) if host.pool == 'b' else host
            for host in hosts
        ]
        pools = model.PoolView('a', 48), model.PoolView('b', 32)
        hosts += [dataclasses.replace(hosts[0], name='h12', slots=8)]
        ledger = budget.Ledger(model.Situation(tuple(hosts), pools))
        assert (ledger.unit, ledger.headroom) == (8, 0)

    def test_charges_every_host_once_and_the_lost_zone_as_one(self):
        hosts = oracles.make_hosts(12, 3, ('a', 'b'))
        situation = model.Situation(
            hosts=tuple(hosts),
            pools=(model.PoolView('a'), model.PoolView('b')),
            zones_out=frozenset({'z0'}),
            failed=frozenset({'h0', 'h1'}),
            leaving=frozenset({'h2'}),
        )
        charges = budget.charge(situation, budget.Ledger(situation))
        assert (charges.failed, charges.lost_zones, charges.drains) == (
            1,
            4,
            1,
        )
        assert charges.left == 6

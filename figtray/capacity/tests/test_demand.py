"""Tests of the demand tracker."""

from figtray.capacity import demand
from figtray.configuration import snapshot
from figtray.peers import messages

INTERVAL_MS = 10_000
RUN_MS = 2_000


def track(loads):
    """Return the last (smoothed, highest) of loads one second apart."""
    tracker = demand.DemandTracker()
    for second, load in enumerate(loads):
        result = tracker.update({'a': load}, second * 1_000, INTERVAL_MS)
    return result['a']


def make_peak(counts_arrivals, seconds=20, slots=80):
    """Yield the loads of a pool of 64 slots that meets 80 slots of work.

    The queue is bounded, so most of what is too much is refused.
    """
    queued = 0
    starts = [0, 0]
    for second in range(seconds):
        queued += slots / 2
        starts = [starts[1], min(queued, 64 - starts[1])]
        queued = min(queued - starts[1], 60)
        arrived = slots / 2 * (second + 1) if counts_arrivals else None
        yield demand.PoolLoad(sum(starts), queued, RUN_MS, arrived)


class TestLoadReader:
    """Guards against restarts and late replies that look like peaks."""

    def test_sums_arrivals_by_entry_and_incarnation(self):
        reader = demand.LoadReader()
        rounds = (
            {'e1': ('i1', 100), 'e2': ('i2', 50)},
            {'e1': ('i1', 110)},
            {'e1': ('i1', 120), 'e2': ('i2', 80)},
            {'e1': ('i3', 5), 'e2': ('i2', 80)},
            {'e1': ('i3', 9), 'e2': ('i2', 80)},
        )
        arrived = []
        for replies in rounds:
            status = {
                slot: messages.StatusReply(
                    slot,
                    incarnation,
                    1,
                    snapshot.Mark(1, ''),
                    True,
                    True,
                    run_ms={'a': 50},
                    arrived={'a': count},
                )
                for slot, (incarnation, count) in replies.items()
            }
            arrived.append(reader.read(status)['a'].arrived)
        assert arrived == [0, 10, 50, 50, 54]


class TestDemandTracker:
    """Guards against demand that is overstated, or hidden by refusals."""

    def test_counted_arrivals_show_what_a_full_queue_refuses(self):
        clearing = 60 * RUN_MS / (demand.CLEARING_FACTOR * INTERVAL_MS)
        smoothed, _ = track(make_peak(counts_arrivals=True))
        assert abs(smoothed - 80 - clearing) < 1

    def test_the_start_of_a_peak_is_not_counted_twice(self):
        for counts_arrivals in (False, True):
            for seconds in range(2, 8):
                smoothed, _ = track(make_peak(counts_arrivals, seconds))
                assert smoothed < 90

    def test_without_run_times_every_request_is_a_slot(self):
        load = demand.PoolLoad(running=8, queued=30)
        assert track([load] * 30) == (38, 38)

    def test_the_end_of_a_peak_frees_the_pool_at_once(self):
        loads = [demand.PoolLoad(64, 0)] * 20 + [demand.PoolLoad(3, 0)]
        assert track(loads) == (3, 3)

    def test_a_short_dip_keeps_the_demand(self):
        loads = [demand.PoolLoad(64, 0)] * 20 + [demand.PoolLoad(40, 0)]
        smoothed, highest = track(loads)
        assert 40 < smoothed < 64 == highest

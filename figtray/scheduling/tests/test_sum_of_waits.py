"""Tests of the sum of all waits from the end of an outage to the first run."""

import pytest

from figtray.leadership import elector
from figtray.leadership import term as terms
from figtray.platform import main as node_main
from figtray.platform import store as platform_store
from figtray.scheduling import lease_horizon
from figtray.scheduling import leases
from figtray.scheduling import service
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray.store import prefix_watcher

# A lasting task runs again within this time of the store's return.
RESTART_MS = 7000
# The nodes see the store's return, and one is elected, within this time.
ELECTION_MS = 2000


class Node:
    """Node that takes part in the elections of a Fleet, step by step."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._elector = elector.LeaderElector(
            fleet.store,
            fleet.clock,
            terms.LeaderRecord(name, 'a', f'{name}:1'),
            lambda term: None,
        )
        self._next_revision = fleet.store.range(terms.LEADER_KEY).revision + 1
        self._elector._watcher.load()

    def follow(self):
        """Apply the changes of the leader's keys."""
        items, self._next_revision = self._fleet.store.wait_for_changes(
            terms.LEADER_KEY, self._next_revision, 0
        )
        for item in items:
            self._elector._apply_change(item)

    def lead(self):
        """Become the leader; returns the Leader."""
        return harness.Leader(self._fleet, self._elector._try_acquire())


@pytest.fixture
def fleet():
    # The slowest clocks make the leases last as long as they can.
    return harness.Fleet(4, rate=leases.SLOWEST_CLOCK_RATE)


@pytest.fixture
def nodes(fleet):
    """The Node that leads first and another one."""
    return Node(fleet, 'node-1'), Node(fleet, 'node-2')


@pytest.fixture
def leader(nodes):
    leader = nodes[0].lead()
    leader.report_all()
    return leader


def play(leader, nodes, ms):
    """Let a leader work while the nodes follow its keys."""
    for _ in range(ms // takeovers.CYCLE_MS):
        takeovers.play(leader, takeovers.CYCLE_MS)
        for node in nodes:
            node.follow()


def pass_outage(fleet, ms, leader=None):
    """Let the store be down; a leader asks for reports while it may."""
    fleet.store.down = True
    for _ in range(ms // takeovers.CYCLE_MS):
        fleet.clock.advance(takeovers.CYCLE_MS)
        fleet.client.expire()
        if leader is not None and leader.term.valid():
            leader.report_all()
    fleet.store.down = False
    fleet.store.expire_leases()


class TestBounds:
    # Each of the waits was bounded, but their sum was over the promise.
    def test_sum_of_the_bounds_is_over_the_promise(self):
        retry_ms = prefix_watcher.RETRY_MS + prefix_watcher.RETRY_JITTER_MS
        # In a shorter outage no lease of a leader expires.
        hanging_watch_ms = elector.WATCH_WAIT_MS - terms.LEASE_TTL_MS
        notice_ms = (
            max(hanging_watch_ms, prefix_watcher.CONFIRM_WAIT_MS)
            + platform_store.WATCH_TIMEOUT_MARGIN_MS
            + retry_ms
        )
        # A host has at least half a core.
        election_ms = (
            int(node_main.CANDIDACY_DELAY_PER_CORE_MS * 1.5)
            + elector.MAX_JITTER_MS
        )
        load_ms = service.ROSTER_WRITE_TIMEOUT_MS
        assert notice_ms <= ELECTION_MS
        assert (
            notice_ms
            + election_ms
            + load_ms
            + lease_horizon.MIN_ADOPTION_MS
            + takeovers.START_MS
            <= RESTART_MS
        )


class TestOutage:
    # The wait for the lease of a silent worker began with the term of the
    # next leader, although no leader had extended it since the outage began.
    @pytest.mark.parametrize('outage_ms', [4000, 7000, 10_000])
    @pytest.mark.parametrize('same_node', [True, False])
    def test_wait_for_a_lease_begins_with_the_term(
        self, fleet, leader, nodes, outage_ms, same_node
    ):
        first, second = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        play(leader, nodes, 30 * takeovers.CYCLE_MS)
        takeovers.silence(fleet, number, listed=False)
        pass_outage(fleet, outage_ms)
        fleet.clock.advance(ELECTION_MS)
        fleet.client.expire()
        node = nodes[0 if same_node else 1]
        node.follow()
        play(node.lead(), nodes, RESTART_MS - ELECTION_MS)
        assert {first, second} <= set(takeovers.running(fleet))
        assert takeovers.place(fleet, first) != number

    # The former leader may extend leases until its own lease is over, and
    # reach a worker that the next one doesn't. play() checks that no second
    # run starts.
    @pytest.mark.parametrize('outage_ms', range(2000, 10_001, 1000))
    def test_task_starts_before_the_last_lease_is_over(
        self, fleet, leader, nodes, outage_ms
    ):
        first, _ = takeovers.submit_pair(fleet, leader)
        number = takeovers.place(fleet, first)
        play(leader, nodes, 30 * takeovers.CYCLE_MS)
        pass_outage(fleet, outage_ms, leader)
        takeovers.silence(fleet, number, listed=False)
        nodes[1].follow()
        play(
            nodes[1].lead(),
            nodes,
            takeovers.LONGEST_LEASE_MS + takeovers.START_MS,
        )
        assert takeovers.place(fleet, first) != number

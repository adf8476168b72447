"""Tests of the transfer of allotment between entries."""

from figtray import clock as clock_lib
from figtray import errors
from figtray.limits.tests import test_allotments
from figtray.limits import transfers
from figtray.peers import messages
from figtray.shares import view


def heartbeat(team, queued, idle=()):
    """Return the heartbeat of a peer where requests of a team wait."""
    demand = view.TeamDemand(team, 0, queued)
    report = view.DemandReport(0, (view.PoolDemand('p', (demand,)),))
    return messages.Heartbeat(None, True, 1, report, idle)


class TestIdleForPeers:
    """Guards against heartbeats that name teams nobody waits for."""

    def test_only_teams_that_wait_somewhere(self):
        report = (
            messages.TeamAllotment('t', 1, 5, 2),
            messages.TeamAllotment('u', 1, 5, 2),
            messages.TeamAllotment('v', 1, 5, 5),
        )
        peers = [
            heartbeat('t', 3),
            heartbeat('u', 0),
            heartbeat('v', 1),
            messages.Heartbeat(None, True, 1),
        ]
        assert transfers.idle_for_peers(report, peers) == (
            messages.TeamAllotment('t', 1, 3),
        )


class FakeLink:
    """Link to an entry of the same process, or to none."""

    def __init__(self, entry=None):
        self.entry = entry
        self.calls = 0

    def call(self, message, timeout_ms, attempts=1):
        self.calls += 1
        if self.entry is None:
            raise errors.PeerUnavailable(peer='x', detail='down')
        return self.entry.allotments.give(message, 0, 0)


class TestTransferTask:
    """Guards against needs that are forgotten or peers that are flooded."""

    def make(self, links):
        clock = clock_lib.ManualClock()
        helper = test_allotments.Entry('own')
        own = helper.allotments
        peers = {slot: (heartbeat('t', 1), 0) for slot in links}
        register = type('Register', (), {'peers': lambda self: peers})()
        received = []
        task = transfers.TransferTask(
            own, links, register, clock, lambda: received.append(1)
        )
        return task, helper, received, clock

    def test_collects_from_several_peers_and_passes_over_lost_ones(self):
        givers = [test_allotments.Entry(slot, held=2) for slot in 'ab']
        links = {'a': FakeLink(givers[0]), 'b': FakeLink(givers[1])}
        links['c'] = FakeLink()
        task, helper, received, _ = self.make(links)
        assert task.ask('t', 3) == 3
        assert helper.held == 3 and received
        assert sum(giver.held for giver in givers) == 1

    def test_peers_that_gave_nothing_are_asked_less_often(self):
        links = {'a': FakeLink(test_allotments.Entry('a', held=0))}
        task, _, _, clock = self.make(links)
        for _ in range(20):
            task.want('t', 1)
            for team, number in task._due():
                task.ask(team, number)
            clock.advance(50)
        assert 3 <= links['a'].calls <= 5

"""Asks peers for allotment that this entry needs."""

import random
import threading

from figtray import errors
from figtray.peers import messages

CALL_TIMEOUT_MS = 300
# Repeats of one request; a repeated call returns the stored reply, so the
# allotment of a lost reply is not lost.
CALL_ATTEMPTS = 2
# Wait before the peers are asked again that gave nothing.
RETRY_MS = 100
MAX_RETRY_MS = 800
PEERS_PER_ROUND = 3
IDLE_WAIT_MS = 1_000


def idle_for_peers(report, heartbeats):
    """Return the idle allotment that peers have a use for.

    Idle entries would otherwise name every team in every heartbeat, half of
    its bytes.

    Args:
        report: TeamAllotment items of this entry.
        heartbeats: the last Heartbeat of each peer.

    Returns:
        Tuple of TeamAllotment; `held` is the idle part.
    """
    waiting = {
        team.team
        for heartbeat in heartbeats
        for pool in (heartbeat.demand.pools if heartbeat.demand else ())
        for team in pool.teams
        if team.queued
    }
    return tuple(
        messages.TeamAllotment(i.team, i.version, i.held - i.in_use)
        for i in report
        if i.team in waiting and i.held > i.in_use
    )


class TransferTask:
    """Moves allotment here while requests of a team wait for it."""

    def __init__(self, allotments, links, register, clock, on_received):
        """Set up.

        Args:
            allotments: the Allotments of this entry.
            links: mapping of slot to Link.
            register: the PeerRegister with the peers' heartbeats.
            clock: a Clock.
            on_received: called without arguments when allotment arrived.
        """
        self._allotments = allotments
        self._links = links
        self._register = register
        self._clock = clock
        self._on_received = on_received
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._wanted = {}
        self._retry = {}
        self._random = random.Random()

    def want(self, team, number):
        """Note that requests of a team wait for allotment."""
        with self._lock:
            next_ms, _ = self._retry.get(team, (0, RETRY_MS))
            self._wanted[team] = number
            if self._clock.now_ms() < next_ms:
                return
        self._wake.set()

    def run(self, stop):
        """Ask peers whenever something is wanted, until a stop."""
        while not stop.is_set():
            self._clock.wait(
                self._wake, RETRY_MS if self._wanted else IDLE_WAIT_MS
            )
            self._wake.clear()
            for team, number in self._due():
                self.ask(team, number)

    def ask(self, team, number):
        """Ask some peers for allotment of a team.

        Args:
            team: the team.
            number: how much is wanted.

        Returns:
            The number received.
        """
        received = 0
        for slot in self._candidates(team):
            if received >= number:
                break
            req = messages.TransferRequest(
                team=team,
                version=self._allotments.team_version(team),
                epoch=self._allotments.epoch,
                wanted=number - received,
            )
            try:
                reply = self._links[slot].call(
                    req, CALL_TIMEOUT_MS, CALL_ATTEMPTS
                )
            except errors.PeerUnavailable:
                continue
            received += self._allotments.receive(team, reply)
        self._note(team, received)
        if received:
            self._on_received()
        return received

    def _due(self):
        now_ms = self._clock.now_ms()
        with self._lock:
            due = [
                (team, number)
                for team, number in self._wanted.items()
                if self._retry.get(team, (0, 0))[0] <= now_ms
            ]
            for team, _ in due:
                del self._wanted[team]
        return due

    def _note(self, team, received):
        with self._lock:
            _, delay_ms = self._retry.get(team, (0, RETRY_MS))
            if received:
                self._retry.pop(team, None)
                return
            next_ms = self._clock.now_ms() + delay_ms
            delay_ms = min(2 * delay_ms, MAX_RETRY_MS)
            self._retry[team] = (next_ms, delay_ms)

    def _candidates(self, team):
        """Return slots to ask: those that reported most idle first."""
        peers = self._register.peers()
        idle = {
            slot: sum(i.held for i in heartbeat.idle if i.team == team)
            for slot, (heartbeat, _) in peers.items()
            if slot in self._links
        }
        order = list(idle)
        self._random.shuffle(order)
        order.sort(key=lambda slot: -idle[slot])
        return order[:PEERS_PER_ROUND]

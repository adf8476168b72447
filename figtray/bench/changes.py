"""Measures how long a change takes while one entry is frozen."""

import contextlib
import dataclasses
import socket
import time
import uuid

import typer

from figtray import clock as clock_lib
from figtray.configuration import replica as replica_lib
from figtray.configuration import resources
from figtray.configuration import snapshot as snapshot_lib
from figtray.configuration import writer as writer_lib
from figtray.peers import group as group_lib
from figtray.peers import heartbeat
from figtray.peers import messages
from figtray.peers import server as server_lib
from figtray.store import memory

DEPLOYMENT = 'bench'
HOST = '127.0.0.1'
TIMEOUT_MS = 1000


@dataclasses.dataclass
class Entry:
    """The part of an entry that a change needs."""

    slot: str
    replica: replica_lib.Replica

    def handle(self, envelope, message):
        """Answer one message."""
        match message:
            case messages.StatusRequest():
                return messages.StatusReply(
                    slot=self.slot,
                    incarnation='run',
                    epoch=0,
                    mark=self.replica.snapshot.mark,
                    synchronised=True,
                    serving=True,
                )
            case messages.ChangePush(change):
                outcome = self.replica.apply(change)
                return messages.ChangePushReply(
                    outcome
                    in (
                        replica_lib.Outcome.APPLIED,
                        replica_lib.Outcome.KNOWN,
                    ),
                    self.replica.snapshot.mark,
                )
            case messages.FetchChanges(after):
                return heartbeat.answer_fetch(self.replica, after)


def measure(entries, changes, frozen):
    """Make changes over pynng and measure each.

    Args:
        entries: number of entries.
        changes: number of changes.
        frozen: number of entries that accept connections and never answer.

    Returns:
        Sorted list of durations in milliseconds.
    """
    with contextlib.ExitStack() as stack:
        addresses = {}
        for number in range(1, entries + 1):
            slot = f'entry-{number}'
            sock = socket.socket()
            sock.bind((HOST, 0))
            address = f'{HOST}:{sock.getsockname()[1]}'
            addresses[slot] = address
            if number <= frozen:
                sock.listen()
                stack.callback(sock.close)
                continue
            sock.close()
            entry = Entry(slot, replica_lib.Replica(DEPLOYMENT))
            server = server_lib.PeerServer(
                slot, 'run', address, entry.handle, print
            )
            server.start()
            stack.callback(server.close)
        group = group_lib.PeerGroup(
            addresses, 'bench', uuid.uuid4().hex, TIMEOUT_MS
        )
        stack.callback(group.close)
        clock = clock_lib.SystemClock()
        store = memory.MemoryStore(clock)
        writer = writer_lib.Writer(store, DEPLOYMENT, group, clock)
        return sorted(_time_ms(writer, n) for n in range(changes))


def _time_ms(writer, number):
    def build(before):
        spec = {'limit': number, 'weight': 1}
        kind = resources.Kind.TEAM.value
        version = before.generation + 1
        return (snapshot_lib.Item(kind, 'team', version, spec),)

    start_ns = time.perf_counter_ns()
    writer.commit(build)
    return (time.perf_counter_ns() - start_ns) / 1e6


def main(entries: int = 9, changes: int = 30, grace_ms: int = 0):
    """Print the durations; a grace of 1000 ms waits for all entries."""
    if grace_ms:
        writer_lib.GRACE_MS = grace_ms
    for frozen in (0, 1):
        durations = measure(entries, changes, frozen)
        print(
            f'{entries} entries, {frozen} frozen, grace '
            f'{writer_lib.GRACE_MS} ms, {changes} changes: '
            f'median {durations[len(durations) // 2]:.0f} ms, '
            f'longest {durations[-1]:.0f} ms'
        )


if __name__ == '__main__':
    typer.run(main)

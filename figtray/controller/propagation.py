"""The controller's duty to bring every entry to the newest configuration."""

from figtray.configuration import archive as archive_lib
from figtray import errors
from figtray.events import log

# A slot that lacks more changes than this fetches them from its peers.
MAX_CHANGES = 64


class PropagationDuty:
    """Pushes changes that entries lack, and repairs an older store.

    A process that wrote a change may have died before it told any entry.
    """

    def __init__(self, store, deployment, writer, group):
        self._archive = archive_lib.Archive(store, deployment)
        self._writer = writer
        self._group = group

    def run(self, role):
        """Compare store and entries once; the writer repairs the store.

        Args:
            role: the election.Role; it is not needed, because pushing an
                accepted or stored change twice does no harm.
        """
        del role
        snapshot, _ = self._writer.read()
        for slot, mark in self._group.marks().items():
            if mark.generation >= snapshot.generation:
                continue
            try:
                self._push(slot, mark.generation, snapshot.generation)
            except errors.PeerUnavailable as exc:
                log.emit_exception(f'propagation to {slot}', exc)

    def _push(self, slot, after, newest):
        first = max(after, newest - MAX_CHANGES) + 1
        changes = [
            self._archive.read_change(generation)
            for generation in range(first, newest + 1)
        ]
        if None not in changes:
            self._group.push_to(slot, changes)

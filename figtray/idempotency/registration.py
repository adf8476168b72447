"""Record in the store of the last run of a slot."""

import msgspec

from figtray import errors
from figtray.store import base as store_base


class RunRecord(msgspec.Struct, frozen=True):
    """The last run of a slot."""

    run_id: str


class Registration:
    """Makes a run known to its successor before it takes keyed requests."""

    def __init__(self, store, deployment, slot, run_id):
        self._store = store
        self._key = f'/figtray/{deployment}/slots/{slot}'
        self._run_id = run_id
        self._former = None

    def register(self):
        """Write this run and learn the one before it.

        Returns:
            The former run id, or '' if this is the slot's first run.

        Raises:
            StoreUnavailable: try again.
            WriteUncertain: try again.
        """
        item = self._store.get(self._key)
        current = ''
        if item is not None:
            current = msgspec.json.decode(item.value, type=RunRecord).run_id
        if current == self._run_id:
            # An earlier try was written although its reply was lost.
            return self._former or ''
        self._former = current
        put = store_base.Put(
            self._key, msgspec.json.encode(RunRecord(self._run_id))
        )
        revision = item.mod_revision if item else 0
        guard = store_base.Compare(self._key, 'mod_revision', revision)
        if not self._store.txn([guard], [put]).succeeded:
            raise errors.StoreUnavailable(detail='the run record changed')
        return current

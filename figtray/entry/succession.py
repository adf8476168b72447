"""Succession of the runs of a slot: registration and hand-over of keys."""

from figtray.dispatch import tasks as tasks_lib
from figtray.entry import outcomes
from figtray import errors
from figtray.peers import messages
from figtray import verdict as verdict_lib

KEY_FETCH_TIMEOUT_MS = 1_000


class Succession:
    """Takes over the keys of the slot's former run and hands on its own."""

    def __init__(self, slot, run_id, registration, keys, table, links, clock):
        """Set up.

        Args:
            slot: name of this entry's slot.
            run_id: id of this run of the process.
            registration: the Registration of this run.
            keys: the KeyRecords.
            table: the TaskTable.
            links: mapping of slot to Link.
            clock: a Clock.
        """
        self._slot = slot
        self._run_id = run_id
        self._registration = registration
        self._keys = keys
        self._table = table
        self._links = links
        self._clock = clock

    def begin(self):
        """Register this run and take over the keys of the former one.

        Raises:
            StoreUnavailable: try again.
            WriteUncertain: try again.
        """
        former = self._registration.register()
        if former:
            self._take_over(former)
        self._keys.recorded(first_run=not former)

    def end(self):
        """Take no more keys.

        Returns:
            The messages.KeyHandover for the peers.
        """
        records, uncertain_ms = self._keys.close()
        items = tuple(
            messages.KeyRecordItem(
                owner_key,
                digest,
                age_ms,
                outcomes.to_message(owner_key, _last_verdict(task)),
            )
            for owner_key, digest, age_ms, task in records
        )
        return messages.KeyHandover(
            self._slot, self._run_id, items, uncertain_ms
        )

    def _take_over(self, former):
        for link in self._links.values():
            try:
                reply = link.call(
                    messages.FetchKeys(self._slot), KEY_FETCH_TIMEOUT_MS
                )
            except errors.PeerUnavailable:
                continue
            if reply.run_id == former:
                self._keys.take_over(
                    self._keep(reply.records), reply.uncertain_ms
                )
                return

    def _keep(self, items):
        now_ms = self._clock.now_ms()
        for item in items:
            req = tasks_lib.TaskRequest(
                queue='',
                pool='',
                team=item.owner_key.partition('\0')[0],
                key_id='',
                body=b'',
                received_ms=now_ms,
                deadline_ms=now_ms,
            )
            task = self._table.add(req)
            if task is None:
                task = tasks_lib.Task(f'{self._slot}.handed-over', req)
            task.finish(outcomes.from_message(item.outcome))
            yield item.owner_key, item.digest, item.age_ms, task


def _last_verdict(task):
    """Return the outcome of a task; one that still runs may have run."""
    if task.done:
        return task.fut.result()
    return verdict_lib.MayHaveRun(
        verdict_lib.UncertainReason.OWNER_RESTARTED,
        'the entry stopped before the task ended',
    )

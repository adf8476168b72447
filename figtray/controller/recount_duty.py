"""The controller's duty to keep the teams' allotments complete."""

import concurrent.futures

import msgspec

from figtray.configuration import resources
from figtray import errors
from figtray.events import catalogue
from figtray.events import log
from figtray.limits import recount as recount_lib
from figtray.store import base as store_base

REPORT_TIMEOUT_MS = 1_000
# An entry that does not answer for this long is fenced, which costs it its
# allotments; shorter pauses do not.
DEAD_MS = 5_000
# Wait after a recount that could not grant everything, as tasks of lost
# entries end on their own.
MIN_INTERVAL_MS = 500
MAX_INTERVAL_MS = 5_000


class MembersRecord(msgspec.Struct, frozen=True):
    """Members of the last recount that changed them, kept in the store."""

    floor: int
    incarnations: dict[str, str]


class RecountDuty:
    """Starts a recount when allotment is missing."""

    def __init__(
        self,
        store,
        deployment,
        writer,
        group,
        client,
        clock,
        wait,
        executor,
        report_executor,
    ):
        """Set up.

        Args:
            store: the Store.
            deployment: name of the deployment.
            writer: configuration Writer, for reading.
            group: the peers.group.PeerGroup.
            client: a WorkerClient.
            clock: a Clock.
            wait: function that waits for a number of milliseconds and
                returns False if the process stops meanwhile.
            executor: for the recount; the control loop must go on to renew
                its lease.
            report_executor: for the questions to workers.
        """
        self._store = store
        self._key = f'/figtray/{deployment}/controller/members'
        self._writer = writer
        self._group = group
        self._client = client
        self._clock = clock
        self._executor = executor
        self._report_executor = report_executor
        self._recount = recount_lib.Recount(
            group, self._ask_workers, clock, wait
        )
        self._running = None
        self._next_ms = 0
        self._interval_ms = MIN_INTERVAL_MS
        self._answered_ms = {}
        self._started_ms = clock.now_ms()

    def run(self, role):
        """Look for missing allotment and start a recount if there is any.

        Args:
            role: the election.Role of the active controller.
        """
        if self._running is not None:
            if not self._running.done():
                return
            fut, self._running = self._running, None
            self._note(fut.result())
        status = self._group.status()
        now_ms = self._clock.now_ms()
        for slot in status:
            self._answered_ms[slot] = now_ms
        if now_ms < self._next_ms or not status:
            return
        snapshot, _ = self._writer.read()
        if not is_needed(snapshot, status) or not self._is_settled(status):
            return
        self._running = self._executor.submit(self._run_once, role, snapshot)

    def _is_settled(self, status):
        """Tell whether every slot answers or is silent long enough."""
        now_ms = self._clock.now_ms()
        return all(
            slot in status
            or now_ms - self._answered_ms.get(slot, self._started_ms)
            >= DEAD_MS
            for slot in self._group.slots
        )

    def _run_once(self, role, snapshot):
        started_ms = self._clock.now_ms()
        item = self._store.get(self._key)
        known = recount_lib.Members()
        if item is not None:
            record = msgspec.json.decode(item.value, type=MembersRecord)
            known = recount_lib.Members(record.floor, record.incarnations)
        newest = max(
            (reply.epoch for reply in self._group.status().values()),
            default=0,
        )
        epoch = role.take_epoch(newest)
        log.emit(catalogue.RECOUNT_STARTED, epoch=epoch)
        result = self._recount.run(
            epoch,
            snapshot,
            known,
            lambda members: self._save(role, item, members),
        )
        match result:
            case recount_lib.Finished():
                log.emit(
                    catalogue.RECOUNT_FINISHED,
                    epoch=epoch,
                    granted=sum(result.granted.values()),
                    orphans=sum(result.orphans.values()),
                    duration_ms=self._clock.now_ms() - started_ms,
                )
            case recount_lib.Abandoned(reason=reason):
                log.emit(
                    catalogue.RECOUNT_ABANDONED, epoch=epoch, reason=reason
                )
        return result

    def _save(self, role, item, members):
        record = MembersRecord(members.floor, members.incarnations)
        guards = [
            store_base.Compare(
                self._key, 'mod_revision', item.mod_revision if item else 0
            ),
            *role.guards(),
        ]
        put = store_base.Put(self._key, msgspec.json.encode(record))
        if not self._store.txn(guards, [put]).succeeded:
            raise errors.FencedOut(detail='the recount record changed')

    def _note(self, result):
        is_complete = isinstance(result, recount_lib.Finished) and not any(
            result.orphans.values()
        )
        if is_complete:
            self._interval_ms = MIN_INTERVAL_MS
        else:
            self._interval_ms = min(2 * self._interval_ms, MAX_INTERVAL_MS)
        self._next_ms = self._clock.now_ms() + self._interval_ms

    def _ask_workers(self, snapshot):
        hosts = snapshot.specs(resources.Kind.HOST)
        futs = {
            host: self._report_executor.submit(self._report, spec.address)
            for host, spec in hosts.items()
        }
        concurrent.futures.wait(futs.values())
        return {host: fut.result() for host, fut in futs.items()}

    def _report(self, address):
        try:
            return self._client.report(address, REPORT_TIMEOUT_MS)
        except errors.WorkerUnavailable:
            return None


def is_needed(snapshot, status):
    """Tell whether allotment is missing or can't be told.

    Args:
        snapshot: the configuration Snapshot.
        status: mapping of slot to messages.StatusReply.
    """
    if not all(reply.synchronised for reply in status.values()):
        return False
    taken = {}
    epochs = set()
    for reply in status.values():
        epochs.add(reply.epoch)
        for item in reply.allotments:
            taken[item.team] = taken.get(item.team, 0) + item.held
    if len(epochs) > 1:
        return True
    return any(
        taken.get(team, 0) < spec.limit
        for team, spec in snapshot.specs(resources.Kind.TEAM).items()
    )

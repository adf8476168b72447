"""Admission of requests: key, queue, bounds, owner."""

import dataclasses

from figtray.configuration import resources
from figtray.dispatch import dispatcher as dispatcher_lib
from figtray.dispatch import tasks as tasks_lib
from figtray.idempotency import owners
from figtray.idempotency import records as records_lib
from figtray import verdict as verdict_lib


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A request that has a task."""

    task: tasks_lib.Task


@dataclasses.dataclass(frozen=True)
class Rejected:
    """A request without a task, with its verdict and what to send."""

    verdict: verdict_lib.Verdict
    other_body: bool = False


class Intake:
    """Takes requests from callers and from other slots."""

    def __init__(
        self, slot, slots, replica, right, table, keys, dispatcher, forwarder
    ):
        self._slot = slot
        self._slots = slots
        self._replica = replica
        self._right = right
        self._table = table
        self._keys = keys
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self.draining = False

    def submit(self, req):
        """Take a request of a caller.

        Args:
            req: the TaskRequest; its key was verified.

        Returns:
            Accepted or Rejected.
        """
        owner = self.owner_of(req)
        if owner in (None, self._slot):
            return self.submit_here(req)
        refusal = self._refusal(req)
        if refusal is not None:
            return Rejected(_unless_keyed(req, refusal))
        task = self._table.add(req)
        if task is None:
            refusal = _refuse('QUEUE_FULL', 'too many open tasks')
            return Rejected(_unless_keyed(req, refusal))
        self._forwarder.forward(task, owner)
        return Accepted(task)

    def submit_here(self, req):
        """Take a request that this slot owns or that no slot owns.

        Returns:
            Accepted or Rejected.
        """
        refusal = self._refusal(req)
        if req.idempotency_key:
            return self._submit_keyed(req, refusal)
        if refusal is not None:
            return Rejected(refusal)
        task = self._table.add(req)
        if task is None:
            return Rejected(_refuse('QUEUE_FULL', 'too many open tasks'))
        self._dispatcher.submit(task)
        return Accepted(task)

    def owner_of(self, req):
        """Return the slot that owns a request, or None if any may run it."""
        if req.idempotency_key:
            key = owners.request_key(req.team, req.idempotency_key)
            return owners.owner_slot(self._slots, key)
        queue = self._replica.snapshot.spec(resources.Kind.QUEUE, req.queue)
        if queue is not None and queue.ordered:
            return owners.owner_slot(self._slots, owners.queue_key(req.queue))
        return None

    def _submit_keyed(self, req, refusal):
        """Find the task of a key, or accept the request as its first.

        A refusal says "not run" only of a key that is certainly new.
        """
        owner_key = f'{req.team}\0{req.idempotency_key}'
        claim, task = self._keys.claim(
            owner_key,
            req.digest,
            lambda: None if refusal else self._table.add(req),
        )
        is_known = claim not in (
            records_lib.Claim.FIRST,
            records_lib.Claim.FULL,
            records_lib.Claim.CLOSED,
        )
        if is_known and not self._is_admitted(req):
            return Rejected(_uncertain('the key does not admit the team'))
        match claim:
            case records_lib.Claim.FIRST:
                task.fut.add_done_callback(
                    lambda fut: self._forget_if_not_run(owner_key, task)
                )
                self._dispatcher.submit(task)
                return Accepted(task)
            case records_lib.Claim.REPEATED:
                return Accepted(task)
            case records_lib.Claim.OTHER_BODY:
                return Rejected(
                    _refuse('BAD_REQUEST', 'the key was used before'),
                    other_body=True,
                )
            case records_lib.Claim.UNCERTAIN:
                return Rejected(
                    _uncertain('the keys of the former run are not known yet')
                )
            case records_lib.Claim.FULL:
                return Rejected(
                    refusal or _refuse('QUEUE_FULL', 'too many keys')
                )
            case records_lib.Claim.CLOSED:
                return Rejected(_refuse('DRAINING', 'this entry is stopping'))

    def _forget_if_not_run(self, owner_key, task):
        if isinstance(task.fut.result(), verdict_lib.NotRun):
            self._keys.forget(owner_key, task)

    def _is_admitted(self, req):
        return dispatcher_lib.is_admitted(self._replica.snapshot, req)

    def _refusal(self, req):
        snapshot = self._replica.snapshot
        if self.draining:
            return _refuse('DRAINING', 'this entry is stopping')
        if not self._right.holds():
            return _refuse('NO_SERVING_RIGHT', 'no majority of entries')
        if snapshot.spec(resources.Kind.QUEUE, req.queue) is None:
            return _refuse('UNKNOWN_QUEUE', req.queue)
        if not self._is_admitted(req):
            return _refuse('KEY_REFUSED', 'the key does not admit the team')
        return None


def _unless_keyed(req, refusal):
    """Return a refusal, or MayHaveRun for a key that its owner may know."""
    if not req.idempotency_key:
        return refusal
    return verdict_lib.MayHaveRun(
        verdict_lib.UncertainReason.OWNER_UNREACHABLE,
        f'the owner was not asked: {refusal.reason.value}',
    )


def _uncertain(detail):
    return verdict_lib.MayHaveRun(
        verdict_lib.UncertainReason.OWNER_RESTARTED, detail
    )


def _refuse(reason, detail=''):
    return verdict_lib.NotRun(verdict_lib.RefusalReason[reason], detail)

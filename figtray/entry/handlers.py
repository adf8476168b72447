"""Answers of an entry to the messages of other processes."""

import msgspec

from figtray.configuration import replica as replica_lib
from figtray.configuration import snapshot as snapshot_lib
from figtray.dispatch import tasks as tasks_lib
from figtray.entry import intake as intake_lib
from figtray.entry import outcomes
from figtray.events import catalogue
from figtray.events import log
from figtray.peers import heartbeat
from figtray.peers import messages
from figtray import verdict as verdict_lib


class Handlers:
    """Calls the slice that each message is for."""

    def __init__(self, entry):
        """Set up.

        Args:
            entry: the entry.node.Node with the slices.
        """
        self._entry = entry

    def handle(self, envelope, message):
        """Answer one message.

        Args:
            envelope: the codec.Envelope, which names the sender.
            message: the message.

        Returns:
            The reply message.
        """
        entry = self._entry
        match message:
            case messages.Heartbeat():
                return self._heartbeat(envelope, message)
            case messages.StatusRequest(brief):
                return entry.status(brief)
            case messages.ChangePush(change):
                return self._change_push(change)
            case messages.FetchChanges(after):
                return heartbeat.answer_fetch(entry.replica, after)
            case messages.FetchSnapshot():
                return messages.ChangesReply(
                    snapshot=snapshot_lib.to_data(entry.replica.snapshot)
                )
            case messages.TransferRequest():
                return entry.give_allotment(message)
            case messages.Handover():
                entry.allotments.take_over(message)
                entry.dispatcher.notify()
                return messages.Acknowledged()
            case messages.EpochJoin(epoch, floor):
                return self._join(epoch, floor)
            case messages.Grant():
                return self._grant(message)
            case messages.Fence(floor):
                entry.register.raise_floor(floor)
                return messages.Acknowledged()
            case messages.Forward():
                return self._forward(envelope.sender, message)
            case messages.Outcome():
                entry.forwarder.finish(
                    message.request_id, outcomes.from_message(message)
                )
                return messages.Acknowledged()
            case messages.FetchOutcome(task_id, team):
                return self._fetch_outcome(task_id, team)
            case messages.Cancel(task_id, team):
                return messages.Acknowledged(entry.cancel(task_id, team))
            case messages.KeyHandover():
                entry.handovers.keep(message)
                return messages.Acknowledged()
            case messages.FetchKeys(slot):
                return entry.handovers.answer(slot, _run_id(envelope))
            case _:
                return messages.Acknowledged(done=False)

    def _heartbeat(self, envelope, message):
        entry = self._entry
        superseded = entry.register.heard(
            envelope.sender, _run_id(envelope), message
        )
        if message.demand is not None and not superseded:
            entry.view.hear(envelope.sender, message.demand)
            entry.dispatcher.notify()
        return messages.HeartbeatReply(
            mark=entry.replica.snapshot.mark,
            synchronised=entry.right.synchronised,
            floor=entry.register.floor,
            superseded=superseded,
        )

    def _change_push(self, change):
        outcome = self._entry.replica.apply(change)
        if outcome is replica_lib.Outcome.GAP:
            log.emit(
                catalogue.REPLICA_GAP,
                generation=self._entry.replica.snapshot.generation,
                received_generation=change.generation,
            )
            self._entry.wake_heartbeats()
        # A replica that is not synchronised may lack earlier changes of
        # another history, so its confirmation would not count.
        holds = self._entry.right.synchronised and outcome in (
            replica_lib.Outcome.APPLIED,
            replica_lib.Outcome.KNOWN,
        )
        return messages.ChangePushReply(
            holds, self._entry.replica.snapshot.mark
        )

    def _join(self, epoch, floor):
        entry = self._entry
        entry.register.raise_floor(floor)
        report = entry.allotments.join(epoch, entry.register.floor)
        return msgspec.structs.replace(report, floor=entry.register.floor)

    def _grant(self, message):
        entry = self._entry
        accepted = entry.allotments.grant(message)
        if accepted:
            entry.dispatcher.notify()
        else:
            log.emit(
                catalogue.GRANT_REFUSED,
                epoch=entry.allotments.epoch,
                grant_epoch=message.epoch,
            )
        return messages.Acknowledged(accepted)

    def _forward(self, sender, message):
        entry = self._entry
        if message.owner_run not in ('', entry.run_id):
            # The call may be the repetition of one that the former run took.
            return messages.ForwardReply(
                accepted=False,
                reason=verdict_lib.UncertainReason.OWNER_RESTARTED.value,
                may_have_run=True,
            )
        now_ms = entry.clock.now_ms()
        req = tasks_lib.TaskRequest(
            queue=message.queue,
            pool=entry.pool_of(message.queue),
            team=message.team,
            key_id=message.key_id,
            body=message.body,
            received_ms=now_ms,
            deadline_ms=now_ms + message.left_ms,
            urgent=message.urgent,
            idempotent=message.idempotent,
            idempotency_key=message.idempotency_key,
            job=message.job,
        )
        match entry.intake.submit_here(req):
            case intake_lib.Accepted(task):
                task.fut.add_done_callback(
                    lambda fut: entry.report_outcome(
                        sender,
                        outcomes.to_message(message.request_id, fut.result()),
                        req.deadline_ms,
                    )
                )
                return messages.ForwardReply(True, task.task_id)
            case intake_lib.Rejected(verdict):
                return messages.ForwardReply(
                    accepted=False,
                    reason=verdict.reason.value,
                    detail=verdict.detail,
                    may_have_run=isinstance(verdict, verdict_lib.MayHaveRun),
                )

    def _fetch_outcome(self, task_id, team):
        task = self._entry.table.get(task_id)
        if task is None or task.req.team != team:
            return messages.OutcomeReply(known=False)
        if not task.done:
            return messages.OutcomeReply(known=True)
        return messages.OutcomeReply(
            known=True,
            outcome=outcomes.to_message(task_id, task.fut.result()),
        )


def _run_id(envelope):
    return envelope.incarnation.partition('/')[0]

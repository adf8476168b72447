"""Starts waiting requests and settles the outcome of each attempt."""

import heapq
import itertools
import random
import threading
import uuid

from figtray.configuration import resources
from figtray.dispatch import budget as budget_lib
from figtray.dispatch import doubtful as doubtful_lib
from figtray.dispatch import health as health_lib
from figtray.dispatch import selection
from figtray.events import log
from figtray.queues import queueset
from figtray import verdict as verdict_lib
from figtray.workers import base as workers_base

# The loop looks at waiting requests at least this often: deadlines, portions
# and pauses of hosts change without a notification.
BUSY_WAIT_MS = 20
# Without a waiting request every change comes with a notification.
IDLE_WAIT_MS = 1_000
# Added to a request's remaining time when waiting for a worker, so that an
# answer that is sent at the deadline still arrives.
ANSWER_MARGIN_MS = 50

_RETRY_ELSEWHERE = frozenset(
    {
        verdict_lib.RefusalReason.BUSY,
        verdict_lib.RefusalReason.LEAVING,
        verdict_lib.RefusalReason.CONNECT_FAILED,
        verdict_lib.RefusalReason.START_EXPIRED,
        verdict_lib.RefusalReason.TEAM_LIMIT,
        verdict_lib.RefusalReason.NO_SERVING_RIGHT,
    }
)


class Dispatcher:
    """Takes requests from the queues and runs their attempts."""

    def __init__(
        self,
        cfg,
        clock,
        replica,
        right,
        queues,
        view,
        allotments,
        transfers,
        selector,
        client,
        health,
        executor,
        metrics,
        rng=None,
    ):
        self._cfg = cfg
        self._clock = clock
        self._replica = replica
        self._right = right
        self._queues = queues
        self._view = view
        self._allotments = allotments
        self._transfers = transfers
        self._selector = selector
        self._client = client
        self._health = health
        self._executor = executor
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._budgets = {}
        self._placing = threading.Lock()
        self._cond = threading.Condition()
        self._notified = False
        self._free_threads = cfg.attempt_threads
        self._delayed = []
        self._sequence = itertools.count()
        self.running = {}
        self.doubtful = doubtful_lib.DoubtfulAttempts(
            client, self._doubt_ended, clock
        )

    def submit(self, task):
        """Queue a task.

        Args:
            task: the Task; its outcome is set at once if it is refused.

        Returns:
            None, or the NotRun that refuses it.
        """
        req = task.req
        queued = queueset.QueuedRequest(
            task_id=task.task_id,
            queue=req.queue,
            pool=req.pool,
            team=req.team,
            key_id=req.key_id,
            urgent=req.urgent,
            enqueued_ms=self._clock.now_ms(),
            deadline_ms=req.deadline_ms,
            size_bytes=len(req.body),
            item=task,
        )
        self._view.arrived(req.pool)
        refusal = self._place(queued, self._add)
        if refusal is not None:
            return refusal
        self.notify()
        return None

    def _add(self, queued):
        # The slots of the whole pool: a smaller number could refuse a
        # request that another entry's idle part has room for.
        slots = self._selector.capacity(queued.pool) or None
        return self._queues.add(queued, slots)

    def cancel(self, task):
        """Cancel a task; one that waits never starts."""
        queued = self._queues.cancel(task.task_id)
        if queued is None:
            self._hasten(lambda delayed: delayed.item is task)
            return
        self._drop(
            queued, verdict_lib.NotRun(verdict_lib.RefusalReason.CANCELLED)
        )

    def on_configuration(self, old, new):
        """Follow the queues and keys of a configuration change."""
        queues = new.specs(resources.Kind.QUEUE)
        for name, spec in queues.items():
            if old.spec(resources.Kind.QUEUE, name) != spec:
                self._configure_queue(name, spec)
        for name in set(old.specs(resources.Kind.QUEUE)) - set(queues):
            self.drop_queue(name)
        keys = new.specs(resources.Kind.KEY)
        old_keys = old.specs(resources.Kind.KEY)
        for name, spec in old_keys.items():
            current = keys.get(name)
            if not spec.withdrawn and (current is None or current.withdrawn):
                self.drop_key(name)
        for name, spec in keys.items():
            before = old_keys.get(name)
            if not spec.withdrawn and (before is None or before.withdrawn):
                self._queues.restore_key(name)

    def _configure_queue(self, name, spec):
        with self._placing:
            moved = self._queues.configure(
                name, spec.pool, spec.max_queued, spec.ordered
            )
            for queued in moved:
                self._view.removed(queued.pool, queued.team, queued.urgent)
                self._view.queued(spec.pool, queued.team, queued.urgent)

    def drop_key(self, key_id):
        """Refuse all waiting requests of a withdrawn key."""
        refusal = verdict_lib.NotRun(verdict_lib.RefusalReason.KEY_REFUSED)
        for queued in self._queues.drop_key(key_id):
            self._drop(queued, refusal)
        self._hasten(lambda delayed: delayed.key_id == key_id)

    def drop_queue(self, queue):
        """Refuse all waiting requests of a deleted queue."""
        refusal = verdict_lib.NotRun(verdict_lib.RefusalReason.UNKNOWN_QUEUE)
        for queued in self._queues.drop_queue(queue):
            self._drop(queued, refusal)
        self._hasten(lambda delayed: delayed.queue == queue)

    def refuse_all(self, reason):
        """Refuse all waiting requests, at the end of a graceful stop."""
        self._hasten(lambda delayed: True)
        for queued in self._queues.drop_all():
            self._drop(queued, verdict_lib.NotRun(reason))

    def notify(self):
        """Look at the queues at once."""
        with self._cond:
            self._notified = True
            self._cond.notify()

    def run(self, stop):
        """Start work until the process stops."""
        while not stop.is_set():
            self.step()
            with self._cond:
                if not self._notified:
                    self._cond.wait(self._wait_ms() / 1000)
                self._notified = False

    def _wait_ms(self):
        if self._queues.count() or self._delayed:
            return BUSY_WAIT_MS
        return IDLE_WAIT_MS

    def step(self):
        """Expire what is late and start what may start now."""
        late = verdict_lib.NotRun(verdict_lib.RefusalReason.DEADLINE)
        for queued in self._queues.expire():
            self._drop(queued, late)
        self._requeue_delayed()
        if not self._right.holds():
            return
        waiting = self._view.order(self._queues.waiting())
        for urgent in (True, False):
            for item in waiting:
                count = item.urgent if urgent else item.normal
                self._start_waiting(item, urgent, count)

    def _start_waiting(self, item, urgent, count):
        for started in range(count):
            if not self._free_threads or not self._view.may_start(
                item.pool, item.team, urgent
            ):
                return
            permit = self._allotments.acquire(item.team)
            if permit is None:
                self._transfers.want(item.team, count - started)
                return
            if not self._start_one(item, urgent, permit):
                self._allotments.release(permit)
                return

    def _start_one(self, item, urgent, permit):
        candidate = self._selector.pick(item.pool)
        if candidate is None:
            return False
        queued = self._queues.take(item.pool, item.team, urgent)
        if queued is None:
            self._selector.unused(item.pool, candidate)
            return False
        failed = queued.item.failed_hosts
        if candidate.host in failed:
            self._selector.unused(item.pool, candidate)
            other = self._selector.pick(item.pool, failed)
            candidate = other or self._selector.pick(item.pool)
            if candidate is None:
                self._view.removed(queued.pool, queued.team, urgent)
                self._retry(queued, verdict_lib.RefusalReason.BUSY)
                return False
        self._view.started(queued.pool, queued.team, urgent)
        with self._cond:
            self._free_threads -= 1
        self._executor.submit(self._attempt, queued, candidate, permit)
        return True

    def _attempt(self, queued, candidate, permit):
        """Run one attempt; a task of the executor."""
        attempt = _Attempt(self, queued, candidate, permit)
        self.running[attempt.attempt_id] = attempt
        try:
            verdict = attempt.run()
        except Exception as exc:
            log.emit_exception('attempt', exc)
            verdict = verdict_lib.MayHaveRun(
                verdict_lib.UncertainReason.CONNECTION_LOST, repr(exc)
            )
        finally:
            self.running.pop(attempt.attempt_id, None)
            with self._cond:
                self._free_threads += 1
        try:
            self._settle(attempt, verdict)
        except Exception as exc:
            log.emit_exception('settle', exc)
            queued.item.finish(verdict)
        self.notify()

    def _settle(self, attempt, verdict):
        queued, task = attempt.queued, attempt.queued.item
        run_ms = None
        match verdict:
            case verdict_lib.Answered():
                run_ms = self._clock.now_ms() - attempt.sent_ms
                self._allotments.release(attempt.permit)
                self._selector.ended(attempt.host)
            case verdict_lib.MayHaveRun():
                self._queues.hold(queued)
                self.doubtful.add(attempt.doubtful())
                self._selector.ended(
                    attempt.host, selection.UNREACHABLE_PAUSE_MS
                )
                task.has_run = verdict
            case verdict_lib.NotRun(reason=reason):
                self._allotments.release(attempt.permit)
                self._selector.ended(attempt.host, _pause_ms(reason))
        self._view.ended(queued.pool, queued.team, queued.urgent, run_ms)
        is_bad_job = self._record_health(attempt, verdict)
        if not is_bad_job and self._may_retry(queued, verdict):
            if not isinstance(verdict, verdict_lib.NotRun):
                task.has_run = verdict
                task.failed_hosts += (attempt.host,)
            self._metrics.count_retry(task.req.team)
            self._retry(queued, getattr(verdict, 'reason', None))
            return
        self._queues.ended(task.task_id, run_ms)
        task.finish(verdict)

    def _doubt_ended(self, item):
        self._allotments.release(item.permit)
        self._queues.release_hold(item.queued)
        self.notify()

    def _record_health(self, attempt, verdict):
        """Account for success or failure.

        Returns:
            True if the job fails on every worker and must not be retried.
        """
        req = attempt.queued.item.req
        job = health_lib.make_job(req.queue, req.team, req.body, req.job)
        place = attempt.pool, attempt.host
        match verdict:
            case verdict_lib.Answered(status=status) if status < 500:
                self._health.succeeded(*place, job, attempt.is_probe)
                self._budget(req.team).started()
            case verdict_lib.Answered():
                return self._health.failed(*place, job, attempt.is_probe)
            case verdict_lib.NotRun(
                reason=verdict_lib.RefusalReason.CONNECT_FAILED
            ):
                self._health.unreachable(*place, attempt.is_probe)
            case verdict_lib.MayHaveRun() if attempt.is_probe:
                self._health.unreachable(*place, is_probe=True)
            case _ if attempt.is_probe:
                self._health.release_probe(*place)
        return False

    def _may_retry(self, queued, verdict):
        task = queued.item
        if self._clock.now_ms() >= queued.deadline_ms:
            return False
        match verdict:
            case verdict_lib.NotRun(reason=reason):
                if reason not in _RETRY_ELSEWHERE:
                    return False
                # Waiting for a free slot puts no load on a worker that
                # fails, so it costs no retry budget.
                return (
                    reason is not verdict_lib.RefusalReason.CONNECT_FAILED
                    or self._budget(queued.team).try_spend()
                )
            case verdict_lib.Answered(status=status):
                may_repeat = status >= 500 and task.req.idempotent
            case _:
                may_repeat = task.req.idempotent
        if not may_repeat or task.attempts >= self._cfg.job_max_workers:
            return False
        return self._budget(queued.team).try_spend()

    def _retry(self, queued, reason):
        """Queue a taken request again, after a delay if a worker failed."""
        if (
            reason is verdict_lib.RefusalReason.CONNECT_FAILED
            or not isinstance(reason, verdict_lib.RefusalReason)
        ):
            delay_ms = budget_lib.backoff_ms(queued.item.attempts, self._rng)
            # A request that is too late is refused at its deadline.
            ready_ms = min(self._clock.now_ms() + delay_ms, queued.deadline_ms)
            with self._cond:
                heapq.heappush(
                    self._delayed, (ready_ms, next(self._sequence), queued)
                )
            return
        self._requeue(queued)

    def _requeue_delayed(self):
        now_ms = self._clock.now_ms()
        ready = []
        with self._cond:
            while self._delayed and self._delayed[0][0] <= now_ms:
                ready.append(heapq.heappop(self._delayed)[2])
        for queued in ready:
            self._requeue(queued)

    def _hasten(self, matches):
        """Queue the delayed requests that match without further delay."""
        with self._cond:
            ready = [e[2] for e in self._delayed if matches(e[2])]
            self._delayed = [e for e in self._delayed if not matches(e[2])]
            heapq.heapify(self._delayed)
        for queued in ready:
            self._requeue(queued)

    def _requeue(self, queued):
        self._place(queued, self._queues.retry)

    def _place(self, queued, insert):
        """Put a request into its queue and count it.

        It is counted first, as it may be started while this call returns,
        and for the pool that the queue has now.
        """
        with self._placing:
            queued = self._queues.in_current_pool(queued)
            self._view.queued(queued.pool, queued.team, queued.urgent)
            refusal = insert(queued)
        if refusal is not None:
            self._drop(queued, refusal)
        return refusal

    def _drop(self, queued, refusal):
        self._view.removed(queued.pool, queued.team, queued.urgent)
        queued.item.finish(refusal)

    def _budget(self, team):
        budget = self._budgets.get(team)
        if budget is None:
            budget = self._budgets.setdefault(
                team,
                budget_lib.RetryBudget(
                    self._clock,
                    self._cfg.retry_budget_percent,
                    self._cfg.retry_budget_min_per_s,
                ),
            )
        return budget

    def check_start(self, attempt):
        """Decide directly before the send whether the start is allowed.

        Returns:
            The local time in ms at which the right to start ends, or a
            NotRun.
        """
        snapshot = self._replica.snapshot
        req = attempt.queued.item.req
        reason = verdict_lib.RefusalReason
        now_ms = self._clock.now_ms()
        spec = snapshot.spec(resources.Kind.HOST, attempt.host)
        if not is_admitted(snapshot, req):
            return verdict_lib.NotRun(reason.KEY_REFUSED)
        if spec is None or not selection.is_in_service(snapshot, spec):
            return verdict_lib.NotRun(reason.LEAVING)
        if spec.pool != attempt.queued.pool:
            return verdict_lib.NotRun(reason.LEAVING)
        if self._selector.is_leaving(attempt.host):
            return verdict_lib.NotRun(reason.LEAVING)
        if not self._allotments.is_valid(attempt.permit):
            return verdict_lib.NotRun(reason.TEAM_LIMIT)
        if now_ms >= req.deadline_ms:
            return verdict_lib.NotRun(reason.DEADLINE)
        expires_ms = self._right.expires_ms()
        if now_ms >= expires_ms:
            return verdict_lib.NotRun(reason.NO_SERVING_RIGHT)
        return min(expires_ms, req.deadline_ms)


class _Attempt:
    """One attempt of a task on one host."""

    def __init__(self, dispatcher, queued, candidate, permit):
        self._dispatcher = dispatcher
        self._clock = dispatcher._clock
        self.attempt_id = uuid.uuid4().hex
        self.queued = queued
        self.pool = queued.pool
        self.host = candidate.host
        self.address = candidate.spec.address
        self.is_probe = candidate.is_probe
        self.permit = permit
        self.sent_ms = self._clock.now_ms()
        self.start_by_ms = self.sent_ms
        self.lease_ms = 1

    def run(self):
        """Start the attempt and wait for its verdict."""
        task = self.queued.item
        req = task.req
        now_ms = self._clock.now_ms()
        left_ms = req.deadline_ms - now_ms
        queue = self._dispatcher._replica.snapshot.spec(
            resources.Kind.QUEUE, req.queue
        )
        if queue is None or left_ms <= 0:
            return verdict_lib.NotRun(verdict_lib.RefusalReason.DEADLINE)
        self.lease_ms = min(queue.run_limit_ms, left_ms)
        start = workers_base.TaskStart(
            task_id=task.task_id,
            attempt_id=self.attempt_id,
            team=req.team,
            queue=req.queue,
            incarnation=self.permit.incarnation,
            lease_ms=self.lease_ms,
            body=req.body,
        )
        return self._dispatcher._client.start(
            self.address, start, left_ms + ANSWER_MARGIN_MS, self._check
        )

    def doubtful(self):
        """Return what is kept of an attempt with an unknown outcome."""
        return doubtful_lib.Doubtful(
            attempt_id=self.attempt_id,
            address=self.address,
            permit=self.permit,
            queued=self.queued,
            start_by_ms=self.start_by_ms,
            end_by_ms=self.start_by_ms + self.lease_ms,
        )

    def _check(self):
        result = self._dispatcher.check_start(self)
        self.sent_ms = self._clock.now_ms()
        if not isinstance(result, verdict_lib.NotRun):
            self.start_by_ms = result
            task = self.queued.item
            task.attempts += 1
            if task.started_ms is None:
                task.started_ms = self.sent_ms
        return result


def is_admitted(snapshot, req):
    """Tell whether the key of a request still admits it to its queue.

    Args:
        snapshot: the configuration Snapshot.
        req: a TaskRequest.
    """
    queue = snapshot.spec(resources.Kind.QUEUE, req.queue)
    if queue is None:
        return False
    if not req.key_id:
        return queue.open and queue.open_team == req.team
    key = snapshot.spec(resources.Kind.KEY, req.key_id)
    if key is None or key.withdrawn or key.team != req.team:
        return False
    return not queue.teams or req.team in queue.teams


def _pause_ms(reason):
    match reason:
        case verdict_lib.RefusalReason.BUSY:
            return selection.BUSY_PAUSE_MS
        case (
            verdict_lib.RefusalReason.CONNECT_FAILED
            | verdict_lib.RefusalReason.LEAVING
        ):
            return selection.UNREACHABLE_PAUSE_MS
        case _:
            return None

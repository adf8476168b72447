"""Requests that another slot owns, and outcomes on their way back."""

import collections
import threading

from figtray.entry import outcomes
from figtray import errors
from figtray.peers import messages
from figtray import verdict as verdict_lib

FORWARD_TIMEOUT_MS = 800
FORWARD_ATTEMPTS = 2
OUTCOME_TIMEOUT_MS = 1_000
OUTCOME_RETRY_MS = 200
IDLE_WAIT_MS = 1_000
# An owner that is not heard of for this long is taken to be lost.
OWNER_LOST_MS = 5_000


class Forwarder:
    """Sends requests to their owners and follows them."""

    def __init__(self, links, register, clock):
        """Set up.

        Args:
            links: mapping of slot to the Link for forwarded requests.
            register: the PeerRegister.
            clock: a Clock.
        """
        self._links = links
        self._register = register
        self._clock = clock
        self._lock = threading.Lock()
        self._open = {}

    def forward(self, task, owner):
        """Send a request to its owner.

        Args:
            task: the Task; its outcome is set when the owner reports it,
                or here if the owner refuses the request.
            owner: the slot that owns it.
        """
        req = task.req
        owner_run = self._register.run_of(owner)
        message = messages.Forward(
            request_id=task.task_id,
            queue=req.queue,
            team=req.team,
            key_id=req.key_id,
            left_ms=req.deadline_ms - self._clock.now_ms(),
            body=req.body,
            idempotent=req.idempotent,
            urgent=req.urgent,
            idempotency_key=req.idempotency_key,
            job=req.job,
            # A new run of the owner would take a repeated call for a new
            # one. Keyed requests are protected by the records of keys.
            owner_run='' if req.idempotency_key else owner_run,
        )
        attempts = FORWARD_ATTEMPTS
        if not req.idempotency_key and not owner_run:
            attempts = 1
        with self._lock:
            self._open[task.task_id] = (task, owner, owner_run)
        try:
            reply = self._links[owner].call(
                message, FORWARD_TIMEOUT_MS, attempts
            )
        except errors.PeerUnavailable as exc:
            self._unreachable(task, owner, exc)
            return
        if reply.accepted:
            task.owner = (owner, reply.task_id)
            return
        self.finish(
            task.task_id,
            outcomes.from_message(
                messages.Outcome(
                    task.task_id,
                    'may_have_run' if reply.may_have_run else 'not_run',
                    reason=reply.reason,
                    detail=reply.detail,
                )
            ),
        )

    def finish(self, request_id, verdict):
        """Set the outcome of a forwarded request; an unknown one is late.

        Returns:
            True if the request was still open.
        """
        with self._lock:
            task, _, _ = self._open.pop(request_id, (None, None, None))
        return task is not None and task.finish(verdict)

    def check(self):
        """Settle requests whose owner is lost or whose time is over."""
        now_ms = self._clock.now_ms()
        with self._lock:
            items = list(self._open.items())
        for request_id, (task, owner, run_id) in items:
            current = self._register.run_of(owner)
            silent_ms = self._register.silent_ms(owner)
            if run_id and current and current != run_id:
                reason = verdict_lib.UncertainReason.OWNER_RESTARTED
            elif silent_ms is not None and silent_ms > OWNER_LOST_MS:
                reason = verdict_lib.UncertainReason.OWNER_UNREACHABLE
            elif now_ms > task.req.deadline_ms + OUTCOME_TIMEOUT_MS:
                reason = verdict_lib.UncertainReason.TIMEOUT
            else:
                continue
            self.finish(request_id, verdict_lib.MayHaveRun(reason, owner))

    def _unreachable(self, task, owner, exc):
        if exc.sent:
            # The owner may hold the request and report its outcome yet;
            # check() settles it otherwise.
            task.has_run = verdict_lib.MayHaveRun(
                verdict_lib.UncertainReason.OWNER_UNREACHABLE, owner
            )
            return
        if task.req.idempotency_key:
            # An earlier copy of the request may have reached the owner.
            self.finish(
                task.task_id,
                verdict_lib.MayHaveRun(
                    verdict_lib.UncertainReason.OWNER_UNREACHABLE, owner
                ),
            )
            return
        self.finish(
            task.task_id,
            verdict_lib.NotRun(
                verdict_lib.RefusalReason.OWNER_UNREACHABLE, owner
            ),
        )


class OutcomeTask:
    """Reports outcomes to one peer, one after another."""

    def __init__(self, link, clock):
        self._link = link
        self._clock = clock
        self._queue = collections.deque()
        self._wake = threading.Event()

    @property
    def pending(self):
        """Number of outcomes that the peer has not confirmed."""
        return len(self._queue)

    def put(self, outcome, deadline_ms):
        """Report an outcome until it is confirmed or of no more use.

        Args:
            outcome: the messages.Outcome.
            deadline_ms: local time after which the peer needs it no more.
        """
        self._queue.append((outcome, deadline_ms))
        self._wake.set()

    def close(self):
        """Let run() see at once that the process stops."""
        self._wake.set()

    def run(self, stop):
        """Report until the process stops."""
        while not stop.is_set():
            if not self.report_next():
                wait_ms = OUTCOME_RETRY_MS if self._queue else IDLE_WAIT_MS
                self._clock.wait(self._wake, wait_ms)
                self._wake.clear()

    def report_next(self):
        """Report the oldest outcome.

        Returns:
            True if one was confirmed or is of no more use.
        """
        if not self._queue:
            return False
        outcome, deadline_ms = self._queue[0]
        if not self._report(outcome) and self._clock.now_ms() <= deadline_ms:
            return False
        self._queue.popleft()
        return True

    def _report(self, outcome):
        try:
            self._link.call(outcome, OUTCOME_TIMEOUT_MS)
        except errors.PeerUnavailable:
            return False
        return True

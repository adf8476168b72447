"""Advice on the workers of a step, and calls of the adviser."""

import dataclasses

from figtray.scheduling import placement

# A ticket is used only if it stays valid for this time, or for this part of
# its validity, as orders before a start occupy the threads of its worker.
TICKET_MARGIN_MS = 500
TICKET_MARGIN_PART = 0.25
# A worker is not asked about again within this time, whatever the answer.
MIN_ANSWER_MS = 500
# Most workers in one call, and in one for a gang with many members.
MAX_WORKERS = 30
MAX_GANG_WORKERS = 100
# Longest time that a call may take by the policy of its queue. It names fewer
# workers then, as the adviser handles one call at a time.
MAX_CALL_MS = 5000
# A call may take this multiple of the time that the policy states.
CALL_TOLERANCE = 2


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Approval of one life of a worker for one step.

    Attributes:
        text: the ticket; empty if the worker was not approved.
        until_ms: local time at which it lapses.
        usable_until_ms: local time until which starts are planned with it.
        known_until_ms: local time until which the worker is not asked about
            again.
    """

    text: str
    until_ms: int
    usable_until_ms: int
    known_until_ms: int


class StepAdvice:
    """Workers that the adviser has approved for one step.

    Attributes:
        candidates: ids of workers to ask about; empty if none are needed.
        wanted_since_ms: local time since which there are candidates.
        is_room_unapproved: whether choose() last found room on workers
            without tickets only.
    """

    def __init__(self):
        self._policy = None
        # Policy under which the adviser is being asked.
        self._asked_policy = None
        # Tickets by life of a worker, which is its id and start time.
        self._tickets = {}
        # Lives of the candidates by worker id.
        self._lives = {}
        self._max_workers = MAX_GANG_WORKERS
        self._is_pending = False
        self.candidates = ()
        self.wanted_since_ms = 0
        self.is_room_unapproved = False

    def set_policy(self, policy):
        """Set the queues.AdvicePolicy; a new one voids earlier answers."""
        if policy != self._policy:
            self._policy = policy
            self._tickets.clear()

    def choose(self, step, worker_states, now_ms, apart=False):
        """Return the best approved worker for a task of a step, or None.

        If there is none, the workers to ask about become the candidates.
        See placement.choose().
        """
        approved = self.approved(worker_states, now_ms)
        best = placement.choose(step, approved, now_ms, apart)
        if best is None:
            with_room = [
                w for w in worker_states if placement.fits(step, w, now_ms)
            ]
            self.is_room_unapproved = bool(with_room)
            self.want(with_room, now_ms)
        return best

    def approved(self, worker_states, now_ms):
        """Return those of some WorkerStates that have a usable ticket."""
        return [w for w in worker_states if self.ticket(w, now_ms)]

    def ticket(self, worker_state, now_ms):
        """Return the usable Ticket of a worker, or None."""
        ticket = self._tickets.get(_life(worker_state))
        if ticket and ticket.text and now_ms < ticket.usable_until_ms:
            return ticket
        return None

    def want(self, worker_states, now_ms, max_workers=MAX_WORKERS):
        """Let the adviser be asked about workers, unless it is being asked.

        Those that it had approved go first, and those that it had not last.

        Args:
            worker_states: WorkerStates in the order in which to ask; those
                whose answers are recent are left out.
            now_ms: local time in milliseconds.
            max_workers: number of workers to ask about, at most.
        """
        unknown = sorted(
            (w for w in worker_states if not self._is_known(w, now_ms)),
            key=self._rank,
        )
        if self._is_pending or not unknown:
            return
        lives = {}
        count = min(
            max_workers, self._max_workers, _most_in_time(self._policy)
        )
        for worker_state in unknown[:count]:
            worker_id, born_ms = _life(worker_state)
            lives[worker_id] = max(lives.get(worker_id, 0), born_ms)
        # Kept from plan to plan, so that the step has its turn.
        if not self.candidates:
            self.wanted_since_ms = now_ms
        self._lives = lives
        self.candidates = tuple(lives)

    @property
    def longest_call_ms(self):
        """Time limit of a call about the candidates, by the policy."""
        policy = self._policy
        needed_ms = policy.decide_ms + policy.each_ms * len(self.candidates)
        return CALL_TOLERANCE * min(needed_ms, MAX_CALL_MS)

    def note_request(self):
        """Record that the adviser is being asked about the candidates."""
        self._is_pending = True
        self._asked_policy = self._policy

    def record_failure(self):
        """Record that there was no answer; the next call is a smaller one."""
        self._max_workers = max(1, len(self.candidates) // 2)
        self._end_request()

    def record(self, answer, asked_ms, answered_ms):
        """Record the adviser's answer about the candidates.

        Args:
            answer: the Advice.
            asked_ms: local time before the request was sent.
            answered_ms: local time after the answer arrived.
        """
        self._max_workers = min(2 * self._max_workers, MAX_GANG_WORKERS)
        valid_ms = answer.valid_ms
        # When a ticket was issued is not known. If the call took long, its
        # start is assumed too early, or no ticket might ever be used.
        until_ms = max(asked_ms + valid_ms, answered_ms + valid_ms // 2)
        margin_ms = min(TICKET_MARGIN_MS, int(valid_ms * TICKET_MARGIN_PART))
        if self._asked_policy == self._policy:
            for worker_id, born_ms in self._lives.items():
                self._tickets[worker_id, born_ms] = Ticket(
                    answer.tickets.get(worker_id, ''),
                    until_ms,
                    until_ms - margin_ms,
                    max(until_ms - margin_ms, answered_ms + MIN_ANSWER_MS),
                )
        self._end_request()

    def drop(self, worker_state, now_ms):
        """Record that a worker has refused its ticket."""
        self._tickets[_life(worker_state)] = Ticket(
            '', now_ms, now_ms, now_ms + MIN_ANSWER_MS
        )

    def _end_request(self):
        self._is_pending = False
        self._lives = {}
        self.candidates = ()

    def _is_known(self, worker_state, now_ms):
        ticket = self._tickets.get(_life(worker_state))
        return ticket is not None and now_ms < ticket.known_until_ms

    def _rank(self, worker_state):
        ticket = self._tickets.get(_life(worker_state))
        if ticket is None:
            return 1
        return 0 if ticket.text else 2


def _most_in_time(policy):
    """Return how many workers a call can name to end within MAX_CALL_MS."""
    if not policy.each_ms:
        return MAX_GANG_WORKERS
    return max(1, (MAX_CALL_MS - policy.decide_ms) // policy.each_ms)


def _life(worker_state):
    """Return what a ticket is valid for: one start of a worker's process."""
    return worker_state.worker.worker_id, worker_state.worker.born_ms

"""Tests of the queued requests."""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from figtray import clock
from figtray.queues import queueset
from figtray import verdict

Reason = verdict.RefusalReason


@pytest.fixture
def manual():
    return clock.ManualClock(now_ms=0)


@pytest.fixture
def queues(manual):
    queues = queueset.QueueSet(manual, max_bytes=1000)
    queues.configure('q', 'p', max_queued=50)
    queues.configure('o', 'p', max_queued=50, ordered=True)
    return queues


def make(task_id, queue='q', **changes):
    fields = {
        'pool': 'p',
        'team': 'a',
        'key_id': 'k',
        'urgent': False,
        'enqueued_ms': 0,
        'deadline_ms': 10_000,
        'size_bytes': 1,
    }
    return queueset.QueuedRequest(task_id, queue, **(fields | changes))


class TestBounds:
    """Guards against queues without a bound."""

    def test_number_and_bytes(self, queues):
        for n in range(50):
            assert queues.add(make(f't{n}')) is None
        assert queues.add(make('x')).reason is Reason.QUEUE_FULL
        big = make('x', queue='o', size_bytes=951)
        assert queues.add(big).reason is Reason.QUEUE_FULL
        assert queues.add(make('x', queue='none')).reason is (
            Reason.UNKNOWN_QUEUE
        )

    def test_removed_requests_leave_no_heap_entries(self, queues):
        for n in range(10_000):
            queues.add(make(f't{n}', deadline_ms=10_000 + n))
            assert queues.cancel(f't{n}')
        assert len(queues._deadlines) <= 2 * queueset._HEAP_SLACK


class TestOrder:
    """Guards against requests that overtake each other."""

    def test_retry_goes_to_the_front_of_its_lane(self, queues):
        for task_id in 'tuv':
            queues.add(make(task_id))
        first = queues.take('p', 'a', False)
        assert queues.retry(first) is None
        order = [queues.take('p', 'a', False).task_id for _ in range(3)]
        assert order == ['t', 'u', 'v']

    def test_oldest_request_of_several_queues_is_next(self, queues):
        queues.add(make('late', queue='o', enqueued_ms=2))
        queues.add(make('early', enqueued_ms=1))
        assert queues.take('p', 'a', False).task_id == 'early'

    def test_ordered_queue_waits_for_the_end(self, queues):
        queues.add(make('t', queue='o'))
        queues.add(make('u', queue='o'))
        queues.take('p', 'a', False)
        assert queues.take('p', 'a', False) is None
        queues.ended('t')
        assert queues.take('p', 'a', False).task_id == 'u'


class TestRefusals:
    """Guards against starts that were ruled out before."""

    def test_cancel_during_an_attempt_refuses_the_retry(self, queues):
        queues.add(make('t'))
        request = queues.take('p', 'a', False)
        assert queues.cancel('t') is None
        assert queues.retry(request).reason is Reason.CANCELLED
        assert queues.take('p', 'a', False) is None

    def test_withdrawn_key_refuses_retries_and_late_adds(self, queues):
        queues.add(make('t'))
        queues.add(make('u'))
        request = queues.take('p', 'a', False)
        assert [r.task_id for r in queues.drop_key('k')] == ['u']
        assert queues.retry(request).reason is Reason.KEY_REFUSED
        assert queues.add(make('v')).reason is Reason.KEY_REFUSED
        queues.restore_key('k')
        assert queues.add(make('v')) is None

    def test_queue_that_moves_to_another_pool_takes_its_requests(self, queues):
        queues.add(make('t'))
        queues.configure('q', 'p2', max_queued=50)
        assert queues.take('p', 'a', False) is None
        assert queues.take('p2', 'a', False).pool == 'p2'


class TestEstimate:
    """Guards against early refusals on a few wrong sizes."""

    def learn(self, queues, run_times):
        for n, run_ms in enumerate(run_times):
            queues.add(make(f'old{n}'))
            queues.take('p', 'a', False)
            queues.ended(f'old{n}', run_ms)

    def test_long_tasks_do_not_refuse_while_some_are_short(self, queues):
        self.learn(queues, [100] * 8 + [10_000] * 24)
        for n in range(20):
            queues.add(make(f't{n}'))
        assert queues.add(make('x', deadline_ms=1000), slots=4) is None

    def test_hopeless_request_is_refused(self, queues):
        self.learn(queues, [100] * 32)
        for n in range(20):
            queues.add(make(f't{n}'))
        refusal = queues.add(make('x', deadline_ms=500), slots=4)
        assert refusal.reason is Reason.DEADLINE
        urgent = make('x', deadline_ms=500, urgent=True)
        assert queues.add(urgent, slots=4) is None


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares the queue set with a plain list of requests."""

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(now_ms=0)
        self.queues = queueset.QueueSet(self.clock, max_bytes=1000)
        self.queues.configure('q', 'p', max_queued=8)
        self.queues.configure('o', 'p', max_queued=8, ordered=True)
        self.waiting = []
        self.taken = []
        self.cancelled = set()
        self.number = 0

    def remove(self, test):
        gone = [r for r in self.waiting if test(r)]
        self.waiting = [r for r in self.waiting if not test(r)]
        return gone

    def is_alive(self, request):
        return request.deadline_ms > self.clock.now_ms()

    def alive_in(self, queue):
        return sum(r.queue == queue and self.is_alive(r) for r in self.waiting)

    def is_startable(self, request):
        def lane(other):
            return other.queue, other.team, other.urgent

        return request.queue == 'q' or not any(
            lane(other) == lane(request) for other in self.taken
        )

    @stateful.rule(
        queue=st.sampled_from('qo'),
        team=st.sampled_from('ab'),
        key=st.sampled_from('kl'),
        urgent=st.booleans(),
        life=st.sampled_from([0, 50, 100, 5000, 5000, 5000]),
    )
    def add(self, queue, team, key, urgent, life):
        self.number += 1
        now = self.clock.now_ms()
        request = make(
            f't{self.number}',
            queue,
            team=team,
            key_id=key,
            urgent=urgent,
            enqueued_ms=now,
            deadline_ms=now + life,
        )
        refusal = self.queues.add(request)
        if life == 0:
            assert refusal.reason is Reason.DEADLINE
        elif self.alive_in(queue) >= 8:
            assert refusal.reason is Reason.QUEUE_FULL
        else:
            assert refusal is None
            self.waiting.append(request)

    @stateful.rule(team=st.sampled_from('ab'), urgent=st.booleans())
    def take(self, team, urgent):
        got = self.queues.take('p', team, urgent)
        choice = [
            request
            for request in self.waiting
            if (request.team, request.urgent) == (team, urgent)
            and self.is_alive(request)
        ]
        heads = {}
        for request in choice:
            heads.setdefault(request.queue, request)
        heads = [r for r in heads.values() if self.is_startable(r)]
        if not heads:
            assert got is None
            return
        assert got == min(heads, key=lambda r: (r.enqueued_ms, r.queue))
        self.waiting.remove(got)
        self.taken.append(got)

    @stateful.precondition(lambda self: self.taken)
    @stateful.rule(data=st.data(), is_retry=st.booleans())
    def finish(self, data, is_retry):
        request = data.draw(st.sampled_from(self.taken))
        self.taken.remove(request)
        if not is_retry:
            self.queues.ended(request.task_id)
            self.cancelled.discard(request.task_id)
            return
        again = dataclasses.replace(request, attempt=request.attempt + 1)
        refusal = self.queues.retry(again)
        if request.task_id in self.cancelled:
            assert refusal.reason is Reason.CANCELLED
            self.cancelled.discard(request.task_id)
        elif request.deadline_ms <= self.clock.now_ms():
            assert refusal.reason is Reason.DEADLINE
        else:
            assert refusal is None
            self.waiting.insert(0, again)

    @stateful.rule(number=st.integers(1, 30))
    def cancel(self, number):
        task_id = f't{number}'
        got = self.queues.cancel(task_id)
        expected = self.remove(
            lambda r: r.task_id == task_id and self.is_alive(r)
        )
        assert ([got] if got else []) == expected
        if any(r.task_id == task_id for r in self.taken):
            self.cancelled.add(task_id)

    @stateful.rule(ms=st.sampled_from([1, 49, 50]))
    def advance(self, ms):
        self.clock.advance(ms)

    @stateful.rule()
    def expire(self):
        expired = self.queues.expire()
        deadlines = [r.deadline_ms for r in expired]
        assert deadlines == sorted(deadlines)
        now = self.clock.now_ms()
        due = self.remove(lambda r: r.deadline_ms <= now)
        assert {r.task_id for r in expired} == {r.task_id for r in due}
        assert len(expired) == len(due)

    @stateful.rule(key=st.sampled_from('kl'))
    def drop_key(self, key):
        dropped = self.queues.drop_key(key)
        self.queues.restore_key(key)
        expected = self.remove(lambda r: r.key_id == key and self.is_alive(r))
        assert {r.task_id for r in dropped} == {r.task_id for r in expected}

    @stateful.rule(queue=st.sampled_from('qo'))
    def drop_queue(self, queue):
        dropped = self.queues.drop_queue(queue)
        self.queues.configure(queue, 'p', 8, ordered=queue == 'o')
        expected = self.remove(lambda r: r.queue == queue and self.is_alive(r))
        assert {r.task_id for r in dropped} == {r.task_id for r in expected}

    @stateful.invariant()
    def counts_agree(self):
        told = {
            (w.team, urgent)
            for w in self.queues.waiting()
            for urgent in (True, False)
            if (w.urgent if urgent else w.normal)
        }
        alive = list(filter(self.is_alive, self.waiting))
        assert self.queues.count() == len(alive)
        assert self.queues.size_bytes() == len(alive)
        assert told == {
            (r.team, r.urgent) for r in alive if self.is_startable(r)
        }


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=100, stateful_step_count=60, deadline=None
)

"""Tests of jobs with very many tasks, steps or occurrences."""

import collections
import gc

from hypothesis import stateful
from hypothesis import strategies
import pytest

from figtray.jobs import limits
from figtray.jobs import model
from figtray.jobs import records
from figtray.scheduling import job_lifecycle
from figtray.scheduling import openings
from figtray.scheduling import scheduler as schedulers
from figtray.scheduling import state
from figtray.scheduling import tasks
from figtray.scheduling.tests import harness

# No worker has so much, so none of the tasks can start.
TOO_MUCH_MILLI = 9_000_000
MANY = limits.MAX_TASKS_PER_STEP
STEPS = limits.MAX_TASKS_PER_OCCURRENCE // MANY


def count_objects(kind):
    """Return the number of instances of a class that are in use."""
    gc.collect()
    return sum(type(item) is kind for item in gc.get_objects())


def too_large(count=MANY, **fields):
    """Return a Step whose tasks fit no worker."""
    return harness.make_step(count, TOO_MUCH_MILLI, **fields)


@pytest.fixture
def fleet():
    return harness.Fleet()


class TestTasksThatDoNotStart:
    # Guards against an object for each accepted task: the jobs of a few
    # callers took all memory of the leader, and of each later one.
    def test_open_steps(self, fleet):
        before = count_objects(tasks.TaskState)
        fleet.submit(*[too_large()] * STEPS)
        leader = fleet.elect_leader()
        for _ in range(3):
            leader.run_cycle()
        assert leader.scheduler.pool_loads()['main'].waiting == STEPS * MANY
        assert count_objects(tasks.TaskState) == before

    def test_steps_that_await_others(self, fleet):
        before = count_objects(tasks.TaskState)
        steps = [too_large(after=(n - 1,) if n else ()) for n in range(STEPS)]
        fleet.submit(*steps)
        leader = fleet.elect_leader()
        leader.run_cycle()
        assert count_objects(tasks.TaskState) == before

    # A takeover made all of them, to hold back those that may still run.
    def test_takeover(self, fleet):
        before = count_objects(tasks.TaskState)
        leader = fleet.elect_leader()
        leader.run_cycle()
        fleet.submit(*[too_large()] * STEPS)
        leader.sync_intake()
        leader.run_cycle()
        leader = fleet.elect_leader()
        assert leader.scheduler._is_adopting(fleet.clock.now_ms())
        leader.scheduler.plan()
        held = leader.scheduler.waiting_jobs().held['q']
        assert held == {state.HeldReason.TAKEOVER.value: STEPS * MANY}
        assert count_objects(tasks.TaskState) == before

    def test_gang(self, fleet):
        before = count_objects(tasks.TaskState)
        fleet.submit(too_large(gang=True))
        leader = fleet.elect_leader()
        leader.run_cycle()
        assert count_objects(tasks.TaskState) == before

    # Guards against ordinary callers who wait while each plan looks at all
    # steps of another's job.
    def test_wide_job(self, fleet):
        fleet.submit(*[too_large(1)] * 5000)
        small = fleet.submit(harness.make_step(2))
        leader = fleet.elect_leader()
        for _ in range(2):
            leader.run_cycle()
        opened = len(leader.scheduler._open_steps)
        assert opened <= openings.MAX_WAITING_STEPS + 1
        assert len(harness.running(fleet)) == 2
        assert leader.state(small) == records.State.RUNNING

    # As above, if its steps get ready one after another, or if they are those
    # of many occurrences.
    @pytest.mark.parametrize('repeats', [0, 500])
    def test_steps_that_get_ready_later(self, fleet, repeats):
        pairs = [
            step
            for number in range(100)
            for step in (
                harness.make_step(1, 100),
                too_large(1, after=(2 * number,)),
            )
        ]
        steps = [too_large(1)] if repeats else pairs
        fleet.submit(*steps, repeats=repeats)
        leader = fleet.elect_leader()
        for _ in range(20):
            leader.run_cycle()
            for name in list(harness.running(fleet)):
                harness.finish(fleet, name)
            leader.advance(100)
        opened = len(leader.scheduler._open_steps)
        assert opened <= openings.MAX_WAITING_STEPS + 1

    # Guards against ordinary callers who wait while each plan ranks the jobs
    # of another that no worker can hold.
    def test_many_jobs_that_fit_nowhere(self, fleet, monkeypatch):
        ranked = []
        urgency = schedulers.Scheduler._urgency

        def note(scheduler, step, now_ms):
            ranked.append(step.job.job_id)
            return urgency(scheduler, step, now_ms)

        monkeypatch.setattr(schedulers.Scheduler, '_urgency', note)
        for _ in range(50):
            fleet.submit(too_large(1))
        small = fleet.submit(harness.make_step())
        leader = fleet.elect_leader()
        for _ in range(3):
            leader.run_cycle()
        assert leader.state(small) == records.State.RUNNING
        assert set(ranked) == {small}
        held = leader.scheduler.waiting_jobs().held['q']
        assert held == {state.HeldReason.NO_ROOM.value: 50}

    # Guards against ordinary callers who are refused for want of room, as
    # tasks count as waiting work that no room would let start.
    def test_admission(self, fleet):
        for _ in range(50):
            fleet.submit(too_large(1, estimate_ms=1000))
        leader = fleet.elect_leader()
        for _ in range(20):
            leader.run_cycle()
            states, _ = leader.scheduler.assess_room()
            assert not states
            leader.advance(500)

    # Guards against an occurrence for each time that is due.
    def test_due_occurrences(self, fleet):
        before = count_objects(state.Occurrence)
        fleet.submit(too_large(1), repeats=100_000, interval_ms=0)
        leader = fleet.elect_leader()
        for _ in range(3):
            leader.run_cycle()
        opened = count_objects(state.Occurrence) - before
        assert 0 < opened <= openings.MAX_OPEN_STEPS


class TestTasksThatHaveEnded:
    # Guards against state that is kept of each task until its step is done.
    def test_done_tasks(self, fleet):
        job_id = fleet.submit(harness.make_step(200))
        leader = fleet.elect_leader()
        before = count_objects(tasks.TaskState)
        ended = 0
        while ended < 150:
            leader.run_cycle()
            for name in list(harness.running(fleet)):
                harness.finish(fleet, name)
                ended += 1
        leader.run_cycle()
        running = len(harness.running(fleet))
        assert count_objects(tasks.TaskState) - before <= running
        step = leader.scheduler._jobs[job_id].occurrences[0].steps[0]
        assert step.remaining == 200 - ended

    # Guards against tasks that run again as their ends are forgotten.
    def test_next_leader(self, fleet):
        job_id = fleet.submit(harness.make_step(200))
        leader = fleet.elect_leader()
        done = set()
        for cycle in range(60):
            leader.run_cycle()
            for name in list(harness.running(fleet)):
                assert name not in done
                harness.finish(fleet, name)
                done.add(name)
            leader.run_cycle()
            if cycle % 7 == 3:
                leader = fleet.elect_leader()
            fleet.clock.advance(200)
        assert len(done) == 200
        assert leader.state(job_id) == records.State.COMPLETED

    # Guards against an occurrence that runs again, and against a record that
    # grows with the number of those that are over.
    def test_occurrences(self, fleet):
        repeats = 2 * job_lifecycle.MAX_OPENED_OCCURRENCES
        job_id = fleet.submit(
            harness.make_step(), repeats=repeats, interval_ms=0
        )
        leader = fleet.elect_leader()
        done = set()
        for cycle in range(repeats):
            leader.run_cycle()
            for name in list(harness.running(fleet)):
                assert name not in done
                harness.finish(fleet, name)
                done.add(name)
            leader.run_cycle()
            if cycle % 10 == 3:
                leader = fleet.elect_leader()
            fleet.clock.advance(200)
        assert len(done) == repeats
        assert leader.state(job_id) == records.State.COMPLETED
        progress = leader.scheduler._jobs[job_id].progress()
        assert progress.ended == ((0, repeats),)
        assert not progress.done

    # A run of an occurrence that this leader had not opened was stopped, and
    # its end was passed over, so that it ran again.
    def test_run_of_an_occurrence_that_is_not_open(self, fleet):
        job_id = fleet.submit(harness.make_step(), repeats=5000, interval_ms=0)
        leader = fleet.elect_leader()
        job = leader.scheduler._jobs[job_id]
        assert 4000 not in job.occurrences
        leader.scheduler.plan()
        name = str(model.TaskId(job_id, 4000, 0, 0))
        task = leader.scheduler.find_task(name)
        assert task.name == name
        assert 4000 in job.occurrences


class WaitingMachine(stateful.RuleBasedStateMachine):
    """Compares WaitingTasks with a list of the numbers of the tasks."""

    COUNT = 12

    def __init__(self):
        super().__init__()
        spec = model.Job('q', 't', '', (model.Step(self.COUNT),))
        job = state.JobState('a' * 16, spec, 1, None)
        self.step = state.Occurrence(job, 0).steps[0]
        self.step.waiting.add_untouched()
        self.expected = collections.deque(range(self.COUNT))
        self.away = []
        self.held = None

    @stateful.rule()
    def start_first(self):
        if self.expected:
            task = self.step.waiting.popleft()
            assert task.index == self.expected.popleft()
            self.away.append(task)

    @stateful.rule(number=strategies.integers(0, COUNT - 1))
    def look_at(self, number):
        assert self.step.tasks[number].index == number

    @stateful.rule(number=strategies.integers(0, COUNT - 1))
    def remove(self, number):
        task = self.step.tasks[number]
        assert (task in self.step.waiting) == (number in self.expected)
        if number in self.expected:
            self.step.waiting.remove(task)
            self.expected.remove(number)
            self.away.append(task)

    @stateful.rule(first=strategies.booleans())
    def return_one(self, first):
        if not self.away:
            return
        task = self.away.pop()
        if first:
            self.step.waiting.put_first([task])
            self.expected.appendleft(task.index)
        else:
            self.step.waiting.append(task)
            self.expected.append(task.index)

    @stateful.rule(divisor=strategies.integers(2, 4))
    def take(self, divisor):
        known = {task.index for task in self.step.tasks.known()}
        taken = self.step.waiting.take(lambda t: t.index % divisor == 0)
        expected = [
            n for n in self.expected if n % divisor == 0 and n in known
        ]
        assert [task.index for task in taken] == expected
        for number in expected:
            self.expected.remove(number)
        self.away += taken

    @stateful.rule()
    def take_all_and_put_back(self):
        taken = self.step.waiting.take_all()
        assert not self.step.waiting and len(taken) == len(self.expected)
        self.step.waiting.put_back(taken)

    @stateful.invariant()
    def check(self):
        waiting = self.step.waiting
        assert len(waiting) == len(self.expected)
        assert bool(waiting) == bool(self.expected)
        known = {task.index for task in self.step.tasks.known()}
        suspects = [t.index for t in waiting.suspects(lambda _: True)]
        first = list(self.expected)
        while first and not set(first) <= known:
            first.pop()
        assert suspects[: len(first)] == first[: len(suspects)]


TestWaitingTasks = WaitingMachine.TestCase


class TestLaterWork:
    # Guards against work that is expected for good, as its tasks were done
    # before their step was open.
    def test_ends_of_a_step_that_is_not_open(self, fleet):
        job_id = fleet.submit(
            harness.make_step(1, TOO_MUCH_MILLI),
            harness.make_step(2, after=(0,)),
        )
        leader = fleet.elect_leader()
        leader.run_cycle()
        scheduler = leader.scheduler
        assert scheduler.pool_loads()['main'].later_milli == 2000
        [worker_state, *_] = scheduler.worker_states()
        for index in range(2):
            task = scheduler.find_task(f'{job_id}.0.1.{index}')
            scheduler._complete_task(worker_state, task)
        assert scheduler.pool_loads()['main'].later_milli == 0


class TestReturnedTasks:
    # Guards against state of each task of a step whose runs all fail.
    def test_they_go_first_once_they_are_many(self, fleet):
        spec = model.Job('q', 't', '', (model.Step(MANY),))
        step = state.Occurrence(
            state.JobState('a' * 16, spec, 1, None), 0
        ).steps[0]
        step.waiting.add_untouched()
        for _ in range(MANY):
            step.waiting.append(step.waiting.popleft())
        assert len(step.tasks.known()) <= tasks.MAX_RETURNED
        assert len(step.waiting) == MANY

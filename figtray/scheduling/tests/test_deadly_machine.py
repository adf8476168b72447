"""Stateful test of tasks that crash their workers, beside other troubles."""

import collections
import itertools
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from figtray.fleet import memory as fleet_memory
from figtray.jobs import records
from figtray.scheduling import crashes
from figtray.scheduling.tests import deadly
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers

WORKERS = 8
MAX_GUILTY = 4
MAX_INNOCENT = 8
MAX_CHANCE_CRASHES = 4
CYCLE_MS = 50
# Fewest crashes under a task after which it may be given up.
LEAST_CRASHES = 2
# A leader has counted a crash after this time.
SEEN_MS = 500
# Until then the deadly tasks are given up and the others end, once the
# troubles are over.
SETTLE_MS = 60_000
# Times from the start of a deadly task to the crash. After the late ones a
# younger run may be on the worker.
DELAYS_MS = (0, 0, 50, 200, 300)
LATE_DELAYS_MS = (380, 450, 1000, 2500, 5000)
NUMBERS = st.integers(0, WORKERS - 1)
# For a longer test: FIGTRAY_FUZZ=2000 pytest <this file>.
EXAMPLES = int(os.environ.get('FIGTRAY_FUZZ', '25'))


class CrashObserver(fleet_memory.RunObserver):
    """Counts the workers that crashed under each task.

    Attributes:
        under: by task, the number of these workers.
        enabled: whether the ends of workers are crashes.
    """

    def __init__(self):
        self.under = collections.Counter()
        self.enabled = True

    def run_ended(self, sim, task, run, reason):
        if reason is None and self.enabled:
            self.under[task] += 1


class DeadlyMachine(stateful.RuleBasedStateMachine):
    """Deadly tasks beside chance crashes, cuts, lost hosts, new leaders."""

    observer_class = CrashObserver
    site_class = deadly.Site
    delays_ms = DELAYS_MS
    max_guilty = MAX_GUILTY

    def __init__(self):
        super().__init__()
        self.observer = self.observer_class()
        self.fleet = harness.Fleet(0)
        self.fleet.client = fleet_memory.MemoryWorkers(
            self.fleet.clock, self.observer
        )
        for number in range(WORKERS):
            self.fleet.add_worker(number)
        self.fleet.client.choose_fault = self.choose_fault
        self.site = self.site_class(self.fleet)
        # By the number of a worker, until when no call reaches it, and until
        # when starts get no answer.
        self.away_until_ms = collections.Counter()
        self.no_answer_until_ms = collections.Counter()
        self.jobs = {}
        self.lasting = set()
        self.chance_crashes = 0
        # By deadly task, the number of its first crashes that no leader saw.
        self.unseen = collections.Counter()
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()

    def choose_fault(self, kind, worker):
        """Return the fault of a call to a worker."""
        number = int(worker.address.split('.')[3].removesuffix(':80'))
        now_ms = self.fleet.clock.now_ms()
        if now_ms < self.away_until_ms[number]:
            return 'not sent'
        if kind == 'start' and now_ms < self.no_answer_until_ms[number]:
            return 'lost'
        return 'ok'

    def up(self, number):
        return self.fleet.sim(number).up

    def may_crash_by_chance(self):
        return self.chance_crashes < MAX_CHANCE_CRASHES

    # Rules.

    @stateful.initialize(keeps_ids=st.booleans())
    def choose_ids(self, keeps_ids):
        self.site.keeps_ids = keeps_ids

    @stateful.rule(data=st.data(), lasting=st.booleans())
    @stateful.precondition(
        lambda self: len(self.site.deadly) < self.max_guilty
    )
    def submit_deadly(self, data, lasting):
        self.add_deadly(data.draw(st.sampled_from(self.delays_ms)), lasting)

    def add_deadly(self, delay_ms, lasting):
        """Submit a job with a deadly task."""
        job_id, [task] = deadly.submit(self.fleet, lasting=lasting)
        if lasting:
            self.lasting.add(job_id)
        self.site.deadly.add(task)
        self.site.delays[task] = delay_ms
        self.jobs[job_id] = [task]

    @stateful.rule(count=st.integers(1, 5), lasting=st.booleans())
    @stateful.precondition(
        lambda self: len(self.jobs) - len(self.site.deadly) < MAX_INNOCENT
    )
    def submit(self, count, lasting):
        job_id, tasks = deadly.submit(self.fleet, count, lasting=lasting)
        if lasting:
            self.add_lasting(job_id, tasks)
        self.jobs[job_id] = tasks

    def add_lasting(self, job_id, tasks):
        """Note a sound job that goes on until it is cancelled."""
        self.jobs[job_id] = tasks
        self.lasting.add(job_id)
        self.site.lasting = (*self.site.lasting, *tasks)

    @stateful.rule(ms=st.sampled_from([100, 300, 700, 2000, 4000]))
    def play(self, ms):
        self.site.play(self.leader, ms, CYCLE_MS)

    @stateful.rule(number=NUMBERS)
    @stateful.precondition(lambda self: self.may_crash_by_chance())
    def crash_by_chance(self, number):
        if self.up(number):
            self.chance_crashes += 1
            self.site.crash(number)

    @stateful.rule(
        number=NUMBERS, how=st.sampled_from(['moved', 'lost', 'drained'])
    )
    def end_otherwise(self, number, how):
        sim = self.fleet.sim(number)
        if not self.up(number) or sim.worker.worker_id not in (
            self.fleet.workers
        ):
            return
        self.observer.enabled = False
        deadly.end_otherwise(self.fleet, self.site, sim.worker.worker_id, how)
        self.observer.enabled = True

    @stateful.rule(number=NUMBERS, ms=st.sampled_from([300, 1500, 4000, 9000]))
    def cut(self, number, ms):
        self.away_until_ms[number] = self.fleet.clock.now_ms() + ms

    @stateful.rule(number=NUMBERS, ms=st.sampled_from([300, 1500]))
    def lose_answers(self, number, ms):
        self.no_answer_until_ms[number] = self.fleet.clock.now_ms() + ms

    @stateful.rule(ms=st.sampled_from([0, 0, 1000, 4000]))
    def change_leader(self, ms):
        """Let nobody lead for a while, then another leader."""
        self.leader.term.end('replaced')
        ended_ms = self.fleet.clock.now_ms()
        for _ in range(ms // CYCLE_MS):
            self.fleet.clock.advance(CYCLE_MS)
            self.fleet.client.expire()
            self.site.act()
        self.note_unseen(ended_ms - SEEN_MS)
        self.leader = self.fleet.elect_leader()

    def note_unseen(self, since_ms):
        """Note the first crashes of tasks that may be known to no leader.

        The start of a task that is not suspected is not recorded.
        """
        for task, times_ms in self.site.crashed_ms.items():
            seen = [at_ms for at_ms in times_ms if at_ms < since_ms]
            if len(seen) <= self.unseen[task]:
                self.unseen[task] = len(times_ms)

    # Invariants.

    @stateful.invariant()
    def deadly_tasks_start_no_more_than_they_may(self):
        for task in self.site.crashes:
            times_ms = self.counted_ms(task)
            found = task, self.site.delays[task], times_ms
            if self.is_lasting(task):
                # It is never given up, but pauses.
                assert all(
                    later_ms - earlier_ms >= crashes.GUILTY_PAUSE_MS
                    for earlier_ms, later_ms in itertools.pairwise(
                        times_ms[deadly.MOST_CRASHES - 1 :]
                    )
                ), found
            else:
                assert len(times_ms) <= deadly.MOST_CRASHES, found

    def counted_ms(self, task):
        """Return the times of the crashes that a task may be blamed for."""
        return self.site.crashed_ms[task][self.unseen[task] :]

    def is_lasting(self, task):
        return task.partition('.')[0] in self.lasting

    @stateful.invariant()
    def jobs_fail_only_by_their_tasks(self):
        for job_id, tasks in self.jobs.items():
            if self.leader.state(job_id) == records.State.FAILED:
                most = max(self.observer.under[task] for task in tasks)
                assert most >= LEAST_CRASHES, job_id
                assert job_id not in self.lasting, job_id

    def teardown(self):
        """Check how all jobs end once the other troubles have ceased."""
        self.away_until_ms.clear()
        self.no_answer_until_ms.clear()
        for _ in range(self.settle_ms() // 1000):
            self.site.play(self.leader, 1000, CYCLE_MS)
            self.deadly_tasks_start_no_more_than_they_may()
            self.jobs_fail_only_by_their_tasks()
            if not self.unsettled():
                return
        assert not self.unsettled(), self.unsettled()

    def settle_ms(self):
        """Return until when the jobs are as they should be."""
        return SETTLE_MS

    def unsettled(self):
        """Return the jobs that are not yet as they should be, with states."""
        found = {}
        running = takeovers.running(self.fleet)
        for job_id, tasks in self.jobs.items():
            job_state = self.leader.state(job_id)
            if job_state == records.State.FAILED:
                continue
            if self.site.deadly.intersection(tasks):
                if job_id not in self.lasting:
                    found[job_id] = job_state
            elif job_id in self.lasting:
                if not set(tasks) <= set(running):
                    found[job_id] = job_state
            elif job_state != records.State.COMPLETED:
                found[job_id] = job_state
        return found


class LateDeadlyMachine(DeadlyMachine):
    """The same with tasks that crash their workers late."""

    delays_ms = LATE_DELAYS_MS


SETTINGS = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=40,
    deadline=None,
    derandomize='FIGTRAY_FUZZ' not in os.environ,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestDeadlyMachine = DeadlyMachine.TestCase
TestLateDeadlyMachine = LateDeadlyMachine.TestCase
TestDeadlyMachine.settings = TestLateDeadlyMachine.settings = SETTINGS

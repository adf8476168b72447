"""Stateful test of the invariants of leaders, workers and store."""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from figtray.fleet import messages
from figtray.jobs import records
from figtray.leadership import term as terms
from figtray.scheduling.tests import harness

WORKERS = 3
LIST_MS = 500
LIMIT_MILLI = 6000
ATTEMPTS = 2
FAULTS = st.sampled_from(['ok', 'ok', 'ok', 'not sent', 'lost', 'late'])
# For a longer test: FIGTRAY_FUZZ=2000 pytest <this file>.
EXAMPLES = int(os.environ.get('FIGTRAY_FUZZ', '40'))


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Jobs under lost, late and repeated orders, crashes and takeovers."""

    def __init__(self):
        super().__init__()
        cfg = harness.make_config(limit_milli=LIMIT_MILLI, attempts=ATTEMPTS)
        self.fleet = harness.Fleet(WORKERS, cfg)
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()
        self.former = []
        self.jobs = {}
        self.seen_starts = {}
        self.cancelled = set()
        self.done = set()
        self.born = 1

    # Rules.

    @stateful.rule(
        counts=st.lists(st.integers(1, 3), min_size=1, max_size=3),
        chain=st.booleans(),
    )
    @stateful.precondition(lambda self: len(self.jobs) < 6)
    def submit(self, counts, chain):
        steps = tuple(
            harness.make_step(
                count, 1500, after=(n - 1,) if chain and n else ()
            )
            for n, count in enumerate(counts)
        )
        self.jobs[self.fleet.submit(*steps)] = steps
        self.leader.sync_intake()

    @stateful.rule(data=st.data())
    @stateful.precondition(lambda self: self.jobs)
    def cancel(self, data):
        job_id = data.draw(st.sampled_from(sorted(self.jobs)))
        self.fleet.intake.cancel(job_id, 't')
        self.leader.sync_intake()
        self.cancelled.add(job_id)

    @stateful.rule()
    def plan(self):
        self.leader.scheduler.plan()

    @stateful.rule()
    def start_what_can_start(self):
        self.leader.sync_workers()
        self.leader.report_all()
        self.leader.run_cycle()

    @stateful.rule(number=st.integers(0, WORKERS - 1), fault=FAULTS)
    def order(self, number, fault):
        self.inject(fault)
        self.leader.deliver_orders(number, limit=1)
        self.inject('ok')

    @stateful.rule(number=st.integers(0, WORKERS - 1), fault=FAULTS)
    def report(self, number, fault):
        self.inject(fault)
        self.leader.report(number)
        self.inject('ok')

    @stateful.rule()
    def execute_late_orders(self):
        self.fleet.client.execute_late_orders()

    @stateful.rule(
        number=st.integers(0, WORKERS - 1),
        how=st.sampled_from(
            [
                messages.EndReason.DONE,
                messages.EndReason.DONE,
                messages.EndReason.FAILED,
            ]
        ),
    )
    def end_a_run(self, number, how):
        sim = self.fleet.sim(number)
        sim.expire()
        if sim.runs:
            task = sorted(sim.runs)[0]
            sim.end(task, how)
            if how == messages.EndReason.DONE:
                self.done.add(task)

    @stateful.rule(number=st.integers(0, WORKERS - 1))
    def restart_worker(self, number):
        self.born += 1
        self.lose_unread_ends(number)
        self.fleet.client.crash(f'10.0.0.{number}:80')
        self.fleet.add_worker(number, born_ms=self.born)
        self.leader.sync_workers()

    @stateful.rule(ms=st.sampled_from([50, 400, 1500, 2500, 7000]))
    def advance(self, ms):
        # A leader lists the workers, and so renews the record of its leases,
        # all the while.
        for passed_ms in range(0, ms, LIST_MS):
            self.leader.advance(min(LIST_MS, ms - passed_ms))
            self.leader.sync_workers()
        for number in range(WORKERS):
            self.fleet.sim(number).expire()

    @stateful.rule()
    def lose_store_reply(self):
        self.fleet.store.replies_to_lose = 1

    @stateful.rule(seconds=st.sampled_from([0, 0, 3]))
    def change_leader(self, seconds):
        self.former.append(self.leader)
        self.fleet.store.replies_to_lose = 0
        self.fleet.clock.advance(seconds * 1000)
        for number in range(WORKERS):
            self.fleet.sim(number).expire()
        # The former leader's term has expired on its clock, or it crashed.
        self.former[-1].term.end('replaced')
        self.leader = self.fleet.elect_leader()

    @stateful.rule(number=st.integers(0, WORKERS - 1))
    @stateful.precondition(lambda self: self.former)
    def former_leader_acts(self, number):
        former = self.former[-1]
        former.deliver_orders(number, limit=1)
        former.report(number)

    # Invariants.

    @stateful.invariant()
    def one_run_at_a_time(self):
        runs = {}
        for number in range(WORKERS):
            sim = self.fleet.sim(number)
            if sim.up:
                for task in sim.runs:
                    runs.setdefault(task, []).append(number)
        assert all(len(where) == 1 for where in runs.values()), runs

    @stateful.invariant()
    def team_limit(self):
        used = 0
        for number in range(WORKERS):
            used += 1500 * len(self.limited_runs(self.fleet.sim(number)))
        assert used <= LIMIT_MILLI * 1.1 + 1500

    @stateful.invariant()
    def order_of_steps(self):
        for number in range(WORKERS):
            for task in self.fleet.sim(number).runs:
                job_id, occurrence, step, _ = task.split('.')
                for other in self.jobs[job_id][int(step)].after:
                    count = self.jobs[job_id][other].count
                    for index in range(count):
                        name = f'{job_id}.{occurrence}.{other}.{index}'
                        assert name in self.done, f'{task} before {name}'

    @stateful.invariant()
    def job_states_match_what_happened(self):
        for job_id, steps in self.jobs.items():
            state = self.fleet.intake.state(job_id)
            assert state is not None
            if state == records.State.COMPLETED:
                for number, step in enumerate(steps):
                    for index in range(step.count):
                        assert f'{job_id}.0.{number}.{index}' in self.done
            if state == records.State.CANCELLED:
                assert job_id in self.cancelled

    def teardown(self):
        """Check that all jobs end once the faults have ceased."""
        self.cease_faults()
        for _ in range(60):
            self.leader.advance(terms.RENEW_INTERVAL_MS)
            self.fleet.client.execute_late_orders()
            self.leader.sync_workers()
            self.leader.run_cycle()
            self.one_run_at_a_time()
            for number in range(WORKERS):
                sim = self.fleet.sim(number)
                sim.expire()
                self.end_runs(sim)
            self.leader.run_cycle()
        self.check_end()

    # Parts that differ in machines with more rules.

    def inject(self, fault):
        """Let calls to workers have a fault, or 'ok'."""
        self.fleet.client.choose_fault = lambda *_: fault

    def limited_runs(self, sim):
        """Return the tasks on a SimWorker that count towards the limit."""
        return list(sim.runs)

    def cease_faults(self):
        """End all faults."""
        self.inject('ok')
        self.fleet.store.replies_to_lose = 0

    def end_runs(self, sim):
        """End the runs on a SimWorker as done."""
        for task in sorted(sim.runs):
            sim.end(task, messages.EndReason.DONE)
            self.done.add(task)

    def check_end(self):
        """Check the jobs at the end."""
        for job_id in self.jobs:
            assert self.fleet.intake.state(job_id).ended, job_id

    def lose_unread_ends(self, number):
        """Lose what only one worker knows, before its end."""
        # A late start that the next incarnation executes before any other call
        # is a known failure; see test_restart_review.
        self.fleet.client.late_orders = [
            (worker, action)
            for worker, action in self.fleet.client.late_orders
            if worker.worker_id != f'worker-{number}'
        ]
        # An end that no leader has read is lost with the incarnation.
        listed = {
            item.task
            for n in range(WORKERS)
            if n != number
            for item in self.fleet.sim(n).ended
        }
        for item in self.fleet.sim(number).ended:
            if item.task not in listed and not self._known_done(item.task):
                self.done.discard(item.task)

    def _known_done(self, task):
        """Return whether the leader has recorded a task as done."""
        found = self.leader.scheduler.find_task(task)
        return found is not None and found.done


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=60,
    deadline=None,
    derandomize='FIGTRAY_FUZZ' not in os.environ,
    suppress_health_check=list(hypothesis.HealthCheck),
)

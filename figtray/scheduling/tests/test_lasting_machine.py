"""Stateful test of lasting tasks under faults of workers and takeovers."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from figtray.fleet import messages
from figtray.jobs import records
from figtray.scheduling import leases
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import test_scheduler_machine as machine

WORKERS = machine.WORKERS
# A worker has room for this many tasks.
ROOM = 8000 // 1500
# One worker with room for one more task can hold all of them.
MAX_LASTING = ROOM - 1
# Lasting tasks run this long after the last fault, which is less than the
# longest lease. Only a task that may run on a silent worker waits until the
# lease of that worker is over.
CALM_MS = 6000
CALM_SILENT_MS = leases.longest_lease_ms(harness.BOUNDS) + 1000
CYCLE_MS = 250


class LastingTasksMachine(machine.SchedulerMachine):
    """Lasting tasks on workers that leave, are silent or have no entry.

    Attributes:
        lasting: names of the lasting tasks.
        unlimited: ids of the jobs of a team without a limit.
        left: numbers of the workers that left for good.
        silent: numbers of the workers that no call reaches.
        chosen: by lasting task, the number of the worker that a leader has
            last chosen for it.
    """

    def __init__(self):
        self.lasting = set()
        self.unlimited = set()
        self.left = set()
        self.silent = set()
        self.chosen = {}
        super().__init__()
        cfg = harness.make_config(
            2,
            limit_milli=machine.LIMIT_MILLI,
            attempts=machine.ATTEMPTS,
            more_teams=('unlimited',),
        )
        self.fleet.cfg = cfg
        self.leader.scheduler.configure(cfg, ())

    # Rules.

    @stateful.initialize(count=st.integers(1, 2))
    def start_first_job(self, count):
        self.submit_lasting([count], False)
        self.work()

    @stateful.rule(
        counts=st.lists(st.integers(1, 2), min_size=1, max_size=2),
        chain=st.booleans(),
    )
    @stateful.precondition(
        lambda self: len(self.jobs) < 6 and len(self.lasting) < MAX_LASTING - 1
    )
    def submit_lasting(self, counts, chain):
        """Submit a job whose last step is to last."""
        last = len(counts) - 1
        steps = tuple(
            harness.make_step(
                count,
                1500,
                after=(n - 1,) if chain and n else (),
                lasting=n == last,
            )
            for n, count in enumerate(counts)
        )
        job_id = self.fleet.submit(*steps, team='unlimited')
        self.jobs[job_id] = steps
        self.unlimited.add(job_id)
        for index in range(counts[last]):
            self.lasting.add(f'{job_id}.0.{last}.{index}')
        self.leader.sync_intake()

    @stateful.rule(
        number=st.integers(0, WORKERS - 1),
        index=st.integers(0, ROOM - 1),
        failed=st.booleans(),
    )
    def end_a_run(self, number, index, failed):
        sim = self.fleet.sim(number)
        sim.expire()
        if sim.runs:
            task = sorted(sim.runs)[index % len(sim.runs)]
            if failed or task in self.lasting:
                sim.end(task, messages.EndReason.FAILED)
            else:
                sim.end(task, messages.EndReason.DONE)
                self.done.add(task)

    @stateful.rule(number=st.integers(0, WORKERS - 1))
    def restart_worker(self, number):
        if number not in self.left:
            self.silent.discard(number)
            self.inject('ok')
            super().restart_worker(number)

    @stateful.rule(number=st.integers(0, WORKERS - 1), listed=st.booleans())
    def leave_for_good(self, number, listed):
        if self.is_last_sound(number) or number in self.left:
            return
        self.lose_unread_ends(number)
        self.fleet.client.crash(f'10.0.0.{number}:80')
        del self.fleet.hosts[f'host-{number}']
        self.left.add(number)
        self.silent.discard(number)
        self.inject('ok')
        if not listed:
            self.drop_entry(number)

    @stateful.rule(number=st.integers(0, WORKERS - 1), listed=st.booleans())
    def go_silent(self, number, listed):
        if self.is_last_sound(number) or number in self.left:
            return
        self.silent.add(number)
        self.inject('ok')
        if not listed:
            self.drop_entry(number)

    @stateful.rule(number=st.integers(0, WORKERS - 1))
    def lose_entry(self, number):
        if not self.is_last_sound(number):
            self.drop_entry(number)

    @stateful.rule(number=st.integers(0, WORKERS - 1))
    def recover(self, number):
        if number not in self.left:
            self.silent.discard(number)
            self.inject('ok')
            worker = self.fleet.sim(number).worker
            self.fleet.workers[worker.worker_id] = worker

    @stateful.rule()
    def work(self):
        """Let the leader do all that it does between two changes."""
        self.cycle(CYCLE_MS)

    @stateful.rule()
    def list_workers(self):
        self.leader.sync_workers()

    @stateful.rule()
    def write(self):
        self.leader.flush()

    @stateful.rule(takeover=st.booleans())
    def settle(self, takeover):
        """Check the lasting tasks after a while without new faults."""
        if takeover:
            self.change_leader(0)
        self.fleet.store.replies_to_lose = 0
        for number in self.left:
            self.drop_entry(number)
        self.fleet.client.execute_late_orders()
        self.cycle(CALM_MS)
        self.check_lasting(
            task
            for task in self.lasting
            if self.chosen.get(task) not in self.silent
        )
        self.cycle(CALM_SILENT_MS - CALM_MS)
        self.check_lasting(self.lasting)

    # Invariants.

    @stateful.invariant()
    def note_choices(self):
        for task in self.lasting:
            found = self.leader.scheduler.find_task(task)
            if found is not None and found.run is not None:
                worker_id = found.run.worker_state.worker.worker_id
                self.chosen[task] = int(worker_id.removeprefix('worker-'))

    # Helpers.

    def cycle(self, ms):
        """Let the leader work for a while."""
        for _ in range(ms // CYCLE_MS):
            self.leader.advance(CYCLE_MS)
            self.fleet.client.expire()
            self.leader.sync_workers()
            self.leader.run_cycle()
            self.note_choices()
            self.one_run_at_a_time()
            self.team_limit()

    def check_lasting(self, tasks):
        """Check that tasks run that are to run, if there is room."""
        running = {
            task
            for number in range(WORKERS)
            for task in self.fleet.sim(number).runs
        }
        room = any(
            len(self.fleet.sim(number).runs) < ROOM
            for number in self.sound_numbers()
        )
        for task in sorted(tasks):
            if room and self.is_to_run(task):
                assert task in running, f'{task} does not run'

    def is_to_run(self, task):
        """Return whether the turn of a task has come, and has not ended."""
        job_id, _, step, _ = task.split('.')
        if self.fleet.intake.state(job_id).ended:
            return False
        found = self.leader.scheduler.find_task(task)
        assert found is not None, f'{task} is unknown'
        return all(
            self.leader.scheduler.find_task(f'{job_id}.0.{n}.{index}').done
            for n in self.jobs[job_id][int(step)].after
            for index in range(self.jobs[job_id][n].count)
        )

    def sound_numbers(self):
        """Return the numbers of the workers that tasks can start on."""
        return [
            number
            for number in range(WORKERS)
            if number not in self.left
            and number not in self.silent
            and f'worker-{number}' in self.fleet.workers
        ]

    def is_last_sound(self, number):
        """Return whether no other worker can take tasks."""
        return not set(self.sound_numbers()) - {number}

    def drop_entry(self, number):
        """Remove the entry of a worker from the store."""
        self.fleet.workers.pop(f'worker-{number}', None)

    def inject(self, fault):
        silent = {f'worker-{number}' for number in self.silent}
        self.fleet.client.choose_fault = lambda _, worker: (
            'not sent' if worker.worker_id in silent else fault
        )

    def limited_runs(self, sim):
        return [
            task
            for task in sim.runs
            if task.split('.')[0] not in self.unlimited
        ]

    def cease_faults(self):
        for number in range(WORKERS):
            if number in self.left:
                self.drop_entry(number)
            else:
                worker = self.fleet.sim(number).worker
                self.fleet.workers[worker.worker_id] = worker
        self.silent.clear()
        super().cease_faults()

    def end_runs(self, sim):
        for task in sorted(sim.runs):
            if task not in self.lasting:
                sim.end(task, messages.EndReason.DONE)
                self.done.add(task)

    def check_end(self):
        runs = [
            task
            for number in range(WORKERS)
            for task in self.fleet.sim(number).runs
        ]
        assert len(runs) == len(set(runs)), runs
        for job_id in self.jobs:
            state = self.fleet.intake.state(job_id)
            lasting = {t for t in self.lasting if t.split('.')[0] == job_id}
            if lasting and not state.ended:
                assert state == records.State.RUNNING, job_id
                assert lasting <= set(runs), f'{lasting} do not all run'
            else:
                assert state.ended, job_id
                assert not lasting & set(runs), f'{job_id} has ended'


TestLastingTasksMachine = LastingTasksMachine.TestCase
TestLastingTasksMachine.settings = hypothesis.settings(
    machine.TestSchedulerMachine.settings
)

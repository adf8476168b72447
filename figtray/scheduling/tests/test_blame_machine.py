"""Stateful test of the blame for crashes: of tasks, or of their hosts."""

import collections
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from figtray.blame import hosts
from figtray import errors
from figtray.jobs import records
from figtray.scheduling.tests import crash_loops
from figtray.scheduling.tests import deadly
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray.scheduling.tests import test_crashing_hosts as crashing_hosts
from figtray.scheduling.tests import test_deadly_machine as deadly_machine

MAX_JOBS = 24
MAX_LASTING = 3
MAX_LOOPS = 4
# A leader that goes on counts a crash within this time.
SEEN_MS = 1000
# Chance crashes are at least so far apart.
CHANCE_GAP_MS = 4000
MAX_CHANCE_CRASHES = 12
# Tasks that can resume store a checkpoint whenever so much more is done.
CHECKPOINT_MS = 500
SEEDS = st.none() | st.integers(0, 9)
# For how long jobs come to hosts in loops before other troubles begin, and
# for how long each leader leads then.
CROWDED_MS = 60_000
CROWDED_STEPS = 20
TERMS_MS = st.sampled_from([CROWDED_MS, 20_000, 7000, 2300])
LIVES_MS = st.integers(200, 6000)
KINDS = st.sampled_from(['apart', 'gang', 'steps', 'resuming'])
SMALL_MILLI = 1000
CPU_MILLI = st.sampled_from([SMALL_MILLI, crashing_hosts.LARGE_MILLI])
LENGTHS_MS = st.sampled_from([300, 800, 2000, 5000, 9000])
# A leader notices a worker that is back, and starts tasks there, within this
# time.
START_MS = 500
# A job waits no longer for the only host that has room.
LONGEST_WAIT_MS = 20_000


class StartObserver(deadly_machine.CrashObserver):
    """Notes how long workers had been up when runs started there.

    Attributes:
        note_start: called with a SimWorker on which a run starts.
    """

    def __init__(self):
        super().__init__()
        self.note_start = lambda sim: None

    def run_started(self, sim, task, run):
        self.note_start(sim)


class BlameSite(deadly.Site):
    """Site with hosts in crash loops and sound tasks of several kinds.

    Attributes:
        loops: the crash_loops.Loops.
        loop_crashed_ms: by the number of a host, the times of the crashes in
            its loop.
        lengths_ms: by job id, for how long its tasks run.
        resuming: ids of the jobs whose tasks resume from checkpoints.
        gangs: by job id, the tasks of gangs that end.
        excused_ms: by deadly task, the times of its crashes of hosts that
            are in a loop, or were shortly before.
    """

    def __init__(self, fleet):
        super().__init__(fleet)
        self.loops = crash_loops.Loops(self)
        self.loop_crashed_ms = collections.defaultdict(list)
        self.lengths_ms = {}
        self.resuming = set()
        self.gangs = {}
        self.excused_ms = collections.defaultdict(set)
        self._looped_ms = {}

    def act(self):
        now_ms = self.fleet.clock.now_ms()
        self._looped_ms |= dict.fromkeys(self.loops.numbers(), now_ms)
        self._save_checkpoints()
        super().act()
        for job_id, gang in self.gangs.items():
            if set(gang) - set(takeovers.running(self.fleet)):
                self.end_incomplete_gang(self._not_done(job_id, gang))
        for number in self.loops.crash_due():
            self.loop_crashed_ms[number].append(now_ms)

    def is_done(self, run, age_ms):
        job_id = run.task.partition('.')[0]
        done_ms = int(run.checkpoint or 0)
        return done_ms + age_ms >= self.lengths_ms[job_id]

    def crash_under(self, number, tasks):
        now_ms = self.fleet.clock.now_ms()
        looped_ms = self._looped_ms.get(number)
        if looped_ms is not None and now_ms - looped_ms <= hosts.ROW_MS:
            for task in tasks:
                self.excused_ms[task].add(now_ms)
        super().crash_under(number, tasks)

    def _save_checkpoints(self):
        """Let the tasks that can resume store how much of them is done."""
        for _, sim in self.up():
            for run in sim.runs.values():
                done_ms = sim.clock_ms() - run.started_ms
                if (
                    run.task.partition('.')[0] in self.resuming
                    and done_ms >= CHECKPOINT_MS
                ):
                    run.checkpoint = str(int(run.checkpoint or 0) + done_ms)
                    # The rest of the run counts from here.
                    run.started_ms = sim.clock_ms()

    def _not_done(self, job_id, gang):
        """Return the tasks of a gang of which no leader has stored the end."""
        item = self.fleet.store.get(records.PROGRESS_PREFIX + job_id)
        if item is None:
            return gang
        done = records.decode_progress(item.value).done.get('0.0', 0)
        return [
            task for index, task in enumerate(gang) if not done >> index & 1
        ]


class BlameMachine(deadly_machine.DeadlyMachine):
    """Sound jobs beside deadly tasks and hosts in crash loops."""

    observer_class = StartObserver
    site_class = BlameSite
    delays_ms = range(0, 401, 10)
    max_guilty = 2

    def __init__(self):
        super().__init__()
        self.chance_crashed_ms = -CHANCE_GAP_MS
        # By the number of a worker, until when starts are refused, and until
        # when none is sent.
        self.refused_until_ms = collections.Counter()
        self.unsent_until_ms = collections.Counter()
        # By the number of a host, since when its crashes are certainly
        # counted by the leader.
        self.counted_since_ms = collections.Counter()
        # Number of workers with room for large tasks, and how long those run
        # in all, by job.
        self.room = deadly_machine.WORKERS
        self.large_ms = {}
        # Starts on hosts that should have had none.
        self.early_starts = []
        self.observer.note_start = self.note_start

    def choose_fault(self, kind, worker):
        number = number_of(worker)
        now_ms = self.fleet.clock.now_ms()
        if kind == 'start' and now_ms < self.refused_until_ms[number]:
            raise errors.CallNotSent(
                address=worker.address, detail='refused', refused=True
            )
        if kind == 'start' and now_ms < self.unsent_until_ms[number]:
            return 'not sent'
        return super().choose_fault(kind, worker)

    def note_start(self, sim):
        """Note a start on a host that has to rest."""
        number = number_of(sim.worker)
        count = self.count_in_row(number)
        # A crash that is the doing of a task counts no longer.
        if self.site.deadly:
            return
        rest_ms = hosts.REST_MS[min(count, len(hosts.REST_MS) - 1)]
        if sim.clock_ms() < rest_ms:
            self.early_starts.append((number, count, sim.clock_ms()))

    def count_in_row(self, number):
        """Return how many crashes in a row of a host its leader counts."""
        count, next_ms = 0, self.fleet.clock.now_ms()
        for at_ms in reversed(self.site.loop_crashed_ms[number]):
            if at_ms < self.counted_since_ms[number]:
                break
            if next_ms - at_ms > hosts.ROW_MS - SEEN_MS:
                break
            count, next_ms = count + 1, at_ms
        return count

    def forget_crashes(self, *numbers):
        """Note that the leader may not count some crashes of hosts."""
        now_ms = self.fleet.clock.now_ms()
        for number in numbers:
            until_ms = max(now_ms, self.away_until_ms[number])
            self.counted_since_ms[number] = until_ms + SEEN_MS

    def may_crash_by_chance(self):
        now_ms = self.fleet.clock.now_ms()
        return (
            self.chance_crashes < MAX_CHANCE_CRASHES
            and now_ms - self.chance_crashed_ms >= CHANCE_GAP_MS
        )

    # Rules.

    @stateful.initialize(ms=st.sampled_from([1500, 3000]))
    def choose_back_ms(self, ms):
        self.site.back_ms = ms

    @stateful.initialize(count=st.integers(0, 6))
    def take_workers(self, count):
        """Let tasks that last take most of some workers."""
        self.room = deadly_machine.WORKERS - count
        if count:
            step = harness.make_step(
                count,
                cpu_milli=crashing_hosts.LARGE_MILLI,
                lasting=True,
                max_per_worker=1,
            )
            job_id = self.fleet.submit(step)
            self.add_lasting(
                job_id, [f'{job_id}.0.0.{index}' for index in range(count)]
            )
            self.site.play(self.leader, 1000, deadly_machine.CYCLE_MS)

    # One of a job that lasts would crash workers without end.
    @stateful.rule(data=st.data())
    @stateful.precondition(
        lambda self: len(self.site.deadly) < self.max_guilty
    )
    def submit_deadly(self, data):
        super().submit_deadly(data, False)

    @stateful.rule(
        kind=KINDS,
        count=st.integers(1, 5),
        length_ms=LENGTHS_MS,
        cpu_milli=CPU_MILLI,
    )
    @stateful.precondition(lambda self: len(self.jobs) < MAX_JOBS)
    def submit_sound(self, kind, count, length_ms, cpu_milli):
        self.add_sound(kind, count, length_ms, cpu_milli)

    @stateful.rule(
        kind=KINDS,
        length_ms=LENGTHS_MS,
        cpu_milli=CPU_MILLI,
        interval_ms=st.sampled_from([700, 2000, 5000]),
    )
    @stateful.precondition(lambda self: len(self.jobs) < MAX_JOBS)
    def submit_in_turn(self, kind, length_ms, cpu_milli, interval_ms):
        """Let jobs come one after another."""
        for _ in range(5):
            self.add_sound(kind, 2, length_ms, cpu_milli)
            self.site.play(self.leader, interval_ms)

    def add_sound(self, kind, count, length_ms, cpu_milli):
        """Submit a job whose tasks crash no worker."""
        if kind == 'gang':
            # Those of large tasks may find too few workers with room.
            cpu_milli = SMALL_MILLI
        step = harness.make_step(
            count,
            cpu_milli=cpu_milli,
            checkpoints=kind == 'resuming',
            gang=kind == 'gang',
        )
        steps = [step]
        if kind == 'steps':
            steps.append(harness.make_step(count, after=(0,)))
        job_id = self.fleet.submit(*steps)
        tasks = [
            f'{job_id}.0.{number}.{index}'
            for number in range(len(steps))
            for index in range(count)
        ]
        self.jobs[job_id] = tasks
        self.site.lengths_ms[job_id] = length_ms
        if cpu_milli != SMALL_MILLI:
            self.large_ms[job_id] = count * length_ms
        if kind == 'gang':
            self.site.gangs[job_id] = tasks
        if kind == 'resuming':
            self.site.resuming.add(job_id)

    @stateful.rule(count=st.integers(1, 3))
    @stateful.precondition(lambda self: len(self.lasting) < MAX_LASTING)
    def submit(self, count):
        super().submit(count, True)

    @stateful.rule(ms=st.sampled_from([8000, 20_000]))
    def play_long(self, ms):
        self.site.play(self.leader, ms)

    @stateful.rule(
        numbers=st.lists(
            deadly_machine.NUMBERS,
            min_size=1,
            max_size=MAX_LOOPS,
            unique=True,
        ),
        life_ms=LIVES_MS,
        seed=SEEDS,
    )
    @stateful.precondition(lambda self: not self.site.loops.numbers())
    def begin_loops(self, numbers, life_ms, seed):
        """Let hosts crash, all at one age or each at ages of its own."""
        for number in numbers:
            if seed is None:
                lives = crash_loops.fixed(life_ms)
            else:
                lives = crash_loops.drawn(random.Random(seed), life_ms)
                seed += 1
            self.site.loops.add(number, lives)

    @stateful.rule()
    @stateful.precondition(lambda self: self.site.loops.numbers())
    def end_loops(self):
        for number in self.site.loops.numbers():
            self.site.loops.remove(number)

    @stateful.rule(number=deadly_machine.NUMBERS, life_ms=LIVES_MS)
    @stateful.precondition(lambda self: self.site.loops.numbers())
    def move_loop(self, number, life_ms):
        """Let a host crash in place of another one."""
        self.site.loops.remove(self.site.loops.numbers()[0])
        self.site.loops.add(number, crash_loops.fixed(life_ms))

    @stateful.rule(
        number=deadly_machine.NUMBERS, ms=st.sampled_from([300, 1500, 4000])
    )
    def refuse_starts(self, number, ms):
        self.refused_until_ms[number] = self.fleet.clock.now_ms() + ms

    @stateful.rule(
        number=deadly_machine.NUMBERS, ms=st.sampled_from([300, 1500, 4000])
    )
    def send_no_starts(self, number, ms):
        self.unsent_until_ms[number] = self.fleet.clock.now_ms() + ms

    @stateful.rule(number=deadly_machine.NUMBERS)
    @stateful.precondition(lambda self: self.may_crash_by_chance())
    def crash_by_chance(self, number):
        self.chance_crashed_ms = self.fleet.clock.now_ms()
        super().crash_by_chance(number)

    @stateful.rule(
        number=deadly_machine.NUMBERS,
        ms=st.sampled_from([300, 1500, 4000, 9000]),
    )
    def cut(self, number, ms):
        super().cut(number, ms)
        self.forget_crashes(number)

    @stateful.rule(
        number=deadly_machine.NUMBERS,
        how=st.sampled_from(['moved', 'lost', 'drained']),
    )
    def end_otherwise(self, number, how):
        super().end_otherwise(number, how)
        self.forget_crashes(number)

    @stateful.rule(ms=st.sampled_from([0, 0, 1000, 4000]))
    def change_leader(self, ms):
        super().change_leader(ms)
        self.forget_crashes(*range(deadly_machine.WORKERS))

    # Invariants.

    @stateful.invariant()
    def sound_jobs_never_fail(self):
        for job_id, tasks in self.jobs.items():
            if not self.site.deadly.intersection(tasks):
                assert (
                    self.leader.state(job_id) != records.State.FAILED
                ), job_id

    def counted_ms(self, task):
        # A crash of a host in a loop does not tell which of the two caused it.
        excused_ms = self.site.excused_ms[task]
        return [
            at_ms
            for at_ms in super().counted_ms(task)
            if at_ms not in excused_ms
        ]

    @stateful.invariant()
    def hosts_in_loops_rest(self):
        assert not self.early_starts, self.early_starts

    def teardown(self):
        self.refused_until_ms.clear()
        self.unsent_until_ms.clear()
        for number in self.site.loops.numbers():
            self.site.loops.remove(number)
        super().teardown()
        self.sound_jobs_never_fail()

    def settle_ms(self):
        # Large tasks run one after another on the few workers with room.
        left_ms = sum(
            large_ms
            for job_id, large_ms in self.large_ms.items()
            if self.leader.state(job_id) != records.State.COMPLETED
        )
        return super().settle_ms() + left_ms // self.room


def number_of(worker):
    """Return the number of a worker."""
    return int(worker.address.split('.')[3].removesuffix(':80'))


class CrowdedBlameMachine(BlameMachine):
    """The same where the only hosts with room are in loops at first."""

    @stateful.initialize(
        room=st.integers(1, 3),
        looping=st.integers(1, 3),
        life_ms=LIVES_MS,
        seed=SEEDS,
        kind=KINDS,
        length_ms=LENGTHS_MS,
        term_ms=TERMS_MS,
    )
    def take_workers(
        self, room, looping, life_ms, seed, kind, length_ms, term_ms
    ):
        super().take_workers(deadly_machine.WORKERS - room)
        with_room = [number for number, sim in self.site.up() if not sim.runs]
        self.begin_loops(with_room[:looping], life_ms, seed)
        for _ in range(3):
            self.add_sound(kind, 1, length_ms, crashing_hosts.LARGE_MILLI)
        for _ in range(CROWDED_MS // term_ms):
            self.site.play(self.leader, term_ms)
            self.sound_jobs_never_fail()
            if term_ms < CROWDED_MS:
                self.change_leader(0)


TestBlameMachine = BlameMachine.TestCase
TestBlameMachine.settings = hypothesis.settings(
    deadly_machine.SETTINGS, max_examples=(deadly_machine.EXAMPLES + 1) // 2
)
TestCrowdedBlameMachine = CrowdedBlameMachine.TestCase
TestCrowdedBlameMachine.settings = hypothesis.settings(
    TestBlameMachine.settings, stateful_step_count=CROWDED_STEPS
)


class TestStartsOnCrashingHosts:
    """The next start on a host, by how often it has crashed in a row."""

    @pytest.fixture
    def fleet(self):
        return harness.Fleet(crashing_hosts.WORKERS)

    @pytest.fixture
    def site(self, fleet):
        return BlameSite(fleet)

    def play_to_start(self, fleet, leader, site, number):
        """Submit a job for the only host with room, and let it be done.

        Returns:
            For how long the worker had been up then.
        """
        job_id, [task] = deadly.submit(
            fleet, cpu_milli=crashing_hosts.LARGE_MILLI
        )
        site.lengths_ms[job_id] = 100
        for _ in range(LONGEST_WAIT_MS // deadly_machine.CYCLE_MS):
            site.play(leader, deadly_machine.CYCLE_MS, deadly_machine.CYCLE_MS)
            sim = fleet.sim(number)
            if any(started == task for started, _ in sim.starts):
                up_ms = sim.clock_ms()
                # No task is there when the worker crashes again.
                site.play(leader, START_MS, deadly_machine.CYCLE_MS)
                assert leader.state(job_id) == records.State.COMPLETED
                return up_ms
        raise AssertionError('no start')

    # A pause after each crash would cost a host that has crashed by chance.
    def test_start_at_once_after_one_crash(self, fleet, leader, site):
        [number] = crashing_hosts.fill(
            fleet, leader, site, crashing_hosts.WORKERS - 1
        )
        site.crash(number)
        up_ms = self.play_to_start(fleet, leader, site, number)
        assert up_ms <= START_MS

    # Nor do crashes count that come at long intervals.
    def test_start_at_once_after_crashes_far_apart(self, fleet, leader, site):
        [number] = crashing_hosts.fill(
            fleet, leader, site, crashing_hosts.WORKERS - 1
        )
        for _ in range(5):
            site.crash(number)
            up_ms = self.play_to_start(fleet, leader, site, number)
            assert up_ms <= START_MS
            site.play(leader, hosts.ROW_MS + START_MS)

    # Jobs started on a host in a loop as soon as it was back, each time.
    def test_pause_grows_to_a_bound(self, fleet, leader, site):
        [number] = crashing_hosts.fill(
            fleet, leader, site, crashing_hosts.WORKERS - 1
        )
        for count in range(1, 9):
            site.crash(number)
            up_ms = self.play_to_start(fleet, leader, site, number)
            rest_ms = hosts.REST_MS[min(count, len(hosts.REST_MS) - 1)]
            assert rest_ms <= up_ms <= rest_ms + START_MS, count

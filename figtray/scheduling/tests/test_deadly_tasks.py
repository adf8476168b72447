"""Tests of tasks that crash the workers that start them."""

import random

import logbook
import pytest

from figtray.blame import evidence
from figtray import errors
from figtray.events import catalogue
from figtray.jobs import records
from figtray.scheduling import crashes
from figtray.scheduling import run_ages
from figtray.scheduling.tests import deadly
from figtray.scheduling.tests import harness
from figtray.scheduling import trial_limits

LONG_MS = 60_000
# The leader knows of a crash after this time.
FOUND_MS = 200
# A worker needs this long to execute and confirm a start.
START_MS = 400


@pytest.fixture
def fleet():
    return harness.Fleet(workers=8)


@pytest.fixture
def site(fleet):
    return deadly.Site(fleet)


def states(fleet, job_ids):
    """Return the set of the states of some jobs."""
    return {fleet.intake.state(job_id) for job_id in job_ids}


def rows_of(runs):
    """Return evidence that runs crash their workers, on sound hosts."""
    return tuple(
        evidence.Crash(
            run, f'host-{run}', 50, 10_000 * run, alone=True, arrived=True
        )
        for run in runs
    )


def close_connection(worker, *_):
    """Lose the reply of a worker that closes the connection."""
    raise errors.ReplyLost(address=worker.address, detail='', closed=True)


class TestGivingUp:
    # A task that crashed each worker was started without end.
    def test_task_that_crashes_workers_is_given_up(self, fleet, site, leader):
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A count in the leader's memory began anew with each leader.
    def test_count_of_crashes_survives_leaders(self, fleet, site, leader):
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        for _ in range(20):
            site.play(leader, 1500)
            leader = fleet.elect_leader()
            leader.report_all()
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A crash that no leader saw was not counted. Later, no number of crashes
    # was enough if the next leaders could not tell that they were on trial.
    @pytest.mark.parametrize('is_back', [False, True])
    def test_crash_without_a_leader_is_counted(
        self, fleet, site, leader, is_back
    ):
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play_to_crash(leader, task)
        site.play(leader, FOUND_MS)
        assert site.crashes[task] == 1
        for _ in range(6):
            site.play_to_crash(leader, task)
            if is_back:
                site.wait_until_back()
            leader = fleet.elect_leader()
            leader.report_all()
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A leader that ended before it had proven the end of a worker left no
    # record, so each such crash came on top.
    @pytest.mark.parametrize('is_back', [False, True])
    def test_crash_that_its_leader_has_not_proven_is_counted(
        self, fleet, site, leader, is_back
    ):
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        for _ in range(3):
            site.play_to_crash(leader, task)
            leader.report_all()
            if is_back:
                site.wait_until_back()
            leader = fleet.elect_leader()
            leader.report_all()
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # Its leader was killed before it asked again: the first request only has
    # lost its connection.
    def test_crash_that_has_closed_a_connection_is_counted(
        self, fleet, site, leader, monkeypatch
    ):
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play_to_crash(leader, task)
        with monkeypatch.context() as patch:
            patch.setattr(fleet.client, 'report', close_connection)
            leader.report_all()
        site.deadly = set()
        leader = fleet.elect_leader()
        leader.report_all()
        site.play(leader, 200)
        assert leader.scheduler.find_task(task).crashes.count == 1

    # A fault of the network may close the connections to all workers.
    def test_closed_connection_records_no_settled_run(
        self, fleet, site, leader, monkeypatch
    ):
        _, [task] = deadly.submit(fleet)
        site.run_ms = None
        site.play(leader, 2 * run_ages.SETTLED_MS)
        monkeypatch.setattr(fleet.client, 'report', close_connection)
        leader.report_all()
        assert leader.scheduler.find_task(task).placement is None

    # A task that crashes its worker only after some time was cleared by it.
    def test_late_crashes_are_counted(self, fleet, leader):
        site = deadly.Site(fleet, delay_ms=2000)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # Crashes that came late, beside younger runs, were only in the leader's
    # memory, so a task could crash workers without end.
    def test_late_crashes_beside_younger_runs_survive_leaders(self, fleet):
        site = deadly.Site(fleet, delay_ms=800)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        leader = fleet.elect_leader()
        leader.report_all()
        for turn in range(150):
            deadly.submit(fleet, 16)
            site.play(leader, 200)
            if turn % 10 == 9:
                leader = fleet.elect_leader()
                leader.report_all()
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A trial was passed before the end of the time within which a crash is
    # put down to a start, so each crash after it was the first one again.
    @pytest.mark.parametrize('delay_ms', [260, 300, 340, 380, 420, 500])
    def test_crash_soon_after_a_trial_is_counted(
        self, fleet, leader, delay_ms
    ):
        site = deadly.Site(fleet, delay_ms=delay_ms)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play(leader, LONG_MS, cycle_ms=20)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A trial of 3 s cleared a task that crashes its workers after that.
    @pytest.mark.parametrize('delay_ms', [3100, 6000])
    def test_task_that_outlasts_trials_is_given_up(
        self, fleet, leader, delay_ms
    ):
        site = deadly.Site(fleet, delay_ms=delay_ms)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A crash soon after a start that was confirmed late counted as a late one,
    # so none showed the guilt of the task.
    @pytest.mark.parametrize('delay_ms', [0, 100, 200, 300])
    def test_crash_soon_after_a_start_that_is_confirmed_late(
        self, fleet, leader, monkeypatch, delay_ms
    ):
        site = deadly.Site(fleet, delay_ms=delay_ms)
        deadly.delay_starts(fleet, monkeypatch, START_MS)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        # The first crash is not counted, as its leader is gone.
        site.play_to_crash(leader, task)
        leader = fleet.elect_leader()
        leader.report_all()
        site.play(leader, LONG_MS, cycle_ms=20)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A trial ended before a task crashed its worker, so the crash was put down
    # to younger runs; only each fourth was on trial.
    def test_task_that_crashes_workers_after_5_s_beside_younger_runs(
        self, fleet, leader
    ):
        site = deadly.Site(fleet, delay_ms=5000)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        for _ in range(300):
            deadly.submit(fleet, 16)
            site.play(leader, 200)
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # The age of a run that a leader had adopted counted from the adoption, so
    # the next run cleared the task before it crashed its worker.
    def test_crashes_of_adopted_runs_are_counted(self, fleet, leader):
        site = deadly.Site(fleet, delay_ms=5000)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        for _ in range(4):
            site.play(leader, 4000)
            leader = fleet.elect_leader()
            leader.report_all()
            site.play_to_crash(leader, task)
            site.play_to_crash(leader, task)
            site.play(leader, FOUND_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A run of 10 s cleared its task, whatever came before.
    def test_task_that_crashes_workers_after_15_s_is_given_up(
        self, fleet, leader
    ):
        site = deadly.Site(fleet, delay_ms=15_000)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play(leader, 2 * LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # For how long a task goes on before it crashes its worker was known to one
    # leader only, so the next one cleared it too soon.
    @pytest.mark.parametrize('delay_ms', [600, 1000, 5000])
    def test_late_crashes_survive_leaders(self, fleet, leader, delay_ms):
        site = deadly.Site(fleet, delay_ms=delay_ms)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        for _ in range(8):
            site.play_to_crash(leader, task)
            site.play(leader, FOUND_MS)
            leader = fleet.elect_leader()
            leader.report_all()
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # Crashes beside younger runs were known to one leader only.
    @pytest.mark.parametrize('workers', [3, 6])
    def test_crashes_beside_younger_runs_survive_leaders(self, workers):
        fleet = harness.Fleet(workers)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, delay_ms=1000, run_ms=200)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        crashes_so_far = 0
        for _ in range(100):
            deadly.submit(fleet, workers)
            site.play(leader, 300)
            if site.crashes[task] > crashes_so_far:
                crashes_so_far = site.crashes[task]
                site.play(leader, FOUND_MS)
                leader = fleet.elect_leader()
                leader.report_all()
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A task with late crashes only had no stored placement, so a crash while
    # nobody led was not counted.
    def test_late_crash_without_a_leader_is_counted(self, fleet, leader):
        site = deadly.Site(fleet, delay_ms=1000)
        _, [name] = deadly.submit(fleet)
        leader.sync_intake()
        task = leader.scheduler.find_task(name)
        task.crashes = records.Crashes(late=(1,), longest_ms=1000)
        site.deadly = {name}
        site.play_to_crash(leader, name)
        leader = fleet.elect_leader()
        leader.report_all()
        site.play(leader, FOUND_MS)
        assert len(leader.scheduler.find_task(name).crashes.late) == 2

    # A crash on trial that a slow leader noticed late counted as a late one.
    def test_crash_on_trial_that_is_noticed_late(self, fleet, leader):
        site = deadly.Site(fleet, delay_ms=380)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        # The first crash is not counted, as its leader is gone.
        site.play_to_crash(leader, task)
        leader = fleet.elect_leader()
        leader.report_all()
        site.play_unnoticed(leader, LONG_MS, cycle_ms=300)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # With one worker, nobody is left to try the task on.
    def test_pool_of_one_worker(self):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet)
        job_id, [task] = deadly.submit(fleet)
        other, _ = deadly.submit(fleet, 3)
        site.deadly = {task}
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED
        assert leader.state(other) == records.State.COMPLETED

    def test_member_of_a_gang_is_given_up(self, fleet, site, leader):
        job_id, tasks = deadly.submit(fleet, 3, gang=True)
        other, _ = deadly.submit(fleet, 12)
        site.deadly = {tasks[1]}
        site.gang = tasks
        site.play(leader, LONG_MS)
        assert site.crashes[tasks[1]] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED
        assert leader.state(other) == records.State.COMPLETED


class TestCrashesThatAreNoticedOddly:
    """Crashes whose evidence is less than whole."""

    # The leader had no failed request, so the age of the run was unknown and
    # the task was started without end.
    @pytest.mark.parametrize('workers', [1, 3, 8])
    @pytest.mark.parametrize('keeps_ids', [False, True])
    def test_worker_is_back_before_a_request_fails(
        self, monkeypatch, workers, keeps_ids
    ):
        monkeypatch.setattr(deadly, 'BACK_MS', 100)
        fleet = harness.Fleet(workers)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet)
        site.keeps_ids = keeps_ids
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # A crash that a busy leader noticed late was taken for a run that had gone
    # on for longer, and spoke for the task.
    @pytest.mark.parametrize('delay_ms', [0, 1000])
    @pytest.mark.parametrize('held_up_ms', [1200, 1800])
    @pytest.mark.parametrize('workers', [1, 8])
    def test_leader_is_held_up_once(self, delay_ms, held_up_ms, workers):
        fleet = harness.Fleet(workers)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, delay_ms)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        site.play_to_crash(leader, task)
        fleet.clock.advance(held_up_ms)
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED

    # No two ages agreed.
    @pytest.mark.parametrize('workers', [3, 8])
    def test_crash_comes_at_any_age(self, workers):
        fleet = harness.Fleet(workers)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        rng = random.Random(1)
        for _ in range(2 * deadly.MOST_CRASHES):
            site.delays[task] = rng.randint(500, 3000)
            site.play_to_crash(leader, task)
        site.play(leader, LONG_MS)
        assert site.crashes[task] <= deadly.MOST_CRASHES
        assert leader.state(job_id) == records.State.FAILED


class TestTermsOfASecond:
    # Each leader knows of one crash only, and a run clears its task before it
    # crashes its worker.
    def test_late_crashes_are_counted(self, fleet, leader):
        site = deadly.Site(fleet, delay_ms=2000)
        _, [task] = deadly.submit(fleet)
        site.deadly = {task}
        for _ in range(60):
            site.play(leader, 1100)
            leader = fleet.elect_leader()
            leader.report_all()
        assert site.crashes[task] <= deadly.MOST_CRASHES


class TestNeighboursOfADeadlyTask:
    # They start with it on the only worker, each time, and their crashes look
    # like its own.
    def test_lasting_task_crashes_the_only_worker(self):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, delay_ms=1000, run_ms=2000)
        _, [task] = deadly.submit(fleet, lasting=True)
        site.deadly = {task}
        jobs = [deadly.submit(fleet)[0] for _ in range(4)]
        site.play(leader, LONG_MS)
        assert records.State.FAILED not in states(fleet, jobs)


class TestEvidence:
    # Neither the log nor the record told which crashes were held against a
    # task, on which hosts, and whether its starts had arrived there.
    def test_given_up_task_is_logged_with_its_crashes(self, fleet, leader):
        site = deadly.Site(fleet)
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        with logbook.TestHandler() as handler:
            site.play(leader, 1000)
            leader = fleet.elect_leader()
            leader.report_all()
            site.play(leader, LONG_MS)
        [line] = harness.logged(handler, catalogue.TASK_GIVEN_UP)
        assert len(line['evidence']) == site.crashes[task]
        for text in line['evidence']:
            assert '@host-' in text and 'arrived=1' in text

    def test_crash_before_the_answer_to_a_start_has_arrived(
        self, fleet, leader, monkeypatch
    ):
        site = deadly.Site(fleet)
        _, [task] = deadly.submit(fleet)
        with monkeypatch.context() as patch:
            patch.setattr(fleet.client, 'start', close_connection)
            leader.sync_intake()
            leader.run_cycle()
        run = leader.scheduler.find_task(task).run
        site.crash(int(run.worker_state.worker.worker_id.split('-')[1]))
        site.play(leader, 500)
        [row] = leader.scheduler.find_task(task).crashes.evidence
        assert row.arrived


class TestInnocentTasks:
    # The tasks of a crashed worker started again together on the next one,
    # so innocent ones shared each crash.
    @pytest.mark.parametrize('guilty', [1, 2, 5])
    def test_jobs_beside_deadly_tasks_complete(
        self, fleet, site, leader, guilty
    ):
        bad = [deadly.submit(fleet) for _ in range(guilty)]
        good = [deadly.submit(fleet, 6)[0] for _ in range(8)]
        site.deadly = {task for _, [task] in bad}
        for _ in range(30):
            good.append(deadly.submit(fleet, 3)[0])
            site.play(leader, 500)
        site.play(leader, LONG_MS)
        assert max(site.crashes.values()) <= deadly.MOST_CRASHES
        assert states(fleet, good) == {records.State.COMPLETED}
        assert states(fleet, [job for job, _ in bad]) == {records.State.FAILED}

    # A trial began beside a run that crashed the worker only 0.35 s after its
    # start, and the task on trial was blamed for it.
    @pytest.mark.parametrize('delay_ms', [350, 375])
    def test_trial_beside_a_run_that_may_still_crash_the_worker(
        self, delay_ms
    ):
        fleet = harness.Fleet(workers=3)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, delay_ms)
        good = []
        for turn in range(30):
            good.append(deadly.submit(fleet, 3)[0])
            if turn % 4 == 0:
                site.deadly.update(deadly.submit(fleet)[1])
            site.play(leader, 500, cycle_ms=20)
        site.play(leader, 10_000, cycle_ms=20)
        assert max(site.crashes.values()) <= deadly.MOST_CRASHES
        assert records.State.FAILED not in states(fleet, good)

    # A lasting task was counted for each crash of its workers, though it had
    # gone on for seconds, and its job was shown as failed.
    def test_lasting_job_beside_many_deadly_tasks_goes_on(
        self, fleet, site, leader
    ):
        job_id, tasks = deadly.submit(fleet, 4, lasting=True)
        site.lasting = tasks
        site.play(leader, 2000)
        for turn in range(60):
            _, [task] = deadly.submit(fleet)
            site.deadly.add(task)
            site.play(leader, 500)
            if turn % 20 == 10:
                leader = fleet.elect_leader()
                leader.report_all()
        site.play(leader, LONG_MS)
        assert leader.state(job_id) == records.State.RUNNING
        assert set(tasks) <= set(deadly.takeovers.running(fleet))
        assert max(site.crashes.values()) <= deadly.MOST_CRASHES

    # Its job was shown as failed, though tasks that last have no limit.
    @pytest.mark.parametrize('delay_ms', [0, 1000])
    def test_lasting_task_that_crashes_workers_starts_without_pause(
        self, fleet, site, leader, delay_ms
    ):
        job_id, [task] = deadly.submit(fleet, lasting=True)
        site.deadly, site.delay_ms = {task}, delay_ms
        site.play(leader, LONG_MS)
        paused_ms = LONG_MS - sum(site.pauses_ms(task)[: deadly.MOST_CRASHES])
        assert deadly.MOST_CRASHES < site.crashes[task]
        assert site.crashes[task] <= (
            deadly.MOST_CRASHES + 1 + paused_ms // crashes.GUILTY_PAUSE_MS
        )
        assert all(
            pause_ms >= crashes.GUILTY_PAUSE_MS
            for pause_ms in site.pauses_ms(task)[deadly.MOST_CRASHES :]
        )
        assert leader.state(job_id) == records.State.RUNNING

    # All of its other tasks were stopped at once, more than may be away.
    @pytest.mark.parametrize('crash_ms', [300, 1100, 4500])
    def test_lasting_tasks_are_stopped_as_the_worker_of_another_flaps(
        self, fleet, site, leader, crash_ms
    ):
        site.keeps_ids = True
        job_id, tasks = deadly.submit(
            fleet, 8, lasting=True, max_per_worker=1, may_be_away=1
        )
        site.lasting = tasks
        site.play(leader, 2000)
        others = {
            task: runs
            for task, runs in deadly.takeovers.running(fleet).items()
            if runs[0][0] != 'worker-0'
        }
        assert len(others) == 7
        for _ in range(12):
            site.crash(0)
            site.play(leader, deadly.BACK_MS + crash_ms)
        assert leader.state(job_id) == records.State.RUNNING
        found = deadly.takeovers.running(fleet)
        assert {task: found.get(task) for task in others} == others
        site.play(leader, LONG_MS)
        assert set(tasks) <= set(deadly.takeovers.running(fleet))

    # Workers that crash by themselves must not fail a job.
    def test_chance_crashes_fail_no_job(self, fleet, site, leader):
        site.run_ms = None
        job_ids = [deadly.submit(fleet, 5)[0] for _ in range(4)]
        for turn in range(24):
            site.play(leader, 3500)
            site.crash(turn % 8)
        site.run_ms = 800
        site.play(leader, LONG_MS)
        assert states(fleet, job_ids) == {records.State.COMPLETED}

    # One crash on trial may be chance.
    def test_crash_during_a_trial_fails_no_job(self, fleet, site, leader):
        job_id, [task] = deadly.submit(fleet)
        site.deadly = {task}
        while site.crashes[task] < 2:
            site.play(leader, 100)
        site.deadly = set()
        site.play(leader, 10_000)
        assert leader.state(job_id) == records.State.COMPLETED

    # A task that had gone on for longer than deadly ones do was taken for one
    # after three crashes, two of them during its longer trials.
    def test_chance_crashes_of_a_long_run_fail_no_job(self, fleet, leader):
        site = deadly.Site(fleet, run_ms=None)
        job_id, [task] = deadly.submit(fleet)
        site.play(leader, 2000)
        for _ in range(4):
            [(worker_id, _)] = deadly.takeovers.running(fleet)[task]
            site.crash(int(worker_id.split('-')[1]))
            site.play(leader, 2000)
            assert leader.state(job_id) == records.State.RUNNING
        site.run_ms = 800
        site.play(leader, 10_000)
        assert leader.state(job_id) == records.State.COMPLETED

    # Crashes by chance come at any age, those of a task always at the same.
    def test_chance_crashes_of_longer_runs_fail_no_job(self, fleet, leader):
        site = deadly.Site(fleet, run_ms=None)
        job_id, [task] = deadly.submit(fleet)
        site.play(leader, 200)
        for age_ms in (25_000, 18_000, 28_000, 12_000, 20_000, 15_000, 11_000):
            site.play(leader, age_ms)
            [(worker_id, _)] = deadly.takeovers.running(fleet)[task]
            site.crash(int(worker_id.split('-')[1]))
            site.play(leader, 500)
            assert leader.state(job_id) == records.State.RUNNING
        assert leader.scheduler.find_task(task).crashes.count == 1

    # A task was given up after one crash on trial by chance and three that had
    # been put down to others.
    @pytest.mark.parametrize(
        'runs, alone, late, guilty',
        [
            ((1, 2, 3, 4), 1, (), True),
            ((1, 2, 3, 4), 1, (1, 2, 3), False),
            ((1, 2, 3), 2, (1,), False),
            ((1, 2, 3, 4, 5), 0, (1, 2, 3, 4), True),
        ],
    )
    def test_late_crashes_show_less(
        self, fleet, leader, runs, alone, late, guilty
    ):
        _, [name] = deadly.submit(fleet)
        leader.sync_intake()
        task = leader.scheduler.find_task(name)
        task.crashes = records.Crashes(runs, alone, late, 0, rows_of(runs))
        assert crashes.is_guilty(task) == guilty

    # A task that had gone on beside others was given up when a chance crash
    # ended them all.
    def test_late_crash_beside_others_gives_up_no_task(self, fleet, leader):
        site = deadly.Site(fleet, run_ms=None)
        job_id, tasks = deadly.submit(fleet, 16)
        site.play(leader, 1000)
        [(worker_id, _)] = deadly.takeovers.running(fleet)[tasks[0]]
        task = leader.scheduler.find_task(tasks[0])
        task.crashes = records.Crashes((1, 2, 3, 4), longest_ms=5000)
        site.crash(int(worker_id.split('-')[1]))
        site.play(leader, 500)
        assert task.crashes.count == 5
        assert leader.state(job_id) == records.State.RUNNING

    # A move, an upkeep, a drain or a lost host is not the task's doing.
    @pytest.mark.parametrize('how', ['moved', 'lost', 'drained'])
    def test_other_ends_are_not_counted(self, fleet, leader, how):
        site = deadly.Site(fleet, run_ms=None)
        job_id, [task] = deadly.submit(fleet)
        for _ in range(6):
            site.play(leader, 3500)
            [(worker_id, _)] = deadly.takeovers.running(fleet)[task]
            deadly.end_otherwise(fleet, site, worker_id, how)
        site.play(leader, 20_000)
        assert leader.scheduler.find_task(task).crashes.count == 0
        assert task in deadly.takeovers.running(fleet)


class TestWaitingSuspects:
    # A suspect stood still while more urgent ones took each worker.
    @pytest.mark.parametrize(
        'waited_ms, starts',
        [
            (trial_limits.MAX_TRIAL_WAIT_MS, False),
            (trial_limits.MAX_APART_WAIT_MS, True),
        ],
    )
    def test_suspect_waits_only_so_long_for_others(self, waited_ms, starts):
        assert self._starts_beside_another(waited_ms, (1,), ()) == starts

    # A crash that a slow leader sees late was no reason to insist on a trial,
    # so a task could crash five workers before its first trial.
    @pytest.mark.parametrize(
        'runs, late, starts',
        [
            ((1, 2), (), True),
            ((1, 2), (2,), True),
            ((1,), (1, 2, 3), True),
            ((1, 2), (3, 4), False),
            ((1,), (2, 3, 4), False),
            ((), (1, 2, 3), True),
            ((), (1, 2, 3, 4), False),
        ],
    )
    def test_task_with_late_crashes_starts_beside_others_once_more(
        self, runs, late, starts
    ):
        waited_ms = trial_limits.MAX_APART_WAIT_MS
        assert self._starts_beside_another(waited_ms, runs, late) == starts

    def _starts_beside_another(self, waited_ms, runs, late):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        tasks = []
        for numbers, late_numbers in (((1,), ()), (runs, late)):
            _, [name] = deadly.submit(fleet)
            leader.sync_intake()
            task = leader.scheduler.find_task(name)
            task.ready_ms = fleet.clock.now_ms() - waited_ms
            task.crashes = records.Crashes(numbers, 0, late_numbers)
            leader.run_cycle()
            tasks.append(name)
        assert tasks[0] in harness.running(fleet)
        return tasks[1] in harness.running(fleet)

"""Tests of the choice of workers for trials."""

import dataclasses

import pytest

from figtray.jobs import records
from figtray.scheduling.tests import deadly
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers

WORKER_MILLI = 8000


def play_suspect(site, leader, names):
    """Stop tasks that run, the first of which is suspected from now on."""
    site.play(leader, 200)
    tasks = [leader.scheduler.find_task(name) for name in names]
    tasks[0].crashes = records.Crashes((1, 2, 3))
    for task in tasks:
        leader.scheduler.stop(task.run, 'a test')
    site.play(leader, 4000)


class TestTasksOfAFlappingWorker:
    # Time from the return of the worker to calm, and until each of its tasks
    # has to run.
    CALM_MS = 3000 + 4000
    MISSING_MS = 3000

    # Their trials, on the only worker that they may use, came one after
    # another, so that the last of them waited for 50 s.
    @pytest.mark.parametrize('crashes', range(1, 9))
    def test_lasting_tasks_wait_for_the_trials_of_one_another(self, crashes):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, run_ms=None)
        site.keeps_ids = True
        _, tasks = deadly.submit(fleet, 6, cpu_milli=1000, lasting=True)
        site.lasting = tasks
        for _ in range(crashes):
            site.play(leader, 5000)
            site.crash(0)
            site.play(leader, deadly.BACK_MS)
        site.play(leader, self.CALM_MS)
        missing = set(tasks)
        for _ in range(self.MISSING_MS // takeovers.CYCLE_MS):
            site.play(leader, takeovers.CYCLE_MS)
            missing -= set(takeovers.running(fleet))
        assert not missing


class TestTrialWorker:
    # The worker with the fewest runs was awaited, however full it was.
    def test_trial_awaits_a_full_worker_though_another_has_room(self):
        fleet = harness.Fleet(workers=2)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, run_ms=None)
        deadly.submit(fleet, cpu_milli=WORKER_MILLI, lasting=True)
        site.play(leader, 400)
        deadly.submit(fleet, 2, cpu_milli=1000, lasting=True)
        site.play(leader, 400)
        _, [task] = deadly.submit(fleet, cpu_milli=2000, lasting=True)
        play_suspect(site, leader, [task])
        assert task in takeovers.running(fleet)

    # The only worker was kept free for a member whose gang could never be
    # placed beside it.
    def test_trial_of_a_gang_keeps_the_only_worker_for_good(self):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet)
        gang, tasks = deadly.submit(fleet, 2, gang=True)
        play_suspect(site, leader, tasks)
        other, _ = deadly.submit(fleet, 3)
        site.play(leader, 10_000)
        assert leader.state(gang) == records.State.COMPLETED
        assert leader.state(other) == records.State.COMPLETED

    # Only the member on trial was counted, though the crash may be the doing
    # of the others that share its worker.
    def test_crash_counts_for_all_of_a_gang_on_a_worker(self):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet)
        _, tasks = deadly.submit(fleet, 2, gang=True)
        site.gang = tasks
        site.deadly = {tasks[1]}
        leader.sync_intake()
        members = [leader.scheduler.find_task(name) for name in tasks]
        members[0].crashes = records.Crashes((1,))
        site.play_to_crash(leader, tasks[1])
        site.play(leader, 200)
        assert [task.crashes.count for task in members] == [2, 1]

    # A gang without room for all members keeps no worker from others.
    def test_trial_of_a_gang_without_room_keeps_a_worker(self):
        fleet = harness.Fleet(workers=2)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet)
        _, tasks = deadly.submit(fleet, 2, gang=True, cpu_milli=WORKER_MILLI)
        site.play(leader, 200)
        fleet.resize(1, cpu_milli=4000)
        play_suspect(site, leader, tasks)
        other, _ = deadly.submit(fleet, cpu_milli=6000)
        site.play(leader, 10_000)
        assert leader.state(other) == records.State.COMPLETED


class TestTrialBesideOthers:
    # A trial began beside a lasting run that had just started, and the task on
    # trial was blamed for a crash that was the other's doing.
    def test_trial_awaits_that_a_lasting_run_has_gone_on(self):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, run_ms=None)
        site.lasting = deadly.submit(fleet, lasting=True)[1]
        _, [task] = deadly.submit(fleet)
        leader.sync_intake()
        leader.scheduler.find_task(task).crashes = records.Crashes((1,))
        site.play(leader, 250)
        assert site.lasting[0] in takeovers.running(fleet)
        assert task not in takeovers.running(fleet)
        site.play(leader, 750)
        assert task in takeovers.running(fleet)

    # A crash was put down to the task on trial alone, so one that crashes its
    # workers late was not counted when another was on trial there.
    def test_late_crash_beside_a_trial_is_noted(self):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, delay_ms=1000, run_ms=None)
        _, [late] = deadly.submit(fleet, lasting=True)
        site.deadly = {late}
        site.play(leader, 200)
        _, [task] = deadly.submit(fleet)
        leader.sync_intake()
        leader.scheduler.find_task(task).crashes = records.Crashes(
            (1,), late=(1,)
        )
        site.play_to_crash(leader, late)
        site.play(leader, 200)
        crashes = [leader.scheduler.find_task(t).crashes for t in (task, late)]
        assert [item.count for item in crashes] == [2, 0]
        assert [len(item.late) for item in crashes] == [1, 1]


class TestTrialAfterAChangeOfLeader:
    # The next leader started others beside a task on trial, and put its crash
    # down to them.
    def test_trial_goes_on(self):
        fleet = harness.Fleet(workers=1)
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, run_ms=None)
        _, [task] = deadly.submit(fleet)
        leader.sync_intake()
        leader.scheduler.find_task(task).crashes = records.Crashes(
            (1, 2, 3), late=(1,), longest_ms=2600
        )
        site.play(leader, 500)
        leader = fleet.elect_leader()
        leader.report_all()
        _, [other] = deadly.submit(fleet)
        site.play(leader, 1000)
        assert set(takeovers.running(fleet)) == {task}
        site.play(leader, 3000)
        assert set(takeovers.running(fleet)) == {task, other}


class TestTurn:
    # A lasting task runs again within this time.
    RESTART_MS = 7000
    SUSPECTED = records.Crashes((1, 2, 3))

    @pytest.fixture(params=[1, 2, 3, 5])
    def fleet(self, request):
        """Fleet whose queue `other` goes first."""
        cfg = harness.make_config()
        cfg.queues['q'] = dataclasses.replace(cfg.queues['q'], priority=1)
        return harness.Fleet(request.param, cfg)

    def play_stream(self, fleet, lasting):
        """Let suspects come all the time; return when a lasting one runs.

        Args:
            fleet: the Fleet.
            lasting: whether the suspect that is looked at is to last.

        Returns:
            The time in milliseconds that it waited; None if it doesn't run.
        """
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, run_ms=600)
        _, [task] = deadly.submit(fleet, lasting=lasting)
        site.lasting = [task]
        leader.sync_intake()
        for waiting in leader.scheduler._unfinished_tasks():
            waiting.crashes = self.SUSPECTED
        for cycle in range(3 * self.RESTART_MS // takeovers.CYCLE_MS):
            for _ in fleet.hosts:
                job_id = fleet.submit(harness.make_step(1), queue='other')
                leader.sync_intake()
                other = leader.scheduler.find_task(f'{job_id}.0.0.0')
                other.crashes = self.SUSPECTED
            site.play(leader, takeovers.CYCLE_MS)
            if task in takeovers.running(fleet):
                return cycle * takeovers.CYCLE_MS
        return None

    # A lasting task waited for its trial as long as other suspects came whose
    # queue goes first.
    @pytest.mark.parametrize('lasting', [True, False])
    def test_suspects_of_another_queue_take_each_trial(self, fleet, lasting):
        waited_ms = self.play_stream(fleet, lasting)
        assert waited_ms is not None and waited_ms <= self.RESTART_MS

    # The oldest one suited no worker, and none was kept free for the others.
    def test_task_that_suits_no_worker_is_in_front(self, fleet):
        fleet.submit(harness.make_step(1, lasting=True, label='kind=none'))
        waited_ms = self.play_stream(fleet, True)
        assert waited_ms is not None and waited_ms <= self.RESTART_MS

    # A suspect of a team at its limit kept a worker free, and no other one
    # was left for trials.
    def test_worker_is_kept_for_a_team_at_its_limit(self):
        fleet = harness.Fleet(
            2, harness.make_config(limit_milli=2500, more_teams=['u'])
        )
        leader = fleet.elect_leader()
        leader.report_all()
        site = deadly.Site(fleet, run_ms=2000)
        for cpu_milli in (WORKER_MILLI, WORKER_MILLI - 1000):
            fleet.submit(harness.make_step(1, cpu_milli), team='u')
        site.play(leader, 200)
        _, [limited] = deadly.submit(fleet, cpu_milli=2000)
        leader.sync_intake()
        leader.scheduler.find_task(limited).crashes = self.SUSPECTED
        site.play(leader, 200)
        _, [other] = deadly.submit(fleet, lasting=True)
        site.play(leader, 200)
        job_id = fleet.submit(harness.make_step(lasting=True), team='u')
        site.lasting = [other, f'{job_id}.0.0.0']
        leader.sync_intake()
        suspect = leader.scheduler.find_task(f'{job_id}.0.0.0')
        suspect.crashes = self.SUSPECTED
        site.play(leader, self.RESTART_MS)
        assert {other, suspect.name} <= set(takeovers.running(fleet))

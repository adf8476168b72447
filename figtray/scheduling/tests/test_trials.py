"""Tests of the choice of workers for trials."""

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

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

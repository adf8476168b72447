"""Tests of the tasks that wait again after a run or a refused start."""

from figtray.fleet import messages
from figtray.jobs import queues
from figtray.scheduling.tests import harness


def without_queue(cfg, name):
    """Return a later Config that lacks a queue."""
    return queues.Config(
        cfg.version + 1,
        [queue for queue in cfg.queues.values() if queue.name != name],
        list(cfg.pools.values()),
        list(cfg.teams.values()),
    )


class TestRemovedQueue:
    # The number of attempts was read from a queue that the leader had never
    # seen; the error lost the task between its run and its queue.
    def test_failed_task_of_a_removed_queue_is_lost(self):
        fleet = harness.Fleet(1)
        leader = fleet.elect_leader()
        leader.report_all()
        job_id = fleet.submit(harness.make_step(), queue='other')
        leader.run_cycle()
        cfg = fleet.cfg
        fleet.cfg = without_queue(cfg, 'other')
        leader = fleet.elect_leader()
        leader.report_all()
        task = f'{job_id}.0.0.0'
        fleet.sim(0).end(task, messages.EndReason.FAILED)
        leader.report(0)
        leader.scheduler.configure(cfg, frozenset())
        leader.run_cycle()
        assert task in fleet.sim(0).runs

"""Tests of accepted jobs whose queue, team or pool is removed or changed."""

import dataclasses

import pytest

from figtray.fleet import messages
from figtray.jobs import model
from figtray.jobs import policies
from figtray.jobs import queues
from figtray.jobs import records
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import takeovers
from figtray.store import base

SECOND_POOL_WORKER = 3
# What happens to accepted work must not depend on who leads.
EACH_LEADER = pytest.mark.parametrize('succeeds', [False, True])


def change(cfg, queue_fields=None, team_fields=None, pools=None):
    """Return the next version of a Config.

    Args:
        cfg: the Config.
        queue_fields: fields of the queue `other` that change; None removes it.
        team_fields: fields of the team `t` that change; None removes it.
        pools: names of the pools; None for those of before.
    """
    kept = [queue for queue in cfg.queues.values() if queue.name != 'other']
    if queue_fields is not None:
        kept.append(dataclasses.replace(cfg.queues['other'], **queue_fields))
    teams = [team for team in cfg.teams.values() if team.name != 't']
    if team_fields is not None:
        teams.append(dataclasses.replace(cfg.teams['t'], **team_fields))
    if pools is None:
        pools = [*cfg.pools, 'second']
    return queues.Config(
        cfg.version + 1, kept, [queues.Pool(name) for name in pools], teams
    )


class Site:
    """A fleet with a worker in a second pool, and its leader."""

    def __init__(self, **fields):
        self.fleet = harness.Fleet(cfg=harness.make_config(**fields))
        self.fleet.add_worker(SECOND_POOL_WORKER, pool='second')
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()

    def submit(self, *steps, **fields):
        job_id = self.fleet.submit(*steps, queue='other', **fields)
        self.leader.sync_intake()
        return job_id

    def configure(self, **changes):
        """Put the next version of the configuration in force."""
        self.fleet.cfg = change(self.fleet.cfg, **changes)
        self.leader.scheduler.configure(self.fleet.cfg, ())
        self.leader.flush()

    def remove_queue(self, **changes):
        self.configure(**({'team_fields': {}} | changes))

    def go_on(self, succeeds):
        """Let the leader go on, or the next one take over."""
        if succeeds:
            self.leader = self.fleet.elect_leader()
            self.leader.report_all()
        self.leader.run_cycle()

    def running(self):
        return takeovers.running(self.fleet)

    def fail(self, task):
        harness.finish(self.fleet, task, messages.EndReason.FAILED)
        self.leader.run_cycle()
        self.leader.run_cycle()


@pytest.fixture
def site():
    return Site()


@EACH_LEADER
class TestRemovedQueue:
    def test_waiting_job_never_runs(self, site, succeeds):
        job_id = site.submit(harness.make_step(2))
        site.remove_queue()
        site.go_on(succeeds)
        assert set(site.running()) == {f'{job_id}.0.0.0', f'{job_id}.0.0.1'}
        for task in list(site.running()):
            harness.finish(site.fleet, task)
        site.leader.run_cycle()
        assert site.leader.state(job_id) == records.State.COMPLETED

    def test_next_step_never_runs(self, site, succeeds):
        job_id = site.submit(
            harness.make_step(), harness.make_step(after=(0,))
        )
        site.leader.run_cycle()
        site.remove_queue()
        site.go_on(succeeds)
        harness.finish(site.fleet, f'{job_id}.0.0.0')
        site.leader.run_cycle()
        site.leader.run_cycle()
        assert set(site.running()) == {f'{job_id}.0.1.0'}

    def test_later_occurrence_never_runs(self, site, succeeds):
        start_ms = site.fleet.clock.wall_ms() + 5000
        job_id = site.submit(
            harness.make_step(), repeats=2, start_ms=start_ms, interval_ms=1000
        )
        site.remove_queue()
        site.go_on(succeeds)
        site.leader.advance(5000)
        site.leader.run_cycle()
        assert set(site.running()) == {f'{job_id}.0.0.0'}
        site.leader.advance(1000)
        site.leader.run_cycle()
        assert f'{job_id}.1.0.0' in site.running()

    def test_lasting_task_is_not_started_again(self, site, succeeds):
        job_id = site.submit(harness.make_step(lasting=True))
        site.leader.run_cycle()
        site.remove_queue()
        site.go_on(succeeds)
        assert set(site.running()) == {f'{job_id}.0.0.0'}
        site.fail(f'{job_id}.0.0.0')
        assert set(site.running()) == {f'{job_id}.0.0.0'}

    # The last configuration that had the queue sent it to another pool than
    # that of the acceptance.
    def test_job_runs_in_a_former_pool(self, site, succeeds):
        job_id = site.submit(harness.make_step())
        site.configure(queue_fields={'pool': 'second'}, team_fields={})
        site.remove_queue()
        site.go_on(succeeds)
        [(worker_id, _)] = site.running()[f'{job_id}.0.0.0']
        assert worker_id == f'worker-{SECOND_POOL_WORKER}'

    # A node that has not seen the removal yet accepts a job.
    def test_job_accepted_after_the_removal_never_runs(self, site, succeeds):
        policy = policies.of_queue(site.fleet.cfg, 'other')
        site.remove_queue()
        job_id = site.submit(harness.make_step(), queue_policy=policy)
        site.go_on(succeeds)
        assert set(site.running()) == {f'{job_id}.0.0.0'}

    # Its job went on for ever, or was given up after another number.
    def test_attempts_are_forgotten(self, site, succeeds):
        job_id = site.submit(harness.make_step())
        site.leader.run_cycle()
        site.configure(queue_fields={'attempts': 2}, team_fields={})
        site.remove_queue()
        site.fail(f'{job_id}.0.0.0')
        site.go_on(succeeds)
        assert set(site.running()) == {f'{job_id}.0.0.0'}
        site.fail(f'{job_id}.0.0.0')
        assert site.leader.state(job_id) == records.State.FAILED

    # A start without a ticket is refused.
    def test_advice_is_forgotten(self, site, succeeds):
        site.configure(
            queue_fields={'advice': queues.AdvicePolicy(10, 1, 3000)},
            team_fields={},
        )
        job_id = site.submit(harness.make_step())
        site.remove_queue()
        site.go_on(succeeds)
        step, _ = site.leader.scheduler.next_advice_request()
        assert step.name == f'{job_id}.0.0'
        assert not site.running()

    # Earlier releases store no policies with a job.
    def test_job_of_an_earlier_release_never_runs(self, site, succeeds):
        site.submit(harness.make_step(), queue_policy=None, team_policy=None)
        site.leader.flush()
        site.remove_queue()
        site.go_on(succeeds)
        assert len(site.running()) == 1

    # Nothing can run; the job has to wait, and to run once the pool is back.
    def test_job_of_a_removed_pool_is_lost(self, site, succeeds):
        job_id = site.submit(harness.make_step())
        former = site.fleet.cfg
        workers = dict(site.fleet.workers)
        site.fleet.workers.clear()
        site.leader.sync_workers()
        site.remove_queue(pools=['second'])
        site.go_on(succeeds)
        assert not site.running()
        assert site.leader.state(job_id) == records.State.QUEUED
        site.fleet.cfg = queues.Config(
            9,
            former.queues.values(),
            former.pools.values(),
            former.teams.values(),
        )
        site.fleet.workers.update(workers)
        site.leader.scheduler.configure(site.fleet.cfg, ())
        site.leader.sync_workers()
        site.leader.report_all()
        site.leader.run_cycle()
        assert set(site.running()) == {f'{job_id}.0.0.0'}

    def test_cancelled_job_runs(self, site, succeeds):
        job_id = site.submit(harness.make_step())
        site.remove_queue()
        site.fleet.intake.cancel(job_id, 't')
        site.go_on(succeeds)
        assert not site.running()
        assert site.leader.state(job_id) == records.State.CANCELLED

    # The queue is back, and sent to another pool.
    def test_queue_that_returns_has_its_former_pool(self, site, succeeds):
        job_id = site.submit(harness.make_step())
        former = site.fleet.cfg.queues['other']
        site.remove_queue()
        cfg = site.fleet.cfg
        site.fleet.cfg = queues.Config(
            cfg.version + 1,
            [
                *cfg.queues.values(),
                dataclasses.replace(former, pool='second'),
            ],
            cfg.pools.values(),
            cfg.teams.values(),
        )
        site.leader.scheduler.configure(site.fleet.cfg, ())
        site.go_on(succeeds)
        [(worker_id, _)] = site.running()[f'{job_id}.0.0.0']
        assert worker_id == f'worker-{SECOND_POOL_WORKER}'


@EACH_LEADER
class TestChangedQueue:
    # The next leader failed such a job at once, and a leader that went on
    # started its task again.
    def test_job_that_has_failed_by_now_goes_on(self, site, succeeds):
        job_id = site.submit(harness.make_step())
        site.leader.run_cycle()
        site.fail(f'{job_id}.0.0.0')
        site.configure(queue_fields={'attempts': 1}, team_fields={})
        site.go_on(succeeds)
        assert site.leader.state(job_id) == records.State.FAILED

    # The jobs were accepted by different configurations.
    def test_jobs_run_in_different_pools(self, site, succeeds):
        first = site.submit(harness.make_step())
        site.configure(queue_fields={'pool': 'second'}, team_fields={})
        later = site.submit(harness.make_step())
        site.remove_queue()
        # The last leader has not stored what it knew.
        site.fleet.store.remove([records.POLICIES_KEY])
        site.go_on(succeeds)
        places = {
            site.running()[f'{job_id}.0.0.0'][0][0]
            for job_id in (first, later)
        }
        assert places == {f'worker-{SECOND_POOL_WORKER}'}

    # Its tasks would be away while they start in the other pool.
    def test_run_in_the_former_pool_is_stopped(self, site, succeeds):
        job_id = site.submit(harness.make_step(lasting=True))
        site.leader.run_cycle()
        before = site.running()
        site.configure(queue_fields={'pool': 'second'}, team_fields={})
        site.go_on(succeeds)
        assert site.running() == before
        site.fail(f'{job_id}.0.0.0')
        [(worker_id, _)] = site.running()[f'{job_id}.0.0.0']
        assert worker_id == f'worker-{SECOND_POOL_WORKER}'


@EACH_LEADER
class TestChangedTeam:
    def test_runs_over_a_lower_limit_are_stopped(self, succeeds):
        site = Site(limit_milli=3000)
        job_id = site.submit(harness.make_step(6))
        site.leader.run_cycle()
        before = site.running()
        site.configure(
            queue_fields={},
            team_fields={'limit': model.Resources(2000, 0, 0)},
        )
        site.go_on(succeeds)
        assert site.running() == before
        for index in range(2):
            harness.finish(site.fleet, f'{job_id}.0.0.{index}')
            site.leader.run_cycle()
            site.leader.run_cycle()
        assert len(site.running()) == 2


@EACH_LEADER
class TestRemovedTeam:
    # The limit went with the team, so its jobs ran without any.
    @pytest.mark.parametrize(('limit', 'count'), [(None, 2), (3000, 3)])
    def test_jobs_run_without_a_limit(self, succeeds, limit, count):
        site = Site(limit_milli=2000)
        site.submit(harness.make_step(6))
        if limit:
            site.configure(
                queue_fields={},
                team_fields={'limit': model.Resources(limit, 0, 0)},
            )
        site.configure(queue_fields={})
        site.go_on(succeeds)
        site.leader.run_cycle()
        assert len(site.running()) == count


class TestStoredPolicies:
    def stored(self, site):
        item = site.fleet.store.get(records.POLICIES_KEY)
        return records.decode_last_policies(item.value) if item else None

    # Each change of a configuration would cost a write.
    def test_policies_that_jobs_carry_are_stored(self, site):
        site.submit(harness.make_step())
        site.configure(queue_fields={'timeout_ms': 1}, team_fields={})
        site.remove_queue()
        assert self.stored(site) is None

    def test_policies_of_ended_jobs_stay(self, site):
        job_id = site.submit(harness.make_step())
        site.configure(queue_fields={'pool': 'second'}, team_fields={})
        assert set(self.stored(site).queues) == {'other'}
        site.fleet.intake.cancel(job_id, 't')
        site.leader.run_cycle()
        site.remove_queue()
        assert self.stored(site) == records.LastPolicies()
        assert 'other' not in site.leader.scheduler._cfg.queues

    # A takeover that is tried again gets a new configuration before it has
    # read all jobs.
    def test_record_is_written_over_before_all_jobs_are_known(self, site):
        site.submit(harness.make_step())
        site.configure(queue_fields={'pool': 'second'}, team_fields={})
        before = self.stored(site)
        leader = site.leader
        leader.scheduler.loaded.clear()
        leader.scheduler.drop_job(f'{1:016x}')
        site.remove_queue()
        assert self.stored(site) == before

    # The next leader may have a newer configuration, and an older record.
    def test_older_record_replaces_newer_policies(self, site):
        policy = model.QueuePolicy(version=7, pool='second')
        site.remove_queue()
        job_id = site.submit(harness.make_step(), queue_policy=policy)
        site.leader.scheduler.begin_policies(
            records.LastPolicies({'other': model.QueuePolicy(6, 'main')})
        )
        site.leader.run_cycle()
        [(worker_id, _)] = site.running()[f'{job_id}.0.0.0']
        assert worker_id == f'worker-{SECOND_POOL_WORKER}'

    # Jobs carry the policies of their acceptance.
    @pytest.mark.parametrize('data', [b'{}', b'odd', b'{"queues":{"x":7}}'])
    def test_odd_record_holds_jobs_up(self, site, data):
        job_id = site.submit(harness.make_step())
        site.remove_queue()
        put = base.Put(records.POLICIES_KEY, data)
        site.fleet.store.txn([], [put])
        site.go_on(True)
        assert set(site.running()) == {f'{job_id}.0.0.0'}

    # The next leader has to write over the record of the last one.
    def test_record_is_not_written_by_the_next_leader(self, site):
        site.submit(harness.make_step())
        site.configure(queue_fields={'pool': 'second'}, team_fields={})
        site.leader = site.fleet.elect_leader()
        site.configure(queue_fields={'pool': 'spare'}, team_fields={})
        assert self.stored(site).queues['other'].pool == 'spare'


class TestWaitingCounts:
    # Callers of a queue with a new name were told that nothing waits.
    def test_jobs_count_for_no_queue_after_a_renaming(self, site):
        fields = {'host': 'h', 'prefix': '/o/'}
        site.submit(harness.make_step(), **fields)
        assert site.leader.scheduler.waiting_jobs().counts == {'other': 1}
        site.configure(queue_fields={'name': 'new'}, team_fields={})
        assert site.leader.scheduler.waiting_jobs().counts == {'new': 1}

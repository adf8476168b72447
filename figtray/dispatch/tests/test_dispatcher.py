"""Tests of the dispatcher in single situations."""

import copy

from figtray.dispatch.tests import harness
from figtray.queues import queueset
from figtray import verdict as verdict_lib

REASON = verdict_lib.RefusalReason


def make_cell(specs=None):
    """Return a Cell that serves, with a log of (host, body) of starts."""
    starts = []
    cell = harness.Cell(
        lambda host, e: starts.append((host, e.start.body)),
        lambda host, e: None,
        specs,
    )
    cell.housekeep()
    return cell, starts


def end_all(cell, answer):
    """Bring every attempt to its worker and end it with an answer."""
    for run in list(cell.executor.runs):
        run.answer = answer
        cell.run(run)


def submit(cell, queue='plain', body=b'x', **fields):
    """Submit a request of team t1 and look at the queues."""
    task = cell.submit(queue, 'k1', body, **fields)
    cell.housekeep()
    return task


class TestOutcomes:
    def test_failed_answer_is_kept_when_the_retry_is_refused(self):
        """Guards against "not run" for a task that ran and failed."""
        cell, starts = make_cell()
        task = submit(cell, idempotent=True)
        end_all(cell, (500, b''))
        cell.dispatcher.cancel(task)
        assert len(starts) == 1
        assert task.fut.result(0) == verdict_lib.Answered(500, b'')

    def test_only_the_first_outcome_counts(self):
        """Guards against a caller that is told two outcomes."""
        cell, _ = make_cell()
        task = submit(cell)
        refusal = verdict_lib.NotRun(REASON.CANCELLED)
        assert task.finish(refusal)
        assert not task.finish(verdict_lib.Answered(200, b''))
        assert task.fut.result(0) == refusal

    def test_waiting_requests_are_refused_with_their_key_or_queue(self):
        """Guards against callers that wait for what can't start."""
        cell, _ = make_cell()
        tasks = [submit(cell, queue) for queue in 9 * ['plain'] + 2 * ['ord']]
        cell.change({'queues': {'ord': None}})
        assert tasks[-1].fut.result(0).reason is REASON.UNKNOWN_QUEUE
        key = {**harness.SPECS['keys']['k1'], 'withdrawn': True}
        cell.change({'keys': {'k1': key}})
        assert tasks[-3].fut.result(0).reason is REASON.KEY_REFUSED

    def test_late_retry_is_refused_at_its_deadline(self):
        """Guards against an answer that is later than the deadline."""
        cell, _ = make_cell()
        for address in cell.addresses.values():
            cell.client.faults(address).down = True
        tasks = [submit(cell, left_ms=10) for _ in range(4)]
        end_all(cell, None)
        cell.clock.advance(10)
        cell.housekeep()
        assert all(task.done for task in tasks)

    def test_delayed_retry_is_cancelled_at_once(self):
        """Guards against a cancelled request that waits out its delay."""
        cell, _ = make_cell()
        cell.client.faults(cell.addresses['h1']).down = True
        cell.client.faults(cell.addresses['h2']).down = True
        cell.client.faults(cell.addresses['h3']).down = True
        tasks = [submit(cell) for _ in range(4)]
        end_all(cell, None)
        assert not any(task.done for task in tasks)
        cell.dispatcher.cancel(tasks[0])
        cell.dispatcher.drop_key('k1')
        reasons = [task.fut.result(0).reason for task in tasks]
        assert reasons == [REASON.CANCELLED] + 3 * [REASON.KEY_REFUSED]

    def test_delayed_retry_is_refused_at_a_stop(self):
        """Guards against a request without outcome after a stop."""
        cell, _ = make_cell()
        for address in cell.addresses.values():
            cell.client.faults(address).down = True
        task = submit(cell)
        end_all(cell, None)
        cell.dispatcher.refuse_all(REASON.DRAINING)
        assert task.fut.result(0).reason is REASON.DRAINING

    def test_key_works_again_when_its_withdrawal_is_undone(self):
        """Guards against an entry that refuses a valid key for ever."""
        cell, starts = make_cell()
        key = harness.SPECS['keys']['k1']
        cell.change({'keys': {'k1': {**key, 'withdrawn': True}}})
        cell.change({'keys': {'k1': key}})
        submit(cell)
        cell.run_all()
        assert len(starts) == 1


class TestOrderedQueue:
    def test_next_request_waits_for_a_doubtful_attempt(self):
        """Guards against two tasks of an ordered queue at once."""
        cell, starts = make_cell()
        first = submit(cell, 'ord', b'1')
        submit(cell, 'ord', b'2')
        end_all(cell, (0, b''))
        assert isinstance(first.fut.result(0), verdict_lib.MayHaveRun)
        cell.run_all()
        assert [body for _, body in starts] == [b'1']
        worker = cell.workers[starts[0][0]]
        worker.stop(first.task_id)
        cell.pass_time(6_000)
        cell.run_all()
        assert [body for _, body in starts] == [b'1', b'2']


class TestDemand:
    def test_queue_that_moves_takes_its_demand_along(self):
        """Guards against demand of a pool that has no requests."""
        cell, _ = make_cell()
        for _ in range(9):
            submit(cell)
        queue = {**harness.SPECS['queues']['plain'], 'pool': 'q'}
        cell.change({'queues': {'plain': queue}})
        cell.run_all()
        cell.pass_time(1_000)
        cell.run_all()
        assert not cell.view.peek().pools

    def test_start_during_the_submission_is_counted(self):
        """Guards against demand that stays when another thread is faster."""
        cell, starts = make_cell()
        add = cell.queues.add

        def add_and_start(queued, slots):
            refusal = add(queued, slots)
            cell.run_all()
            return refusal

        cell.queues.add = add_and_start
        submit(cell)
        assert starts and not cell.view.peek().pools

    def test_request_that_finds_no_second_host_is_counted_once(self):
        """Guards against demand that grows with each search for a host."""
        specs = copy.deepcopy(harness.SPECS)
        for host in ('h1', 'h3'):
            specs['hosts'][host]['state'] = 'draining'
        cell, _ = make_cell(specs)
        task = submit(cell, idempotent=True)
        end_all(cell, (500, b''))
        task.failed_hosts = ('h2',)
        cell.selector.pick = lambda pool, excluded=(), pick=(
            cell.selector.pick
        ): (None if excluded or task.attempts > 1 else pick(pool))
        cell.pass_time(1_000)
        cell.dispatcher.refuse_all(REASON.DRAINING)
        end_all(cell, None)
        assert not cell.view.peek().pools


class TestStartChecks:
    def test_host_that_is_leaving_since_it_was_chosen(self):
        """Guards against a start on a host known to leave."""
        cell, starts = make_cell()
        submit(cell)
        run = cell.executor.runs[0]
        cell.run(run, 'connected')
        cell.host_list({'h1', 'h2', 'h3'})
        cell.run(run)
        assert not starts

    def test_start_that_was_frozen_beyond_its_deadline(self):
        """Guards against a task that starts after its deadline."""
        cell, starts = make_cell()
        submit(cell, left_ms=700)
        run = cell.executor.runs[0]
        cell.run(run, 'checked')
        cell.clock.advance(1_000)
        cell.run(run)
        assert not starts

    def test_host_that_was_moved_since_it_was_chosen(self):
        """Guards against a start on a host of another pool."""
        cell, starts = make_cell()
        submit(cell)
        run = cell.executor.runs[0]
        cell.run(run, 'connected')
        for host in ('h1', 'h2', 'h3'):
            data = {**harness.SPECS['hosts'][host], 'pool': 'q'}
            cell.change({'hosts': {host: data}})
        cell.run(run)
        assert not starts

    def test_host_is_given_back_when_the_request_is_gone(self):
        """Guards against a host that stays in use without an attempt."""
        cell, _ = make_cell()
        cell.queues.take = lambda *args: None
        submit(cell)
        hosts = cell.selector.describe().values()
        assert not any(host['in_flight'] for host in hosts)


class TestDoubtfulPermits:
    def test_report_of_a_past_time_releases_no_permit(self):
        """Guards against a start above the limit after a lost answer."""
        cell, starts = make_cell()
        cell.client.faults('127.0.0.1:1').delay_sends = 1
        for host in ('h2', 'h3'):
            cell.workers[host].refuse = 'busy'
        submit(cell)
        cell.run_all()
        cell.workers['h1'].set_report_lag(1_500)
        cell.pass_time(2_250)
        cell.client.deliver()
        cell.pass_time(1_000)
        assert len(starts) == 1
        assert cell.in_use()['t1'] == 1


class TestContainment:
    def test_worker_that_fails_every_task(self):
        """Guards against a broken worker that draws in all work."""
        cell, starts = make_cell()
        submit(cell)
        cell.run_all()
        broken = starts[0][0]
        cell.workers[broken].fail_all = True
        for number in range(200):
            submit(cell, body=b'%d' % number)
            cell.run_all()
        assert sum(host == broken for host, _ in starts) == 1 + 5
        assert cell.health.quarantined('p') == [broken]

    def test_job_that_can_never_run(self):
        """Guards against workers that are blamed for a bad job."""
        cell, starts = make_cell()
        tasks = []
        for number in range(60):
            tasks.append(submit(cell, body=b'bad', idempotent=True))
            while cell.executor.runs:
                end_all(cell, (500, b''))
                cell.pass_time(1_000)
        assert all(task.fut.result(0).status == 500 for task in tasks)
        assert len(starts) <= 60 + 2
        assert cell.health.quarantined('p') == []


class TestQueueSetHold:
    def test_dropped_queue_keeps_its_hold(self):
        """Guards against an error when a doubtful attempt ends late."""
        cell, _ = make_cell()
        submit(cell, 'ord', b'1')
        end_all(cell, (0, b''))
        cell.change({'queues': {'ord': None}})
        cell.pass_time(12_000)
        assert isinstance(cell.queues, queueset.QueueSet)
        assert cell.in_use()['t1'] == 0

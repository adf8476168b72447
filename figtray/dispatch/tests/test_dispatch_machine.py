"""Stateful test of one entry's dispatch against its workers' starts."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from figtray.dispatch.tests import harness
from figtray.peers import serving
from figtray import verdict as verdict_lib

# The loop looks at deadlines at least this often in the machine.
STEP_MS = 250


class Submitted:
    """What the oracle knows of one request."""

    def __init__(self, number, queue, key_id, fields):
        self.number = number
        self.queue = queue
        self.key_id = key_id
        self.team = harness.KEYS.get(key_id, 't1')
        self.urgent = fields['urgent']
        self.idempotent = fields['idempotent']
        self.deadline_ms = 0
        self.task = None
        self.starts = 0
        self.outcomes = []
        self.never = False

    @property
    def lane(self):
        return self.queue, self.team, self.urgent


class Oracle:
    """Log of starts and ends at the workers and of what callers heard."""

    def __init__(self):
        self.requests = {}
        self.by_body = {}
        self.running = {}
        # Condition that forbids starts -> (step, time) since which it holds.
        self.forbidden = {}
        # Attempt id -> step of its check.
        self.checked = {}
        self.steps = itertools.count()
        self.faults = []
        self.lost_ms = None
        self.now_ms = lambda: 0

    def forbid(self, *condition):
        since = next(self.steps), self.now_ms()
        self.forbidden.setdefault(condition, since)

    def allow(self, *condition):
        self.forbidden.pop(condition, None)

    def claim(self, holds, fault):
        """Note a fault; code under test would swallow an AssertionError."""
        if not holds:
            self.faults.append(fault)

    def started(self, host, execution):
        start = execution.start
        req = self.by_body[start.body]
        now_ms = self.now_ms()
        req.starts += 1
        claim = self.claim
        claim(req.idempotent or req.starts == 1, 'started twice')
        claim(not req.never, 'started after it was cancelled in the queue')
        claim(now_ms < req.deadline_ms, 'started after its deadline')
        if self.lost_ms is not None:
            limit_ms = self.lost_ms + serving.FRESHNESS_MS
            claim(now_ms < limit_ms, 'started without serving right')
        told = [type(v) for v in req.outcomes]
        claim(verdict_lib.NotRun not in told, 'started after not run')
        conditions = (
            ('key', req.key_id),
            ('host', host),
            ('zone', harness.HOSTS[host][0]),
            ('queue', req.queue),
            ('leaving', host),
        )
        checked_at = self.checked[start.attempt_id]
        for condition in conditions:
            if condition not in self.forbidden:
                continue
            since, since_ms = self.forbidden[condition]
            # Only what was checked before may still start, and not for long.
            claim(checked_at < since, f'started against {condition} in force')
            claim(now_ms < since_ms + serving.FRESHNESS_MS, condition)
        if req.queue == 'ord':
            self._check_order(req)
        self.running[start.attempt_id] = req

    def ended(self, host, execution):
        self.running.pop(execution.start.attempt_id, None)

    def _check_order(self, req):
        for other in self.requests.values():
            if other.lane != req.lane or other is req:
                continue
            if other.number < req.number:
                self.claim(other.outcomes, 'overtook an earlier request')
            self.claim(
                other not in self.running.values(),
                'two requests of an ordered queue at once',
            )


class DispatchMachine(stateful.RuleBasedStateMachine):
    """Requests, faults and configuration changes in any order.

    The oracle asks nothing of figtray: it knows the starts and ends at the
    workers and the outcomes that callers were told.
    """

    def __init__(self):
        super().__init__()
        self.oracle = Oracle()
        self.cell = harness.Cell(self.oracle.started, self.oracle.ended)
        self.oracle.now_ms = self.cell.clock.now_ms
        self.moved = 0
        self.cell.housekeep()

    hosts = strategies.sampled_from(sorted(harness.HOSTS))
    many = strategies.integers(1, 4)

    # -- requests -----------------------------------------------------------

    @stateful.rule(
        queue=strategies.sampled_from(['plain', 'open', 'ord']),
        key_id=strategies.sampled_from(['k1', 'k2']),
        urgent=strategies.booleans(),
        idempotent=strategies.booleans(),
        left_ms=strategies.sampled_from([700, 3_000, 30_000]),
        count=many,
    )
    def submit(self, queue, key_id, urgent, idempotent, left_ms, count):
        for _ in range(count):
            self._submit(queue, key_id, urgent, idempotent, left_ms)
        self.cell.housekeep()

    def _submit(self, queue, key_id, urgent, idempotent, left_ms):
        fields = {'urgent': urgent, 'idempotent': idempotent}
        number = len(self.oracle.requests)
        key_id = '' if queue == 'open' else key_id
        req = Submitted(number, queue, key_id, fields)
        req.deadline_ms = self.cell.clock.now_ms() + left_ms
        body = f'body {number}'.encode()
        self.oracle.requests[number] = self.oracle.by_body[body] = req
        req.task = self.cell.submit(
            queue, key_id, body, left_ms=left_ms, **fields
        )
        req.task.fut.add_done_callback(lambda fut: self._told(req, fut))

    def _told(self, req, fut):
        verdict = fut.result()
        req.outcomes.append(verdict)
        claim = self.oracle.claim
        claim(len(req.outcomes) == 1, 'two outcomes')
        match verdict:
            case verdict_lib.NotRun():
                claim(not req.starts, 'told not run, but it started')
            case verdict_lib.Answered(200, body):
                claim(self.oracle.by_body[body] is req, 'foreign answer')

    def _is_active(self, req):
        return any(
            run.queued.item is req.task for run in self.cell.executor.runs
        )

    @stateful.rule(skip=strategies.integers(0, 5), count=many)
    def cancel(self, skip, count):
        """Cancel some open requests; a wave cancels most of them."""
        found = [r for r in self.oracle.requests.values() if not r.outcomes]
        for req in found[skip : skip + count * count]:
            if not self._is_active(req):
                req.never = True
            self.cell.dispatcher.cancel(req.task)

    # -- attempts -----------------------------------------------------------

    def _step(self, run):
        was = run.point
        self.cell.executor.step(run)
        if was == 'connected' and run.point == 'checked':
            step = next(self.oracle.steps)
            self.oracle.checked[run.start.attempt_id] = step

    def _move(self, run, point):
        while run.point not in (point, 'ended'):
            self._step(run)

    def _pick(self, index):
        runs = self.cell.executor.runs
        return runs[index % len(runs)] if runs else None

    @stateful.rule(
        index=strategies.integers(0, 6),
        point=strategies.sampled_from(['connected', 'checked', 'running']),
    )
    def advance_one(self, index, point):
        """Move an attempt on; it stays there until a later rule."""
        run = self._pick(index)
        if run is not None and run.point != 'running':
            self._move(run, point)

    @stateful.rule()
    def start_all(self):
        """Bring all attempts to their workers."""
        for run in list(self.cell.executor.runs):
            self._move(run, 'running')

    @stateful.rule(
        index=strategies.integers(0, 6),
        answer=strategies.sampled_from([None, (500, b''), (0, b'')]),
    )
    def finish_one(self, index, answer):
        """End an attempt by an answer, a failure or a cut connection."""
        run = self._pick(index)
        if run is not None:
            run.answer = answer
            self._move(run, 'ended')
            self.cell.housekeep()

    @stateful.rule()
    def finish_all(self):
        for run in list(self.cell.executor.runs):
            self._move(run, 'ended')
        self.cell.housekeep()

    @stateful.rule(
        queue=strategies.sampled_from(['plain', 'open', 'ord']),
        idempotent=strategies.booleans(),
        answer=strategies.sampled_from([None, (500, b''), (0, b'')]),
        wait_ms=strategies.sampled_from([0, 250, 6_000]),
    )
    def lose_and_start(self, queue, idempotent, answer, wait_ms):
        """End attempts in one way and start what may start after it."""
        for _ in range(2):
            self._submit(queue, 'k1', False, idempotent, 30_000)
        self.cell.housekeep()
        self.start_all()
        for run in list(self.cell.executor.runs):
            run.answer = answer
            self._move(run, 'ended')
        self.cell.housekeep()
        self._pass_time(wait_ms)
        self.start_all()

    @stateful.rule(
        point=strategies.sampled_from(['connected', 'checked']),
        change=strategies.sampled_from(
            ['none', 'key', 'zone', 'host', 'leaving', 'queue', 'peers']
        ),
        wait_ms=strategies.sampled_from([0, 1_000, 3_000]),
        left_ms=strategies.sampled_from([700, 30_000]),
    )
    def freeze(self, point, change, wait_ms, left_ms):
        """Freeze attempts on their way, change something, go on."""
        for urgent in (True, False):
            self._submit('plain', 'k1', urgent, False, left_ms)
        self.cell.housekeep()
        runs = list(self.cell.executor.runs)
        for run in runs:
            if run.point in ('submitted', 'connected'):
                self._move(run, point)
        match change:
            case 'key':
                self.toggle_key('k1')
            case 'zone':
                self.toggle_zone('z2')
            case 'host':
                self.toggle_host('h2')
            case 'leaving':
                self.host_list(set(harness.HOSTS) - {'h4'})
            case 'queue':
                self.delete_queue('plain')
            case 'peers':
                self.toggle_peers()
        self._pass_time(wait_ms)
        for run in runs:
            self._move(run, 'running')

    @stateful.rule()
    def deliver(self):
        """Let sends of broken connections arrive."""
        self.cell.client.deliver()

    # -- workers ------------------------------------------------------------

    @stateful.rule(
        host=hosts,
        fault=strategies.sampled_from(
            ['lose_answers', 'delay_sends', 'swap_answers', 'truncate_answers']
        ),
        count=many,
    )
    def break_connections(self, host, fault, count):
        faults = self.cell.client.faults(self.cell.addresses[host])
        setattr(faults, fault, count)

    @stateful.rule(
        host=hosts, fault=strategies.sampled_from(['down', 'silent'])
    )
    def toggle_fault(self, host, fault):
        faults = self.cell.client.faults(self.cell.addresses[host])
        setattr(faults, fault, not getattr(faults, fault))

    @stateful.rule(
        host=hosts,
        word=strategies.sampled_from([None, 'busy', 'late', 'leaving']),
    )
    def refuse(self, host, word):
        self.cell.workers[host].refuse = word

    @stateful.rule(host=hosts)
    def fail_all(self, host):
        worker = self.cell.workers[host]
        worker.fail_all = not worker.fail_all

    @stateful.rule(host=hosts)
    def restart_worker(self, host):
        self.cell.workers[host].restart()

    # -- operators ----------------------------------------------------------

    @stateful.rule(key_id=strategies.sampled_from(['k1', 'k2']))
    def toggle_key(self, key_id):
        data = self.cell.data('keys', key_id)
        withdrawn = not data['withdrawn']
        self._forbid_if(withdrawn, 'key', key_id)
        self.cell.change({'keys': {key_id: {**data, 'withdrawn': withdrawn}}})

    @stateful.rule(zone=strategies.sampled_from(['z1', 'z2']))
    def toggle_zone(self, zone):
        data = self.cell.data('zones', zone)
        self._forbid_if(data['in_service'], 'zone', zone)
        data['in_service'] = not data['in_service']
        self.cell.change({'zones': {zone: data}})

    @stateful.rule(host=hosts)
    def toggle_host(self, host):
        data = self.cell.data('hosts', host)
        is_serving = data['state'] == 'serving'
        self._forbid_if(is_serving, 'host', host)
        data['state'] = 'draining' if is_serving else 'serving'
        self.cell.change({'hosts': {host: data}})

    @stateful.rule(host=hosts)
    def move_host(self, host):
        data = self.cell.data('hosts', host)
        data['pool'] = 'q' if data['pool'] == 'p' else 'p'
        self.cell.change({'hosts': {host: data}})

    @stateful.rule(leaving=strategies.sets(hosts, max_size=2))
    def host_list(self, leaving):
        for host in harness.HOSTS:
            self._forbid_if(host in leaving, 'leaving', host)
        self.cell.host_list(leaving)

    @stateful.rule(queue=strategies.sampled_from(['plain', 'ord']))
    def delete_queue(self, queue):
        if self.cell.replica.snapshot.spec(
            harness.resources.Kind.QUEUE, queue
        ):
            self.oracle.forbid('queue', queue)
            self.cell.change({'queues': {queue: None}})
            return
        self.oracle.allow('queue', queue)
        spec = harness.SPECS['queues'][queue]
        self.cell.change({'queues': {queue: spec}})

    @stateful.rule(queue=strategies.sampled_from(['plain', 'ord']))
    def move_queue(self, queue):
        if ('queue', queue) not in self.oracle.forbidden:
            data = self.cell.data('queues', queue)
            data['pool'] = 'q' if data['pool'] == 'p' else 'p'
            self.cell.change({'queues': {queue: data}})

    def _forbid_if(self, condition, *name):
        if condition:
            self.oracle.forbid(*name)
        else:
            self.oracle.allow(*name)

    # -- serving right and time ---------------------------------------------

    @stateful.rule()
    def toggle_peers(self):
        self.cell.connected = not self.cell.connected
        if self.cell.connected:
            self.cell.confirm()
            self.oracle.lost_ms = None
        else:
            self.oracle.lost_ms = self.cell.clock.now_ms()

    @stateful.rule(ms=strategies.sampled_from([250, 1_000, 3_000, 10_000]))
    def pass_time(self, ms):
        self._pass_time(ms)

    def _pass_time(self, ms):
        for _ in range(ms // STEP_MS):
            self.cell.pass_time(STEP_MS)
            self._check_deadlines()

    def _check_deadlines(self):
        now_ms = self.cell.clock.now_ms()
        for req in self.oracle.requests.values():
            assert (
                req.outcomes
                or now_ms < req.deadline_ms + STEP_MS
                or self._is_active(req)
            ), 'no outcome at the deadline'

    @stateful.invariant()
    def check(self):
        """No fault; attempts and tasks at workers each have a permit."""
        assert not self.oracle.faults, self.oracle.faults
        in_use = self.cell.in_use()
        for team, count in in_use.items():
            needed = {
                attempt_id
                for attempt_id, req in self.oracle.running.items()
                if req.team == team
            }
            attempts = {
                run.start.attempt_id if run.start else id(run)
                for run in self.cell.executor.runs
                if run.queued.team == team
            }
            assert len(needed | attempts) <= count <= harness.LIMIT

    def teardown(self):
        """End all faults and work; nothing may be left over."""
        cell = self.cell
        self.finish_all()
        for host, address in cell.addresses.items():
            faults = cell.client.faults(address)
            faults.down = faults.silent = False
            faults.lose_answers = faults.delay_sends = 0
            cell.workers[host].refuse = None
        if not cell.connected:
            self.toggle_peers()
        for _ in range(8):
            cell.pass_time(5_000, 1_000)
            self.finish_all()
        assert not self.oracle.faults, self.oracle.faults
        assert not cell.executor.runs
        assert all(r.outcomes for r in self.oracle.requests.values())
        assert set(cell.in_use().values()) == {0}, 'a permit was lost'
        assert not cell.view.peek().pools, 'demand is left without requests'
        in_flight = [h['in_flight'] for h in cell.selector.describe().values()]
        assert not any(in_flight)
        assert not cell.queues.count() and not cell.queues.size_bytes()


DispatchMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestDispatchUnderFaults(DispatchMachine.TestCase):
    """Guards against false outcomes, starts that are forbidden, leaks."""

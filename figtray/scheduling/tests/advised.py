"""Queue with advice, its adviser, and workers that check tickets."""

import dataclasses
import itertools

from figtray.fleet import messages
from figtray.jobs import queues
from figtray.scheduling.tests import harness
from figtray import verdict

POLICY = queues.AdvicePolicy(10, 1, 3000)
# Most workers in one call, by the platform's rules.
MAX_NAMED = 100


def set_advice(fleet, policy):
    """Give the queue `q` a policy, or none."""
    change_queue(fleet, 'q', advice=policy)


def change_queue(fleet, name, **fields):
    """Write a version of the configuration that changes one queue."""
    cfg = fleet.cfg
    changed = dataclasses.replace(cfg.queues[name], **fields)
    fleet.cfg = queues.Config(
        cfg.version + 1,
        list({**cfg.queues, name: changed}.values()),
        cfg.pools.values(),
        cfg.teams.values(),
    )


class Adviser:
    """Adviser that issues tickets for one life of a worker.

    Args:
        fleet: the Fleet.

    Attributes:
        approves: called with a worker id; whether it may run the steps.
        call_ms: time from a request to its answer.
        valid_ms: validity of a ticket, from the answer on.
        answers: whether it answers at all.
        calls: (step name, worker ids) of all calls.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._tickets = {}
        self._numbers = itertools.count(1)
        self.approves = lambda worker_id: True
        self.call_ms = 0
        self.valid_ms = POLICY.valid_ms
        self.answers = True
        self.calls = []

    def decide(self, step, worker_ids):
        """Return the Advice on a step, which now is valid; None if silent."""
        assert len(worker_ids) <= MAX_NAMED
        assert len(set(worker_ids)) == len(worker_ids)
        self.calls.append((step, tuple(worker_ids)))
        if not self.answers:
            return None
        tickets = {}
        for sim in harness.sims(self._fleet):
            worker = sim.worker
            if worker.worker_id in worker_ids and self.approves(
                worker.worker_id
            ):
                ticket = f'ticket-{next(self._numbers)}'
                tickets[worker.worker_id] = ticket
                life = worker.worker_id, worker.born_ms
                self._tickets[step, life] = (
                    ticket,
                    self._fleet.clock.now_ms() + self.valid_ms,
                )
        return messages.Advice(tickets, self.valid_ms)

    def revoke(self, worker_id):
        """Void the tickets of a worker."""
        for step, life in list(self._tickets):
            if life[0] == worker_id:
                del self._tickets[step, life]

    def is_good(self, step, worker, ticket):
        """Return whether a worker takes a ticket."""
        life = worker.worker_id, worker.born_ms
        known, until_ms = self._tickets.get((step, life), ('', 0))
        return known == ticket and self._fleet.clock.now_ms() < until_ms


class Site:
    """Fleet whose workers check the tickets of the queue `q`.

    Attributes:
        fleet: the Fleet.
        adviser: the Adviser.
        is_checked: whether the workers check tickets.
        refused: names of the tasks whose starts they refused.
        sent: number of the starts that reached a worker.
    """

    def __init__(self, workers=3, policy=POLICY):
        self.fleet = harness.Fleet(workers)
        set_advice(self.fleet, policy)
        self.adviser = Adviser(self.fleet)
        self.is_checked = policy is not None
        self.refused = []
        self.sent = 0
        # Ids of the jobs on a queue without advice.
        self._plain = set()
        self._start = self.fleet.client.start
        self.fleet.client.start = self._check_start
        self.elect_leader()

    def elect_leader(self):
        """Let a next Leader take over, and all workers report to it."""
        self.leader = self.fleet.elect_leader()
        self.leader.report_all()

    def _check_start(self, worker, order, timeout_ms):
        self.sent += 1
        if order.task[:16] in self._plain:
            return self._start(worker, order, timeout_ms)
        sim = self.fleet.client.sims[worker.address]
        step = order.task.rsplit('.', 1)[0]
        if self.is_checked and not self.adviser.is_good(
            step, sim.worker, order.ticket
        ):
            self.refused.append(order.task)
            return verdict.NotRun(verdict.RefusalReason.TICKET, 'ticket')
        return self._start(worker, order, timeout_ms)

    def set_advice(self, policy, is_checked):
        """Let a version of the configuration give the queue a policy."""
        set_advice(self.fleet, policy)
        self.is_checked = is_checked
        self.configure()

    def configure(self):
        """Let the leader see the newest version of the configuration."""
        self.leader.scheduler.configure(self.fleet.cfg, frozenset())

    def ask(self):
        """Let the leader call the adviser once, if it wants to.

        Returns:
            The ids of the workers in the call; empty if there was none.
        """
        scheduler = self.leader.scheduler
        step, advice = scheduler.next_advice_request()
        if step is None:
            return ()
        asked = tuple(advice.candidates[:MAX_NAMED])
        asked_ms = self.fleet.clock.now_ms()
        self.leader.advance(self.adviser.call_ms)
        answer = self.adviser.decide(step.name, asked)
        scheduler.record_advice(step, advice, answer, asked, asked_ms)
        return asked

    def play(self, ms, cycle_ms=50):
        """Let the leader plan, and call the adviser, for a time."""
        until_ms = self.fleet.clock.now_ms() + ms
        while self.fleet.clock.now_ms() < until_ms:
            self.leader.sync_workers()
            self.leader.run_cycle()
            self.ask()
            self.leader.advance(cycle_ms)
        self.leader.run_cycle()

    def submit(self, count=3, **fields):
        """Submit a gang, or another step; returns the names of its tasks."""
        fields = {'gang': True} | fields
        job_id = self.fleet.submit(harness.make_step(count, **fields))
        return [f'{job_id}.0.0.{index}' for index in range(count)]

    def submit_plain(self, *steps):
        """Submit a job to a queue without advice; returns its id."""
        job_id = self.fleet.submit(*steps, queue='other')
        self._plain.add(job_id)
        return job_id

    def restart(self, number):
        """Start the next life of a worker under its id."""
        worker = self.fleet.sim(number).worker
        self.fleet.sim(number).crash()
        return self.fleet.add_worker(number, born_ms=worker.born_ms + 1)

    def runs_of(self, tasks):
        """Return {task: [(worker number, run)]} of the tasks that run."""
        found = harness.running(self.fleet)
        return {task: found[task] for task in tasks if task in found}

    def whole(self, tasks):
        """Return whether all members of a gang run under one number."""
        runs = self.runs_of(tasks)
        numbers = {run for found in runs.values() for _, run in found}
        return len(runs) == len(tasks) and len(numbers) == 1

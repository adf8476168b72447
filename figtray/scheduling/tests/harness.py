"""Fleet of in-memory store and workers whose leader tests drive."""

import concurrent.futures
import dataclasses

import msgspec

from figtray import clock as clock_lib
from figtray.fleet import memory as fleet_memory
from figtray.fleet import messages
from figtray.fleet import model as fleet_model
from figtray.jobs import intake as intakes
from figtray.jobs import large_jobs
from figtray.jobs import model
from figtray.jobs import policies
from figtray.jobs import queues
from figtray.leadership import term as terms
from figtray.scheduling import state
from figtray.scheduling.tests import leaders
from figtray.store import base
from figtray.store import memory as store_memory

BOUNDS = leaders.BOUNDS


def make_config(
    version=1, limit_milli=0, attempts=3, more_teams=(), **overrides
):
    """Return a Config with one pool, two queues and one team."""
    fields = {
        'host': 'h',
        'pool': 'main',
        'open': False,
        'attempts': attempts,
        'stretch': 1.6,
        'slack_ms': 600,
    } | overrides
    return queues.Config(
        version,
        [
            queues.Queue(name='q', prefix='/q/', **fields),
            queues.Queue(name='other', prefix='/o/', **fields),
        ],
        [queues.Pool('main'), queues.Pool('spare', spare=True)],
        [
            queues.Team(
                't', 1, model.Resources(limit_milli, 0, 0), frozenset({'k'})
            ),
            *(queues.Team(name, 1, model.NO_RESOURCES) for name in more_teams),
        ],
    )


def make_step(count=1, cpu_milli=1000, **fields):
    """Return a Step."""
    return model.Step(
        count=count, needs=model.Resources(cpu_milli, 100, 0), **fields
    )


def logged(handler, event):
    """Return the fields of each line of an event.

    Args:
        handler: the logbook.TestHandler that got the lines.
        event: the Event.
    """
    return [
        record.extra['fields']
        for record in handler.records
        if record.extra['event'] is event
    ]


class CapacityObserver(fleet_memory.RunObserver):
    """Notes the starts that bring workers over their capacities.

    A SimWorker starts whatever it is told to start.

    Attributes:
        steps: mapping of job id to the Steps of the job.
        overloads: (worker id, task name, used Resources) of these starts.
        enabled: whether starts are noted.
    """

    def __init__(self):
        self.steps = {}
        self.overloads = []
        self.enabled = True

    def run_started(self, sim, task, run):
        used = model.NO_RESOURCES
        for name in sim.runs:
            task_id = model.parse_task_id(name)
            if task_id.job_id in self.steps:
                step = self.steps[task_id.job_id][task_id.step]
                used += state.occupied(step)
        if self.enabled and not sim.worker.capacity.covers(used):
            self.overloads.append((sim.worker.worker_id, task, used))


class Fleet:
    """Store, workers and clock, which outlive a leader."""

    def __init__(
        self, workers=3, cfg=None, rate=1.0, store=None, bounds=BOUNDS
    ):
        self.bounds = bounds
        self.clock = store.clock if store else clock_lib.ManualClock()
        self.store = store or store_memory.MemoryStore(self.clock)
        self.capacities = CapacityObserver()
        self.client = fleet_memory.MemoryWorkers(self.clock, self.capacities)
        self.intake = intakes.Intake(self.store, self.clock)
        self.cfg = cfg or make_config()
        self.metrics = None
        self.room = None
        self.workers = {}
        self.hosts = {}
        for number in range(workers):
            self.add_worker(number, rate=rate)
        self._jobs = 0

    def add_worker(self, number, rate=1.0, **fields):
        """List a worker and start an incarnation; returns its SimWorker."""
        worker = fleet_memory.make_worker(number, **fields)
        self.workers[worker.worker_id] = worker
        self.hosts[worker.host_id] = fleet_model.Host(
            worker.host_id,
            worker.pool,
            fleet_model.HostState.UP,
            worker.zone,
            capacity=worker.capacity,
            worker_id=worker.worker_id,
        )
        return self.client.add(worker, rate, self.bounds.hold_max_ms)

    def sim(self, number):
        """Return the SimWorker with a number."""
        return self.client.sims[f'10.0.0.{number}:80']

    def resize(self, number, **amounts):
        """Change the capacity of a worker, and its entry if it has one.

        Args:
            number: number of the worker.
            amounts: the fields of its Resources that change.
        """
        sim = self.sim(number)
        sim.worker = dataclasses.replace(
            sim.worker,
            capacity=msgspec.structs.replace(sim.worker.capacity, **amounts),
        )
        if sim.worker.worker_id in self.workers:
            self.workers[sim.worker.worker_id] = sim.worker

    def submit(self, *steps, queue='q', team='t', **fields):
        """Store a job; returns its id."""
        self._jobs += 1
        job_id = f'{self._jobs:016x}'
        job = model.Job(
            queue=queue,
            team=team,
            payload='p',
            steps=steps,
            accepted_ms=self.clock.wall_ms(),
            **{
                'queue_policy': policies.of_queue(self.cfg, queue),
                'team_policy': policies.of_team(self.cfg, team),
            }
            | fields,
        )
        if large_jobs.is_large(job):
            self.publish_large_room()
        self.intake.submit(job_id, job)
        self.capacities.steps[job_id] = steps
        return job_id

    def publish_large_room(self, free_bytes=10**9, gang_runs=10**6):
        """Publish the room for large jobs, as a leader does."""
        record = large_jobs.LargeRoom(free_bytes, gang_runs)
        put = base.Put(large_jobs.LARGE_ROOM_KEY, large_jobs.encode(record))
        self.store.txn((), [put])

    def elect_leader(self, make_reader=None):
        """Return the Leader of a new term; the present one loses its key.

        Args:
            make_reader: called with the Leader; returns the IntakeReader by
                which it reads jobs, with regard to its room.
        """
        return leaders.Leader(self, self.begin_term(), make_reader)

    def begin_term(self, leases_seen=()):
        """Return a new Term; the present leader loses its key.

        Args:
            leases_seen: the LeasesSeen of the new leader's node.
        """
        item = self.store.get(terms.LEADER_KEY)
        if item is not None:
            self.store.revoke(item.lease)
        lease = self.store.grant_lease(terms.LEASE_TTL_MS)
        result = self.store.txn((), [base.Put(terms.LEADER_KEY, b'{}', lease)])
        return terms.Term(
            result.revision,
            lease,
            self.clock,
            self.clock.now_ms(),
            leases_seen,
        )


def sims(fleet):
    """Return the SimWorkers that are up."""
    return [sim for sim in fleet.client.sims.values() if sim.up]


def running(fleet):
    """Return {task: [(worker number, run)]} of all runs in the fleet."""
    found = {}
    for number in range(len(fleet.workers)):
        for run in fleet.sim(number).runs.values():
            found.setdefault(run.task, []).append((number, run.run))
    return found


def finish(fleet, task, how=messages.EndReason.DONE):
    """End a running task."""
    for number in range(len(fleet.workers)):
        if task in fleet.sim(number).runs:
            fleet.sim(number).end(task, how)
            return
    raise AssertionError(f'{task} is not running')


class InlineExecutor(concurrent.futures.Executor):
    """Executor that makes each call at once, in the calling thread."""

    def submit(self, function, /, *args, **kwargs):
        fut = concurrent.futures.Future()
        try:
            fut.set_result(function(*args, **kwargs))
        except Exception as exc:
            fut.set_exception(exc)
        return fut

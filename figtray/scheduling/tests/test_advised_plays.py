"""Random plays of gangs and other steps on a queue whose advice changes."""

import random

import pytest

from figtray.jobs import queues
from figtray.scheduling.tests import advised
from figtray.scheduling.tests import harness

WORKERS = 4
POLICIES = (None, advised.POLICY, queues.AdvicePolicy(20, 2, 1000))
CHANGES = 60
# Each job ends within this time once the site is calm.
CALM_MS = 60_000
RUN_MS = 1000


class Play:
    """Changes at random, then calm.

    Args:
        seed: of the random numbers.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self.site = advised.Site(WORKERS, self._random.choice(POLICIES))
        self.site.adviser.call_ms = self._random.choice([0, 50, 400, 2000])
        self.steps = []

    def change(self):
        """Make one change at random, and let some time pass."""
        kinds = (
            [self.submit] * 5
            + [self.finish_one] * 5
            + [self.set_policy] * 2
            + [self.approve_some, self.toggle_adviser]
            + [self.restart_worker, self.site.elect_leader]
        )
        self._random.choice(kinds)()
        self.site.play(self._random.choice([20, 100, 700]))

    def submit(self):
        tasks = self.site.submit(
            self._random.randint(1, 5),
            gang=self._random.random() < 0.6,
            cpu_milli=self._random.choice([1000, 4000]),
            max_per_worker=self._random.choice([0, 0, 2]),
        )
        self.steps.append(tasks[0])

    def finish_one(self):
        tasks = sorted(harness.running(self.site.fleet))
        if tasks:
            harness.finish(self.site.fleet, self._random.choice(tasks))

    def set_policy(self):
        policy = self._random.choice(POLICIES)
        self.site.adviser.valid_ms = policy.valid_ms if policy else RUN_MS
        self.site.set_advice(policy, policy is not None)

    def approve_some(self):
        approved = {
            f'worker-{number}'
            for number in range(WORKERS)
            if self._random.random() < 0.6
        }
        self.site.adviser.approves = approved.__contains__

    def toggle_adviser(self):
        self.site.adviser.answers = not self.site.adviser.answers

    def restart_worker(self):
        self.site.restart(self._random.randrange(WORKERS))

    def calm_down(self):
        """Let all that was submitted run and end."""
        adviser = self.site.adviser
        adviser.answers = True
        adviser.approves = lambda worker_id: True
        adviser.call_ms = min(adviser.call_ms, 400)
        self.site.play(RUN_MS)
        self.site.refused.clear()
        for _ in range(CALM_MS // RUN_MS):
            self.site.play(RUN_MS)
            for task in list(harness.running(self.site.fleet)):
                harness.finish(self.site.fleet, task)
        self.site.play(RUN_MS)


# A gang or a step that waits for good, or starts that are refused in calm.
@pytest.mark.parametrize('seed', range(12))
def test_step_waits_for_good(seed):
    play = Play(seed)
    for _ in range(CHANGES):
        play.change()
    assert play.steps
    play.calm_down()
    waiting = [
        step.name
        for step in play.site.leader.scheduler._open_steps.values()
        if step.waiting
    ]
    assert waiting == []
    assert play.site.refused == []

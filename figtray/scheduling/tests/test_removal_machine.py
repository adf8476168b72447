"""Stateful test of accepted jobs while queues and teams go and come."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from figtray.jobs import queues
from figtray.scheduling.tests import harness
from figtray.scheduling.tests import test_scheduler_machine as scheduler_tests


class RemovalMachine(scheduler_tests.SchedulerMachine):
    """Changes of the configuration beside all other faults.

    All accepted jobs must end, and the limit of a removed team stays.
    """

    @stateful.rule(
        has_queue=st.booleans(),
        has_team=st.booleans(),
        more_limit_milli=st.sampled_from([0, 0, -3000]),
    )
    def change_config(self, has_queue, has_team, more_limit_milli):
        cfg = harness.make_config(
            self.fleet.cfg.version + 1,
            scheduler_tests.LIMIT_MILLI + more_limit_milli,
            scheduler_tests.ATTEMPTS,
        )
        self.fleet.cfg = queues.Config(
            cfg.version,
            [
                queue
                for queue in cfg.queues.values()
                if has_queue or queue.name != 'q'
            ],
            cfg.pools.values(),
            cfg.teams.values() if has_team else (),
        )
        self.leader.scheduler.configure(self.fleet.cfg, ())
        self.leader.flush()

    @stateful.rule(
        counts=st.lists(st.integers(1, 3), min_size=1, max_size=3),
        chain=st.booleans(),
    )
    @stateful.precondition(
        lambda self: len(self.jobs) < 6
        and 'q' in self.fleet.cfg.queues
        and 't' in self.fleet.cfg.teams
    )
    def submit(self, counts, chain):
        super().submit(counts, chain)

    def cease_faults(self):
        """End all faults, with a removal and a change of the leader last."""
        super().cease_faults()
        self.change_config(False, False, 0)
        self.change_leader(0)


TestRemovalMachine = RemovalMachine.TestCase
TestRemovalMachine.settings = hypothesis.settings(
    scheduler_tests.TestSchedulerMachine.settings,
    max_examples=max(25, scheduler_tests.EXAMPLES // 2),
)

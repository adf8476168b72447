"""Stateful test of workers whose capacity shrinks and grows."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from figtray.scheduling.tests import test_scheduler_machine as machine

WORKERS = machine.WORKERS
FULL_MILLI = 8000
FULL_MB = 64_000


class CapacityMachine(machine.SchedulerMachine):
    """Workers that start what they are told to start, however small."""

    # Rules.

    @stateful.rule(
        number=st.integers(0, WORKERS - 1),
        cpu_milli=st.sampled_from([0, 1500, 3000, 4000, FULL_MILLI]),
    )
    def resize_worker(self, number, cpu_milli):
        self.fleet.resize(number, cpu_milli=cpu_milli)
        self.leader.sync_workers()

    @stateful.rule(
        number=st.integers(0, WORKERS - 1),
        memory_mb=st.sampled_from([50, 150, FULL_MB]),
    )
    def resize_memory(self, number, memory_mb):
        self.fleet.resize(number, memory_mb=memory_mb)
        self.leader.sync_workers()

    @stateful.rule()
    def execute_late_orders(self):
        # The worker may have shrunk since the order was sent.
        self.fleet.capacities.enabled = False
        super().execute_late_orders()
        self.fleet.capacities.enabled = True

    # Invariants.

    @stateful.invariant()
    def starts_within_the_capacity(self):
        assert not self.fleet.capacities.overloads

    def cease_faults(self):
        super().cease_faults()
        for number in range(WORKERS):
            self.fleet.resize(number, cpu_milli=FULL_MILLI, memory_mb=FULL_MB)


TestCapacityMachine = CapacityMachine.TestCase
TestCapacityMachine.settings = hypothesis.settings(
    machine.TestSchedulerMachine.settings
)

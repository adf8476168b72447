"""Stateful test of workers whose capacity shrinks and grows."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from figtray.jobs import model
from figtray.scheduling.tests import test_scheduler_machine as machine

WORKERS = machine.WORKERS
FULL_MILLI = 8000
FULL_MB = 64_000
FULL_GPUS = 4


class CapacityMachine(machine.SchedulerMachine):
    """Workers that start what they are told to start, however small."""

    # Rules.

    @stateful.rule(
        count=st.integers(1, 3),
        gpus=st.integers(0, 2),
        fills=st.booleans(),
    )
    @stateful.precondition(lambda self: len(self.jobs) < 8)
    def submit_with_gpus(self, count, gpus, fills):
        needs = model.Resources(1500, 100, gpus)
        step = model.Step(count=count, needs=needs, fills=fills)
        self.jobs[self.fleet.submit(step)] = (step,)
        self.leader.sync_intake()

    @stateful.rule(
        number=st.integers(0, WORKERS - 1), gpus=st.integers(0, FULL_GPUS)
    )
    def resize_gpus(self, number, gpus):
        self.fleet.resize(number, gpus=gpus)
        self.leader.sync_workers()

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

    @stateful.rule(
        number=st.integers(0, WORKERS - 1),
        cpu_milli=st.sampled_from([0, 1500, 3000]),
    )
    def shrink_between_plan_and_orders(self, number, cpu_milli):
        self.leader.report_all()
        self.leader.scheduler.plan()
        self.resize_worker(number, cpu_milli)
        self.leader.deliver_orders(number)

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
            self.fleet.resize(
                number,
                cpu_milli=FULL_MILLI,
                memory_mb=FULL_MB,
                gpus=FULL_GPUS,
            )


TestCapacityMachine = CapacityMachine.TestCase
TestCapacityMachine.settings = hypothesis.settings(
    machine.TestSchedulerMachine.settings
)

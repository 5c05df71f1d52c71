"""Random sequences of faults at a random step.

Add a sequence that fails to ``REGRESSION_CELLS`` in
``tests/failures/test_matrix.py``.
"""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bramleypin.matrix import cell
from bramleypin.matrix import pool
from bramleypin.matrix import registries

FAULTS = sorted(registries.FAULTS.entry_by_name)
STEPS = sorted(registries.STEPS.entry_by_name)
# Longer sequences take more time and find no other failures.
MAX_FAULTS = 3


class FaultSequence(stateful.RuleBasedStateMachine):
    """Generates a sequence of faults and waits, and runs it at the end."""

    def __init__(self):
        super().__init__()
        self.elements = []
        self.step = STEPS[0]
        self.fault_count = 0

    @stateful.initialize(step=strategies.sampled_from(STEPS))
    def choose_step(self, step):
        """Choose the step at which the first fault is injected."""
        self.step = step

    @stateful.precondition(lambda self: self.fault_count < MAX_FAULTS)
    @stateful.rule(fault=strategies.sampled_from(FAULTS))
    def inject(self, fault):
        """Inject a fault next."""
        self.elements.append(fault)
        self.fault_count += 1

    @stateful.precondition(lambda self: self.elements)
    @stateful.rule(tenths=strategies.integers(0, 60))
    def wait(self, tenths):
        """Wait before the next fault, for a number of tenths of a second."""
        self.elements.append(f"{tenths / 10:g}s")

    def teardown(self):
        """Run the sequence and check the promises."""
        if not self.elements:
            return
        spec = cell.CellSpec(tuple(self.elements), self.step)
        result = pool.run_one(spec)
        assert not result.violations, (str(spec), result.violations[:5])


FaultSequence.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=4,
    stateful_step_count=5,
    # Each example runs a whole deployment, so shrinking would take too long;
    # a counterexample becomes a regression cell as it is.
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)


class FaultSequenceTest(FaultSequence.TestCase):
    """Guards against failures that only a sequence of faults causes."""

    @classmethod
    def setUpClass(cls):
        """Disable the daemons' logs, which would fill the test's output."""
        pool.disable_logs()


if __name__ == "__main__":
    unittest.main()

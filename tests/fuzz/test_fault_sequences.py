"""Random sequences of faults; a counterexample becomes a fixed cell.

The fixed cells are in ``tests/failures/test_matrix.py``.
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
# Longer sequences take longer and find what shorter ones find as well.
LONGEST_SEQUENCE = 3


class FaultSequence(stateful.RuleBasedStateMachine):
    """Collects a sequence of faults and waits, and runs it at the end."""

    def __init__(self):
        super().__init__()
        self.names = []
        self.step = STEPS[0]
        self.faults = 0

    @stateful.initialize(step=strategies.sampled_from(STEPS))
    def choose_step(self, step):
        """Choose where the first fault strikes."""
        self.step = step

    @stateful.precondition(lambda self: self.faults < LONGEST_SEQUENCE)
    @stateful.rule(fault=strategies.sampled_from(FAULTS))
    def strike(self, fault):
        """Strike with a fault."""
        self.names.append(fault)
        self.faults += 1

    @stateful.precondition(lambda self: self.names)
    @stateful.rule(tenths=strategies.integers(0, 60))
    def wait(self, tenths):
        """Wait before the next fault."""
        self.names.append(f"{tenths / 10:g}s")

    def teardown(self):
        """Run the sequence and check the promises."""
        if not self.names:
            return
        name = cell.CellSpec(tuple(self.names), self.step)
        result = pool.run_one(name)
        assert not result.violations, (str(name), result.violations[:5])


FaultSequence.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=4,
    stateful_step_count=5,
    # Each example runs a whole deployment, so a counterexample is made a
    # fixed cell as it is instead of being shrunk.
    phases=(hypothesis.Phase.generate,),
    suppress_health_check=list(hypothesis.HealthCheck),
)


class FaultSequenceTest(FaultSequence.TestCase):
    """Guards against faults that only a sequence of others brings out."""

    @classmethod
    def setUpClass(cls):
        """Keep the daemons' log lines out of the test's output."""
        pool.prepare()


if __name__ == "__main__":
    unittest.main()

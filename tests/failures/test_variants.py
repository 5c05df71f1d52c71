"""Mutation tests of the checker: it must catch every broken variant."""

import unittest

import parameterized

from bramleypin.matrix import variant_check
from bramleypin.matrix import variants

WORKERS = 4

_outcome_by_variant: dict[str, variant_check.Outcome] = {}


def _outcome(name: str) -> variant_check.Outcome:
    if not _outcome_by_variant:
        for outcome in variant_check.run_all(WORKERS):
            _outcome_by_variant[outcome.variant] = outcome
    return _outcome_by_variant[name]


class VariantTest(unittest.TestCase):
    """Guards against a checker that misses violations of a promise."""

    @parameterized.parameterized.expand([(name,) for name in variants.names()])
    def test_a_broken_variant_is_caught(self, name):
        """Checks that the fault matrix fails for the broken variant.

        Each variant is broken deliberately.
        """
        outcome = _outcome(name)
        self.assertTrue(outcome.caught_by, outcome.as_line())


if __name__ == "__main__":
    unittest.main()

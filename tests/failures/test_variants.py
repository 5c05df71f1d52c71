"""Proof of the checker: deliberately broken decisions must be caught."""

import unittest

import parameterized

from bramleypin.matrix import proof
from bramleypin.matrix import variants

WORKERS = 4

_outcome_by_variant: dict[str, proof.Outcome] = {}


def _outcome(name: str) -> proof.Outcome:
    if not _outcome_by_variant:
        for outcome in proof.run_all(WORKERS):
            _outcome_by_variant[outcome.variant] = outcome
    return _outcome_by_variant[name]


class VariantTest(unittest.TestCase):
    """Guards against a checker that sees no breach of its promise."""

    @parameterized.parameterized.expand([(name,) for name in variants.names()])
    def test_a_broken_variant_is_caught(self, name):
        """Guards against cells that pass whatever the product does."""
        outcome = _outcome(name)
        self.assertTrue(outcome.caught_by, outcome.as_line())


if __name__ == "__main__":
    unittest.main()

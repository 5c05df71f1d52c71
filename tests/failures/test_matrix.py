"""The fault matrix: every single fault, and a fixed sample of pairs.

Each cell is a test. They run together in worker processes when the first of
them is asked for.
"""

import os
import unittest

import parameterized

from bramleypin.matrix import cell
from bramleypin.matrix import plan
from bramleypin.matrix import pool

PAIRS = 24
# Each was a counterexample: of the tests in tests/fuzz, or of a run of pairs.
FOUND_CELLS: tuple[tuple[str, int], ...] = (
    # A misleading report of a new instance ended requests that ran on.
    ("endpoint-lies+endpoint-turns-cold@received", 2),
)

CELLS = (
    *plan.singles(),
    *plan.sample_of_pairs(PAIRS),
    *(cell.parse(text, seed) for text, seed in FOUND_CELLS),
)
WORKERS = min(pool.MAX_WORKERS, os.cpu_count() or 1)

_result_by_cell: dict[str, cell.Result] = {}


def _result(name: cell.CellSpec) -> cell.Result:
    if not _result_by_cell:
        for result in pool.run(CELLS, WORKERS):
            _result_by_cell[result.cell] = result
    return _result_by_cell[str(name)]


class MatrixTest(unittest.TestCase):
    """Guards the ten promises of the design page against each fault."""

    @parameterized.parameterized.expand([(str(item), item) for item in CELLS])
    def test_a_cell_keeps_all_promises(self, _, name):
        """Guards against a fault that breaks a promise at some step."""
        result = _result(name)
        self.assertTrue(result.faulted, "the step was never reached")
        self.assertEqual(result.violations[:5], ())


if __name__ == "__main__":
    unittest.main()

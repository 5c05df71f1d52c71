"""Runs every fault at every step, a sample of pairs and regressions.

The sample of pairs of faults has a fixed seed, so it is always the same.

Each cell is a test. All cells run in worker processes when the first result
is requested.
"""

import os
import unittest

import parameterized

from bramleypin.matrix import cell
from bramleypin.matrix import pool
from bramleypin.matrix import selection

PAIRS = 24
# Cells that failed in tests/fuzz or in a run of pairs.
REGRESSION_CELLS: tuple[tuple[str, int], ...] = (
    # A false report of a new instance aborted requests that were still
    # running.
    ("endpoint-lies+endpoint-turns-cold@received", 2),
)

CELLS = (
    *selection.singles(),
    *selection.sample_of_pairs(PAIRS),
    *(cell.parse(text, seed) for text, seed in REGRESSION_CELLS),
)
WORKERS = min(pool.MAX_WORKERS, os.cpu_count() or 1)

_result_by_cell: dict[str, cell.Result] = {}


def _result(spec: cell.CellSpec) -> cell.Result:
    if not _result_by_cell:
        for result in pool.run(CELLS, WORKERS):
            _result_by_cell[result.cell] = result
    return _result_by_cell[str(spec)]


class MatrixTest(unittest.TestCase):
    """Checks the ten promises of the design page under each fault."""

    @parameterized.parameterized.expand([(str(item), item) for item in CELLS])
    def test_a_cell_keeps_all_promises(self, _, spec):
        """Guards against a promise that a fault breaks at some step."""
        result = _result(spec)
        self.assertTrue(
            result.injection_started,
            "the cell ended before its first fault was injected",
        )
        self.assertEqual(result.violations[:5], ())


if __name__ == "__main__":
    unittest.main()

"""Tests that the capacity page is computed from ``capacity.jsonl``."""

import pathlib
import unittest

from bramleypin.bench import capacity
from bramleypin.bench import capacity_rows

DOCS = pathlib.Path(__file__).resolve().parents[2] / "docs"


class TestCapacity(unittest.TestCase):
    def test_the_page_is_computed_from_its_rows(self):
        """Guards against figures on the page that no measurement gave."""
        page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
        rows = (DOCS / "capacity.jsonl").read_text(encoding="utf-8")
        computed_page = capacity.update(
            page, capacity_rows.Rows(rows.splitlines())
        )
        self.assertEqual(page, computed_page)

    def test_a_line_is_fitted_through_its_points(self):
        """Guards against a fit that puts wrong slopes on the page."""
        line = capacity_rows.fit([(x, 3.0 + 0.5 * x) for x in range(1, 5)])
        self.assertAlmostEqual(3.0, line.intercept)
        self.assertAlmostEqual(0.5, line.slope)
        self.assertAlmostEqual(1.0, line.r_squared)

"""Tests of the estimated load of an endpoint between two reports."""

import unittest

import parameterized

from bramleypin.bench import report_model
from bramleypin.bench import stale_reports
from bramleypin.internal.stream import load_estimate

SERVICE_TIME_S = 0.1


def estimate_after_report(running_requests):
    """Return the estimate of an endpoint with 2 slots that reported at 0."""
    estimate = load_estimate.LoadEstimate()
    estimate.record_report(running_requests, 2, SERVICE_TIME_S, 0.0)
    return estimate


class LoadEstimateTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("at the report", 2, 0.0, 2.0),
            ("after one service time", 2, 0.1, 0.736),
            ("while requests queue", 6, 0.1, 4.0),
            ("when the last one left the queue", 6, 0.2, 2.0),
            ("much later", 6, 1.2, 0.0),
        ]
    )
    def test_reported_requests_end_at_the_endpoints_rate(
        self, _, reported, now_s, expected
    ):
        """Guards against idle endpoints that count as busy."""
        estimate = estimate_after_report(reported)
        self.assertAlmostEqual(
            expected, estimate.running_requests(now_s), delta=0.01
        )

    def test_the_number_of_unanswered_offers_is_bounded(self):
        """Guards against memory that grows with a burst of openings."""
        estimate = estimate_after_report(0)
        for number in range(10_000):
            estimate.record_offer(number, 0.0)
        self.assertEqual(
            load_estimate.MAX_UNANSWERED_OFFERS,
            estimate.unanswered_offers(0.0),
        )

    @parameterized.parameterized.expand(
        [
            ("slow and fast endpoints", report_model.Cell(duration_s=0.8)),
            (
                "many balancers",
                report_model.Cell(balancers=200, duration_s=0.8),
            ),
        ]
    )
    def test_old_reports_do_not_make_queues_for(self, _, cell):
        """Guards against balancers that choose the same endpoint in turns.

        The bound of 1.5 times the queues of exact knowledge is the stated
        target. Without the agents' checks, the choice alone must do better
        than two random choices, which do not herd either.
        """
        name = "own offers, by age, randomised"
        with_passes = stale_reports.simulate(cell, f"{name}, passes")
        exact = stale_reports.simulate(cell, "exact knowledge")
        self.assertLess(with_passes.queue_p99, 1.5 * exact.queue_p99)
        choice = stale_reports.simulate(cell, name)
        by_two = stale_reports.simulate(cell, "two random choices")
        self.assertLess(choice.wait_s, by_two.wait_s)

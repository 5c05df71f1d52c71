"""Tests of burn rates, alarms, coverage and the output of results."""

import contextlib
import io
import os
import unittest
import unittest.mock

import anyio
import parameterized

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.tool import burn
from bramleypin.internal.tool import burn_page
from bramleypin.internal.tool import fleet
from bramleypin.internal.tool import output
from bramleypin.internal.tool import promises
from bramleypin.internal.tool import svg

HOUR_S = 3_600.0


def answer(bad_by_minute, covered_s=6 * HOUR_S, running=2.0, own_id="a"):
    """Return an agent's answer with 1,000 valid requests in each minute."""
    minutes = [
        [60.0 * number + 30.0, [1_000 - bad_count, 0, bad_count, 7, 0]]
        for number, bad_count in enumerate(bad_by_minute)
    ]
    usage_by_minute = [[age_s, running, 0] for age_s, _ in minutes]
    objective = [0.999, 2.0]
    return {
        "id": own_id,
        "role": "agent",
        "failure_domain": "waco",
        "covered_s": covered_s,
        "services": {"s": {"objective": objective, "minutes": minutes}},
        "endpoint": {
            "service": "s",
            "id": own_id,
            "slots": 4,
            "weight": 4.0,
            "minutes": usage_by_minute,
        },
    }


# Name, bad requests of 1,000 in each minute (newest first) and expected level.
# As 0.1% may be bad, n bad requests are a burn rate of n.
LEVELS = [
    ("no bad requests", [0] * 360, "ok"),
    ("at the budget", [1] * 360, "warn"),
    ("page over 1 h", [15] * 60 + [0] * 300, "page"),
    ("just below over 1 h", [14] * 60 + [0] * 300, "warn"),
    ("over 1 h, but it has ended", [0] * 6 + [20] * 60 + [0] * 294, "warn"),
    ("page over 6 h", [6] * 360, "page"),
    ("over 6 h, but it has ended", [0] * 60 + [12] * 300, "ok"),
    ("short peak", [60] * 5 + [0] * 355, "ok"),
]


class TestBurn(unittest.TestCase):
    @parameterized.parameterized.expand(LEVELS)
    def test_an_alarm_needs_both_windows_above_its_limit(
        self, name, bad_by_minute, level
    ):
        """Guards against alarms that come late or outlast their cause."""
        (service,) = burn.services([answer(bad_by_minute)], 0)
        self.assertEqual(level, service.level, service.window_by_name)

    def test_invalid_requests_do_not_use_up_the_budget(self):
        """Guards against alarms that a faulty caller raises."""
        (service,) = burn.services([answer([0] * 360)], 0)
        window = service.window_by_name["5 min"]
        self.assertEqual((5_000, 0, 0.0), (window.total, window.bad, 0.0))

    @parameterized.parameterized.expand(
        [
            ("young daemon", [6 * HOUR_S, 150.0], 0, 0.75),
            ("silent daemon", [6 * HOUR_S, 6 * HOUR_S], 2, 0.5),
            ("complete", [6 * HOUR_S, 6 * HOUR_S], 0, 1.0),
        ]
    )
    def test_the_report_states_the_coverage_of_a_window(
        self, name, counted_times_s, silent_daemons, expected_share
    ):
        """Guards against a burn rate that is shown without its coverage."""
        answers = [
            answer([0] * 5, counted_s, 2.0, f"a-{number}")
            for number, counted_s in enumerate(counted_times_s)
        ]
        (service,) = burn.services(answers, silent_daemons)
        window = service.window_by_name["5 min"]
        self.assertAlmostEqual(expected_share, window.covered)

    def test_a_service_without_requests_has_no_burn_rate(self):
        """Guards against a division by zero when no request was counted."""
        (service,) = burn.services([answer([])], 0)
        self.assertIsNone(service.window_by_name["1 h"].burn)
        self.assertEqual("ok", service.level)

    @parameterized.parameterized.expand(
        [
            ("nothing counted", [], 6 * HOUR_S, "No daemon has counted"),
            ("hardly covered", [0] * 5, 360.0, "only 10% of the last hour"),
            ("covered", [0] * 60, 6 * HOUR_S, "within their error budgets."),
        ]
    )
    def test_a_report_without_alarms_states_its_coverage(
        self, name, bad_by_minute, covered_s, description
    ):
        """Guards against reporting success when restarts lost the counts."""
        services = burn.services([answer(bad_by_minute, covered_s)], 0)
        report = burn_page.Report("Asked now", services, [], [], 1, [])
        self.assertIn(description, report.verdict())

    def test_imbalance_is_highest_over_mean(self):
        """Guards against an imbalance that hides one overloaded endpoint."""
        usages = burn.endpoints(
            [
                answer([0] * 5, running=running, own_id=f"a-{running}")
                for running in (1.0, 1.0, 2.5)
            ]
        )
        self.assertAlmostEqual(2.5 / 1.5, burn.imbalance(usages))
        figure = promises.figures([], usages)[-1]
        self.assertFalse(figure.good)

    def test_the_page_escapes_names_and_is_self_contained(self):
        """Guards against unescaped names and loading of other resources."""
        html_answer = answer([20] * 360)
        html_answer["services"] = {"<b>": html_answer["services"]["s"]}
        html_answer["endpoint"]["service"] = "<b>"
        report = burn_page.Report(
            "Asked now", burn.services([html_answer], 0), [], [], 1, ["<i>"]
        )
        page = burn_page.render(report)
        self.assertNotIn("<b>", page)
        self.assertNotIn("<i>", page)
        for word in ("src=", "href=", "url(", "<script"):
            self.assertNotIn(word, page)

    def test_a_gap_in_the_counts_is_a_gap_in_the_plot(self):
        """Guards against a curve through minutes without counts."""
        plot = svg.time_series([1.0, 1.0, None, 2.0, 2.0], "burn")
        self.assertEqual(2, plot.count('class="curve"'))


class TestAskAll(unittest.TestCase):
    def test_a_failed_daemon_does_not_hide_the_answers_of_others(self):
        """Guards against one unreachable daemon that fails the whole query."""
        reachable_peer, failed_peer = (
            address.Address("127.0.0.1", port) for port in (1, 2)
        )

        async def ask_one(peer, message):
            if peer == failed_peer:
                raise errors.PeerUnreachable("not reachable")
            return message

        answers = anyio.run(
            fleet.ask_all, ask_one, [failed_peer, reachable_peer], "hello"
        )
        self.assertEqual({reachable_peer: "hello"}, answers.answer_by_peer)
        self.assertEqual({failed_peer: "not reachable"}, answers.fault_by_peer)


class Terminal(io.StringIO):
    """A stream whose ``isatty`` returns true."""

    def isatty(self):
        return True


class TestOutput(unittest.TestCase):
    @parameterized.parameterized.expand([("1", False), ("", True)])
    def test_no_color_is_respected(self, value, is_coloured):
        """Guards against escape codes in the output of users who opt out."""
        variables = {"NO_COLOR": value, "TERM": "xterm", "COLORTERM": ""}
        with unittest.mock.patch.dict(os.environ, variables):
            with contextlib.redirect_stderr(Terminal()) as stream:
                output.error("wrong")
        self.assertEqual(is_coloured, "\x1b[1;31m" in stream.getvalue())

    def test_a_progress_bar_appears_only_for_slow_work(self):
        """Guards against slow work without feedback, and a flickering bar."""
        for step_s, is_shown in ((0.01, False), (1.1, True)):
            clock = iter(step_s * number for number in range(1_000))
            with (
                unittest.mock.patch.object(
                    output.time, "monotonic", lambda clock=clock: next(clock)
                ),
                contextlib.redirect_stderr(Terminal()) as stream,
            ):
                list(output.progress(range(4), 4, "comparing"))
            self.assertEqual(is_shown, "comparing" in stream.getvalue())

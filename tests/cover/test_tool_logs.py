"""Tests of the commands ``logs`` and ``settings`` and the platform check."""

import json
import pathlib
import tempfile
import unittest

import parameterized
import typer.testing

from bramleypin import cli
from bramleypin.internal.tool import log_views
from bramleypin.platform import check

FLOW = "100.64.0.7:40001>198.18.0.1:443"
OTHER_FLOW = "100.64.0.8:40002>198.18.0.1:443"
V8 = {"version": 8, "revision": 5}
V9 = {"version": 9, "revision": 6}
# Lines of a balancer and an agent, sorted by time.
RECORDS = (
    ("front-1", 0.0, "kernel", "starting", {"role": "stream_balancer"}),
    ("front-1", 0.1, "view", "configuration in force", {"revision": 7}),
    ("side-1", 0.15, "view", "configuration in force", {"revision": 6}),
    (
        "side-1",
        1.0,
        "agent",
        "opening passed on",
        {"opening": 5, "origin": "10.0.0.1", "reason": "draining"},
    ),
    (
        "front-1",
        1.002,
        "openings",
        "opening taken",
        {"flow": FLOW, "opening": 5, "revision": 7, "waited_ms": 2.0},
    ),
    (
        "front-1",
        3.0,
        "openings",
        "opening reset",
        {"flow": OTHER_FLOW, "reason": "no endpoint in time", "revision": 7},
    ),
    (
        "front-1",
        3.1,
        "openings",
        "opening reset (3 more since the last line)",
        {"flow": OTHER_FLOW, "reason": "no endpoint in time", "revision": 7},
    ),
)


def text_of(records) -> str:
    """Return log lines in the format of a collector for many machines."""
    return "\n".join(
        f"  {at_s:.4f} {process} "
        + json.dumps(
            {
                "time": 1000.0 + at_s,
                "level": "INFO",
                "part": part,
                "event": event,
                **fields,
            }
        )
        for process, at_s, part, event, fields in records
    )


class LogsTest(unittest.TestCase):
    def setUp(self):
        """Write the records, a line of text and a truncated line to a file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.file = self.folder / "daemons.log"
        text = text_of(RECORDS) + "\nnot a log line\n"
        self.file.write_text(text + '{"time": 5, "event": "cut of')

    def run_tool(self, *arguments):
        """Run the tool; return its exit code and output."""
        result = typer.testing.CliRunner().invoke(
            cli.application, list(map(str, arguments))
        )
        return result.exit_code, result.output

    def test_a_flow_is_listed_in_order_with_the_age_of_its_view(self):
        """Guards against omitting the lines of another process."""
        code, text = self.run_tool("logs", "flow", FLOW, self.file, "--json")
        self.assertEqual(0, code)
        steps = json.loads(text)
        self.assertEqual(
            [("side-1", "draining"), ("front-1", None)],
            [(step["process"], step.get("reason")) for step in steps],
        )
        self.assertAlmostEqual(0.902, steps[1]["view_age_s"], 3)

    def test_context_shows_other_lines_of_the_same_processes(self):
        """Guards against hiding a cause that no line of the flow names."""
        _, text = self.run_tool("logs", "flow", FLOW, self.file, "--context")
        self.assertIn("configuration in force", text)

    def test_the_error_for_an_unknown_flow_names_known_flows(self):
        """Guards against empty output for a mistyped flow."""
        code, text = self.run_tool("logs", "flow", "1.2.3.4:5", self.file)
        self.assertEqual(1, code)
        self.assertIn(FLOW, text)

    def test_views_name_the_slowest_process_and_what_stopped_it(self):
        """Guards against a configuration whose delay no report shows."""
        failure = {"error": "RecursionError", "revision": 6}
        self.file.write_text(
            text_of(
                (
                    ("a", 0.0, "kernel", "starting", {}),
                    ("b", 0.0, "kernel", "starting", {}),
                    ("b", 0.5, "view", log_views.FAILURE_EVENTS[1], failure),
                    ("a", 1.0, "view", "configuration in force", V8),
                    ("b", 9.0, "view", log_views.FAILURE_EVENTS[1], failure),
                    ("b", 9.5, "view", "the store answers again", {}),
                    ("b", 9.5, "view", "configuration in force", V8),
                    ("a", 9.6, "store", "skipped an item", {"item": "x"}),
                    ("a", 9.7, "view", "configuration in force", V9),
                    ("b", 9.8, "kernel", "stopped", {}),
                )
            )
        )
        code, text = self.run_tool("logs", "views", self.file, "--json")
        self.assertEqual(0, code)
        report = json.loads(text)
        self.assertEqual(
            [(8, "b", 8.5), (9, "b", None)],
            [
                (row["version"], row["slowest"], row["lag_s"])
                for row in report["versions"]
            ],
        )
        (outage,) = report["outages"]
        self.assertEqual(("b", 9.0), (outage["process"], outage["for_s"]))
        (skipped,) = report["skipped"]
        self.assertEqual((1, "x"), (skipped["lines"], skipped["item"]))
        self.assertIn("never", self.run_tool("logs", "views", self.file)[1])

    def test_the_longest_waits_come_first(self):
        """Guards against a list without the openings that waited longest."""
        code, text = self.run_tool("logs", "waits", self.file, "--json")
        self.assertEqual(0, code)
        (opening,) = json.loads(text)
        self.assertEqual((FLOW, 2.0), (opening["flow"], opening["waited_ms"]))

    def test_the_summary_counts_losses_over_time(self):
        """Guards against losses that are counted in the wrong second."""
        code, text = self.run_tool("logs", "summary", self.file, "--json")
        self.assertEqual(0, code)
        summary = json.loads(text)
        self.assertEqual(
            {"opening reset: no endpoint in time": [0, 0, 0, 2]},
            summary["counts_by_reason"],
        )
        self.assertEqual(2, len(summary["silences_s"]))

    def test_the_page_of_the_summary_is_self_contained(self):
        """Guards against a page that loads other files."""
        page = self.folder / "losses.html"
        code, _ = self.run_tool("logs", "summary", self.file, "--html", page)
        self.assertEqual(0, code)
        text = page.read_text()
        self.assertIn("no endpoint in time", text)
        self.assertNotIn("src=", text)

    @parameterized.parameterized.expand([("missing.log",), ("empty.log",)])
    def test_files_without_lines_are_an_error(self, name):
        """Guards against an empty summary that suggests no losses."""
        (self.folder / "empty.log").write_text("nothing\n")
        code, text = self.run_tool("logs", "summary", self.folder / name)
        self.assertEqual(2, code)
        self.assertIn(name, text)


class SettingsCheckTest(unittest.TestCase):
    def test_valid_settings_are_shown(self):
        """Guards against a check that differs from the daemon's own."""
        example = (
            pathlib.Path(__file__).resolve().parents[2]
            / "examples/lone-star/entry-1.toml"
        )
        result = typer.testing.CliRunner().invoke(
            cli.application, ["settings", "check", str(example)]
        )
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn("valid", result.output)

    def test_an_unknown_key_is_named(self):
        """Guards against a mistyped key that is ignored."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "entry.toml"
            file.write_text('rolle = "balancer"\n')
            result = typer.testing.CliRunner().invoke(
                cli.application, ["settings", "check", str(file)]
            )
        self.assertEqual(2, result.exit_code)
        self.assertIn("rolle", result.output)

    @parameterized.parameterized.expand(
        [("missing key", '{"node": "n"}'), ("no JSON", "{")]
    )
    def test_a_bad_file_of_the_platform_is_refused(self, _, text):
        """Guards against a check that accepts what a daemon refuses."""
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "node.json"
            file.write_text(text)
            self.assertEqual(2, check.main([str(file)]))
            self.assertEqual(2, check.main([f"{folder}/none.json"]))

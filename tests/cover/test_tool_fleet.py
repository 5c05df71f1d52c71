"""Tests of the commands that query running daemons, over loopback."""

import json
import pathlib
import tempfile
import unittest

import anyio
import anyio.to_thread
import typer.testing

from bramleypin import cli
from bramleypin.internal.observe import logs
from bramleypin import settings as settings_module
from bramleypin.standins import tool_daemons

ROOT = pathlib.Path(__file__).resolve().parents[2]
FOLDER = ROOT / "examples" / "lone-star" / "configuration"
KEY = "5a" * settings_module.KEY_BYTES
OTHER_KEY = "6b" * settings_module.KEY_BYTES


def invoke(command):
    """Run one command of the tool and return its result."""
    arguments = [str(part) for part in command]
    return typer.testing.CliRunner().invoke(cli.application, arguments)


class TestFleetCommands(unittest.TestCase):
    def setUp(self):
        logs.configure(settings_module.Logs(level="CRITICAL"))
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.settings_file = self.folder / "entry-1.toml"
        self.all_settings = []
        for role, own_id, domain, service in (
            ("balancer", "entry-1", "austin", None),
            ("agent", "scheduler-1", "austin", "scheduler"),
            ("agent", "scheduler-4", "waco", "scheduler"),
        ):
            text = tool_daemons.settings_text(
                KEY, role, own_id, domain, service
            )
            path = self.folder / f"{own_id}.toml"
            path.write_text(text, encoding="utf-8")
            self.all_settings.append(settings_module.load(path))

    def peers(self):
        """Return the options that name all daemons."""
        return [
            part
            for item in self.all_settings
            for part in ("--peer", item.addresses.control)
        ]

    def run_tool(self, *commands, prepare=lambda kernel_by_id: None):
        """Run commands against the daemons and return their results."""

        async def main():
            results = []
            async with tool_daemons.run_daemons(
                FOLDER, self.all_settings
            ) as kernel_by_id:
                prepare(kernel_by_id)
                for command in commands:
                    results.append(
                        await anyio.to_thread.run_sync(invoke, command)
                    )
            return results

        return anyio.run(main)

    def test_status_shows_every_daemon_and_its_revision(self):
        """Guards against a status that omits daemons or their revisions."""
        options = ["--settings", self.settings_file, *self.peers()]
        table_result, json_result = self.run_tool(
            ["status", *options], ["status", "--json", *options]
        )
        self.assertEqual(0, table_result.exit_code, table_result.output)
        for item in self.all_settings:
            self.assertIn(item.id, table_result.output)
        daemons = json.loads(json_result.stdout)["daemons"]
        revisions = {item["id"]: item["revision"] for item in daemons}
        self.assertEqual(
            {"entry-1": 1, "scheduler-1": 1, "scheduler-4": 1}, revisions
        )

    def test_trace_merges_the_decisions_of_all_daemons(self):
        """Guards against a trace that shows one daemon's decisions only."""

        def prepare(kernel_by_id):
            for name, decision in (
                ("entry-1", "home"),
                ("scheduler-1", "run"),
            ):
                trace = kernel_by_id[name].get("trace")
                trace.record("10.0.0.9:4711", decision, "test")
                trace.record("10.0.0.8:4711", "other", "test")

        (result,) = self.run_tool(
            [
                "trace",
                "10.0.0.9",
                "--json",
                "--settings",
                self.settings_file,
                *self.peers(),
            ],
            prepare=prepare,
        )
        self.assertEqual(0, result.exit_code, result.output)
        decisions = {item["decision"] for item in json.loads(result.stdout)}
        self.assertEqual({"home", "run"}, decisions)

    def test_a_high_burn_rate_pages_and_appears_in_the_report(self):
        """Guards against a report without an alarm for a failing service."""

        def prepare(kernel_by_id):
            for name in ("scheduler-1", "scheduler-4"):
                outcomes = kernel_by_id[name].get("outcomes")
                for _ in range(90):
                    outcomes.record("scheduler", "answered", 0.1)
                for _ in range(5):
                    outcomes.record("scheduler", "unknown", 0.1)
                for _ in range(5):
                    outcomes.record("scheduler", "answered", 2.5)

        page = self.folder / "burn.html"
        options = ["--settings", self.settings_file, *self.peers()]
        command = ["report", "burn", "--json", "--check", "--html", page]
        (result,) = self.run_tool([*command, *options], prepare=prepare)
        self.assertEqual(8, result.exit_code, result.output)
        (service,) = json.loads(result.stdout)["services"]
        window = service["window_by_name"]["5 min"]
        self.assertEqual((200, 20), (window["total"], window["bad"]))
        # 10% of requests are bad and the objective allows 0.1%.
        self.assertAlmostEqual(100.0, window["burn"], places=3)
        self.assertLess(window["covered"], 0.5)
        self.assertEqual("page", service["level"])
        text = page.read_text(encoding="utf-8")
        self.assertIn("scheduler is using up the error budget", text)
        self.assertNotIn("http://", text)
        self.assertNotIn("https://", text)

    def test_missing_answers_and_a_wrong_key_set_the_exit_code(self):
        """Guards against scripts that treat a partial answer as complete."""
        wrong_key_file = self.folder / "wrong.toml"
        text = self.settings_file.read_text(encoding="utf-8")
        wrong_key_file.write_text(
            text.replace(KEY, OTHER_KEY), encoding="utf-8"
        )
        silent_peer = f"{tool_daemons.new_host()}:7001"
        options = ["--settings", self.settings_file]
        partial_result, unanswered_result, refused_result = self.run_tool(
            ["status", *options, *self.peers(), "--peer", silent_peer],
            ["status", *options, "--peer", silent_peer],
            ["status", "--settings", wrong_key_file, *self.peers()],
        )
        self.assertEqual(7, partial_result.exit_code, partial_result.output)
        self.assertIn(silent_peer, partial_result.output)
        self.assertIn("scheduler-4", partial_result.output)
        self.assertEqual(
            6, unanswered_result.exit_code, unanswered_result.output
        )
        self.assertIn("no daemon answered", unanswered_result.output)
        self.assertEqual(6, refused_result.exit_code, refused_result.output)
        self.assertIn("key", refused_result.output)

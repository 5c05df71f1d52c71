"""Tests of errors for wrong answers, settings and command lines."""

import contextlib
import pathlib
import subprocess
import sys
import tempfile
import unittest

import parameterized
import typer.testing

from bramleypin import cli
from bramleypin import daemon

ROOT = pathlib.Path(__file__).resolve().parents[2]
ANSWERS = (ROOT / "examples/lone-star/answers.toml").read_text("utf-8")
BALANCER = (ROOT / "examples/lone-star/entry-1.toml").read_text("utf-8")
AGENT = (ROOT / "examples/lone-star/scheduler-1.toml").read_text("utf-8")

# Each entry: text of the example, its invalid replacement, and words that the
# error must contain (key, value and remedy).
WRONG_ANSWERS = [
    ("slots = 5", 'slots = "five"', ("each_host.slots", "five", "whole")),
    ("slots = 5", "slots = 0", ("each_host.slots", "0", "at least 1")),
    ("slots = 5", "slotz = 5", ("each_host.slotz", "slots?")),
    ("cold_slots = 1", "cold_slots = 6", ("cold_slots = 6", "from 1 to 5")),
    ("must_succeed = 0.999", "must_succeed = 1.0", ("1.0", "less than 1")),
    ("must_succeed = 0.999", "must_succeed = 99.9", ("99.9", "less than 1")),
    ("requests_per_s = 60.0", "", ("requests_per_s", "add it", "60.0")),
    ("requests_per_s = 60.0", "requests_per_s = -1.0", ("at least 0",)),
    ("requests_per_s = 60.0", "requests_per_s = inf", ("finite",)),
    ("slot_time_s = 0.25", "slot_time_s = 0", ("more than 0",)),
    ("longest_request_s = 30.0", "longest_request_s = 300", ("at most 120",)),
    ("answer_within_s = 2.0", "answer_within_s = 31.0", ("31.0", "30.0")),
    ('protocol = "coap"', 'protocol = "tcp"', ("tcp", "'datagram'")),
    ('["POST", "PATCH"]', '["post"]', ("run_once[0]", "post", "'POST'")),
    ('["POST", "PATCH"]', '"POST"', ("run_once", "list in brackets")),
    ('["127.10.0.10:5683"]', '["scheduler:5683"]', ("numeric IPv4",)),
    ('["127.10.0.10:5683"]', '["127.10.0.10"]', ("and a port",)),
    ('["127.10.0.10:5683"]', "[]", ("addresses", "at least 1")),
    ('address = "127.10.1.11"', 'address = "h"', ("scheduler-1", "IPv4")),
    ('address = "127.10.1.11"', "address = 7", ("7", "text in quotes")),
    ('id = "scheduler-2"', 'id = "scheduler-1"', ("scheduler-1", "twice")),
    ('name = "planstore"', 'name = "scheduler"', ("scheduler", "twice")),
    ('name = "planstore"', 'name = "Plan Store"', ("lower-case letters",)),
    ('"waco"\naddress', '"dallas"\naddress', ("dallas", "waco")),
    ("survives_loss = true", 'survives_loss = "yes"', ("true or false",)),
    ("[deployment]", "[deployment", ("TOML syntax", "line")),
    ("[deployment]", "[deploymnt]", ("deploymnt", "deployment?")),
]

WRONG_SETTINGS = [
    (BALANCER, 'role = "balancer"', 'role = "router"', ("role", "router")),
    (BALANCER, 'id = "entry-1"', "", ("id",)),
    (BALANCER, "[addresses]", "[adresses]", ("adresses",)),
    (BALANCER, "0f1e2d3c", "xyzw2d3c", ("keys[0]", "64 hexadecimal")),
    (BALANCER, "127.10.1.1:7000", "entry-1:7000", ("data", "IPv4")),
    (BALANCER, "127.10.1.1:7001", "127.10.1.1", ("control", "IPv4")),
    (BALANCER, 'level = "INFO"', "level = 3", ("level", "3")),
    (AGENT, "[endpoint]", "[logs.x]", ("logs",)),
    (AGENT, 'service = "scheduler"', "", ("service",)),
    (AGENT, 'role = "agent"', 'role = "balancer"', ("endpoint", "remove")),
]

# Each entry: command line, exit code and words that the error must contain.
WRONG_COMMANDS = [
    ("configuration generate none.toml --output x", 2, ("none.toml",)),
    ("configuration check none", 2, ("none", "manifest.cbor")),
    ("configuration explain x --answers a.toml", 1, ("'x'", "scheduler")),
    ("configuration generate a.toml", 2, ("--output",)),
    ("domain out dallas --configuration c", 1, ("dallas", "waco")),
    ("domain return waco --configuration c", 5, ("waco", "already")),
    ("questionnaire new a.toml --answers a.toml", 2, ("revise", "--force")),
    ("status --settings none.toml", 2, ("none.toml",)),
    ("status --settings s.toml --peer entry-1", 2, ("--peer", "7001")),
    ("trace", 2, ("argument",)),
    ("placement 10.0.0.1:443 10.0.0.9:1025", 2, ("--metrics",)),
    (
        "placement 10.0.0.1 10.0.0.9:1025 --metrics 10.0.0.2:9102",
        2,
        ("SERVICE", "198.18.0.1:443"),
    ),
    (
        "placement 10.0.0.1:443 tablet:1 --metrics 10.0.0.2:9102",
        2,
        ("CALLER", "'tablet:1'"),
    ),
    (
        "placement 10.0.0.1:443 10.0.0.9:1025 --metrics 10.0.0.2:0",
        2,
        ("--metrics", "9102"),
    ),
    ("nothing", 2, ("nothing",)),
]


def run(arguments):
    """Run the tool and return exit code and output."""
    result = typer.testing.CliRunner().invoke(cli.application, arguments)
    if not isinstance(result.exception, SystemExit | None):
        raise result.exception
    # Error boxes wrap lines; joining the lines lets tests match text across
    # line breaks.
    return result.exit_code, " ".join(result.output.split())


class TestErrors(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    @parameterized.parameterized.expand(WRONG_ANSWERS)
    def test_a_wrong_answer_gives_a_clear_error(
        self, original, replacement, words
    ):
        """Guards against tracebacks and errors that name no remedy."""
        path = self.folder / "answers.toml"
        self.assertIn(original, ANSWERS)
        path.write_text(
            ANSWERS.replace(original, replacement, 1), encoding="utf-8"
        )
        output = self.folder / "output"
        code, text = run(
            ["configuration", "generate", str(path), "--output", str(output)]
        )
        self.assertEqual(2, code, text)
        self.assertIn(str(path), text)
        for word in words:
            self.assertIn(word, text)
        self.assertFalse(output.exists())

    @parameterized.parameterized.expand(WRONG_SETTINGS)
    def test_a_wrong_setting_gives_a_clear_error(
        self, settings, original, replacement, words
    ):
        """Guards against daemons that start with invalid settings."""
        path = self.folder / "settings.toml"
        self.assertIn(original, settings)
        path.write_text(
            settings.replace(original, replacement, 1), encoding="utf-8"
        )
        result = typer.testing.CliRunner().invoke(
            daemon.application, ["--settings", str(path), "--check"]
        )
        self.assertEqual(2, getattr(result.exception, "exit_code", None))
        text = str(result.exception)
        self.assertIn(str(path), text)
        for word in words:
            self.assertIn(word, text)

    @parameterized.parameterized.expand(WRONG_COMMANDS)
    def test_a_wrong_command_has_an_exit_code_and_a_remedy(
        self, command, expected, words
    ):
        """Guards against wrong exit codes and errors that name no remedy."""
        with self._folder_with_files():
            code, text = run(command.split())
        self.assertEqual(expected, code, text)
        for word in words:
            self.assertIn(word, text)

    def _folder_with_files(self):
        (self.folder / "a.toml").write_text(ANSWERS, encoding="utf-8")
        (self.folder / "s.toml").write_text(BALANCER, encoding="utf-8")
        answers = str(self.folder / "a.toml")
        output = str(self.folder / "c")
        run(["configuration", "generate", answers, "--output", output])
        return contextlib.chdir(self.folder)


class TestHelpAndImports(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("questionnaire new",),
            ("questionnaire revise",),
            ("configuration generate",),
            ("configuration check",),
            ("configuration diff",),
            ("configuration explain",),
            ("domain out",),
            ("domain return",),
            ("status",),
            ("trace",),
            ("placement",),
            ("report burn",),
        ]
    )
    def test_every_command_shows_an_example(self, command):
        """Guards against help texts without an example."""
        code, text = run([*command.split(), "--help"])
        self.assertEqual(0, code)
        self.assertIn(f"bramleypin {command}", text)

    def test_the_version_and_completion_are_offered(self):
        """Guards against a missing version or shell completion option."""
        self.assertRegex(run(["--version"])[1], r"^bramleypin \d+\.\d+\.\d+$")
        self.assertIn("--install-completion", run(["--help"])[1])

    def test_the_daemon_imports_nothing_of_the_tool(self):
        """Guards against 9 MB for pydantic in each of 1,500 daemons."""
        code = (
            "import sys\n"
            "from bramleypin import daemon\n"
            "from bramleypin.internal import services\n"
            "services.load('balancer')\n"
            "services.load('agent')\n"
            "heavy = {'pydantic', 'tomlkit', 'rich'} & sys.modules.keys()\n"
            "print(*sorted(heavy))\n"
        )
        result = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("", result.stdout.strip())

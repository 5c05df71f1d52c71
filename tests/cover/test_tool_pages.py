"""Tests that the commands on the operators' page work as written."""

import contextlib
import json
import pathlib
import re
import shlex
import shutil
import tempfile
import unittest

import typer.testing

from bramleypin import cli
from bramleypin import daemon
from bramleypin.internal.tool import output

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGE = (ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")
APPLICATION_BY_PROGRAM = {
    "bramleypin": cli.application,
    "bramleypind": daemon.application,
}
# The first block installs the project, which is already installed for tests.
INSTALL_BLOCKS = 1


def commands():
    """Return the command lines of the page's sh blocks, in order."""
    blocks = re.findall(r"```sh\n(.*?)```", PAGE, re.DOTALL)
    return [
        line
        for block in blocks[INSTALL_BLOCKS:]
        for line in block.splitlines()
    ]


def run(line):
    """Run one command line in the current folder and return its output."""
    program, *arguments = shlex.split(line.replace("$PROJECT", str(ROOT)))
    if program == "cp" and arguments[0] == "-r":
        source, target = map(pathlib.Path, arguments[1:])
        shutil.copytree(source, target / source.name)
        return ""
    application = APPLICATION_BY_PROGRAM[program]
    result = typer.testing.CliRunner().invoke(application, arguments)
    if result.exit_code:
        raise AssertionError(f"{line}\n{result.output}\n{result.exception!r}")
    return result.output


class TestOperationsPage(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.enterContext(contextlib.chdir(folder.name))

    def test_every_command_of_the_page_succeeds_in_order(self):
        """Guards against commands that fail when run in the page's order."""
        output_by_line = {line: run(line) for line in commands()}
        text = "\n".join(output_by_line.values())
        self.assertIn("revision 1 is valid", text)
        self.assertIn("revision 2 is valid", text)
        self.assertRegex(text, r"scheduler: loses 2 of 7 endpoints; \d+% of")
        revisions = {
            name: json.loads(
                pathlib.Path(name, "configuration.json").read_text("utf-8")
            )["revision"]
            for name in ("current", "next", "back")
        }
        self.assertEqual({"current": 1, "next": 2, "back": 3}, revisions)

    def test_the_page_lists_every_exit_code(self):
        """Guards against exit codes that the page omits or misstates."""
        for code, meaning in output.EXIT_CODES.items():
            self.assertIn(f"| {code} | {meaning} |", PAGE)

    def test_the_page_shows_no_command_that_does_not_exist(self):
        """Guards against commands or options that no longer exist."""
        blocks = re.findall(r"```console\n(.*?)```", PAGE, re.DOTALL)
        lines = [
            line
            for block in blocks
            for line in block.splitlines()
            if line.startswith("bramleypin ")
        ]
        self.assertTrue(lines)
        for line in lines:
            words = shlex.split(line)[1:]
            options = [word for word in words if word.startswith("--")]
            groups = ("report", "domain")
            command = words[: 2 if words[0] in groups else 1]
            result = typer.testing.CliRunner().invoke(
                cli.application, [*command, "--help"]
            )
            self.assertEqual(0, result.exit_code, line)
            for option in options:
                self.assertIn(option, result.output)

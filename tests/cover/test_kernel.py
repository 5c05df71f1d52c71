"""Tests of the kernel, the daemon ``bramleypind`` and its settings."""

import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import unittest

import anyio
import msgspec
import parameterized

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import environment
from bramleypin.internal import services
from bramleypin import settings as settings_module

KEY = "ab" * settings_module.KEY_BYTES
SETTINGS = f"""
role = "balancer"
id = "entry-1"
failure_domain = "austin"
keys = ["{KEY}"]
[addresses]
data = "127.0.0.1:0"
control = "127.0.0.1:0"
"""
START_TIMEOUT_S = 20


def _kernel_with(
    calls: list[str], failing_service: str | None = None
) -> kernel_module.Kernel:
    """Return a kernel with three services that record their calls.

    ``run`` of the service ``failing_service`` raises an error.
    """

    def service_class(name: str) -> type:
        class RecordingService(kernel_module.Service):
            async def start(self) -> None:
                calls.append(f"start {name}")

            async def run(self) -> None:
                if name == failing_service:
                    raise errors.LinkClosed("closed by the peer")
                await anyio.sleep_forever()

            async def drain(self) -> None:
                calls.append(f"drain {name}")

            async def stop(self) -> None:
                calls.append(f"stop {name}")

        return RecordingService

    role = "test"
    for name, dependencies in (("top", ("middle",)), ("middle", ("base",))):
        kernel_module.service(name, (role,), dependencies)(service_class(name))
    kernel_module.service("base", (role,))(service_class("base"))
    settings = settings_module.parse(SETTINGS)
    role_settings = msgspec.structs.replace(settings, role=role)
    env = environment.Environment(
        None, None, None, None, random=random.Random(1)
    )
    return kernel_module.Kernel(role_settings, env)


class TestKernel(unittest.TestCase):
    def tearDown(self) -> None:
        entries = kernel_module.SERVICES.entry_by_name
        for key in [key for key in entries if key.startswith("test/")]:
            del entries[key]

    def test_services_stop_in_the_reverse_order_of_their_start(self):
        """Guards against a service that outlives one of its dependencies."""
        calls: list[str] = []
        kernel = _kernel_with(calls)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kernel.run)
                await kernel.started.wait()
                kernel.shutdown()

        anyio.run(main, backend="trio")
        order = ["base", "middle", "top"]
        reverse_order = list(reversed(order))
        expected = [f"start {name}" for name in order]
        expected += [f"drain {name}" for name in reverse_order]
        expected += [f"stop {name}" for name in reverse_order]
        self.assertEqual(expected, calls)

    def test_a_failing_service_ends_the_daemon_and_is_named(self):
        """Guards against a daemon that keeps running without a service."""
        calls: list[str] = []
        kernel = _kernel_with(calls, failing_service="middle")
        with self.assertRaises(errors.ServiceFailed) as caught:
            anyio.run(kernel.run, backend="trio")
        self.assertEqual("middle", caught.exception.service)
        self.assertIsInstance(caught.exception.cause, errors.LinkClosed)
        self.assertIn("stop base", calls)

    @parameterized.parameterized.expand([("balancer",), ("agent",)])
    def test_every_service_of_a_role_has_what_it_needs(self, role):
        """Guards against a dependency that is not registered."""
        services.load(role)
        names = [item.name for item in kernel_module.start_order(role)]
        for entry in kernel_module.start_order(role):
            for dependency in entry.needs:
                starts_first = names.index(dependency) < names.index(
                    entry.name
                )
                self.assertTrue(
                    starts_first, f"{entry.name} needs {dependency}"
                )


class TestDaemon(unittest.TestCase):
    def _run(self, text: str, *arguments: str) -> subprocess.Popen:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.toml"
        path.write_text(text, encoding="utf-8")
        program = "from bramleypin import daemon; daemon.main()"
        command = [sys.executable, "-c", program, "--settings", str(path)]
        return subprocess.Popen(
            [*command, *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    def test_sigterm_ends_a_daemon_gracefully(self):
        """Guards against a shutdown that drops work or reports a failure.

        SIGHUP before SIGTERM must not end the daemon.
        """
        process = self._run(SETTINGS)
        lines = []
        for line in process.stderr:
            lines.append(line)
            if "kernel: started" in line:
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                break
        _, remaining_lines = process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(
            0, process.returncode, "".join(lines) + remaining_lines
        )
        self.assertIn("kernel: stopped", remaining_lines)

    @parameterized.parameterized.expand(
        [
            ("unknown_role", 'role = "balancer"', 'role = "proxy"', "role"),
            ("unknown_key", "[addresses]", "[adresses]", "did you mean addr"),
            ("missing_key", 'id = "entry-1"', "", "id = None: this key is"),
            ("short_key", KEY, "ab", "keys"),
            ("bad_address", '"127.0.0.1:0"', '"localhost"', "addresses.data"),
        ]
    )
    def test_wrong_settings_end_the_daemon_with_one_line(
        self, _, original, replacement, key
    ):
        """Guards against a traceback for invalid settings."""
        process = self._run(SETTINGS.replace(original, replacement), "--check")
        _, error_text = process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(2, process.returncode, error_text)
        self.assertEqual(1, len(error_text.strip().splitlines()), error_text)
        self.assertIn(key, error_text)

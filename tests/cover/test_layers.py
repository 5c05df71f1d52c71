"""Tests of the dependencies between the adapter and other modules."""

import ast
import pathlib
import unittest

import parameterized

SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src" / "bramleypin"
ADAPTER = SOURCE / "platform"
# Names of the users' platform, which only the adapter may use.
PLATFORM_NAMES = (
    "BRAMLEYPIN_BOOT",
    "cold_remaining_ms",
    "datagram_addr",
    "heartbeat_ms",
    "internal_ports",
    "kv-range",
    "kv-watch",
    "op/config",
    "op/evacuate",
    "ready_addr",
    "tombstone",
)
# Maximum size of the adapter in lines, from issue 8.
MAX_ADAPTER_LINES = 700


def modules_outside(excluded_folder: pathlib.Path):
    """Yield the modules that are outside a folder."""
    for path in sorted(SOURCE.rglob("*.py")):
        if excluded_folder not in path.parents:
            yield path


class LayersTest(unittest.TestCase):
    @parameterized.parameterized.expand([(name,) for name in PLATFORM_NAMES])
    def test_only_the_adapter_uses_the_platform_name(self, name):
        """Guards against decisions that depend on the platform's names."""
        offending_files = [
            str(path.relative_to(SOURCE))
            for path in modules_outside(ADAPTER)
            if name in path.read_text(encoding="utf-8")
        ]
        self.assertEqual([], offending_files)

    def test_nothing_imports_the_adapter(self):
        """Guards against a load balancer that requires this platform."""
        offending_files = []
        for path in modules_outside(ADAPTER):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            for node in ast.walk(tree):
                if isinstance(node, ast.ImportFrom):
                    imported_names = [
                        f"{node.module}.{a.name}" for a in node.names
                    ]
                elif isinstance(node, ast.Import):
                    imported_names = [alias.name for alias in node.names]
                else:
                    continue
                if any(
                    n.startswith("bramleypin.platform") for n in imported_names
                ):
                    offending_files.append(str(path.relative_to(SOURCE)))
        self.assertEqual([], offending_files)

    def test_the_adapter_stays_under_its_line_limit(self):
        """Guards against balancing decisions moving into the adapter."""
        line_count = sum(
            len(path.read_text(encoding="utf-8").splitlines())
            for path in ADAPTER.glob("*.py")
        )
        self.assertLess(line_count, MAX_ADAPTER_LINES)

"""Which parts of the product may know of which."""

import ast
import pathlib
import unittest

import parameterized

SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src" / "bramleypin"
ADAPTER = SOURCE / "platform"
# Names of the users' platform, which the adapter decodes.
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
# The goal of issue 8 for the adapter, in lines.
MAX_ADAPTER_LINES = 700


def modules(outside: pathlib.Path):
    """Yield the modules that are not in a folder."""
    for path in sorted(SOURCE.rglob("*.py")):
        if outside not in path.parents:
            yield path


class LayersTest(unittest.TestCase):
    @parameterized.parameterized.expand([(name,) for name in PLATFORM_NAMES])
    def test_only_the_adapter_names(self, name):
        """Guards against the platform's names in the product's decisions."""
        found = [
            str(path.relative_to(SOURCE))
            for path in modules(ADAPTER)
            if name in path.read_text(encoding="utf-8")
        ]
        self.assertEqual([], found)

    def test_nothing_imports_the_adapter(self):
        """Guards against a product that needs this platform."""
        found = []
        for path in modules(ADAPTER):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            for node in ast.walk(tree):
                if isinstance(node, ast.ImportFrom):
                    named = [f"{node.module}.{a.name}" for a in node.names]
                elif isinstance(node, ast.Import):
                    named = [alias.name for alias in node.names]
                else:
                    continue
                if any(n.startswith("bramleypin.platform") for n in named):
                    found.append(str(path.relative_to(SOURCE)))
        self.assertEqual([], found)

    def test_the_adapter_stays_small(self):
        """Guards against decisions that gather in the adapter."""
        lines = sum(
            len(path.read_text(encoding="utf-8").splitlines())
            for path in ADAPTER.glob("*.py")
        )
        self.assertLess(lines, MAX_ADAPTER_LINES)

"""Tests of the dependencies between the adapter and other modules."""

import ast
import importlib
import importlib.metadata
import pathlib
import subprocess
import sys
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


def missing_names(path: pathlib.Path) -> list[str]:
    """Return what a file takes from project modules that do not have it."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    module_by_name = {}
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module.startswith(
            "bramleypin"
        ):
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                module = importlib.import_module(name)
                module_by_name[alias.asname or alias.name] = module
    # A variable may have the name of an imported module.
    variables = {
        node.id
        for node in ast.walk(tree)
        if isinstance(node, ast.Name) and not isinstance(node.ctx, ast.Load)
    } | {node.arg for node in ast.walk(tree) if isinstance(node, ast.arg)}
    return [
        f"{node.value.id}.{node.attr}"
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id in module_by_name.keys() - variables
        and not hasattr(module_by_name[node.value.id], node.attr)
    ]


class LayersTest(unittest.TestCase):
    def test_every_name_that_a_module_takes_from_another_one_exists(self):
        """Guards against a renamed function that a bench still calls."""
        self.assertEqual(
            {},
            {
                str(path.relative_to(SOURCE)): names
                for path in sorted(SOURCE.rglob("*.py"))
                if (names := missing_names(path))
            },
        )

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

    def test_the_build_installs_all_libraries_of_the_daemons(self):
        """Guards against daemons that do not start on the platform.

        The project's own environment has libraries that the deployment's
        build does not install.
        """
        requirements = SOURCE.parents[1] / "deploy" / "requirements.txt"
        script = (
            "import sys\n"
            "from bramleypin.internal import services\n"
            "from bramleypin.platform import boot, packet, store\n"
            "services.load('stream_balancer')\n"
            "services.load('stream_agent')\n"
            "print(*{name.partition('.')[0] for name in sys.modules})\n"
        )
        output = subprocess.run(
            [sys.executable, "-c", script],
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        loaded = {name.lower() for name in output.split()}
        declared = {
            requirement.partition("==")[0].lower()
            for requirement in importlib.metadata.requires("bramleypin")
            if "extra ==" not in requirement
        }
        installed = {
            line.partition("==")[0].lower()
            for line in requirements.read_text(encoding="utf-8").splitlines()
        }
        self.assertIn("xxhash", loaded)
        self.assertEqual(set(), (loaded & declared) - installed)

    def test_the_adapter_stays_under_its_line_limit(self):
        """Guards against balancing decisions moving into the adapter."""
        line_count = sum(
            len(path.read_text(encoding="utf-8").splitlines())
            for path in ADAPTER.glob("*.py")
        )
        self.assertLess(line_count, MAX_ADAPTER_LINES)

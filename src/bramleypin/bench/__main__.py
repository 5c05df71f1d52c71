"""Command line of the benchmarks.

``python -m bramleypin.bench`` runs all benches. Arguments select benches by
name: ``python -m bramleypin.bench open`` runs only the bench ``open``.
"""

import importlib
import pkgutil
import sys

import loguru

from bramleypin import bench as bench_package
from bramleypin.bench import rows
from bramleypin import errors

# All other modules of the package are imported, since any of them may register
# a bench. This one is running, and ``rows`` only holds the registry.
_SKIPPED_MODULES = frozenset(("__main__", "rows"))


def load_benches() -> None:
    """Import the modules of this package, which registers their benches."""
    for module in pkgutil.iter_modules(bench_package.__path__):
        if module.name not in _SKIPPED_MODULES:
            importlib.import_module(f"bramleypin.bench.{module.name}")


def main(names: list[str]) -> int:
    """Run the named benches, or all, and print their rows.

    Returns the exit code of the process.
    """
    # Log lines would mix with the printed rows and slow the measured loops.
    loguru.logger.remove()
    load_benches()
    for name in names or sorted(rows.BENCHES.entry_by_name):
        try:
            bench = rows.BENCHES.get(name)
        except errors.UnknownName as error:
            print(error, file=sys.stderr)
            return error.exit_code
        for row in bench():
            print(row.to_json(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""Runs all tests, passing over exactly those that KNOWN-RED.txt lists.

The classes of tests are spread over worker processes, so that the whole run
takes about as long as the longest class.
"""

import collections
import concurrent.futures
import io
import os
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red_ids() -> set[str]:
    """Return the test ids on the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    prefix = "test: "
    return {line[len(prefix) :] for line in lines if line.startswith(prefix)}


def flatten(suite: unittest.TestSuite):
    """Yield the single tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def run_group(ids: list[str]) -> tuple[str, int, int, int]:
    """Run tests; return the report and how many ran, failed, were skipped."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(ids)
    stream = io.StringIO()
    result = unittest.TextTestRunner(stream=stream, verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    return stream.getvalue(), result.testsRun, failed, len(result.skipped)


def groups_of(
    tests: list[unittest.TestCase], red: set[str]
) -> dict[str, list[str]]:
    """Return the ids to run by the name of their class.

    A module that cannot be imported is a class of its own here, whose one
    test fails when the worker tries to load it.
    """
    ids_by_class: dict[str, list[str]] = collections.defaultdict(list)
    for test in tests:
        if test.id() not in red:
            id_ = test.id()
            failed_import = id_.startswith("unittest.loader._FailedTest.")
            if failed_import:
                id_ = id_.removeprefix("unittest.loader._FailedTest.")
            name = id_ if failed_import else id_.rpartition(".")[0]
            ids_by_class[name].append(id_)
    return ids_by_class


def main() -> int:
    """Run the tests and return the process's exit code."""
    loader = unittest.TestLoader()
    everything = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    tests = list(flatten(everything))
    red = known_red_ids()
    for test in tests:
        if test.id() in red:
            print(f"known red, passed over: {test.id()}")
    ids_by_class = groups_of(tests, red)
    # The classes with most tests take longest, so they start first.
    names = sorted(ids_by_class, key=lambda name: -len(ids_by_class[name]))
    ran = failed = skipped = 0
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as workers:
        groups = [ids_by_class[name] for name in names]
        for name, outcome in zip(names, workers.map(run_group, groups)):
            report, group_ran, group_failed, group_skipped = outcome
            ran += group_ran
            failed += group_failed
            skipped += group_skipped
            if group_failed:
                print(report)
            print(f"{name}: {group_ran} run, {group_failed} failed")
    selected = sum(len(ids) for ids in ids_by_class.values())
    if ran != selected:
        # A class that fails in its setup runs none of its tests.
        print(f"{selected - ran} of {selected} selected tests did not run")
        failed += selected - ran
    passed = max(0, ran - failed - skipped)
    skipped += len(tests) - selected
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())

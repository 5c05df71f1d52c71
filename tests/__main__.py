"""Runs all tests except those listed in KNOWN-RED.txt.

Test classes run in parallel in worker processes, so that a run takes about as
long as the slowest class.
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
    """Return the test ids in the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    prefix = "test: "
    return {line[len(prefix) :] for line in lines if line.startswith(prefix)}


def flatten(suite: unittest.TestSuite):
    """Yield the test cases of a suite and its nested suites."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield test


def run_group(ids: list[str]) -> tuple[str, int, int, int]:
    """Run tests by id.

    Returns the report and the numbers of tests run, failed and skipped.
    """
    suite = unittest.defaultTestLoader.loadTestsFromNames(ids)
    stream = io.StringIO()
    result = unittest.TextTestRunner(stream=stream, verbosity=1).run(suite)
    failed_count = len(result.failures) + len(result.errors)
    failed_count += len(result.unexpectedSuccesses)
    return (
        stream.getvalue(),
        result.testsRun,
        failed_count,
        len(result.skipped),
    )


def groups_of(
    tests: list[unittest.TestCase], known_red: set[str]
) -> dict[str, list[str]]:
    """Return the ids of the tests to run, grouped by class name.

    A module that cannot be imported is a group of its own. Its only test
    fails when the worker tries to load it.
    """
    ids_by_class: dict[str, list[str]] = collections.defaultdict(list)
    for test in tests:
        if test.id() not in known_red:
            test_id = test.id()
            is_import_failure = test_id.startswith(
                "unittest.loader._FailedTest."
            )
            if is_import_failure:
                test_id = test_id.removeprefix("unittest.loader._FailedTest.")
            name = test_id if is_import_failure else test_id.rpartition(".")[0]
            ids_by_class[name].append(test_id)
    return ids_by_class


def main() -> int:
    """Run the tests and return the exit code."""
    loader = unittest.TestLoader()
    suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    tests = list(flatten(suite))
    known_red = known_red_ids()
    for test in tests:
        if test.id() in known_red:
            print(f"skipped, listed in KNOWN-RED.txt: {test.id()}")
    ids_by_class = groups_of(tests, known_red)
    # Classes with more tests usually take longer, so they start first.
    names = sorted(ids_by_class, key=lambda name: -len(ids_by_class[name]))
    run_count = failed_count = skipped_count = 0
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as workers:
        groups = [ids_by_class[name] for name in names]
        for name, outcome in zip(names, workers.map(run_group, groups)):
            report, group_run, group_failed, group_skipped = outcome
            run_count += group_run
            failed_count += group_failed
            skipped_count += group_skipped
            if group_failed:
                print(report)
            print(f"{name}: {group_run} run, {group_failed} failed")
    selected_count = sum(len(ids) for ids in ids_by_class.values())
    if run_count != selected_count:
        # If the setup of a class fails, none of its tests run.
        print(
            f"{selected_count - run_count} of {selected_count} "
            "selected tests did not run"
        )
        failed_count += selected_count - run_count
    passed_count = max(0, run_count - failed_count - skipped_count)
    skipped_count += len(tests) - selected_count
    print(
        f"{passed_count} passed, {failed_count} failed, "
        f"{skipped_count} skipped"
    )
    return 1 if failed_count or not passed_count else 0


if __name__ == "__main__":
    sys.exit(main())

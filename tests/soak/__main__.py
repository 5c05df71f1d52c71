"""Command that runs the soak test with one or more seeds."""

import argparse
import os
import pathlib
import random
import shutil
import sys
import tempfile
import time

import anyio

from tests.soak import deployment as deployment_module

# Number of values of the second and of the third octet of the loopback
# addresses. The process id determines the second and the seed the third, so
# that concurrent runs use different addresses.
OCTET_VALUES = 200


def run(seed: int, logs: pathlib.Path | None = None) -> tuple[list[str], str]:
    """Run one seed; return the violations and a summary of outcomes.

    The daemons' logs are kept in ``logs`` or, if that is not given and there
    are violations, in a new folder that the last violation names.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = logs or pathlib.Path(temporary)
        violations, summary = _run_in(seed, folder)
        if violations and logs is None:
            kept = tempfile.mkdtemp(prefix=f"bramleypin-soak-{seed}-")
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            violations.append(f"logs are kept in {kept}")
    return violations, summary


def _run_in(seed: int, folder: pathlib.Path) -> tuple[list[str], str]:
    net = f"127.{20 + os.getpid() % OCTET_VALUES}.{seed % OCTET_VALUES}"

    async def main() -> tuple[list[str], str]:
        deployment = deployment_module.Deployment(folder, net, seed)
        return await deployment.run_scenario(), deployment.summary()

    return anyio.run(main)


def main() -> int:
    """Run all seeds; return exit code 1 when any seed has violations."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, help="run only this seed")
    parser.add_argument(
        "--first", type=int, default=1, help="first seed of the range"
    )
    parser.add_argument(
        "--count", type=int, default=10, help="number of seeds"
    )
    parser.add_argument(
        "--fresh", action="store_true", help="choose random seeds"
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="folder to keep daemon logs in"
    )
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.count))
    if options.seed is not None:
        seeds = [options.seed]
    elif options.fresh:
        seeds = [
            random.randrange(1, OCTET_VALUES * OCTET_VALUES) for _ in seeds
        ]
    failed = 0
    for seed in seeds:
        started_s = time.monotonic()
        folder = None
        if options.logs is not None:
            folder = options.logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        violations, summary = run(seed, folder)
        duration_s = time.monotonic() - started_s
        verdict = f"{len(violations)} violations" if violations else "ok"
        print(
            f"seed {seed}: {verdict} in {duration_s:.0f} s; {summary}",
            flush=True,
        )
        for violation in [*violations[:10], *violations[10:][-1:]]:
            print(f"  {violation}")
        failed += bool(violations)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs the soak with a range of seeds."""

import argparse
import os
import pathlib
import random
import sys
import tempfile
import time

import anyio

from tests.soak import world

# The process and the seed set the second and third number of the loopback
# addresses, so that several runs do not meet.
NETS = 200


def run(seed: int, folder: pathlib.Path) -> tuple[list[str], str]:
    """Play one seed; return what was violated, and a summary."""
    net = f"127.{20 + os.getpid() % NETS}.{seed % NETS}"

    async def main() -> tuple[list[str], str]:
        played = world.World(folder, net, seed)
        return await played.play(), played.summary()

    return anyio.run(main)


def main() -> int:
    """Play the seeds and return the process's exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument("--seed", type=int, help="play this seed alone")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=10, help="how many")
    parser.add_argument("--fresh", action="store_true", help="random seeds")
    parser.add_argument("--logs", type=pathlib.Path, help="keep logs here")
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.count))
    if options.seed is not None:
        seeds = [options.seed]
    elif options.fresh:
        seeds = [random.randrange(1, NETS * NETS) for _ in seeds]
    failed = 0
    for seed in seeds:
        started_s = time.monotonic()
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if options.logs is not None:
                folder = options.logs / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            violations, summary = run(seed, folder)
        seconds = time.monotonic() - started_s
        verdict = f"{len(violations)} violations" if violations else "ok"
        print(
            f"seed {seed}: {verdict} in {seconds:.0f} s; {summary}", flush=True
        )
        for violation in violations[:10]:
            print(f"  {violation}")
        failed += bool(violations)
    print(f"{len(seeds) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Runs cells in several worker processes."""

import collections.abc
import concurrent.futures
import logging
import multiprocessing
import traceback

from bramleypin.internal.observe import logs
from bramleypin.matrix import broken  # noqa: F401
from bramleypin.matrix import cell
from bramleypin.matrix import variants
from bramleypin import settings

MAX_WORKERS = 6


def prepare() -> None:
    """Turn the daemons' logs off in this process."""
    logging.disable(logging.CRITICAL)
    logs.configure(settings.Logs(level="CRITICAL"))


def run_one(name: cell.CellSpec, variant: str = "") -> cell.Result:
    """Run a cell, under a broken variant if one is named.

    An error of the cell itself counts as a violation.
    """
    try:
        with variants.applied(variant):
            return cell.run_cell(name)
    except Exception:
        text = traceback.format_exc().strip()
        violation = f"cell: ended with an error: {text}"
        return cell.Result(str(name), name.seed, (violation,), 0, 0, 0, False)


def run(
    names: collections.abc.Sequence[cell.CellSpec],
    workers: int = MAX_WORKERS,
    variant: str = "",
) -> collections.abc.Iterator[cell.Result]:
    """Yield the cells' results as they end."""
    if workers <= 1 or len(names) == 1:
        prepare()
        for name in names:
            yield run_one(name, variant)
        return
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        min(workers, MAX_WORKERS), context, initializer=prepare
    ) as executor:
        waiting = [executor.submit(run_one, name, variant) for name in names]
        for future in concurrent.futures.as_completed(waiting):
            yield future.result()

"""Runs cells in several worker processes."""

import collections.abc
import concurrent.futures
import logging
import multiprocessing
import traceback

from bramleypin.internal.observe import logs

# Imported to register the broken variants.
from bramleypin.matrix import broken  # noqa: F401
from bramleypin.matrix import cell
from bramleypin.matrix import variants
from bramleypin import settings

MAX_WORKERS = 6


def disable_logs() -> None:
    """Disable the daemons' logs in this process."""
    logging.disable(logging.CRITICAL)
    logs.configure(settings.Logs(level="CRITICAL"))


def run_one(spec: cell.CellSpec, variant: str = "") -> cell.Result:
    """Run a cell, with a broken variant applied if one is named.

    An exception raised by the cell itself counts as a violation.
    """
    try:
        with variants.apply_variant(variant):
            return cell.run_cell(spec)
    except Exception:
        text = traceback.format_exc().strip()
        violation = f"cell: ended with an error: {text}"
        return cell.Result(str(spec), spec.seed, (violation,), 0, 0, 0, False)


def run(
    specs: collections.abc.Sequence[cell.CellSpec],
    workers: int = MAX_WORKERS,
    variant: str = "",
) -> collections.abc.Iterator[cell.Result]:
    """Yield the cells' results in the order in which the cells end.

    At most ``MAX_WORKERS`` worker processes are started. A single cell runs in
    the calling process, as do all cells if ``workers`` is at most 1.
    """
    if workers <= 1 or len(specs) == 1:
        disable_logs()
        for spec in specs:
            yield run_one(spec, variant)
        return
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        min(workers, MAX_WORKERS), context, initializer=disable_logs
    ) as executor:
        futures = [executor.submit(run_one, spec, variant) for spec in specs]
        for future in concurrent.futures.as_completed(futures):
            yield future.result()

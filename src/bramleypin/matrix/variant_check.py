"""Runs the broken variants and reports which cells caught them."""

import collections.abc
import dataclasses
import typing

from bramleypin.matrix import cell
from bramleypin.matrix import pool
from bramleypin.matrix import registries
from bramleypin.matrix import variants


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The cells that were run with a variant, and those that caught it.

    ``breaks`` is the promise that the variant breaks.
    """

    variant: str
    breaks: str
    caught_by: tuple[str, ...]
    cells: tuple[str, ...]

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the outcome as a dictionary for JSON."""
        return dataclasses.asdict(self)

    def as_line(self) -> str:
        """Return the outcome as a line for a terminal."""
        if self.caught_by:
            return f"{self.variant}: caught by {', '.join(self.caught_by)}"
        return f"{self.variant}: NOT caught by {', '.join(self.cells)}"


def run_all(workers: int) -> collections.abc.Iterator[Outcome]:
    """Run the cells of every variant and yield the outcomes."""
    for name in variants.names():
        entry = registries.VARIANTS.get(name)
        cells = [cell.parse(text) for text in entry.cells]
        results = list(pool.run(cells, workers, name))
        caught = tuple(
            item.cell
            for item in results
            if _has_violation(item, entry.promise)
        )
        yield Outcome(name, entry.promise, caught, entry.cells)


def _has_violation(result: cell.Result, promise: str) -> bool:
    """Return whether a cell reported a violation of a promise."""
    prefix = f"{promise}: "
    return any(item.startswith(prefix) for item in result.violations)

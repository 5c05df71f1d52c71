"""Access to bench rows for the capacity page, and least-squares fits."""

import collections.abc
import dataclasses
import json

from bramleypin.bench import control
from bramleypin.bench import flow_state


@dataclasses.dataclass(frozen=True)
class Fit:
    """A least-squares line through measured points."""

    intercept: float
    slope: float
    r_squared: float


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a line; ``r_squared`` is 1 when all points lie on it."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    sum_yy = sum((y - mean_y) ** 2 for _, y in points)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = sum_xy / sum_xx
    r_squared = sum_xy**2 / (sum_xx * sum_yy) if sum_yy else 1.0
    return Fit(mean_y - slope * mean_x, slope, r_squared)


class Rows:
    """Rows of the benches ``config``, ``control`` and ``flow_state``.

    They are looked up by bench, case and unit.
    """

    def __init__(self, lines: collections.abc.Iterable[str]):
        self._row_by_key = {}
        for line in lines:
            row = json.loads(line)
            key = (row["bench"], row["case"], row["unit"])
            self._row_by_key[key] = row

    def control(self, size_name: str, label: str, unit: str) -> float:
        """Return the measured value of a row of the bench ``control``.

        ``size_name`` is a key of ``control.SIZES``, such as ``1/8``.
        """
        case = f"{size_name} of the target: {label}"
        return self._row_by_key["control", case, unit]["ours"]

    def config(self, count: int, label: str, unit: str) -> dict:
        """Return a row of the bench ``config`` for a number of processes."""
        return self._row_by_key["config", f"{count} processes: {label}", unit]

    def flow_cache_points(self) -> list[tuple[float, float]]:
        """Return pairs of a number of flows and the cache's megabytes."""
        return [
            (
                float(flows),
                self._row_by_key[
                    "flow_state", f"{flows} flows: flow cache", "MB"
                ]["ours"],
            )
            for flows in flow_state.SIZES
        ]

    def control_points(
        self, label: str, unit: str
    ) -> list[tuple[float, float]]:
        """Return a figure of the bench ``control`` at each size.

        Each pair is the number of hosts behind the services and the value.
        """
        return [
            (float(size.hosts), self.control(name, label, unit))
            for name, size in control.SIZES.items()
        ]


def format_cell(value: float) -> str:
    """Return a figure as the text of a table cell."""
    if value and abs(value) < 0.001:
        return f"{value:.2e}"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def bound_status(value: float, bound: float | None) -> str:
    """Return ``met`` or ``MISSED``, or an empty text without a bound."""
    if bound is None:
        return ""
    return "met" if value <= bound else "MISSED"

"""Rows of the benches as the capacity page uses them, and fitted lines."""

import collections.abc
import dataclasses
import json

from bramleypin.bench import control
from bramleypin.bench import flow_state


@dataclasses.dataclass(frozen=True)
class Fit:
    """A straight line through measured points, by least squares."""

    intercept: float
    slope: float
    r_squared: float


def fit(points: list[tuple[float, float]]) -> Fit:
    """Fit a line; ``r_squared`` is 1 when all points lie on it."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    spread_y = sum((y - mean_y) ** 2 for _, y in points)
    both = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = both / spread_x
    r_squared = both**2 / (spread_x * spread_y) if spread_y else 1.0
    return Fit(mean_y - slope * mean_x, slope, r_squared)


class Rows:
    """Rows of the benches ``config``, ``control`` and ``flow_state``."""

    def __init__(self, lines: collections.abc.Iterable[str]):
        self._row_by_key = {}
        for line in lines:
            row = json.loads(line)
            key = (row["bench"], row["case"], row["unit"])
            self._row_by_key[key] = row

    def control(self, size: str, label: str, unit: str) -> float:
        """Return a figure of the bench control."""
        case = f"{size} of the target: {label}"
        return self._row_by_key["control", case, unit]["ours"]

    def config(self, count: int, label: str, unit: str) -> dict:
        """Return a row of the bench config."""
        return self._row_by_key["config", f"{count} processes: {label}", unit]

    def flow_points(self) -> list[tuple[float, float]]:
        """Return the megabytes of the flow cache by its flows."""
        return [
            (
                float(n),
                self._row_by_key["flow_state", f"{n} flows: flow cache", "MB"][
                    "ours"
                ],
            )
            for n in flow_state.SIZES
        ]

    def control_points(
        self, label: str, unit: str
    ) -> list[tuple[float, float]]:
        """Return a figure by the number of hosts behind the services."""
        return [
            (float(size.hosts), self.control(name, label, unit))
            for name, size in control.SIZES.items()
        ]


def number(value: float) -> str:
    """Return a figure as the page shows it."""
    if value and abs(value) < 0.001:
        return f"{value:.2e}"
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def verdict(value: float, bound: float | None) -> str:
    """Tell whether a figure meets its bound."""
    if bound is None:
        return ""
    return "met" if value <= bound else "MISSED"

"""Result rows of the benches, and the registry of benches."""

import collections.abc
import dataclasses
import json
import typing

from bramleypin.internal import registry


@dataclasses.dataclass(frozen=True)
class Row:
    """One measured figure with its baseline.

    ``case`` names the figure, and ``ours`` is the value that the system
    reached. ``baseline`` and ``bound`` are ``None`` where there is none;
    ``bound`` is the stated target, not a measured value. ``seed`` is ``None``
    when nothing in the bench is random.
    """

    bench: str
    case: str
    ours: float
    baseline: float | None
    baseline_name: str
    bound: float | None
    unit: str
    seed: int | None = None

    def to_json(self) -> str:
        """Return the row as a JSON object on one line."""
        return json.dumps(dataclasses.asdict(self))


Bench = typing.Callable[[], collections.abc.Iterable[Row]]

BENCHES: registry.Registry[Bench] = registry.Registry("bench")

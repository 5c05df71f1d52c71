"""Keeps the openings that wait for capacity in the order of their offers."""

import heapq
import itertools
import typing

from bramleypin.internal.stream import segment

if typing.TYPE_CHECKING:
    from bramleypin.internal.stream import openings

_Heap = list[tuple[float, int, "openings.Opening"]]


class PostponedOpenings:
    """Openings that no endpoint could take, by service.

    Those that can still meet their latency objective come first, then those
    whose callers give up soonest. Adding and taking one costs O(log n); a
    removed opening stays in its heap until it reaches the top.
    """

    def __init__(self) -> None:
        self._number_by_flow: dict[segment.Flow, int] = {}
        self._heaps_by_service: dict[str, tuple[_Heap, _Heap]] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._number_by_flow)

    def add(self, opening: "openings.Opening") -> None:
        """Add an opening, or move it to the place that it has now."""
        number = next(self._numbers)
        self._number_by_flow[opening.flow] = number
        heaps = self._heaps_by_service.setdefault(opening.service, ([], []))
        entry = (opening.started_s, number, opening)
        heapq.heappush(heaps[opening.is_late], entry)

    def discard(self, flow: segment.Flow) -> None:
        """Remove a flow's opening, if it is here."""
        self._number_by_flow.pop(flow, None)

    def pop_next(self, service: str) -> "openings.Opening | None":
        """Remove and return the first opening of a service."""
        for heap in self._heaps_by_service.get(service, ()):
            while heap:
                _, number, opening = heapq.heappop(heap)
                if self._number_by_flow.get(opening.flow) == number:
                    del self._number_by_flow[opening.flow]
                    return opening
        return None

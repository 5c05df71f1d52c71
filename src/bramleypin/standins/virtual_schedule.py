"""A scheduler for calls at given times of the virtual clock."""

import heapq
import itertools
import math
import typing

import anyio

Call = typing.Callable[[], None]


class Schedule:
    """Calls by due time; calls due at the same time run in insertion order."""

    def __init__(self):
        self._queue: list[tuple[float, int, Call]] = []
        self._sequence_numbers = itertools.count()
        self._earlier_call_added = anyio.Event()

    def call_at(self, due_s: float, call: Call) -> None:
        """Schedule a call at a time in seconds on anyio's clock."""
        earliest = self._queue[0][0] if self._queue else math.inf
        heapq.heappush(
            self._queue, (due_s, next(self._sequence_numbers), call)
        )
        if due_s < earliest:
            self._earlier_call_added.set()

    async def run(self) -> None:
        """Run the calls when they are due, until cancelled."""
        while True:
            now_s = anyio.current_time()
            while self._queue and self._queue[0][0] <= now_s:
                heapq.heappop(self._queue)[2]()
            self._earlier_call_added = anyio.Event()
            due_s = self._queue[0][0] if self._queue else math.inf
            with anyio.CancelScope(deadline=due_s):
                await self._earlier_call_added.wait()

"""Wakes a task at an interval, but only while there is something to watch."""

import collections.abc

import anyio


class Ticker:
    """Lets a task look after a collection whose entries have deadlines."""

    def __init__(self, interval_s: float):
        self._interval_s = interval_s
        self._added = anyio.Event()

    def wake(self) -> None:
        """Note that the collection has got an entry."""
        self._added.set()

    async def wait(self, watched: collections.abc.Sized) -> float:
        """Wait for the next tick; return how long the interval took.

        Waits without a limit while the collection is empty. An interval that
        took much longer tells that the process stood still.
        """
        if not watched:
            self._added = anyio.Event()
            await self._added.wait()
        before_s = anyio.current_time()
        await anyio.sleep(self._interval_s)
        return anyio.current_time() - before_s
